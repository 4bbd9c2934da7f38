//! Hosts that read the latest job records page by page.

use crate::support::{CallScript, MemoryLog, TestFleet, results, submission, wait_until};
use fulmarswitch_switch::jobs::{JobReply, ResultPage, SubmitReply};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::workspace::CallerScope;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Size of an item's body: the acceptance of its job takes several frames.
const BODY_BYTES: usize = 300_000;
const JOBS: [&str; 4] = ["a", "b", "c", "d"];

async fn submit(node: &SwitchNode, job: &str) {
    let mut submission = submission(job, 3);
    submission.items[1].body = vec![b'x'; BODY_BYTES].into();
    assert_eq!(node.submit_job(submission).await, SubmitReply::Done);
}

/// Runs the jobs and returns their results as the host that has run them reads them.
async fn run_jobs(fleet: &TestFleet) -> Vec<ResultPage> {
    let node = fleet.start("first").await;
    // Items end in another order than that of their index.
    fleet.client.script(&[
        CallScript::Stream { events: 30 },
        CallScript::Stream { events: 9 },
        CallScript::Stream { events: 2 },
    ]);
    for job in JOBS {
        submit(&node, job).await;
    }
    sleep(Duration::from_secs(3)).await;
    all_results(&node).await
}

async fn all_results(node: &SwitchNode) -> Vec<ResultPage> {
    let mut pages = Vec::new();
    for job in JOBS {
        pages.push(results(node, job).await);
    }
    pages
}

async fn start_with(fleet: &TestFleet, log: &MemoryLog) -> Arc<SwitchNode> {
    let node = fleet.spawn_with_log("later", Arc::new(log.clone())).await;
    wait_until("the job records", async || has_read(&node).await).await;
    node
}

/// Whether the host has read the job records: before, it does not tell whether a job exists.
async fn has_read(node: &SwitchNode) -> bool {
    let scope = &CallerScope::Everyone;
    let reply = node.job_results("unknown", 0, Duration::ZERO, scope).await;
    reply != JobReply::Unsure
}

/// Guards against records that are lost, or results at other positions, where a job is divided over pages.
#[rstest]
#[tokio::test(start_paused = true)]
async fn host_that_starts_reads_jobs_over_pages(#[values(1, 2, 3, 7, 100)] records: usize) {
    let fleet = TestFleet::new(2);
    let expected = run_jobs(&fleet).await;
    assert!(expected.iter().all(|page| page.results.len() == 3));
    let log = fleet.log.other_access();
    log.limit_pages(records);
    let node = start_with(&fleet, &log).await;
    assert_eq!(all_results(&node).await, expected);
}

/// Guards against a host that never starts again since the records of all jobs together are more than it may hold.
#[tokio::test(start_paused = true)]
async fn host_that_starts_reads_more_records_than_it_may_hold() {
    let fleet = TestFleet::new(2);
    let expected = run_jobs(&fleet).await;
    let log = fleet.log.other_access();
    log.limit_snapshots(2 * BODY_BYTES);
    let node = start_with(&fleet, &log).await;
    assert_eq!(all_results(&node).await, expected);
    submit(&node, "e").await;
}

/// Guards against a host that serves, or changes the log, with the part of the jobs that it has read so far.
#[tokio::test(start_paused = true)]
async fn snapshot_that_breaks_off_is_read_anew() {
    let fleet = TestFleet::new(2);
    let expected = run_jobs(&fleet).await;
    let keys = fleet.log.live_keys("jobs");
    let log = fleet.log.other_access();
    log.limit_pages(2);
    log.slow_topic("jobs", Duration::from_millis(200));
    let node = fleet.spawn_with_log("later", Arc::new(log.clone())).await;
    sleep(Duration::from_millis(900)).await;
    log.cut_topic(Some("jobs"));
    sleep(Duration::from_secs(10)).await;
    assert!(!has_read(&node).await);
    log.cut_topic(None);
    wait_until("the job records", async || has_read(&node).await).await;
    assert_eq!(all_results(&node).await, expected);
    assert_eq!(fleet.log.live_keys("jobs"), keys);
}

/// Guards against records that are deleted as those of a job without an acceptance, since a store does not send them in order.
#[tokio::test(start_paused = true)]
async fn records_that_do_not_come_in_order_are_kept() {
    let fleet = TestFleet::new(2);
    let expected = run_jobs(&fleet).await;
    let keys = fleet.log.live_keys("jobs");
    let log = fleet.log.other_access();
    log.limit_pages(2);
    log.set_descending(true);
    let node = fleet.spawn_with_log("later", Arc::new(log.clone())).await;
    sleep(Duration::from_mins(1)).await;
    assert!(!has_read(&node).await);
    assert_eq!(fleet.log.live_keys("jobs"), keys);
    log.set_descending(false);
    wait_until("the job records", async || has_read(&node).await).await;
    assert_eq!(all_results(&node).await, expected);
}
