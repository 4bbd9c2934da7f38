//! Items of several services at the coordinators: no service, version or due time holds up another one that has free slots.

use crate::support::{CallScript, TestFleet, submission_on, wait_until};
use fulmarswitch_switch::node::SwitchNode;
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// A fleet that is large enough for coordinators, of hosts in two domains.
async fn start_hosts(fleet: &TestFleet) -> Vec<Arc<SwitchNode>> {
    let fleets = [fleet.in_domain("d0"), fleet.in_domain("d1")];
    let names = (0..22).map(|index| (&fleets[index % 2], format!("h{index:02}")));
    let names: Vec<_> = names.collect();
    let hosts = join_all(names.iter().map(|(fleet, name)| fleet.start(name))).await;
    wait_until("all hosts", async || {
        let heard = |host: &Arc<SwitchNode>| host.caller_addresses(64).len() == hosts.len();
        hosts.iter().all(heard)
    })
    .await;
    // The groups are computed with the heartbeats.
    tokio::time::sleep(Duration::from_millis(300)).await;
    hosts
}

/// A fleet with the services `audits` and `reports`, whose endpoints are listed as (number, service, domain).
fn fleet_of(endpoints: &[(usize, &str, &str)]) -> TestFleet {
    let fleet = TestFleet::new(0);
    let config = "2 batch:audits /audits/ batch:reports /reports/";
    fleet.log.put("config", "config", config);
    for (count, service, domain) in endpoints {
        for index in 0..*count {
            let listing = format!("ready 1 0 {service} {domain}");
            let id = format!("{service}-{domain}-{index}");
            fleet.log.put("endpoints", &id, &listing);
        }
    }
    fleet.client.set_default(CallScript::Stream { events: 2 });
    fleet
}

/// Number of items of a job that have run. Results are not read, as the numbers of texts collide among hosts that start within
/// milliseconds.
fn count_run(fleet: &TestFleet, job: &str) -> usize {
    let calls = fleet.client.calls().into_iter();
    let mut ids: Vec<Arc<str>> = calls
        .map(|call| call.id)
        .filter(|id| id.starts_with(&format!("{job}-")))
        .collect();
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}

/// Guards against items of a service without endpoints that hold up all others of their host.
#[tokio::test]
async fn items_of_a_lost_service_hold_up_no_others() {
    let fleet = fleet_of(&[(2, "reports", "d0"), (2, "reports", "d1")]);
    let hosts = start_hosts(&fleet).await;
    hosts[0]
        .submit_job(submission_on("/audits/", "lost", 100))
        .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    hosts[1]
        .submit_job(submission_on("/reports/", "sound", 44))
        .await;
    wait_until("all items of the sound service", async || {
        count_run(&fleet, "sound") == 44
    })
    .await;
}
