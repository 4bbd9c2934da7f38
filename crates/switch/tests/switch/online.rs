//! Online requests: selection of endpoints, retries, and the result for the caller.

use crate::support::CallScript::{
    BreakAfter, BreakAfterSilence, Disconnect, EndlessComments, EndlessEvent, EndlessStream, Full,
    Pause, PauseOften, Silent, StallAfter, Status, Stream, Unreachable,
};
use crate::support::{
    CallScript, CallerOutcome, TestFleet, events, read_response, request, send_request,
};
use fulmarswitch_switch::online::{OnlineReply, OnlineRequest};
use futures::StreamExt;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, sleep};

#[rstest]
#[case::at_once("/once/x", &[Stream { events: 3 }], CallerOutcome::Complete(events(3)), 1)]
#[case::another_when_unreachable("/once/x", &[Unreachable, Unreachable], CallerOutcome::Complete(events(3)), 1)]
#[case::another_when_full("/once/x", &[Full, Full], CallerOutcome::Complete(events(3)), 1)]
#[case::rejected_when_all_are_full("/once/x", &[Full, Full, Full, Full], CallerOutcome::Rejected, 0)]
#[case::once_may_have_run("/once/x", &[Disconnect], CallerOutcome::Failed, 1)]
#[case::once_is_truncated("/once/x", &[BreakAfter { event: 1 }], CallerOutcome::Truncated(events(1)), 1)]
#[case::once_keeps_a_failure("/once/x", &[Status(500)], CallerOutcome::Status(500), 1)]
#[case::safe_runs_again("/safe/x", &[Disconnect, Status(500)], CallerOutcome::Complete(events(3)), 3)]
#[case::safe_stops_after_its_attempts("/safe/x", &[Disconnect, Disconnect, Disconnect], CallerOutcome::Failed, 3)]
#[case::safe_runs_again_after_silence("/safe/x", &[Silent], CallerOutcome::Complete(events(3)), 2)]
#[case::stream_may_have_run("/stream/x", &[Disconnect], CallerOutcome::Failed, 1)]
#[case::silent_stream_waits_for_the_deadline("/stream/x", &[Silent], CallerOutcome::TimedOut, 1)]
#[case::stream_is_truncated("/stream/x", &[BreakAfter { event: 2 }], CallerOutcome::Truncated(events(2)), 1)]
#[case::stream_is_resumed("/resume/x", &[BreakAfter { event: 2 }], CallerOutcome::Complete(events(3)), 2)]
#[case::stream_is_resumed_after_a_stall("/resume/x", &[StallAfter { event: 2 }], CallerOutcome::Complete(events(3)), 2)]
#[case::endless_event_is_interrupted("/resume/x", &[EndlessEvent], CallerOutcome::Failed, 1)]
#[case::stream_stops_after_its_attempts(
    "/resume/x",
    &[BreakAfter { event: 1 }, Disconnect, BreakAfter { event: 2 }],
    CallerOutcome::Truncated(events(2)),
    3
)]
#[tokio::test(start_paused = true)]
async fn caller_outcome(
    #[case] path: &str,
    #[case] scripts: &[CallScript],
    #[case] expected: CallerOutcome,
    #[case] runs: usize,
) {
    let fleet = TestFleet::new(5);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    assert_eq!(send_request(&node, path).await, expected);
    let calls = fleet.client.calls();
    assert_eq!(calls.iter().filter(|call| call.ran).count(), runs);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.client.running(), 0, "a call runs without a caller");
}

