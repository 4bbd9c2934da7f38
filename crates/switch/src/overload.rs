//! How long overloads last, and when a refused caller should come back.

use std::time::Duration;
use tokio::time::Instant;

/// Time without a refusal after which an overload is over.
const CALM_TIME: Duration = Duration::from_millis(800);
/// Length of an overload before one has been seen.
const INITIAL_LENGTH: Duration = Duration::from_secs(1);
/// Weight of the newest overload in the mean length.
const LENGTH_WEIGHT: f64 = 0.3;
/// Longest pause named to callers: they honour a third of the five seconds that they have.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);
/// Span over which the return of callers is spread, so that they do not come back together.
const SPREAD: Duration = Duration::from_millis(400);

/// Follows the overloads of a host.
#[derive(Clone, Debug)]
pub struct OverloadTracker {
    current: Option<(Instant, Instant)>,
    mean_length: Duration,
}

impl Default for OverloadTracker {
    fn default() -> Self {
        Self {
            current: None,
            mean_length: INITIAL_LENGTH,
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
    /// let pause = tracker.refuse(Duration::from_millis(250), now, 0.0);
    /// assert_eq!(pause, Duration::from_secs(1));
    /// ```
    pub fn refuse(&mut self, wait: Duration, now: Instant, draw: f64) -> Duration {
        let began = match self.current {
            Some((began, last)) if now.duration_since(last) <= CALM_TIME => began,
            Some((began, last)) => {
                self.learn(last.duration_since(began));
                now
            }
            None => now,
        };
        self.current = Some((began, now));
        let left = self.mean_length.saturating_sub(now.duration_since(began));
        let pause = left.max(wait) + SPREAD.mul_f64(draw);
        pause.min(LONGEST_PAUSE)
    }

    fn learn(&mut self, length: Duration) {
        let mean = self.mean_length.as_secs_f64();
        let moved = mean + (length.as_secs_f64() - mean) * LENGTH_WEIGHT;
        self.mean_length = Duration::from_secs_f64(moved);
    }
}
