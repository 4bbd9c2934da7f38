//! Measures how the system's costs scale with its size, for docs/CAPACITY.md.
//!
//! For each slope, production code runs at several sizes and a straight line is fitted to the costs. The
//! results are printed as they are measured and written to one CSV file, from which the tables of the page are
//! made.
//!
//! - [`fit`]: least-squares fit and the table of slopes.
//! - [`state`]: memory and replay time of the state, by keys, items, hosts and configuration records.
//! - [`fleet`]: messages, log appends, delays and resource use of a whole fleet, by hosts.
//! - [`bytes`]: bytes in the log, by request and job item.
//!
//! The program checks no targets. Times in real time are only as reliable as the machine is otherwise idle.

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

/// Measures how the system's costs scale with its size
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
