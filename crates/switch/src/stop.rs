//! A planned stop: which requests a stopping host still takes.
//!
//! A host that stops is no longer named to callers, but callers keep its address for some seconds, and longer if they cannot obtain another
//! one. It takes a request if that ends within the grace period by its deadline. Until callers have had time to learn of the stop, it also
//! takes requests with a later deadline, if answers lately took no longer than what is left. Everything else is rejected at once, also while
//! no other host is ready: how long an answer takes is only an expectation, since its endpoint may fall silent, and the end of the process
//! would cut it off.

use crate::batch;
use crate::node::{SwitchNode, millis};
use crate::overload::MAX_RETRY_FRACTION;
use slog::info;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time before the end of the grace period by which requests end. Those without a response get their final one then.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of the grace period at which the process ends, whatever is still in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Time in which callers learn that a host stops: they look addresses up again after two seconds.
const NOTICE_TIME: Duration = Duration::from_millis(2500);
/// Maximum retry delay while no other host is ready. A host that stops is idle, and replaced, a few seconds after the signal.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay from which on a host counts as having run late.
const MAX_RUN_DELAY: Duration = Duration::from_millis(100);
/// Time in which a host that ran late handles the signals that have come meanwhile.
const SIGNAL_TIME: Duration = Duration::from_millis(50);
/// Time for which answers are remembered, at least.
const ANSWER_PERIOD: Duration = Duration::from_secs(30);
/// Longest time that a request is expected to take, in relation to the longest answer lately.
const EXPECTED_FACTOR: f64 = 1.5;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    started: Instant,
    end: Instant,
    exit: Instant,
}

