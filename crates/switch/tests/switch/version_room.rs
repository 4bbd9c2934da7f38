//! Items whose output so far is of a software version that has few slots.

use crate::item_slots::start_hosts;
use crate::support::CallScript::{Full, Pause, Stream};
use crate::support::{TestFleet, full_text, results, submission, wait_until};
use fulmarswitch_switch::node::SwitchNode;
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of items, fewer than the endpoints of the first version run at a time.
const ITEMS: u32 = 9;

/// Lists the endpoints of the first version.
fn list_endpoints(fleet: &TestFleet) {
    for (id, slots) in [("v1-a", 1), ("v1-b", 9), ("v1-c", 30)] {
        let listing = format!("ready v1 1 service domain {slots}");
        fleet.log.put("endpoints", id, &listing);
    }
}

/// Replaces most endpoints by those of another version, while `items` items of `events` events are all at their 20th event. One endpoint
/// with one slot is left of the first version.
async fn release(fleet: &TestFleet, node: &SwitchNode, items: u32, events: u64) {
    let stall = Pause {
        after: 20,
        silence: Duration::from_mins(1),
        events,
    };
    fleet.client.set_default(stall);
    node.submit_job(submission("j", items)).await;
    wait_until("runs of all items", async || {
        fleet.client.running() == i64::from(items)
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    fleet.client.set_default(Stream { events });
    for (id, listing) in [
        ("v1-b", ""),
        ("v1-c", ""),
        ("v2-a", "ready v2 1 service domain 40"),
    ] {
        fleet.log.put("endpoints", id, listing);
    }
}

/// Starts a host and makes that release.
pub async fn released_fleet(fleet: &TestFleet, items: u32, events: u64) -> Arc<SwitchNode> {
    list_endpoints(fleet);
    let node = fleet.start("a").await;
    release(fleet, &node, items, events).await;
    node
}

async fn done(node: &SwitchNode) -> usize {
    results(node, "j").await.results.len()
}

/// Guards against items that wait for the slots of the version that began their output while those of another version are idle (LOST).
#[tokio::test(start_paused = true)]
async fn items_begin_anew_where_slots_are_idle() {
    let fleet = TestFleet::new(0);
    let node = released_fleet(&fleet, ITEMS, 100).await;
    let released_at = Instant::now();
    wait_until("the results of all items", async || {
        done(&node).await == ITEMS as usize
    })
    .await;
    // An item takes 2 s. One after the other, they would take 18 s.
    let elapsed = released_at.elapsed();
    assert!(elapsed < Duration::from_secs(10), "{elapsed:?}");
    let page = results(&node, "j").await;
    let texts = page.results.iter().map(|result| result.text.clone());
    assert!(texts.into_iter().all(|text| text == Some(full_text(100))));
}

/// Guards against output that is thrown away although its version has a slot a moment later.
#[tokio::test(start_paused = true)]
async fn output_is_kept_for_a_short_wait() {
    let fleet = TestFleet::new(0);
    // The first item frees the slot 0.3 s after it has begun to go on.
    let node = released_fleet(&fleet, 2, 35).await;
    wait_until("the results of both items", async || done(&node).await == 2).await;
    let calls = fleet.client.calls();
    let resumed = calls.iter().filter(|call| call.resume_after.is_some());
    assert_eq!(resumed.count(), 2, "{calls:?}");
    assert!(calls.iter().all(|call| &*call.endpoint != "v2-a"));
}

/// Guards against the same in a fleet that is large enough for coordinators.
#[tokio::test]
async fn items_begin_anew_in_a_large_fleet() {
    let fleet = TestFleet::new(0);
    list_endpoints(&fleet);
    let names: Vec<String> = (0..22).map(|index| format!("h{index:02}")).collect();
    let hosts = join_all(names.iter().map(|name| fleet.start(name))).await;
    wait_until("all hosts", async || {
        let heard = |host: &Arc<SwitchNode>| host.caller_addresses(64).len() == hosts.len();
        hosts.iter().all(heard)
    })
    .await;
    sleep(Duration::from_millis(300)).await;
    let items = 22;
    release(&fleet, &hosts[0], items, 100).await;
    let first = fleet.client.calls().len();
    // An item takes 1.6 s to its end, so that one slot would take 35 s for all.
    wait_until("further runs of all items", async || {
        let calls = fleet.client.calls().split_off(first);
        let mut ids: Vec<Arc<str>> = calls.into_iter().map(|call| call.id).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.len() == items as usize
    })
    .await;
}

/// Guards against items that wait for good for a version whose endpoint has free slots by all reports, and refuses each item as full.
#[tokio::test(start_paused = true)]
async fn items_begin_anew_where_none_is_refused() {
    let fleet = TestFleet::new(0);
    let items = 5;
    released_fleet(&fleet, items, 100).await;
    fleet.client.set_default(Full);
    wait_until("runs of all items at the other version", async || {
        let calls = fleet.client.calls().into_iter();
        let mut ids: Vec<Arc<str>> = calls
            .filter(|call| &*call.endpoint == "v2-a")
            .map(|call| call.id)
            .collect();
        ids.sort_unstable();
        ids.dedup();
        ids.len() == items as usize
    })
    .await;
}

/// Guards against items that coordinators grant no slot of their version, since they keep more slots in reserve than hosts take into
/// account.
#[tokio::test]
async fn items_begin_anew_where_coordinators_grant_none() {
    let fleet = TestFleet::new(0);
    for (id, listing) in [
        ("v1-a", "ready v1 1 service d0 24"),
        ("v1-b", "ready v1 1 service d0 80"),
    ] {
        fleet.log.put("endpoints", id, listing);
    }
    let hosts = start_hosts(&fleet).await;
    let items = 66;
    let stall = Pause {
        after: 20,
        silence: Duration::from_mins(1),
        events: 1200,
    };
    fleet.client.set_default(stall);
    hosts[0].submit_job(submission("j", items)).await;
    wait_until("runs of all items", async || {
        fleet.client.running() == i64::from(items)
    })
    .await;
    sleep(Duration::from_millis(900)).await;
    // The runs of the items that go on last for longer than the test.
    fleet.client.set_default(Stream { events: 1200 });
    for (id, listing) in [
        ("v1-b", ""),
        ("v2-a", "ready v2 1 service d1 60"),
        ("v2-b", "ready v2 1 service d1 60"),
    ] {
        fleet.log.put("endpoints", id, listing);
    }
    wait_until("runs of all items beside each other", async || {
        fleet.client.running() == i64::from(items)
            && fleet
                .client
                .calls()
                .iter()
                .any(|call| &*call.endpoint == "v2-a")
    })
    .await;
}
