//! Batch jobs on a log that fails, with hosts that start, stop and are lost.

use crate::support::{
    AppendFault, CallScript, TestFleet, full_text, large_text, results, submission, wait_until,
};
use fulmarswitch_switch::jobs::{JobReply, SubmitReply};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::workspace::CallerScope;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const COMPLETION_TIME: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn items_run_and_their_outputs_are_complete() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    assert_eq!(node.submit_job(submission("j", 3)).await, SubmitReply::Done);
    sleep(COMPLETION_TIME).await;
    let page = results(&node, "j").await;
    assert_eq!((page.total, page.results.len()), (3, 3));
    for result in page.results {
        assert_eq!(result.text, Some(full_text(3)));
    }
}

#[rstest]
#[case::response_lost(AppendFault::LoseResponse, SubmitReply::Done)]
#[case::appended_late(AppendFault::AppendLate(Duration::from_millis(500)), SubmitReply::Done)]
#[case::not_in_time(AppendFault::AppendLate(Duration::from_secs(4)), SubmitReply::Unknown)]
#[case::refused(
    AppendFault::Refuse,
    SubmitReply::Refused { retry_after: Duration::from_millis(1500) }
)]
#[tokio::test(start_paused = true)]
async fn job_acceptance_requires_a_record_on_the_log(
    #[case] fault: AppendFault,
    #[case] expected: SubmitReply,
) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.log.inject_fault("jobs", fault);
    assert_eq!(node.submit_job(submission("j", 1)).await, expected);
    if matches!(expected, SubmitReply::Refused { .. }) {
        sleep(COMPLETION_TIME).await;
        assert!(fleet.client.calls().is_empty(), "a refused job ran");
    }
}

#[tokio::test(start_paused = true)]
async fn resubmitted_job_runs_once() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 2)).await;
    sleep(COMPLETION_TIME).await;
    assert_eq!(node.submit_job(submission("j", 2)).await, SubmitReply::Done);
    sleep(COMPLETION_TIME).await;
    assert_eq!(fleet.client.calls().len(), 2);
}

/// If the append of an outcome gets no response, the outcome is in the log twice. Hosts that followed the tail and
/// hosts that start from a snapshot must agree on the positions of results.
#[rstest]
#[case::response_lost(AppendFault::LoseResponse)]
#[case::appended_late(AppendFault::AppendLate(Duration::from_secs(2)))]
#[tokio::test(start_paused = true)]
async fn result_positions_agree_with_a_host_started_later(#[case] fault: AppendFault) {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.script(&[
        CallScript::Stream { events: 2 },
        CallScript::Stream { events: 9 },
        CallScript::Stream { events: 30 },
    ]);
    node.submit_job(submission("j", 3)).await;
    sleep(Duration::from_millis(20)).await;
    fleet.log.inject_fault("jobs", fault);
    sleep(COMPLETION_TIME).await;
    let before = results(&node, "j").await;
    assert_eq!(before.results.len(), 3);
    fleet.log.expire("jobs");
    let late = fleet.start("b").await;
    assert_eq!(results(&late, "j").await, before);
}

#[tokio::test(start_paused = true)]
async fn failing_item_is_abandoned_after_its_attempts() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_default(CallScript::Status(500));
    node.submit_job(submission("j", 1)).await;
    sleep(COMPLETION_TIME).await;
    assert_eq!(fleet.client.calls().len(), 3);
    assert_eq!(results(&node, "j").await.results[0].text, None);
}

/// Guards against an item that is abandoned with attempts left, since a failure whose append got no response is in the log
/// twice.
#[rstest]
#[case::response_lost(AppendFault::LoseResponse)]
#[case::appended_late(AppendFault::AppendLate(Duration::from_millis(300)))]
#[tokio::test(start_paused = true)]
async fn failure_whose_append_got_no_response_counts_once(#[case] fault: AppendFault) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&FAILURES_APART);
    node.submit_job(submission("j", 1)).await;
    fleet.log.inject_fault("jobs", fault);
    assert_completes_after_failures(&fleet, &node).await;
}

/// Guards against an item that is abandoned with attempts left, since its host counts all failures again when it reads a
/// snapshot after the tail has expired.
#[tokio::test(start_paused = true)]
async fn failures_in_a_snapshot_that_is_read_again_count_once() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&FAILURES_APART);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(1)).await;
    fleet.log.set_cut(true);
    fleet.log.put("jobs", "of another writer", "");
    fleet.log.expire("jobs");
    fleet.log.set_cut(false);
    assert_completes_after_failures(&fleet, &node).await;
}

/// Two failures of an item, between which all records of the first one are read.
const FAILURES_APART: [CallScript; 3] = [
    CallScript::Status(500),
    CallScript::BreakAfterSilence {
        after: 0,
        silence: Duration::from_secs(3),
    },
    CallScript::Status(500),
];

