//! Online requests: selects an endpoint, sends the request, retries where that is allowed, and forwards the response.

mod attempts;
mod forward;
mod target;

use crate::backend::{BodyFraming, CallError, EndpointCall, EndpointResponse};
use crate::crash_watch::EndedRequest;
use crate::crashes::BrokenRequest;
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::in_flight::{InFlightGuard, InFlightRequest};
use crate::load::{EndpointPick, RequestClass};
use crate::node::{SwitchNode, SwitchState, millis};
use crate::origins::{StreamKey, StreamOrigin, VersionKey};
use crate::overload::Rejection;
use crate::prompt::{PartKey, PromptParts};
use crate::quarantine::Admission;
use crate::route::ServiceRoute;
use crate::wait::max_wait;
use attempts::{
    EndpointSilence, MAX_OTHER_WAIT, PendingAttempt, PendingAttempts, RoutedTarget, SilenceStep,
};
use forward::forward;
use futures::stream::{self, StreamExt};
use http::StatusCode;
use rand::Rng;
use slog::info;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use target::AttemptTarget;
use tokio::time::{Instant, timeout_at};

/// Maximum number of endpoints tried for one request, including those that refused it.
const MAX_SENDS: u32 = 4;
/// Maximum expected wait with which a stream is resumed. Well under the 2 s after which callers abandon a stream.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the origin of a running stream is recorded.
const ORIGIN_INTERVAL: Duration = Duration::from_secs(10);
/// Fraction of the time left that callers accept as a retry delay; they honour up to a third.
const MAX_RETRY_FRACTION: f64 = 0.3;
/// Retry-after value sent to callers when no endpoint is available.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum time to the deadline for a request to be sent at all.
const MIN_REMAINING: Duration = Duration::from_millis(20);

/// An online request.
pub struct OnlineRequest {
    /// Call to forward to an endpoint.
    pub call: EndpointCall,
    /// Route that matched the request.
    pub route: Arc<ServiceRoute>,
    /// ID of the last event that the caller has received; `None` to start from the beginning.
    pub resume_after: Option<u64>,
    /// ID of the caller's request that brought the first event of a resumed stream.
    pub resumes: Option<Arc<str>>,
    /// Set if another host has passed the request on.
    pub passed_on: Option<PassedOn>,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
}

/// What another host tells of a request that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedOn {
    /// Software version at which a stream goes on, if it is known.
    pub version: Option<VersionKey>,
}

