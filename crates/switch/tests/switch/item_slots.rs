//! Items of several services at the coordinators: no service, version or due time holds up another one that has free slots.

use crate::support::{CallScript, TestFleet, listed, submission_on, wait_until};
use fulmarswitch_switch::coordinator::asks::AskTable;
use fulmarswitch_switch::coordinator::group::{AskRoute, EndpointGroup, GroupId, compute_groups};
use fulmarswitch_switch::coordinator::items::{ItemAsk, ItemDecision, ItemQueues};
use fulmarswitch_switch::coordinator::message::{GroupRoom, ServiceKey, ServiceRoom, SlotOutcome};
use fulmarswitch_switch::coordinator::pick::GroupView;
use fulmarswitch_switch::coordinator::rooms::{RoomKind, RoomTable};
use fulmarswitch_switch::coordinator::scope::ItemScope;
use fulmarswitch_switch::coordinator::waiting::{ItemPlace, ItemUrgency, WaitingItems};
use fulmarswitch_switch::endpoint::ListedEndpoint;
use fulmarswitch_switch::jobs::SubmitReply;
use fulmarswitch_switch::load::{LoadView, RequestClass};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::report::EndpointKey;
use fulmarswitch_switch::schedule::ItemName;
use futures::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two rounds of asks.
const ROUND: Duration = Duration::from_millis(60);
/// Number of rounds within which an item is granted while one may be: enough for a host to ask each of six groups in turn.
const MAX_IDLE_ROUNDS: u32 = 54;
/// Number of rounds after which some items become late.
const ROUNDS_UNTIL_LATE: u64 = 5;

fn no_preemptions(_: &str) -> u32 {
    0
}

/// An item that waits at a host.
#[derive(Clone, Debug)]
struct ModelItem {
    name: ItemName,
    scope: ItemScope,
    due_ms: u64,
    /// Round from which it is late.
    late_from: u64,
}

impl ModelItem {
    fn urgency(&self, round: u64) -> ItemUrgency {
        ItemUrgency::new(round >= self.late_from, self.due_ms, 0)
    }
}

/// A host with what it knows.
struct ModelHost {
    name: Arc<str>,
    domain: Arc<str>,
    asks: AskTable,
    items: Vec<ModelItem>,
    /// Endpoints that this host leaves out: out of reach, or limited.
    excluded: Vec<EndpointKey>,
}

impl ModelHost {
    /// Where an item may run in a group.
    fn place(&self, scope: &ItemScope, group: &GroupId) -> ItemPlace {
        ItemPlace {
            host: self.name.clone(),
            group: group.clone(),
            scope: scope.clone(),
            excluded: self.excluded.clone(),
        }
    }
}

/// The coordinator of a group with what it knows.
struct ModelCoordinator {
    group: GroupId,
    endpoints: Vec<Arc<ListedEndpoint>>,
    load: LoadView,
    waiting: WaitingItems,
    rooms: RoomTable,
}

