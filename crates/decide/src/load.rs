//! Estimates the load of an endpoint at one load balancer.
//!
//! The gate of an endpoint knows its exact load and reports it with each admission and refusal.
//! Between two reports the load balancer counts the requests that it sent itself. Old reports
//! decay, so that an endpoint that was once busy is tried again.

use std::time::Duration;

/// Time in which the weight of a report halves.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Limit that is assumed for an endpoint without a report, in requests.
const DEFAULT_LIMIT: u32 = 64;

/// Number of requests at an endpoint and its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadShare {
    /// Requests that are queued or running.
    pub held: u32,
    /// Requests that the endpoint can hold within its latency targets.
    pub limit: u32,
}

impl LoadShare {
    /// Returns `held` as a fraction of the limit, scaled so that a full endpoint gives `scale`. The
    /// result exceeds `scale` when requests are queued.
    ///
    /// ```
    /// use fulmarswitch_decide::load::LoadShare;
    /// assert_eq!(LoadShare { held: 5, limit: 10 }.scaled_to(100), 50);
    /// ```
    #[must_use]
    pub fn scaled_to(self, scale: u64) -> u64 {
        scale * u64::from(self.held) / u64::from(self.limit.max(1))
    }
}

/// Estimated load of one endpoint, from the reports of its gate and the requests sent by this load
/// balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests sent from here that have not ended.
    in_flight: u32,
    /// Requests sent from here since the newest report that have not ended.
    sent_since_report: u32,
    report: Option<(Duration, LoadShare)>,
}

impl EndpointLoad {
    /// Records that a request was sent to the endpoint.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Records the end of a request sent to the endpoint.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_since_report = self.sent_since_report.min(self.in_flight);
    }

    /// Records the load that the gate reported.
    pub fn record_report(&mut self, now: Duration, share: LoadShare) {
        self.report = Some((now, share));
        self.sent_since_report = 0;
    }

    /// Returns the estimated load at `now`.
    ///
    /// ```
    /// use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
    /// use std::time::Duration;
    /// let mut load = EndpointLoad::default();
    /// load.record_report(Duration::ZERO, LoadShare { held: 8, limit: 10 });
    /// load.record_sent();
    /// assert_eq!(load.estimate(Duration::ZERO).held, 9);
    /// assert_eq!(load.estimate(Duration::from_secs(1)).held, 3);
    /// ```
    #[must_use]
    pub fn estimate(&self, now: Duration) -> LoadShare {
        let Some((reported_at, share)) = self.report else {
            return LoadShare {
                held: self.in_flight,
                limit: DEFAULT_LIMIT,
            };
        };
        let age = now.saturating_sub(reported_at).as_millis();
        let halvings = u32::try_from(age / REPORT_HALF_LIFE.as_millis()).unwrap_or(u32::MAX);
        let reported = share.held.checked_shr(halvings).unwrap_or(0);
        LoadShare {
            held: self.in_flight.max(reported + self.sent_since_report),
            limit: share.limit.max(1),
        }
    }
}
