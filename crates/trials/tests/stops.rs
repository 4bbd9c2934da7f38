//! A planned stop of a host must not interrupt requests in progress.

use fulmarswitch_caller::wire::OutcomeReply;
use fulmarswitch_trials::callers::{make_request, submit_request};
use fulmarswitch_trials::history::AttemptResult;
use fulmarswitch_trials::run::start_fleet;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Time per token of the engines in these tests.
const SLOW_STEP_US: u64 = 150_000;
/// Tokens of a request; it then takes longer than a stopped process waits for its open connections.
const ANSWER_TOKENS: u32 = 50;

/// The request arrives before the host starts to drain, at the same time, or during the grace period for
/// callers that have its address cached.
#[rstest]
#[case::before_the_stop(0, 300)]
#[case::with_the_stop(0, 0)]
#[case::during_the_grace_period(200, 0)]
#[tokio::test(start_paused = true)]
async fn a_long_answer_is_not_interrupted(
    #[case] request_after_ms: u64,
    #[case] stop_after_ms: u64,
) {
    let fleet = start_fleet(2, 3).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.step_us = SLOW_STEP_US);
    }
    let host = fleet.host(0).expect("all hosts run");
    let stopped = Arc::clone(&fleet);
    let stop = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(stop_after_ms)).await;
        stopped.drain(0).await;
    });
    tokio::time::sleep(Duration::from_millis(request_after_ms)).await;
    let mut request = make_request("long", ANSWER_TOKENS, true);
    request.deadline_ms = 15_000;
    let attempt = submit_request(&host, &request).await;
    let done = matches!(
        attempt,
        AttemptResult::Done {
            outcome: OutcomeReply::Done { .. },
            recorded: true,
            ..
        }
    );
    assert!(done, "{attempt:?}");
    stop.await.expect("the stop ends");
    assert!(!fleet.is_started(0));
    assert_eq!(fleet.history.observations().violations, vec![]);
    fleet.network.close();
}

/// A non-idempotent call runs at the gate of a host that is stopped; its caller must still get the answer.
#[tokio::test(start_paused = true)]
async fn a_call_at_the_gate_of_a_stopped_host_is_not_interrupted() {
    let fleet = start_fleet(3, 3).await;
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.call_ms = 3_000);
    }
    let host = fleet.host(0).expect("all hosts run");
    let calls = (0..12).map(|number| {
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            let request = make_request(&format!("call-{number}"), 1, false);
            submit_request(&host, &request).await
        })
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    tokio::join!(fleet.drain(1), fleet.drain(2));
    for call in calls {
        let attempt = call.await.expect("the caller ends");
        let done = matches!(
            attempt,
            AttemptResult::Done {
                outcome: OutcomeReply::Done { .. },
                ..
            }
        );
        assert!(done, "{attempt:?}");
    }
    fleet.network.close();
}