#[tokio::test(start_paused = true)]
async fn run_is_cancelled_when_the_caller_disconnects() {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.script(&[Stream { events: 1000 }]);
    let request = tokio::spawn({
        let node = node.clone();
        async move { send_request(&node, "/stream/x").await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.client.running(), 1);
    request.abort();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.client.running(), 0);
    let metrics = node.write_metrics().unwrap();
    assert!(
        metrics.contains("fulmarswitch_requests_total{outcome=\"caller left\"} 1"),
        "{metrics}"
    );
}

#[tokio::test(start_paused = true)]
async fn request_is_rejected_at_once_without_endpoints() {
    let fleet = TestFleet::new(0);
    let node = fleet.start("a").await;
    let started = Instant::now();
    assert_eq!(
        send_request(&node, "/safe/x").await,
        CallerOutcome::Rejected
    );
    assert!(started.elapsed() < Duration::from_millis(10));
}

/// All hosts restart while the log is unavailable and have no routes until it returns. Then they must serve callers
/// with no further delay.
#[rstest]
#[case::short(Duration::from_millis(300))]
#[case::long(Duration::from_secs(3))]
#[case::very_long(Duration::from_secs(31))]
#[tokio::test(start_paused = true)]
async fn host_started_in_a_log_outage_serves_soon_after_it(#[case] outage: Duration) {
    let fleet = TestFleet::new(1);
    fleet.log.set_down(true);
    let mut nodes = Vec::new();
    for name in 'a'..='t' {
        nodes.push(fleet.spawn(&name.to_string()).await);
    }
    sleep(outage).await;
    fleet.log.set_down(false);
    sleep(Duration::from_millis(250)).await;
    for node in nodes {
        assert!(node.is_ready());
        assert_eq!(
            send_request(&node, "/once/x").await,
            CallerOutcome::Complete(events(3))
        );
    }
}

/// Endpoints accept requests and never respond, on a route whose requests must not run twice. The first requests wait
/// for their responses; later ones must go elsewhere.
#[tokio::test(start_paused = true)]
async fn silent_endpoint_gets_no_more_requests() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[Silent]);
    fleet.client.set_default(Stream { events: 20 });
    let waiting = tokio::spawn({
        let node = node.clone();
        async move { send_request(&node, "/stream/x").await }
    });
    sleep(Duration::from_millis(950)).await;
    let silent = fleet.client.calls()[0].endpoint.clone();
    // Enough concurrent requests that the silent endpoint would be the least loaded.
    let later = (0..4).map(|_| send_request(&node, "/stream/x"));
    for outcome in futures::future::join_all(later).await {
        assert_eq!(outcome, CallerOutcome::Complete(events(20)));
    }
    let calls = fleet.client.calls();
    let sent = calls.iter().filter(|call| call.endpoint == silent).count();
    assert_eq!(
        sent, 1,
        "only the first request went to the silent endpoint"
    );
    assert_eq!(waiting.await.unwrap(), CallerOutcome::TimedOut);
}

/// An endpoint that is silent for this long goes on afterwards.
const SILENCE: Duration = Duration::from_millis(1800);

fn pause(after: u64) -> CallScript {
    pause_for(after, SILENCE)
}

fn pause_for(after: u64, silence: Duration) -> CallScript {
    Pause {
        after,
        silence,
        events: 5,
    }
}

/// Guards against an answer that ends although its endpoint, silent for a while, would have gone on: no other endpoint
/// takes the request over.
#[rstest]
#[case::of_a_stream_without_another_endpoint("/resume/x", 1, &[pause(2)])]
#[case::of_a_stream_while_all_others_are_full("/resume/x", 5, &[pause(2), Full, Full, Full, Full])]
#[case::of_a_stream_while_others_are_unreachable("/resume/x", 3, &[pause(2), Unreachable, Unreachable])]
#[case::of_a_stream_while_another_breaks_off("/resume/x", 3, &[pause(2), Disconnect, Disconnect])]
#[case::before_the_head_of_a_stream("/resume/x", 1, &[pause(0)])]
#[case::before_the_head_of_a_stream_while_others_are_full("/resume/x", 5, &[pause(0), Full, Full, Full, Full])]
#[case::before_the_head_without_another_endpoint("/safe/x", 1, &[pause(0)])]
#[case::before_the_head_while_others_are_full("/safe/x", 5, &[pause(0), Full, Full, Full, Full])]
#[case::before_the_head_while_others_break_off("/safe/x", 3, &[pause(0), Disconnect, Disconnect])]
#[case::before_the_head_while_others_fail("/safe/x", 3, &[pause(0), Status(500), Status(500)])]
#[tokio::test(start_paused = true)]
async fn answer_outlasts_a_silence_of_its_endpoint(
    #[case] path: &str,
    #[case] endpoints: usize,
    #[case] scripts: &[CallScript],
) {
    let fleet = TestFleet::new(endpoints);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    // Endpoints beyond the scripted calls are of no help either.
    fleet.client.set_default(Full);
    let outcome = send_request(&node, path).await;
    assert_eq!(outcome, CallerOutcome::Complete(events(5)));
    sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.client.running(), 0, "a call runs without a caller");
}

/// Guards against a stream that is given up although its endpoint goes on while another one, asked during the silence,
/// has not answered yet.
#[tokio::test(start_paused = true)]
async fn stream_goes_on_at_its_endpoint_if_that_sends_first() {
    let fleet = TestFleet::new(3);
    let node = fleet.start("a").await;
    fleet.client.script(&[pause(2), Silent]);
    fleet.client.set_default(Full);
    let outcome = send_request(&node, "/resume/x").await;
    assert_eq!(outcome, CallerOutcome::Complete(events(5)));
    sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.client.running(), 0, "a call runs without a caller");
}

