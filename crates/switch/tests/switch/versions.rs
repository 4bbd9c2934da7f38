//! Streams and items while endpoints of several software versions serve side by side.

use crate::support::CallScript::{BreakAfter, Stream};
use crate::support::{
    CallerOutcome, TestFleet, event, full_text, read_response, request, results, submission,
    wait_until,
};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::{OnlineReply, OnlineRequest};
use futures::StreamExt;
use futures::future::join_all;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

/// Number of streams in a test. A wrong version is picked for about half of them by chance.
const STREAMS: usize = 20;

/// A fleet with two endpoints of each of two software versions. The IDs of endpoints begin with their version.
fn mixed_fleet() -> TestFleet {
    let fleet = TestFleet::new(0);
    for id in ["v1-a", "v1-b", "v2-a", "v2-b"] {
        let listing = format!("ready {}", version_of(id));
        fleet.log.put("endpoints", id, &listing);
    }
    fleet
}

fn version_of(endpoint: &str) -> &str {
    &endpoint[..2]
}

/// Software versions of the endpoints that were called, from call number `first` on.
fn called_versions(fleet: &TestFleet, first: usize) -> Vec<String> {
    let calls = fleet.client.calls().split_off(first);
    let versions = calls.iter().map(|call| version_of(&call.endpoint));
    versions.map(str::to_owned).collect()
}

/// Starts hosts and waits until they hear each other.
async fn start_hosts(fleet: &TestFleet, names: &[&str]) -> Vec<Arc<SwitchNode>> {
    start_hosts_beside(fleet, names, 0).await
}

/// Starts hosts beside `others` that run already, and waits until they hear each other and these.
async fn start_hosts_beside(
    fleet: &TestFleet,
    names: &[&str],
    others: usize,
) -> Vec<Arc<SwitchNode>> {
    let hosts = join_all(names.iter().map(|name| fleet.start(name))).await;
    wait_until("all hosts", async || {
        hosts
            .iter()
            .all(|host| host.caller_addresses(64).len() == hosts.len() + others)
    })
    .await;
    hosts
}

/// Sends a request for a stream, and disconnects after its second event.
async fn begin_stream(node: &Arc<SwitchNode>, id: &str) {
    let reply = node.serve_online(request(node, "/resume/x", id)).await;
    let OnlineReply::Response(mut response) = reply else {
        panic!("{id} was not served");
    };
    for _ in 0..2 {
        response.body.next().await.unwrap().unwrap();
    }
}

/// A request that takes up the stream that `resumes` began, after its second event.
fn resumption(node: &SwitchNode, id: &str, resumes: &str) -> OnlineRequest {
    OnlineRequest {
        resumes: Some(resumes.into()),
        resume_after: Some(2),
        ..request(node, "/resume/x", id)
    }
}

/// Guards against a response with events of two software versions after its endpoint broke off.
#[tokio::test(start_paused = true)]
async fn broken_stream_is_resumed_at_its_own_version() {
    let fleet = mixed_fleet();
    let node = fleet.start("a").await;
    for index in 0..STREAMS {
        let first = fleet.client.calls().len();
        fleet.client.script(&[BreakAfter { event: 2 }]);
        let outcome = read_response(&node, request(&node, "/resume/x", "r")).await;
        assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
        let versions = called_versions(&fleet, first);
        assert_eq!(versions[0], versions[1], "stream {index}");
        // The endpoint that broke off is avoided for a while.
        sleep(Duration::from_secs(5)).await;
    }
}

/// Guards against events of two software versions over two tries of a caller, at one host or at two.
#[tokio::test]
async fn stream_is_taken_up_at_the_version_that_began_it() {
    let fleet = mixed_fleet();
    let hosts = start_hosts(&fleet, &["a", "b", "c"]).await;
    fleet.client.set_default(Stream { events: 5 });
    for index in 0..STREAMS {
        let first = fleet.client.calls().len();
        let began = format!("r{index}");
        begin_stream(&hosts[0], &began).await;
        let node = &hosts[index % hosts.len()];
        let outcome = read_response(node, resumption(node, "s", &began)).await;
        assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
        let versions = called_versions(&fleet, first);
        assert_eq!(versions[0], versions[1], "stream {index}");
    }
}