async fn assert_completes_after_failures(fleet: &TestFleet, node: &SwitchNode) {
    sleep(Duration::from_secs(8)).await;
    assert_eq!(fleet.client.calls().len(), FAILURES_APART.len() + 1);
    assert_eq!(results(node, "j").await.results[0].text, Some(full_text(3)));
}

/// Guards against an item that is sent again and again and never ends, as no request can be made of it, and against endpoints that
/// are avoided for it. A host of an earlier release accepts such an item.
#[rstest]
#[case::space_in_the_path("/jobs/a b", "i")]
#[case::no_path("jobs.example", "i")]
#[case::line_feed_in_the_id("/jobs/a", "i\nj")]
#[tokio::test(start_paused = true)]
async fn item_that_cannot_be_sent_is_abandoned(#[case] path: &str, #[case] id: &str) {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    let mut submission = submission("j", 2);
    submission.items[0].path = path.into();
    submission.items[0].id = id.into();
    node.submit_job(submission).await;
    sleep(COMPLETION_TIME).await;
    let texts: Vec<_> = results(&node, "j").await.results;
    assert_eq!(texts.len(), 2);
    assert!(texts.iter().any(|result| result.text.is_none()));
    assert_eq!(fleet.client.calls().len(), 1);
}

/// Guards against an item with more headers than a request can have that stops each host which reads it, at each start: as one of a job
/// that a host of an earlier release has accepted.
#[tokio::test(start_paused = true)]
async fn item_with_too_many_headers_stops_no_host() {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    node.submit_job(submission("before", 2)).await;
    let mut submission = submission("j", 2);
    let names = (0..40_000).map(|number| (format!("x{number}").into(), "".into()));
    submission.items[0].headers = names.collect();
    node.submit_job(submission).await;
    sleep(COMPLETION_TIME).await;
    let texts: Vec<_> = results(&node, "j").await.results;
    assert_eq!(texts.len(), 2);
    assert!(texts.iter().any(|result| result.text.is_none()));
    assert_eq!(results(&node, "before").await.results.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn impossible_item_is_abandoned_at_once() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_default(CallScript::Status(422));
    node.submit_job(submission("j", 1)).await;
    sleep(COMPLETION_TIME).await;
    assert_eq!(fleet.client.calls().len(), 1);
    assert_eq!(results(&node, "j").await.results[0].text, None);
}

#[tokio::test(start_paused = true)]
async fn interrupted_item_resumes_after_its_last_event() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::BreakAfter { event: 2 }]);
    fleet.client.set_default(CallScript::Stream { events: 5 });
    node.submit_job(submission("j", 1)).await;
    sleep(COMPLETION_TIME).await;
    let resumed: Vec<_> = fleet
        .client
        .calls()
        .iter()
        .map(|call| call.resume_after)
        .collect();
    assert_eq!(resumed, [None, Some(2)]);
    assert_eq!(
        results(&node, "j").await.results[0].text,
        Some(full_text(5))
    );
}

#[tokio::test(start_paused = true)]
async fn cancelled_job_no_longer_runs() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet
        .client
        .set_default(CallScript::Stream { events: 1000 });
    node.submit_job(submission("j", 2)).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.client.running(), 2);
    assert_eq!(
        node.cancel_job(&"j".into(), &CallerScope::Everyone).await,
        SubmitReply::Done
    );
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.client.running(), 0);
    let calls = fleet.client.calls().len();
    sleep(COMPLETION_TIME).await;
    assert_eq!(fleet.client.calls().len(), calls);
}

#[tokio::test(start_paused = true)]
async fn item_body_is_available_until_the_item_is_settled() {
    let fleet = TestFleet::new(0);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 1)).await;
    let body = node.item_body("j", "j-0", &CallerScope::Everyone).await;
    assert_eq!(body, JobReply::Found("input".into()));
    assert_eq!(
        node.item_body("j", "j-7", &CallerScope::Everyone).await,
        JobReply::Missing
    );
    fleet.log.put("endpoints", "e0", "ready");
    sleep(COMPLETION_TIME).await;
    assert_eq!(
        node.item_body("j", "j-0", &CallerScope::Everyone).await,
        JobReply::Missing
    );
}