/// Guards against a request that two endpoints run at the same time for longer than 400 ms, when the second one is asked
/// during a silence of the first.
#[rstest]
#[case::other_answers("/resume/x", &[StallAfter { event: 2 }, Stream { events: 5 }])]
#[case::other_is_silent("/resume/x", &[StallAfter { event: 2 }, Silent])]
#[case::other_is_silent_after_an_event("/resume/x", &[StallAfter { event: 2 }, StallAfter { event: 3 }])]
#[case::other_answers_before_the_head("/safe/x", &[Silent, Stream { events: 5 }])]
#[case::all_are_silent_before_the_head("/safe/x", &[Silent, Silent, Silent])]
#[tokio::test(start_paused = true)]
async fn silent_endpoint_is_given_up_soon_after_another_is_asked(
    #[case] path: &str,
    #[case] scripts: &[CallScript],
) {
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
    let fleet = TestFleet::new(4);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    fleet.client.set_default(Full);
    let request = send_request(&node, path);
    let mut overlap = Duration::ZERO;
    let sampling = async {
        loop {
            sleep(SAMPLE_INTERVAL).await;
            let running = fleet.client.running();
            assert!(running <= 2, "{running} endpoints have the request");
            overlap = if running == 2 {
                overlap + SAMPLE_INTERVAL
            } else {
                Duration::ZERO
            };
            assert!(overlap <= Duration::from_millis(400));
        }
    };
    tokio::select! {
        _ = request => {}
        () = sampling => {}
    }
    let calls = fleet.client.calls();
    assert!(calls.iter().filter(|call| call.ran).count() <= 3);
}

/// Guards against a response that outlasts its deadline since its endpoint sends without end.
#[rstest]
#[case::at_once("/once/x")]
#[case::of_a_stream_that_may_be_resumed("/resume/x")]
#[tokio::test]
async fn endless_response_ends_at_its_deadline(#[case] path: &str) {
    const TIMEOUT: Duration = Duration::from_millis(200);
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.script(&[EndlessStream]);
    let started = Instant::now();
    let request = OnlineRequest {
        deadline: started + TIMEOUT,
        ..request(&node, path, "r")
    };
    let OnlineReply::Response(mut response) = node.serve_online(request).await else {
        panic!("the request was not served");
    };
    let mut is_broken_off = false;
    while let Some(chunk) = response.body.next().await {
        is_broken_off = chunk.is_err();
        let elapsed = started.elapsed();
        assert!(
            elapsed < TIMEOUT + Duration::from_millis(500),
            "{elapsed:?}"
        );
    }
    assert!(is_broken_off, "an endless response must not look complete");
    assert_eq!(fleet.client.running(), 0, "the call still runs");
}

/// Guards against a caller whose connection closes without a response, since the endpoint broke off between the head
/// and the first byte of its response.
#[rstest]
#[case::at_once("/once/x", &[BreakAfter { event: 0 }], CallerOutcome::Failed)]
#[case::unless_it_may_run_again("/safe/x", &[BreakAfter { event: 0 }], CallerOutcome::Complete(events(3)))]
#[case::of_a_stream("/stream/x", &[BreakAfter { event: 0 }], CallerOutcome::Failed)]
#[case::at_the_deadline("/stream/x", &[StallAfter { event: 0 }], CallerOutcome::TimedOut)]
#[case::of_a_stream_that_may_be_resumed(
    "/resume/x",
    &[BreakAfter { event: 0 }, BreakAfter { event: 0 }, BreakAfter { event: 0 }],
    CallerOutcome::Failed
)]
#[tokio::test(start_paused = true)]
async fn response_without_a_byte_becomes_a_failure(
    #[case] path: &str,
    #[case] scripts: &[CallScript],
    #[case] expected: CallerOutcome,
) {
    let fleet = TestFleet::new(5);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    assert_eq!(send_request(&node, path).await, expected);
}

/// Guards against an answer that ends since its silent endpoint was given up for another one that sent nothing either.
#[rstest]
#[case::other_is_silent_before_its_head("/safe/x", 2, &[pause(0)], Silent)]
#[case::other_of_a_stream_is_silent("/resume/x", 2, &[pause(2)], Silent)]
#[case::other_is_silent_after_its_head("/resume/x", 2, &[pause(2), StallAfter { event: 2 }], Silent)]
#[case::both_are_silent_within_a_stream("/resume/x", 2, &[pause(2), pause_for(2, Duration::from_secs(3))], Silent)]
#[case::all_are_slow("/safe/x", 4, &[], pause_for(0, Duration::from_secs(3)))]
#[case::all_are_slow_before_a_stream("/resume/x", 4, &[], pause_for(0, Duration::from_secs(3)))]
#[tokio::test(start_paused = true)]
async fn silent_endpoint_keeps_the_request_until_another_sends(
    #[case] path: &str,
    #[case] endpoints: usize,
    #[case] scripts: &[CallScript],
    #[case] default: CallScript,
) {
    let fleet = TestFleet::new(endpoints);
    let node = fleet.start("a").await;
    fleet.client.script(scripts);
    fleet.client.set_default(default);
    let outcome = send_request(&node, path).await;
    assert_eq!(outcome, CallerOutcome::Complete(events(5)));
}

