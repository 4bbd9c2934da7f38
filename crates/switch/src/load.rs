//! Load of the endpoints, and selection of an endpoint by load.
//!
//! A host counts its own requests in flight exactly, and receives the counts of other hosts in their heartbeats.
//! Endpoints are not polled.

mod batch;
mod pace;

pub use batch::{SlotObstacle, SlotUse};

use crate::affinity::HostAffinity;
use crate::endpoint::{EndpointFilter, EndpointTable, ListedEndpoint};
use crate::health::{EndpointHealth, FailingReports};
use crate::peer_load::{PeerLoad, PeerReports, peer_loads};
use crate::report::{EndpointKey, EndpointReport, LoadReport, RequestCounts};
use crate::speed::SpeedTable;
use crate::wait::{ResponseTimes, RunStarts, WaitingRequests};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an endpoint that refused a request as full is treated as full.
const FULL_DURATION: Duration = Duration::from_millis(150);
/// Cost, in requests, of an endpoint outside the preferred ones: the requests that other hosts may send there between
/// two heartbeats in a burst on a large fleet, three arrivals per endpoint.
const NON_PREFERRED_COST: f64 = 3.0;
/// Number of endpoints outside the preferred ones that are considered for one request.
const NON_PREFERRED_SAMPLE: usize = 4;
/// Cost, in requests, of waiting for a batch item to be preempted.
const PREEMPTION_COST: f64 = 0.5;

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// A request whose caller waits for the response.
    Online,
    /// An item of a batch job.
    Batch,
}

/// Free slots that batch items may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeSlots {
    /// At the preferred endpoints of the host.
    pub preferred: u32,
    /// At all other endpoints.
    pub other: u32,
}

/// Time in which an endpoint had more requests than slots in each pass.
#[derive(Clone, Copy, Debug)]
struct ExcessSpan {
    since: Instant,
    seen_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct LoadEntry {
    /// Requests of this host.
    own: RequestCounts,
    /// Online requests of this host that hold a slot.
    own_runs: RunStarts,
    /// Online requests of this host without a first byte.
    own_waiting: WaitingRequests,
    /// Number of them that are overdue.
    own_overdue: u16,
    /// Requests of all other hosts, from their latest reports.
    peers: RequestCounts,
    /// Online requests of all other hosts that hold a slot.
    peer_runs: RunStarts,
    /// Number of overdue online requests of all other hosts.
    peers_overdue: u16,
    /// Requests to which this host, as a coordinator, has granted a slot and that no report has yet.
    granted: RequestCounts,
    health: EndpointHealth,
    full_until: Option<Instant>,
    /// When this host last preempted a batch item.
    preempted_at: Option<Instant>,
    /// Since when there are more requests than slots.
    excess: Option<ExcessSpan>,
    /// Time after which the coordinator of the endpoint takes a request there to be overdue.
    told_overdue_after: Option<Duration>,
}

impl LoadEntry {
    /// Online requests of all hosts that wait for a slot, whatever the counts say: requests of hosts that cannot be
    /// heard are in no count.
    fn overdue(&self) -> u16 {
        self.own_overdue.saturating_add(self.peers_overdue)
    }

    /// Requests of all hosts.
    fn total(&self) -> RequestCounts {
        self.own.plus(self.peers).plus(self.granted)
    }
}

/// Load and health of all endpoints from the view of this host.
#[derive(Clone, Debug)]
pub struct LoadView {
    entries: Vec<(EndpointKey, LoadEntry)>,
    reports: PeerReports,
    reports_checked_at: Option<Instant>,
    failing: FailingReports,
    response_times: ResponseTimes,
    speeds: SpeedTable,
    affinity: HostAffinity,
    /// Origin of the start times of runs.
    origin: Instant,
    /// Endpoints at which the load of this host has changed since its last report to their coordinators.
    changed: Vec<EndpointKey>,
}

/// Result of [`LoadView::pick_online`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointPick {
    /// The selected endpoint.
    Use(Arc<ListedEndpoint>),
    /// The expected wait at the best endpoint exceeds the allowed wait.
    Full {
        /// Expected wait at the best endpoint.
        wait: Duration,
    },
    /// No endpoint is available.
    Missing,
}

