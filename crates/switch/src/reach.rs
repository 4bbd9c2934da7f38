//! Whether this host reaches the endpoints.
//!
//! A connection that does not come about may be the fault of the endpoint, or of this host's own links. The other endpoints tell: if none of
//! several can be reached either, this host is cut off. Whether the endpoints have ended instead is for the other hosts to say, which
//! get data from them.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of endpoints, one after the other out of reach, from which a host counts as cut off; fewer if there are no more.
const MIN_UNREACHED: usize = 5;
/// Minimum time from a check that found an endpoint in reach to the next one.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a host that could not be reached, or does not reach the endpoints, gets no request. Heartbeats tell of either soon after.
pub(crate) const HOST_AVOID_TIME: Duration = Duration::from_millis(300);
/// Age of the last data from any endpoint up to which a host reaches endpoints for certain.
const RECENT_DATA: Duration = Duration::from_millis(500);

/// What a host tells the others of its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// Whether it accepts callers and is cut off from the endpoints.
    pub is_cut_off: bool,
    /// Time since it got data from any endpoint, in milliseconds.
    pub heard_before_ms: u32,
}

impl ReachReport {
    /// Whether the host got data from an endpoint a short time before the report.
    #[must_use]
    pub fn has_recent_data(self) -> bool {
        !self.is_cut_off && u128::from(self.heard_before_ms) <= RECENT_DATA.as_millis()
    }
}

/// Whether this host reaches the endpoints, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachPhase {
    /// It does.
    Reached,
    /// A connection to one did not come about, and others are being tried.
    Checking,
    /// It does not.
    CutOff,
}

/// What this host knows of its links to the endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointReach {
    /// Endpoints to which no connection came about since the last one that did, sorted.
    unreached: Vec<Arc<str>>,
    is_cut_off: bool,
    /// Whether a check is in progress.
    is_checking: bool,
    /// When an endpoint was last found in reach.
    reached_at: Option<Instant>,
    /// Hosts that could not be reached, and until when they get no request.
    avoided_hosts: Vec<(Arc<str>, Instant)>,
    /// Whether items are being handed to other hosts.
    is_handing_over: bool,
}

impl EndpointReach {
    /// Whether this host is cut off from the endpoints, or they have all ended.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether no connection to this endpoint came about since the last one that did to any.
    #[must_use]
    pub fn is_unreached(&self, id: &str) -> bool {
        let found = self.unreached.binary_search_by(|other| (**other).cmp(id));
        found.is_ok()
    }

    /// Records that no connection to an endpoint came about, while `serving` endpoints serve. Returns whether this host counts as cut
    /// off since then.
    ///
    /// ```
    /// use fulmarswitch_switch::reach::EndpointReach;
    /// let mut reach = EndpointReach::default();
    /// for id in ["a", "b", "c", "d"] {
    ///     assert!(!reach.record_unreached(&id.into(), 12));
    /// }
    /// assert!(reach.record_unreached(&"e".into(), 12));
    /// assert!(reach.record_reached(tokio::time::Instant::now()));
    /// assert!(!reach.is_cut_off());
    /// ```
    pub fn record_unreached(&mut self, id: &Arc<str>, serving: usize) -> bool {
        if let Err(index) = self.unreached.binary_search(id) {
            self.unreached.insert(index, id.clone());
        }
        let is_newly = !self.is_cut_off && self.unreached.len() >= MIN_UNREACHED.min(serving);
        self.is_cut_off |= is_newly;
        is_newly
    }

    /// Records that a connection to an endpoint came about. Returns whether this host counted as cut off until now.
    pub fn record_reached(&mut self, now: Instant) -> bool {
        self.unreached.clear();
        self.reached_at = Some(now);
        std::mem::take(&mut self.is_cut_off)
    }

    /// Forgets endpoints that no longer serve. `serving` has the IDs of those that do.
    pub fn forget_others(&mut self, serving: &[Arc<str>]) {
        self.unreached.retain(|id| serving.contains(id));
    }

    /// Endpoints to which no connection came about since the last one that did, sorted.
    #[must_use]
    pub fn unreached(&self) -> &[Arc<str>] {
        &self.unreached
    }

    /// Whether this host reaches the endpoints, as far as it knows.
    #[must_use]
    pub fn phase(&self) -> ReachPhase {
        match (self.is_cut_off, self.is_checking) {
            (true, _) => ReachPhase::CutOff,
            (false, true) => ReachPhase::Checking,
            (false, false) => ReachPhase::Reached,
        }
    }

    /// Begins a check whether endpoints can be reached, unless one is in progress or has just found one.
    pub(crate) fn begin_check(&mut self, now: Instant) -> bool {
        let is_recent = |reached_at: Instant| now < reached_at + MIN_CHECK_INTERVAL;
        let begins = !self.is_checking && !self.reached_at.is_some_and(is_recent);
        self.is_checking |= begins;
        begins
    }

    /// Ends the check.
    pub(crate) fn end_check(&mut self) {
        self.is_checking = false;
    }

    /// Whether items are being handed to other hosts.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.is_handing_over
    }

    /// Begins or ends handing items over. Returns whether that changes anything.
    pub(crate) fn set_handing_over(&mut self, is_handing_over: bool) -> bool {
        std::mem::replace(&mut self.is_handing_over, is_handing_over) != is_handing_over
    }

    /// Gives a host that could not be reached no request for [`HOST_AVOID_TIME`].
    pub(crate) fn avoid_host(&mut self, name: &Arc<str>, now: Instant) {
        self.avoided_hosts
            .retain(|(other, until)| other != name && *until > now);
        self.avoided_hosts
            .push((name.clone(), now + HOST_AVOID_TIME));
    }

    /// Whether a host gets no request for now.
    pub(crate) fn is_host_avoided(&self, name: &str, now: Instant) -> bool {
        let mut avoided = self.avoided_hosts.iter();
        avoided.any(|(other, until)| **other == *name && *until > now)
    }
}
