//! Why an open item does not run at a host, as the host explains, counts and logs it.

use crate::item_slots::start_hosts;
use crate::logging::LineBuffer;
use crate::support::{
    CallScript, DeadlyCalls, DeadlyCause, TestFleet, submission, submission_on, wait_until,
};
use crate::version_room::released_fleet;
use fulmarswitch_switch::batch::explain::{ItemExplanation, ItemQuery, ItemSelector};
use fulmarswitch_switch::item_status::ItemStatus;
use fulmarswitch_switch::load::SlotObstacle;
use fulmarswitch_switch::logging::host_logger;
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::prompt::PartKey;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const STALL: CallScript = CallScript::StallAfter { event: 1 };

fn explain(node: &SwitchNode, index: u32) -> Option<ItemExplanation> {
    node.explain_item(&ItemQuery {
        job: "j".into(),
        item: ItemSelector::Index(index),
    })
}

/// The first of the job's items with a status, once there is one.
async fn wait_for_status(node: &SwitchNode, status: ItemStatus) -> ItemExplanation {
    let mut found = None;
    wait_until(status.as_str(), async || {
        let mut items = (0..).map_while(|index| explain(node, index));
        found = items.find(|item| item.status == Some(status));
        found.is_some()
    })
    .await;
    found.unwrap()
}

/// A host alone, in a state in which one of its items gets a status.
async fn host_with(status: ItemStatus) -> (TestFleet, Arc<SwitchNode>) {
    let endpoints = match status {
        ItemStatus::NoSlot | ItemStatus::Stopping => 0,
        ItemStatus::Quarantined => 8,
        _ => 1,
    };
    let fleet = TestFleet::new(endpoints);
    fleet.client.set_default(match status {
        ItemStatus::BackingOff => CallScript::Status(500),
        ItemStatus::Unrecorded | ItemStatus::QuotaUsed => CallScript::Stream { events: 2 },
        ItemStatus::Quarantined => CallScript::Stream { events: 60 },
        _ => STALL,
    });
    if status == ItemStatus::NoConfiguration {
        fleet.log.cut_topic(Some("config"));
    }
    let node = fleet.spawn("a").await;
    let is_young = status == ItemStatus::HostsUnknown;
    sleep(Duration::from_millis(if is_young { 500 } else { 2000 })).await;
    let items = if status == ItemStatus::QuotaUsed {
        40
    } else {
        2
    };
    let mut job = submission("j", items);
    match status {
        ItemStatus::RouteMissing => {
            job = submission_on("/missing/", "j", 2);
            fleet.log.cut_topic(Some("config"));
        }
        ItemStatus::CutOff => fleet.client.refuse_connections(),
        ItemStatus::Quarantined => {
            for item in &mut job.items {
                item.headers.push(("parts".into(), "dead".into()));
            }
            let cause = DeadlyCause::Part(PartKey::of("dead"));
            let crash_after = Duration::from_millis(50);
            fleet
                .client
                .set_deadly(Some(DeadlyCalls { cause, crash_after }));
        }
        _ => {}
    }
    node.submit_job(job).await;
    match status {
        ItemStatus::Unrecorded => {
            sleep(Duration::from_millis(30)).await;
            fleet.log.set_down(true);
        }
        ItemStatus::Stopping => {
            let node = node.clone();
            tokio::spawn(async move { node.stop(Instant::now()).await });
        }
        _ => {}
    }
    (fleet, node)
}

#[rstest]
#[case::running(ItemStatus::Running)]
#[case::outcome_not_recorded(ItemStatus::Unrecorded)]
#[case::stopping(ItemStatus::Stopping)]
#[case::cut_off(ItemStatus::CutOff)]
#[case::no_configuration(ItemStatus::NoConfiguration)]
#[case::live_hosts_unknown(ItemStatus::HostsUnknown)]
#[case::route_missing(ItemStatus::RouteMissing)]
#[case::backing_off(ItemStatus::BackingOff)]
#[case::quarantined(ItemStatus::Quarantined)]
#[case::no_slot(ItemStatus::NoSlot)]
#[case::start_quota_used(ItemStatus::QuotaUsed)]
#[tokio::test(start_paused = true)]
async fn host_tells_why_its_item_does_not_run(#[case] status: ItemStatus) {
    let (_fleet, node) = host_with(status).await;
    let item = wait_for_status(&node, status).await;
    let is_held = matches!(status, ItemStatus::BackingOff | ItemStatus::Quarantined);
    assert!(item.held_back_for.is_some() || !is_held, "{item:?}");
    assert_eq!(item.runs_at.is_some(), status == ItemStatus::Running);
    let expected = format!("fulmarswitch_open_items{{status=\"{status}\"}} ");
    wait_until("the metric", async || {
        let metrics = node.write_metrics().unwrap();
        let mut lines = metrics.lines();
        lines.any(|line| {
            line.strip_prefix(&expected)
                .is_some_and(|count| count != "0")
        })
    })
    .await;
}

