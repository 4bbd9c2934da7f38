//! Attempts at one request: at most one beside the endpoint that has the request, while that endpoint is silent.
//!
//! A sound endpoint may be silent for a while and go on, so silence alone does not end an attempt. After
//! [`STALL_TIMEOUT`] the request is also sent to another endpoint, and the silent one is given up only when the other has
//! begun to respond, or has kept the request for [`OVERLAP_LIMIT`] without refusing it.

use super::{OnlineExchange, interrupted};
use crate::backend::{CallError, CallOptions, EndpointResponse};
use crate::endpoint::ListedEndpoint;
use crate::in_flight::InFlightGuard;
use crate::node::millis;
use futures::FutureExt;
use futures::future::{BoxFuture, pending, select_all};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without data after which new requests avoid an endpoint.
const AVOID_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without an event after which an idempotent request is also sent to another endpoint. Longer than the second for
/// which sound endpoints may be silent, and well under the 2 s after which callers abandon a stream.
const STALL_TIMEOUT: Duration = Duration::from_millis(1300);
/// Time for which two endpoints may have a request at once. It covers the timeout of a new connection; beyond it both may
/// be running the request.
const OVERLAP_LIMIT: Duration = Duration::from_millis(350);
/// Interval between two searches for another endpoint during one silence.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// An endpoint that has been selected for a request, with the count of the request there.
pub(super) type RoutedEndpoint = (Arc<ListedEndpoint>, InFlightGuard);

/// Result of [`PendingAttempts::next_head`].
pub(super) type AttemptHead = (PendingAttempt, Result<EndpointResponse, CallError>);

/// An attempt whose response has not begun.
pub(super) struct PendingAttempt {
    pub(super) endpoint: Arc<ListedEndpoint>,
    pub(super) guard: InFlightGuard,
    started: Instant,
    head: BoxFuture<'static, Result<EndpointResponse, CallError>>,
}

/// Attempts whose responses have not begun, in the order of their start.
#[derive(Default)]
pub(super) struct PendingAttempts(Vec<PendingAttempt>);

impl PendingAttempts {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits for the head of any response and removes its attempt. Waits forever if there is no attempt.
    pub(super) async fn next_head(&mut self) -> AttemptHead {
        if self.0.is_empty() {
            return pending().await;
        }
        let heads = self.0.iter_mut().map(|attempt| &mut attempt.head);
        let (head, index, _) = select_all(heads).await;
        (self.0.remove(index), head)
    }

    /// Removes the attempt that started first.
    pub(super) fn take_oldest(&mut self) -> Option<PendingAttempt> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }

    /// Ends all attempts.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// What to do about a silence, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceStep {
    /// New requests avoid the endpoint.
    Avoid,
    /// The request is sent to another endpoint as well.
    Seek,
    /// The endpoint that has had the request for longer is given up.
    GiveUpOldest,
    /// The request ends.
    Deadline,
}

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
        Self {
            since: Instant::now(),
            avoided: false,
            sought_at: None,
        }
    }
}

impl OnlineExchange {
    /// Sends the request to the best endpoint.
    pub(super) fn begin_attempt(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(), super::OnlineReply> {
        let routed = self.pick()?;
        self.push_attempt(routed, resume_after);
        Ok(())
    }

    fn push_attempt(&mut self, (endpoint, guard): RoutedEndpoint, resume_after: Option<u64>) {
        let started = Instant::now();
        let deadline = self.request.deadline;
        let options = CallOptions {
            remaining: deadline.saturating_duration_since(started),
            resume_after,
        };
        let (node, request, target) = (self.node.clone(), self.request.clone(), endpoint.clone());
        let head = async move {
            let client = &node.deps.client;
            client.call(&target, &request.call, options).await
        };
        self.attempts.0.push(PendingAttempt {
            endpoint,
            guard,
            started,
            head: head.boxed(),
        });
    }

    /// Next step if no endpoint sends anything until then. `has_current` tells whether an endpoint has begun to respond.
    pub(super) fn silence_step(
        &self,
        silence: &EndpointSilence,
        has_current: bool,
    ) -> (Instant, SilenceStep) {
        let deadline = (self.request.deadline, SilenceStep::Deadline);
        let endpoints = self.attempts.0.len() + usize::from(has_current);
        let newest = self.attempts.0.last();
        if let Some(newest) = newest.filter(|_| endpoints > 1) {
            return (newest.started + OVERLAP_LIMIT, SilenceStep::GiveUpOldest).min_time(deadline);
        }
        if !silence.avoided {
            return (silence.since + AVOID_TIMEOUT, SilenceStep::Avoid).min_time(deadline);
        }
        if !self.may_retry() {
            return deadline;
        }
        let seek_at = match silence.sought_at {
            Some(sought_at) => sought_at + SEEK_INTERVAL,
            None => silence.since + STALL_TIMEOUT,
        };
        (seek_at, SilenceStep::Seek).min_time(deadline)
    }

    /// Takes a step about a silence of the endpoint that has the request: `current`, or the one of the only attempt.
    /// Returns whether `current` is given up.
    pub(super) fn take_step(
        &mut self,
        step: SilenceStep,
        silence: &mut EndpointSilence,
        current: Option<&Arc<ListedEndpoint>>,
        resume_after: Option<u64>,
    ) -> bool {
        let only_attempt = self.attempts.0.first().map(|attempt| &attempt.endpoint);
        let silent = current.or(only_attempt).cloned();
        match (step, silent) {
            (SilenceStep::Avoid, Some(silent)) => {
                silence.avoided = true;
                let now = Instant::now();
                self.node
                    .avoid_endpoint(&mut self.node.lock(), &silent.id, now);
            }
            (SilenceStep::Seek, Some(silent)) => {
                let routed = self.pick_other(&silent.id);
                if silence.sought_at.is_none() {
                    self.log_silence(&silent, silence, routed.is_some());
                }
                silence.sought_at = Some(Instant::now());
                if let Some(routed) = routed {
                    self.push_attempt(routed, resume_after);
                }
            }
            (SilenceStep::GiveUpOldest, Some(silent)) => {
                self.give_up(&silent);
                *silence = EndpointSilence::begin();
                if current.is_some() {
                    return true;
                }
                self.attempts.take_oldest();
            }
            _ => {}
        }
        false
    }

    /// Records that a silent endpoint is given up, since another one has the request.
    pub(super) fn give_up(&mut self, silent: &ListedEndpoint) {
        let error = interrupted("silent, and another endpoint has the request");
        // The reply for the caller is that of the other endpoint.
        let _ = self.handle_error(silent, &error);
    }

    fn log_silence(&self, silent: &ListedEndpoint, silence: &EndpointSilence, is_sent: bool) {
        info!(self.node.deps.logger, "endpoint silent"; "request" => &*self.request.call.id,
            "endpoint" => &*silent.id, "silent_ms" => millis(silence.since.elapsed()),
            "action" => if is_sent { "sent to another as well" } else { "waits: no other takes it" });
    }
}

/// Selection of the earlier of two timed steps.
trait EarlierStep {
    fn min_time(self, other: Self) -> Self;
}

impl EarlierStep for (Instant, SilenceStep) {
    fn min_time(self, other: Self) -> Self {
        if other.0 <= self.0 { other } else { self }
    }
}
