//! Load of the endpoints, and which one gets the next request.
//!
//! A host knows exactly what it has sent itself, and learns of the other hosts' requests from their beats.
//! Nothing is asked of the endpoints.

use crate::affinity::HostAffinity;
use crate::endpoint::{EndpointTable, ListedEndpoint};
use crate::health::{EndpointHealth, FailingReports};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an endpoint that said it was full is taken as full.
const FULL_DURATION: Duration = Duration::from_millis(150);
/// Run time of a request before any has been measured.
const INITIAL_MEAN_DURATION: Duration = Duration::from_millis(700);
/// Cost, in requests, of an endpoint that is not a preferred: what the other hosts' choices between two beats add in a
/// burst of the grown fleets (three arrivals an endpoint).
const NON_PREFERRED_COST: f64 = 3.0;
/// Endpoints other than homes that are weighed for one request.
const NON_PREFERRED_SAMPLE: usize = 4;
/// Slots of a home that batch items leave free for online requests.
const PREFERRED_RESERVED_SLOTS: u32 = 1;
/// Slots of another endpoint that batch items leave free: other hosts may fill it between two beats.
const NON_PREFERRED_RESERVED_SLOTS: u32 = 3;
/// Cost, in requests, of waiting until a batch item has given way.
const PREEMPTION_COST: f64 = 0.5;
/// Time for which no batch item starts at an endpoint where one has just given way: a part of a burst's length.
const PREEMPTION_COOLDOWN: Duration = Duration::from_millis(600);
/// Weight of a new measurement in the mean run time.
const DURATION_WEIGHT: f64 = 0.05;

/// Number that stands for an endpoint in beats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Returns the key of an endpoint.
    ///
    /// ```
    /// use fulmarswitch_switch::load::EndpointKey;
    /// assert_eq!(EndpointKey::of("i-1"), EndpointKey::of("i-1"));
    /// ```
    #[must_use]
    pub fn of(id: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Requests in progress at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
}

impl RequestCounts {
    /// All requests.
    #[must_use]
    pub fn total(self) -> u32 {
        u32::from(self.online) + u32::from(self.batch)
    }

    fn plus(self, other: Self) -> Self {
        Self {
            online: self.online.saturating_add(other.online),
            batch: self.batch.saturating_add(other.batch),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            online: self.online.saturating_sub(other.online),
            batch: self.batch.saturating_sub(other.batch),
        }
    }

    fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// Whether a request is online or an item of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// An online request.
    Online,
    /// A batch item.
    Batch,
}

/// Slots that batch items may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeSlots {
    /// At the host's homes.
    pub preferred: u32,
    /// At other endpoints.
    pub other: u32,
}

/// What a host sends of its own requests in progress.
pub type LoadReport = Vec<(EndpointKey, RequestCounts)>;

#[derive(Clone, Debug, Default)]
struct LoadEntry {
    own: RequestCounts,
    peers: RequestCounts,
    health: EndpointHealth,
    full_until: Option<Instant>,
    no_batch_until: Option<Instant>,
}

/// The load of all endpoints as this host knows it.
#[derive(Clone, Debug)]
pub struct LoadView {
    entries: Vec<(EndpointKey, LoadEntry)>,
    reports: Vec<(Arc<str>, LoadReport)>,
    failing: FailingReports,
    mean_duration: Duration,
    affinity: HostAffinity,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointPick {
    /// The endpoint to use.
    Use(Arc<ListedEndpoint>),
    /// All endpoints have queues too long for the time allowed.
    Full {
        /// Expected wait at the one with the shortest queue.
        wait: Duration,
    },
    /// No endpoint is left.
    Missing,
}

impl Default for LoadView {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            reports: Vec::new(),
            failing: FailingReports::default(),
            mean_duration: INITIAL_MEAN_DURATION,
            affinity: HostAffinity::default(),
        }
    }
}

