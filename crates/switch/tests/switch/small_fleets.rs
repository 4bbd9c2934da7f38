//! Items in fleets without coordinators: none waits beside slots that items may take, whatever was lost before.
//!
//! Hosts and endpoints are plain state that is driven in rounds of virtual time; all decisions are those of the product.

use crate::small_fleet_hosts::{HEARTBEAT, Heartbeat, ModelHost};
use crate::small_fleet_world::{LoggedItem, ModelEndpoint, Output, ROUND, RunState, World};
use crate::support::{listed, route};
use fulmarswitch_switch::endpoint::ListedEndpoint;
use fulmarswitch_switch::members::HostDescriptor;
use fulmarswitch_switch::report::EndpointKey;
use fulmarswitch_switch::route::{RouteKind, ServiceRoute, ServiceShare};
use fulmarswitch_switch::schedule::ItemName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use tokio::time::{Instant, advance};

/// Round of the last disturbance and of the end of the traffic.
const CALM_FROM: u32 = 240;
/// Round by which endpoints are no longer avoided and lost hosts no longer counted.
const SETTLED_FROM: u32 = CALM_FROM + 120;
/// Round of the end: 18 s after the traffic.
const END: u32 = CALM_FROM + 360;
/// Number of rounds in a row for which an item may wait beside a free slot: 5 s.
const MAX_WAIT_ROUNDS: u32 = 100;
/// Number of rounds before the end in which no item of any job must have been done if one is to count as left: 3 s.
const IDLE_ROUNDS: u32 = 60;
/// Slots of an endpoint that any host leaves free at most; no more than half of them.
const MAX_RESERVED: u32 = 3;
/// Rounds after the last response with a limit in which hosts may still hold to it.
const LIMIT_ROUNDS: u32 = 220;

/// What goes wrong in a fleet.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    LoseHost {
        host: usize,
    },
    PauseHost {
        host: usize,
        until: u32,
    },
    RestartHost {
        host: usize,
    },
    DropMessages {
        from: usize,
        to: usize,
        until: u32,
    },
    TakeLog {
        host: usize,
        until: u32,
    },
    LoseEndpoint {
        endpoint: usize,
        unlisted_at: u32,
    },
    RestartEndpoint {
        endpoint: usize,
        version: u32,
        is_unlisted: bool,
    },
    ReplaceEndpoint {
        endpoint: usize,
        version: u32,
        unlisted_at: u32,
    },
    LimitEndpoint {
        endpoint: usize,
        per_second: u32,
        until: u32,
    },
    FailEndpoint {
        endpoint: usize,
        until: u32,
    },
    SendOnline {
        per_round: u32,
        until: u32,
    },
}

/// A fleet as plain state.
struct ModelFleet {
    world: World,
    hosts: Vec<ModelHost>,
    disturbances: Vec<(u32, Disturbance)>,
    /// Directions in which messages are lost until a round.
    dropped: Vec<(usize, usize, u32)>,
    /// Endpoints whose listings are to be removed.
    unlisted: Vec<(u32, usize)>,
    online: Vec<(u32, u32)>,
    /// For how many rounds each item has waited beside a free slot.
    waits: Vec<u32>,
    /// For how many rounds the endpoints of each route have been less than half full.
    spare: Vec<u32>,
    rng: SmallRng,
}

fn descriptor(index: usize, domain: usize, incarnation: u64) -> HostDescriptor {
    HostDescriptor {
        name: format!("h{index:02}").into(),
        incarnation,
        peer_address: "127.0.0.1:9".parse().unwrap(),
        caller_address: "127.0.0.1:9".parse().unwrap(),
        domain: format!("d{domain}").into(),
    }
}

fn version_name(version: u32) -> Arc<str> {
    format!("v{version}").into()
}

fn draw_routes(services: usize, rng: &mut SmallRng) -> Vec<ServiceRoute> {
    let share = |index: usize| ServiceShare {
        service: format!("s{index}").into(),
        weight: 1,
    };
    let mut routes: Vec<ServiceRoute> = Vec::new();
    for index in 0..services {
        let mut of_service = route(&format!("/{index}/"), RouteKind::Batch, true);
        of_service.shares = vec![share(index)];
        routes.push(of_service);
    }
    if services > 1 && rng.random_bool(0.3) {
        routes[0].shares.push(share(1));
    }
    routes
}

