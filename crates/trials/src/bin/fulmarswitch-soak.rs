//! Command line for long randomised fault-injection runs.

use bpaf::Bpaf;
use fulmarswitch_trials::faults::FaultKind;
use fulmarswitch_trials::run::{RunPlan, RunReport, run_plan};
use std::process::ExitCode;
use std::time::Duration;

/// Runs a whole fleet under random faults and checks its guarantees
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
    /// Kind of faults to draw from; may be repeated; all kinds unless given
    #[bpaf(argument("KIND"))]
    kind: Vec<FaultKind>,
    /// Run the seeds for each kind alone and for each pair of kinds, and print a line for each
    pairs: bool,
    /// Time for which the log keeps records, in seconds
    #[bpaf(argument("SECONDS"))]
    retention: Option<u64>,
    /// Print the report of every run
    verbose: bool,
}

/// Totals over the runs with one combination of fault kinds.
#[derive(Default)]
struct SoakTotals {
    failed: u64,
    requests: usize,
    answered: usize,
    items: usize,
    items_done: usize,
}

impl SoakTotals {
    fn add(&mut self, report: &RunReport) {
        self.failed += u64::from(!report.violations.is_empty());
        self.requests += report.requests;
        self.answered += report.answered;
        self.items += report.items;
        self.items_done += report.items_done;
    }
}

fn main() -> ExitCode {
    let options = soak_options().run();
    let mut failed = 0;
    for kinds in kind_combinations(&options) {
        let totals = run_seeds(&options, &kinds);
        failed += totals.failed;
        println!(
            "{}: {} seeds from {}, {} steps: {} failed; {} of {} requests answered, {} of {} items",
            label(&kinds),
            options.seeds,
            options.seed,
            options.steps,
            totals.failed,
            totals.answered,
            totals.requests,
            totals.items_done,
            totals.items
        );
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_seeds(options: &SoakOptions, kinds: &[FaultKind]) -> SoakTotals {
    let mut totals = SoakTotals::default();
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        let plan = RunPlan {
            kinds: kinds.to_vec(),
            retention: options.retention.map(Duration::from_secs),
            ..RunPlan::new(seed, options.steps)
        };
        let report = run_plan(&plan);
        totals.add(&report);
        if options.verbose || !report.violations.is_empty() {
            print!("{report}");
        }
    }
    totals
}

/// Returns the combinations of fault kinds to run, one after the other.
fn kind_combinations(options: &SoakOptions) -> Vec<Vec<FaultKind>> {
    let kinds = if options.kind.is_empty() {
        FaultKind::ALL.to_vec()
    } else {
        options.kind.clone()
    };
    if !options.pairs {
        return vec![kinds];
    }
    let mut combinations: Vec<Vec<FaultKind>> = kinds.iter().map(|kind| vec![*kind]).collect();
    for (at, first) in kinds.iter().enumerate() {
        combinations.extend(kinds[at + 1..].iter().map(|second| vec![*first, *second]));
    }
    combinations
}

fn label(kinds: &[FaultKind]) -> String {
    if kinds.len() == FaultKind::ALL.len() {
        return "all kinds".into();
    }
    let names: Vec<String> = kinds.iter().map(FaultKind::to_string).collect();
    names.join(" + ")
}