impl LoadView {
    /// Notes that a request goes to an endpoint.
    pub fn begin(&mut self, id: &str, class: RequestClass) {
        let counts = &mut self.entry(EndpointKey::of(id)).own;
        *class_count(counts, class) += 1;
    }

    /// Notes that a request has ended.
    pub fn finish(&mut self, id: &str, class: RequestClass) {
        let counts = &mut self.entry(EndpointKey::of(id)).own;
        let count = class_count(counts, class);
        *count = count.saturating_sub(1);
    }

    /// Notes how long an online request took.
    pub fn record_duration(&mut self, duration: Duration) {
        let mean = self.mean_duration.as_secs_f64();
        let updated = mean + (duration.as_secs_f64() - mean) * DURATION_WEIGHT;
        self.mean_duration = Duration::from_secs_f64(updated);
    }

    /// How requests of this host ended at an endpoint.
    pub fn health(&mut self, id: &str) -> &mut EndpointHealth {
        &mut self.entry(EndpointKey::of(id)).health
    }

    /// Takes the endpoints that another host leaves out for what they answered. Returns those that no other host
    /// named before.
    pub fn update_failing(&mut self, host: &Arc<str>, keys: Vec<EndpointKey>) -> Vec<EndpointKey> {
        self.failing.update(host, keys)
    }