/// Result of [`SwitchNode::serve_online`].
pub enum OnlineReply {
    /// An endpoint responded; the body may still be in progress.
    Response(Box<EndpointResponse>),
    /// The request has not run and will not run.
    Rejected {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request was passed on by another host, and has not run since this one does not reach the endpoints or has no route for it.
    OutOfReach,
    /// The request failed and may have run.
    Failed,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl SwitchNode {
    /// Serves an online request, up to the first chunk of the response.
    pub async fn serve_online(self: &Arc<Self>, request: OnlineRequest) -> OnlineReply {
        let in_flight = InFlightRequest::begin(self);
        let parts = self.deps.client.prompt_parts(&request.call.headers);
        let key = PartKey::of_request(&request.call);
        let suspects = parts.with_request(key);
        let mut exchange = OnlineExchange {
            node: self.clone(),
            request: Arc::new(request),
            parts,
            key,
            suspects,
            attempts: PendingAttempts::default(),
            tried: Vec::new(),
            sent: Vec::new(),
            version: None,
            origin_recorded_at: None,
            sends: 0,
            runs: 0,
            started: Instant::now(),
            time_to_first_byte: None,
            had_free_slot: false,
            is_proven: false,
            endpoint: None,
            body_end: None,
            ended: false,
            _in_flight: in_flight,
        };
        match exchange.first_response().await {
            Ok((response, guard, target)) => {
                let deadline = exchange.request.deadline;
                begin_reply(forward(exchange, response, guard, target), deadline).await
            }
            Err(reply) => {
                exchange.log_reply(&reply);
                reply
            }
        }
    }
}

/// Waits for the first chunk of a response. If it breaks off before that, the caller has received nothing, and gets a
/// failure instead of a connection that closes without a response.
async fn begin_reply(mut response: EndpointResponse, deadline: Instant) -> OnlineReply {
    match response.body.next().await {
        Some(Ok(chunk)) => {
            let rest = response.body;
            response.body = stream::iter([Ok(chunk)]).chain(rest).boxed();
            OnlineReply::Response(Box::new(response))
        }
        Some(Err(_)) if deadline <= Instant::now() + MIN_REMAINING => OnlineReply::TimedOut,
        Some(Err(_)) => OnlineReply::Failed,
        None => {
            // The finished body must not be polled again.
            response.body = stream::empty().boxed();
            OnlineReply::Response(Box::new(response))
        }
    }
}

/// A response with its in-flight guard and where it comes from.
type Opened = (EndpointResponse, Option<InFlightGuard>, AttemptTarget);

/// How the last body of a response ended.
#[derive(Clone, Copy)]
struct BodyEnd {
    framing: BodyFraming,
    within_event: bool,
}

/// Expected wait of a request, and the longest with which it is sent.
#[derive(Clone, Copy)]
struct ExpectedWait {
    wait: Duration,
    max_wait: Duration,
}

/// An online request and its attempts so far.
struct OnlineExchange {
    node: Arc<SwitchNode>,
    request: Arc<OnlineRequest>,
    /// Parts of the prompt that other requests may share.
    parts: PromptParts,
    /// Key of the request as a whole.
    key: PartKey,
    /// What may crash endpoints: the parts and the key.
    suspects: PromptParts,
    /// Attempts in progress whose responses have not begun.
    attempts: PendingAttempts,
    /// Endpoints, and hosts to which the request was passed on, at which an attempt has failed.
    tried: Vec<Arc<str>>,
    /// Endpoints to which the request was sent, and when.
    sent: Vec<(Arc<str>, Instant)>,
    /// Software version that began the stream and at which it goes on; `None` before the first event.
    version: Option<VersionKey>,
    /// When the origin of the stream was last recorded.
    origin_recorded_at: Option<Instant>,
    /// Number of attempts.
    sends: u32,
    /// Number of failed attempts that may have run.
    runs: u32,
    started: Instant,
    time_to_first_byte: Option<Duration>,
    /// Whether the first attempt is the only one, and went to an endpoint with a free slot.
    had_free_slot: bool,
    /// Whether a long answer has shown that the request does not crash the endpoint.
    is_proven: bool,
    /// Endpoint of the last attempt, or the host to which it was passed on.
    endpoint: Option<Arc<str>>,
    /// How the body of the response ended; `None` before that.
    body_end: Option<BodyEnd>,
    /// Whether the end of the request has been logged.
    ended: bool,
    _in_flight: InFlightRequest,
}

impl Drop for OnlineExchange {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller left", None);
        }
    }
}

impl OnlineExchange {
    /// Sends the request, with retries, until an endpoint responds.
    async fn first_response(&mut self) -> Result<Opened, OnlineReply> {
        let resume_after = self.request.resume_after;
        self.check_suspects()?;
        if resume_after.is_some() {
            self.version = Some(self.find_version().await?);
        }
        let mut reach_changes = self.node.reach_changes.subscribe();
        let mut silence = EndpointSilence::begin();
        loop {
            if self.attempts.is_empty() {
                self.begin_attempt(resume_after)?;
                silence = EndpointSilence::begin();
            }
            let (step_at, step) = self.silence_step(&silence, None);
            let response = tokio::select! {
                biased;
                response = timeout_at(step_at, self.attempts.next_response()) => response,
                // The steps are other ones for a host that is cut off.
                Ok(()) = reach_changes.changed() => continue,
            };
            match response {
                Ok((attempt, Ok(response))) => {
                    if let Some(opened) = self.accept_head(attempt, response) {
                        return Ok(opened);
                    }
                }
                Ok((attempt, Err(error))) => {
                    let handled = self.handle_error(&attempt.target, &error);
                    if self.attempts.is_empty() {
                        handled?;
                        self.wait_for_check(&error).await;
                    }
                }
                Err(_) if step == SilenceStep::Deadline => return Err(self.time_out()),
                Err(_) => {
                    self.take_step((step_at, step), &mut silence, None, resume_after);
                }
            }
            silence = self.oldest_silence(silence);
        }
    }

