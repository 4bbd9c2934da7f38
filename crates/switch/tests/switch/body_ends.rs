//! Ends of the bodies of endpoints that look like regular ones although the endpoint has broken off.

use crate::support::CallScript::{
    BlankLineAtEnd, BreakAfter, Disconnect, EndAfter, EndWithin, Silent, Status, StatusUntilClose,
    Stream, StreamUntilClose,
};
use crate::support::{
    CallScript, CallerOutcome, TestFleet, events, full_text, half_event, request, results,
    send_request, submission, wait_until,
};
use bytes::Bytes;
use fulmarswitch_switch::backend::BodyFraming::{self, Delimited, UntilClose};
use fulmarswitch_switch::online::OnlineReply;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn events_and_half(last: u64) -> Bytes {
    [events(last), half_event(last + 1)].concat().into()
}

/// Guards against a broken-off stream that looks complete, since its endpoint ended the body regularly within an event.
#[rstest]
#[case::until_close("/stream/x", EndWithin { after: 2, body: UntilClose }, CallerOutcome::Truncated(events_and_half(2)))]
#[case::until_close_in_the_first("/stream/x", EndWithin { after: 0, body: UntilClose }, CallerOutcome::Truncated(half_event(1)))]
#[case::delimited("/stream/x", EndWithin { after: 2, body: Delimited }, CallerOutcome::Truncated(events_and_half(2)))]
#[case::resumable_until_close("/resume/x", EndWithin { after: 2, body: UntilClose }, CallerOutcome::Complete(events(3)))]
#[case::resumable_delimited("/resume/x", EndWithin { after: 2, body: Delimited }, CallerOutcome::Complete(events(3)))]
#[tokio::test(start_paused = true)]
async fn stream_that_ends_within_an_event_is_not_complete(
    #[case] path: &str,
    #[case] script: CallScript,
    #[case] expected: CallerOutcome,
) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[script]);
    assert_eq!(send_request(&node, path).await, expected);
}

/// Guards against a complete stream that is taken for a broken-off one, since a blank line follows its last event.
#[rstest]
#[case::not_resumable("/stream/x")]
#[case::resumable("/resume/x")]
#[tokio::test(start_paused = true)]
async fn blank_line_after_the_last_event_is_no_event(#[case] path: &str) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[BlankLineAtEnd { events: 3 }]);
    let CallerOutcome::Complete(body) = send_request(&node, path).await else {
        panic!("the stream is not complete");
    };
    assert!(body.starts_with(&events(3)));
    assert_eq!(fleet.client.calls().len(), 1);
}

/// Guards against a stream without any event that looks complete, since its endpoint closed the connection after the head.
#[rstest]
#[case::not_resumable("/stream/x", CallerOutcome::Failed)]
#[case::resumable("/resume/x", CallerOutcome::Complete(events(3)))]
#[tokio::test(start_paused = true)]
async fn stream_that_closes_before_its_first_event_is_not_complete(
    #[case] path: &str,
    #[case] expected: CallerOutcome,
) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[EndAfter {
        event: 0,
        body: UntilClose,
    }]);
    assert_eq!(send_request(&node, path).await, expected);
}

/// Guards against an answer whose end is marked more firmly for the caller than it was by the endpoint.
#[rstest]
#[case::delimited("/once/x", Stream { events: 3 }, Delimited)]
#[case::stream("/stream/x", StreamUntilClose { events: 3 }, UntilClose)]
#[case::resumable_stream("/resume/x", StreamUntilClose { events: 3 }, UntilClose)]
#[case::no_stream("/once/x", StreamUntilClose { events: 3 }, UntilClose)]
#[case::failure("/once/x", StatusUntilClose(500), UntilClose)]
#[case::delimited_failure("/once/x", Status(500), Delimited)]
#[tokio::test(start_paused = true)]
async fn answer_keeps_the_framing_of_its_endpoint(
    #[case] path: &str,
    #[case] script: CallScript,
    #[case] expected: BodyFraming,
) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[script]);
    let reply = node.serve_online(request(&node, path, "r")).await;
    let OnlineReply::Response(response) = reply else {
        panic!("no response");
    };
    assert_eq!(response.framing, expected);
}

