//! Estimates how long an overload lasts and how many callers return after it, which determines when rejected callers
//! should retry.

use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the time left that callers accept as a retry delay; they honour up to a third.
pub(crate) const MAX_RETRY_FRACTION: f64 = 0.3;
/// Time without a rejection after which an overload is over.
const QUIET_PERIOD: Duration = Duration::from_millis(800);
/// Assumed duration of an overload before one has been observed.
const INITIAL_MEAN_DURATION: Duration = Duration::from_secs(1);
/// Weight of the latest overload in the moving average.
const DURATION_WEIGHT: f64 = 0.3;
/// Expected remaining time of an overload that has outlasted the mean, as a fraction of the time that it has lasted.
const LONG_OVERLOAD_FRACTION: f64 = 0.5;
/// Minimum range over which retries are spread, so that callers do not all return at the same time.
const MIN_SPREAD: Duration = Duration::from_millis(400);

/// A rejected request.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Time that the request would have waited for a slot.
    pub wait: Duration,
    /// Maximum delay that the caller honours.
    pub limit: Duration,
    /// Mean time in which the endpoints serve one caller of this host.
    pub service_interval: Duration,
}

/// Tracks the overloads of a host.
#[derive(Clone, Debug)]
pub struct OverloadTracker {
    /// Times of the first and the last rejection in the current overload, or in the last one.
    current: Option<(Instant, Instant)>,
    mean_duration: Duration,
    /// Number of rejected callers that have yet to return, estimated.
    returning: f64,
}

impl Default for OverloadTracker {
    fn default() -> Self {
        Self {
            current: None,
            mean_duration: INITIAL_MEAN_DURATION,
            returning: 0.0,
        }
    }
}

impl OverloadTracker {
    /// Records a rejection at `now`, and returns the retry-after value: the expected remaining time of the overload, and
    /// the time in which the endpoints serve the callers that return before this one. If that exceeds the limit, the
    /// caller returns at any time up to it. `draw`, between 0 and 1, spreads the callers of different hosts.
    ///
    /// ```
    /// use fulmarswitch_switch::overload::{OverloadTracker, Rejection};
    /// use std::time::Duration;
    /// let mut tracker = OverloadTracker::default();
    /// let rejection = Rejection {
    ///     wait: Duration::from_millis(250),
    ///     limit: Duration::from_millis(1500),
    ///     service_interval: Duration::from_millis(100),
    /// };
    /// let retry_after = tracker.record_rejection(rejection, tokio::time::Instant::now(), 0.0);
    /// assert_eq!(retry_after, Duration::from_millis(1100));
    /// ```
    pub fn record_rejection(&mut self, rejection: Rejection, now: Instant, draw: f64) -> Duration {
        let Rejection {
            wait,
            limit,
            service_interval,
        } = rejection;
        let started = match self.current {
            Some((started, last)) if now.duration_since(last) <= QUIET_PERIOD => started,
            Some((started, last)) => {
                self.update_mean(last.duration_since(started));
                now
            }
            None => now,
        };
        let since_last = self.current.map(|(_, last)| now.duration_since(last));
        // A caller returns within `limit`, so the number of those that have yet to return decays over that time.
        let returned =
            since_last.unwrap_or_default().as_secs_f64() / limit.as_secs_f64().max(0.001);
        self.returning = self.returning * (-returned).exp() + 1.0;
        self.current = Some((started, now));
        let earliest = self.remaining(now.duration_since(started)).max(wait);
        let served = earliest + service_interval.mul_f64(self.returning);
        let retry_after = if served + MIN_SPREAD <= limit {
            served + MIN_SPREAD.mul_f64(draw)
        } else {
            let spread = limit.saturating_sub(earliest).max(MIN_SPREAD);
            earliest + spread.mul_f64(draw)
        };
        retry_after.min(limit)
    }

    /// Expected remaining time of an overload that has lasted for `elapsed`.
    fn remaining(&self, elapsed: Duration) -> Duration {
        if elapsed < self.mean_duration {
            self.mean_duration.saturating_sub(elapsed)
        } else {
            elapsed.mul_f64(LONG_OVERLOAD_FRACTION)
        }
    }

    fn update_mean(&mut self, duration: Duration) {
        let mean = self.mean_duration.as_secs_f64();
        let updated = mean + (duration.as_secs_f64() - mean) * DURATION_WEIGHT;
        self.mean_duration = Duration::from_secs_f64(updated);
    }
}
