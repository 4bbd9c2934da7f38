//! Items at gates while their job moves to another owner, and while an endpoint refuses calls.

use crate::support::{
    TestFleet, job_header, owner_of, publish_service, read_results, submit_job, wait_for,
};
use fulmarswitch::host::HostNode;
use fulmarswitch::settings::TuningSettings;
use fulmarswitch_records::{ItemOutcome, ShardIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::log::LogFaults;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Items of the job.
const JOB_ITEMS: u32 = 40;
/// Tokens of each item. An item runs longer than a new owner waits for announced items.
const ITEM_TOKENS: u32 = 3_000;
/// Tokens of an item that completes quickly.
const SHORT_TOKENS: u32 = 20;

/// Starts four hosts and a service with `engines` engines, and waits until all shards have an owner.
async fn start_four_hosts(fleet: &mut TestFleet, engines: usize) -> Vec<Arc<HostNode>> {
    let mut nodes = Vec::new();
    for (name, domain) in [("a", "d0"), ("b", "d1"), ("c", "d2"), ("d", "d0")] {
        nodes.push(fleet.add_host(name, domain).await.1);
    }
    publish_service(&nodes[0], engines).await;
    wait_for(Duration::from_secs(20), "shards are owned", || {
        (0..4).all(|shard| nodes[0].shards().owner(ShardIndex(shard)).is_some())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    nodes
}

#[rstest]
#[case::repeatable(true)]
#[case::at_most_once(false)]
#[tokio::test(start_paused = true)]
async fn items_at_gates_continue_when_their_job_moves(#[case] idempotent: bool) {
    let mut fleet = TestFleet::new(LogFaults::default(), TuningSettings::default(), 3);
    let nodes = start_four_hosts(&mut fleet, 3).await;
    let first = Arc::clone(&nodes[0]);
    let header = job_header("s", ITEM_TOKENS, idempotent);
    submit_job(&fleet, &first, header, JOB_ITEMS, JOB_ITEMS).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let tokens_before = fleet.tokens();
    assert!(tokens_before > 0, "items run");

    // The owner leaves; the gates of the other hosts continue the items assigned to them.
    let owner = owner_of(&fleet, &first, "w/j");
    let leaving_task = tokio::spawn({
        let owner = Arc::clone(&owner);
        async move { owner.leave().await }
    });
    let observer = nodes.iter().rfind(|node| !Arc::ptr_eq(node, &owner));
    let observer = observer.expect("another host");
    tokio::time::sleep(Duration::from_mins(5)).await;
    leaving_task
        .await
        .expect("the task that leaves does not panic");
    let results = read_results(&fleet, observer, "w/j", JOB_ITEMS).await;
    assert_eq!(results.len(), JOB_ITEMS as usize);
    for (item, outcome) in results {
        let text = whole_answer(&format!("item {item}"), ITEM_TOKENS).into();
        assert!(outcome == ItemOutcome::Done { text }, "item {item}");
    }
    let expected_tokens = u64::from(JOB_ITEMS * ITEM_TOKENS);
    assert_eq!(
        fleet.tokens(),
        expected_tokens,
        "items were interrupted or ran twice"
    );
}

/// Guards against running an item twice or not at all when its call was announced but then refused: the
/// endpoint refuses calls for a while, so announced items are returned to the owner without having run.
#[tokio::test(start_paused = true)]
async fn announced_items_that_did_not_run_run_elsewhere() {
    let mut fleet = TestFleet::new(LogFaults::default(), TuningSettings::default(), 2);
    let first = Arc::clone(&start_four_hosts(&mut fleet, 2).await[0]);
    fleet.engine(0).set_faults(|faults| faults.refuse = true);
    let header = job_header("s", SHORT_TOKENS, false);
    submit_job(&fleet, &first, header, JOB_ITEMS, JOB_ITEMS).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.engine(0).set_faults(|faults| faults.refuse = false);
    tokio::time::sleep(Duration::from_mins(2)).await;
    let results = read_results(&fleet, &first, "w/j", JOB_ITEMS).await;
    assert_eq!(results.len(), JOB_ITEMS as usize);
    for (item, outcome) in results {
        let text = whole_answer(&format!("item {item}"), SHORT_TOKENS).into();
        assert_eq!(outcome, ItemOutcome::Done { text }, "item {item}");
    }
    let expected_tokens = u64::from(JOB_ITEMS * SHORT_TOKENS);
    assert_eq!(fleet.tokens(), expected_tokens, "an item ran twice");
}
