//! Endpoints that go down and up by turns, under requests and items that share a part of their prompts and are not the cause.

use crate::support::{
    CallScript, CallerOutcome, DeadlyCalls, DeadlyCause, TestFleet, read_response,
    request_with_parts, submission,
};
use fulmarswitch_switch::jobs::SubmitReply;
use fulmarswitch_switch::node::SwitchNode;
use rstest::rstest;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// The part that all requests and items have.
const POPULAR: &str = "popular";
/// Number of crashes: one more than those after which a part is suspected in any case.
const CRASHES: usize = 6;
/// Time from a crash until the next start of the endpoint is listed.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// Time in which work must go on once the cause is gone: items must be at endpoints in the last 5 of the 18 s that jobs have.
const RESUME_TIME: Duration = Duration::from_secs(13);
/// Time from a request to the end of its endpoint, in which an answer has shown that the request is not the cause.
const LONG_RUN: Duration = Duration::from_millis(400);

/// Time from a request to the end of its endpoint, in which nothing shows that the request is not the cause.
const SHORT_RUN: Duration = Duration::from_millis(100);
/// Time after which a part that crashed endpoints of several addresses is tried.
const FIRST_TERM: Duration = Duration::from_secs(20);
/// Time for which an endpoint is up while it goes down and up by turns.
const UP_TIME: Duration = Duration::from_millis(600);

/// An endpoint that goes down and up at one address, under another ID each time.
struct FlappingEndpoint {
    fleet: TestFleet,
    name: &'static str,
    crashes: usize,
}

impl FlappingEndpoint {
    /// Lists the first start of the endpoint.
    fn list(fleet: &TestFleet, name: &'static str) -> Self {
        let endpoint = Self {
            fleet: fleet.clone(),
            name,
            crashes: 0,
        };
        endpoint.set_listed(true);
        endpoint
    }

    /// ID of its current start.
    fn id(&self) -> Arc<str> {
        format!("{}-{}", self.name, self.crashes).into()
    }

    fn set_listed(&self, is_listed: bool) {
        let listing = if is_listed {
            let port = xxh3_64(self.name.as_bytes()) % 60_000;
            format!("ready 1 0 service domain 4 127.0.0.1:{port}")
        } else {
            String::new()
        };
        self.fleet.log.put("endpoints", &self.id(), &listing);
    }