/// Guards against a stream that goes on at another version since the host that began it is lost, and its origin with it.
#[tokio::test]
async fn stream_is_taken_up_at_its_version_after_its_host_is_lost() {
    let fleet = mixed_fleet();
    fleet.client.set_default(Stream { events: 5 });
    // Dropping the runtime of this host stops the host.
    let lost_host = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let starting = fleet.clone();
    let lost = lost_host.spawn(async move { starting.start("lost").await });
    let lost = lost.await.unwrap();
    // More hosts than an origin is copied to, so that some have to ask others.
    let hosts = start_hosts_beside(&fleet, &["a", "b", "c", "d", "e", "f", "g", "h"], 1).await;
    wait_until("the other hosts", async || {
        lost.caller_addresses(64).len() == 9
    })
    .await;
    let began = fleet.client.calls().len();
    for index in 0..hosts.len() {
        let (node, id) = (lost.clone(), format!("r{index}"));
        let stream = lost_host.spawn(async move { begin_stream(&node, &id).await });
        stream.await.unwrap();
    }
    lost_host.shutdown_background();
    let taken_up = fleet.client.calls().len();
    for (index, node) in hosts.iter().enumerate() {
        let request = resumption(node, "s", &format!("r{index}"));
        let outcome = read_response(node, request).await;
        assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
    }
    let versions = called_versions(&fleet, began);
    assert_eq!(versions[..hosts.len()], versions[taken_up - began..]);
}

/// Guards against a stream that goes on at a version which may not have begun it.
#[rstest]
#[case::with_two_versions(&[], false)]
#[case::with_one_version(&["v1-a", "v1-b"], true)]
#[case::with_one_version_and_one_that_left(&["v1-a", "v1-b", "v2-a"], false)]
#[tokio::test(start_paused = true)]
async fn stream_of_unknown_origin(#[case] listed: &[&str], #[case] is_served: bool) {
    let fleet = mixed_fleet();
    for id in ["v1-a", "v1-b", "v2-a", "v2-b"] {
        if !listed.is_empty() && !listed.contains(&id) {
            fleet.log.put("endpoints", id, "");
        }
    }
    let node = fleet.start("a").await;
    if listed.contains(&"v2-a") {
        fleet.log.put("endpoints", "v2-a", "");
        sleep(Duration::from_secs(1)).await;
    }
    // A lone host of a new system has the versions in the log after 1.7 s. Before that it rejects.
    sleep(Duration::from_secs(1)).await;
    let outcome = read_response(&node, resumption(&node, "s", "unknown")).await;
    let expected = [CallerOutcome::Rejected, CallerOutcome::Complete(event(3))];
    assert_eq!(outcome, expected[usize::from(is_served)]);
    assert_eq!(fleet.client.calls().len(), usize::from(is_served));
}

/// Guards against a stream that goes on at another version at a host that is out of step: it has not seen the version that began
/// the stream at another host.
#[rstest]
#[case::stood_still(1000, true)]
#[case::cut_off(1000, false)]
#[case::cut_off_for_long(5000, false)]
#[tokio::test(start_paused = true)]
async fn stream_of_a_version_that_was_not_seen_yet(#[case] unread_ms: u64, #[case] is_back: bool) {
    let fleet = TestFleet::new(0);
    fleet.log.put("endpoints", "v1-a", "ready v1");
    let node = fleet.start("a").await;
    sleep(Duration::from_secs(31)).await;
    fleet.log.cut_topic(Some("endpoints"));
    fleet.log.put("endpoints", "v2-a", "ready v2");
    sleep(Duration::from_millis(unread_ms)).await;
    if is_back {
        fleet.log.cut_topic(None);
    }
    let outcome = read_response(&node, resumption(&node, "s", "began-elsewhere")).await;
    assert_eq!(outcome, CallerOutcome::Rejected);
    assert_eq!(fleet.client.calls().len(), 0);
}

