//! A planned stop: which requests a stopping host still takes.
//!
//! A host that stops is no longer named to callers, but callers keep its address for some seconds, and longer if they cannot obtain another
//! one. It takes a request if that ends within the grace period by its deadline. Until callers have had time to learn of the stop, it also
//! takes requests with a later deadline, if answers lately took no longer than what is left.
//!
//! Afterwards, such a request is rejected at once if another host is ready, or if it may run only once: its endpoint may fall silent, and the
//! end of the process would then leave its caller with a failure. Otherwise nobody else can serve it, so it is taken by the same
//! expectation, which depends on the size of the answer that it asks for. The caller gets the answer only once it is complete, and is told to
//! repeat the request if it is not complete in time. Such a host also goes on with its batch items and waits for further callers, instead of
//! handing over and ending as soon as it is idle.

use crate::answer_times::AnswerSize;
use crate::batch;
use crate::node::{SwitchNode, SwitchState, millis};
use crate::overload::MAX_RETRY_FRACTION;
use crate::route::ServiceRoute;
use http::HeaderMap;
use slog::info;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Time before the end of the grace period by which requests end. Those without a response get their final one then.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of the grace period at which the process ends, whatever is still in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Time in which callers learn that a host stops: they look addresses up again after two seconds.
const NOTICE_TIME: Duration = Duration::from_millis(2500);
/// Time before the end of a stop at which items are handed over, if no other host could take them before.
const HAND_OVER_TIME: Duration = Duration::from_secs(1);
/// Time without a request of a caller after which a host that is alone waits for no further ones. Callers read results twice a second.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Interval between checks whether a stop goes on.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum retry delay while no other host is ready. A host that stops is idle, and replaced, a few seconds after the signal.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay from which on a host counts as having run late.
const MAX_RUN_DELAY: Duration = Duration::from_millis(100);
/// Time in which a host that ran late handles the signals that have come meanwhile.
const SIGNAL_TIME: Duration = Duration::from_millis(50);
/// Longest time that a request is expected to take, in relation to the longest answer of its size lately.
const EXPECTED_FACTOR: f64 = 1.5;
/// Time for which a sound endpoint may fall silent within an answer, beyond what answers take.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// How the answer to a request is passed on to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerDelivery {
    /// As it arrives.
    #[default]
    Streamed,
    /// Once it is complete, since this host may end before the answer does.
    Whole,
}

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

    /// When callers have had time to learn of the stop.
    fn notice_end(&self) -> Instant {
        self.started + NOTICE_TIME
    }

    /// How a request is answered that ends at `deadline` at the latest, if answers of its size took up to `longest` lately; `None` if it is
    /// not taken. `is_last_resort` tells whether no other host is ready, and the request may be repeated.
    ///
    /// ```
    /// use fulmarswitch_switch::stop::{AnswerDelivery, StopPlan};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let seconds = Duration::from_secs;
    /// let plan = StopPlan::new(now, now, seconds(8));
    /// let take = |at, timeout, is_last_resort| {
    ///     plan.take(now + seconds(at + timeout), seconds(1), is_last_resort, now + seconds(at))
    /// };
    /// assert_eq!(take(1, 60, false), Some(AnswerDelivery::Streamed));
    /// assert_eq!(take(3, 4, false), Some(AnswerDelivery::Streamed));
    /// assert_eq!(take(3, 5, false), None);
    /// assert_eq!(take(4, 5, true), Some(AnswerDelivery::Whole));
    /// assert_eq!(take(5, 5, true), None);
    /// // Shorter than the margin, so that the stop has no time for requests.
    /// let short = StopPlan::new(now, now, Duration::from_millis(500));
    /// assert_eq!(short.take(now + seconds(5), Duration::ZERO, true, now), None);
    /// ```
    #[must_use]
    pub fn take(
        &self,
        deadline: Instant,
        longest: Duration,
        is_last_resort: bool,
        now: Instant,
    ) -> Option<AnswerDelivery> {
        if deadline <= self.end {
            return Some(AnswerDelivery::Streamed);
        }
        if now < self.notice_end() && self.is_expected_to_end(longest, now) {
            return Some(AnswerDelivery::Streamed);
        }
        (is_last_resort && self.leaves_time_for(longest, now)).then_some(AnswerDelivery::Whole)
    }

    /// Whether there is time for a request and a silence of its endpoint.
    fn leaves_time_for(&self, longest: Duration, now: Instant) -> bool {
        self.is_expected_to_end(longest, now + SILENCE_TIME)
    }

    /// Whether a request that comes at `time` ends before the host does if it takes little longer than `longest`.
    fn is_expected_to_end(&self, longest: Duration, time: Instant) -> bool {
        time < self.end && time + longest.mul_f64(EXPECTED_FACTOR) <= self.end
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
        self.serve_alone(&plan).await;
        self.lock().hands_items_over = true;
        // Items that are not handed over in time continue from their last checkpoint.
        let _ = timeout_at(plan.end(), batch::hand_over(self)).await;
        self.wait_idle(plan.end()).await;
    }

    /// Goes on with the items in progress, and waits for further callers, while no other host could take either over. Ends once there are
    /// no callers any more, nothing is left to do for them, or another host is ready. Hosts that are stopped together still take each other
    /// for ready, so that they do not wait: their successors serve callers better than they could.
    async fn serve_alone(&self, plan: &StopPlan) {
        let hand_over_at = plan.end().checked_sub(HAND_OVER_TIME);
        loop {
            let now = Instant::now();
            let is_due = hand_over_at.is_none_or(|due| now >= due);
            if is_due || !self.has_callers(now) || !self.is_needed(plan, now) {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether callers of a host that is alone are expected to come again.
    fn has_callers(&self, now: Instant) -> bool {
        let called_at = self.lock().called_at;
        called_at.is_some_and(|called_at| now < called_at + QUIET_TIME) || self.has_requests()
    }

    /// Whether this host has items or takes requests that no other host could take over. If not, its successor serves callers the sooner
    /// the sooner it ends.
    fn is_needed(&self, plan: &StopPlan, now: Instant) -> bool {
        let state = self.lock();
        let has_items = !state.own_claims(1).is_empty();
        let takes_requests = now < plan.notice_end() || self.is_last_resort(&state, now);
        (has_items || takes_requests) && !state.members.others_are_ready(now)
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
            sleep(CHECK_INTERVAL).await;
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

    /// Checks how this host answers a request on this route, with these headers, that ends at `deadline` at the latest.
    ///
    /// # Errors
    /// Returns the delay after which the caller should retry if the request is not taken, since this host stops. Another host that is ready
    /// can serve it at once.
    pub fn check_stop(
        &self,
        request: &str,
        route: &ServiceRoute,
        headers: &HeaderMap,
        deadline: Instant,
    ) -> Result<AnswerDelivery, Duration> {
        let Some(plan) = *self.stop_plan.borrow() else {
            return Ok(AnswerDelivery::Streamed);
        };
        let now = Instant::now();
        let size = self.deps.client.answer_size(headers);
        let (delivery, has_others) = {
            let state = self.lock();
            let has_others = state.members.others_are_ready(now);
            let longest = state.answer_times.longest(size, now).unwrap_or_default();
            let is_last_resort = !has_others && route.is_idempotent();
            let delivery = plan.take(deadline, longest, is_last_resort, now);
            (delivery, has_others)
        };
        if let Some(delivery) = delivery {
            return Ok(delivery);
        }
        let left = deadline.saturating_duration_since(now);
        info!(self.deps.logger, "request not routed"; "request" => request,
            "cause" => "this host stops before the request ends", "left_ms" => millis(left),
            "has_others" => has_others);
        Err(if has_others {
            Duration::ZERO
        } else {
            left.mul_f64(MAX_RETRY_FRACTION).min(MAX_RETRY_DELAY)
        })
    }

    /// Whether this host stops and takes requests that may be repeated whatever their deadline, at least the smallest ones, since no other
    /// host is ready.
    pub(crate) fn is_last_resort(&self, state: &SwitchState, now: Instant) -> bool {
        let plan = *self.stop_plan.borrow();
        let has_others = state.members.others_are_ready(now);
        let smallest = Some(AnswerSize::default());
        let longest = state
            .answer_times
            .longest(smallest, now)
            .unwrap_or_default();
        !has_others && plan.is_some_and(|plan| plan.leaves_time_for(longest, now))
    }

    fn has_requests(&self) -> bool {
        let state = self.lock();
        state.online_in_flight > 0 || state.open_requests > 0
    }
}
