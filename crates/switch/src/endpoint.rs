//! Endpoints that services have, as the store lists them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a removal is held back after the store was unreachable: endpoints list themselves again
/// within two seconds of its return.
const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2300);

/// One listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Identity of the endpoint.
    pub id: Arc<str>,
    /// Time of its start in milliseconds since the Unix epoch, which tells two runs with one identity
    /// apart; 0 when not known.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
}

#[derive(Clone, Debug)]
struct TableEntry {
    endpoint: Arc<ListedEndpoint>,
    remove_at: Option<Instant>,
}

/// All listed endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: Vec<TableEntry>,
    available_since: Option<Instant>,
    store_unavailable: bool,
}

impl EndpointTable {
    /// Notes a listing. Returns whether something changed.
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

    /// Notes that a listing was removed. Around an outage of the store the endpoint stays in use for a
    /// while, since listings lapse in an outage though their endpoints live.
    pub fn remove(&mut self, id: &str, now: Instant) -> bool {
        let Ok(index) = self.search(id) else {
            return false;
        };
        match self.removal_time(now) {
            Some(at) => self.entries[index].remove_at = Some(at),
            None => {
                self.entries.remove(index);
            }
        }
        true
    }

    /// Takes a whole list: what is not in it counts as removed.
    pub fn replace(&mut self, endpoints: Vec<ListedEndpoint>, now: Instant) {
        let gone: Vec<Arc<str>> = self
            .entries
            .iter()
            .map(|entry| entry.endpoint.id.clone())
            .filter(|id| !endpoints.iter().any(|endpoint| endpoint.id == *id))
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
        for endpoint in endpoints {
            self.set(endpoint);
        }
    }

    /// Notes that the store does not answer.
    pub fn mark_store_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// Notes that the store answered.
    pub fn mark_store_available(&mut self, now: Instant) {
        if self.store_unavailable {
            self.store_unavailable = false;
            self.available_since = Some(now);
        }
    }

    /// Drops endpoints whose removal was held back long enough, and returns their identities.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.store_unavailable {
            return Vec::new();
        }
        let is_due = |entry: &TableEntry| entry.remove_at.is_some_and(|at| at <= now);
        let due = self.entries.iter().filter(|entry| is_due(entry));
        let gone = due.map(|entry| entry.endpoint.id.clone()).collect();
        self.entries.retain(|entry| !is_due(entry));
        gone
    }

    /// Returns an endpoint by its identity.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<ListedEndpoint>> {
        let index = self.search(id).ok()?;
        Some(&self.entries[index].endpoint)
    }

    /// Returns the endpoints of a service that take new work.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Arc<ListedEndpoint>> + 'a {
        self.entries
            .iter()
            .map(|entry| &entry.endpoint)
            .filter(move |endpoint| &*endpoint.service == service && !endpoint.draining)
    }

    /// Returns all endpoints that take new work, of any service.
    #[must_use]
    pub fn all_serving(&self) -> Vec<Arc<ListedEndpoint>> {
        let endpoints = self.entries.iter().map(|entry| entry.endpoint.clone());
        endpoints.filter(|endpoint| !endpoint.draining).collect()
    }

    /// Number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn removal_time(&self, now: Instant) -> Option<Instant> {
        if self.store_unavailable {
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
