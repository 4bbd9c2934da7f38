//! Jobs that are open while the operator changes routes around theirs.

use crate::support::{CallScript, TestFleet, full_text, results, submission};
use fulmarswitch_switch::jobs::SubmitReply;
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

const ITEMS: u32 = 6;
const EVENTS: u64 = 40;

/// Guards against items of an accepted job that are neither run nor given up, since their route was looked up by their path or
/// since another kind of route has the removed prefix. Their paths are `/jobs/run`.
#[rstest]
#[case::safe_route_below("2 safe /jobs/ru", true)]
#[case::stream_route_with_the_path("2 stream /jobs/run", true)]
#[case::jobs_route_below("2 batch /jobs/ru", true)]
#[case::removed_below_a_jobs_route("2 without jobs batch /", true)]
#[case::removed_below_a_safe_route("2 without jobs safe /", false)]
#[case::removed("2 without jobs", false)]
#[tokio::test(start_paused = true)]
async fn open_job_ends_after_a_change_of_routes(#[case] config: &str, #[case] completes: bool) {
    let fleet = TestFleet::new(1);
    fleet
        .client
        .set_default(CallScript::Stream { events: EVENTS });
    let node = fleet.start("a").await;
    let reply = node.submit_job(submission("j", ITEMS)).await;
    assert_eq!(reply, SubmitReply::Done);
    sleep(Duration::from_millis(500)).await;
    fleet.log.put("config", "config", config);
    sleep(Duration::from_secs(10)).await;
    let listed = results(&node, "j").await.results;
    assert_eq!(listed.len(), ITEMS as usize);
    let completed = listed.iter().filter(|result| result.text.is_some());
    if completes {
        assert_eq!(completed.count(), ITEMS as usize);
        assert_eq!(listed[0].text, Some(full_text(EVENTS)));
    } else {
        assert!(completed.count() < ITEMS as usize);
    }
}