/// Guards against a resumed stream whose end at another endpoint is taken for its completeness without a question: the caller
/// was promised a marked end, and the body at the other endpoint has none. Nor may a sound stream be cut for that.
#[rstest]
#[case::goes_on(&[BreakAfter { event: 2 }, EndAfter { event: 3, body: UntilClose }, Stream { events: 5 }], CallerOutcome::Complete(events(5)), 3)]
#[case::was_complete(&[BreakAfter { event: 2 }, StreamUntilClose { events: 3 }, Stream { events: 3 }], CallerOutcome::Complete(events(3)), 3)]
#[case::two_bodies_agree(&[BreakAfter { event: 2 }, StreamUntilClose { events: 3 }, StreamUntilClose { events: 3 }], CallerOutcome::Complete(events(3)), 3)]
#[case::nobody_can_be_asked(&[BreakAfter { event: 1 }, BreakAfter { event: 2 }, StreamUntilClose { events: 3 }], CallerOutcome::Complete(events(3)), 3)]
#[case::asked_endpoint_is_silent(&[BreakAfter { event: 2 }, StreamUntilClose { events: 3 }, Silent], CallerOutcome::Complete(events(3)), 3)]
#[case::asked_endpoint_fails(&[BreakAfter { event: 2 }, StreamUntilClose { events: 3 }, Status(500)], CallerOutcome::Complete(events(3)), 3)]
#[case::asked_endpoint_is_lost(&[BreakAfter { event: 2 }, StreamUntilClose { events: 3 }, Disconnect], CallerOutcome::Complete(events(3)), 3)]
#[case::more_follows_and_is_lost(&[BreakAfter { event: 2 }, EndAfter { event: 3, body: UntilClose }, EndWithin { after: 3, body: UntilClose }], CallerOutcome::Truncated(events(3)), 3)]
#[tokio::test(start_paused = true)]
async fn end_of_a_resumed_stream_is_confirmed(
    #[case] scripts: &[CallScript],
    #[case] expected: CallerOutcome,
    #[case] runs: usize,
) {
    let fleet = TestFleet::new(4);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    let started = Instant::now();
    assert_eq!(send_request(&node, "/resume/x").await, expected);
    assert_eq!(fleet.client.calls().len(), runs);
    // Callers abandon a stream after a gap of 2 s.
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
}

/// Guards against a resumed stream that looks complete since the endpoint at which it went on crashed between two events, and no
/// other endpoint can be asked.
#[rstest]
#[case::nobody_can_be_asked(&[BreakAfter { event: 2 }, EndAfter { event: 3, body: UntilClose }])]
#[case::attempts_are_used_up(&[BreakAfter { event: 1 }, BreakAfter { event: 2 }, EndAfter { event: 3, body: UntilClose }])]
#[case::asked_endpoint_is_lost(&[BreakAfter { event: 2 }, EndAfter { event: 3, body: UntilClose }, Disconnect])]
#[tokio::test(start_paused = true)]
async fn resumed_stream_whose_endpoint_crashes_is_not_complete(#[case] scripts: &[CallScript]) {
    let fleet = TestFleet::new(4);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    fleet.client.refuse_connections();
    let outcome = send_request(&node, "/resume/x").await;
    assert_eq!(outcome, CallerOutcome::Truncated(events(3)));
}

/// Guards against an item that is recorded as completed with a part of its output, since its endpoint closed the
/// connection between two events.
#[tokio::test(start_paused = true)]
async fn item_whose_endpoint_closes_between_events_runs_on() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[EndAfter {
        event: 2,
        body: UntilClose,
    }]);
    fleet.client.set_default(Stream { events: 5 });
    node.submit_job(submission("j", 1)).await;
    wait_until("a result", async || {
        !results(&node, "j").await.results.is_empty()
    })
    .await;
    assert_eq!(
        results(&node, "j").await.results[0].text,
        Some(full_text(5))
    );
    let resumed: Vec<_> = fleet
        .client
        .calls()
        .iter()
        .map(|c| c.resume_after)
        .collect();
    assert_eq!(resumed, [None, Some(2)]);
}

/// Guards against an item that runs forever at endpoints that never mark the end of a body.
#[tokio::test(start_paused = true)]
async fn item_completes_at_endpoints_that_always_send_until_close() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_default(StreamUntilClose { events: 5 });
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(1)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1, "the item does not end");
    assert_eq!(page.results[0].text, Some(full_text(5)));
    let resumed: Vec<_> = fleet
        .client
        .calls()
        .iter()
        .map(|c| c.resume_after)
        .collect();
    assert_eq!(resumed, [None, Some(5), Some(4)]);
}

/// Guards against an item that is recorded as completed with a part of its output, since one endpoint closed the connection
/// between two events and the next one after the head.
#[tokio::test(start_paused = true)]
async fn item_whose_endpoints_close_twice_runs_on() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    let close_early = EndAfter {
        event: 2,
        body: UntilClose,
    };
    fleet.client.script(&[close_early, close_early]);
    fleet.client.set_default(StreamUntilClose { events: 5 });
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(1)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results[0].text, Some(full_text(5)));
}
