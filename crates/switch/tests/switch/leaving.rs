//! Endpoints that say in their responses that they leave.

use crate::support::CallScript::{Full, Pause, StallAfter, Status, Stream};
use crate::support::{
    CallScript, CallerOutcome, TestFleet, events, full_text, listed, read_response, request,
    results, send_request, submission, wait_until,
};
use fulmarswitch_switch::endpoint::{EndpointTable, ListedEndpoint};
use fulmarswitch_switch::leaving::LeavingMarks;
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::OnlineReply;
use futures::StreamExt;
use futures::future::join_all;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time after which an endpoint that leaves must get no requests, several times over.
const OBSERVED_TIME: Duration = Duration::from_secs(8);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

fn calls_of(fleet: &TestFleet, endpoint: &str) -> usize {
    let calls = fleet.client.calls();
    calls
        .iter()
        .filter(|call| &*call.endpoint == endpoint)
        .count()
}

/// Sends requests until `e0` has been called.
async fn reach_e0(fleet: &TestFleet, node: &Arc<SwitchNode>, path: &str) {
    wait_until("a call to e0", async || {
        send_request(node, path).await;
        calls_of(fleet, "e0") > 0
    })
    .await;
}

/// Sends requests for [`OBSERVED_TIME`], and checks that none reaches `e0`.
async fn assert_e0_unused(fleet: &TestFleet, node: &Arc<SwitchNode>) {
    let before = calls_of(fleet, "e0");
    let until = Instant::now() + OBSERVED_TIME;
    let mut sent = 0;
    while Instant::now() < until {
        send_request(node, "/safe/x").await;
        sent += 1;
        sleep(INTERVAL).await;
    }
    assert!(sent > 20, "{sent}");
    assert_eq!(calls_of(fleet, "e0"), before, "of {sent} requests");
}

/// Guards against requests to an endpoint after it said in a response, of whatever kind, that it leaves, while the listings
/// are out of reach and afterwards still have it as ready.
#[rstest]
#[case::success("/once/x", Stream { events: 3 })]
#[case::stream("/stream/x", Stream { events: 3 })]
#[case::failure("/once/x", Status(500))]
#[case::retried_failure("/safe/x", Status(500))]
#[case::refusal("/once/x", Full)]
#[tokio::test(start_paused = true)]
async fn endpoint_that_says_it_leaves_gets_no_request(
    #[case] path: &str,
    #[case] script: CallScript,
) {
    let fleet = TestFleet::new(3);
    let node = fleet.start("a").await;
    fleet.log.set_down(true);
    fleet.client.set_leaving("e0", true);
    fleet.client.set_default(script);
    reach_e0(&fleet, &node, path).await;
    fleet.client.set_default(Stream { events: 3 });
    assert_e0_unused(&fleet, &node).await;
    fleet.log.set_down(false);
    fleet.log.put("endpoints", "e0", "ready");
    assert_e0_unused(&fleet, &node).await;
    let metrics = node.write_metrics().unwrap();
    assert!(
        metrics.contains("fulmarswitch_leaving_endpoints_total 1"),
        "{metrics}"
    );
}

/// Guards against a mark that waits for the end of a response, and against one that ends what runs at the endpoint.
#[tokio::test(start_paused = true)]
async fn stream_marks_its_endpoint_from_its_head_and_goes_on_to_its_end() {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.set_leaving("e0", true);
    fleet.client.script(&[Stream { events: 100 }]);
    let OnlineReply::Response(mut response) =
        node.serve_online(request(&node, "/stream/x", "long")).await
    else {
        panic!("no response");
    };
    let mut body = response.body.next().await.unwrap().unwrap().to_vec();
    fleet.log.put("endpoints", "e1", "ready");
    sleep(Duration::from_secs(1)).await;
    // At equal load some of these would go to the first endpoint.
    fleet.client.set_default(Stream { events: 20 });
    let others = (0..4).map(|_| send_request(&node, "/stream/x"));
    for outcome in join_all(others).await {
        assert_eq!(outcome, CallerOutcome::Complete(events(20)));
    }
    assert_eq!(calls_of(&fleet, "e0"), 1);
    while let Some(chunk) = response.body.next().await {
        body.extend_from_slice(&chunk.unwrap());
    }
    assert_eq!(body, events(100));
}

/// Guards against an answer that is not read since another endpoint was faster.
#[tokio::test(start_paused = true)]
async fn superseded_attempt_marks_its_endpoint() {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.set_leaving("e0", true);
    fleet.client.script(&[StallAfter { event: 0 }]);
    let slow = tokio::spawn({
        let node = node.clone();
        async move { send_request(&node, "/resume/x").await }
    });
    sleep(INTERVAL).await;
    fleet.log.put("endpoints", "e1", "ready");
    assert_eq!(slow.await.unwrap(), CallerOutcome::Complete(events(3)));
    assert_e0_unused(&fleet, &node).await;
}

