//! Hosts of a fleet without coordinators as plain state, and their heartbeats.

use crate::small_fleet_world::{LoggedItem, ModelRun, Output, ROUND, RunState, World};
use fulmarswitch_switch::batch::limited::limit_sharers;
use fulmarswitch_switch::batch::version_rooms::is_held_back;
use fulmarswitch_switch::departures::{EndpointDeparture, RecentDepartures};
use fulmarswitch_switch::endpoint::{EndpointFilter, EndpointTable};
use fulmarswitch_switch::gossip::{heartbeat_interval, share_endpoints};
use fulmarswitch_switch::limits::{LimitReport, LimitTable};
use fulmarswitch_switch::load::{EndpointPick, LoadView, RequestClass};
use fulmarswitch_switch::members::{HostDescriptor, MemberTable};
use fulmarswitch_switch::origins::VersionKey;
use fulmarswitch_switch::report::{EndpointKey, LoadReport};
use fulmarswitch_switch::route::ServiceRoute;
use fulmarswitch_switch::schedule::{
    ItemHistories, ItemKey, ItemTimes, RunnableItem, sort_items, start_quota,
};
use fulmarswitch_switch::version_holds::{VersionHolds, max_hold_time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Rounds between two reads of the job records.
const JOB_POLL: u32 = 8;
/// Rounds between two reads of the listings.
const LISTING_POLL: u32 = 10;
/// Rounds between two checkpoints.
const CHECKPOINT: u32 = 40;
/// Rounds between two heartbeats.
pub const HEARTBEAT: u32 = 2;

#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub descriptor: HostDescriptor,
    pub has_log: bool,
    pub load: LoadReport,
    pub claims: Vec<ItemKey>,
    pub failing: Vec<EndpointKey>,
    pub confirmed_until: u64,
    pub departures: Vec<EndpointDeparture>,
    pub limits: Vec<LimitReport>,
}

/// A host with what it knows.
pub struct ModelHost {
    pub index: usize,
    pub descriptor: HostDescriptor,
    pub is_lost: bool,
    pub started: Instant,
    pub paused_until: u32,
    pub log_away_until: u32,
    pub members: MemberTable,
    pub load: LoadView,
    pub limits: LimitTable,
    pub endpoints: EndpointTable,
    pub departures: RecentDepartures,
    pub read_until: usize,
    pub histories: ItemHistories,
    pub holds: VersionHolds,
    pub item_times: ItemTimes,
    pub items: Vec<LoggedItem>,
    pub items_read_at: Option<Instant>,
    pub progress: Vec<(usize, Option<Output>)>,
    pub unrecorded: Vec<usize>,
    pub heard_at: Instant,
    pub inbox: Vec<(u32, Heartbeat)>,
}

impl ModelHost {
    pub fn new(index: usize, descriptor: HostDescriptor, now: Instant) -> Self {
        Self {
            index,
            descriptor,
            is_lost: false,
            started: now,
            paused_until: 0,
            log_away_until: 0,
            members: MemberTable::default(),
            load: LoadView::default(),
            limits: LimitTable::default(),
            endpoints: EndpointTable::default(),
            departures: RecentDepartures::default(),
            read_until: 0,
            histories: ItemHistories::default(),
            holds: VersionHolds::default(),
            item_times: ItemTimes::default(),
            items: Vec::new(),
            items_read_at: None,
            progress: Vec::new(),
            unrecorded: Vec::new(),
            heard_at: now,
            inbox: Vec::new(),
        }
    }

    /// Reads the log for the first time.
    pub fn join(&mut self, world: &World) {
        self.items.clone_from(&world.items);
        self.items_read_at = Some(world.now);
        self.read_listings(world);
    }

    pub fn has_log(&self, now: Instant) -> bool {
        let stale_after = Duration::from_millis(1500);
        self.items_read_at
            .is_some_and(|read_at| now - read_at < stale_after)
    }

    pub fn claims(&self, world: &World) -> Vec<ItemKey> {
        let started = self.progress.iter().map(|(item, _)| *item);
        let claimed = started.chain(self.unrecorded.iter().copied());
        claimed.map(|item| world.items[item].name.key()).collect()
    }

    pub fn receive(&mut self, world: &World) {
        let now = world.now;
        let due = self.inbox.extract_if(.., |(due, _)| *due <= world.round);
        for (_, heartbeat) in due.collect::<Vec<_>>() {
            let name = heartbeat.descriptor.name.clone();
            self.members
                .record_heartbeat(heartbeat.descriptor, true, now);
            self.load.update_report(&name, heartbeat.load, now);
            self.load.update_failing(&name, heartbeat.failing);
            let confirmed = self
                .endpoints
                .confirm_removals(heartbeat.confirmed_until, now);
            let departed = self.endpoints.apply_departures(&heartbeat.departures, now);
            for id in confirmed.into_iter().chain(departed) {
                self.load.remove(&id);
            }
            self.members.set_claims(&name, heartbeat.claims);
            self.members.set_has_log(&name, heartbeat.has_log);
            for report in heartbeat.limits {
                self.limits.apply(report, now);
            }
        }
    }

