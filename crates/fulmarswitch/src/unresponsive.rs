//! Hosts that recently failed to answer.

use crate::context::lock;
use fulmarswitch_records::{HostIdentity, SortedIndex};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts that failed to answer, each remembered for a fixed time.
#[derive(Debug)]
pub struct UnresponsiveHosts {
    ttl: Duration,
    failed_at: Mutex<SortedIndex<HostIdentity, Instant>>,
}

impl UnresponsiveHosts {
    /// Creates a table in which a host counts as unresponsive for `ttl`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let unresponsive = fulmarswitch::unresponsive::UnresponsiveHosts::new(Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            failed_at: Mutex::default(),
        }
    }

    /// Records that a host failed to answer now.
    pub fn insert(&self, host: &HostIdentity) {
        lock(&self.failed_at).insert(host.clone(), Instant::now());
    }

    /// Returns whether a host failed to answer within the last `ttl`.
    #[must_use]
    pub fn contains(&self, host: &HostIdentity) -> bool {
        let mut failed_at = lock(&self.failed_at);
        failed_at.retain(|_, failed_at| failed_at.elapsed() < self.ttl);
        failed_at.contains(host)
    }
}
