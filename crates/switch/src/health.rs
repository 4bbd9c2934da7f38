//! Endpoint health: which endpoints to avoid for a while after failures.
//!
//! An endpoint that fails every request immediately looks idle, so selection by load would send it ever more requests.
//! Error responses are the same for all hosts, so hosts report them to each other; connection failures may be local
//! to one host and are not reported.

use crate::load::RequestClass;
use crate::report::EndpointKey;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an endpoint is avoided after its first failure; doubles with each further failure.
const MIN_AVOID_DURATION: Duration = Duration::from_millis(500);
/// Upper bound of the time for which an endpoint is avoided.
const MAX_AVOID_DURATION: Duration = Duration::from_secs(4);
/// Number of consecutive error responses to batch items that count against the endpoint. A single one may be caused
/// by the item.
const BATCH_FAILURE_THRESHOLD: u32 = 2;

/// Failures of this host's requests at one endpoint since the last success.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    error_responses: u32,
    last_failure: Option<Instant>,
    avoid_until: Option<Instant>,
}

impl EndpointHealth {
    /// Records that the endpoint was unreachable, stalled, or did not complete a response. Returns for how long it is
    /// avoided.
    pub fn record_connection_failure(&mut self, now: Instant) -> Duration {
        let duration =
            (MIN_AVOID_DURATION * 2_u32.pow(self.failures.min(6))).min(MAX_AVOID_DURATION);
        self.failures += 1;
        self.last_failure = Some(now);
        self.avoid_until = Some(now + duration);
        duration
    }

    /// Records an error response. Returns for how long the endpoint is avoided, or `None` if the response does not
    /// count against it.
    pub fn record_error_response(&mut self, class: RequestClass, now: Instant) -> Option<Duration> {
        self.error_responses += 1;
        self.last_failure = Some(now);
        let is_conclusive =
            class == RequestClass::Online || self.error_responses >= BATCH_FAILURE_THRESHOLD;
        // Failures of both kinds extend the same avoidance.
        is_conclusive.then(|| self.record_connection_failure(now))
    }

    /// Records the success of a request that began at `started`, which resets the failures. A request that began
    /// before the last failure is ignored, since it does not show that the endpoint has recovered.
    pub fn record_success(&mut self, started: Instant) {
        if self
            .last_failure
            .is_none_or(|last_failure| started >= last_failure)
        {
            *self = Self::default();
        }
    }

    /// Avoids the endpoint until a time, or until a request that begins from now on succeeds.
    ///
    /// ```
    /// use fulmarswitch_switch::health::EndpointHealth;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let (mut health, now) = (EndpointHealth::default(), Instant::now());
    /// health.hold_until(now + Duration::from_secs(2), now);
    /// assert!(health.is_avoided(now + Duration::from_secs(1)));
    /// assert!(!health.is_avoided(now + Duration::from_secs(2)));
    /// ```
    pub fn hold_until(&mut self, until: Instant, now: Instant) {
        self.last_failure = Some(now);
        self.avoid_until = self.avoid_until.max(Some(until));
    }

    /// Forgets the failures, unless the endpoint has answered with errors.
    pub fn forget_connection_failures(&mut self) {
        if self.error_responses == 0 {
            *self = Self::default();
        }
    }

    /// Whether a request failed after `time`, or at an unknown time if that is `None`, and none has succeeded since.
    #[must_use]
    pub fn failed_since(&self, time: Option<Instant>) -> bool {
        let failure = self.last_failure;
        failure.is_some_and(|failure| time.is_none_or(|time| failure > time))
    }

    /// Whether the endpoint is avoided at `now`.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Whether the endpoint is avoided because of error responses.
    #[must_use]
    pub fn is_failing(&self, now: Instant) -> bool {
        self.error_responses > 0 && self.is_avoided(now)
    }
}

/// Endpoints that other hosts report as failing.
#[derive(Clone, Debug, Default)]
pub struct FailingReports {
    /// Reports by host, sorted; hosts with an empty report are omitted.
    reports: Vec<(Arc<str>, Vec<EndpointKey>)>,
}

impl FailingReports {
    /// Replaces the report of a host. Returns the endpoints that no host reported until now.
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

    /// Whether any host reports the endpoint.
    #[must_use]
    pub fn contains(&self, key: EndpointKey) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|(_, keys)| keys.binary_search(&key).is_ok())
    }
    /// Hosts that report the endpoint.
    pub fn reporters(&self, key: EndpointKey) -> impl Iterator<Item = &Arc<str>> {
        let reports = self.reports.iter();
        let with_key = reports.filter(move |(_, keys)| keys.binary_search(&key).is_ok());
        with_key.map(|(host, _)| host)
    }
}
