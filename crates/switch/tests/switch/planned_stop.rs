//! Requests that come to a stopping host.
//!
//! Heartbeats are real datagrams on loopback, so these tests run in real time.

use crate::support::{CallScript, CallerOutcome, TestFleet, read_response, request};
use fulmarswitch_switch::node::{SwitchNode, millis};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time from the signal to the end of the process.
const GRACE: Duration = Duration::from_secs(8);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Events of a stream of 0.3 s, and of one of 4.4 s.
const SHORT: u64 = 15;
const LONG: u64 = 220;

/// A request as its caller saw it. Times are since the start of the stop.
struct SeenRequest {
    sent_at: Duration,
    ended_at: Duration,
    outcome: CallerOutcome,
}

async fn send(host: Arc<SwitchNode>, number: usize, started: Instant) -> SeenRequest {
    let sent_at = started.elapsed();
    let request = request(&host, "/resume/x", &format!("r{number}"));
    let outcome = read_response(&host, request).await;
    SeenRequest {
        sent_at,
        ended_at: started.elapsed(),
        outcome,
    }
}

/// Sends requests to a host until `until`, of which each third is a long stream if there are any.
async fn send_all(
    fleet: &TestFleet,
    host: &Arc<SwitchNode>,
    has_long: bool,
    started: Instant,
    until: Duration,
) -> Vec<SeenRequest> {
    let mut requests = JoinSet::new();
    for number in 0.. {
        if started.elapsed() >= until {
            break;
        }
        let is_long = has_long && number % 3 == 0;
        fleet.client.set_default(CallScript::Stream {
            events: if is_long { LONG } else { SHORT },
        });
        requests.spawn(send(host.clone(), number, started));
        sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await
}

/// Guards against streams that a stopping host takes and that the end of its process cuts off, and against callers that are
/// turned away although the host could serve them.
#[rstest]
#[case::beside_another_host(true, true, 2000, 3000)]
#[case::alone(false, true, 2000, 3000)]
#[case::alone_with_short_streams(false, false, 6000, 7200)]
#[tokio::test]
async fn stopping_host_takes_requests_that_end_in_time(
    #[case] has_other: bool,
    #[case] has_long: bool,
    #[case] served_until_ms: u64,
    #[case] rejected_from_ms: u64,
) {
    let fleet = TestFleet::new(12);
    let host = fleet.start("a").await;
    if has_other {
        fleet.start("b").await;
    }
    let before = send_all(
        &fleet,
        &host,
        has_long,
        Instant::now(),
        Duration::from_secs(1),
    )
    .await;
    assert!(
        before
            .iter()
            .all(|seen| seen.outcome != CallerOutcome::Rejected)
    );
    let started = Instant::now();
    let stopping = host.clone();
    let stop = tokio::spawn(async move { stopping.stop(started).await });
    let seen = send_all(&fleet, &host, has_long, started, GRACE).await;
    stop.await.unwrap();
    for request in &seen {
        let is_served = matches!(request.outcome, CallerOutcome::Complete(_));
        let is_rejected = request.outcome == CallerOutcome::Rejected;
        let sent_ms = millis(request.sent_at);
        assert!(is_served || is_rejected, "{sent_ms}: {:?}", request.outcome);
        assert!(request.ended_at < GRACE, "{sent_ms}: cut off");
        assert!(
            is_served || sent_ms >= served_until_ms,
            "{sent_ms}: rejected"
        );
        assert!(
            is_rejected || sent_ms < rejected_from_ms,
            "{sent_ms}: taken"
        );
    }
}
