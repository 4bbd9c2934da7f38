//! Coordinators of endpoints in a large fleet.

use crate::support::{
    CallScript, CallerOutcome, TestFleet, listed, read_response, request, wait_until,
};
use fulmarswitch_switch::coordinator::asks::AskTable;
use fulmarswitch_switch::coordinator::grants::{SlotGrant, SlotGrants};
use fulmarswitch_switch::coordinator::group::{EndpointGroup, GroupId, compute_groups};
use fulmarswitch_switch::coordinator::message::SlotOutcome;
use fulmarswitch_switch::coordinator::pick::{GroupPick, GroupView};
use fulmarswitch_switch::coordinator::scope::ItemScope;
use fulmarswitch_switch::coordinator::waiting::{ItemPlace, ItemUrgency, WaitingItems};
use fulmarswitch_switch::endpoint::{EndpointTable, ListedEndpoint};
use fulmarswitch_switch::load::{EndpointPick, LoadView, RequestClass};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::report::{EndpointKey, EndpointReport, RequestCounts};
use fulmarswitch_switch::schedule::ItemName;
use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const SLOTS: u32 = 7;
const MAX_WAIT: Duration = Duration::from_millis(150);

fn endpoints(domain: &str, count: usize) -> Vec<Arc<ListedEndpoint>> {
    let ids = (0..count).map(|index| format!("{domain}-{index}"));
    ids.map(|id| {
        Arc::new(ListedEndpoint {
            domain: domain.into(),
            ..listed(&id, SLOTS, false)
        })
    })
    .collect()
}

fn hosts(domains: &[&str], count: usize) -> Vec<(Arc<str>, Arc<str>)> {
    let names = (0..count).map(|index| {
        let domain = domains[index % domains.len()];
        (format!("{domain}-host-{index}").into(), domain.into())
    });
    names.collect()
}

fn no_preemptions(_: &str) -> u32 {
    0
}

/// Hosts that learn of endpoints and hosts in any order must ask the same coordinator.
#[test]
fn groups_do_not_depend_on_the_order() {
    let mut all: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|domain| endpoints(domain, 40))
        .collect();
    let mut fleet = hosts(&["a", "b"], 50);
    let groups = compute_groups(&all, &fleet);
    all.reverse();
    fleet.reverse();
    assert_eq!(compute_groups(&all, &fleet), groups);
    for endpoint in &all {
        let of_endpoint = groups.iter().filter(|group| group.id.contains(endpoint));
        assert_eq!(of_endpoint.count(), 1, "{}", endpoint.id);
    }
}

