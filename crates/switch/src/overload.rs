//! How long overloads last, and when a refused caller should come back.

use std::time::Duration;
use tokio::time::Instant;

/// Time without a refusal after which an overload is over.
const QUIET_PERIOD: Duration = Duration::from_millis(800);
/// Length of an overload before one has been seen.
const INITIAL_MEAN_DURATION: Duration = Duration::from_secs(1);
/// Weight of the newest overload in the mean length.
const DURATION_WEIGHT: f64 = 0.3;
/// Longest pause named to callers: they honour a third of the five seconds that they have.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Span over which the return of callers is spread, so that they do not come back together.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(400);

/// Follows the overloads of a host.
#[derive(Clone, Debug)]
pub struct OverloadTracker {
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
    /// Notes a refusal at `now` of a request that would have waited `wait`, and returns when the caller should come
    /// back: when the overload is expected to be over, spread by `draw` between 0 and 1.
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
