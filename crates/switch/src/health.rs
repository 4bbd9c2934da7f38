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
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is avoided.
const AVOID_LONGEST: Duration = Duration::from_secs(4);
/// Failed answers to batch items, one behind the other, that speak against the endpoint: one alone may be the
/// item's fault.
const BATCH_FAILURES: u32 = 2;

/// How requests of this host ended at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    failed_answers: u32,
    failed_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

impl EndpointHealth {
    /// Notes that the endpoint could not be reached or broke off. Returns for how long it is avoided.
    pub fn record_break(&mut self, now: Instant) -> Duration {
        let time = (AVOID_FIRST * 2_u32.pow(self.failures.min(6))).min(AVOID_LONGEST);
        self.failures += 1;
        self.failed_at = Some(now);
        self.avoid_until = Some(now + time);
        time
    }

    /// Notes that the endpoint answered with a failure. Returns for how long it is avoided, if that tells
    /// against it.
    pub fn record_failure_response(
        &mut self,
        class: RequestClass,
        now: Instant,
    ) -> Option<Duration> {
        self.failed_answers += 1;
        self.failed_at = Some(now);
        let counts = class == RequestClass::Online || self.failed_answers >= BATCH_FAILURES;
        counts.then(|| self.record_break(now))
    }

    /// Notes that a request that began at `begun` was answered well. One that began before the last failure
    /// says nothing of the time since.
    pub fn record_success(&mut self, begun: Instant) {
        if self.failed_at.is_none_or(|failed_at| begun >= failed_at) {
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
        self.failed_answers > 0 && self.is_avoided(now)
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
