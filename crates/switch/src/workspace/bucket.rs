//! Token bucket of the cap of a workspace.

use super::RequestCap;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the slack that deepens the bucket, for callers whose requests come in groups.
const SLACK_DEPTH: f64 = 0.5;
/// Part of the overrun that does.
const OVERRUN_DEPTH: f64 = 0.25;
/// Part of what may run beyond the cap in a window with which the bucket of an unknown past begins.
const BEGIN_PART: f64 = 0.25;
/// Part of it that may be granted before the hosts next in rank are told.
const UNTOLD_PART: f64 = 0.125;
/// Error of sums of tokens.
const TOLERANCE: f64 = 1e-6;

/// How many requests of a workspace may run in any window, beyond what its cap allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapBounds {
    /// Length of the window.
    pub window: Duration,
    /// Requests beyond the cap, as a part of those that it allows in a window.
    pub overrun: f64,
    /// Further requests beyond the cap.
    pub slack: f64,
}

impl Default for CapBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overrun: 0.0,
            slack: 0.0,
        }
    }
}

impl CapBounds {
    /// Requests of a workspace that may run in any window, at all hosts together.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::RequestCap;
    /// use fulmarswitch_switch::workspace::bucket::CapBounds;
    /// let bounds = CapBounds { slack: 20.0, ..CapBounds::default() };
    /// assert_eq!(bounds.max_per_window(RequestCap { per_second: 4.0, burst: 8.0 }), 48.0);
    /// ```
    #[must_use]
    pub fn max_per_window(&self, cap: RequestCap) -> f64 {
        self.capped(cap) + self.allowance(cap)
    }

    fn capped(&self, cap: RequestCap) -> f64 {
        cap.per_second * self.window.as_secs_f64() + cap.burst
    }

    /// Requests that may run in a window beyond the cap.
    fn allowance(&self, cap: RequestCap) -> f64 {
        self.capped(cap) * self.overrun + self.slack
    }
}

/// Limits of a bucket: what a share of the hosts may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimits {
    /// Tokens a second.
    pub per_second: f64,
    /// Maximum number of tokens.
    pub depth: f64,
    /// Tokens of a bucket of which nobody knows what was taken a moment ago.
    pub begin: f64,
    /// Tokens that may be taken before the hosts next in rank are told.
    pub untold: f64,
}

impl BucketLimits {
    /// Limits of the bucket of a cap, at hosts that hear the part `share` of all known hosts.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::RequestCap;
    /// use fulmarswitch_switch::workspace::bucket::{BucketLimits, CapBounds};
    /// let bounds = CapBounds { slack: 20.0, ..CapBounds::default() };
    /// let limits = BucketLimits::new(RequestCap { per_second: 4.0, burst: 8.0 }, &bounds, 0.5);
    /// assert_eq!((limits.per_second, limits.depth), (2.0, 9.0));
    /// ```
    #[must_use]
    pub fn new(cap: RequestCap, bounds: &CapBounds, share: f64) -> Self {
        let allowance = bounds.allowance(cap);
        let mut per_second = cap.per_second;
        let overrun = bounds.capped(cap) * bounds.overrun;
        let mut depth = cap.burst + bounds.slack * SLACK_DEPTH + overrun * OVERRUN_DEPTH;
        if depth < 1.0 {
            // A bucket without room for a whole token grants nothing. The one that it gets is taken from the rate.
            let window = bounds.window.as_secs_f64();
            per_second = (per_second - (1.0 - depth) / window).max(0.0);
            depth = 1.0;
        }
        Self {
            per_second: per_second * share,
            depth: depth * share,
            begin: allowance * BEGIN_PART * share,
            untold: allowance * UNTOLD_PART * share,
        }
    }

    /// Maximum number of tokens after `time` without knowledge of what was taken before.
    #[must_use]
    pub fn level_after(&self, time: Duration) -> f64 {
        (self.begin + self.per_second * time.as_secs_f64()).min(self.depth)
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket with some tokens.
    #[must_use]
    pub fn new(level: f64, now: Instant) -> Self {
        Self {
            level,
            filled_at: now,
        }
    }

    /// Adds the tokens that have come since the last call, and returns how many there are.
    pub fn fill(&mut self, limits: &BucketLimits, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + limits.per_second * time).min(limits.depth);
        self.level
    }

    /// Takes at most `count` tokens, and returns how many. A bucket without room for one grants one with the probability of its level, by
    /// `draw` between 0 and 1, so that the sum over many such buckets is right.
    pub fn take(&mut self, count: u16, limits: &BucketLimits, draw: f64, now: Instant) -> u16 {
        let level = self.fill(limits, now);
        if limits.depth < 1.0 {
            let is_granted = count > 0 && draw < level;
            self.level = level.min(0.0);
            return u16::from(is_granted);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates, also at 0"
        )]
        let taken = count.min((level + TOLERANCE) as u16);
        self.level -= f64::from(taken);
        taken
    }

    /// Adds tokens, or takes them away if `count` is negative, down to an empty bucket that owes its depth.
    pub fn add(&mut self, count: f64, limits: &BucketLimits, now: Instant) {
        let level = self.fill(limits, now) + count;
        self.level = level.clamp(-limits.depth, limits.depth);
    }

    /// Lowers the level to `level` if it is higher.
    pub fn lower(&mut self, level: f64, limits: &BucketLimits, now: Instant) {
        self.level = self.fill(limits, now).min(level);
    }

    /// Time until the bucket has a token; `None` if it never has.
    pub fn wait(&mut self, limits: &BucketLimits, now: Instant) -> Option<Duration> {
        let missing = (1.0 - self.fill(limits, now)).max(0.0);
        Duration::try_from_secs_f64(missing / limits.per_second).ok()
    }
}
