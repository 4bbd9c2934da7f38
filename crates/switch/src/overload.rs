//! Estimates how long an overload lasts, which determines when rejected callers should retry.

use std::time::Duration;
use tokio::time::Instant;

/// Time without a rejection after which an overload is over.
const QUIET_PERIOD: Duration = Duration::from_millis(800);
/// Assumed duration of an overload before one has been observed.
const INITIAL_MEAN_DURATION: Duration = Duration::from_secs(1);
/// Weight of the latest overload in the moving average.
const DURATION_WEIGHT: f64 = 0.3;
/// Upper bound of retry-after values. Callers honour up to a third of their time limit of 5 s.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Range over which retries are spread, so that callers do not all return at the same time.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(400);

/// Tracks the overloads of a host.
#[derive(Clone, Debug)]
pub struct OverloadTracker {
    /// Times of the first and the last rejection in the current overload, or in the last one.
    current: Option<(Instant, Instant)>,
    mean_duration: Duration,
}

impl Default for OverloadTracker {
    fn default() -> Self {
        Self {
            current: None,
            mean_duration: INITIAL_MEAN_DURATION,
        }
    }
}

impl OverloadTracker {
    /// Records the rejection at `now` of a request that would have waited `wait`, and returns the retry-after value:
    /// the expected remaining time of the overload, spread by `draw` between 0 and 1.
    ///
    /// ```
    /// use fulmarswitch_switch::overload::OverloadTracker;
    /// use std::time::Duration;
    /// let mut tracker = OverloadTracker::default();
    /// let now = tokio::time::Instant::now();
    /// let retry_after = tracker.record_rejection(Duration::from_millis(250), now, 0.0);
    /// assert_eq!(retry_after, Duration::from_secs(1));
    /// ```
    pub fn record_rejection(&mut self, wait: Duration, now: Instant, draw: f64) -> Duration {
        let started = match self.current {
            Some((started, last)) if now.duration_since(last) <= QUIET_PERIOD => started,
            Some((started, last)) => {
                self.update_mean(last.duration_since(started));
                now
            }
            None => now,
        };
        self.current = Some((started, now));
        let remaining = self
            .mean_duration
            .saturating_sub(now.duration_since(started));
        let retry_after = remaining.max(wait) + RETRY_AFTER_SPREAD.mul_f64(draw);
        retry_after.min(MAX_RETRY_AFTER)
    }

    fn update_mean(&mut self, duration: Duration) {
        let mean = self.mean_duration.as_secs_f64();
        let updated = mean + (duration.as_secs_f64() - mean) * DURATION_WEIGHT;
        self.mean_duration = Duration::from_secs_f64(updated);
    }
}