    /// Returns the response to forward; `None` if it is a failure after which the request goes on elsewhere.
    fn accept_head(
        &mut self,
        attempt: PendingAttempt,
        response: EndpointResponse,
    ) -> Option<Opened> {
        let status = response.status;
        let goes_on = self.may_retry() || !self.attempts.is_empty();
        if !(status.is_server_error() && goes_on) {
            self.supersede_attempts(&attempt);
            return Some((response, attempt.guard, attempt.target));
        }
        self.record_failed_attempt(attempt.target.id(), "answered with a failure", "failed");
        self.runs += 1;
        if let Some(endpoint) = attempt.target.endpoint()
            && is_endpoint_failure(status)
        {
            let state = &mut self.node.lock();
            self.node
                .record_error_response(state, &endpoint.id, RequestClass::Online);
        }
        None
    }

    /// Waits until it is known whether the endpoint of an attempt that reached none is out of reach, or all are.
    async fn wait_for_check(&mut self, error: &CallError) {
        if let CallError::NotSent { .. } = error {
            // At the deadline, the next attempt ends the request.
            let _ = timeout_at(self.request.deadline, self.node.wait_for_check()).await;
        }
    }

    /// Ends all attempts at the deadline.
    fn time_out(&mut self) -> OnlineReply {
        let error = interrupted("no response within the timeout");
        while let Some(attempt) = self.attempts.take_oldest() {
            // The reply is the same for all of them.
            let _ = self.handle_error(&attempt.target, &error);
        }
        OnlineReply::TimedOut
    }

    /// Finds the software version that began the stream which the request takes up.
    async fn find_version(&mut self) -> Result<VersionKey, OnlineReply> {
        let (request, route) = (&self.request, &self.request.route);
        if let Some(version) = request.passed_on.and_then(|passed_on| passed_on.version) {
            return Ok(version);
        }
        let found = self.node.find_origin(request.resumes.as_deref(), route);
        let version = found.await;
        let is_known = if version.is_some() {
            "known"
        } else {
            "unknown"
        };
        self.node.metrics.count_resumed_stream(is_known);
        version.ok_or_else(|| {
            info!(self.node.deps.logger, "request not routed"; "request" => &*request.call.id,
                "resumes" => request.resumes.as_deref(), "resume_after" => request.resume_after,
                "cause" => "no host knows which software version began the stream");
            self.failure_reply(NO_ENDPOINT_RETRY_AFTER)
        })
    }

    /// Records that the caller has got an event from an endpoint. The origin of the stream is recorded with the first
    /// event, and again while the stream runs: hosts keep an origin for a limited time, and those that have it may be lost.
    /// The host to which the request was passed on does this for its endpoint, and `version` is what it tells.
    fn record_event(&mut self, target: &AttemptTarget, version: Option<VersionKey>) {
        let now = Instant::now();
        let Some(endpoint) = target.endpoint() else {
            self.version = self.version.or(version);
            return;
        };
        let version = *self.version.get_or_insert_with(|| endpoint.version_key());
        let is_due = self
            .origin_recorded_at
            .is_none_or(|recorded_at| now >= recorded_at + ORIGIN_INTERVAL);
        if is_due && let Some(began_by) = self.began_by() {
            let stream = StreamKey::of(began_by);
            self.node.record_origin(StreamOrigin { stream, version });
            self.origin_recorded_at = Some(now);
        }
    }

