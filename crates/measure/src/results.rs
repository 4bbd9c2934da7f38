//! The result files in docs/results and the summary line of the output.

use crate::cost::DecisionCost;
use crate::experiments::{MeasureReport, RunResult};
use crate::policy::PolicyKind;
use crate::scenario::STEADY_RATE;
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;

/// Width and height of the plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 540);
/// Upper limit on the cost of one decision, in microseconds.
const DECISION_TARGET_US: f64 = 5.0;
/// Columns of the tables of runs.
const COLUMNS: [&str; 18] = [
    "scenario",
    "policy",
    "ttft_p50_ms",
    "ttft_p95_ms",
    "ttft_p99_ms",
    "between_p50_ms",
    "between_p95_ms",
    "between_p99_ms",
    "in_time",
    "online",
    "refused",
    "refusal_p99_ms",
    "failed",
    "retried",
    "batch_items_s",
    "cancelled",
    "wasted_tokens",
    "noticed_ms",
];

/// Writes the CSV files, the table and the plot to `directory`, which is created if missing.
///
/// # Errors
/// Returns an error if a file cannot be written.
pub fn write_all(
    directory: &Path,
    commit: &str,
    report: &MeasureReport,
    costs: &[DecisionCost],
) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join("runs.csv"), csv(&report.runs))?;
    std::fs::write(directory.join("sweep.csv"), csv(&report.sweep))?;
    std::fs::write(directory.join("cost.csv"), cost_csv(costs))?;
    std::fs::write(directory.join("TABLE.md"), table(commit, report, costs))?;
    plot(&directory.join("harm.svg"), report)
}

/// Returns the last line of the output, with the main figures and the number of missed targets.
#[must_use]
pub fn summary_line(report: &MeasureReport, costs: &[DecisionCost]) -> String {
    let policy = PolicyKind::Current;
    let decision_us = decision_us(costs);
    let cost_missed = usize::from(decision_us > DECISION_TARGET_US);
    let missed = report
        .targets(policy)
        .iter()
        .filter(|target| !target.met)
        .count()
        + cost_missed;
    format!(
        "measure: harm_p99_steady={:.2} harm_p99_burst={:.2} batch_spare_share={:.2} overload_useful={:.2} decision_us={decision_us:.2} missed={missed}",
        report.p99_first_token_ratio("steady-batch", "steady-alone", policy),
        report.p99_first_token_ratio("burst-batch", "burst-alone", policy),
        report.spare_capacity_share(policy),
        report.goodput_share(policy),
    )
}

fn decision_us(costs: &[DecisionCost]) -> f64 {
    costs.last().map_or(f64::INFINITY, DecisionCost::total_us)
}

fn cells(run: &RunResult) -> Vec<String> {
    let stats = &run.stats;
    let detection_ms = run.detection_ms();
    let mut cells = vec![run.scenario.name.to_owned(), run.policy.name()];
    cells.extend([0.5, 0.95, 0.99].map(|at| format!("{:.1}", run.first_token_ms(at))));
    cells.extend([0.5, 0.95, 0.99].map(|at| format!("{:.1}", run.between_tokens_ms(at))));
    cells.push(format!("{:.4}", run.in_time_share()));
    cells.push(stats.online.to_string());
    cells.push(stats.refused.to_string());
    cells.push(format!("{:.1}", run.refusal_ms(0.99)));
    cells.push(stats.failed.to_string());
    cells.push(stats.retried.to_string());
    cells.push(format!("{:.1}", run.items_per_second()));
    cells.push(stats.cancelled.to_string());
    cells.push(stats.wasted_tokens.to_string());
    cells.push(detection_ms.map_or(String::new(), |time| format!("{time:.0}")));
    cells
}

fn csv(runs: &[RunResult]) -> String {
    let lines = runs.iter().map(|run| cells(run).join(","));
    std::iter::once(COLUMNS.join(","))
        .chain(lines)
        .fold(String::new(), |text, line| text + &line + "\n")
}

