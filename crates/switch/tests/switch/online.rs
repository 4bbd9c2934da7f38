//! Online requests: which endpoint, how often, and what the caller gets.

use crate::support::CallScript::{
    BreakBehind, Full, Lost, Silent, SilentBehind, Status, Stream, Unreachable,
};
use crate::support::{CallScript, TestFleet, event};
use bytes::Bytes;
use fulmarswitch_switch::backend::EndpointCall;
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::{OnlineReply, OnlineRequest};
use futures::StreamExt;
use http::{HeaderMap, Method};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What a caller sees.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Whole(Bytes),
    Torn(Bytes),
    Status(u16),
    Rejected,
    Failed,
    TimedOut,
}

async fn ask(node: &Arc<SwitchNode>, path: &str) -> Seen {
    let routes = node.routes().unwrap();
    let request = OnlineRequest {
        call: EndpointCall {
            id: "r".into(),
            method: Method::POST,
            host: "host".into(),
            target: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        },
        route: routes.find("host", path).unwrap().clone(),
        resume_after: None,
        deadline: Instant::now() + Duration::from_secs(5),
    };
    let mut answer = match node.serve_online(request).await {
        OnlineReply::Response(answer) => answer,
        OnlineReply::Rejected { .. } => return Seen::Rejected,
        OnlineReply::Failed => return Seen::Failed,
        OnlineReply::TimedOut => return Seen::TimedOut,
    };
    if !answer.status.is_success() {
        return Seen::Status(answer.status.as_u16());
    }
    let mut body = Vec::new();
    while let Some(chunk) = answer.body.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return Seen::Torn(body.into()),
        }
    }
    Seen::Whole(body.into())
}

fn events(last: u64) -> Bytes {
    let all: Vec<u8> = (1..=last).flat_map(|id| event(id).to_vec()).collect();
    all.into()
}

#[rstest]
#[case::at_once("/once/x", &[Stream { events: 3 }], Seen::Whole(events(3)), 1)]
#[case::another_when_unreachable("/once/x", &[Unreachable, Unreachable], Seen::Whole(events(3)), 1)]
#[case::another_when_full("/once/x", &[Full, Full], Seen::Whole(events(3)), 1)]
#[case::rejected_when_all_are_full("/once/x", &[Full, Full, Full, Full], Seen::Rejected, 0)]
#[case::once_may_have_run("/once/x", &[Lost], Seen::Failed, 1)]
#[case::once_is_torn("/once/x", &[BreakBehind { event: 1 }], Seen::Torn(events(1)), 1)]
#[case::once_keeps_a_failure("/once/x", &[Status(500)], Seen::Status(500), 1)]
#[case::safe_runs_again("/safe/x", &[Lost, Status(500)], Seen::Whole(events(3)), 3)]
#[case::safe_keeps_to_its_attempts("/safe/x", &[Lost, Lost, Lost], Seen::Failed, 3)]
#[case::safe_leaves_a_silent_one("/safe/x", &[Silent], Seen::Whole(events(3)), 2)]
#[case::a_stream_may_have_run("/stream/x", &[Lost], Seen::Failed, 1)]
#[case::a_silent_stream_is_waited_for("/stream/x", &[Silent], Seen::TimedOut, 1)]
#[case::a_stream_is_torn("/stream/x", &[BreakBehind { event: 2 }], Seen::Torn(events(2)), 1)]
#[case::a_stream_goes_on("/resume/x", &[BreakBehind { event: 2 }], Seen::Whole(events(3)), 2)]
#[case::behind_silence("/resume/x", &[SilentBehind { event: 2 }], Seen::Whole(events(3)), 2)]
#[case::within_its_attempts(
    "/resume/x",
    &[BreakBehind { event: 1 }, Lost, BreakBehind { event: 2 }],
    Seen::Torn(events(2)),
    3
)]
#[tokio::test(start_paused = true)]
async fn what_a_caller_sees(
    #[case] path: &str,
    #[case] scripts: &[CallScript],
    #[case] expected: Seen,
    #[case] runs: usize,
) {
    let fleet = TestFleet::new(5);
    let node = fleet.start("a").await;
    fleet.link.script(scripts);
    assert_eq!(ask(&node, path).await, expected);
    let seen = fleet.link.seen();
    assert_eq!(seen.iter().filter(|call| call.ran).count(), runs);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.link.running(), 0, "a call goes on without a caller");
}

#[tokio::test(start_paused = true)]
async fn a_run_ends_when_its_caller_leaves() {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.link.script(&[Stream { events: 1000 }]);
    let asked = tokio::spawn({
        let node = node.clone();
        async move { ask(&node, "/stream/x").await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.link.running(), 1);
    asked.abort();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.link.running(), 0);
    let metrics = node.write_metrics().unwrap();
    assert!(
        metrics.contains("fulmarswitch_requests_total{outcome=\"caller left\"} 1"),
        "{metrics}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_rejection_comes_at_once_when_no_endpoint_is_known() {
    let fleet = TestFleet::new(0);
    let node = fleet.start("a").await;
    let begun = Instant::now();
    assert_eq!(ask(&node, "/safe/x").await, Seen::Rejected);
    assert!(begun.elapsed() < Duration::from_millis(10));
}

/// Pattern: all hosts start again while the log is away. Until it is back they know no route; then callers wait
/// for nothing else.
#[rstest]
#[case::short(Duration::from_millis(300))]
#[case::long(Duration::from_secs(3))]
#[case::very_long(Duration::from_secs(31))]
#[tokio::test(start_paused = true)]
async fn a_host_that_starts_in_an_outage_serves_soon_after_it(#[case] outage: Duration) {
    let fleet = TestFleet::new(1);
    fleet.log.set_down(true);
    let mut nodes = Vec::new();
    for name in 'a'..='t' {
        nodes.push(fleet.boot(&name.to_string()).await);
    }
    sleep(outage).await;
    fleet.log.set_down(false);
    sleep(Duration::from_millis(250)).await;
    for node in nodes {
        assert!(node.is_ready());
        assert_eq!(ask(&node, "/once/x").await, Seen::Whole(events(3)));
    }
}

/// Pattern: endpoints that take requests and answer none, on a route whose requests may run once only. The first
/// requests wait for their answers; later ones go elsewhere.
#[tokio::test(start_paused = true)]
async fn a_silent_endpoint_draws_no_more_requests() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.script(&[Silent]);
    fleet.link.otherwise(Stream { events: 20 });
    let waiting = tokio::spawn({
        let node = node.clone();
        async move { ask(&node, "/stream/x").await }
    });
    sleep(Duration::from_millis(950)).await;
    let silent = fleet.link.seen()[0].endpoint.clone();
    // Enough at once that the silent endpoint would be the least loaded.
    let later = (0..4).map(|_| ask(&node, "/stream/x"));
    for seen in futures::future::join_all(later).await {
        assert_eq!(seen, Seen::Whole(events(20)));
    }
    let seen = fleet.link.seen();
    let drawn = seen.iter().filter(|call| call.endpoint == silent).count();
    assert_eq!(drawn, 1, "only the first request met the silent endpoint");
    assert_eq!(waiting.await.unwrap(), Seen::TimedOut);
}