impl ModelCoordinator {
    fn view(&self) -> GroupView<'_> {
        GroupView {
            load: &self.load,
            preempting: &no_preemptions,
        }
    }

    fn of_service(&self, service: &str) -> Vec<Arc<ListedEndpoint>> {
        let endpoints = self.endpoints.iter();
        let of_service = endpoints.filter(|endpoint| &*endpoint.service == service);
        of_service.cloned().collect()
    }

    /// Whether an item may start: its service has room, and it may use an endpoint with a free slot.
    fn has_room(&self, place: &ItemPlace, now: Instant) -> bool {
        let endpoints = self.of_service(&place.scope.service);
        let endpoints: Vec<_> = endpoints.iter().collect();
        let admits = |endpoint: &ListedEndpoint| place.admits(endpoint);
        let view = self.view();
        let mut usable = view.usable_for_items(&endpoints, admits, now);
        view.room(&endpoints, now).free_for_items() > 0 && usable.next().is_some()
    }

    fn decide(
        &mut self,
        ask: &ItemAsk<'_>,
        is_usable: impl Fn(&GroupId) -> bool,
        now: Instant,
        rng: &mut SmallRng,
    ) -> SlotOutcome {
        let mut queues = ItemQueues {
            waiting: &mut self.waiting,
            rooms: &mut self.rooms,
        };
        let view = GroupView {
            load: &self.load,
            preempting: &no_preemptions,
        };
        match queues.decide(&view, ask, is_usable, now, rng) {
            ItemDecision::Use(endpoint) => {
                let key = EndpointKey::of(&endpoint.id);
                self.load.add_granted(key, RequestClass::Batch);
                SlotOutcome::Granted {
                    endpoint: key,
                    has_free_slot: true,
                }
            }
            ItemDecision::Elsewhere(group) => SlotOutcome::Elsewhere(group),
            ItemDecision::Full => SlotOutcome::Full {
                wait_ms: 0,
                retry_after_ms: 60,
            },
            ItemDecision::Missing => SlotOutcome::Missing,
        }
    }

    /// What the coordinator tells the others.
    fn room(&self, now: Instant) -> (GroupRoom, Vec<ServiceRoom>) {
        let mut services: Vec<Arc<str>> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        let rooms = services.iter().map(|service| {
            let endpoints = self.of_service(service);
            let endpoints: Vec<_> = endpoints.iter().collect();
            let room = self.view().room(&endpoints, now);
            ServiceRoom {
                service: ServiceKey::of(service),
                free: u16::try_from(room.free).unwrap(),
                free_for_items: u16::try_from(room.free_for_items()).unwrap(),
                preemptible: 0,
            }
        });
        let rooms: Vec<ServiceRoom> = rooms.collect();
        let total = GroupRoom {
            group: self.group.clone(),
            free: rooms.iter().map(|room| room.free).sum(),
            free_for_items: rooms.iter().map(|room| room.free_for_items).sum(),
            preemptible: 0,
        };
        (total, rooms)
    }
}

/// A fleet as plain state.
struct ModelFleet {
    hosts: Vec<ModelHost>,
    coordinators: Vec<ModelCoordinator>,
    rng: SmallRng,
}

impl ModelFleet {
    /// Draws a fleet: hosts, domains, services of several versions, endpoints that are full or that some hosts leave out, and items.
    fn draw(seed: u64, start: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let domains: Vec<Arc<str>> = (0..rng.random_range(1..=3))
            .map(|index| format!("d{index}").into())
            .collect();
        let services: Vec<Arc<str>> = (0..rng.random_range(1..=5))
            .map(|index| format!("s{index}").into())
            .collect();
        let mut endpoints: Vec<Arc<ListedEndpoint>> = Vec::new();
        for service in &services {
            // A service may have no endpoint at all, or none in some domains.
            for index in 0..rng.random_range(0..12) {
                let slots = rng.random_range(1..=8);
                endpoints.push(Arc::new(ListedEndpoint {
                    service: service.clone(),
                    domain: domains[rng.random_range(..domains.len())].clone(),
                    version: format!("{}", rng.random_range(1..=2)).into(),
                    ..listed(&format!("{service}-{index}"), slots, false)
                }));
            }
        }
        let count = rng.random_range(1..=usize::try_from(seed + 10).unwrap().min(60));
        let mut hosts: Vec<ModelHost> = (0..count)
            .map(|index| {
                let left_out = endpoints.iter().filter(|_| rng.random_bool(0.1));
                ModelHost {
                    name: format!("h{index:02}").into(),
                    excluded: left_out
                        .map(|endpoint| EndpointKey::of(&endpoint.id))
                        .collect(),
                    domain: domains[index % domains.len()].clone(),
                    asks: AskTable::default(),
                    items: Vec::new(),
                }
            })
            .collect();
        let names: Vec<_> = hosts
            .iter()
            .map(|host| (host.name.clone(), host.domain.clone()))
            .collect();
        let groups: Vec<EndpointGroup> = compute_groups(&endpoints, &names);
        for index in 0..rng.random_range(1..400) {
            let service = services[rng.random_range(..services.len())].clone();
            let of_service = endpoints.iter().filter(|known| known.service == service);
            let of_service: Vec<_> = of_service.collect();
            let version = rng.random_bool(0.2) && !of_service.is_empty();
            let item = ModelItem {
                name: ItemName {
                    job: "j".into(),
                    item: index,
                },
                scope: ItemScope {
                    version: version
                        .then(|| of_service[rng.random_range(..of_service.len())].version_key()),
                    service,
                },
                due_ms: 1_000 * rng.random_range(1..5_u64),
                late_from: ROUNDS_UNTIL_LATE * rng.random_range(0..4_u64),
            };
            hosts[rng.random_range(..count)].items.push(item);
        }
        let coordinators = groups.into_iter().map(|group| {
            let mut load = LoadView::default();
            let of_group = endpoints.iter().filter(|known| group.id.contains(known));
            let of_group: Vec<_> = of_group.cloned().collect();
            for endpoint in &of_group {
                let online = if rng.random_bool(0.2) {
                    endpoint.slots
                } else {
                    rng.random_range(..=endpoint.slots / 2)
                };
                for _ in 0..online {
                    load.add_granted(EndpointKey::of(&endpoint.id), RequestClass::Online);
                }
                if rng.random_bool(0.1) {
                    load.mark_full(&endpoint.id, start);
                }
            }
            ModelCoordinator {
                group: group.id,
                endpoints: of_group,
                load,
                waiting: WaitingItems::default(),
                rooms: RoomTable::default(),
            }
        });
        Self {
            coordinators: coordinators.collect(),
            hosts,
            rng,
        }
    }