impl StopPlan {
    /// A stop whose signal was handled at `handled`, and may have been sent at `started`. The process goes on until the grace period that
    /// began when the signal was handled is nearly over: if it is killed before, that cuts off no more than its exit would have.
    #[must_use]
    pub fn new(started: Instant, handled: Instant, grace: Duration) -> Self {
        Self {
            started,
            end: started + grace.saturating_sub(STOP_MARGIN),
            exit: handled + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// When requests without a response get their final one.
    #[must_use]
    pub fn end(&self) -> Instant {
        self.end
    }

    /// When the process ends. Answers that have begun go on until then.
    #[must_use]
    pub fn exit(&self) -> Instant {
        self.exit
    }

    /// Whether a request is taken that ends at `deadline` at the latest.
    ///
    /// ```
    /// use fulmarswitch_switch::stop::{AnswerTimes, StopPlan};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let seconds = Duration::from_secs;
    /// let plan = StopPlan::new(now, now, seconds(8));
    /// let mut answers = AnswerTimes::default();
    /// answers.record(seconds(1), now);
    /// let takes = |at, timeout| plan.takes(now + seconds(at + timeout), &answers, now + seconds(at));
    /// assert!(takes(1, 60));
    /// assert!(takes(3, 4) && !takes(3, 5));
    /// assert!(!takes(6, 2));
    /// // Shorter than the margin, so that the stop has no time for requests.
    /// let short = StopPlan::new(now, now, Duration::from_millis(500));
    /// assert!(!short.takes(now + seconds(5), &AnswerTimes::default(), now));
    /// ```
    #[must_use]
    pub fn takes(&self, deadline: Instant, answers: &AnswerTimes, now: Instant) -> bool {
        if deadline <= self.end {
            return true;
        }
        let is_expected_to_end =
            |longest: Duration| now + longest.mul_f64(EXPECTED_FACTOR) <= self.end;
        let taken_until = self.end.min(self.started + NOTICE_TIME);
        now < taken_until && answers.longest(now).is_none_or(is_expected_to_end)
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

/// When this host last ran later than it was due. A signal that was sent meanwhile is handled only afterwards, while the platform counts
/// the grace period from when it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunDelay {
    /// When the host is due to run next; `None` before the first time.
    due: Option<Instant>,
    /// The last delay: when the host was due, and when it ran.
    last: Option<(Instant, Instant)>,
}

impl RunDelay {
    /// Records that the host runs at `now`, and when it is due to run again at the latest.
    pub fn record_run(&mut self, now: Instant, next_due: Instant) {
        if let Some(due) = self.due.filter(|due| now > *due + MAX_RUN_DELAY) {
            self.last = Some((due, now));
        }
        self.due = Some(next_due);
    }

    /// When a signal that is handled at `now` was sent at the earliest, as far as the time for which callers do not know of the stop goes.
    ///
    /// ```
    /// use fulmarswitch_switch::stop::RunDelay;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let started = Instant::now();
    /// let at = |millis| started + Duration::from_millis(millis);
    /// let mut delay = RunDelay::default();
    /// delay.record_run(at(0), at(100));
    /// assert_eq!(delay.earliest_signal(at(90)), at(90));
    /// assert_eq!(delay.earliest_signal(at(900)), at(100));
    /// delay.record_run(at(900), at(1000));
    /// assert_eq!(delay.earliest_signal(at(901)), at(100));
    /// ```
    #[must_use]
    pub fn earliest_signal(&self, now: Instant) -> Instant {
        let overdue = self.due.filter(|due| now > *due + MAX_RUN_DELAY);
        let just_ran = self.last.filter(|(_, ran)| now <= *ran + SIGNAL_TIME);
        let due = overdue.or(just_ran.map(|(due, _)| due)).unwrap_or(now);
        due.max(now.checked_sub(NOTICE_TIME).unwrap_or(due))
    }
}

impl SwitchNode {
    /// Shuts down: takes only requests that end in time, hands batch items over and waits until the requests of callers have
    /// completed, or until those without a response get their final one. The signal was handled at `handled`.
    pub async fn stop(self: &Arc<Self>, handled: Instant) {
        let (started, online, open) = {
            let mut state = self.lock();
            state.stopping = true;
            let started = state.run_delay.earliest_signal(handled);
            (started, state.online_in_flight, state.open_requests)
        };
        let plan = StopPlan::new(started, handled, self.settings.grace);
        self.stop_plan.send_replace(Some(plan));
        let delay = handled.saturating_duration_since(started);
        info!(self.deps.logger, "stopping"; "online" => online, "open" => open, "delay_ms" => millis(delay));
        self.heartbeat_requested.notify_one();
        batch::hand_over(self).await;
        self.wait_idle(plan.end()).await;
    }

    /// Waits until no request of a caller is in progress, at most until a stopping host exits.
    pub async fn wait_exit(&self) {
        let plan = *self.stop_plan.borrow();
        if let Some(plan) = plan {
            self.wait_idle(plan.exit()).await;
        }
    }

    async fn wait_idle(&self, end: Instant) {
        while self.has_requests() && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        let (online, open) = {
            let state = self.lock();
            (state.online_in_flight, state.open_requests)
        };
        let left = millis(end.saturating_duration_since(Instant::now()));
        info!(self.deps.logger, "idle"; "left" => online, "open" => open, "time_left_ms" => left);
    }

    /// Waits until the requests without a response get their final one, as this host stops; forever if it does not stop.
    pub async fn wait_stop_end(&self) {
        let mut plans = self.stop_plan.subscribe();
        let plan = match plans.wait_for(Option::is_some).await {
            Ok(plan) => *plan,
            // The sender lives as long as the host.
            Err(_) => None,
        };
        match plan {
            Some(plan) => sleep_until(plan.end()).await,
            None => pending().await,
        }
    }

    /// Checks whether a request that ends at `deadline` at the latest is taken by this host. Returns the delay after which its caller
    /// should retry if it is not, since this host stops; `None` if it is. Another host that is ready can serve it at once.
    #[must_use]
    pub fn check_stop(&self, request: &str, deadline: Instant) -> Option<Duration> {
        let plan = (*self.stop_plan.borrow())?;
        let now = Instant::now();
        let has_others = {
            let state = self.lock();
            if plan.takes(deadline, &state.answer_times, now) {
                return None;
            }
            state.members.others_are_ready(now)
        };
        let left = deadline.saturating_duration_since(now);
        info!(self.deps.logger, "request not routed"; "request" => request,
            "cause" => "this host stops before the request ends", "left_ms" => millis(left),
            "has_others" => has_others);
        Some(if has_others {
            Duration::ZERO
        } else {
            left.mul_f64(MAX_RETRY_FRACTION).min(MAX_RETRY_DELAY)
        })
    }

    fn has_requests(&self) -> bool {
        let state = self.lock();
        state.online_in_flight > 0 || state.open_requests > 0
    }
}