/// Guards against rejecting a stream that ran for longer than hosts keep the origin of one.
#[tokio::test(start_paused = true)]
async fn stream_is_taken_up_after_a_long_run() {
    let fleet = mixed_fleet();
    let node = fleet.start("a").await;
    fleet.client.set_default(Stream { events: 3000 });
    let mut long_request = request(&node, "/resume/x", "r");
    long_request.deadline = Instant::now() + Duration::from_mins(2);
    let OnlineReply::Response(mut response) = node.serve_online(long_request).await else {
        panic!("the stream was not served");
    };
    let until = Instant::now() + Duration::from_secs(45);
    while Instant::now() < until {
        response.body.next().await.unwrap().unwrap();
    }
    drop(response);
    fleet.client.set_default(Stream { events: 5 });
    let outcome = read_response(&node, resumption(&node, "s", "r")).await;
    assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
    let versions = called_versions(&fleet, 0);
    assert_eq!(versions[0], versions[1]);
}

/// Guards against a stream that goes on at another version since its own is gone.
#[tokio::test(start_paused = true)]
async fn stream_is_rejected_when_no_endpoint_has_its_version() {
    let fleet = mixed_fleet();
    let node = fleet.start("a").await;
    begin_stream(&node, "r").await;
    let left = called_versions(&fleet, 0).remove(0);
    for id in ["a", "b"] {
        fleet
            .log
            .put("endpoints", &format!("{left}-{id}"), "draining");
    }
    sleep(Duration::from_secs(1)).await;
    let outcome = read_response(&node, resumption(&node, "s", "r")).await;
    assert_eq!(outcome, CallerOutcome::Rejected);
    assert_eq!(fleet.client.calls().len(), 1);
}

/// Guards against the output of an item with events of two software versions after its endpoint broke off.
#[tokio::test(start_paused = true)]
async fn interrupted_item_continues_at_its_own_version() {
    let fleet = mixed_fleet();
    let node = fleet.start("a").await;
    fleet.client.set_default(Stream { events: 20 });
    for index in 0..STREAMS {
        let first = fleet.client.calls().len();
        fleet.client.script(&[BreakAfter { event: 10 }]);
        node.submit_job(submission(&format!("j{index}"), 1)).await;
        sleep(Duration::from_secs(5)).await;
        let versions = called_versions(&fleet, first);
        assert_eq!(versions.len(), 2, "item {index}");
        assert_eq!(versions[0], versions[1], "item {index}");
    }
}

/// Guards against the output of an item with events of two software versions after another host took it over.
#[tokio::test(start_paused = true)]
async fn checkpointed_item_continues_at_its_own_version() {
    for index in 0..STREAMS {
        let fleet = mixed_fleet();
        fleet.client.set_default(Stream { events: 250 });
        let first = fleet.start("a").await;
        first.submit_job(submission("j", 1)).await;
        sleep(Duration::from_secs(3)).await;
        first.stop(Instant::now()).await;
        let second = fleet.start("b").await;
        sleep(Duration::from_secs(10)).await;
        let calls = fleet.client.calls();
        assert!(calls[1].resume_after.is_some(), "run {index}");
        let versions = called_versions(&fleet, 0);
        assert_eq!(versions[0], versions[1], "run {index}");
        assert_eq!(
            results(&second, "j").await.results[0].text,
            Some(full_text(250))
        );
    }
}

/// Guards against an item that waits for a software version which no endpoint has any more.
#[tokio::test(start_paused = true)]
async fn item_starts_again_when_no_endpoint_has_its_version() {
    let fleet = mixed_fleet();
    let node = fleet.start("a").await;
    fleet.client.script(&[BreakAfter { event: 50 }]);
    fleet.client.set_default(Stream { events: 100 });
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_millis(500)).await;
    let left = called_versions(&fleet, 0).remove(0);
    for id in ["a", "b"] {
        fleet.log.put("endpoints", &format!("{left}-{id}"), "");
    }
    sleep(Duration::from_secs(10)).await;
    let calls = fleet.client.calls();
    assert_ne!(version_of(&calls[1].endpoint), left);
    assert_eq!(calls[1].resume_after, None);
    assert_eq!(
        results(&node, "j").await.results[0].text,
        Some(full_text(100))
    );
}