    fn tell_rooms(&mut self, now: Instant) {
        let rooms: Vec<_> = self
            .coordinators
            .iter()
            .map(|coordinator| coordinator.room(now))
            .collect();
        for coordinator in &mut self.coordinators {
            for (total, services) in &rooms {
                let services = Some(services.clone());
                coordinator.rooms.set(total.clone(), services, now);
            }
        }
    }

    /// Lets each host ask for its most urgent items, once or where a coordinator names another group twice. Returns the number of items
    /// that start.
    fn play_round(&mut self, round: u64, now: Instant) -> usize {
        self.tell_rooms(now);
        let mut started = 0;
        for host in &mut self.hosts {
            for _ in 0..2 {
                host.items
                    .sort_by_key(|item| (item.urgency(round), item.name.clone()));
                let mut waiting = Vec::new();
                for item in std::mem::take(&mut host.items) {
                    let is_granted = ask(
                        host,
                        &mut self.coordinators,
                        &mut self.rng,
                        &item,
                        round,
                        now,
                    );
                    if is_granted {
                        started += 1;
                    } else {
                        waiting.push(item);
                    }
                }
                host.items = waiting;
            }
        }
        started
    }

    /// An item that may start: an endpoint that it may use has a slot free for items.
    fn startable(&self, now: Instant) -> Option<(&ModelHost, &ModelItem)> {
        let items = self
            .hosts
            .iter()
            .flat_map(|host| host.items.iter().map(move |item| (host, item)));
        let mut startable = items.filter(|(host, item)| {
            let mut coordinators = self.coordinators.iter();
            coordinators.any(|coordinator| {
                let place = host.place(&item.scope, &coordinator.group);
                coordinator.has_room(&place, now)
            })
        });
        startable.next()
    }
}

/// Asks for an item. Returns whether it is granted a slot.
fn ask(
    host: &mut ModelHost,
    coordinators: &mut [ModelCoordinator],
    rng: &mut SmallRng,
    item: &ModelItem,
    round: u64,
    now: Instant,
) -> bool {
    if !host.asks.may_ask_for(&item.name, &item.scope, now) {
        return false;
    }
    let has_scope = |coordinator: &&ModelCoordinator| {
        let mut endpoints = coordinator.endpoints.iter();
        endpoints.any(|endpoint| item.scope.admits(endpoint))
    };
    let listed = coordinators.iter().filter(has_scope);
    let listed: Vec<GroupId> = listed.map(|known| known.group.clone()).collect();
    let mut usable = listed.clone();
    usable.retain(|group| {
        let place = host.place(&item.scope, group);
        let coordinator = coordinators.iter().find(|known| known.group == *group);
        let mut endpoints = coordinator.unwrap().endpoints.iter();
        endpoints.any(|endpoint| place.admits(endpoint))
    });
    let route = host.asks.take_route(&item.scope);
    let is_final = matches!(route, AskRoute::Named(_));
    let Some(group) = route.choose(&host.domain, &usable, rng) else {
        host.asks.deny(&item.scope, ROUND, now);
        return false;
    };
    let place = host.place(&item.scope, &group);
    let found = coordinators.iter_mut().find(|known| known.group == group);
    let coordinator = found.unwrap();
    let endpoints = coordinator.of_service(&item.scope.service);
    let ask = ItemAsk {
        place: &place,
        urgency: item.urgency(round),
        endpoints: &endpoints,
        is_paused: false,
        may_pass: !is_final,
    };
    let is_usable = |group: &GroupId| listed.binary_search(group).is_ok();
    let number = host
        .asks
        .begin_item(&item.name, item.scope.clone(), "c".into(), now);
    let outcome = coordinator.decide(&ask, is_usable, now, rng);
    let is_granted = matches!(outcome, SlotOutcome::Granted { .. });
    host.asks.record_answer(number, outcome, now);
    host.asks.resolve_granted();
    is_granted
}