macro_rules! group_counts {
    ($($case:ident: $endpoints:expr => $groups:expr,)*) => {
        #[rstest]
        $(#[case::$case($endpoints, $groups)])*
        fn groups_of_a_domain(#[case] count: usize, #[case] expected: usize) {
            let groups = compute_groups(&endpoints("a", count), &hosts(&["a"], 30));
            assert_eq!(groups.len(), expected);
        }
    };
}

group_counts! {
    none: 0 => 0,
    few: 12 => 1,
    a_hundred: 100 => 8,
    a_thousand: 1_000 => 64,
}

/// Guards against a group without a coordinator: the next candidate takes the place of a lost one.
#[test]
fn next_candidate_replaces_a_lost_coordinator() {
    let all = endpoints("a", 12);
    let mut fleet = hosts(&["a", "b"], 30);
    let before: Vec<EndpointGroup> = compute_groups(&all, &fleet);
    let candidates = &before[0].candidates;
    assert!(
        candidates.iter().all(|name| name.starts_with("a-")),
        "{candidates:?}"
    );
    fleet.retain(|(name, _)| *name != candidates[0]);
    assert_eq!(
        compute_groups(&all, &fleet)[0].candidates[..2],
        candidates[1..]
    );
}

/// Herd: hundreds of hosts send at once while reports are under way. Asks in a row get all slots of a group and none twice.
#[test]
fn asks_in_a_row_fill_each_slot_once() {
    let all = endpoints("a", 12);
    let candidates: Vec<_> = all.iter().collect();
    let (mut load, mut rng) = (LoadView::default(), SmallRng::seed_from_u64(1));
    let now = Instant::now();
    for _ in 0..12 * SLOTS {
        let view = GroupView {
            load: &load,
            preempting: &no_preemptions,
        };
        let GroupPick::Free(endpoint) = view.pick_online(&candidates, MAX_WAIT, now, &mut rng)
        else {
            panic!("a slot is free");
        };
        load.add_granted(EndpointKey::of(&endpoint.id), RequestClass::Online);
    }
    for endpoint in &all {
        assert_eq!(load.total(&endpoint.id).total(), SLOTS, "{}", endpoint.id);
    }
    let view = GroupView {
        load: &load,
        preempting: &no_preemptions,
    };
    let pick = view.pick_online(&candidates, Duration::ZERO, now, &mut rng);
    assert!(matches!(pick, GroupPick::Full { .. }), "{pick:?}");
}

/// The same load with reports of a second ago collides: what the coordinator avoids.
#[test]
fn old_reports_let_hosts_collide() {
    let mut table = EndpointTable::default();
    for endpoint in endpoints("a", 12) {
        table.set((*endpoint).clone());
    }
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let mut sent = vec![0_u32; 12];
    for _ in 0..12 * SLOTS {
        // Each host has its own view, and none of the others' requests of the last second is in it.
        let EndpointPick::Use(endpoint) =
            LoadView::default().pick_online(&table, "service", &[], MAX_WAIT, now, &mut rng)
        else {
            panic!("all endpoints look idle");
        };
        let index: usize = endpoint.id.rsplit('-').next().unwrap().parse().unwrap();
        sent[index] += 1;
    }
    assert!(sent.iter().any(|count| *count > SLOTS), "{sent:?}");
}

fn with_load(load: &mut LoadView, host: &str, counts: &[(&str, u16, u16)]) {
    let report = counts.iter().map(|(id, online, batch)| {
        let counts = RequestCounts {
            online: *online,
            batch: *batch,
        };
        (
            EndpointKey::of(id),
            EndpointReport {
                counts,
                ..EndpointReport::default()
            },
        )
    });
    load.update_report(&host.into(), report.collect(), Instant::now());
}

/// Preempted items with output run again: no item gives way while another endpoint of the group has a free slot.
#[test]
fn free_slots_go_before_those_of_items() {
    let all = endpoints("a", 2);
    let candidates: Vec<_> = all.iter().collect();
    let mut load = LoadView::default();
    with_load(&mut load, "peer", &[("a-0", 0, 7), ("a-1", 6, 0)]);
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let view = GroupView {
        load: &load,
        preempting: &no_preemptions,
    };
    let pick = view.pick_online(&candidates, MAX_WAIT, now, &mut rng);
    assert!(
        matches!(&pick, GroupPick::Free(endpoint) if &*endpoint.id == "a-1"),
        "{pick:?}"
    );
    with_load(&mut load, "peer", &[("a-0", 0, 7), ("a-1", 7, 0)]);
    let view = GroupView {
        load: &load,
        preempting: &no_preemptions,
    };
    let pick = view.pick_online(&candidates, MAX_WAIT, now, &mut rng);
    assert!(
        matches!(&pick, GroupPick::Preempt(endpoint) if &*endpoint.id == "a-0"),
        "{pick:?}"
    );
}

macro_rules! excesses {
    ($($case:ident: $online:expr, $batch:expr, told $told:expr => $excess:expr,)*) => {
        #[rstest]
        $(#[case::$case($online, $batch, $told, $excess)])*
        /// One item gives way for one request, also while the host that was told has not reported it.
        fn items_that_give_way(#[case] online: u16, #[case] batch: u16, #[case] told: u32, #[case] expected: u32) {
            let all = endpoints("a", 1);
            let mut load = LoadView::default();
            with_load(&mut load, "peer", &[("a-0", online, batch)]);
            let preempting = |_: &str| told;
            let view = GroupView { load: &load, preempting: &preempting };
            assert_eq!(view.excess(&all[0], Instant::now()), expected);
        }
    };
}

excesses! {
    none: 3, 4, told 0 => 0,
    one: 4, 4, told 0 => 1,
    told: 4, 4, told 1 => 0,
    no_items: 9, 0, told 0 => 0,
    all_items: 9, 2, told 0 => 2,
}

/// Items leave slots of the group free for the requests of the next moment.
#[test]
fn items_leave_reserved_slots() {
    let all = endpoints("a", 12);
    let candidates: Vec<_> = all.iter().collect();
    let (mut load, mut rng) = (LoadView::default(), SmallRng::seed_from_u64(1));
    let now = Instant::now();
    let mut started = 0;
    loop {
        let view = GroupView {
            load: &load,
            preempting: &no_preemptions,
        };
        let Some(endpoint) = view.pick_item(&candidates, |_| true, 0, now, &mut rng) else {
            break;
        };
        load.add_granted(EndpointKey::of(&endpoint.id), RequestClass::Batch);
        started += 1;
    }
    assert_eq!(started, 12 * SLOTS - (12 * SLOTS).div_ceil(20));
}

fn scope() -> ItemScope {
    ItemScope {
        service: "service".into(),
        version: None,
    }
}

/// Where an item of a host may run that leaves nothing out.
fn place(host: &str) -> ItemPlace {
    ItemPlace {
        host: host.into(),
        group: GroupId {
            domain: "a".into(),
            buckets: 1,
            bucket: 0,
        },
        scope: scope(),
        excluded: Vec::new(),
    }
}

/// Overload of items: more wait than there are slots. Guards against slots that go to whoever asks next.
#[test]
fn most_urgent_items_go_first() {
    let urgency = |is_late, due_ms| ItemUrgency::new(is_late, due_ms, 0);
    let now = Instant::now();
    let mut waiting = WaitingItems::default();
    let ahead = |waiting: &WaitingItems, host: &str, urgency, now| {
        waiting.ahead_of(&place(host), urgency, |_| true, now)
    };
    waiting.add(place("a"), urgency(false, 20), now);
    waiting.add(place("b"), urgency(false, 10), now);
    waiting.add(place("c"), urgency(true, 5), now);
    assert_eq!(ahead(&waiting, "c", urgency(true, 5), now), 2);
    assert_eq!(ahead(&waiting, "a", urgency(false, 20), now), 1);
    assert_eq!(ahead(&waiting, "b", urgency(false, 10), now), 0);
    waiting.remove(&place("b"));
    assert_eq!(ahead(&waiting, "a", urgency(false, 20), now), 0);
    // A host that does not ask again, as it was lost or its item has run elsewhere, holds no slot back.
    let later = now + Duration::from_millis(121);
    assert_eq!(ahead(&waiting, "c", urgency(true, 5), later), 0);
    let all = endpoints("a", 1);
    let candidates: Vec<_> = all.iter().collect();
    let load = LoadView::default();
    let view = GroupView {
        load: &load,
        preempting: &no_preemptions,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let free = SLOTS - 1;
    assert!(
        view.pick_item(&candidates, |_| true, free - 1, now, &mut rng)
            .is_some()
    );
    assert!(
        view.pick_item(&candidates, |_| true, free, now, &mut rng)
            .is_none()
    );
}

fn grant(host: &str, number: u32, granted_at: Instant) -> SlotGrant {
    SlotGrant {
        host: host.into(),
        number,
        endpoint: EndpointKey::of("a-0"),
        class: RequestClass::Online,
        granted_at,
    }
}

/// Guards against a request that is counted twice, by its grant and by the load of its host, or never.
#[test]
fn grants_count_until_they_are_in_a_load() {
    let now = Instant::now();
    let mut grants = SlotGrants::default();
    for (host, number) in [("a", 1), ("a", 2), ("b", 1)] {
        assert!(grants.add(grant(host, number, now)));
    }
    assert_eq!(grants.resolve("a", 1).len(), 1);
    assert!(grants.find("a", 2).is_some() && grants.find("b", 1).is_some());
    assert!(grants.expire(now + Duration::from_millis(100)).is_empty());
    assert_eq!(grants.expire(now + Duration::from_millis(300)).len(), 2);
}

/// A report must not resolve an ask that is not in it yet.
#[test]
fn asks_are_resolved_in_order() {
    let now = Instant::now();
    let mut asks = AskTable::default();
    let (first, _answer) = asks.begin_request("c".into(), now);
    let (second, _other) = asks.begin_request("c".into(), now);
    asks.resolve(second);
    assert!(asks.resolved() < first);
    asks.resolve(first);
    assert_eq!(asks.resolved(), second);
}

/// Guards against items that ask in each pass while there is no room.
#[test]
fn items_without_room_ask_again_later() {
    let now = Instant::now();
    let mut asks = AskTable::default();
    let name = ItemName {
        job: "j".into(),
        item: 0,
    };
    let number = asks.begin_item(&name, scope(), "c".into(), now);
    assert!(!asks.may_ask_for(&name, &scope(), now));
    let full = SlotOutcome::Full {
        wait_ms: 0,
        retry_after_ms: 60,
    };
    assert!(!asks.record_answer(number, full, now));
    assert!(!asks.may_ask_for(&name, &scope(), now + Duration::from_millis(59)));
    assert!(asks.may_ask_for(&name, &scope(), now + Duration::from_millis(61)));
}

/// Guards against items that wait for a coordinator that is gone.
#[test]
fn silent_coordinator_is_not_asked_again() {
    let now = Instant::now();
    let mut asks = AskTable::default();
    let name = ItemName {
        job: "j".into(),
        item: 0,
    };
    asks.begin_item(&name, scope(), "c".into(), now);
    let later = now + Duration::from_millis(100);
    assert_eq!(asks.expire_items(later), ["c".into()]);
    assert!(asks.is_silent("c", later) && !asks.is_silent("d", later));
    assert!(asks.may_ask_for(&name, &scope(), later));
    assert!(!asks.is_silent("c", later + Duration::from_secs(1)));
}

/// A fleet that is large enough for coordinators.
const FLEET_HOSTS: usize = 22;

async fn start_large_fleet(fleet: &TestFleet) -> Vec<Arc<SwitchNode>> {
    let names: Vec<String> = (0..FLEET_HOSTS)
        .map(|index| format!("h{index:02}"))
        .collect();
    let hosts = join_all(names.iter().map(|name| fleet.start(name))).await;
    wait_until("all hosts", async || {
        let heard = |host: &Arc<SwitchNode>| host.caller_addresses(64).len() == FLEET_HOSTS;
        hosts.iter().all(heard)
    })
    .await;
    // The groups are computed with the heartbeats.
    tokio::time::sleep(Duration::from_millis(300)).await;
    hosts
}

/// Number of calls of each endpoint since call `first`.
fn calls_by_endpoint(fleet: &TestFleet, first: usize) -> Vec<usize> {
    let calls = fleet.client.calls().split_off(first);
    let mut ids: Vec<Arc<str>> = calls.into_iter().map(|call| call.endpoint).collect();
    ids.sort_unstable();
    ids.chunk_by(|a, b| a == b).map(<[_]>::len).collect()
}

/// Requests of each host in a herd.
const HERD_REQUESTS: usize = 2;
/// Slots of an endpoint of a test fleet.
const FLEET_SLOTS: usize = 4;

/// Herd: all hosts send at the same moment, as many requests as there are slots. Guards against hosts that each take the same slot to
/// be free.
#[tokio::test]
async fn requests_of_many_hosts_do_not_collide() {
    let endpoints = FLEET_HOSTS * HERD_REQUESTS / FLEET_SLOTS;
    let fleet = TestFleet::new(endpoints);
    let hosts = start_large_fleet(&fleet).await;
    fleet.client.set_default(CallScript::Stream { events: 20 });
    let first = fleet.client.calls().len();
    let requests = hosts
        .iter()
        .flat_map(|host| std::iter::repeat_n(host, HERD_REQUESTS));
    let outcomes =
        join_all(requests.enumerate().map(|(index, host)| {
            read_response(host, request(host, "/safe/x", &format!("r{index}")))
        }))
        .await;
    let complete = |outcome: &CallerOutcome| matches!(outcome, CallerOutcome::Complete(_));
    assert!(outcomes.iter().all(complete), "{outcomes:?}");
    assert_eq!(
        calls_by_endpoint(&fleet, first),
        vec![FLEET_SLOTS; endpoints]
    );
}