impl ModelFleet {
    fn draw(seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let domains = rng.random_range(1..=3);
        let versions = rng.random_range(1..=3);
        let services = rng.random_range(1..=2);
        let routes = draw_routes(services, &mut rng);
        let max_slots = [1, 2, 4, 8][rng.random_range(..4_usize)];
        let mut endpoints = Vec::new();
        for index in 0..rng.random_range(1..=12) {
            let listing = ListedEndpoint {
                service: format!("s{}", rng.random_range(..services)).into(),
                domain: format!("d{}", rng.random_range(..domains)).into(),
                version: version_name(rng.random_range(..versions)),
                ..listed(
                    &format!("e{index:02}"),
                    rng.random_range(1..=max_slots),
                    false,
                )
            };
            endpoints.push(ModelEndpoint::new(listing));
        }
        let mut items = Vec::new();
        let with_output = if rng.random_bool(0.3) { 0.9 } else { 0.1 };
        for index in 0..rng.random_range(1..=80) {
            let route = rng.random_range(..routes.len());
            let length = rng.random_range(10..100);
            let has_output = rng.random_bool(with_output);
            let version = version_name(rng.random_range(..versions));
            let service = &routes[route].shares[0].service;
            items.push(LoggedItem {
                name: ItemName {
                    job: "j".into(),
                    item: index,
                },
                route,
                due_ms: 1_000 * rng.random_range(1..20_u64),
                length,
                is_open: true,
                checkpoint: has_output.then(|| Output::new(service, &version, length / 2)),
            });
        }
        let count = rng.random_range(2..=12);
        let mut hosts: Vec<_> = (0..count)
            .map(|index| ModelHost::new(index, descriptor(index, index % domains, 1), now))
            .collect();
        for (index, item) in items.iter().enumerate() {
            if rng.random_bool(0.15) {
                hosts[rng.random_range(..count)]
                    .progress
                    .push((index, item.checkpoint));
            }
        }
        let mut world = World::new(items, routes, endpoints, now);
        (0..world.endpoints.len()).for_each(|endpoint| world.list(endpoint));
        let mut fleet = Self {
            waits: vec![0; world.items.len()],
            spare: vec![0; world.routes.len()],
            world,
            disturbances: Vec::new(),
            dropped: Vec::new(),
            unlisted: Vec::new(),
            online: Vec::new(),
            hosts,
            rng,
        };
        for host in 0..count {
            fleet.introduce(host);
            fleet.hosts[host].join(&fleet.world);
        }
        fleet.draw_disturbances(versions);
        fleet
    }

    /// Adds the other hosts that are in the log to the members of a host.
    fn introduce(&mut self, host: usize) {
        let known: Vec<_> = self
            .hosts
            .iter()
            .map(|host| host.descriptor.clone())
            .collect();
        for descriptor in known {
            if descriptor.name != self.hosts[host].descriptor.name {
                self.hosts[host]
                    .members
                    .add_host(descriptor, self.world.now);
            }
        }
    }

    fn draw_disturbances(&mut self, versions: u32) {
        if self.rng.random_bool(0.3) {
            self.draw_release(versions);
        }
        for _ in 0..self.rng.random_range(0..12) {
            let rng = &mut self.rng;
            let at = rng.random_range(20..CALM_FROM);
            let mut later = |rounds: u32| (at + rng.random_range(1..=rounds)).min(CALM_FROM);
            let (soon, until) = (later(60), later(100));
            let rng = &mut self.rng;
            let host = rng.random_range(..self.hosts.len());
            let to = rng.random_range(..self.hosts.len());
            let endpoint = rng.random_range(..self.world.endpoints.len());
            let version = rng.random_range(..versions);
            let disturbance = match rng.random_range(0..11) {
                0 => Disturbance::LoseHost { host },
                1 => Disturbance::PauseHost { host, until },
                2 => Disturbance::RestartHost { host },
                3 => Disturbance::DropMessages {
                    from: host,
                    to,
                    until,
                },
                4 => Disturbance::TakeLog { host, until },
                5 => Disturbance::LoseEndpoint {
                    endpoint,
                    unlisted_at: soon,
                },
                6 => {
                    let is_unlisted = rng.random_bool(0.5);
                    Disturbance::RestartEndpoint {
                        endpoint,
                        version,
                        is_unlisted,
                    }
                }
                7 => Disturbance::ReplaceEndpoint {
                    endpoint,
                    version,
                    unlisted_at: soon,
                },
                8 => {
                    let per_second = rng.random_range(1..20);
                    Disturbance::LimitEndpoint {
                        endpoint,
                        per_second,
                        until,
                    }
                }
                9 => Disturbance::FailEndpoint { endpoint, until },
                _ => {
                    let per_round = rng.random_range(1..8);
                    Disturbance::SendOnline {
                        per_round,
                        until: soon,
                    }
                }
            };
            self.disturbances.push((at, disturbance));
            if let Disturbance::LoseHost { .. } = disturbance {
                // Others may stand still at the time.
                let until = (at + rng.random_range(20..60)).min(CALM_FROM);
                let pause = Disturbance::PauseHost { host: to, until };
                self.disturbances.push(((at + 5).min(CALM_FROM), pause));
            }
        }
    }

