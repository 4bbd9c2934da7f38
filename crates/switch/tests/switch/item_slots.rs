//! Items of several services at the coordinators: no service, version or due time holds up another one that has free slots.

use crate::support::{CallScript, TestFleet, submission_on, wait_until};
use fulmarswitch_switch::coordinator::group::GroupId;
use fulmarswitch_switch::coordinator::message::{GroupRoom, ServiceKey, ServiceRoom};
use fulmarswitch_switch::coordinator::rooms::{RoomKind, RoomTable};
use fulmarswitch_switch::node::SwitchNode;
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn group() -> GroupId {
    GroupId {
        domain: "domain".into(),
        buckets: 1,
        bucket: 0,
    }
}

/// Guards against the room of one service being taken for that of another one.
#[tokio::test(start_paused = true)]
async fn room_of_another_service_is_none() {
    let now = Instant::now();
    let named = |domain: &str| GroupId {
        domain: domain.into(),
        ..group()
    };
    let room = |domain: &str, services: &[(&str, u16)]| {
        let rooms = services.iter().map(|(service, free)| ServiceRoom {
            service: ServiceKey::of(service),
            free: *free,
            free_for_items: *free,
            preemptible: 0,
        });
        let total = GroupRoom {
            group: named(domain),
            free: services.iter().map(|(_, free)| free).sum(),
            free_for_items: services.iter().map(|(_, free)| free).sum(),
            preemptible: 0,
        };
        (total, rooms.collect::<Vec<_>>())
    };
    let mut rooms = RoomTable::default();
    for (total, services) in [
        room("a", &[("audits", 50), ("reports", 0)]),
        room("b", &[("audits", 1), ("reports", 2)]),
    ] {
        rooms.set(total, Some(services), now);
    }
    let mut take = |service: &str| {
        let service = ServiceKey::of(service);
        rooms.take_roomiest(&named("c"), service, RoomKind::FreeForItems, |_| true, now)
    };
    assert_eq!(take("audits"), Some(named("a")));
    assert_eq!(take("reports"), Some(named("b")));
    assert_eq!(take("reports"), Some(named("b")));
    assert_eq!(take("reports"), None, "both slots were named");
}

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

/// Guards against hosts of a domain without endpoints of a service that are sent to where only another service has room.
#[tokio::test]
async fn items_run_in_another_domain_if_theirs_lost_their_service() {
    let fleet = fleet_of(&[
        (2, "reports", "d0"),
        (6, "audits", "d1"),
        (6, "audits", "d2"),
    ]);
    let hosts = start_hosts(&fleet).await;
    hosts[0]
        .submit_job(submission_on("/reports/", "j", 66))
        .await;
    wait_until("all items", async || count_run(&fleet, "j") == 66).await;
}
