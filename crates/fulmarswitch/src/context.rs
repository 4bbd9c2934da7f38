//! The context that all roles of a host share.

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

/// Settings, identity, external interfaces and instrumentation of one host, shared by all its roles.
#[derive(Clone)]
pub struct HostContext {
    /// The daemon's settings.
    pub settings: Arc<HostSettings>,
    /// Name and incarnation of the host.
    pub identity: HostIdentity,
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// The platform's list of hosts.
    pub list: Arc<dyn HostList>,
    /// The platform's weight store.
    pub store: Arc<dyn WeightStore>,
    /// Client for messages and streams to other hosts.
    pub link: Arc<dyn PeerLink>,
    /// Client for calls to endpoints.
    pub endpoints: Arc<dyn EndpointClient>,
    /// The event timeline.
    pub events: EventLog,
    /// The counters.
    pub metrics: HostMetrics,
    /// Start of the process; the decision functions use times relative to it.
    pub started: Instant,
}

impl HostContext {
    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Locks a mutex, also if it is poisoned. Use only where a panic of a thread that holds the lock leaves the
/// data consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts a duration to whole milliseconds, as used in records and messages.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