    /// Lets another version replace most endpoints within two seconds.
    fn draw_release(&mut self, versions: u32) {
        let at = self.rng.random_range(20..CALM_FROM - 40);
        let version = self.rng.random_range(..versions);
        let left = self.rng.random_range(..self.world.endpoints.len());
        for endpoint in (0..self.world.endpoints.len()).filter(|endpoint| *endpoint != left) {
            let at = at + self.rng.random_range(0..40_u32);
            let replacement = Disturbance::ReplaceEndpoint {
                endpoint,
                version,
                unlisted_at: at,
            };
            self.disturbances.push((at, replacement));
        }
    }

    fn apply(&mut self, disturbance: Disturbance) {
        let world = &mut self.world;
        match disturbance {
            Disturbance::LoseHost { host } => {
                if self.hosts.iter().filter(|host| !host.is_lost).count() > 1 {
                    self.hosts[host].is_lost = true;
                    world.runs.retain(|run| run.host != host);
                }
            }
            Disturbance::PauseHost { host, until } => self.hosts[host].paused_until = until,
            Disturbance::RestartHost { host } if !self.hosts[host].is_lost => {
                world.runs.retain(|run| run.host != host);
                let mut descriptor = self.hosts[host].descriptor.clone();
                descriptor.incarnation += 1;
                self.hosts[host] = ModelHost::new(host, descriptor, world.now);
                self.introduce(host);
                self.hosts[host].join(&self.world);
            }
            Disturbance::RestartHost { .. } => {}
            Disturbance::DropMessages { from, to, until } => self.dropped.push((from, to, until)),
            Disturbance::TakeLog { host, until } => self.hosts[host].log_away_until = until,
            Disturbance::LoseEndpoint {
                endpoint,
                unlisted_at,
            } => {
                world.lose(endpoint);
                self.unlisted.push((unlisted_at, endpoint));
            }
            Disturbance::RestartEndpoint {
                endpoint,
                version,
                is_unlisted,
            } => {
                world.lose(endpoint);
                if is_unlisted {
                    world.unlist(endpoint);
                }
                self.unlisted.retain(|(_, known)| *known != endpoint);
                let at = &mut world.endpoints[endpoint];
                at.is_up = true;
                at.listing.started_ms += 1;
                at.listing.version = version_name(version);
                world.list(endpoint);
            }
            Disturbance::ReplaceEndpoint {
                endpoint,
                version,
                unlisted_at,
            } => {
                world.lose(endpoint);
                self.unlisted.push((unlisted_at, endpoint));
                let mut listing = world.endpoints[endpoint].listing.clone();
                listing.id = format!("e{:02}", world.endpoints.len()).into();
                listing.version = version_name(version);
                world.endpoints.push(ModelEndpoint::new(listing));
                world.list(world.endpoints.len() - 1);
            }
            Disturbance::LimitEndpoint {
                endpoint,
                per_second,
                until,
            } => {
                let limit = per_second.to_string().parse().unwrap();
                world.endpoints[endpoint].limit = Some((limit, until));
            }
            Disturbance::FailEndpoint { endpoint, until } => {
                world.endpoints[endpoint].failing_until = until;
            }
            Disturbance::SendOnline { per_round, until } => self.online.push((per_round, until)),
        }
    }