/// A host alone, whose endpoint with two slots runs one item, and gets no other for this reason.
#[rstest]
#[case::taken(SlotObstacle::Taken, STALL)]
#[case::refused(SlotObstacle::Full, CallScript::Full)]
#[case::failing(SlotObstacle::Avoided, CallScript::Disconnect)]
#[tokio::test(start_paused = true)]
async fn host_tells_why_an_endpoint_gets_no_item(
    #[case] obstacle: SlotObstacle,
    #[case] script: CallScript,
) {
    let fleet = TestFleet::new(0);
    fleet
        .log
        .put("endpoints", "e", "ready 1 0 service domain 2");
    fleet.client.script(&[STALL]);
    fleet.client.set_default(script);
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 4)).await;
    wait_until("the obstacle", async || {
        let item = explain(&node, 3);
        let endpoint = item.as_ref().and_then(|item| item.endpoints.first());
        endpoint.is_some_and(|endpoint| endpoint.obstacle == Some(obstacle))
    })
    .await;
    let item = explain(&node, 3).unwrap();
    assert_eq!(item.endpoints[0].slots.reserved, 1);
    if obstacle == SlotObstacle::Taken {
        let item = wait_for_status(&node, ItemStatus::NoSlot).await;
        assert_eq!(item.endpoints[0].slots.own.batch, 1);
    }
}

#[tokio::test(start_paused = true)]
async fn host_tells_which_version_has_no_slot() {
    let fleet = TestFleet::new(0);
    let node = released_fleet(&fleet, 9, 100).await;
    let item = wait_for_status(&node, ItemStatus::VersionFull).await;
    assert_eq!(item.version.as_deref(), Some("v1"));
    assert!(item.version_held < Some(item.max_version_hold), "{item:?}");
}

/// Each of two hosts names the other one for the items that it does not run, and why it starts none without the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_tell_who_has_an_item() {
    let fleet = TestFleet::new(0);
    let first = fleet.start("a").await;
    let other = fleet.with_other_log_access();
    let second = other.start("b").await;
    wait_until("both hosts", async || {
        first.caller_addresses(2).len() == 2 && second.caller_addresses(2).len() == 2
    })
    .await;
    first.submit_job(submission("j", 12)).await;
    for (node, peer) in [(&first, "b"), (&second, "a")] {
        let item = wait_for_status(node, ItemStatus::Assigned).await;
        assert_eq!(item.hosts, [peer.into()]);
    }
    fleet.client.set_default(STALL);
    fleet.log.put("endpoints", "e0", "ready");
    for (node, peer) in [(&first, "b"), (&second, "a")] {
        let item = wait_for_status(node, ItemStatus::Claimed).await;
        assert_eq!(item.hosts, [peer.into()]);
    }
    other.log.set_cut(true);
    wait_for_status(&second, ItemStatus::LogUnread).await;
}

#[tokio::test]
async fn host_of_a_large_fleet_tells_that_no_coordinator_has_granted_an_item() {
    let fleet = TestFleet::new(1);
    fleet.client.set_default(STALL);
    let hosts = start_hosts(&fleet).await;
    hosts[0].submit_job(submission("j", 66)).await;
    let item = wait_for_status(&hosts[0], ItemStatus::NotGranted).await;
    assert!(item.waited.is_some());
}

/// The line names the item by its ID, and comes no more often than each 5 s.
#[tokio::test(start_paused = true)]
async fn items_that_wait_are_logged() {
    let lines = LineBuffer::default();
    let (logger, guard) = host_logger("a", lines.clone());
    let fleet = TestFleet {
        logger,
        ..TestFleet::new(0)
    };
    let node = fleet.start("a").await;
    node.submit_job(submission("j", 9)).await;
    sleep(Duration::from_secs(12)).await;
    assert!(
        node.write_metrics()
            .unwrap()
            .contains("fulmarswitch_longest_item_wait_ms 1")
    );
    drop((fleet, guard));
    let text = lines.text();
    let found = text.lines().filter(|line| line.contains("\"open items\""));
    let found: Vec<&str> = found.collect();
    assert!((2..=3).contains(&found.len()), "{text}");
    assert!(found[0].contains("no free slot: 9"), "{text}");
    assert!(found[0].contains("j-0 no free slot"), "{text}");
}

#[test]
fn statuses_are_listed_in_their_order() {
    for (index, status) in ItemStatus::ALL.into_iter().enumerate() {
        assert_eq!(status as usize, index);
    }
}
