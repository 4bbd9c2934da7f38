//! What every role of a host works with.

use crate::events::EventLog;
use crate::metrics::HostMetrics;
use crate::settings::HostSettings;
use fulmarswitch_endpoint::EndpointClient;
use fulmarswitch_peer::PeerLink;
use fulmarswitch_platform::{HostList, LogService, WeightStore};
use fulmarswitch_records::HostIdentity;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The borders of one host, and what all its roles share.
#[derive(Clone)]
pub struct HostContext {
    /// The daemon's settings.
    pub settings: Arc<HostSettings>,
    /// This run of the host.
    pub identity: HostIdentity,
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// The platform's list of hosts.
    pub list: Arc<dyn HostList>,
    /// The platform's weight store.
    pub store: Arc<dyn WeightStore>,
    /// Other hosts.
    pub link: Arc<dyn PeerLink>,
    /// Endpoints.
    pub endpoints: Arc<dyn EndpointClient>,
    /// The time line.
    pub events: EventLog,
    /// The counters.
    pub metrics: HostMetrics,
    /// Start of the process, from which the pure decisions count time.
    pub started: Instant,
}

impl HostContext {
    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Locks a mutex whose holder never leaves broken state behind.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a time in whole milliseconds, as records and messages carry it.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