    fn play_round(&mut self, round: u32, now: Instant) {
        (self.world.round, self.world.now) = (round, now);
        let due = self.disturbances.extract_if(.., |(at, _)| *at == round);
        for (_, disturbance) in due.collect::<Vec<_>>() {
            self.apply(disturbance);
        }
        for (_, endpoint) in self.unlisted.extract_if(.., |(at, _)| *at <= round) {
            self.world.unlist(endpoint);
        }
        self.world.run_endpoints();
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.is_lost || host.paused_until > round {
                continue;
            }
            // What came while the host stood still may be read late.
            if host.paused_until != round || self.rng.random_bool(0.5) {
                host.receive(&self.world);
            }
            host.read_log(&self.world);
            host.follow_runs(&mut self.world);
            host.write_log(&mut self.world);
            let online = self.online.iter().filter(|(_, until)| *until > round);
            let per_round: u32 = online.map(|(per_round, _)| per_round).sum();
            let share = f64::from(per_round) / 4.0;
            if self.rng.random_bool(share.min(1.0)) {
                host.send_online(&mut self.world, &mut self.rng);
            }
            if (round + u32::try_from(index).unwrap()).is_multiple_of(HEARTBEAT) {
                let heartbeat = host.heartbeat(&self.world);
                self.deliver(index, &heartbeat);
            }
            let host = &mut self.hosts[index];
            host.cancel_items(&mut self.world);
            host.start_items(&mut self.world, &mut self.rng);
        }
    }

    fn deliver(&mut self, from: usize, heartbeat: &Heartbeat) {
        let round = self.world.round;
        for to in 0..self.hosts.len() {
            let mut dropped = self.dropped.iter();
            let is_dropped =
                dropped.any(|known| (known.0, known.1) == (from, to) && known.2 > round);
            if to != from && !is_dropped {
                let delay = if self.rng.random_bool(0.1) { 3 } else { 1 };
                self.hosts[to]
                    .inbox
                    .push((round + delay, heartbeat.clone()));
            }
        }
    }

    /// Whether an endpoint serves a route and takes requests of all hosts.
    fn serves(&self, endpoint: &ModelEndpoint, route: usize) -> bool {
        let route = &self.world.routes[route];
        let mut services = route.services();
        let limit_named = endpoint.limit_named;
        endpoint.is_up
            && endpoint.is_listed
            && services.any(|service| *service == endpoint.listing.service)
            && limit_named.is_none_or(|round| round + LIMIT_ROUNDS < self.world.round)
    }

    /// An endpoint with a slot that any host may give to the item.
    fn free_endpoint(&self, item: &LoggedItem) -> Option<usize> {
        let endpoints = self.world.endpoints.iter().enumerate();
        let mut serving = endpoints.filter(|(_, endpoint)| self.serves(endpoint, item.route));
        let free = serving.find(|(index, endpoint)| {
            let slots = endpoint.listing.slots;
            self.world.used(*index) + MAX_RESERVED.min(slots / 2) < slots
        });
        free.map(|(index, _)| index)
    }

    /// Whether an item is open and nobody runs it.
    fn is_waiting(&self, index: usize) -> bool {
        let mut runs = self.world.runs.iter();
        let is_running =
            runs.any(|run| run.item == Some(index) && run.state != RunState::Cancelled);
        self.world.items[index].is_open && !is_running
    }

    /// Checks for items that wait beside a free slot.
    fn check_waits(&mut self) -> Result<(), String> {
        for index in 0..self.world.items.len() {
            let free = self.free_endpoint(&self.world.items[index]);
            let free = free.filter(|_| self.is_waiting(index));
            self.waits[index] = free.map_or(0, |_| self.waits[index] + 1);
            if let Some(endpoint) = free
                && self.waits[index] > MAX_WAIT_ROUNDS
            {
                return Err(self.describe(index, endpoint));
            }
        }
        for route in 0..self.spare.len() {
            let endpoints = self.world.endpoints.iter().enumerate();
            let serving = endpoints.filter(|(_, endpoint)| self.serves(endpoint, route));
            let (mut used, mut slots) = (0, 0);
            for (index, endpoint) in serving {
                used += self.world.used(index);
                slots += endpoint.listing.slots;
            }
            let has_spare = used * 2 < slots;
            self.spare[route] = if has_spare { self.spare[route] + 1 } else { 0 };
        }
        Ok(())
    }

    /// Checks that no item is left at the end beside endpoints that were less than half full, while none was done.
    fn check_end(&self) -> Result<(), String> {
        let mut done = self.world.completed.iter();
        if done.any(|round| round + IDLE_ROUNDS > END) {
            return Ok(());
        }
        for (index, item) in self.world.items.iter().enumerate() {
            if self.is_waiting(index) && self.spare[item.route] >= MAX_WAIT_ROUNDS {
                let endpoints = self.world.endpoints.iter();
                let mut serving = endpoints.enumerate();
                let found = serving.find(|(_, endpoint)| self.serves(endpoint, item.route));
                return Err(format!("left: {}", self.describe(index, found.unwrap().0)));
            }
        }
        Ok(())
    }

    /// Names the item, the endpoint, who claims the item and who counts the slots as taken.
    fn describe(&self, index: usize, endpoint: usize) -> String {
        let (item, now) = (&self.world.items[index], self.world.now);
        let id = &self.world.endpoints[endpoint].listing.id;
        let mut text = format!("round {}: {item:?} waits beside {id}", self.world.round);
        for (index, at) in self.world.endpoints.iter().enumerate() {
            if self.serves(at, item.route) {
                let (listing, used) = (&at.listing, self.world.used(index));
                let (slots, version) = (listing.slots, listing.version_key());
                let view = format!("\n  {}: {used} of {slots} slots, {version:?}", listing.id);
                text.push_str(&view);
            }
        }
        for host in self.hosts.iter().filter(|host| !host.is_lost) {
            let own = &host.descriptor.name;
            let claims = host.claims(&self.world).contains(&item.name.key());
            let runner = host
                .members
                .runner_of(&item.name, own, host.has_log(now), |_| true, now);
            if !claims && runner != &**own {
                continue;
            }
            let reports = host.load.reports().item_holders(EndpointKey::of(id), None);
            let view = format!(
                "\n  {own}: claims it {claims}, runner {runner}, counts {:?} ({:?} own, items of {reports:?}), avoided {}, admitted {}, listed {}",
                host.load.total(id),
                host.load.own(id),
                host.load.is_avoided(id, now),
                host.limits.admits_item(id, now),
                host.endpoints.is_serving(id, now),
            );
            text.push_str(&view);
        }
        let since = self.world.round.saturating_sub(MAX_WAIT_ROUNDS);
        let preempted = self.world.preempted.iter();
        let preempted = preempted.filter(|known| known.0 >= since && known.2 == endpoint);
        for (round, host, _) in preempted {
            let view = format!("\n  an item of h{host:02} gave way in round {round}");
            text.push_str(&view);
        }
        text
    }
}

