//! `fulmarswitch-measure`: benchmarks the scheduling decisions and writes the results to docs/results.

use fulmarswitch_measure::{cost, experiments, results};
use std::path::Path;
use std::process::ExitCode;

/// Output directory, relative to the root of the repository.
const RESULTS_DIR: &str = "docs/results";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let commit = arguments.get(1).map_or("unknown", String::as_str);
    match arguments.first().map(String::as_str) {
        None | Some("decisions") => {
            let report = experiments::measure_all();
            let costs = cost::measure_costs();
            if let Err(error) = results::write_all(Path::new(RESULTS_DIR), commit, &report, &costs)
            {
                eprintln!(
                    "{RESULTS_DIR} cannot be written ({error}); run this from the repository's root"
                );
                return ExitCode::FAILURE;
            }
            println!("{}", results::summary_line(&report, &costs));
            ExitCode::SUCCESS
        }
        Some(part) => {
            eprintln!("there is no part {part}; run ./measure decisions");
            ExitCode::FAILURE
        }
    }
}
