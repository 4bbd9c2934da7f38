//! Compares policies for slow and lost endpoints on a model of one service in virtual time.
//!
//! Twelve owners send requests to twelve endpoints with sixteen slots each. Ten seconds into the
//! run one endpoint becomes slow, is lost or freezes, or all become slow; the fault ends thirty
//! seconds later. The owners use the decisions of this crate. Each owner records the signals
//! of its own attempts. With reports, it also records those that the gates on its host observe, and
//! each admission carries the gate's suspicion. The seeds are fixed.

mod model;
mod world;

use model::{Counts, Fault, OWNERS, Policy, SEEDS};
use world::World;

fn main() {
    let faults = [
        ("nothing", Fault::Nothing),
        ("one 5x slow", Fault::OneSlow),
        ("one lost", Fault::OneLost),
        ("one frozen", Fault::OneFrozen),
        ("all 2x slow", Fault::AllSlow(2.0)),
        ("all 5x slow", Fault::AllSlow(5.0)),
        ("overload 2.25x", Fault::Overload(2.25)),
    ];
    let policies = [
        ("none", Policy::Nothing),
        ("broken", Policy::Broken),
        ("overdue", Policy::Overdue),
        ("overdue, move", Policy::Move),
        ("move, reports", Policy::Reports),
        ("hedge p95", Policy::Hedge),
    ];
    println!(
        "{:<15} {:<14} {:>8} {:>9} {:>10} {:>8} {:>8} {:>9} {:>11} {:>8} {:>7}",
        "fault",
        "policy",
        "requests",
        "failed %",
        "target %",
        "p50 ms",
        "p99 ms",
        "attempts",
        "detected ms",
        "first ms",
        "wrong"
    );
    for (fault_name, fault) in faults {
        for (policy_name, policy) in policies {
            print_row(fault_name, fault, policy_name, policy);
        }
    }
    println!(
        "detected: median/maximum time to the first {OWNERS} suspicions of each run; first: maximum to the first"
    );
}

fn print_row(fault_name: &str, fault: Fault, policy_name: &str, policy: Policy) {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let counts = World::new(fault, policy, seed).run();
        total.requests += counts.requests;
        total.failed += counts.failed;
        total.within_target += counts.within_target;
        total.attempts += counts.attempts;
        total.wrong_suspicions += counts.wrong_suspicions;
        total.first_detection_time = total.first_detection_time.max(counts.first_detection_time);
        total.first_token_times.extend(counts.first_token_times);
        total
            .detection_times
            .extend(counts.detection_times.into_iter().take(OWNERS));
    }
    total.first_token_times.sort_unstable();
    total.detection_times.sort_unstable();
    let percentile = |part: usize| {
        total.first_token_times[(total.first_token_times.len() - 1) * part / 100].as_millis()
    };
    let detected = total
        .detection_times
        .get(total.detection_times.len() / 2)
        .zip(total.detection_times.last());
    let detected = detected.map_or("-".to_owned(), |(median, last)| {
        format!("{}/{}", median.as_millis(), last.as_millis())
    });
    let first_detected = total
        .first_detection_time
        .map_or("-".to_owned(), |elapsed| elapsed.as_millis().to_string());
    let requests = f64::from(total.requests);
    println!(
        "{fault_name:<15} {policy_name:<14} {:>8} {:>9.2} {:>10.2} {:>8} {:>8} {:>9.3} {detected:>11} {:>8} {:>7}",
        total.requests,
        f64::from(total.failed) * 100.0 / requests,
        f64::from(total.within_target) * 100.0 / requests,
        percentile(50),
        percentile(99),
        f64::from(total.attempts) / requests,
        first_detected,
        total.wrong_suspicions,
    );
}
