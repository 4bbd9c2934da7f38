//! Which endpoints to leave out for a while, from how requests ended there.
//!
//! An endpoint that answers every request with a failure is quick and looks idle, so the least loaded choice
//! would send it ever more. What an endpoint answers is the same for all hosts, so they tell each other; that
//! it cannot be reached may be one host's own trouble, and is not told.

use crate::load::{EndpointKey, RequestClass};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// First time for which an endpoint that failed is avoided; doubles with each further failure.
const MIN_AVOID_DURATION: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is avoided.
const MAX_AVOID_DURATION: Duration = Duration::from_secs(4);
/// Failed answers to batch items, one behind the other, that speak against the endpoint: one alone may be the
/// item's fault.
const BATCH_FAILURE_THRESHOLD: u32 = 2;

/// How requests of this host ended at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    failed_responses: u32,
    last_failure: Option<Instant>,
    avoid_until: Option<Instant>,
}

impl EndpointHealth {
    /// Notes that the endpoint could not be reached or broke off. Returns for how long it is avoided.
    pub fn record_connection_failure(&mut self, now: Instant) -> Duration {
        let duration =
            (MIN_AVOID_DURATION * 2_u32.pow(self.failures.min(6))).min(MAX_AVOID_DURATION);
        self.failures += 1;
        self.last_failure = Some(now);
        self.avoid_until = Some(now + duration);
        duration
    }

    /// Notes that the endpoint answered with a failure. Returns for how long it is avoided, if that tells
    /// against it.
    pub fn record_failure_response(
        &mut self,
        class: RequestClass,
        now: Instant,
    ) -> Option<Duration> {
        self.failed_responses += 1;
        self.last_failure = Some(now);
        let is_conclusive =
            class == RequestClass::Online || self.failed_responses >= BATCH_FAILURE_THRESHOLD;
        is_conclusive.then(|| self.record_connection_failure(now))
    }

    /// Notes that a request that began at `started` was answered well. One that began before the last failure
    /// says nothing of the time since.
    pub fn record_success(&mut self, started: Instant) {
        if self
            .last_failure
            .is_none_or(|last_failure| started >= last_failure)
        {
            *self = Self::default();
        }
    }

    /// Whether the endpoint is left out for now.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Whether it is left out for what it answered.
    #[must_use]
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failed_responses > 0 && self.is_avoided(now)
    }
}

/// Endpoints that other hosts leave out for what they answered.
#[derive(Clone, Debug, Default)]
pub struct FailingReports {
    /// By host; hosts that name none are left out.
    reports: Vec<(Arc<str>, Vec<EndpointKey>)>,
}

impl FailingReports {
    /// Takes a host's report in place of its last one. Returns the endpoints that no host named before.
    pub fn update(&mut self, host: &Arc<str>, mut keys: Vec<EndpointKey>) -> Vec<EndpointKey> {
        keys.sort_unstable();
        let new = keys.iter().copied().filter(|key| !self.contains(*key));
        let new = new.collect();
        match self.reports.binary_search_by(|(name, _)| name.cmp(host)) {
            Ok(index) if keys.is_empty() => {
                self.reports.remove(index);
            }
            Ok(index) => self.reports[index].1 = keys,
            Err(_) if keys.is_empty() => {}
            Err(index) => self.reports.insert(index, (host.clone(), keys)),
        }
        new
    }

    /// Whether some host names the endpoint.
    #[must_use]
    pub fn contains(&self, key: EndpointKey) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|(_, keys)| keys.binary_search(&key).is_ok())
    }
}