impl Default for LoadView {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            reports: PeerReports::default(),
            reports_checked_at: None,
            failing: FailingReports::default(),
            response_times: ResponseTimes::default(),
            speeds: SpeedTable::default(),
            affinity: HostAffinity::default(),
            origin: Instant::now(),
            changed: Vec::new(),
        }
    }
}

impl LoadView {
    /// Counts a request of this host as in flight at an endpoint.
    pub fn begin(&mut self, id: &str, class: RequestClass) {
        let key = EndpointKey::of(id);
        self.mark_changed(key);
        *class_count(&mut self.entry(key).own, class) += 1;
    }

    /// Removes a request of this host from the in-flight count.
    pub fn finish(&mut self, id: &str, class: RequestClass) {
        let key = EndpointKey::of(id);
        self.mark_changed(key);
        let count = class_count(&mut self.entry(key).own, class);
        *count = count.saturating_sub(1);
    }

    /// Records that an online request of this host has been sent and waits for its first byte.
    pub fn begin_wait(&mut self, id: &str, now: Instant) {
        self.entry(EndpointKey::of(id)).own_waiting.add(now);
    }

    /// Records that an online request of this host that was sent at `sent` no longer waits for its first byte.
    pub fn finish_wait(&mut self, id: &str, sent: Instant) {
        self.entry(EndpointKey::of(id)).own_waiting.remove(sent);
    }

    /// Counts the overdue requests of this host, which last got data from any endpoint at `heard_at`. While it gets none from all, the requests
    /// may not have reached their endpoints, and whether they wait there is not known. Returns whether there are more than before at
    /// any endpoint.
    pub fn update_overdue(&mut self, heard_at: Instant) -> bool {
        let mut has_more = false;
        for index in 0..self.entries.len() {
            let key = self.entries[index].0;
            let Some(limit) = self.overdue_after(key, heard_at) else {
                continue;
            };
            let entry = &mut self.entries[index].1;
            let overdue = entry.own_waiting.overdue(limit, heard_at);
            has_more |= overdue > entry.own_overdue;
            let has_changed = overdue != entry.own_overdue;
            entry.own_overdue = overdue;
            if has_changed {
                self.mark_changed(key);
            }
        }
        has_more
    }

    /// Number of overdue online requests of this host and of those that it hears.
    #[must_use]
    pub fn overdue(&self) -> u32 {
        let counts = self.entries.iter().map(|(_, entry)| entry.overdue());
        counts.map(u32::from).sum()
    }

    /// Records that an online request of this host has got a slot of its endpoint.
    pub fn begin_run(&mut self, id: &str, now: Instant) {
        let start = self.since_origin(now);
        let key = EndpointKey::of(id);
        self.mark_changed(key);
        self.entry(key).own_runs.add(start);
    }

    /// Records that an online request of this host that got its slot at `started` has freed it.
    pub fn finish_run(&mut self, id: &str, started: Instant) {
        let start = self.since_origin(started);
        self.entry(EndpointKey::of(id)).own_runs.remove(start);
    }

    /// Records a complete response to an online request; see [`ResponseTimes::record`].
    pub fn record_response(&mut self, first_byte: Option<Duration>, run: Duration) {
        self.response_times.record(first_byte, run);
    }

    /// Returns the health of an endpoint as seen by this host.
    pub fn health(&mut self, id: &str) -> &mut EndpointHealth {
        &mut self.entry(EndpointKey::of(id)).health
    }

    /// Forgets which endpoints could not be reached or broke off, since the links of this host were the cause.
    pub fn forget_connection_failures(&mut self) {
        for (_, entry) in &mut self.entries {
            entry.health.forget_connection_failures();
        }
    }