fn cost_csv(costs: &[DecisionCost]) -> String {
    let mut text = String::from("endpoints,choose_us,gate_us\n");
    for cost in costs {
        writeln!(
            text,
            "{},{:.3},{:.3}",
            cost.endpoints, cost.choose_us, cost.gate_us
        )
        .expect("writing to a string cannot fail");
    }
    text
}

fn table(commit: &str, report: &MeasureReport, costs: &[DecisionCost]) -> String {
    let mut text = format!(
        "# Results of `./measure`\n\nCommit {commit}. The decision code (gate, choice of endpoint, choice of offer) ran in one process on a\npaused clock against 12 stand-in engines in 3 failure domains, seed 1; the daemon, its network and the log\ndid not run. Times are virtual and repeat exactly, but for the cost of a decision.\n\nSpare capacity: {:.1} batch items a second. It is the most that the engines did besides {STEADY_RATE} online\nrequests a second, over all fixed caps on batch streams with one batch prompt at a time (`sweep.csv`),\nwith 95 in 100 first tokens within 520 ms and 95 in 100 times between tokens within 26 ms.\nCapacity for online: {:.0} answers a second, the most with the same promise kept and no batch.\nThe lowest p99 of the time to the first token of any policy without batch: {:.1} ms steady, {:.1} ms in bursts.\n\n",
        report.spare_items_per_second,
        report.online_capacity_per_second,
        report.best_online_only_p99_ms("steady-alone"),
        report.best_online_only_p99_ms("burst-alone"),
    );
    text += &row(&COLUMNS.map(String::from));
    text += &row(&COLUMNS.map(|_| "---".to_owned()));
    for run in &report.runs {
        text += &row(&cells(run));
    }
    text +=
        "\n## Targets, for the policy in use\n\n| target | measured | met |\n| --- | --- | --- |\n";
    for target in report.targets(PolicyKind::Current) {
        let met = if target.met { "yes" } else { "missed" };
        text += &row(&[target.target, target.measured, met.to_owned()]);
    }
    let decision = decision_us(costs);
    let met = if decision <= DECISION_TARGET_US {
        "yes"
    } else {
        "missed"
    };
    text += &row(&[
        "one decision at 10,000 endpoints, us, at most 5".to_owned(),
        format!("{decision:.2}"),
        met.to_owned(),
    ]);
    text
}

fn row(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

/// Plots the p99 time to the first token over batch items per second, for the sweep over caps and for the
/// policies.
fn plot(path: &Path, report: &MeasureReport) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let point = |run: &RunResult| (run.items_per_second(), run.first_token_ms(0.99));
    let steady: Vec<&RunResult> = report
        .runs
        .iter()
        .filter(|run| run.scenario.name == "steady-batch")
        .collect();
    let axis_end = |values: &mut dyn Iterator<Item = f64>| values.fold(1.0, f64::max) * 1.2;
    let points = || report.sweep.iter().chain(steady.iter().copied()).map(point);
    let (right, top) = (
        axis_end(&mut points().map(|at| at.0)),
        axis_end(&mut points().map(|at| at.1)),
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Batch work against the online tail, steady load",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, (5.0..top).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("batch items a second")
        .y_desc("p99 time to the first token, ms")
        .draw()?;
    chart.draw_series(LineSeries::new(report.sweep.iter().map(point), &BLUE))?;
    chart.draw_series(
        report
            .sweep
            .iter()
            .map(|run| Circle::new(point(run), 3, BLUE.filled())),
    )?;
    for run in steady {
        let (x, y) = point(run);
        chart.draw_series([Circle::new((x, y), 5, RED.filled())])?;
        chart.draw_series([Text::new(
            run.policy.name(),
            (x, y * 1.1),
            ("sans-serif", 14),
        )])?;
    }
    root.present()?;
    Ok(())
}
