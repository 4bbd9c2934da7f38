//! Measures how the system's costs grow, for docs/CAPACITY.md.
//!
//! Each slope runs real code at several sizes and fits a straight line through the points. The figures
//! are printed as they come and written as one CSV file, from which the page's tables are made.
//!
//! - [`fit`]: a line through points.
//! - [`state`]: memory and time of the replayed state, by keys, items, hosts and records.
//! - [`fleet`]: messages, appends, delays and costs of a whole fleet, by hosts.
//! - [`bytes`]: records and bytes on the log, by request and item.
//!
//! It decides nothing and tests nothing; the figures are as good as the machine is quiet.

mod bytes;
mod fit;
mod fleet;
mod state;

use bpaf::Bpaf;
use fit::SlopeTable;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures how the system's costs grow
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct SlopeOptions {
    /// Write the points and fits to this CSV file
    #[bpaf(argument("FILE"), fallback("docs/results/slopes.csv".into()))]
    output: PathBuf,
    /// Measure only the slopes whose name contains this text
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    only: String,
}

fn main() -> ExitCode {
    let options = slope_options().run();
    let mut table = SlopeTable::new(&options.only);
    state::measure(&mut table);
    bytes::measure(&mut table);
    fleet::measure(&mut table);
    match table.write(&options.output) {
        Ok(()) => {
            println!(
                "slopes: {} written to {}",
                table.len(),
                options.output.display()
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!(
                "{} cannot be written ({error}); choose another --output",
                options.output.display()
            );
            ExitCode::FAILURE
        }
    }
}
