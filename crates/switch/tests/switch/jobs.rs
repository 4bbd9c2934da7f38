//! Jobs on a log that fails, with hosts that start, stop and are lost.

use crate::support::{AppendFault, CallScript, TestFleet, full_text, results, submission};
use fulmarswitch_switch::jobs::{JobReply, SubmitReply};
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

const DONE: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn items_are_run_and_their_texts_are_whole() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    assert_eq!(node.submit_job(submission("j", 3)).await, SubmitReply::Done);
    sleep(DONE).await;
    let page = results(&node, "j").await;
    assert_eq!((page.total, page.results.len()), (3, 3));
    for result in page.results {
        assert_eq!(result.text, Some(full_text(3)));
    }
}

#[rstest]
#[case::answer_lost(AppendFault::LoseAnswer, SubmitReply::Done)]
#[case::appended_late(AppendFault::AppendLate(Duration::from_millis(500)), SubmitReply::Done)]
#[case::not_in_time(AppendFault::AppendLate(Duration::from_secs(4)), SubmitReply::Unknown)]
#[case::refused(
    AppendFault::Refuse,
    SubmitReply::Refused { retry_after: Duration::from_millis(1500) }
)]
#[tokio::test(start_paused = true)]
async fn a_job_is_accepted_only_when_it_stands_on_the_log(
    #[case] fault: AppendFault,
    #[case] expected: SubmitReply,
) {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.log.inject_fault("jobs", fault);
    assert_eq!(node.submit_job(submission("j", 1)).await, expected);
    if matches!(expected, SubmitReply::Refused { .. }) {
        sleep(DONE).await;
        assert!(fleet.link.calls().is_empty(), "a refused job ran");
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_that_is_handed_in_again_runs_once() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 2)).await;
    sleep(DONE).await;
    assert_eq!(node.submit_job(submission("j", 2)).await, SubmitReply::Done);
    sleep(DONE).await;
    assert_eq!(fleet.link.calls().len(), 2);
}

/// An outcome whose append was not answered stands twice. The positions must be the same for hosts that followed
/// the tail and for those that start from the newest record of each key.
#[rstest]
#[case::answer_lost(AppendFault::LoseAnswer)]
#[case::appended_late(AppendFault::AppendLate(Duration::from_secs(2)))]
#[tokio::test(start_paused = true)]
async fn positions_are_the_same_for_a_host_that_starts_later(#[case] fault: AppendFault) {
    let fleet = TestFleet::new(1);
    let node = fleet.start("a").await;
    fleet.link.script(&[
        CallScript::Stream { events: 2 },
        CallScript::Stream { events: 9 },
        CallScript::Stream { events: 30 },
    ]);
    node.submit_job(submission("j", 3)).await;
    sleep(Duration::from_millis(20)).await;
    fleet.log.inject_fault("jobs", fault);
    sleep(DONE).await;
    let before = results(&node, "j").await;
    assert_eq!(before.results.len(), 3);
    fleet.log.expire("jobs");
    let late = fleet.start("b").await;
    assert_eq!(results(&late, "j").await, before);
}

#[tokio::test(start_paused = true)]
async fn an_item_that_fails_is_given_up_after_its_attempts() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.set_default(CallScript::Status(500));
    node.submit_job(submission("j", 1)).await;
    sleep(DONE).await;
    assert_eq!(fleet.link.calls().len(), 3);
    assert_eq!(results(&node, "j").await.results[0].text, None);
}

#[tokio::test(start_paused = true)]
async fn an_impossible_item_is_given_up_at_once() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.set_default(CallScript::Status(422));
    node.submit_job(submission("j", 1)).await;
    sleep(DONE).await;
    assert_eq!(fleet.link.calls().len(), 1);
    assert_eq!(results(&node, "j").await.results[0].text, None);
}

#[tokio::test(start_paused = true)]
async fn an_item_that_broke_off_goes_on_where_it_was() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.script(&[CallScript::BreakAfter { event: 2 }]);
    fleet.link.set_default(CallScript::Stream { events: 5 });
    node.submit_job(submission("j", 1)).await;
    sleep(DONE).await;
    let resumed: Vec<_> = fleet
        .link
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
async fn a_job_that_was_ended_no_longer_runs() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.set_default(CallScript::Stream { events: 1000 });
    node.submit_job(submission("j", 2)).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.link.running(), 2);
    assert_eq!(node.cancel_job(&"j".into()).await, SubmitReply::Done);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.link.running(), 0);
    let calls = fleet.link.calls().len();
    sleep(DONE).await;
    assert_eq!(fleet.link.calls().len(), calls);
}

#[tokio::test(start_paused = true)]
async fn bodies_are_given_until_the_item_has_a_result() {
    let fleet = TestFleet::new(0);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 1)).await;
    let body = node.item_body("j", "j-0").await;
    assert_eq!(body, JobReply::Found("input".into()));
    assert_eq!(node.item_body("j", "j-7").await, JobReply::Missing);
    fleet.log.put("endpoints", "e0", "ready");
    sleep(DONE).await;
    assert_eq!(node.item_body("j", "j-0").await, JobReply::Missing);
}

#[tokio::test(start_paused = true)]
async fn what_does_not_fit_the_quota_is_refused() {
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
async fn a_host_that_cannot_read_the_log_is_not_sure() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    let found = node.job_results("j", 0, Duration::ZERO).await;
    assert_eq!(found, JobReply::Missing);
    fleet.log.set_down(true);
    sleep(Duration::from_secs(1)).await;
    let found = node.job_results("j", 0, Duration::ZERO).await;
    assert_eq!(found, JobReply::Unsure);
}

#[tokio::test(start_paused = true)]
async fn outcomes_wait_for_the_log_to_come_back() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 2)).await;
    fleet.log.set_down(true);
    sleep(Duration::from_secs(5)).await;
    fleet.log.set_down(false);
    sleep(DONE).await;
    assert_eq!(results(&node, "j").await.results.len(), 2);
    assert_eq!(fleet.link.calls().len(), 2, "a finished item ran again");
}

/// The store takes 400 MB in all: what is forgotten is dropped, output so far and repeated records included.
#[tokio::test(start_paused = true)]
async fn records_of_forgotten_jobs_are_dropped_from_the_log() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.script(&[CallScript::Stream { events: 200 }]);
    node.submit_job(submission("j", 2)).await;
    sleep(Duration::from_millis(100)).await;
    fleet.log.inject_fault("jobs", AppendFault::LoseAnswer);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(results(&node, "j").await.results.len(), 2);
    assert!(fleet.log.live_keys("jobs") > 3 && fleet.log.live_keys("texts") > 2);
    node.forget_expired(u64::MAX).await;
    let found = node.job_results("j", 0, Duration::ZERO).await;
    assert_eq!(found, JobReply::Missing);
    assert_eq!(
        (fleet.log.live_keys("jobs"), fleet.log.live_keys("texts")),
        (0, 0)
    );
}

/// Pattern: an endpoint takes items and answers none. They go on elsewhere well within their due time.
#[tokio::test(start_paused = true)]
async fn an_item_leaves_an_endpoint_that_does_not_answer() {
    let fleet = TestFleet::new(2);
    let node = fleet.start("a").await;
    fleet.link.script(&[CallScript::Silent]);
    node.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(8)).await;
    let page = results(&node, "j").await;
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].text, Some(full_text(3)));
}