/// Guards against a request that runs on more endpoints than its attempts, since one that was asked during a silence and
/// cancelled is not counted.
#[tokio::test(start_paused = true)]
async fn endpoints_asked_during_silences_count_as_attempts() {
    let fleet = TestFleet::new(6);
    let node = fleet.start("a").await;
    let silence = Duration::from_millis(1700);
    fleet.client.script(&[PauseOften { silence, events: 5 }]);
    fleet.client.set_default(Silent);
    let request = OnlineRequest {
        deadline: Instant::now() + Duration::from_secs(20),
        ..request(&node, "/resume/x", "r")
    };
    let outcome = read_response(&node, request).await;
    assert_eq!(outcome, CallerOutcome::Complete(events(5)));
    let runs = fleet.client.calls().iter().filter(|call| call.ran).count();
    assert!(runs <= 3, "{runs} endpoints ran a request with 3 attempts");
}

/// Guards against an endpoint that is given up early for the silence of the one that had the request before it.
#[rstest]
#[case::before_the_head("/safe/x", 0)]
#[case::of_a_stream("/resume/x", 2)]
#[tokio::test(start_paused = true)]
async fn silence_of_an_endpoint_that_broke_off_is_not_that_of_the_next(
    #[case] path: &str,
    #[case] after: u64,
) {
    let fleet = TestFleet::new(4);
    let node = fleet.start("a").await;
    let silence = Duration::from_millis(1580);
    fleet.client.script(&[
        BreakAfterSilence { after, silence },
        pause_for(0, Duration::from_millis(700)),
    ]);
    fleet.client.set_default(Silent);
    let outcome = send_request(&node, path).await;
    assert_eq!(outcome, CallerOutcome::Complete(events(5)));
    assert_eq!(fleet.client.calls().len(), 2);
}

/// Guards against a request that is sent to a second endpoint since its caller did not read for a while.
#[tokio::test(start_paused = true)]
async fn caller_that_does_not_read_is_no_silence_of_the_endpoint() {
    let fleet = TestFleet::new(4);
    let node = fleet.start("a").await;
    fleet.client.set_default(Stream { events: 5 });
    let reply = node.serve_online(request(&node, "/resume/x", "r")).await;
    let OnlineReply::Response(mut response) = reply else {
        panic!("the request was not served");
    };
    response.body.next().await.unwrap().unwrap();
    sleep(Duration::from_secs(2)).await;
    while let Some(chunk) = response.body.next().await {
        chunk.unwrap();
    }
    assert_eq!(fleet.client.calls().len(), 1);
}

/// Guards against a stream that stays at an endpoint which sends comments without end and no further event.
#[tokio::test(start_paused = true)]
async fn stream_moves_away_from_an_endpoint_that_sends_only_comments() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[EndlessComments]);
    fleet.client.set_default(Stream { events: 5 });
    let reply = node.serve_online(request(&node, "/resume/x", "r")).await;
    let OnlineReply::Response(mut response) = reply else {
        panic!("the request was not served");
    };
    let mut body = Vec::new();
    while let Some(chunk) = response.body.next().await {
        body.extend_from_slice(&chunk.unwrap());
    }
    let all = events(5);
    assert!(body.ends_with(&all), "the stream ends without its events");
}

/// Guards against a request that stays at an endpoint which hangs, since others do not respond within the overlap.
#[rstest]
#[case::before_the_head("/safe/x", Silent)]
#[case::within_a_stream("/resume/x", StallAfter { event: 2 })]
#[tokio::test(start_paused = true)]
async fn request_leaves_a_hung_endpoint_for_those_that_begin_in_half_a_second(
    #[case] path: &str,
    #[case] hung: CallScript,
) {
    let fleet = TestFleet::new(5);
    let node = fleet.start("a").await;
    fleet.client.set_default(Pause {
        after: 0,
        silence: Duration::from_millis(500),
        events: 20,
    });
    // The host measures the time to the first byte, by which it tells an endpoint that hangs from a slow service.
    assert_eq!(
        send_request(&node, path).await,
        CallerOutcome::Complete(events(20))
    );
    fleet.client.script(&[hung]);
    let outcome = send_request(&node, path).await;
    assert_eq!(outcome, CallerOutcome::Complete(events(20)));
}