    /// Waits until the current start gets a call, at most for `limit`.
    async fn wait_for_call(&self, limit: Duration) {
        let (id, until) = (self.id(), Instant::now() + limit);
        let is_called = || {
            let calls = self.fleet.client.calls();
            calls.iter().any(|call| call.endpoint == id)
        };
        while !is_called() {
            assert!(Instant::now() < until, "no call at {id} within {limit:?}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Number of starts that got calls.
    fn called_starts(&self) -> usize {
        let calls = self.fleet.client.calls();
        let mut starts: Vec<_> = calls
            .into_iter()
            .map(|call| call.endpoint)
            .filter(|id| id.starts_with(self.name))
            .collect();
        starts.sort_unstable();
        starts.dedup();
        starts.len()
    }

    /// Ends the current start, and lists the next one after [`DOWN_TIME`].
    async fn crash(&mut self) {
        self.fleet.client.end_endpoint(&self.id());
        self.set_listed(false);
        sleep(DOWN_TIME).await;
        self.crashes += 1;
        self.set_listed(true);
    }
}

/// Starts a host beside an endpoint of another service, by which it can tell that its links are up.
async fn start_host(fleet: &TestFleet) -> Arc<SwitchNode> {
    fleet.log.put("endpoints", "o", "ready 1 0 other");
    fleet.start("a").await
}

async fn submit_items(host: &Arc<SwitchNode>, count: u32) {
    let mut submission = submission("j", count);
    for item in &mut submission.items {
        item.headers.push(("parts".into(), POPULAR.into()));
    }
    assert_eq!(host.submit_job(submission).await, SubmitReply::Done);
}

async fn send(host: &Arc<SwitchNode>, number: usize) -> CallerOutcome {
    let id = format!("r{number}");
    let mut request = request_with_parts(host, "/stream/x", &id, &[POPULAR.to_owned()]);
    request.call.body = id.into();
    read_response(host, request).await
}

/// Lets each call crash its endpoint after a time from now on.
fn crash_after(fleet: &TestFleet, time: Duration) {
    fleet.client.set_deadly(Some(DeadlyCalls {
        cause: DeadlyCause::Any,
        crash_after: time,
    }));
}

/// Lets three endpoints crash one after the other, under requests with these numbers.
async fn crash_three(
    fleet: &TestFleet,
    host: &Arc<SwitchNode>,
    numbers: Range<usize>,
    run: Duration,
) {
    fleet
        .client
        .set_default(CallScript::Stream { events: 5000 });
    crash_after(fleet, run);
    for number in numbers {
        send(host, number).await;
        sleep(LONG_RUN).await;
    }
}

/// Starts all endpoints again that have ended.
fn revive_all(fleet: &TestFleet) {
    let ended = fleet.client.ended().borrow().clone();
    for id in ended {
        fleet.client.revive_endpoint(&id);
    }
}

/// Guards against items that are held back for a part that crashed nothing: the runs that broke off with their endpoint had gone on long
/// enough to show that (`review/13`).
#[tokio::test(start_paused = true)]
async fn items_of_runs_that_broke_off_late_go_on() {
    let fleet = TestFleet::new(0);
    fleet
        .client
        .set_default(CallScript::Stream { events: 5000 });
    let mut endpoint = FlappingEndpoint::list(&fleet, "e");
    let host = start_host(&fleet).await;
    submit_items(&host, 8).await;
    for _ in 0..CRASHES {
        endpoint.wait_for_call(RESUME_TIME).await;
        sleep(LONG_RUN).await;
        endpoint.crash().await;
    }
    endpoint.wait_for_call(RESUME_TIME).await;
}

/// Guards against requests that are rejected for a part that crashed nothing, as above.
#[tokio::test(start_paused = true)]
async fn requests_like_those_that_broke_off_late_are_sent() {
    let fleet = TestFleet::new(0);
    fleet
        .client
        .set_default(CallScript::Stream { events: 5000 });
    let mut endpoint = FlappingEndpoint::list(&fleet, "e");
    let host = start_host(&fleet).await;
    let mut callers = JoinSet::new();
    for number in 0..CRASHES {
        let host = host.clone();
        callers.spawn(async move { send(&host, number).await });
        endpoint.wait_for_call(DOWN_TIME).await;
        sleep(LONG_RUN).await;
        endpoint.crash().await;
        // The next start has been read and the crash counts.
        sleep(DOWN_TIME).await;
    }
    fleet.client.set_default(CallScript::Stream { events: 3 });
    assert!(matches!(
        send(&host, CRASHES).await,
        CallerOutcome::Complete(_)
    ));
}

/// Guards against an answer that acquits a part of crashes since its begin: it began between a crash of another cause and the time from
/// which the part crashes endpoints (BUDGET).
#[tokio::test(start_paused = true)]
async fn answer_from_before_a_part_crashes_endpoints_does_not_acquit_it() {
    let fleet = TestFleet::new(8);
    let host = start_host(&fleet).await;
    crash_after(&fleet, SHORT_RUN);
    send(&host, 0).await;
    fleet.client.set_deadly(None);
    sleep(DOWN_TIME).await;
    fleet.client.set_default(CallScript::Stream { events: 120 });
    let long = tokio::spawn({
        let host = host.clone();
        async move { send(&host, 1).await }
    });
    sleep(LONG_RUN).await;
    crash_three(&fleet, &host, 2..5, SHORT_RUN).await;
    assert_eq!(send(&host, 5).await, CallerOutcome::Rejected);
    assert!(matches!(long.await.unwrap(), CallerOutcome::Complete(_)));
    assert_eq!(send(&host, 6).await, CallerOutcome::Rejected);
}

/// Guards against an endpoint that goes down and up by turns and draws, at each start, whatever waits for a slot.
#[tokio::test(start_paused = true)]
async fn endpoint_that_crashes_again_and_again_is_left_alone() {
    let fleet = TestFleet::new(1);
    fleet
        .client
        .set_default(CallScript::Stream { events: 5000 });
    let mut endpoint = FlappingEndpoint::list(&fleet, "f");
    let host = start_host(&fleet).await;
    submit_items(&host, 12).await;
    for _ in 0..CRASHES {
        sleep(UP_TIME).await;
        endpoint.crash().await;
    }
    let called = endpoint.called_starts();
    assert!(
        called <= CRASHES / 2,
        "{called} of {CRASHES} starts got calls"
    );
    endpoint.wait_for_call(RESUME_TIME).await;
}

/// Guards against items that are held back for longer than their job has left, for a part that only endpoints which go down and up by turns
/// have crashed under, and that no other endpoint had a free slot to try.
#[rstest]
#[case::one_endpoint(&["f"])]
#[case::two_by_turns(&["f", "g"])]
#[tokio::test(start_paused = true)]
async fn items_go_on_once_few_endpoints_no_longer_crash(#[case] names: &[&'static str]) {
    let fleet = TestFleet::new(1);
    fleet
        .client
        .set_default(CallScript::Stream { events: 5000 });
    let host = start_host(&fleet).await;
    submit_items(&host, 16).await;
    sleep(DOWN_TIME).await;
    let listed = names
        .iter()
        .map(|name| FlappingEndpoint::list(&fleet, name));
    let mut endpoints: Vec<_> = listed.collect();
    for number in 0..CRASHES {
        let endpoint = &mut endpoints[number % names.len()];
        let _ = timeout(UP_TIME, endpoint.wait_for_call(RESUME_TIME)).await;
        sleep(SHORT_RUN).await;
        endpoint.crash().await;
    }
    let [first, others @ ..] = &endpoints[..] else {
        unreachable!("at least one endpoint")
    };
    tokio::select! {
        () = first.wait_for_call(RESUME_TIME) => {}
        () = async { others[0].wait_for_call(RESUME_TIME).await }, if !others.is_empty() => {}
    }
}

/// Guards against a trial that acquits a part since its answer was short, and complete before the endpoint crashed under it.
#[tokio::test(start_paused = true)]
async fn short_answer_of_an_endpoint_that_then_crashes_acquits_nothing() {
    let fleet = TestFleet::new(8);
    let host = start_host(&fleet).await;
    crash_three(&fleet, &host, 0..3, SHORT_RUN).await;
    assert_eq!(send(&host, 3).await, CallerOutcome::Rejected);
    revive_all(&fleet);
    sleep(FIRST_TERM).await;
    fleet.client.set_default(CallScript::Stream { events: 2 });
    let trial = send(&host, 4).await;
    assert!(matches!(trial, CallerOutcome::Complete(_)), "{trial:?}");
    sleep(LONG_RUN * 2).await;
    assert_eq!(send(&host, 5).await, CallerOutcome::Rejected);
}

/// Guards against a part that stays rejected for another 10 s since its trial met endpoints that had ended or were full.
#[rstest]
#[case::ended(CallScript::Unreachable)]
#[case::full(CallScript::Full)]
#[tokio::test(start_paused = true)]
async fn trial_that_reaches_no_endpoint_is_made_again(#[case] script: CallScript) {
    let fleet = TestFleet::new(8);
    let host = start_host(&fleet).await;
    crash_three(&fleet, &host, 0..3, SHORT_RUN).await;
    fleet.client.set_deadly(None);
    submit_items(&host, 1).await;
    revive_all(&fleet);
    sleep(FIRST_TERM * 9 / 10).await;
    fleet.client.set_default(script);
    sleep(Duration::from_secs(4)).await;
    fleet.client.set_default(CallScript::Stream { events: 20 });
    let calls = fleet.client.calls().len();
    sleep(Duration::from_secs(5)).await;
    assert!(fleet.client.calls().len() > calls, "no trial");
}
