//! Online requests: selects an endpoint, sends the request, retries where that is allowed, and forwards the response.

mod answer;
mod ask;
mod attempts;
mod cap;
mod end;
mod forward;
mod pick;
mod target;

use crate::backend::{BodyFraming, CallError, EndpointCall, EndpointResponse};
use crate::crash_watch::EndedRequest;
use crate::crashes::BrokenRequest;
use crate::endpoint::ListedEndpoint;
use crate::in_flight::{InFlightGuard, InFlightRequest};
use crate::load::RequestClass;
use crate::node::{SwitchNode, millis};
use crate::origins::{StreamKey, StreamOrigin, VersionKey};
use crate::prompt::{PartKey, PromptParts};
use crate::route::ServiceRoute;
use crate::starts::StartCheck;
use crate::workspace::Workspace;
use ask::AskedPlace;
use attempts::{EndpointSilence, PendingAttempt, PendingAttempts, RoutedTarget, SilenceStep};
use forward::forward;
use futures::stream::{self, StreamExt};
use http::StatusCode;
use pick::MAX_SENDS;
use slog::info;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use target::AttemptTarget;
use tokio::time::{Instant, timeout_at};

/// Interval at which the origin of a running stream is recorded.
const ORIGIN_INTERVAL: Duration = Duration::from_secs(10);
/// Retry-after value sent to callers when no endpoint is available.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time within which the listings must be read for a stream that is resumed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum time to the deadline for a request to be sent at all.
const MIN_REMAINING: Duration = Duration::from_millis(20);

