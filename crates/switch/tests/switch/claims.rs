//! What keeps an open item from every host: claims of hosts that do not run it, and outcomes that are not recorded.

use crate::support::{
    CallScript, MemoryLog, TestFleet, full_text, results, submission, wait_until,
};
use bytes::Bytes;
use fulmarswitch_switch::node::SwitchNode;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const ITEMS: u32 = 8;

/// Starts two hosts with separate access to the log, of which each runs items of the job `j`.
async fn start_pair(fleet: &TestFleet, script: CallScript) -> (Arc<SwitchNode>, MemoryLog) {
    let first = fleet.start("a").await;
    let other_fleet = fleet.with_other_log_access();
    other_fleet.start("b").await;
    fleet.client.set_default(script);
    first.submit_job(submission("j", ITEMS)).await;
    wait_until("runs of all items", async || {
        fleet.client.running() == i64::from(ITEMS)
    })
    .await;
    (first, other_fleet.log)
}

async fn wait_for_results(node: &SwitchNode, text: &Bytes) {
    wait_until("the results of all items", async || {
        results(node, "j").await.results.len() == ITEMS as usize
    })
    .await;
    let page = results(node, "j").await;
    let mut texts = page.results.iter().map(|result| result.text.as_ref());
    assert!(texts.all(|found| found == Some(text)));
}

/// Why a host does not follow the job records.
#[derive(Clone, Copy)]
enum LogFault {
    Cut,
    UnreadableJobs,
    SlowJobs,
}

impl LogFault {
    fn begin(self, log: &MemoryLog) {
        match self {
            Self::Cut => log.set_cut(true),
            Self::UnreadableJobs => log.cut_topic(Some("jobs")),
            Self::SlowJobs => log.slow_topic("jobs", Duration::from_secs(2)),
        }
    }
}

/// Guards against items that no host runs as long as the host that claims them does not follow the job records (LOST).
#[rstest]
#[case::cut(LogFault::Cut)]
#[case::unreadable_jobs(LogFault::UnreadableJobs)]
#[case::slow_jobs(LogFault::SlowJobs)]
#[tokio::test(start_paused = true)]
async fn host_without_the_log_gives_up_its_claims(#[case] fault: LogFault) {
    let fleet = TestFleet::new(4);
    let (first, log) = start_pair(&fleet, CallScript::StallAfter { event: 50 }).await;
    fault.begin(&log);
    fleet.client.set_default(CallScript::Stream { events: 100 });
    wait_for_results(&first, &full_text(100)).await;
}

/// Guards against items that stay open as long as the host that has run them cannot append their outcomes (LOST).
#[tokio::test(start_paused = true)]
async fn host_without_the_log_gives_up_outcomes() {
    let fleet = TestFleet::new(4);
    let (first, log) = start_pair(&fleet, CallScript::Stream { events: 20 }).await;
    log.set_cut(true);
    wait_for_results(&first, &full_text(20)).await;
    // Its outcomes are too late, and change nothing.
    log.set_cut(false);
    sleep(Duration::from_secs(3)).await;
    wait_for_results(&first, &full_text(20)).await;
}

/// Guards against output that is thrown away, or made by two hosts, while the job records cannot be read for a short time.
#[tokio::test(start_paused = true)]
async fn host_keeps_its_items_for_a_short_loss_of_the_job_records() {
    let fleet = TestFleet::new(4);
    let (first, log) = start_pair(&fleet, CallScript::StallAfter { event: 50 }).await;
    log.cut_topic(Some("jobs"));
    fleet.client.set_default(CallScript::Stream { events: 100 });
    sleep(Duration::from_secs(4)).await;
    log.cut_topic(None);
    wait_for_results(&first, &full_text(100)).await;
    let calls = fleet.client.calls();
    let resumed = calls.iter().filter(|call| call.resume_after == Some(50));
    assert_eq!(resumed.count(), ITEMS as usize);
    assert_eq!(calls.len(), 2 * ITEMS as usize);
}

/// Guards against a host that counts as lost, so that its items run twice, as its heartbeat is too large to be sent.
#[tokio::test(start_paused = true)]
async fn host_with_many_items_at_many_endpoints_is_heard() {
    let fleet = TestFleet::new(90);
    let first = fleet.start("a").await;
    fleet
        .client
        .set_default(CallScript::Stream { events: 1000 });
    for job in ["j", "k"] {
        let mut submission = submission(job, 80);
        let mut route = (*submission.route).clone();
        route.token_quota = None;
        submission.route = Arc::new(route);
        first.submit_job(submission).await;
    }
    wait_until("runs of all items", async || fleet.client.running() == 160).await;
    let second = fleet.start("b").await;
    assert_eq!(second.caller_addresses(64).len(), 2);
}

/// Guards against an item that holds a slot without running for as long as a read of its output takes (LOST).
#[tokio::test(start_paused = true)]
async fn item_does_not_wait_long_for_its_output() {
    let fleet = TestFleet::new(4);
    let (first, log) = start_pair(&fleet, CallScript::StallAfter { event: 50 }).await;
    sleep(Duration::from_secs(4)).await;
    log.set_cut(true);
    sleep(Duration::from_secs(4)).await;
    fleet.client.set_default(CallScript::Stream { events: 100 });
    fleet.log.set_fetch_delay(Duration::from_mins(10));
    wait_for_results(&first, &full_text(100)).await;
}