/// Plays a fleet to its end. Returns what is wrong, if anything is.
async fn play(seed: u64) -> Result<(), String> {
    let start = Instant::now();
    let mut fleet = ModelFleet::draw(seed, start);
    for round in 0..END {
        fleet.play_round(round, Instant::now());
        if round >= SETTLED_FROM {
            fleet.check_waits()?;
        }
        advance(ROUND).await;
    }
    fleet.check_end()
}

/// Fleets that are played; others by hand, with `SMALL_FLEETS_SEED` and `SMALL_FLEETS_COUNT`.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let first = number("SMALL_FLEETS_SEED").unwrap_or(0);
    first..first + number("SMALL_FLEETS_COUNT").unwrap_or(36)
}

/// Guards against accepted items that wait while slots are free (LOST): for hosts that are gone, for the version of their output, for
/// slots that are kept for online requests, or for any other reason.
#[tokio::test(start_paused = true)]
async fn no_item_waits_beside_a_free_slot() {
    let mut failures = Vec::new();
    for seed in seeds() {
        if let Err(cause) = play(seed).await {
            failures.push(format!("seed {seed}: {cause}"));
        }
    }
    let count = failures.len();
    let first: Vec<_> = failures.into_iter().take(5).collect();
    assert!(count == 0, "{count} fleets:\n{}", first.join("\n"));
}
