//! Attempts at one request: at most one beside the endpoint that has the request, while that endpoint is silent.
//!
//! A sound endpoint may be silent for a while and go on, so silence alone does not end an attempt. After
//! [`STALL_TIMEOUT`] the request is also sent to another endpoint. Whichever sends data first has the request. Two
//! endpoints must not run a request for long, so after [`OVERLAP_LIMIT`] one attempt ends: the older one if its endpoint
//! has been silent for longer than a sound one is, and otherwise the other.

use super::target::AttemptTarget;
use super::{OnlineExchange, OnlineReply, interrupted};
use crate::backend::{BodyFraming, CallError, CallOptions, EndpointResponse};
use crate::events::has_event_stream;
use crate::in_flight::InFlightGuard;
use crate::node::millis;
use futures::future::{BoxFuture, pending, select_all};
use futures::{FutureExt, StreamExt, stream};
use slog::info;
use std::time::Duration;
use tokio::time::Instant;

/// Time without data after which new requests avoid an endpoint.
const AVOID_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without an event after which an idempotent request is also sent to another endpoint. Longer than the second for
/// which sound endpoints may be silent, and under the 2 s after which callers abandon a stream.
const STALL_TIMEOUT: Duration = Duration::from_millis(1550);
/// Time without an event after which a request goes to another host, if this one is cut off from the endpoints.
const CUT_OFF_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an event after which an endpoint is taken for one in trouble.
const SOUND_SILENCE: Duration = Duration::from_millis(1900);
/// Multiple of the time after which requests are overdue, from which one that waits for its first event is taken for one
/// of an endpoint in trouble rather than of a slow service.
const OVERDUE_MULTIPLE: u32 = 2;
/// Time for which two endpoints may have a request at once. It covers the timeout of a new connection.
const OVERLAP_LIMIT: Duration = Duration::from_millis(350);
/// Interval between two searches for another endpoint during one silence.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum expected wait at another endpoint that is asked during a silence, so that it responds before callers abandon a
/// stream.
pub(super) const MAX_OTHER_WAIT: Duration = Duration::from_millis(400);
/// Delay of a step beyond which this host itself did not run, so that the silence may have been its own.
const LATE_STEP: Duration = Duration::from_millis(600);

/// Cause of the end of an attempt that has lost its request.
pub(super) const ANSWERED_ELSEWHERE: &str = "another endpoint has answered";

/// Where a request has been routed, with the count of the request at the endpoint.
pub(super) type RoutedTarget = (AttemptTarget, Option<InFlightGuard>);

/// Result of [`PendingAttempts::next_response`].
pub(super) type AttemptResponse = (PendingAttempt, Result<EndpointResponse, CallError>);

/// An attempt whose response has not begun.
pub(super) struct PendingAttempt {
    pub(super) target: AttemptTarget,
    pub(super) guard: Option<InFlightGuard>,
    started: Instant,
    /// The response, complete or with its first chunk.
    response: BoxFuture<'static, Result<EndpointResponse, CallError>>,
}

/// Attempts whose responses have not begun, in the order of their start.
#[derive(Default)]
pub(super) struct PendingAttempts(Vec<PendingAttempt>);

impl PendingAttempts {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits for the start of any response and removes its attempt. Waits forever if there is no attempt.
    pub(super) async fn next_response(&mut self) -> AttemptResponse {
        if self.0.is_empty() {
            return pending().await;
        }
        let responses = self.0.iter_mut().map(|attempt| &mut attempt.response);
        let (response, index, _) = select_all(responses).await;
        (self.0.remove(index), response)
    }

    /// When the oldest attempt started.
    pub(super) fn oldest_started(&self) -> Option<Instant> {
        self.0.first().map(|attempt| attempt.started)
    }

    /// Removes the attempt that started first.
    pub(super) fn take_oldest(&mut self) -> Option<PendingAttempt> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }
}

/// What to do about a silence, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceStep {
    /// New requests avoid the endpoint.
    Avoid,
    /// The request is sent to another endpoint as well.
    Seek,
    /// One of two attempts ends.
    EndOverlap,
    /// The request ends.
    Deadline,
}

/// A step and when it is due.
pub(super) type TimedStep = (Instant, SilenceStep);

/// A silence of the endpoint that has the request.
pub(super) struct EndpointSilence {
    /// When the endpoint got the request, or sent the last event.
    since: Instant,
    avoided: bool,
    /// When another endpoint was last searched for without success.
    sought_at: Option<Instant>,
}