#[tokio::test(start_paused = true)]
async fn job_over_quota_is_refused() {
    let fleet = TestFleet::new(0);
    let node = fleet.start("a").await;
    assert_eq!(
        node.submit_job(submission("j", 60)).await,
        SubmitReply::Done
    );
    sleep(Duration::from_secs(1)).await;
    let second = node.submit_job(submission("k", 60)).await;
    assert!(
        matches!(second, SubmitReply::OverQuota { .. }),
        "{second:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn host_without_log_access_is_unsure() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    let found = node
        .job_results("j", 0, Duration::ZERO, &CallerScope::Everyone)
        .await;
    assert_eq!(found, JobReply::Missing);
    fleet.log.set_down(true);
    sleep(Duration::from_secs(1)).await;
    let found = node
        .job_results("j", 0, Duration::ZERO, &CallerScope::Everyone)
        .await;
    assert_eq!(found, JobReply::Unsure);
}

#[tokio::test(start_paused = true)]
async fn outcomes_are_recorded_after_a_log_outage() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 2)).await;
    fleet.log.set_down(true);
    sleep(Duration::from_secs(5)).await;
    fleet.log.set_down(false);
    sleep(COMPLETION_TIME).await;
    assert_eq!(results(&node, "j").await.results.len(), 2);
    assert_eq!(fleet.client.calls().len(), 2, "a completed item ran again");
}

/// The log holds 400 MB in all, so the records of expired jobs must be deleted, including checkpoints and repeated
/// records.
#[tokio::test(start_paused = true)]
async fn records_of_expired_jobs_are_deleted_from_the_log() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::Stream { events: 200 }]);
    node.submit_job(submission("j", 2)).await;
    sleep(Duration::from_millis(100)).await;
    fleet.log.inject_fault("jobs", AppendFault::LoseResponse);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(results(&node, "j").await.results.len(), 2);
    assert!(fleet.log.live_keys("jobs") > 3 && fleet.log.live_keys("texts") > 2);
    node.remove_expired_jobs(u64::MAX).await;
    let found = node
        .job_results("j", 0, Duration::ZERO, &CallerScope::Everyone)
        .await;
    assert_eq!(found, JobReply::Missing);
    assert_eq!(
        (fleet.log.live_keys("jobs"), fleet.log.live_keys("texts")),
        (0, 0)
    );
}

/// An endpoint accepts an item and never responds. The item must complete elsewhere well before it is due.
#[tokio::test(start_paused = true)]
async fn item_moves_away_from_a_silent_endpoint() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::Silent]);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(8)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(3)));
}

/// Guards against items that a host gives up since its configuration is older than the one that has their route.
#[tokio::test]
async fn items_wait_at_a_host_whose_configuration_lacks_their_route() {
    let fleet = TestFleet::new(2);
    fleet.log.put("config", "config", "1 without jobs");
    let lagging = fleet.with_other_log_access();
    let late = lagging.start("b").await;
    lagging.log.cut_topic(Some("config"));
    fleet.log.put("config", "config", "2");
    let node = fleet.start("a").await;
    wait_until("both hosts", async || {
        node.caller_addresses(64).len() == 2 && late.caller_addresses(64).len() == 2
    })
    .await;
    assert_eq!(node.submit_job(submission("j", 8)).await, SubmitReply::Done);
    sleep(COMPLETION_TIME).await;
    lagging.log.cut_topic(None);
    wait_until("all results", async || {
        results(&node, "j").await.results.len() == 8
    })
    .await;
    for result in results(&node, "j").await.results {
        assert_eq!(result.text, Some(full_text(3)), "item {}", result.id);
    }
}

/// Guards against items that stay open for good after a configuration has removed their route.
#[tokio::test(start_paused = true)]
async fn items_are_given_up_when_their_route_is_removed() {
    let fleet = TestFleet::new(0);
    let node = fleet.start("a").await;
    assert_eq!(node.submit_job(submission("j", 3)).await, SubmitReply::Done);
    fleet.log.put("config", "config", "2 without jobs");
    sleep(COMPLETION_TIME).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 3);
    assert!(page.results.iter().all(|result| result.text.is_none()));
}

/// An endpoint that always has further data ready must not hold an item beyond the time limits of a run.
#[tokio::test(start_paused = true)]
async fn item_moves_away_from_an_endpoint_that_sends_comments_without_end() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet
        .client
        .script(&[CallScript::CommentFlood { chunks: 200 }]);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(8)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(3)));
}

/// An endpoint that always has a further event ready must not hold an item beyond the time limit of a run.
#[tokio::test(start_paused = true)]
async fn item_leaves_an_endpoint_that_sends_events_for_longer_than_a_run_may_take() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet
        .client
        .script(&[CallScript::EventFlood { events: 200 }]);
    fleet.client.set_default(CallScript::Stream { events: 70 });
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(35)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(70)));
}

/// Large outputs that complete together must not make an append that the log refuses for its size, which would block
/// all later outcomes of the host.
#[tokio::test(start_paused = true)]
async fn large_outputs_that_complete_together_are_recorded() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_default(CallScript::LargeEvents {
        events: 1,
        bytes: 740_000,
    });
    node.submit_job(submission("j", 4)).await;
    sleep(COMPLETION_TIME).await;
    for position in 0..4 {
        let found = node
            .job_results("j", position, Duration::ZERO, &CallerScope::Everyone)
            .await;
        let JobReply::Found(page) = found else {
            panic!("{position}: {found:?}");
        };
        let text = page.results.first().and_then(|result| result.text.clone());
        assert!(text == Some(large_text(1, 740_000)), "result {position}");
    }
}

