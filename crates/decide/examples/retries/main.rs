//! Compares what is done about slow and lost endpoints, on a model of one service in virtual time.
//!
//! Twelve owners send requests to twelve endpoints of sixteen slots each. Ten seconds into the run one
//! endpoint turns slow, is lost or freezes, or all turn slow; it ends well thirty seconds later. The owners
//! use the decisions of this crate. Each learns from its own attempts; with reports also from what the gates
//! see that are on its host, and tells it with each admission. Seeds are fixed.

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
        "promise %",
        "p50 ms",
        "p99 ms",
        "attempts",
        "noticed ms",
        "first ms",
        "wrong"
    );
    for (fault_name, fault) in faults {
        for (policy_name, policy) in policies {
            print_row(fault_name, fault, policy_name, policy);
        }
    }
    println!(
        "noticed: median and greatest over the first suspicions of a run; first: the latest first one"
    );
}

fn print_row(fault_name: &str, fault: Fault, policy_name: &str, policy: Policy) {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let counts = World::new(fault, policy, seed).run();
        total.requests += counts.requests;
        total.failed += counts.failed;
        total.in_promise += counts.in_promise;
        total.attempts += counts.attempts;
        total.wrong += counts.wrong;
        total.first_noticed = total.first_noticed.max(counts.first_noticed);
        total.firsts.extend(counts.firsts);
        total
            .noticed
            .extend(counts.noticed.into_iter().take(OWNERS));
    }
    total.firsts.sort_unstable();
    total.noticed.sort_unstable();
    let first = |part: usize| total.firsts[(total.firsts.len() - 1) * part / 100].as_millis();
    let noticed = total
        .noticed
        .get(total.noticed.len() / 2)
        .zip(total.noticed.last());
    let noticed = noticed.map_or("-".to_owned(), |(median, last)| {
        format!("{}/{}", median.as_millis(), last.as_millis())
    });
    let first_noticed = total
        .first_noticed
        .map_or("-".to_owned(), |passed| passed.as_millis().to_string());
    let requests = f64::from(total.requests);
    println!(
        "{fault_name:<15} {policy_name:<14} {:>8} {:>9.2} {:>10.2} {:>8} {:>8} {:>9.3} {noticed:>11} {:>8} {:>7}",
        total.requests,
        f64::from(total.failed) * 100.0 / requests,
        f64::from(total.in_promise) * 100.0 / requests,
        first(50),
        first(99),
        f64::from(total.attempts) / requests,
        first_noticed,
        total.wrong,
    );
}