    pub fn read_log(&mut self, world: &World) {
        let has_access = world.round >= self.log_away_until;
        let offset = u32::try_from(self.index).unwrap();
        if (world.round + offset).is_multiple_of(JOB_POLL) && has_access {
            self.items.clone_from(&world.items);
            self.items_read_at = Some(world.now);
        }
        if (world.round + offset).is_multiple_of(LISTING_POLL) {
            if has_access {
                self.read_listings(world);
            } else {
                self.endpoints.mark_log_unavailable();
            }
        }
    }

    pub fn read_listings(&mut self, world: &World) {
        let now = world.now;
        self.endpoints.record_read(world.listings.len() as u64, now);
        for offset in self.read_until..world.listings.len() {
            let (id, listing) = &world.listings[offset];
            if let Some(listing) = listing {
                let old = self.endpoints.get(id).map(|old| old.started_ms);
                let has_restarted = old.is_some_and(|old| old != listing.started_ms);
                if self.endpoints.set(listing.clone()) && has_restarted {
                    self.load.health(id).record_success(now);
                }
            } else if self.endpoints.remove(id, offset as u64, now)
                && self.endpoints.removal_due(id).is_none()
            {
                let departure = EndpointDeparture::new(id, offset as u64);
                self.departures.record(departure, false, now);
            }
        }
        self.read_until = world.listings.len();
        for id in self.endpoints.expire(now) {
            self.load.remove(&id);
        }
    }

    /// Takes note of what became of the requests and items of this host.
    pub fn follow_runs(&mut self, world: &mut World) {
        let now = world.now;
        for index in (0..world.runs.len()).rev() {
            if world.runs[index].host != self.index {
                continue;
            }
            let is_running = world.runs[index].state == RunState::Running;
            let run = &mut world.runs[index];
            let at = &mut world.endpoints[run.endpoint];
            let id = at.listing.id.clone();
            let has_response = is_running || run.state == RunState::Completed;
            if has_response {
                self.heard_at = now;
            }
            if has_response && run.slot_at.is_none() {
                run.slot_at = Some(now);
                if run.item.is_none() {
                    self.load.finish_wait(&id, run.sent_at);
                    self.load.begin_run(&id, now);
                }
                if at.limit.is_some() {
                    at.limit_named = Some(world.round);
                }
                let limit = at.limit.map(|(limit, _)| limit);
                self.limits.record(&id, limit, now);
            }
            if let (Some(item), true) = (run.item, run.slot_at.is_some()) {
                let output = Output {
                    version: at.listing.version_key(),
                    events: run.events,
                };
                let mut progress = self.progress.iter_mut();
                if let Some(entry) = progress.find(|(known, _)| *known == item)
                    && run.state != RunState::Broken
                {
                    entry.1 = Some(output);
                }
            }
            if !matches!(run.state, RunState::Running | RunState::Queued) {
                let run = world.runs.remove(index);
                self.end_run(&run, &id, world);
            }
        }
    }

    pub fn end_run(&mut self, run: &ModelRun, id: &str, world: &World) {
        let now = world.now;
        self.load.finish(id, run.class());
        match (run.item, run.slot_at) {
            (None, Some(slot_at)) => {
                self.load.finish_run(id, slot_at);
                let first_byte = slot_at - run.sent_at;
                let first_byte = (first_byte <= ROUND * 2).then_some(first_byte);
                self.load.record_response(first_byte, now - slot_at);
            }
            (None, None) => self.load.finish_wait(id, run.sent_at),
            (Some(_), _) => {}
        }
        let name = run.item.map(|item| &world.items[item].name);
        match run.state {
            RunState::Completed => self.load.health(id).record_success(run.sent_at),
            RunState::NotRun => self.load.mark_full(id, now),
            RunState::Broken => {
                self.load.health(id).record_connection_failure(now);
            }
            RunState::Failed => {
                self.load.health(id).record_error_response(run.class(), now);
            }
            _ => {}
        }
        let (Some(item), Some(name)) = (run.item, name) else {
            return;
        };
        match run.state {
            RunState::Completed => {
                let made = run.length - run.resumed;
                self.item_times.record(run.length, made, now - run.sent_at);
                self.histories.remove(name);
                self.unrecorded.push(item);
                self.progress.retain(|(known, _)| *known != item);
            }
            RunState::Broken => self.histories.record_interruption(name, now),
            RunState::Failed => {
                self.histories.record_failure(name, now);
            }
            _ => {}
        }
        self.progress
            .retain(|(known, output)| *known != item || output.is_some());
    }