    /// Returns at most `most` endpoints that this host leaves out for what they answered, for its beat.
    #[must_use]
    pub fn failing_endpoints(&self, most: usize, now: Instant) -> Vec<EndpointKey> {
        let failing = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.health.is_failing(now));
        failing.map(|(key, _)| *key).take(most).collect()
    }

    /// Forgets what a lost host told.
    pub fn forget_host(&mut self, host: &Arc<str>) {
        self.update_report(host, Vec::new());
        self.update_failing(host, Vec::new());
    }

    /// Notes that an endpoint said it was full.
    pub fn mark_full(&mut self, id: &str, now: Instant) {
        self.entry(EndpointKey::of(id)).full_until = Some(now + FULL_DURATION);
    }

    /// Notes that a batch item gave way at an endpoint.
    pub fn record_preemption(&mut self, id: &str, now: Instant) {
        self.entry(EndpointKey::of(id)).no_batch_until = Some(now + PREEMPTION_COOLDOWN);
    }

    /// Takes what this host uses first.
    pub fn set_affinity(&mut self, affinity: HostAffinity) {
        self.affinity = affinity;
    }

    /// What this host uses first.
    #[must_use]
    pub fn affinity(&self) -> &HostAffinity {
        &self.affinity
    }

    /// Forgets endpoints that are gone.
    pub fn forget(&mut self, id: &str) {
        let key = EndpointKey::of(id);
        if let Ok(index) = self.search(key)
            && self.entries[index].1.own.is_zero()
        {
            self.entries.remove(index);
        }
    }

    /// Takes a host's report in place of its last one.
    pub fn update_report(&mut self, host: &Arc<str>, report: LoadReport) {
        let old = match self.reports.binary_search_by(|(name, _)| name.cmp(host)) {
            Ok(index) => std::mem::replace(&mut self.reports[index].1, report.clone()),
            Err(index) => {
                self.reports.insert(index, (host.clone(), report.clone()));
                Vec::new()
            }
        };
        for (key, counts) in old {
            let entry = self.entry(key);
            entry.peers = entry.peers.minus(counts);
        }
        for (key, counts) in report {
            let entry = self.entry(key);
            entry.peers = entry.peers.plus(counts);
        }
    }

    /// Returns what this host has in progress, for its beat.
    #[must_use]
    pub fn own_report(&self) -> LoadReport {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.own.is_zero())
            .map(|(key, entry)| (*key, entry.own))
            .collect()
    }

    /// Requests of all hosts in progress at an endpoint.
    #[must_use]
    pub fn total(&self, id: &str) -> RequestCounts {
        self.find(id)
            .map(|entry| entry.own.plus(entry.peers))
            .unwrap_or_default()
    }

    /// Requests of this host in progress at an endpoint.
    #[must_use]
    pub fn own(&self, id: &str) -> RequestCounts {
        self.find(id).map(|entry| entry.own).unwrap_or_default()
    }

    /// Mean run time of online requests.
    #[must_use]
    pub fn mean_duration(&self) -> Duration {
        self.mean_duration
    }

    /// Whether an endpoint is left out for now, since it failed here or answered another host with a failure.
    #[must_use]
    pub fn is_avoided(&self, id: &str, now: Instant) -> bool {
        let own = self.find(id);
        own.is_some_and(|entry| entry.health.is_avoided(now))
            || self.failing.contains(EndpointKey::of(id))
    }

    /// Picks the endpoint for an online request that may wait `max_wait` for its first token.
    ///
    /// The endpoint with the fewest online requests comes first; batch items give way. A draw of less than one
    /// request spreads the choices of hosts that see the same load.
    pub fn pick_online(
        &self,
        table: &EndpointTable,
        service: &str,
        excluded: &[Arc<str>],
        max_wait: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> EndpointPick {
        let usable: Vec<_> = table
            .serving(service)
            .filter(|endpoint| !excluded.contains(&endpoint.id))
            .collect();
        let any_healthy = usable
            .iter()
            .any(|endpoint| !self.is_avoided(&endpoint.id, now));
        let mut candidates: Vec<_> = usable
            .into_iter()
            .filter(|endpoint| !any_healthy || !self.is_avoided(&endpoint.id, now))
            .collect();
        self.sample_candidates(&mut candidates, rng);
        let best = candidates
            .into_iter()
            .map(|endpoint| {
                (
                    self.online_cost(endpoint, now, rng.random::<f64>()),
                    endpoint,
                )
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some((_, endpoint)) = best else {
            return EndpointPick::Missing;
        };
        let wait = self.expected_wait(endpoint);
        if wait > max_wait {
            return EndpointPick::Full { wait };
        }
        EndpointPick::Use(endpoint.clone())
    }

    /// Picks the endpoint for a batch item: one where slots stay free for online requests.
    pub fn pick_batch(
        &self,
        table: &EndpointTable,
        service: &str,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Arc<ListedEndpoint>> {
        table
            .serving(service)
            .filter(|endpoint| !self.is_avoided(&endpoint.id, now))
            .filter(|endpoint| !self.is_full(&endpoint.id, now))
            .filter(|endpoint| !self.recently_preempted(&endpoint.id, now))
            .filter(|endpoint| self.free_batch_slots(endpoint) > 0)
            .map(|endpoint| {
                let total = f64::from(self.total(&endpoint.id).total());
                let affinity = self.affinity_cost(&endpoint.id);
                (total + affinity + rng.random::<f64>(), endpoint)
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, endpoint)| endpoint.clone())
    }

    /// Slots of a service that batch items may take: those of this host's homes, and of the other endpoints.
    #[must_use]
    pub fn free_slots(&self, table: &EndpointTable, service: &str, now: Instant) -> FreeSlots {
        let mut free = FreeSlots::default();
        let usable = table
            .serving(service)
            .filter(|endpoint| !self.recently_preempted(&endpoint.id, now));
        for endpoint in usable {
            let slots = self.free_batch_slots(endpoint);
            if self.is_preferred(&endpoint.id) {
                free.preferred += slots;
            } else {
                free.other += slots;
            }
        }
        free
    }

    /// How many of this host's batch items have to leave an endpoint.
    ///
    /// Each host takes its part of the excess, rounded up, so that hosts which see the same load do not all
    /// cancel for the same request.
    #[must_use]
    pub fn batch_preemptions(&self, endpoint: &ListedEndpoint) -> u32 {
        let total = self.total(&endpoint.id);
        let own = u32::from(self.own(&endpoint.id).batch);
        let excess = total.total().saturating_sub(endpoint.slots);
        if excess == 0 || own == 0 {
            return 0;
        }
        let batch = u32::from(total.batch).max(1);
        (excess.min(batch) * own).div_ceil(batch).min(own)
    }

    /// Leaves the homes and a few of the other endpoints, drawn at random: the load of these is known with a
    /// delay, and hosts that all took the least loaded one would fill it together.
    fn sample_candidates(&self, candidates: &mut Vec<&Arc<ListedEndpoint>>, rng: &mut impl Rng) {
        let (mut sampled, mut others): (Vec<_>, Vec<_>) = candidates
            .drain(..)
            .partition(|endpoint| self.is_preferred(&endpoint.id));
        for _ in 0..NON_PREFERRED_SAMPLE.min(others.len()) {
            let index = rng.random_range(..others.len());
            sampled.push(others.swap_remove(index));
        }
        *candidates = sampled;
    }

    fn online_cost(&self, endpoint: &ListedEndpoint, now: Instant, draw: f64) -> f64 {
        let counts = self.total(&endpoint.id);
        let slots = endpoint.slots;
        let full = if self.is_full(&endpoint.id, now) {
            f64::from(slots)
        } else {
            0.0
        };
        // Batch items give way, so only online requests stand in the way of another one.
        let base = f64::from(counts.online);
        let preemption = if counts.total() < slots {
            0.0
        } else {
            PREEMPTION_COST
        };
        base + preemption + full + draw + self.affinity_cost(&endpoint.id)
    }

    fn affinity_cost(&self, id: &str) -> f64 {
        if self.is_preferred(id) {
            0.0
        } else {
            NON_PREFERRED_COST
        }
    }

    fn is_preferred(&self, id: &str) -> bool {
        let preferred = &self.affinity.endpoints;
        preferred
            .binary_search_by(|endpoint_id| (**endpoint_id).cmp(id))
            .is_ok()
    }

    /// Slots that batch items leave free at an endpoint.
    fn reserved_slots(&self, id: &str) -> u32 {
        if self.is_preferred(id) {
            PREFERRED_RESERVED_SLOTS
        } else {
            NON_PREFERRED_RESERVED_SLOTS
        }
    }

    fn free_batch_slots(&self, endpoint: &ListedEndpoint) -> u32 {
        let used = self.total(&endpoint.id).total() + self.reserved_slots(&endpoint.id);
        endpoint.slots.saturating_sub(used)
    }

    fn recently_preempted(&self, id: &str, now: Instant) -> bool {
        self.find(id)
            .and_then(|entry| entry.no_batch_until)
            .is_some_and(|until| until > now)
    }

    fn expected_wait(&self, endpoint: &ListedEndpoint) -> Duration {
        let online = u32::from(self.total(&endpoint.id).online);
        let queued = (online + 1).saturating_sub(endpoint.slots);
        self.mean_duration * queued / endpoint.slots.max(1)
    }

    fn is_full(&self, id: &str, now: Instant) -> bool {
        self.find(id)
            .and_then(|entry| entry.full_until)
            .is_some_and(|until| until > now)
    }

    fn find(&self, id: &str) -> Option<&LoadEntry> {
        let index = self.search(EndpointKey::of(id)).ok()?;
        Some(&self.entries[index].1)
    }

    fn entry(&mut self, key: EndpointKey) -> &mut LoadEntry {
        let index = match self.search(key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, LoadEntry::default()));
                index
            }
        };
        &mut self.entries[index].1
    }

    fn search(&self, key: EndpointKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |(key, _)| *key)
    }
}

fn class_count(counts: &mut RequestCounts, class: RequestClass) -> &mut u16 {
    match class {
        RequestClass::Online => &mut counts.online,
        RequestClass::Batch => &mut counts.batch,
    }
}
