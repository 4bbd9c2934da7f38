//! Effects on callers of an endpoint that becomes slow, hangs, refuses calls or is lost.

use fulmarswitch_caller::wire::OutcomeReply;
use fulmarswitch_standins::engine::EngineFaults;
use fulmarswitch_trials::callers::{make_request, submit_request};
use fulmarswitch_trials::fleet::{TrialFleet, engine_address};
use fulmarswitch_trials::history::AttemptResult;
use fulmarswitch_trials::run::start_fleet;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Requests before the fault, from which the hosts learn the typical latency.
const REQUESTS_BEFORE_FAULT: u32 = 300;
/// Requests after the start of the fault.
const REQUESTS_AFTER_FAULT: u32 = 1_000;
/// Interval between requests; two of the three endpoints have enough capacity for all of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Tokens of an answer; a healthy endpoint generates them in half a second.
const ANSWER_TOKENS: u32 = 100;
/// Deadline of a request; a request that stays at a slow endpoint misses it.
const DEADLINE_MS: u64 = 2_000;
/// Time within which the hosts must have detected the fault.
const DETECTION_LIMIT: Duration = Duration::from_secs(2);

fn slow(faults: &mut EngineFaults) {
    faults.slow_factor = 5.0;
}

fn frozen(faults: &mut EngineFaults) {
    faults.slow_factor = 1e6;
}

fn refusing(faults: &mut EngineFaults) {
    faults.refuse = true;
}

fn lost(faults: &mut EngineFaults) {
    faults.lost = true;
}

async fn send(fleet: Arc<TrialFleet>, number: u32) -> bool {
    let mut request = make_request(&format!("k-{number}"), ANSWER_TOKENS, true);
    request.deadline_ms = DEADLINE_MS;
    let hosts = fleet.joined();
    let host = &hosts[number as usize % hosts.len()];
    let attempt = submit_request(host, &request).await;
    matches!(
        attempt,
        AttemptResult::Done {
            outcome: OutcomeReply::Done { .. },
            ..
        }
    )
}

/// Sends requests at a fixed rate and returns the number that were answered.
async fn send_all(fleet: &Arc<TrialFleet>, numbers: std::ops::Range<u32>) -> usize {
    let mut running = JoinSet::new();
    for number in numbers {
        running.spawn(send(Arc::clone(fleet), number));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    running
        .join_all()
        .await
        .into_iter()
        .filter(|done| *done)
        .count()
}

/// One of three engines fails; at most one of a thousand requests may fail because of it.
#[rstest]
#[case::five_times_slower(slow, 1)]
#[case::frozen(frozen, 1)]
#[case::refusing(refusing, 0)]
#[case::lost(lost, 1)]
#[tokio::test(start_paused = true)]
async fn one_bad_endpoint(#[case] fault: fn(&mut EngineFaults), #[case] failures: usize) {
    let fleet = start_fleet(3, 3).await;
    assert_eq!(
        send_all(&fleet, 0..REQUESTS_BEFORE_FAULT).await,
        REQUESTS_BEFORE_FAULT as usize
    );
    let start = Instant::now();
    let fault_at = fleet.history.now();
    fleet.engines[0].set_faults(fault);
    let answered = send_all(
        &fleet,
        REQUESTS_BEFORE_FAULT..REQUESTS_BEFORE_FAULT + REQUESTS_AFTER_FAULT,
    )
    .await;
    let sent_late = fleet
        .history
        .observations()
        .starts
        .iter()
        .filter(|call| {
            *call.address == *engine_address(0) && call.started_at > fault_at + DETECTION_LIMIT
        })
        .count();
    println!(
        "{} of {REQUESTS_AFTER_FAULT} failed in {:?}; {sent_late} calls to the endpoint after the detection limit",
        REQUESTS_AFTER_FAULT as usize - answered,
        start.elapsed()
    );
    assert!(
        answered + failures >= REQUESTS_AFTER_FAULT as usize,
        "{answered} of {REQUESTS_AFTER_FAULT} were answered"
    );
    assert!(sent_late <= 60, "{sent_late} calls went to the endpoint");
    fleet.network.close();
}

/// If all endpoints are slow, none of them may be treated as faulty, and the number of calls must not
/// multiply.
#[tokio::test(start_paused = true)]
async fn all_endpoints_slow() {
    let fleet = start_fleet(3, 3).await;
    assert_eq!(
        send_all(&fleet, 0..REQUESTS_BEFORE_FAULT).await,
        REQUESTS_BEFORE_FAULT as usize
    );
    let before = fleet.history.observations().starts.len();
    for engine in &fleet.engines {
        engine.set_faults(slow);
    }
    send_all(
        &fleet,
        REQUESTS_BEFORE_FAULT..REQUESTS_BEFORE_FAULT + REQUESTS_AFTER_FAULT,
    )
    .await;
    let calls = fleet.history.observations().starts.len() - before;
    println!("{calls} calls for {REQUESTS_AFTER_FAULT} requests");
    assert!(
        calls <= REQUESTS_AFTER_FAULT as usize * 110 / 100,
        "{calls} calls"
    );
    fleet.network.close();
}
