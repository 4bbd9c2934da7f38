//! Requests whose endpoint is silent, slow or suspected while another endpoint is asked.

use crate::support::{TestFleet, owner_of, publish_service, request, submit, wait_for};
use fulmarswitch::host::HostNode;
use fulmarswitch::settings::TuningSettings;
use fulmarswitch_peer::{FrameStream, PeerHandler, StreamFrame, StreamRequest};
use fulmarswitch_records::{ItemOutcome, OnlineRequest, ShardIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::log::LogFaults;
use futures::StreamExt;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Input of all requests. It is the same so that they prefer the same engine.
const INPUT: &str = "input";
/// Requests after which the times of the service are known.
const WARM_UP_REQUESTS: u32 = 40;
/// Factor by which a step takes longer, so that it lasts for about a second.
const PAUSE_FACTOR: f64 = 160.0;

fn request_for(key: &str, max_tokens: u32) -> OnlineRequest {
    OnlineRequest {
        input: INPUT.into(),
        max_tokens,
        ..request(key, true)
    }
}

/// Starts one host and engines, and returns the number of the engine that requests prefer.
async fn start(engines: usize) -> (TestFleet, Arc<HostNode>, usize) {
    let mut fleet = TestFleet::new(LogFaults::default(), TuningSettings::default(), engines);
    let (_, node) = fleet.add_host("a", "d0").await;
    publish_service(&node, engines).await;
    wait_for(Duration::from_secs(20), "shards are owned", || {
        (0..4).all(|shard| node.shards().owner(ShardIndex(shard)).is_some())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for number in 0..WARM_UP_REQUESTS {
        let key = format!("warm-{number}");
        let frame = submit(&node, request_for(&key, 4)).await;
        assert!(matches!(frame, StreamFrame::Done { .. }), "{frame:?}");
    }
    let preferred = (0..engines).max_by_key(|number| fleet.engine(*number).tokens());
    (fleet, node, preferred.unwrap())
}

/// Makes all engines but one refuse new calls.
fn refuse_elsewhere(fleet: &TestFleet, preferred: usize, engines: usize) {
    for number in (0..engines).filter(|number| *number != preferred) {
        fleet
            .engine(number)
            .set_faults(|faults| faults.refuse = true);
    }
}

/// What the caller received.
struct CallerView {
    /// Text since the stream began, or was last begun anew.
    text: String,
    last: StreamFrame,
}

impl CallerView {
    fn assert_answered(&self, max_tokens: u32) {
        let expected = whole_answer(INPUT, max_tokens);
        let outcome = ItemOutcome::Done {
            text: expected.as_str().into(),
        };
        assert!(
            matches!(&self.last, StreamFrame::Done { outcome: seen, .. } if *seen == outcome),
            "{:?}",
            self.last
        );
        assert_eq!(self.text, expected);
    }
}

async fn collect(mut frames: FrameStream) -> CallerView {
    let mut text = String::new();
    let mut last = StreamFrame::NotOwner;
    while let Some(frame) = frames.next().await {
        match &frame {
            StreamFrame::Text(part) => text.push_str(part),
            StreamFrame::Reset => text.clear(),
            _ => {}
        }
        last = frame;
    }
    CallerView { text, last }
}

/// Submits a request to its owner.
fn begin(
    fleet: &TestFleet,
    node: &Arc<HostNode>,
    key: &str,
    max_tokens: u32,
) -> JoinHandle<CallerView> {
    let owner = owner_of(fleet, node, &format!("w/{key}"));
    let request = request_for(key, max_tokens);
    tokio::spawn(async move { collect(owner.serve(StreamRequest::Submit(request)).await).await })
}

/// Guards against the loss of a request whose endpoint is silent for a second while all others refuse it.
#[rstest]
#[case::one_refuses(2)]
#[case::as_many_refuse_as_are_asked(4)]
#[tokio::test(start_paused = true)]
async fn answer_outlasts_a_late_first_token_while_others_refuse(#[case] engines: usize) {
    let (fleet, node, preferred) = start(engines).await;
    refuse_elsewhere(&fleet, preferred, engines);
    let engine = fleet.engine(preferred);
    engine.set_faults(|faults| faults.slow_factor = PAUSE_FACTOR);
    let answer = begin(&fleet, &node, "k", 4);
    tokio::time::sleep(Duration::from_millis(500)).await;
    engine.set_faults(|faults| faults.slow_factor = 1.0);
    answer.await.unwrap().assert_answered(4);
}

/// Guards against the loss of an answer in progress whose endpoint becomes suspected while all others refuse it.
#[rstest]
#[case::one_refuses(2)]
#[case::as_many_refuse_as_are_asked(4)]
#[tokio::test(start_paused = true)]
async fn answer_in_progress_outlasts_a_suspicion_while_others_refuse(#[case] engines: usize) {
    const TOKENS: u32 = 200;
    let (fleet, node, preferred) = start(engines).await;
    let answer = begin(&fleet, &node, "k", TOKENS);
    tokio::time::sleep(Duration::from_millis(200)).await;
    refuse_elsewhere(&fleet, preferred, engines);
    let engine = fleet.engine(preferred);
    engine.set_faults(|faults| faults.refuse = true);
    for number in 0..2 {
        submit(&node, request_for(&format!("refused-{number}"), 4)).await;
    }
    let suspected = format!("a e{preferred}:");
    let events = fleet.events_of_kind("suspect-endpoint");
    assert!(
        events.iter().any(|event| event.starts_with(&suspected)),
        "{events:?}"
    );
    answer.await.unwrap().assert_answered(TOKENS);
}

/// Guards against waiting for a silent endpoint, and against running a request on after another endpoint has answered.
#[rstest]
#[case::one_is_silent(&[])]
#[case::one_and_the_next_are_silent(&[1])]
#[case::one_and_the_one_after_the_next_are_silent(&[2])]
#[tokio::test(start_paused = true)]
async fn another_endpoint_answers_and_silent_ones_are_cancelled(#[case] others: &[usize]) {
    const ENGINES: usize = 3;
    let (fleet, node, preferred) = start(ENGINES).await;
    for distance in std::iter::once(&0).chain(others) {
        let engine = fleet.engine((preferred + distance) % ENGINES);
        engine.set_faults(|faults| faults.slow_factor = PAUSE_FACTOR);
    }
    let tokens_before = fleet.tokens();
    let began = Instant::now();
    begin(&fleet, &node, "k", 4)
        .await
        .unwrap()
        .assert_answered(4);
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
    tokio::time::sleep(Duration::from_secs(10)).await;
    // A step that has begun ends with a token.
    let limit = 4 + 1 + others.len() as u64;
    let generated = fleet.tokens() - tokens_before;
    assert!(generated <= limit, "{generated} tokens");
}

/// Guards against the loss of a request whose endpoint breaks off while another one has it, too.
#[tokio::test(start_paused = true)]
async fn answer_outlasts_the_loss_of_a_silent_endpoint_while_another_is_silent() {
    let (fleet, node, preferred) = start(2).await;
    for number in 0..2 {
        let engine = fleet.engine(number);
        engine.set_faults(|faults| faults.slow_factor = PAUSE_FACTOR);
    }
    let answer = begin(&fleet, &node, "k", 4);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
        .engine(preferred)
        .set_faults(|faults| faults.lost = true);
    let other = fleet.engine(1 - preferred);
    other.set_faults(|faults| faults.slow_factor = 1.0);
    answer.await.unwrap().assert_answered(4);
}

/// Guards against text of two endpoints in one answer, when an endpoint that is suspected goes on while another is asked.
#[tokio::test(start_paused = true)]
async fn answer_moves_as_a_whole_from_a_suspected_endpoint() {
    const TOKENS: u32 = 200;
    let (fleet, node, preferred) = start(3).await;
    let answer = begin(&fleet, &node, "k", TOKENS);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let engine = fleet.engine(preferred);
    engine.set_faults(|faults| faults.refuse = true);
    for number in 0..2 {
        submit(&node, request_for(&format!("refused-{number}"), 4)).await;
    }
    answer.await.unwrap().assert_answered(TOKENS);
    let tokens = engine.tokens();
    let expected = u64::from(WARM_UP_REQUESTS * 4 + TOKENS);
    assert!(
        tokens < expected,
        "the suspected engine generated {tokens} tokens"
    );
}
