//! What the speeds of endpoints mean for waits at them.

use super::LoadView;
use crate::endpoint::ListedEndpoint;
use crate::report::EndpointKey;
use crate::speed::{SpeedSample, SpeedTable};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl LoadView {
    /// Records what an answer tells of the speed of its endpoint.
    pub fn record_speed(&mut self, sample: SpeedSample, now: Instant) {
        self.speeds.record(sample, now);
    }

    /// Speeds of the endpoints.
    #[must_use]
    pub fn speeds(&self) -> &SpeedTable {
        &self.speeds
    }

    /// Mean time for an event over `endpoints`, in microseconds; `None` if it is not known.
    pub(crate) fn usual_event(
        &self,
        endpoints: &[&Arc<ListedEndpoint>],
        now: Instant,
    ) -> Option<f64> {
        let keys = endpoints
            .iter()
            .map(|endpoint| EndpointKey::of(&endpoint.id));
        self.speeds.usual_event(keys, now)
    }

    /// Records that a coordinator takes requests at an endpoint to be overdue after `limit`.
    pub fn set_overdue_after(&mut self, endpoint: EndpointKey, limit: Duration) {
        self.entry(endpoint).told_overdue_after = Some(limit);
    }

    /// Time without a first byte after which a request at an endpoint must be waiting for a slot; `None` if nothing was measured yet.
    #[must_use]
    pub fn overdue_after(&self, endpoint: EndpointKey, now: Instant) -> Option<Duration> {
        let told = self.search(endpoint).ok();
        let told = told.and_then(|index| self.entries[index].1.told_overdue_after);
        // Its coordinator knows the endpoint by the answers of all hosts.
        told.or_else(|| {
            let usual = self.response_times.overdue_after()?;
            let longest = self.speeds.longest_first_byte(endpoint, now);
            Some(longest.map_or(usual, |longest| longest.max(usual)))
        })
    }
}