/// An endpoint that sends valid events without end must not fill the memory, nor may its events become output of the
/// item, even if they are in a checkpoint.
#[rstest]
#[case::before_a_checkpoint(400_000)]
#[case::after_a_checkpoint(7_000)]
#[tokio::test(start_paused = true)]
async fn output_without_end_is_discarded_and_the_item_runs_elsewhere(#[case] bytes: usize) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::LargeEvents {
        events: 5_000,
        bytes,
    }]);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(8)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert!(page.results[0].text == Some(full_text(3)));
    let calls = fleet.client.calls();
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[1].resume_after, None);
    assert_ne!(calls[0].endpoint, calls[1].endpoint);
}

/// Guards against events beyond the end of an output that become part of the result, since their endpoint was left before they
/// exceeded the maximum size: the next endpoint has nothing to add. An item has no more events than tokens.
#[tokio::test(start_paused = true)]
async fn surplus_events_of_a_run_that_ends_early_are_discarded() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet
        .client
        .script(&[CallScript::BreakAfter { event: 200 }]);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(8)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(3)));
}

/// Guards against an item that never ends, or runs again from its beginning, after it broke off behind its last event.
#[tokio::test(start_paused = true)]
async fn item_that_breaks_off_behind_its_last_event_completes() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::BreakAfter { event: 3 }]);
    node.submit_job(submission("j", 1)).await;
    sleep(COMPLETION_TIME).await;
    assert_eq!(
        results(&node, "j").await.results[0].text,
        Some(full_text(3))
    );
    let calls = fleet.client.calls();
    let resumed: Vec<_> = calls.iter().map(|call| call.resume_after).collect();
    assert_eq!(resumed, [None, Some(3), Some(2)]);
}

/// A host that takes over an item must not continue output that was discarded.
#[tokio::test(start_paused = true)]
async fn host_started_later_does_not_continue_discarded_output() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::LargeEvents {
        events: 5_000,
        bytes: 7_000,
    }]);
    fleet.client.set_default(CallScript::Full);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(5)).await;
    node.stop(Instant::now()).await;
    fleet.client.set_default(CallScript::Stream { events: 3 });
    let late = fleet.start("b").await;
    sleep(COMPLETION_TIME * 2).await;
    let page = results(&late, "j").await;
    assert_eq!(page.results.len(), 1);
    assert!(page.results[0].text == Some(full_text(3)));
}

/// A sound endpoint may be silent for a second or so. Its run must neither be given up nor moved elsewhere.
#[rstest]
#[case::before_the_head(0)]
#[case::between_two_events(3)]
#[tokio::test(start_paused = true)]
async fn item_stays_at_an_endpoint_that_is_silent_for_a_while(#[case] after: u64) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.script(&[CallScript::Pause {
        after,
        silence: Duration::from_millis(1500),
        events: 6,
    }]);
    node.submit_job(submission("j", 1)).await;
    sleep(COMPLETION_TIME).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(6)));
    assert_eq!(fleet.client.calls().len(), 1);
}

/// An item whose run was given up must run again after its last event, also if no other endpoint serves.
#[rstest]
#[case::silent_before_the_head(CallScript::Silent, None)]
#[case::silent_after_events(CallScript::StallAfter { event: 2 }, Some(2))]
#[case::comments_without_end(CallScript::CommentFlood { chunks: 200 }, None)]
#[case::event_without_end(CallScript::EndlessEvent, None)]
#[case::output_without_end(CallScript::LargeEvents { events: 5_000, bytes: 100_000 }, None)]
#[case::broken_off(CallScript::BreakAfter { event: 2 }, Some(2))]
#[tokio::test(start_paused = true)]
async fn item_continues_at_the_only_endpoint_after_its_run_was_given_up(
    #[case] script: CallScript,
    #[case] resumed_after: Option<u64>,
) {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.client.script(&[script]);
    fleet.client.set_default(CallScript::Stream { events: 6 });
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(9)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(6)));
    let calls = fleet.client.calls();
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[1].resume_after, resumed_after);
}

/// Guards against an item that never completes, since each endpoint is given up before it begins to respond.
#[tokio::test(start_paused = true)]
async fn item_completes_at_endpoints_that_all_begin_late() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.client.set_default(CallScript::Pause {
        after: 0,
        silence: Duration::from_secs(5),
        events: 3,
    });
    node.submit_job(submission("j", 1)).await;
    wait_until("the result", async || {
        results(&node, "j").await.results.len() == 1
    })
    .await;
}
