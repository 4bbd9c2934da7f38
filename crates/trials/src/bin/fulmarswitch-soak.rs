//! Long randomised runs from the command line.

use bpaf::Bpaf;
use fulmarswitch_trials::run::{RunPlan, run_plan};
use std::process::ExitCode;

/// Runs a whole fleet under random faults and checks its promises
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct SoakOptions {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Steps of one second of virtual time in each run
    #[bpaf(argument("N"), fallback(20))]
    steps: u32,
    /// Print the report of every run
    verbose: bool,
}

fn main() -> ExitCode {
    let options = soak_options().run();
    let mut failed = 0_u64;
    let mut totals = (0, 0, 0, 0);
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        let report = run_plan(&RunPlan::new(seed, options.steps));
        totals.0 += report.requests;
        totals.1 += report.answered;
        totals.2 += report.items;
        totals.3 += report.items_done;
        if !report.broken.is_empty() {
            failed += 1;
        }
        if options.verbose || !report.broken.is_empty() {
            print!("{report}");
        }
    }
    println!(
        "{} seeds from {}, {} steps: {failed} failed; {} of {} requests answered, {} of {} items",
        options.seeds, options.seed, options.steps, totals.1, totals.0, totals.3, totals.2
    );
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