/// Guards against a service, a version or a due time that holds up items for which slots are free.
#[tokio::test(start_paused = true)]
async fn some_item_starts_while_a_slot_is_free_for_one() {
    for seed in 0..150 {
        let start = Instant::now();
        let mut fleet = ModelFleet::draw(seed, start);
        let mut idle = 0;
        for round in 0..400 {
            let now = start + ROUND * u32::try_from(round).unwrap();
            let Some((host, item)) = fleet.startable(now) else {
                break;
            };
            let context = format!("seed {seed}, round {round}, {} {item:?}", host.name);
            idle = if fleet.play_round(round, now) == 0 {
                idle + 1
            } else {
                0
            };
            assert!(idle < MAX_IDLE_ROUNDS, "no item has started: {context}");
        }
    }
}

fn group() -> GroupId {
    GroupId {
        domain: "domain".into(),
        buckets: 1,
        bucket: 0,
    }
}

/// An ask of a host with this number, which leaves these endpoints out.
fn place(host: u32, excluded: &[&str]) -> ItemPlace {
    ItemPlace {
        host: format!("h{host}").into(),
        group: group(),
        scope: ItemScope {
            service: "service".into(),
            version: None,
        },
        excluded: excluded.iter().map(|id| EndpointKey::of(id)).collect(),
    }
}

/// Plays rounds in which 24 hosts each ask for an item of one endpoint. Returns how many get a slot in the last round.
fn grants_in_last_round(urgency: impl Fn(u32, u32) -> ItemUrgency, excluded: &[&str]) -> usize {
    let endpoints = vec![
        Arc::new(listed("busy", 8, false)),
        Arc::new(listed("idle", 8, false)),
    ];
    let (mut waiting, mut rooms) = (WaitingItems::default(), RoomTable::default());
    let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let mut load = LoadView::default();
    for _ in 0..8 {
        load.add_granted(EndpointKey::of("busy"), RequestClass::Online);
    }
    let idle = EndpointKey::of("idle");
    let mut granted = 0;
    for round in 0..10 {
        let is_last = round == 9;
        if round == 0 {
            (0..8).for_each(|_| load.add_granted(idle, RequestClass::Batch));
        } else if is_last {
            (0..8).for_each(|_| load.remove_granted(idle, RequestClass::Batch));
        }
        granted = 0;
        for host in 0..24 {
            // The hosts of the lower half leave some endpoints out.
            let place = place(host, if host < 12 { excluded } else { &[] });
            let ask = ItemAsk {
                place: &place,
                urgency: urgency(host, round),
                endpoints: &endpoints,
                is_paused: false,
                may_pass: true,
            };
            let view = GroupView {
                load: &load,
                preempting: &no_preemptions,
            };
            let mut queues = ItemQueues {
                waiting: &mut waiting,
                rooms: &mut rooms,
            };
            let now = start + ROUND * round;
            let decision = queues.decide(&view, &ask, |_| true, now, &mut rng);
            if let ItemDecision::Use(endpoint) = decision {
                load.add_granted(EndpointKey::of(&endpoint.id), RequestClass::Batch);
                granted += 1;
            }
        }
    }
    granted
}

/// Guards against items that are granted nothing once they are late: each of them waits behind what the others asked for before.
#[tokio::test(start_paused = true)]
async fn late_items_do_not_wait_behind_what_they_were() {
    let becomes_late = |_, round| ItemUrgency::new(round >= 5, 1_000, 0);
    assert_eq!(grants_in_last_round(becomes_late, &[]), 7);
}