    /// Writes outcomes and checkpoints to the log.
    pub fn write_log(&mut self, world: &mut World) {
        if world.round < self.log_away_until {
            return;
        }
        for item in &self.unrecorded {
            if std::mem::take(&mut world.items[*item].is_open) {
                world.completed.push(world.round);
            }
        }
        if !self.unrecorded.is_empty() {
            self.items.clone_from(&world.items);
            self.items_read_at = Some(world.now);
        }
        if world.round.is_multiple_of(CHECKPOINT) {
            for (item, output) in &self.progress {
                if output.is_some() {
                    world.items[*item].checkpoint = *output;
                }
            }
        }
    }

    pub fn heartbeat(&mut self, world: &World) -> Heartbeat {
        let now = world.now;
        let known = u32::try_from(self.members.all().count()).unwrap();
        let interval = heartbeat_interval(known);
        self.members.update_timeout(now, interval);
        let timeout = self.members.failure_timeout();
        let between = interval + Duration::from_millis(20);
        self.load.expire_reports(timeout, between, now);
        let (members, endpoints) = (&self.members, &self.endpoints);
        let limits = &mut self.limits;
        let affinity = share_endpoints(&self.descriptor, false, members, endpoints, limits, now);
        self.load.set_affinity(affinity);
        let confirmed_until = self.endpoints.confirmable_until(now);
        Heartbeat {
            descriptor: self.descriptor.clone(),
            has_log: self.has_log(now),
            load: self.load.own_report(now, self.heard_at),
            claims: self.claims(world),
            failing: self.load.failing_endpoints(24, now),
            confirmed_until,
            departures: self.departures.report(confirmed_until, now),
            limits: self.limits.reports(now),
        }
    }

    /// Ends runs of items that are done, and those that must give way.
    pub fn cancel_items(&mut self, world: &mut World) {
        let now = world.now;
        let items = &self.items;
        let is_open = |item: usize| items.get(item).is_some_and(|item| item.is_open);
        self.unrecorded.retain(|item| is_open(*item));
        self.progress.retain(|(item, _)| is_open(*item));
        self.load.update_overdue(self.heard_at);
        let own = world.runs.iter_mut().filter(|run| run.host == self.index);
        let mut runs: Vec<_> = own.filter(|run| run.item.is_some()).collect();
        for run in &mut runs {
            if !is_open(run.item.unwrap()) {
                run.state = RunState::Cancelled;
            }
        }
        runs.retain(|run| matches!(run.state, RunState::Running | RunState::Queued));
        runs.sort_by_key(|run| (run.endpoint, run.events));
        for of_endpoint in runs.chunk_by_mut(|a, b| a.endpoint == b.endpoint) {
            let id = &world.endpoints[of_endpoint[0].endpoint].listing.id;
            let Some(endpoint) = self.endpoints.get(id) else {
                continue;
            };
            let own = &self.descriptor.name;
            let has_excess = self.load.record_excess(endpoint, now);
            let count = self.load.batch_preemptions(own, endpoint, now) as usize;
            if has_excess {
                self.load.record_preemption(id, now);
            }
            for run in of_endpoint.iter_mut().take(count) {
                run.state = RunState::Cancelled;
                let preemption = (world.round, self.index, run.endpoint);
                world.preempted.push(preemption);
            }
        }
    }

    pub fn output_of(&self, item: usize) -> Option<Output> {
        let local = self.progress.iter().find(|(known, _)| *known == item);
        local
            .and_then(|(_, output)| *output)
            .or(self.items[item].checkpoint)
    }

