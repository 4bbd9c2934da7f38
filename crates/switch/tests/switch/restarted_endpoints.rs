//! Endpoints that start again under their ID at another software version, before the host has read their new listing.

use crate::support::CallScript::{BreakAfter, Stream};
use crate::support::{
    CallerOutcome, TestFleet, full_text, listed, read_response, request, results, submission,
};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::{OnlineReply, OnlineRequest};
use fulmarswitch_switch::starts::{EndpointStarts, StartCheck};
use futures::StreamExt;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Endpoint that starts again.
const ID: &str = "e";
const FIRST_START: &str = "ready v1 1";
const SECOND_START: &str = "ready v2 2";

async fn start() -> (TestFleet, Arc<SwitchNode>) {
    let fleet = TestFleet::new(0);
    fleet.log.put("endpoints", ID, FIRST_START);
    let node = fleet.start("a").await;
    (fleet, node)
}

/// Begins a stream and reads it for `time`.
async fn begin_stream(node: &Arc<SwitchNode>, time: Duration) {
    let request = request(node, "/resume/x", "r");
    let OnlineReply::Response(mut response) = node.serve_online(request).await else {
        panic!("the stream was not served");
    };
    let until = Instant::now() + time;
    while Instant::now() < until {
        response.body.next().await.unwrap().unwrap();
    }
}

/// Takes the stream up after its second event.
async fn take_up(node: &Arc<SwitchNode>) -> CallerOutcome {
    let resumption = OnlineRequest {
        resumes: Some("r".into()),
        resume_after: Some(2),
        ..request(node, "/resume/x", "s")
    };
    read_response(node, resumption).await
}

/// Guards against a text of two versions (ORDER): a stream is resumed at an endpoint that has the version which began it by an
/// old listing only.
#[rstest]
#[case::listings_are_read(false)]
#[case::listings_cannot_be_read(true)]
#[tokio::test(start_paused = true)]
async fn stream_is_not_resumed_at_another_start(#[case] is_cut: bool) {
    let (fleet, node) = start().await;
    fleet.client.script(&[BreakAfter { event: 2 }]);
    let first = read_response(&node, request(&node, "/safe/x", "warm-up")).await;
    assert!(matches!(first, CallerOutcome::Truncated(_)), "{first:?}");
    fleet.client.set_default(Stream { events: 200 });
    begin_stream(&node, Duration::from_millis(50)).await;
    if is_cut {
        fleet.log.cut_topic(Some("endpoints"));
        sleep(Duration::from_millis(100)).await;
        // The stream broke off with its endpoint.
        fleet.client.script(&[BreakAfter { event: 1 }]);
        read_response(&node, request(&node, "/safe/x", "other")).await;
    }
    fleet.log.put("endpoints", ID, SECOND_START);
    let outcome = take_up(&node).await;
    assert!(
        matches!(outcome, CallerOutcome::Rejected | CallerOutcome::Failed),
        "{outcome:?}"
    );
}

/// Guards against a text of two versions (ORDER): the stream was begun by another version than the listing said, and its origin is
/// that of the listing.
#[tokio::test(start_paused = true)]
async fn stream_of_an_unnoticed_start_is_not_resumed() {
    let (fleet, node) = start().await;
    fleet.client.set_default(Stream { events: 200 });
    fleet.log.cut_topic(Some("endpoints"));
    fleet.log.put("endpoints", ID, SECOND_START);
    let reading = tokio::spawn({
        let node = node.clone();
        async move { begin_stream(&node, Duration::from_secs(3)).await }
    });
    sleep(Duration::from_millis(100)).await;
    fleet.log.put("endpoints", "other", FIRST_START);
    fleet.log.cut_topic(None);
    reading.await.unwrap();
    assert_eq!(take_up(&node).await, CallerOutcome::Rejected);
}

/// Guards against the output of an item with events of two versions (ORDER), which a checkpoint makes durable.
#[tokio::test(start_paused = true)]
async fn item_is_not_continued_at_another_start() {
    let (fleet, node) = start().await;
    fleet.client.script(&[BreakAfter { event: 10 }]);
    fleet.client.set_default(Stream { events: 60 });
    fleet.log.cut_topic(Some("endpoints"));
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_millis(300)).await;
    fleet.log.put("endpoints", ID, SECOND_START);
    sleep(Duration::from_millis(300)).await;
    fleet.log.cut_topic(None);
    sleep(Duration::from_secs(10)).await;
    let calls = fleet.client.calls();
    assert_eq!(calls.last().unwrap().resume_after, None, "{calls:?}");
    assert_eq!(
        results(&node, "j").await.results[0].text,
        Some(full_text(60))
    );
}

#[test]
fn request_before_the_last_read_of_a_listing_reached_that_start() {
    let mut starts = EndpointStarts::default();
    let endpoint = listed(ID, 4, false);
    let second = Duration::from_secs(1);
    let sent_at = Instant::now();
    assert_eq!(starts.check(&endpoint, sent_at), StartCheck::Unknown);
    starts.record_read(Some(sent_at + second));
    assert_eq!(starts.check(&endpoint, sent_at), StartCheck::Same);
    let later = sent_at + second * 2;
    assert_eq!(starts.check(&endpoint, later), StartCheck::Unknown);
    starts.record_restart(&endpoint, later + second);
    assert_eq!(starts.check(&endpoint, sent_at), StartCheck::Same);
    assert_eq!(starts.check(&endpoint, later), StartCheck::Other);
}
