//! Endpoints that leave while a host cannot read the listings, or while it prepares a send.
//!
//! Heartbeats are real datagrams on loopback, so tests with several hosts run in real time.

use crate::support::{
    CallScript, CallerOutcome, MemoryLog, TestFleet, full_text, results, send_request, submission,
    wait_until,
};
use fulmarswitch_switch::node::SwitchNode;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after its departure from which an endpoint must get no requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const SEND_TIME: Duration = Duration::from_millis(1500);

/// Sends requests for [`SEND_TIME`], one at a time, and returns their outcomes.
async fn send_requests(node: &Arc<SwitchNode>) -> Vec<CallerOutcome> {
    let until = Instant::now() + SEND_TIME;
    let mut outcomes = Vec::new();
    while Instant::now() < until {
        outcomes.push(send_request(node, "/once/x").await);
    }
    outcomes
}

/// Starts a host with its own access to the log, and one beside it that it hears. Returns the access and the first host.
async fn start_beside_another(fleet: &TestFleet) -> (MemoryLog, Arc<SwitchNode>) {
    let own_access = fleet.with_other_log_access();
    let first = own_access.start("a").await;
    let second = fleet.start("b").await;
    wait_until("both hosts", async || {
        first.caller_addresses(64).len() == 2 && second.caller_addresses(64).len() == 2
    })
    .await;
    (own_access.log, first)
}

/// Sends requests at `node` from [`DRAIN_TIME`] after `departed` on, and checks that none reaches the endpoint `e0`.
async fn assert_unused_after(departed: Instant, fleet: &TestFleet, node: &Arc<SwitchNode>) {
    sleep_until(departed + DRAIN_TIME).await;
    let before = fleet.client.calls().len();
    let outcomes = send_requests(node).await;
    assert!(outcomes.len() > 10, "{}", outcomes.len());
    let calls = fleet.client.calls().split_off(before);
    let late = calls.iter().filter(|call| &*call.endpoint == "e0").count();
    assert_eq!(late, 0, "of {} calls", calls.len());
}

/// Guards against requests to an endpoint that left more than 2 s ago, from a host that alone had lost the log.
#[tokio::test]
async fn host_that_alone_lost_the_log_stops_using_removed_endpoints() {
    let fleet = TestFleet::new(2);
    let (log, first) = start_beside_another(&fleet).await;
    log.set_cut(true);
    sleep(Duration::from_secs(3)).await;
    fleet.log.put("endpoints", "e0", "");
    let departed = Instant::now();
    log.set_cut(false);
    assert_unused_after(departed, &fleet, &first).await;
}

/// Guards against dropping live endpoints whose listings expired while no host could reach the log.
#[tokio::test]
async fn endpoints_that_expire_in_an_outage_for_all_hosts_stay_in_use() {
    let fleet = TestFleet::new(1);
    let hosts = [fleet.start("a").await, fleet.start("b").await];
    wait_until("both hosts", async || {
        hosts
            .iter()
            .all(|host| host.caller_addresses(64).len() == 2)
    })
    .await;
    fleet.log.set_down(true);
    sleep(Duration::from_secs(3)).await;
    fleet.log.put("endpoints", "e0", "");
    fleet.log.set_down(false);
    for host in &hosts {
        let outcomes = send_requests(host).await;
        let refused = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, CallerOutcome::Rejected))
            .count();
        assert_eq!(refused, 0, "of {} requests", outcomes.len());
        fleet.log.put("endpoints", "e0", "ready");
    }
}

/// Guards against sending an item to an endpoint that left while the item's output was read from the log.
#[tokio::test(start_paused = true)]
async fn item_is_not_sent_to_an_endpoint_that_left_during_a_slow_read() {
    let fleet = TestFleet::new(2);
    fleet.client.set_default(CallScript::Stream { events: 250 });
    let first = fleet.start("a").await;
    first.submit_job(submission("j", 1)).await;
    sleep(Duration::from_secs(3)).await;
    first.stop(Instant::now()).await;
    let before = fleet.client.calls().len();
    fleet
        .log
        .set_fetch_delay(DRAIN_TIME + Duration::from_secs(1));
    let second = fleet.start("b").await;
    // The item starts after the time in which its host listens for other hosts.
    sleep(Duration::from_millis(500)).await;
    fleet.log.put("endpoints", "e0", "draining");
    fleet.log.put("endpoints", "e1", "");
    fleet.log.put("endpoints", "e2", "ready");
    assert_eq!(fleet.client.calls().len(), before, "the item was not read");

    sleep(Duration::from_secs(15)).await;
    let calls = fleet.client.calls().split_off(before);
    let endpoints: Vec<&str> = calls.iter().map(|call| &*call.endpoint).collect();
    assert_eq!(endpoints, ["e2"]);
    assert!(calls[0].resume_after.is_some(), "the output was lost");
    let page = results(&second, "j").await;
    assert_eq!(page.results[0].text, Some(full_text(250)));
}

/// Guards against requests to an endpoint that left more than 2 s ago, from a host that has lost the log but hears others.
#[rstest]
#[case::announced("draining")]
#[case::removed("")]
#[tokio::test]
async fn host_without_the_log_learns_of_departures_from_others(#[case] listing: &str) {
    let fleet = TestFleet::new(2);
    let (log, first) = start_beside_another(&fleet).await;
    // The other host reports removals once it has read the log for a while.
    sleep(Duration::from_secs(2)).await;
    log.set_cut(true);
    fleet.log.put("endpoints", "e0", listing);
    assert_unused_after(Instant::now(), &fleet, &first).await;

    // A listing that is renewed after the departure counts again once the host reads it.
    fleet.log.put("endpoints", "e0", "ready");
    log.set_cut(false);
    wait_until("a call to the renewed endpoint", async || {
        send_request(&first, "/once/x").await;
        let calls = fleet.client.calls();
        calls.last().is_some_and(|call| &*call.endpoint == "e0")
    })
    .await;
}