    /// Items that this host runs next, in their order, with their indices.
    pub fn runnable_items(&mut self, world: &World) -> Vec<(RunnableItem, usize)> {
        let now = world.now;
        let own = self.descriptor.name.clone();
        let has_log = self.has_log(now);
        let knows_hosts = self.members.knows_live_hosts(now - self.started);
        if !knows_hosts || (!has_log && self.members.others_have_log(now)) {
            return Vec::new();
        }
        let mut claims = self.claims(world);
        claims.sort_unstable();
        let claimed = self.members.claimed_by_others(&own, &claims, now);
        let mut sharers = Vec::new();
        for route in &world.routes {
            let (limits, members) = (&self.limits, &self.members);
            sharers.push(limit_sharers(
                limits,
                members,
                &self.endpoints,
                route,
                &own,
                now,
            ));
        }
        let mut runnable = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            let key = item.name.key();
            let mut runs = world.runs.iter();
            let is_busy = self.unrecorded.contains(&index)
                || runs.any(|run| run.host == self.index && run.item == Some(index));
            if !item.is_open || is_busy || claimed.binary_search(&key).is_ok() {
                continue;
            }
            let may_run = |host: &str| {
                let sharers = sharers[item.route].as_ref();
                sharers.is_none_or(|names| names.iter().any(|name| **name == *host))
            };
            let started = claims.binary_search(&key).is_ok();
            if started && !may_run(&own) {
                self.progress.retain(|(known, _)| *known != index);
                continue;
            }
            let members = &self.members;
            let runner = || members.runner_of(&item.name, &own, has_log, may_run, now);
            if (started || runner() == &*own) && self.histories.may_run(&item.name, now) {
                let runnable_item = RunnableItem {
                    name: item.name.clone(),
                    due_ms: item.due_ms,
                    in_time: item.due_ms > u64::from(world.round) * 50,
                    started,
                    claim: None,
                    had: 0,
                };
                runnable.push((runnable_item, index));
            }
        }
        let mut sorted: Vec<_> = runnable.iter().map(|(item, _)| item.clone()).collect();
        sort_items(&mut sorted);
        let index_of = |item: &RunnableItem| runnable.iter().find(|known| known.0 == *item);
        sorted.iter().filter_map(index_of).cloned().collect()
    }

    pub fn start_items(&mut self, world: &mut World, rng: &mut SmallRng) {
        let now = world.now;
        let runnable = self.runnable_items(world);
        let hosts = u32::try_from(self.members.live(now).count() + 1).unwrap();
        self.holds.begin_pass(now);
        let mut quotas: Vec<(Arc<str>, u32)> = Vec::new();
        for (item, index) in runnable {
            let route = world.routes[self.items[index].route].clone();
            let Some((service, version)) = self.pick_target(index, &route, now, rng) else {
                continue;
            };
            let position = quotas.iter().position(|(name, _)| *name == service);
            let position = position.unwrap_or_else(|| {
                let free = self.load.free_slots(&self.endpoints, &service, now);
                quotas.push((service.clone(), start_quota(free, hosts)));
                quotas.len() - 1
            });
            let quota = &mut quotas[position].1;
            if *quota == 0 {
                continue;
            }
            let filter = EndpointFilter {
                service: &service,
                version,
            };
            let limits = &self.limits;
            let is_admitted = |id: &str| limits.admits_item(id, now);
            let load = &self.load;
            let picked = load.pick_batch(&self.endpoints, filter, is_admitted, now, rng);
            let Some(endpoint) = picked else {
                continue;
            };
            *quota -= 1;
            self.holds.remove(&item.name);
            let output = self.output_of(index);
            let output = output.filter(|output| output.version == endpoint.version_key());
            self.progress.retain(|(known, _)| *known != index);
            self.progress.push((index, output));
            self.limits.take(&endpoint.id, now);
            self.load.begin(&endpoint.id, RequestClass::Batch);
            let events = output.map_or(0, |output| output.events);
            let length = self.items[index].length;
            world.send(self.index, &endpoint, Some(index), events, length);
        }
    }

    pub fn pick_target(
        &mut self,
        item: usize,
        route: &ServiceRoute,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<(Arc<str>, Option<VersionKey>)> {
        let output = self.output_of(item);
        let found = output.and_then(|output| {
            let version = output.version;
            let table = &self.endpoints;
            let service = table.service_with_version(route.services(), version, now)?;
            Some((service.clone(), output))
        });
        if let Some((service, output)) = found {
            let (load, limits) = (&self.load, &self.limits);
            let is_held = is_held_back(load, &self.endpoints, limits, route, output.version, now);
            let redo_time = self.item_times.redo_time(output.events);
            let name = &self.items[item].name;
            if !(is_held && self.holds.record(name) >= max_hold_time(redo_time)) {
                return Some((service, Some(output.version)));
            }
        }
        Some((route.pick_service(rng.random::<f64>())?.clone(), None))
    }

    /// Sends an online request.
    pub fn send_online(&mut self, world: &mut World, rng: &mut SmallRng) {
        let now = world.now;
        let route = &world.routes[rng.random_range(..world.routes.len())];
        let Some(service) = route.pick_service(rng.random::<f64>()) else {
            return;
        };
        let max_wait = Duration::from_secs(1);
        let picked = self
            .load
            .pick_online(&self.endpoints, &**service, &[], max_wait, now, rng);
        if let EndpointPick::Use(endpoint) = picked {
            self.load.begin(&endpoint.id, RequestClass::Online);
            self.load.begin_wait(&endpoint.id, now);
            self.limits.take(&endpoint.id, now);
            let length = rng.random_range(4..30);
            world.send(self.index, &endpoint, None, 0, length);
        }
    }
}