/// Guards against a stream that is resumed at an endpoint that said that it leaves.
#[tokio::test(start_paused = true)]
async fn stream_is_resumed_elsewhere() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_leaving("e0", true);
    reach_e0(&fleet, &node, "/once/x").await;
    let before = calls_of(&fleet, "e0");
    fleet.client.script(&[Pause {
        after: 2,
        silence: Duration::from_secs(3),
        events: 5,
    }]);
    let resumed = read_response(&node, request(&node, "/resume/x", "r2")).await;
    assert_eq!(resumed, CallerOutcome::Complete(events(5)));
    assert_eq!(calls_of(&fleet, "e0"), before);
}

/// Guards against items that are sent to an endpoint after it said so in the response to another item, and against an end
/// of the items that run there.
#[tokio::test(start_paused = true)]
async fn endpoint_that_says_it_leaves_gets_no_item() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_leaving("e0", true);
    fleet.client.set_default(Stream { events: 20 });
    node.submit_job(submission("j", 40)).await;
    wait_until("a call to e0", async || calls_of(&fleet, "e0") > 0).await;
    sleep(INTERVAL).await;
    let before = calls_of(&fleet, "e0");
    wait_until("all results", async || {
        results(&node, "j").await.results.len() == 40
    })
    .await;
    for result in results(&node, "j").await.results {
        assert_eq!(result.text, Some(full_text(20)));
    }
    assert_eq!(calls_of(&fleet, "e0"), before);
    assert_eq!(fleet.client.calls().len(), 40, "an item ran again");
}

/// Guards against a later start of an endpoint that is taken for the one that left.
#[tokio::test(start_paused = true)]
async fn later_start_of_an_endpoint_is_used() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.log.put("endpoints", "e0", "ready 1 1000");
    sleep(Duration::from_secs(1)).await;
    fleet.client.set_leaving("e0", true);
    reach_e0(&fleet, &node, "/once/x").await;
    assert_e0_unused(&fleet, &node).await;
    fleet.client.set_leaving("e0", false);
    fleet.log.put("endpoints", "e0", "ready 1 2000");
    let before = calls_of(&fleet, "e0");
    wait_until("a call to the new start", async || {
        send_request(&node, "/once/x").await;
        calls_of(&fleet, "e0") > before
    })
    .await;
}

/// Guards against requests that wait for, or are sent to, endpoints that all leave.
#[tokio::test(start_paused = true)]
async fn request_is_rejected_at_once_if_all_endpoints_leave() {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.set_leaving("e0", true);
    reach_e0(&fleet, &node, "/once/x").await;
    let started = Instant::now();
    assert_eq!(
        send_request(&node, "/safe/x").await,
        CallerOutcome::Rejected
    );
    assert!(started.elapsed() < Duration::from_millis(10));
}

fn started_at(id: &str, started_ms: u64) -> ListedEndpoint {
    ListedEndpoint {
        started_ms,
        ..listed(id, 4, false)
    }
}

/// Guards against a mark that is lost with a listing that expires and is renewed.
#[tokio::test(start_paused = true)]
async fn mark_outlasts_a_listing_that_is_renewed() {
    let mut table = EndpointTable::default();
    table.set(started_at("e", 1));
    assert!(table.mark_leaving(&started_at("e", 1)));
    table.remove("e", 1, Instant::now());
    table.expire(Instant::now());
    sleep(Duration::from_secs(10)).await;
    table.set(started_at("e", 1));
    table.expire(Instant::now());
    assert!(!table.is_serving("e", Instant::now()));
    table.set(started_at("e", 2));
    assert!(table.is_serving("e", Instant::now()));
}

/// Guards against marks that are kept forever.
#[tokio::test(start_paused = true)]
async fn marks_of_endpoints_that_are_gone_are_removed() {
    let mut marks = LeavingMarks::default();
    for start in 0..1000 {
        assert!(marks.insert(&started_at("e", start)));
        assert!(!marks.insert(&started_at("e", start)));
    }
    let is_last = |_: &str, start| start == 999;
    marks.expire(Instant::now(), is_last);
    assert_eq!(marks.len(), 1000);
    sleep(Duration::from_mins(1)).await;
    marks.expire(Instant::now(), is_last);
    assert_eq!(marks.len(), 1);
    assert!(marks.contains(&started_at("e", 999)));
}
