//! Hosts that have lately given no answer.

use crate::context::lock;
use fulmarswitch_records::{HostIdentity, SortedIndex};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts that gave no answer, each for a fixed time.
#[derive(Debug)]
pub struct UnresponsiveHosts {
    time: Duration,
    since: Mutex<SortedIndex<HostIdentity, Instant>>,
}

impl UnresponsiveHosts {
    /// Creates a table in which a host counts as silent for `time`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let silent = fulmarswitch::unresponsive::UnresponsiveHosts::new(Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn new(time: Duration) -> Self {
        Self {
            time,
            since: Mutex::default(),
        }
    }

    /// Notes that a host gave no answer in time.
    pub fn note(&self, host: &HostIdentity) {
        lock(&self.since).insert(host.clone(), Instant::now());
    }

    /// Tells whether a host gave no answer lately.
    #[must_use]
    pub fn contains(&self, host: &HostIdentity) -> bool {
        let mut since = lock(&self.since);
        since.retain(|_, since| since.elapsed() < self.time);
        since.contains(host)
    }
}