impl EndpointSilence {
    /// A silence that begins now.
    pub(super) fn begin() -> Self {
        Self::since(Instant::now())
    }

    /// A silence that began at `since`.
    pub(super) fn since(since: Instant) -> Self {
        Self {
            since,
            avoided: false,
            sought_at: None,
        }
    }
}

/// Waits for the first chunk of a successful response, so that an endpoint that breaks off or falls silent after the head
/// has not answered. `needs_event` tells whether a stream without any event is no answer either.
async fn with_first_chunk(
    mut response: EndpointResponse,
    needs_event: bool,
) -> Result<EndpointResponse, CallError> {
    if !response.status.is_success() {
        return Ok(response);
    }
    response.body = match response.body.next().await {
        Some(chunk) => stream::iter([Ok(chunk?)]).chain(response.body).boxed(),
        None if needs_event && response.framing == BodyFraming::UntilClose => {
            return Err(interrupted("the connection closed before the first event"));
        }
        // The finished body must not be polled again.
        None => stream::empty().boxed(),
    };
    Ok(response)
}

impl OnlineExchange {
    /// Sends the request to the best endpoint.
    pub(super) fn begin_attempt(&mut self, resume_after: Option<u64>) -> Result<(), OnlineReply> {
        let routed = self.pick()?;
        self.push_attempt(routed, resume_after);
        Ok(())
    }

    fn push_attempt(&mut self, (target, guard): RoutedTarget, resume_after: Option<u64>) {
        if resume_after.is_some() && target.endpoint().is_some() {
            // `confirm_version` needs a read that began after the request was sent.
            self.node.listings_requested.notify_one();
        }
        let started = Instant::now();
        let deadline = self.request.deadline;
        let options = CallOptions {
            remaining: deadline.saturating_duration_since(started),
            resume_after,
        };
        let pass_options = self.pass_options(resume_after);
        let (node, request, called) = (self.node.clone(), self.request.clone(), target.clone());
        let response = async move {
            let response = match called {
                AttemptTarget::Endpoint(endpoint) => {
                    node.call_endpoint(&endpoint, &request.call, options).await
                }
                AttemptTarget::Host(host) => {
                    let hosts = &node.deps.hosts;
                    let response = hosts.pass_on(&host, &request.call, pass_options).await;
                    if let Ok(response) = &response {
                        node.apply_passed_notice(&request.call, response);
                    }
                    response
                }
            };
            let response = response?;
            let has_events = has_event_stream(&response.headers, request.route.kind);
            with_first_chunk(response, has_events && resume_after.is_none()).await
        };
        self.attempts.0.push(PendingAttempt {
            target,
            guard,
            started,
            response: response.boxed(),
        });
    }

    /// Next step if nothing is sent until then. `current` has begun to respond.
    pub(super) fn silence_step(
        &self,
        silence: &EndpointSilence,
        current: Option<&AttemptTarget>,
    ) -> TimedStep {
        let deadline = (self.request.deadline, SilenceStep::Deadline);
        let endpoints = self.attempts.0.len() + usize::from(current.is_some());
        let newest = self.attempts.0.last();
        if let Some(newest) = newest.filter(|_| endpoints > 1) {
            let end = newest.started + OVERLAP_LIMIT;
            return earlier((end, SilenceStep::EndOverlap), deadline);
        }
        let has_lost_link = self.has_lost_link(current);
        if !silence.avoided && !has_lost_link {
            let avoid_at = silence.since + AVOID_TIMEOUT;
            return earlier((avoid_at, SilenceStep::Avoid), deadline);
        }
        if !self.may_retry() {
            return deadline;
        }
        let seek_at = match silence.sought_at {
            Some(sought_at) => sought_at + SEEK_INTERVAL,
            None if has_lost_link => silence.since + CUT_OFF_STALL_TIMEOUT,
            None => silence.since + STALL_TIMEOUT,
        };
        earlier((seek_at, SilenceStep::Seek), deadline)
    }

    /// Whether the silent target, `current` or that of the oldest attempt, is an endpoint to which this host has lost its link.
    fn has_lost_link(&self, current: Option<&AttemptTarget>) -> bool {
        let oldest = self.attempts.0.first().map(|attempt| &attempt.target);
        let silent = current.or(oldest);
        let is_endpoint = silent.is_some_and(|silent| silent.endpoint().is_some());
        is_endpoint && self.request.passed_on.is_none() && self.node.is_cut_off()
    }