/// An online request.
pub struct OnlineRequest {
    /// Call to forward to an endpoint.
    pub call: EndpointCall,
    /// Route that matched the request.
    pub route: Arc<ServiceRoute>,
    /// Workspace whose cap and share the request uses; `None` if there are none, or if another host has passed the request on.
    pub workspace: Option<Arc<Workspace>>,
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
    /// The request has not run, as its workspace has reached its cap.
    OverCap {
        /// Time after which the cap allows a request of this caller.
        retry_after: Duration,
    },
    /// The request was passed on by another host, and has not run since this one stops, does not reach the endpoints or has no route for it.
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
            asked: None,
            is_trial: false,
            tried: Vec::new(),
            sent: Vec::new(),
            version: None,
            unconfirmed: None,
            origin_recorded_at: None,
            sends: 0,
            runs: 0,
            started: Instant::now(),
            time_to_first_byte: None,
            had_free_slot: false,
            endpoint: None,
            body_end: None,
            ended: false,
            token: None,
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
    /// Answer of a coordinator for the next attempt.
    asked: Option<AskedPlace>,
    /// Whether the last attempt is the trial of a quarantine.
    is_trial: bool,
    /// Endpoints, and hosts to which the request was passed on, at which an attempt has failed.
    tried: Vec<Arc<str>>,
    /// Endpoints to which the request was sent, and when.
    sent: Vec<(Arc<str>, Instant)>,
    /// Software version that began the stream and at which it goes on; `None` before the first event.
    version: Option<VersionKey>,
    /// Start of the endpoint that sent the first event and when the request was sent to it, until it is known that it was that start.
    unconfirmed: Option<(Arc<ListedEndpoint>, Instant)>,
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
    /// Endpoint of the last attempt, or the host to which it was passed on.
    endpoint: Option<Arc<str>>,
    /// How the body of the response ended; `None` before that.
    body_end: Option<BodyEnd>,
    /// Whether the end of the request has been logged.
    ended: bool,
    /// Workspace of which the request holds a token.
    token: Option<Arc<Workspace>>,
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
        self.check_stop()?;
        self.check_suspects()?;
        self.check_cap().await?;
        if resume_after.is_some() {
            self.version = Some(self.find_version().await?);
        }
        let mut reach_changes = self.node.reach_changes.subscribe();
        let mut silence = EndpointSilence::begin();
        loop {
            if self.attempts.is_empty() {
                self.node.await_trial(&self.suspects).await;
                self.ask_coordinator().await;
                // The host may have begun to stop while the request waited or endpoints refused it.
                self.check_stop()?;
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
                        let confirmed = self.confirm_version(&opened.2, resume_after).await;
                        let Err(error) = confirmed else {
                            return Ok(opened);
                        };
                        self.handle_error(&opened.2, &error)?;
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

    /// Checks that a stream which is resumed goes on at the software version that began it: either endpoint may have started again
    /// under its ID at another one.
    fn confirm_version(
        &self,
        target: &AttemptTarget,
        resume_after: Option<u64>,
    ) -> impl Future<Output = Result<(), CallError>> + Send + 'static {
        let node = self.node.clone();
        let endpoint = target.endpoint().filter(|_| resume_after.is_some());
        let sent = endpoint.map(|endpoint| (endpoint.clone(), self.sent_at(&endpoint.id)));
        let first = self.unconfirmed.clone().filter(|_| sent.is_some());
        async move {
            for (endpoint, sent_at) in first.into_iter().chain(sent) {
                let confirmed = node.confirm_start(&endpoint, sent_at, CONFIRM_TIMEOUT);
                if !confirmed.await {
                    return Err(interrupted("another start of the endpoint has answered"));
                }
            }
            Ok(())
        }
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

    /// Rejects the request if it has not run and this host stops before it ends.
    fn check_stop(&self) -> Result<(), OnlineReply> {
        let request = &self.request;
        if self.runs > 0 {
            return Ok(());
        }
        match self.node.check_stop(&request.call.id, request.deadline) {
            None => Ok(()),
            Some(_) if request.passed_on.is_some() => Err(OnlineReply::OutOfReach),
            Some(retry_after) => Err(OnlineReply::Rejected { retry_after }),
        }
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
        if self.version.is_none() {
            self.unconfirmed = Some((endpoint.clone(), self.sent_at(&endpoint.id)));
        }
        self.check_first_start();
        let version = *self.version.get_or_insert_with(|| endpoint.version_key());
        let is_due = self
            .origin_recorded_at
            .is_none_or(|recorded_at| now >= recorded_at + ORIGIN_INTERVAL);
        if is_due && let Some(began_by) = self.began_by() {
            let stream = StreamKey::of(began_by);
            let origin = StreamOrigin { stream, version };
            self.node.record_origin(origin, &self.request.route);
            self.origin_recorded_at = Some(now);
        }
    }

    /// Checks whether the stream was begun by the start of the endpoint to which the request was sent. If another one may have, its
    /// version cannot be told, and it is not resumed anywhere.
    fn check_first_start(&mut self) {
        let Some((endpoint, sent_at)) = &self.unconfirmed else {
            return;
        };
        match self.node.check_start(endpoint, *sent_at) {
            StartCheck::Unknown => return,
            StartCheck::Same => {}
            StartCheck::Other => {
                info!(self.node.deps.logger, "version of a stream is unknown";
                    "request" => &*self.request.call.id, "endpoint" => &*endpoint.id,
                    "cause" => "the endpoint has started again");
                self.version = Some(VersionKey::UNKNOWN);
                self.origin_recorded_at = None;
            }
        }
        self.unconfirmed = None;
    }

    /// ID of the request that began the stream; `None` if the caller takes one up without naming it.
    fn began_by(&self) -> Option<&str> {
        match self.request.resume_after {
            None => Some(&self.request.call.id),
            Some(_) => self.request.resumes.as_deref(),
        }
    }

    /// When the request was last sent to an endpoint.
    fn sent_at(&self, endpoint: &str) -> Instant {
        let mut sent = self.sent.iter().rev();
        let found = sent.find(|(id, _)| **id == *endpoint);
        found.map_or(self.started, |(_, sent_at)| *sent_at)
    }

    /// The request as it was sent to an endpoint.
    fn sent_request(&self, endpoint: &ListedEndpoint) -> BrokenRequest {
        BrokenRequest {
            parts: self.suspects.clone(),
            sent_at: self.sent_at(&endpoint.id),
        }
    }

    /// Records that the request ended at an endpoint that may have crashed under it.
    fn record_end(&self, endpoint: &Arc<ListedEndpoint>, may_be_complete: bool) {
        let ended = EndedRequest {
            request: self.sent_request(endpoint),
            may_be_complete,
            answered_at: None,
        };
        self.node.record_end(endpoint, ended);
    }

    /// Records that the answer of an endpoint shows that the request does not crash it.
    fn record_sound(&self, endpoint: &ListedEndpoint) {
        let sent_at = self.sent_at(&endpoint.id);
        let state = &mut self.node.lock();
        let now = Instant::now();
        self.node.record_sound(state, &self.suspects, sent_at, now);
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
        if let CallError::NotSent { .. } | CallError::NotRun { .. } = error {
            let node = self.node.clone();
            self.renew_trial(&mut node.lock(), now);
        }
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