/// Guards against slots that are kept for more urgent items of hosts that cannot use them.
#[tokio::test(start_paused = true)]
async fn items_do_not_wait_for_hosts_that_leave_the_free_endpoint_out() {
    let by_host = |host: u32, _| ItemUrgency::new(false, 1_000 * u64::from(host), 0);
    assert_eq!(grants_in_last_round(by_host, &["idle"]), 7);
}

macro_rules! item_rooms {
    ($($case:ident: $slots:expr, $used:expr => $room:expr,)*) => {
        #[rstest]
        $(#[case::$case($slots, $used, $room)])*
        /// Guards against a service whose only slot is kept for online requests for good.
        fn slots_free_for_items(#[case] slots: u32, #[case] used: u32, #[case] expected: u32) {
            let endpoint = Arc::new(listed("e", slots, false));
            let mut load = LoadView::default();
            for _ in 0..used {
                load.add_granted(EndpointKey::of("e"), RequestClass::Online);
            }
            let view = GroupView { load: &load, preempting: &no_preemptions };
            let room = view.room(&[&endpoint], Instant::now());
            assert_eq!(room.free_for_items(), expected);
        }
    };
}

item_rooms! {
    one_slot: 1, 0 => 1,
    one_slot_in_use: 1, 1 => 0,
    two_slots: 2, 0 => 1,
    twenty_slots: 20, 0 => 19,
    forty_slots: 40, 3 => 35,
}

/// Guards against the room of one service being taken for that of another one.
#[tokio::test(start_paused = true)]
async fn room_of_another_service_is_none() {
    let now = Instant::now();
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

fn named(domain: &str) -> GroupId {
    GroupId {
        domain: domain.into(),
        buckets: 1,
        bucket: 0,
    }
}

/// Guards against a host that asks only groups near it, whose coordinators know of no room elsewhere, while another group has some.
#[tokio::test(start_paused = true)]
async fn each_group_is_asked_in_turn_while_there_is_no_room() {
    let usable = ["near", "far-a", "far-b"].map(named);
    let mut usable = usable.to_vec();
    usable.sort_unstable();
    let [scope, other] = ["audits", "reports"].map(|service| ItemScope {
        service: service.into(),
        version: None,
    });
    let (mut asks, mut rng) = (AskTable::default(), SmallRng::seed_from_u64(1));
    let mut asked: Vec<GroupId> = Vec::new();
    let start = Instant::now();
    for round in 0..27 {
        let now = start + ROUND * round;
        let group = asks.take_route(&scope).choose("near", &usable, &mut rng);
        asked.extend(group);
        asks.deny(&scope, ROUND, now);
        // Another scope has room now and then; its grants do not concern this one.
        let number = asks.begin_item(
            &ItemName {
                job: "j".into(),
                item: round,
            },
            other.clone(),
            "c".into(),
            now,
        );
        let endpoint = EndpointKey::of("e");
        let has_free_slot = true;
        let granted = SlotOutcome::Granted {
            endpoint,
            has_free_slot,
        };
        asks.record_answer(number, granted, now);
        asks.resolve_granted();
    }
    for group in &usable {
        assert!(asked.contains(group), "{group:?} was not asked: {asked:?}");
    }
    let near = asked.iter().filter(|group| **group == named("near"));
    assert!(near.count() >= 24, "{asked:?}");
}

/// A fleet that is large enough for coordinators, of hosts in two domains.
pub async fn start_hosts(fleet: &TestFleet) -> Vec<Arc<SwitchNode>> {
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

/// Guards against a service whose items never run at some hosts of a fleet without coordinators, since they leave as many slots of an
/// endpoint free as it has.
#[rstest]
#[tokio::test]
async fn items_run_at_an_endpoint_with_few_slots(
    #[values(1, 2, 3)] slots: u32,
    #[values(1, 9)] hosts: usize,
) {
    let fleet = fleet_of(&[(8, "audits", "d0")]);
    let listing = format!("ready 1 0 reports d0 {slots}");
    fleet.log.put("endpoints", "few", &listing);
    let names: Vec<String> = (0..hosts).map(|index| format!("h{index}")).collect();
    let started = join_all(names.iter().map(|name| fleet.start(name))).await;
    let job = submission_on("/reports/", "j", 20);
    assert_eq!(started[0].submit_job(job).await, SubmitReply::Done);
    wait_until("all items", async || count_run(&fleet, "j") == 20).await;
}