    /// Takes a step, due at `step_at`, about a silence of the endpoint that has the request: `current`, or the one of the
    /// oldest attempt. Returns whether `current` is given up.
    pub(super) fn take_step(
        &mut self,
        (step_at, step): TimedStep,
        silence: &mut EndpointSilence,
        current: Option<&AttemptTarget>,
        resume_after: Option<u64>,
    ) -> bool {
        let now = Instant::now();
        let oldest = self.attempts.0.first().map(|attempt| &attempt.target);
        let Some(silent) = current.or(oldest).cloned() else {
            return false;
        };
        match step {
            SilenceStep::EndOverlap if self.is_in_trouble(silence, current.is_some()) => {
                self.give_up(&silent, "silent for too long");
                if current.is_none() {
                    self.attempts.take_oldest();
                }
                return current.is_some();
            }
            SilenceStep::EndOverlap => {
                silence.sought_at = Some(now);
                if let Some(other) = self.attempts.0.pop() {
                    self.record_cancelled(&other, "silent as well");
                }
            }
            _ if now > step_at + LATE_STEP => *silence = EndpointSilence::begin(),
            SilenceStep::Avoid => {
                silence.avoided = true;
                self.avoid(&silent);
            }
            SilenceStep::Seek => {
                let routed = self.pick_other(silent.id());
                if silence.sought_at.is_none() {
                    self.log_silence(&silent, silence, routed.is_some());
                }
                silence.sought_at = Some(now);
                if let Some(routed) = routed {
                    self.push_attempt(routed, resume_after);
                }
            }
            SilenceStep::Deadline => {}
        }
        false
    }

    /// Whether a silent endpoint is taken for one in trouble. One that has not begun to respond may be as slow as all
    /// others.
    fn is_in_trouble(&self, silence: &EndpointSilence, has_begun: bool) -> bool {
        let silent_for = silence.since.elapsed();
        let overdue_after = self.node.lock().load.response_times().overdue_after();
        let is_slow = overdue_after.is_none_or(|limit| silent_for <= limit * OVERDUE_MULTIPLE);
        silent_for >= SOUND_SILENCE && (has_begun || !is_slow)
    }

    /// Cancels all attempts, since another endpoint has answered.
    pub(super) fn cancel_attempts(&mut self) {
        while let Some(attempt) = self.attempts.take_oldest() {
            self.record_cancelled(&attempt, ANSWERED_ELSEWHERE);
        }
    }

    /// Ends the attempts beside `answered`. One that is older has been silent for long, so its endpoint counts as failed.
    pub(super) fn supersede_attempts(&mut self, answered: &PendingAttempt) {
        while let Some(attempt) = self.attempts.take_oldest() {
            if attempt.started < answered.started {
                self.give_up(&attempt.target, ANSWERED_ELSEWHERE);
            } else {
                self.record_cancelled(&attempt, ANSWERED_ELSEWHERE);
            }
        }
    }

    /// The silence of the oldest attempt: `silence`, unless that is of an older attempt that has ended.
    pub(super) fn oldest_silence(&self, silence: EndpointSilence) -> EndpointSilence {
        match self.attempts.oldest_started() {
            Some(started) if started > silence.since => EndpointSilence::since(started),
            _ => silence,
        }
    }

    /// Records an attempt that this host has cancelled. It may have run.
    fn record_cancelled(&mut self, attempt: &PendingAttempt, cause: &str) {
        info!(self.node.deps.logger, "attempt cancelled"; "request" => &*self.request.call.id,
            "endpoint" => &**attempt.target.id(), "cause" => cause,
            "asked_for_ms" => millis(attempt.started.elapsed()));
        self.node.metrics.count_attempt("cancelled");
        self.runs += 1;
    }

    /// Records that a silent endpoint is given up, since another one has the request.
    pub(super) fn give_up(&mut self, silent: &AttemptTarget, cause: &str) {
        let error = interrupted(cause);
        // The reply for the caller is that of the other endpoint.
        let _ = self.handle_error(silent, &error);
    }

    fn log_silence(&self, silent: &AttemptTarget, silence: &EndpointSilence, is_sent: bool) {
        info!(self.node.deps.logger, "endpoint silent"; "request" => &*self.request.call.id,
            "endpoint" => &**silent.id(), "silent_ms" => millis(silence.since.elapsed()),
            "action" => if is_sent { "sent to another as well" } else { "waits: no other takes it" });
    }
}

/// The earlier of two steps.
fn earlier(step: TimedStep, other: TimedStep) -> TimedStep {
    if other.0 <= step.0 { other } else { step }
}