    /// Replaces the list of endpoints that another host reports as failing. Returns those that no host reported until
    /// now.
    pub fn update_failing(&mut self, host: &Arc<str>, keys: Vec<EndpointKey>) -> Vec<EndpointKey> {
        self.failing.update(host, keys)
    }

    /// Returns at most `max` endpoints that this host avoids because of error responses, for its heartbeat.
    #[must_use]
    pub fn failing_endpoints(&self, max: usize, now: Instant) -> Vec<EndpointKey> {
        let failing = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.health.is_failing(now));
        failing.map(|(key, _)| *key).take(max).collect()
    }

    /// Removes all reports of a lost host.
    pub fn remove_host(&mut self, host: &Arc<str>) {
        let loads = self.reports.remove(host);
        self.subtract_loads(loads);
        self.update_failing(host, Vec::new());
    }

    /// Removes the reports of the hosts that have sent none for longer than `timeout`. Returns these hosts.
    ///
    /// This is to be called about every `interval`. After a longer pause this host has not run, and reports that came meanwhile
    /// may still be unread; only those that were too old at the last call are removed then.
    pub fn expire_reports(
        &mut self,
        timeout: Duration,
        interval: Duration,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let last_check = self.reports_checked_at.replace(now).unwrap_or(now);
        let has_paused = now.saturating_duration_since(last_check) > interval * 2;
        let checked_for = if has_paused { last_check } else { now };
        let Some(oldest) = checked_for.checked_sub(timeout) else {
            return Vec::new();
        };
        let lost = self.reports.older_than(oldest);
        for host in &lost {
            self.remove_host(host);
        }
        lost
    }

    /// Records that an endpoint refused a request as full.
    pub fn mark_full(&mut self, id: &str, now: Instant) {
        self.entry(EndpointKey::of(id)).full_until = Some(now + FULL_DURATION);
    }

    /// Records that a batch item was preempted at an endpoint.
    pub fn record_preemption(&mut self, id: &str, now: Instant) {
        self.entry(EndpointKey::of(id)).preempted_at = Some(now);
    }

    /// Sets the preferred endpoints and neighbours of this host.
    pub fn set_affinity(&mut self, affinity: HostAffinity) {
        self.affinity = affinity;
    }

    /// Preferred endpoints and neighbours of this host.
    #[must_use]
    pub fn affinity(&self) -> &HostAffinity {
        &self.affinity
    }

    /// Removes an endpoint that is no longer listed, unless requests of this host are in flight there.
    pub fn remove(&mut self, id: &str) {
        let key = EndpointKey::of(id);
        if let Ok(index) = self.search(key)
            && self.entries[index].1.own.is_zero()
        {
            self.entries.remove(index);
        }
        self.speeds.remove(key);
    }

    /// Counts a request to which this host has granted a slot as a coordinator.
    pub fn add_granted(&mut self, key: EndpointKey, class: RequestClass) {
        *class_count(&mut self.entry(key).granted, class) += 1;
    }

    /// Removes a request from the count of [`LoadView::add_granted`].
    pub fn remove_granted(&mut self, key: EndpointKey, class: RequestClass) {
        let count = class_count(&mut self.entry(key).granted, class);
        *count = count.saturating_sub(1);
    }

    /// Latest reports of the other hosts.
    #[must_use]
    pub fn reports(&self) -> &PeerReports {
        &self.reports
    }

    /// Takes the endpoints at which the load of this host has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<EndpointKey> {
        std::mem::take(&mut self.changed)
    }

    /// Marks the load of this host as changed at all endpoints where it has requests.
    pub fn mark_all_changed(&mut self) {
        let used = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.own.is_zero());
        self.changed = used.map(|(key, _)| *key).collect();
    }

    fn mark_changed(&mut self, key: EndpointKey) {
        if !self.changed.contains(&key) {
            self.changed.push(key);
        }
    }

    /// Replaces the load report of another host by one that was received at `now`.
    pub fn update_report(&mut self, host: &Arc<str>, report: LoadReport, now: Instant) {
        let loads = peer_loads(report, self.since_origin(now));
        let old = self.reports.replace(host, loads.clone(), now);
        self.subtract_loads(old);
        for load in loads {
            let entry = self.entry(load.key);
            entry.peers = entry.peers.plus(load.counts);
            entry.peer_runs = entry.peer_runs.plus(load.runs);
            entry.peers_overdue = entry.peers_overdue.saturating_add(load.overdue);
        }
    }

    fn subtract_loads(&mut self, loads: Vec<PeerLoad>) {
        for load in loads {
            let entry = self.entry(load.key);
            entry.peers = entry.peers.minus(load.counts);
            entry.peer_runs = entry.peer_runs.minus(load.runs);
            entry.peers_overdue = entry.peers_overdue.saturating_sub(load.overdue);
        }
    }

    /// Returns the load of this host, which last got data from any endpoint at `heard_at`, for its heartbeat. Requests that may not have
    /// reached their endpoints are no load there.
    #[must_use]
    pub fn own_report(&self, now: Instant, heard_at: Instant) -> LoadReport {
        let age_origin = self.since_origin(now);
        let reports = self.entries.iter().map(|(key, entry)| {
            let unreached = entry.own_waiting.unreached(heard_at, now);
            let report = EndpointReport {
                counts: RequestCounts {
                    online: entry.own.online.saturating_sub(unreached),
                    ..entry.own
                },
                ages: entry.own_runs.ages(age_origin),
                overdue: entry.own_overdue,
            };
            (*key, report)
        });
        reports
            .filter(|(_, report)| !report.counts.is_zero())
            .collect()
    }

    /// In-flight requests of all hosts at an endpoint.
    #[must_use]
    pub fn total(&self, id: &str) -> RequestCounts {
        self.find(id).map(LoadEntry::total).unwrap_or_default()
    }

    /// In-flight requests of this host at an endpoint.
    #[must_use]
    pub fn own(&self, id: &str) -> RequestCounts {
        self.find(id).map(|entry| entry.own).unwrap_or_default()
    }

    /// How long responses to online requests take.
    #[must_use]
    pub fn response_times(&self) -> ResponseTimes {
        self.response_times
    }

    /// Mean time between two responses that the endpoints of a service complete while all their slots are in use.
    #[must_use]
    pub fn service_interval(&self, table: &EndpointTable, service: &str, now: Instant) -> Duration {
        let serving = table.serving(service, now);
        let slots = serving.fold(0_u32, |sum, endpoint| sum.saturating_add(endpoint.slots));
        self.response_times.run() / slots.max(1)
    }

    /// Whether an endpoint is avoided for now: it failed here, or another host reports error responses from it.
    #[must_use]
    pub fn is_avoided(&self, id: &str, now: Instant) -> bool {
        let own = self.find(id);
        own.is_some_and(|entry| entry.health.is_avoided(now))
            || self.failing.contains(EndpointKey::of(id))
    }

    /// Selects the endpoint for an online request that may wait up to `max_wait` in its queue.
    ///
    /// Prefers the endpoint with the fewest online requests, since batch items are preempted. A random addend of less
    /// than one request spreads the choices of hosts with the same view of the load.
    pub fn pick_online<'a>(
        &self,
        table: &'a EndpointTable,
        filter: impl Into<EndpointFilter<'a>>,
        excluded: &[Arc<str>],
        max_wait: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> EndpointPick {
        let usable: Vec<_> = table
            .serving(filter, now)
            .filter(|endpoint| !excluded.contains(&endpoint.id))
            .collect();
        let any_healthy = usable
            .iter()
            .any(|endpoint| !self.is_avoided(&endpoint.id, now));
        let mut candidates: Vec<_> = usable
            .into_iter()
            .filter(|endpoint| !any_healthy || !self.is_avoided(&endpoint.id, now))
            .collect();
        let usual_event = self.usual_event(&candidates, now);
        self.sample_candidates(&mut candidates, rng);
        let best = candidates
            .into_iter()
            .map(|endpoint| {
                (
                    self.online_cost(endpoint, usual_event, now) + rng.random::<f64>(),
                    endpoint,
                )
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some((_, endpoint)) = best else {
            return EndpointPick::Missing;
        };
        let wait = self.expected_wait(endpoint, usual_event, now);
        if wait > max_wait {
            return EndpointPick::Full { wait };
        }
        EndpointPick::Use(endpoint.clone())
    }

    /// Number of overdue online requests at an endpoint, unless an item has just been preempted for them: a request that has just got its
    /// slot is overdue until its first byte.
    pub(crate) fn unsettled_overdue(&self, id: &str, now: Instant) -> u32 {
        let Some(entry) = self.find(id) else {
            return 0;
        };
        let limit = self
            .overdue_after(EndpointKey::of(id), now)
            .unwrap_or_default();
        let settled = entry
            .preempted_at
            .is_none_or(|preempted_at| now >= preempted_at + limit);
        if settled { entry.overdue().into() } else { 0 }
    }

    /// Whether online requests are overdue at an endpoint.
    pub(crate) fn is_overdue(&self, id: &str) -> bool {
        self.find(id).is_some_and(|entry| entry.overdue() > 0)
    }

    /// Keeps the preferred endpoints and a random sample of the others. The load of the others is known with a delay,
    /// and hosts that all chose the least loaded one would overload it together.
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

    fn online_cost(
        &self,
        endpoint: &ListedEndpoint,
        usual_event: Option<f64>,
        now: Instant,
    ) -> f64 {
        let counts = self.total(&endpoint.id);
        let slots = endpoint.slots;
        let full_cost = if self.is_full(&endpoint.id, now) {
            f64::from(slots)
        } else {
            0.0
        };
        // Batch items are preempted, so only online requests delay this one. A wait counts as the requests that an
        // endpoint completes meanwhile.
        let wait = self.expected_wait(endpoint, usual_event, now).as_secs_f64();
        let queued = wait / self.response_times.run().as_secs_f64().max(0.001) * f64::from(slots);
        let base = f64::from(u32::from(counts.online).min(slots)) + queued;
        let preemption_cost = if counts.total() < slots {
            0.0
        } else {
            PREEMPTION_COST
        };
        base + preemption_cost + full_cost + self.affinity_cost(&endpoint.id)
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

    /// Expected wait of one more online request at an endpoint of a service whose endpoints take `usual_event` for an event in the mean.
    pub(crate) fn expected_wait(
        &self,
        endpoint: &ListedEndpoint,
        usual_event: Option<f64>,
        now: Instant,
    ) -> Duration {
        let Some(entry) = self.find(&endpoint.id) else {
            return Duration::ZERO;
        };
        let online = u32::from(entry.total().online);
        let queued = online
            .saturating_sub(endpoint.slots)
            .max(entry.overdue().into());
        let position = match queued {
            0 => u32::from(online >= endpoint.slots),
            queued => queued + 1,
        };
        let runs = entry.own_runs.plus(entry.peer_runs);
        let ages = runs.ages(self.since_origin(now));
        let key = EndpointKey::of(&endpoint.id);
        let times = match position {
            0 => self.response_times,
            _ => self
                .response_times
                .at_pace(self.speeds.pace(key, usual_event, now)),
        };
        times.wait(position, endpoint.slots, ages)
    }

    fn since_origin(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.origin)
    }

    /// Whether an endpoint refused a request of this host as full a short time ago.
    pub(crate) fn is_full(&self, id: &str, now: Instant) -> bool {
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
