//! What callers see of an endpoint that turns slow, freezes or is lost.

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

/// Requests before the fault, from which the hosts learn what is typical.
const REQUESTS_BEFORE_FAULT: u32 = 300;
/// Requests from the fault on.
const REQUESTS_AFTER_FAULT: u32 = 1_000;
/// Time between requests; two of the three endpoints can answer them all.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Tokens of an answer, which a healthy endpoint makes in half a second.
const ANSWER_TOKENS: u32 = 100;
/// Deadline of a request, which it misses if it stays at a slow endpoint.
const DEADLINE_MS: u64 = 2_000;
/// Time within which a fault is noticed.
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

/// Sends requests at a fixed rate and returns how many were answered.
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

/// One engine of three; no more than one request in a thousand fails for it.
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
        "{} of {REQUESTS_AFTER_FAULT} failed in {:?}; {sent_late} calls to the endpoint once it was noticed",
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

/// Slowness of all endpoints is no endpoint's fault and must not multiply the calls.
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
