//! Hosts that are to run an item and cannot, while others could.

use crate::support::{
    CallScript, TestFleet, results, send_request, submission, submission_on, wait_until,
};
use futures::future::join_all;
use std::time::Duration;
use tokio::time::sleep;

const ITEMS: u32 = 24;

/// Guards against items that are assigned to a host which does not know their route, as it cannot read the configuration (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_of_an_unknown_route_run_at_other_hosts() {
    let fleet = TestFleet::new(2);
    fleet.client.set_default(CallScript::Stream { events: 5 });
    let first = fleet.start("a").await;
    let other = fleet.with_other_log_access();
    let second = other.start("b").await;
    wait_until("both hosts", async || {
        [&first, &second].map(|host| host.caller_addresses(2).len()) == [2, 2]
    })
    .await;
    other.log.cut_topic(Some("config"));
    sleep(Duration::from_millis(500)).await;
    fleet.log.put("config", "config", "2 batch /more/");
    sleep(Duration::from_millis(1500)).await;
    first.submit_job(submission_on("/more/", "j", ITEMS)).await;
    wait_until("the results of all items", async || {
        results(&first, "j").await.results.len() == ITEMS as usize
    })
    .await;
}

/// Guards against items that are assigned to hosts without a share in the limits of all endpoints, since another listed endpoint names no
/// limit and cannot be reached (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_run_beside_a_dead_listing_and_limits() {
    let fleet = TestFleet::new(2);
    fleet.client.set_default(CallScript::Stream { events: 2 });
    let hosts = join_all(["a", "b", "c", "d"].map(|name| fleet.start(name))).await;
    for endpoint in ["e0", "e1"] {
        fleet.client.set_limit(endpoint, Some("3"));
    }
    hosts[0].submit_job(submission("first", 8)).await;
    fleet.client.end_endpoint(&"e9".into());
    fleet.log.put("endpoints", "e9", "ready");
    // The responses to online requests name the limits.
    let requests = hosts.iter().cloned().map(|host| {
        tokio::spawn(async move {
            loop {
                send_request(&host, "/safe/x").await;
                sleep(Duration::from_millis(700)).await;
            }
        })
    });
    let requests: Vec<_> = requests.collect();
    sleep(Duration::from_secs(5)).await;
    hosts[0].submit_job(submission("second", ITEMS)).await;
    wait_until("the results of all items", async || {
        results(&hosts[0], "second").await.results.len() == ITEMS as usize
    })
    .await;
    for request in requests {
        request.abort();
    }
}
