//! A planned stop: which requests a stopping host still takes.
//!
//! A host that stops is no longer named to callers, but callers keep its address for some seconds, and longer if they cannot obtain another
//! one. It takes a request if that ends within the grace period by its deadline. Most requests take a fraction of the time until their
//! deadline, so others are taken as well if answers lately took no longer than what is left: while callers have not had time to learn of
//! the stop, and as long as no other host can serve them. Everything else is rejected at once, so that nothing is cut off.

use std::time::Duration;
use tokio::time::Instant;

/// Time before the end of the grace period at which a stopping host ends the requests in progress. Their answers are written in
/// what is left.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time in which callers learn that a host stops: they look addresses up again after two seconds.
const NOTICE_TIME: Duration = Duration::from_millis(2500);
/// Time for which answers are remembered, at least.
const ANSWER_PERIOD: Duration = Duration::from_secs(30);
/// Longest time that a request is expected to take, in relation to the longest answer lately.
const EXPECTED_FACTOR: f64 = 1.5;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    started: Instant,
    end: Instant,
}

impl StopPlan {
    /// A stop that began at `started`.
    #[must_use]
    pub fn new(started: Instant, grace: Duration) -> Self {
        let end = started + grace.saturating_sub(STOP_MARGIN);
        Self { started, end }
    }

    /// When the requests in progress end.
    #[must_use]
    pub fn end(&self) -> Instant {
        self.end
    }

    /// Whether a request is taken that ends at `deadline` at the latest. `has_others` tells whether another host can serve it.
    ///
    /// ```
    /// use fulmarswitch_switch::stop::{AnswerTimes, StopPlan};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let seconds = Duration::from_secs;
    /// let plan = StopPlan::new(now, seconds(8));
    /// let mut answers = AnswerTimes::default();
    /// answers.record(seconds(1), now);
    /// let takes = |at, has_others| plan.takes(now + seconds(at + 5), &answers, has_others, now + seconds(at));
    /// assert!(takes(2, true));
    /// assert!(!takes(3, true) && takes(3, false));
    /// assert!(!takes(6, false));
    /// ```
    #[must_use]
    pub fn takes(
        &self,
        deadline: Instant,
        answers: &AnswerTimes,
        has_others: bool,
        now: Instant,
    ) -> bool {
        if deadline <= self.end {
            return true;
        }
        let is_unannounced = now < self.started + NOTICE_TIME;
        if !is_unannounced && has_others {
            return false;
        }
        match answers.longest(now) {
            Some(longest) => now + longest.mul_f64(EXPECTED_FACTOR) <= self.end,
            None => is_unannounced,
        }
    }
}

/// How long the answers to callers took lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// Start of the period and the longest answer in it; `None` before the first answer.
    current: Option<(Instant, Duration)>,
    /// Longest answer of the period before.
    previous: Duration,
}

impl AnswerTimes {
    /// Records a complete answer that took `time`.
    pub fn record(&mut self, time: Duration, now: Instant) {
        match &mut self.current {
            Some((since, longest)) if now < *since + ANSWER_PERIOD => {
                *longest = time.max(*longest);
            }
            current => {
                self.previous = current.map_or(Duration::ZERO, |(_, longest)| longest);
                *current = Some((now, time));
            }
        }
    }

    /// The longest answer of the last one or two periods; `None` if there was none.
    #[must_use]
    pub fn longest(&self, now: Instant) -> Option<Duration> {
        let (since, longest) = self.current?;
        let is_recent = now < since + ANSWER_PERIOD * 2;
        is_recent.then(|| longest.max(self.previous))
    }
}
