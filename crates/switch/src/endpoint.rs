//! Table of the endpoints that are listed in the log.
//!
//! A listing is removed when its endpoint leaves, but also when it expires because the endpoint could not renew it in an
//! outage of the log. The two look the same in the log. A host that lost the log therefore defers the removals that it
//! reads afterwards, until they are due or until another host confirms them. A host that read the log without an
//! interruption can do so: it would have noticed an outage.

use crate::departures::EndpointDeparture;
use crate::leaving::LeavingMarks;
use crate::origins::{RETENTION as ORIGIN_RETENTION, VersionKey};
use crate::report::EndpointKey;
use crate::starts::{EndpointStarts, StartCheck};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which removals are deferred after an outage of the log: endpoints renew their listings within 2 s of its
/// return.
const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2300);
/// Time without a read after which listings may have expired in an outage that this host did not notice, for example
/// since it was paused. Shorter than the time in which a listing expires.
const MAX_READ_GAP: Duration = Duration::from_secs(2);

/// Listing of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Endpoint ID.
    pub id: Arc<str>,
    /// Start time in milliseconds since the Unix epoch, which distinguishes restarts under the same ID; 0 if unknown.
    pub started_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: Arc<str>,
    /// Version of the endpoint's software; empty if unknown.
    pub version: Arc<str>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and takes no new work.
    pub draining: bool,
}

impl ListedEndpoint {
    /// Key of the endpoint's service and software version.
    #[must_use]
    pub fn version_key(&self) -> VersionKey {
        VersionKey::of(&self.service, &self.version)
    }
}

/// Selects endpoints by service and software version.
#[derive(Clone, Copy, Debug)]
pub struct EndpointFilter<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Software version; `None` for any.
    pub version: Option<VersionKey>,
}

impl<'a> From<&'a str> for EndpointFilter<'a> {
    fn from(service: &'a str) -> Self {
        Self {
            service,
            version: None,
        }
    }
}

/// Removal of a listing that is not in force yet.
#[derive(Clone, Copy, Debug)]
struct DeferredRemoval {
    /// Offset of the removal in the log.
    offset: u64,
    /// When the removal comes into force if it is not confirmed before.
    due_at: Instant,
}

#[derive(Clone, Debug)]
struct TableEntry {
    endpoint: Arc<ListedEndpoint>,
    key: EndpointKey,
    version: VersionKey,
    removal: Option<DeferredRemoval>,
}

/// Software version of an endpoint that was removed.
#[derive(Clone, Debug)]
struct PastVersion {
    service: Arc<str>,
    version: VersionKey,
    removed_at: Instant,
}

/// All listed endpoints, sorted by ID.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: Vec<TableEntry>,
    /// End of the last outage of the log.
    regained_at: Option<Instant>,
    log_unavailable: bool,
    /// Start of the reads without an interruption; `None` before the first one and during an outage.
    uninterrupted_since: Option<Instant>,
    /// Time of the last read of the listings; `None` before the first one.
    read_at: Option<Instant>,
    /// Time of the first read of the listings, or of the last snapshot.
    first_read_at: Option<Instant>,
    /// Offset up to which the listings have been read.
    read_until: u64,
    /// Offset before which another host has confirmed all removals.
    confirmed_until: u64,
    /// Versions of removed endpoints, as long as streams that they began may be taken up.
    past_versions: Vec<PastVersion>,
    /// Endpoints that said that they leave.
    leaving: LeavingMarks,
    starts: EndpointStarts,
}

