//! The load of an endpoint as seen by one chooser.
//!
//! The gate of an endpoint knows its load exactly and says so with each admission and refusal. Between two
//! notes a chooser counts what it has sent itself, and an old note counts for less and less, so that an
//! endpoint that was once busy is tried again.

use std::time::Duration;

/// Age at which a note counts for half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Limit of an endpoint that no note has told of.
const DEFAULT_LIMIT: u32 = 64;

/// Requests that an endpoint holds, and may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadShare {
    /// Requests that wait or run.
    pub held: u32,
    /// Requests that the endpoint may hold within its promises.
    pub limit: u32,
}

impl LoadShare {
    /// Returns the share of `whole` that the load makes up; more than `whole` when requests wait.
    ///
    /// ```
    /// use fulmarswitch_decide::load::LoadShare;
    /// assert_eq!(LoadShare { held: 5, limit: 10 }.scaled_to(100), 50);
    /// ```
    #[must_use]
    pub fn scaled_to(self, whole: u64) -> u64 {
        whole * u64::from(self.held) / u64::from(self.limit.max(1))
    }
}

/// The load of one endpoint, from its gate's notes and the chooser's own requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Own requests that have not ended.
    in_flight: u32,
    /// Own requests sent after the newest note that have not ended.
    sent_since_report: u32,
    report: Option<(Duration, LoadShare)>,
}

impl EndpointLoad {
    /// Counts a request sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Counts the end of a request sent.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_since_report = self.sent_since_report.min(self.in_flight);
    }

    /// Takes the gate's note.
    pub fn record_report(&mut self, now: Duration, share: LoadShare) {
        self.report = Some((now, share));
        self.sent_since_report = 0;
    }

    /// Returns the load as far as known.
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