    /// ID of the request that began the stream; `None` if the caller takes one up without naming it.
    fn began_by(&self) -> Option<&str> {
        match self.request.resume_after {
            None => Some(&self.request.call.id),
            Some(_) => self.request.resumes.as_deref(),
        }
    }

    /// Selects the service of the next attempt. A stream goes on at the service that began it.
    fn pick_service(&self, state: &mut SwitchState, now: Instant) -> Option<Arc<str>> {
        let route = &self.request.route;
        let draw = state.rng.random::<f64>();
        let drawn = route.pick_service(draw);
        let Some(version) = self.version else {
            return drawn.cloned();
        };
        let table = &state.endpoints;
        let serving = table.service_with_version(route.services(), version, now);
        serving.or(drawn).cloned()
    }

    /// Selects where the request goes, and counts it there.
    fn pick(&mut self) -> Result<RoutedTarget, OnlineReply> {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        if remaining < MIN_REMAINING {
            return Err(self.deadline_reply());
        }
        if self.sends >= MAX_SENDS {
            return Err(self.failure_reply(NO_ENDPOINT_RETRY_AFTER));
        }
        let node = self.node.clone();
        let state = &mut *node.lock();
        let admission = node.admit(state, &self.request.call.id, &self.suspects, now);
        if let Admission::Rejected { retry_after } = admission {
            return Err(self.reject_suspect(retry_after));
        }
        if state.reach.is_cut_off() {
            if self.request.passed_on.is_some() && self.runs == 0 {
                return Err(OnlineReply::OutOfReach);
            }
            if let Some(routed) = self.route_to_host(state) {
                return Ok(routed);
            }
        }
        let Some(service) = self.pick_service(state, now) else {
            return Err(self.failure_reply(NO_ENDPOINT_RETRY_AFTER));
        };
        let max_wait = self.max_wait(state, remaining);
        // No other host can help one that is cut off, so the endpoints may have ended.
        let excluded = if state.reach.is_cut_off() {
            [&self.tried, state.reach.unreached()].concat()
        } else {
            self.tried.clone()
        };
        let mut pick = self.select(state, &service, &excluded, max_wait);
        if pick == EndpointPick::Missing && self.runs > 0 {
            // An endpoint that has failed this request is better than none.
            pick = self.select(state, &service, &[], max_wait);
        }
        match pick {
            EndpointPick::Use(endpoint) => Ok(self.route(state, &service, endpoint)),
            EndpointPick::Full { wait } => {
                let expected = ExpectedWait { wait, max_wait };
                let retry_after = self.reject_full(state, &service, expected, remaining);
                Err(self.failure_reply(retry_after))
            }
            EndpointPick::Missing => {
                info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
                    "service" => &*service, "cause" => "no endpoint is left",
                    "resumes" => self.request.resumes.as_deref(),
                    "tried" => self.tried.len(), "listed" => state.endpoints.len());
                Err(self.failure_reply(NO_ENDPOINT_RETRY_AFTER))
            }
        }
    }

    /// Selects where the request goes beside the silent target that has it, and counts it there. `None` if none can take the request
    /// now.
    fn pick_other(&mut self, silent: &Arc<str>) -> Option<RoutedTarget> {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        if remaining < MIN_REMAINING {
            return None;
        }
        let node = self.node.clone();
        let state = &mut *node.lock();
        if state.crashes.quarantine.covers(&self.suspects) {
            return None;
        }
        if state.reach.is_cut_off() {
            return self.route_to_host(state);
        }
        let service = self.pick_service(state, now)?;
        let max_wait = self.max_wait(state, remaining).min(MAX_OTHER_WAIT);
        let excluded = [&self.tried[..], std::slice::from_ref(silent)].concat();
        match self.select(state, &service, &excluded, max_wait) {
            EndpointPick::Use(endpoint) => Some(self.route(state, &service, endpoint)),
            EndpointPick::Full { .. } | EndpointPick::Missing => None,
        }
    }

    /// Selects an endpoint that is not among the `excluded`.
    fn select(
        &self,
        state: &mut SwitchState,
        service: &str,
        excluded: &[Arc<str>],
        max_wait: Duration,
    ) -> EndpointPick {
        let filter = EndpointFilter {
            service,
            version: self.version,
        };
        let now = Instant::now();
        let (endpoints, limits) = (&state.endpoints, &state.limits);
        if limits.is_empty() {
            let (load, rng) = (&state.load, &mut state.rng);
            return load.pick_online(endpoints, filter, excluded, max_wait, now, rng);
        }
        let serving = endpoints.serving(filter, now);
        let usable = serving.filter(|endpoint| !excluded.contains(&endpoint.id));
        let limited = usable.filter(|endpoint| !limits.admits(&endpoint.id, now));
        let limited: Vec<Arc<str>> = limited.map(|endpoint| endpoint.id.clone()).collect();
        let all_excluded = [excluded, &limited].concat();
        let rng = &mut state.rng;
        let pick = state
            .load
            .pick_online(endpoints, filter, &all_excluded, max_wait, now, rng);
        if pick != EndpointPick::Missing {
            return pick;
        }
        // Endpoints whose limit is used up are not missing.
        let waits = limited.iter().map(|id| limits.wait(id, now));
        waits
            .min()
            .map_or(EndpointPick::Missing, |wait| EndpointPick::Full { wait })
    }

    /// Counts the request at the endpoint that was selected for it.
    fn route(
        &mut self,
        state: &mut SwitchState,
        service: &str,
        endpoint: Arc<ListedEndpoint>,
    ) -> RoutedTarget {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        let load = state.load.total(&endpoint.id);
        info!(self.node.deps.logger, "request routed"; "request" => &*self.request.call.id,
            "service" => service, "key" => %self.key, "parts" => %self.parts,
            "body_bytes" => self.request.call.body.len(), "endpoint" => &*endpoint.id,
            "version" => &*endpoint.version, "send" => self.sends + 1,
            "resumes" => self.request.resumes.as_deref(),
            "resume_after" => self.request.resume_after,
            "online" => load.online, "batch" => load.batch, "slots" => endpoint.slots,
            "report_age_ms" => millis(state.members.oldest_heartbeat_age(now)),
            "config" => state.routes.as_ref().map(|routes| routes.version),
            "listing" => state.endpoints.read_until(),
            "listing_age_ms" => state.endpoints.read_age(now).map(millis),
            "held_back" => state.endpoints.removal_due(&endpoint.id).is_some(),
            "left_ms" => millis(remaining));
        let guard = InFlightGuard::begin(&self.node, state, &endpoint, RequestClass::Online);
        self.sends += 1;
        self.sent.push((endpoint.id.clone(), now));
        state.limits.take(&endpoint.id, now);
        self.had_free_slot = self.sends == 1 && load.total() < endpoint.slots;
        self.endpoint = Some(endpoint.id.clone());
        (AttemptTarget::Endpoint(endpoint), Some(guard))
    }

    /// Rejects a request that takes up a stream at once if endpoints crash under it. It is not used as a trial, since it would have to wait for the version that began the stream.
    fn check_suspects(&self) -> Result<(), OnlineReply> {
        let is_resumed = self.request.resume_after.is_some();
        if is_resumed && self.node.lock().crashes.quarantine.covers(&self.suspects) {
            return Err(self.reject_suspect(NO_ENDPOINT_RETRY_AFTER));
        }
        Ok(())
    }

    /// Logs that the request is not sent since endpoints crash under it, and returns the reply.
    fn reject_suspect(&self, retry_after: Duration) -> OnlineReply {
        info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
            "cause" => "endpoints crash under it or under parts of its prompt", "key" => %self.key,
            "parts" => %self.parts);
        self.failure_reply(retry_after)
    }

    /// When the request was last sent to an endpoint.
    fn sent_at(&self, endpoint: &str) -> Instant {
        let mut sent = self.sent.iter().rev();
        let found = sent.find(|(id, _)| **id == *endpoint);
        found.map_or(self.started, |(_, sent_at)| *sent_at)
    }

    /// Records that the request ended at an endpoint that may have crashed under it.
    fn record_end(&self, endpoint: &Arc<ListedEndpoint>, may_be_complete: bool) {
        let request = BrokenRequest {
            parts: self.suspects.clone(),
            sent_at: self.sent_at(&endpoint.id),
        };
        let ended = EndedRequest {
            request,
            may_be_complete,
        };
        self.node.record_end(endpoint, ended);
    }

    /// Records that the answer of an endpoint shows that the request does not crash it.
    fn record_sound(&self, endpoint: &ListedEndpoint) {
        let sent_at = self.sent_at(&endpoint.id);
        let state = &mut self.node.lock();
        self.node.record_sound(state, &self.suspects, sent_at);
    }

    /// Records what a complete answer tells of its endpoint.
    fn record_answer(
        &self,
        endpoint: &Arc<ListedEndpoint>,
        status: StatusCode,
        framing: BodyFraming,
    ) {
        {
            let state = &mut *self.node.lock();
            let waited = self.time_to_first_byte.unwrap_or_default();
            let run = self.started.elapsed().saturating_sub(waited);
            let unqueued = self.time_to_first_byte.filter(|_| self.had_free_slot);
            state.load.record_response(unqueued, run);
            let health = state.load.health(&endpoint.id);
            health.record_success(self.started);
        }
        match framing {
            _ if !status.is_success() => {}
            BodyFraming::Delimited => self.record_sound(endpoint),
            BodyFraming::UntilClose => self.record_end(endpoint, true),
        }
    }

    /// Longest expected wait with which the request is sent.
    fn max_wait(&self, state: &SwitchState, remaining: Duration) -> Duration {
        if self.version.is_some() {
            // The latency target concerns the first event, which the caller has.
            return MAX_RESUME_WAIT.min(remaining);
        }
        let first_byte = state.load.response_times().first_byte();
        max_wait(self.request.route.latency_target, first_byte, remaining)
    }

    /// Records that the request is rejected since it would wait too long, and returns the retry-after value.
    fn reject_full(
        &self,
        state: &mut SwitchState,
        service: &str,
        expected: ExpectedWait,
        remaining: Duration,
    ) -> Duration {
        let now = Instant::now();
        let times = state.load.response_times();
        info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
            "service" => service, "cause" => "all endpoints have queues",
            "report_age_ms" => millis(state.members.oldest_heartbeat_age(now)),
            "wait_ms" => millis(expected.wait), "max_wait_ms" => millis(expected.max_wait),
            "first_byte_ms" => millis(times.first_byte()), "mean_run_ms" => millis(times.run()),
            "overdue" => state.load.overdue());
        let hosts = u32::try_from(state.members.live(now).count() + 1).unwrap_or(u32::MAX);
        let rejection = Rejection {
            wait: expected.wait,
            limit: remaining.mul_f64(MAX_RETRY_FRACTION),
            service_interval: state.load.service_interval(&state.endpoints, service, now) * hosts,
        };
        let draw = state.rng.random::<f64>();
        state.overload.record_rejection(rejection, now, draw)
    }

    /// Whether the request may be sent once more. One that was passed on is sent once; the host that has the caller decides on more.
    fn may_retry(&self) -> bool {
        self.request.passed_on.is_none()
            && self.request.route.is_idempotent()
            && self.runs + 1 < self.request.route.attempts
            && self.sends < MAX_SENDS
    }

    fn handle_error(
        &mut self,
        target: &AttemptTarget,
        error: &CallError,
    ) -> Result<(), OnlineReply> {
        let now = Instant::now();
        self.record_failed_attempt(target.id(), error, error.outcome());
        match error {
            CallError::NotSent { .. } => {
                self.avoid(target);
                if let AttemptTarget::Endpoint(endpoint) = target {
                    let state = &mut self.node.lock();
                    self.node.record_unreached(state, &endpoint.id);
                }
                Ok(())
            }
            CallError::NotRun { misdirected, .. } => {
                if *misdirected {
                    self.avoid(target);
                } else if let Some(endpoint) = target.endpoint() {
                    self.node.lock().load.mark_full(&endpoint.id, now);
                }
                Ok(())
            }
            CallError::Rejected { retry_after } => Err(self.failure_reply(*retry_after)),
            CallError::Interrupted { .. } => {
                // A host that passed the request on is not to blame for the endpoint.
                if let Some(endpoint) = target.endpoint() {
                    self.avoid(target);
                    self.record_end(endpoint, false);
                }
                let retries = self.may_retry();
                self.runs += 1;
                if retries {
                    Ok(())
                } else if self.request.deadline <= now + MIN_REMAINING {
                    Err(OnlineReply::TimedOut)
                } else {
                    Err(OnlineReply::Failed)
                }
            }
        }
    }

    /// Gives an endpoint or a host that has failed no new request for a while.
    fn avoid(&self, target: &AttemptTarget) {
        let state = &mut self.node.lock();
        match target {
            AttemptTarget::Endpoint(endpoint) => {
                self.node
                    .avoid_endpoint(state, &endpoint.id, Instant::now());
            }
            AttemptTarget::Host(host) => self.node.avoid_host(state, &host.name),
        }
    }

    /// Records a failed attempt and excludes its endpoint or host from further attempts.
    fn record_failed_attempt(
        &mut self,
        target: &Arc<str>,
        cause: impl Display,
        outcome: &'static str,
    ) {
        info!(self.node.deps.logger, "attempt failed"; "request" => &*self.request.call.id,
            "endpoint" => &**target, "send" => self.sends, "cause" => %cause,
            "after_ms" => millis(self.started.elapsed()));
        self.node.metrics.count_attempt(outcome);
        self.tried.push(target.clone());
    }

    fn failure_reply(&self, retry_after: Duration) -> OnlineReply {
        if self.runs == 0 {
            OnlineReply::Rejected { retry_after }
        } else {
            OnlineReply::Failed
        }
    }

    fn deadline_reply(&self) -> OnlineReply {
        if self.runs == 0 {
            OnlineReply::Rejected {
                retry_after: NO_ENDPOINT_RETRY_AFTER,
            }
        } else {
            OnlineReply::TimedOut
        }
    }

    fn log_reply(&mut self, reply: &OnlineReply) {
        match reply {
            OnlineReply::Response(_) => self.log_end("answered", None),
            OnlineReply::Rejected { retry_after } => self.log_end("rejected", Some(*retry_after)),
            OnlineReply::OutOfReach => self.log_end("out of reach", None),
            OnlineReply::Failed => self.log_end("failed", None),
            OnlineReply::TimedOut => self.log_end("timed out", None),
        }
    }

    /// Logs and counts how the request ended. Called once per request.
    fn log_end(&mut self, outcome: &'static str, retry_after: Option<Duration>) {
        self.ended = true;
        let elapsed = self.started.elapsed();
        self.node.metrics.count_request(outcome, elapsed);
        if let Some(BodyEnd {
            framing,
            within_event,
        }) = self.body_end
        {
            self.node.metrics.count_body(framing, within_event);
        }
        info!(self.node.deps.logger, "request ended"; "request" => &*self.request.call.id,
            "outcome" => outcome, "retry_ms" => retry_after.map(millis), "sends" => self.sends,
            "runs" => self.runs, "first_ms" => self.time_to_first_byte.map(millis),
            "framing" => self.body_end.map(|end| end.framing.as_str()),
            "within_event" => self.body_end.map(|end| end.within_event),
            "endpoint" => self.endpoint.as_deref(), "after_ms" => millis(elapsed));
    }
}

/// Whether a status indicates a failure of the endpoint itself. A gateway timeout does not: it means that the
/// deadline of the request had passed.
fn is_endpoint_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

fn interrupted(cause: &str) -> CallError {
    CallError::Interrupted {
        cause: cause.into(),
    }
}