impl EndpointTable {
    /// Adds or updates a listing. Returns whether anything changed.
    pub fn set(&mut self, endpoint: ListedEndpoint) -> bool {
        match self.search(&endpoint.id) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.removal = None;
                let changed = *entry.endpoint != endpoint;
                if changed {
                    let old = entry.clone();
                    entry.version = endpoint.version_key();
                    entry.endpoint = Arc::new(endpoint);
                    let now = Instant::now();
                    if old.endpoint.started_ms != entry.endpoint.started_ms {
                        self.starts.record_restart(&old.endpoint, now);
                    }
                    if old.version != entry.version {
                        self.record_past_version(&old, now);
                    }
                }
                changed
            }
            Err(index) => {
                let entry = TableEntry {
                    key: EndpointKey::of(&endpoint.id),
                    version: endpoint.version_key(),
                    endpoint: Arc::new(endpoint),
                    removal: None,
                };
                self.entries.insert(index, entry);
                true
            }
        }
    }

    /// Removes a listing, of which the log has the removal at `offset`. Shortly after an outage of the log the removal is
    /// deferred, unless another host has confirmed it. Returns whether the endpoint was listed.
    pub fn remove(&mut self, id: &str, offset: u64, now: Instant) -> bool {
        let Ok(index) = self.search(id) else {
            return false;
        };
        let deferred_until = self.regained_at.map(|since| since + RELIST_GRACE_PERIOD);
        match deferred_until {
            Some(due_at) if now < due_at && offset >= self.confirmed_until => {
                self.entries[index].removal = Some(DeferredRemoval { offset, due_at });
            }
            _ => {
                let entry = self.entries.remove(index);
                self.record_past_version(&entry, now);
            }
        }
        true
    }

    /// Replaces the whole list by a snapshot that was read up to the offset `end`. Endpoints missing from it are removed
    /// as in [`EndpointTable::remove`]. Returns their IDs. Endpoints that were listed and removed before it are not known, so
    /// that the listings count as followed from now on.
    pub fn replace(
        &mut self,
        endpoints: Vec<ListedEndpoint>,
        end: u64,
        now: Instant,
    ) -> Vec<Arc<str>> {
        self.first_read_at = Some(now);
        let removed: Vec<Arc<str>> = self
            .entries
            .iter()
            .map(|entry| entry.endpoint.id.clone())
            .filter(|id| !endpoints.iter().any(|endpoint| endpoint.id == *id))
            .collect();
        for id in &removed {
            self.remove(id, end.saturating_sub(1), now);
        }
        for endpoint in endpoints {
            self.set(endpoint);
        }
        removed
    }

    /// Records that the log is unavailable.
    pub fn mark_log_unavailable(&mut self) {
        self.log_unavailable = true;
        self.uninterrupted_since = None;
    }

    /// Records a read of the listings up to the offset `end`. The removals that it returned are applied after it.
    pub fn record_read(&mut self, end: u64, now: Instant) {
        let has_gap = self.read_age(now).is_none_or(|age| age > MAX_READ_GAP);
        if has_gap || self.uninterrupted_since.is_none() {
            self.uninterrupted_since = Some(now);
        }
        self.first_read_at.get_or_insert(now);
        (self.read_at, self.read_until) = (Some(now), end);
        if self.log_unavailable {
            self.log_unavailable = false;
            self.regained_at = Some(now);
        }
    }

    /// Records that a read of the listings, which began at `started`, has been applied completely.
    pub fn complete_read(&mut self, started: Instant) {
        self.starts.record_read(Some(started));
    }

    /// Checks whether a request that was sent at `sent_at` has reached this start of an endpoint.
    #[must_use]
    pub fn check_start(&self, endpoint: &ListedEndpoint, sent_at: Instant) -> StartCheck {
        self.starts.check(endpoint, sent_at)
    }

    /// Offset before which this host can confirm all removals to other hosts: it has read them without an interruption
    /// in which listings could have expired. 0 if it can confirm none.
    #[must_use]
    pub fn confirmable_until(&self, now: Instant) -> u64 {
        match self.uninterrupted_since {
            Some(since) if now >= since + RELIST_GRACE_PERIOD => self.read_until,
            _ => 0,
        }
    }

    /// Records that another host confirms all removals before `offset`. Returns the endpoints whose deferred removal came
    /// into force by that.
    pub fn confirm_removals(&mut self, offset: u64, now: Instant) -> Vec<Arc<str>> {
        self.confirmed_until = self.confirmed_until.max(offset);
        let confirmed_until = self.confirmed_until;
        self.take_entries(now, |entry| {
            entry
                .removal
                .is_some_and(|removal| removal.offset < confirmed_until)
        })
    }

    /// Removes endpoints that have left by the report of another host, unless this host has read the listings beyond the
    /// departure. Returns their IDs.
    pub fn apply_departures(
        &mut self,
        departures: &[EndpointDeparture],
        now: Instant,
    ) -> Vec<Arc<str>> {
        let read_until = self.read_until;
        let unread = departures
            .iter()
            .filter(|departure| departure.offset >= read_until);
        let mut keys: Vec<EndpointKey> = unread.map(|departure| departure.key).collect();
        if keys.is_empty() {
            return Vec::new();
        }
        keys.sort_unstable();
        self.take_entries(now, |entry| keys.binary_search(&entry.key).is_ok())
    }

    /// Offset up to which the listings have been read.
    #[must_use]
    pub fn read_until(&self) -> u64 {
        self.read_until
    }

    /// Age of the last read of the listings; `None` before the first one.
    #[must_use]
    pub fn read_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.read_at?))
    }

    /// Time for which this host has followed the listings without a gap.
    #[must_use]
    pub fn watched_for(&self, now: Instant) -> Duration {
        let first_read_at = self.first_read_at.unwrap_or(now);
        now.saturating_duration_since(first_read_at)
    }

    /// Services with the software versions of all listed endpoints.
    #[must_use]
    pub fn versions(&self) -> Vec<(Arc<str>, VersionKey)> {
        let entries = self.entries.iter();
        entries
            .map(|entry| (entry.endpoint.service.clone(), entry.version))
            .collect()
    }

    /// When the deferred removal of an endpoint is due; `None` if its removal is not deferred.
    #[must_use]
    pub fn removal_due(&self, id: &str) -> Option<Instant> {
        let removal = self.entries[self.search(id).ok()?].removal?;
        Some(removal.due_at)
    }

    /// Number of endpoints whose removal is deferred.
    #[must_use]
    pub fn deferred_removals(&self) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.removal.is_some()).count()
    }

    /// Removes the endpoints whose deferred removal is due, and returns their IDs. Forgets which endpoints leave that have
    /// not been listed for a while.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.log_unavailable {
            return Vec::new();
        }
        let removed = self.take_entries(now, |entry| {
            entry.removal.is_some_and(|removal| removal.due_at <= now)
        });
        let entries = &self.entries;
        self.leaving.expire(now, |id, started_ms| {
            let index = entries.binary_search_by(|entry| (*entry.endpoint.id).cmp(id));
            index.is_ok_and(|index| entries[index].endpoint.started_ms == started_ms)
        });
        removed
    }

    /// Records that this start of an endpoint leaves by its own response, so that it accepts no new work. Returns whether
    /// that was not known from a response before.
    pub fn mark_leaving(&mut self, endpoint: &ListedEndpoint) -> bool {
        self.leaving.insert(endpoint)
    }

    /// Removes the selected entries, and returns the IDs of their endpoints.
    fn take_entries(
        &mut self,
        now: Instant,
        is_selected: impl Fn(&TableEntry) -> bool,
    ) -> Vec<Arc<str>> {
        let removed: Vec<TableEntry> = self
            .entries
            .extract_if(.., |entry| is_selected(entry))
            .collect();
        for entry in &removed {
            self.record_past_version(entry, now);
        }
        removed
            .iter()
            .map(|entry| entry.endpoint.id.clone())
            .collect()
    }

    fn record_past_version(&mut self, entry: &TableEntry, now: Instant) {
        let expired = |past: &PastVersion| now >= past.removed_at + ORIGIN_RETENTION;
        self.past_versions
            .retain(|past| past.version != entry.version && !expired(past));
        self.past_versions.push(PastVersion {
            service: entry.endpoint.service.clone(),
            version: entry.version,
            removed_at: now,
        });
    }

    /// The version of all endpoints of these services, including those that left lately; `None` if there are several or
    /// none.
    #[must_use]
    pub fn sole_version(&self, services: &[&str], now: Instant) -> Option<VersionKey> {
        let listed = self.entries.iter();
        let listed = listed.map(|entry| (&*entry.endpoint.service, entry.version));
        let past = self.past_versions.iter();
        let past = past
            .filter(|past| now < past.removed_at + ORIGIN_RETENTION)
            .map(|past| (&*past.service, past.version));
        let mut versions = listed
            .chain(past)
            .filter(|(service, _)| services.contains(service))
            .map(|(_, version)| version);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// The first of some services that has an endpoint of a software version which accepts new work.
    pub fn service_with_version<'a>(
        &self,
        services: impl IntoIterator<Item = &'a Arc<str>>,
        version: VersionKey,
        now: Instant,
    ) -> Option<&'a Arc<str>> {
        let version = Some(version);
        services.into_iter().find(|service| {
            let filter = EndpointFilter { service, version };
            self.serving(filter, now).next().is_some()
        })
    }

    /// Whether the listings were read lately.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.read_age(now).is_some_and(|age| age <= MAX_READ_GAP)
    }

    /// Looks up an endpoint by ID.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<ListedEndpoint>> {
        let index = self.search(id).ok()?;
        Some(&self.entries[index].endpoint)
    }

    /// Finds a listed endpoint.
    pub fn find(
        &self,
        is_wanted: impl Fn(&ListedEndpoint) -> bool,
    ) -> Option<&Arc<ListedEndpoint>> {
        let mut listed = self.entries.iter().map(|entry| &entry.endpoint);
        listed.find(|endpoint| is_wanted(endpoint))
    }

    /// Looks up an endpoint that accepts new work by its key.
    #[must_use]
    pub fn serving_with_key(&self, key: EndpointKey, now: Instant) -> Option<&Arc<ListedEndpoint>> {
        let mut entries = self.entries.iter();
        let entry = entries.find(|entry| entry.key == key && self.serves(entry, now))?;
        Some(&entry.endpoint)
    }

    /// Whether an endpoint is listed and accepts new work.
    #[must_use]
    pub fn is_serving(&self, id: &str, now: Instant) -> bool {
        let index = self.search(id);
        index.is_ok_and(|index| self.serves(&self.entries[index], now))
    }

    /// Endpoints of a service that accept new work.
    pub fn serving<'a>(
        &'a self,
        filter: impl Into<EndpointFilter<'a>>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<ListedEndpoint>> + 'a {
        let EndpointFilter { service, version } = filter.into();
        self.entries
            .iter()
            .filter(move |entry| version.is_none_or(|version| entry.version == version))
            .filter(move |entry| &*entry.endpoint.service == service && self.serves(entry, now))
            .map(|entry| &entry.endpoint)
    }

    /// Endpoints of all services that accept new work.
    #[must_use]
    pub fn all_serving(&self, now: Instant) -> Vec<Arc<ListedEndpoint>> {
        let entries = self.entries.iter().filter(|entry| self.serves(entry, now));
        entries.map(|entry| entry.endpoint.clone()).collect()
    }

    /// Number of listed endpoints, including draining ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether an endpoint accepts new work. A removal that is due counts before [`EndpointTable::expire`] is called.
    fn serves(&self, entry: &TableEntry, now: Instant) -> bool {
        let is_removed = entry.removal.is_some_and(|removal| removal.due_at <= now);
        let is_leaving = entry.endpoint.draining || self.leaving.contains(&entry.endpoint);
        !is_leaving && (self.log_unavailable || !is_removed)
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.endpoint.id).cmp(id))
    }
}
