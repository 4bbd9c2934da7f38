//! Table of the endpoints that are listed in the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which removals are deferred after an outage of the log: endpoints renew their listings within 2 s of its
/// return.
const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2300);

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
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and takes no new work.
    pub draining: bool,
}

#[derive(Clone, Debug)]
struct TableEntry {
    endpoint: Arc<ListedEndpoint>,
    remove_at: Option<Instant>,
}

/// All listed endpoints, sorted by ID.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: Vec<TableEntry>,
    /// End of the last outage of the log.
    available_since: Option<Instant>,
    log_unavailable: bool,
    /// Time of the last read of the listings; `None` before the first one.
    read_at: Option<Instant>,
    /// Offset up to which the listings have been read.
    read_until: u64,
}

impl EndpointTable {
    /// Adds or updates a listing. Returns whether anything changed.
    pub fn set(&mut self, endpoint: ListedEndpoint) -> bool {
        match self.search(&endpoint.id) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.remove_at = None;
                let changed = *entry.endpoint != endpoint;
                if changed {
                    entry.endpoint = Arc::new(endpoint);
                }
                changed
            }
            Err(index) => {
                let endpoint = Arc::new(endpoint);
                let entry = TableEntry {
                    endpoint,
                    remove_at: None,
                };
                self.entries.insert(index, entry);
                true
            }
        }
    }

    /// Removes a listing. During an outage of the log and shortly after it the removal is deferred, since live
    /// endpoints cannot renew their listings, which expire. Returns whether the endpoint was listed.
    pub fn remove(&mut self, id: &str, now: Instant) -> bool {
        let Ok(index) = self.search(id) else {
            return false;
        };
        match self.removal_time(now) {
            Some(due_at) => self.entries[index].remove_at = Some(due_at),
            None => {
                self.entries.remove(index);
            }
        }
        true
    }

    /// Replaces the whole list; endpoints missing from it are removed as in [`EndpointTable::remove`]. Returns their IDs.
    pub fn replace(&mut self, endpoints: Vec<ListedEndpoint>, now: Instant) -> Vec<Arc<str>> {
        let removed: Vec<Arc<str>> = self
            .entries
            .iter()
            .map(|entry| entry.endpoint.id.clone())
            .filter(|id| !endpoints.iter().any(|endpoint| endpoint.id == *id))
            .collect();
        for id in &removed {
            self.remove(id, now);
        }
        for endpoint in endpoints {
            self.set(endpoint);
        }
        removed
    }

    /// Records that the log is unavailable.
    pub fn mark_log_unavailable(&mut self) {
        self.log_unavailable = true;
    }

    /// Records a response of the log.
    pub fn mark_log_available(&mut self, now: Instant) {
        self.read_at = Some(now);
        if self.log_unavailable {
            self.log_unavailable = false;
            self.available_since = Some(now);
        }
    }

    /// Records the offset up to which the listings have been read.
    pub fn set_read_until(&mut self, offset: u64) {
        self.read_until = offset;
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

    /// When the deferred removal of an endpoint is due; `None` if its removal is not deferred.
    #[must_use]
    pub fn removal_due(&self, id: &str) -> Option<Instant> {
        self.entries[self.search(id).ok()?].remove_at
    }

    /// Number of endpoints whose removal is deferred.
    #[must_use]
    pub fn deferred_removals(&self) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.remove_at.is_some()).count()
    }

    /// Removes the endpoints whose deferred removal is due, and returns their IDs.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.log_unavailable {
            return Vec::new();
        }
        let is_due = |entry: &TableEntry| entry.remove_at.is_some_and(|due_at| due_at <= now);
        let due = self.entries.iter().filter(|entry| is_due(entry));
        let removed = due.map(|entry| entry.endpoint.id.clone()).collect();
        self.entries.retain(|entry| !is_due(entry));
        removed
    }

    /// Looks up an endpoint by ID.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<ListedEndpoint>> {
        let index = self.search(id).ok()?;
        Some(&self.entries[index].endpoint)
    }

    /// Endpoints of a service that accept new work.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Arc<ListedEndpoint>> + 'a {
        self.entries
            .iter()
            .map(|entry| &entry.endpoint)
            .filter(move |endpoint| &*endpoint.service == service && !endpoint.draining)
    }

    /// Endpoints of all services that accept new work.
    #[must_use]
    pub fn all_serving(&self) -> Vec<Arc<ListedEndpoint>> {
        let endpoints = self.entries.iter().map(|entry| entry.endpoint.clone());
        endpoints.filter(|endpoint| !endpoint.draining).collect()
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

    /// When a removal takes effect; `None` for immediately.
    fn removal_time(&self, now: Instant) -> Option<Instant> {
        if self.log_unavailable {
            return Some(now + RELIST_GRACE_PERIOD);
        }
        let until = self.available_since? + RELIST_GRACE_PERIOD;
        (now < until).then_some(until)
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.endpoint.id).cmp(id))
    }
}
