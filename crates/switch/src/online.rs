//! Online requests: picks an endpoint, sends, tries another where that is allowed, and passes the answer on.

use crate::backend::{CallError, CallOptions, EndpointCall, EndpointResponse};
use crate::endpoint::ListedEndpoint;
use crate::events::EventParser;
use crate::load::{EndpointPick, RequestClass};
use crate::node::{RunGuard, SwitchNode, millis};
use crate::route::{RouteKind, ServiceRoute};
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, StatusCode};
use rand::Rng;
use slog::info;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Most endpoints that are asked for one request, those that refused it included.
const MOST_SENDS: u32 = 4;
/// Silence of an endpoint after which it is avoided, and an idempotent request is sent to another one: well under
/// the two seconds after which callers abandon a stream.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// Part of the latency target that may pass in an endpoint's queue; the rest is for the way, the prompt and what
/// other hosts send meanwhile.
const QUEUE_PART: f64 = 0.75;
/// Pause named to callers when no endpoint is known.
const MISSING_RETRY: Duration = Duration::from_millis(500);
/// Least time left in which a request is still sent.
const LEAST_REMAINING: Duration = Duration::from_millis(20);

/// An online request.
pub struct OnlineRequest {
    /// What the endpoint is asked.
    pub call: EndpointCall,
    /// Its route.
    pub route: Arc<ServiceRoute>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// When the caller or the route gives up.
    pub deadline: Instant,
}

/// How an online request ended, or goes on.
pub enum OnlineReply {
    /// An endpoint answers.
    Response(EndpointResponse),
    /// It did not run and never will.
    Rejected {
        /// When to try again.
        retry_after: Duration,
    },
    /// It may have run.
    Failed,
    /// The time was over; it may have run.
    TimedOut,
}

impl SwitchNode {
    /// Serves an online request.
    pub async fn serve_online(self: &Arc<Self>, request: OnlineRequest) -> OnlineReply {
        let count = OnlineCount::begin(self);
        let mut attempt = OnlineAttempt {
            node: self.clone(),
            request,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            begun: Instant::now(),
            first: None,
            endpoint: None,
            ended: false,
            _count: count,
        };
        match attempt.first_answer().await {
            Ok((answer, guard, endpoint)) => {
                OnlineReply::Response(attempt.pass_on(answer, guard, endpoint))
            }
            Err(reply) => {
                attempt.log_reply(&reply);
                reply
            }
        }
    }
}

/// Counts requests in progress, so that a host that stops can wait for them.
struct OnlineCount(Arc<SwitchNode>);

impl OnlineCount {
    fn begin(node: &Arc<SwitchNode>) -> Self {
        node.lock().online += 1;
        Self(node.clone())
    }
}

impl Drop for OnlineCount {
    fn drop(&mut self) {
        self.0.lock().online -= 1;
    }
}

type Opened = (EndpointResponse, RunGuard, Arc<ListedEndpoint>);

struct OnlineAttempt {
    node: Arc<SwitchNode>,
    request: OnlineRequest,
    tried: Vec<Arc<str>>,
    sends: u32,
    runs: u32,
    begun: Instant,
    first: Option<Duration>,
    endpoint: Option<Arc<str>>,
    ended: bool,
    _count: OnlineCount,
}

impl Drop for OnlineAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller left", None);
        }
    }
}

impl OnlineAttempt {
    async fn first_answer(&mut self) -> Result<Opened, OnlineReply> {
        loop {
            let (endpoint, guard) = self.pick()?;
            let opened = self.open(&endpoint, self.request.resume_after).await;
            match opened {
                Ok(answer) => {
                    let status = answer.status;
                    let may_repeat = status.is_server_error() && self.may_run_again();
                    if !may_repeat {
                        return Ok((answer, guard, endpoint));
                    }
                    self.note_attempt(&endpoint, "answered with a failure", "failed");
                    self.runs += 1;
                    if is_own_failure(status) {
                        let state = &mut self.node.lock();
                        self.node.record_failure_response(
                            state,
                            &endpoint.id,
                            RequestClass::Online,
                        );
                    }
                }
                Err(error) => self.note_error(&endpoint, &error)?,
            }
        }
    }

    /// Picks an endpoint and counts the request there.
    fn pick(&mut self) -> Result<(Arc<ListedEndpoint>, RunGuard), OnlineReply> {
        let now = Instant::now();
        let left = self.request.deadline.saturating_duration_since(now);
        if left < LEAST_REMAINING {
            return Err(self.out_of_time());
        }
        if self.sends >= MOST_SENDS {
            return Err(self.give_up(MISSING_RETRY));
        }
        let mut state = self.node.lock();
        let state = &mut *state;
        let draw = state.rng.random::<f64>();
        let Some(service) = self.request.route.pick_service(draw) else {
            return Err(self.give_up(MISSING_RETRY));
        };
        let patience = self.patience(now);
        let mut pick_from = |tried: &[Arc<str>]| {
            let endpoints = &state.endpoints;
            let rng = &mut state.rng;
            state
                .load
                .pick_online(endpoints, service, tried, patience, now, rng)
        };
        let mut pick = pick_from(&self.tried);
        if pick == EndpointPick::Missing && self.runs > 0 {
            // An endpoint that broke off once is better than none.
            pick = pick_from(&[]);
        }
        match pick {
            EndpointPick::Use(endpoint) => {
                let load = state.load.total(&endpoint.id);
                info!(self.node.parts.logger, "request routed"; "request" => &*self.request.call.id,
                    "service" => &**service, "endpoint" => &*endpoint.id, "send" => self.sends + 1,
                    "online" => load.online, "batch" => load.batch, "slots" => endpoint.slots,
                    "report_age_ms" => millis(state.members.oldest_heartbeat_age(now)),
                    "config" => state.routes.as_ref().map(|routes| routes.version),
                    "left_ms" => millis(left));
                let guard = RunGuard::begin(&self.node, state, &endpoint, RequestClass::Online);
                self.sends += 1;
                self.endpoint = Some(endpoint.id.clone());
                Ok((endpoint, guard))
            }
            EndpointPick::Full { wait } => {
                let draw = state.rng.random::<f64>();
                let retry_after = state.overload.refuse(wait, now, draw);
                info!(self.node.parts.logger, "request not routed"; "request" => &*self.request.call.id,
                    "service" => &**service, "cause" => "all endpoints have queues",
                    "report_age_ms" => millis(state.members.oldest_heartbeat_age(now)),
                    "wait_ms" => millis(wait), "mean_run_ms" => millis(state.load.mean_duration()));
                Err(self.give_up(retry_after))
            }
            EndpointPick::Missing => {
                info!(self.node.parts.logger, "request not routed"; "request" => &*self.request.call.id,
                    "service" => &**service, "cause" => "no endpoint is left",
                    "tried" => self.tried.len(), "listed" => state.endpoints.len());
                Err(self.give_up(MISSING_RETRY))
            }
        }
    }

    /// Time that the request may wait at an endpoint for its first token.
    fn patience(&self, now: Instant) -> Duration {
        let target = self.request.route.latency_target;
        let left = self.request.deadline.saturating_duration_since(now);
        if target.is_zero() {
            left
        } else {
            target.mul_f64(QUEUE_PART).min(left)
        }
    }

    async fn open(
        &self,
        endpoint: &ListedEndpoint,
        resume_after: Option<u64>,
    ) -> Result<EndpointResponse, CallError> {
        let now = Instant::now();
        let deadline = self.request.deadline;
        let terms = CallOptions {
            remaining: deadline.saturating_duration_since(now),
            resume_after,
        };
        let mut call = self
            .node
            .parts
            .client
            .call(endpoint, &self.request.call, terms);
        let silent = deadline.min(now + SILENCE_LIMIT);
        if let Ok(opened) = timeout_at(silent, &mut call).await {
            return opened;
        }
        if self.may_run_again() || silent == deadline {
            return Err(broken("no answer in time"));
        }
        // It may run once only, so this endpoint has to answer; new requests go elsewhere meanwhile.
        self.node
            .avoid_endpoint(&mut self.node.lock(), &endpoint.id, Instant::now());
        match timeout_at(deadline, call).await {
            Ok(opened) => opened,
            Err(_) => Err(broken("no answer in time")),
        }
    }

    fn may_run_again(&self) -> bool {
        self.request.route.is_idempotent()
            && self.runs + 1 < self.request.route.attempts
            && self.sends < MOST_SENDS
    }

    fn note_error(
        &mut self,
        endpoint: &ListedEndpoint,
        error: &CallError,
    ) -> Result<(), OnlineReply> {
        let now = Instant::now();
        self.note_attempt(endpoint, error, error.outcome());
        match error {
            CallError::NotSent { .. } => {
                self.node
                    .avoid_endpoint(&mut self.node.lock(), &endpoint.id, now);
                Ok(())
            }
            CallError::NotRun { misdirected, .. } => {
                if *misdirected {
                    self.node
                        .avoid_endpoint(&mut self.node.lock(), &endpoint.id, now);
                } else {
                    self.node.lock().load.mark_full(&endpoint.id, now);
                }
                Ok(())
            }
            CallError::Broken { .. } => {
                self.node
                    .avoid_endpoint(&mut self.node.lock(), &endpoint.id, now);
                let again = self.may_run_again();
                self.runs += 1;
                if again {
                    Ok(())
                } else if self.request.deadline <= now + LEAST_REMAINING {
                    Err(OnlineReply::TimedOut)
                } else {
                    Err(OnlineReply::Failed)
                }
            }
        }
    }

    /// Notes an attempt that brought no answer; its endpoint is not asked again for this request.
    fn note_attempt(
        &mut self,
        endpoint: &ListedEndpoint,
        cause: impl Display,
        outcome: &'static str,
    ) {
        info!(self.node.parts.logger, "attempt failed"; "request" => &*self.request.call.id,
            "endpoint" => &*endpoint.id, "send" => self.sends, "cause" => %cause,
            "after_ms" => millis(self.begun.elapsed()));
        self.node.metrics.count_attempt(outcome);
        self.tried.push(endpoint.id.clone());
    }

    fn give_up(&self, retry_after: Duration) -> OnlineReply {
        if self.runs == 0 {
            OnlineReply::Rejected { retry_after }
        } else {
            OnlineReply::Failed
        }
    }

    fn out_of_time(&self) -> OnlineReply {
        if self.runs == 0 {
            OnlineReply::Rejected {
                retry_after: MISSING_RETRY,
            }
        } else {
            OnlineReply::TimedOut
        }
    }

    fn log_reply(&mut self, reply: &OnlineReply) {
        match reply {
            OnlineReply::Response(_) => self.log_end("answered", None),
            OnlineReply::Rejected { retry_after } => self.log_end("rejected", Some(*retry_after)),
            OnlineReply::Failed => self.log_end("failed", None),
            OnlineReply::TimedOut => self.log_end("timed out", None),
        }
    }

    /// Notes how the request ended, once.
    fn log_end(&mut self, outcome: &'static str, retry_after: Option<Duration>) {
        self.ended = true;
        let took = self.begun.elapsed();
        self.node.metrics.count_request(outcome, took);
        info!(self.node.parts.logger, "request ended"; "request" => &*self.request.call.id,
            "outcome" => outcome, "retry_ms" => retry_after.map(millis), "sends" => self.sends,
            "runs" => self.runs, "first_ms" => self.first.map(millis),
            "endpoint" => self.endpoint.as_deref(), "after_ms" => millis(took));
    }

    fn pass_on(
        self,
        answer: EndpointResponse,
        guard: RunGuard,
        endpoint: Arc<ListedEndpoint>,
    ) -> EndpointResponse {
        let resumable = self.request.route.kind == RouteKind::Stream
            && self.request.route.resumable
            && answer.status.is_success();
        let pass = PassedAnswer {
            status: answer.status,
            last_event: self.request.resume_after,
            attempt: self,
            endpoint,
            body: Some(answer.body),
            guard: Some(guard),
            splitter: EventParser::default(),
            resumable,
            length_left: content_length(&answer.headers),
            ended: false,
        };
        let body = stream::unfold(pass, |mut pass| async move {
            let item = pass.next_chunk().await?;
            Some((item, pass))
        });
        EndpointResponse {
            status: answer.status,
            headers: answer.headers,
            body: body.boxed(),
        }
    }
}

/// The body of an answer on its way to the caller.
struct PassedAnswer {
    attempt: OnlineAttempt,
    status: StatusCode,
    endpoint: Arc<ListedEndpoint>,
    body: Option<BoxStream<'static, Result<Bytes, CallError>>>,
    guard: Option<RunGuard>,
    splitter: EventParser,
    last_event: Option<u64>,
    resumable: bool,
    /// Bytes that are to come of an answer of known length.
    length_left: Option<u64>,
    ended: bool,
}

impl PassedAnswer {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, CallError>> {
        if self.ended {
            return None;
        }
        if !self.resumable {
            let deadline = self.attempt.request.deadline;
            return self.next_raw(deadline).await;
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                if let (Some(id), Some(last)) = (event.id, self.last_event)
                    && id != last + 1
                {
                    self.splitter.clear();
                    if let Err(error) = self.resume("events are missing").await {
                        return Some(self.broken(error));
                    }
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                return Some(Ok(event.bytes));
            }
            let limit = self.failure_timeout();
            match self.next_raw(limit).await {
                Some(Ok(chunk)) => {
                    if !self.splitter.push(&chunk) {
                        let error = broken("an event is over 1 MiB");
                        return Some(self.broken(error));
                    }
                }
                None if !self.splitter.has_partial_event() => return None,
                other => {
                    let cause = match other {
                        Some(Err(error)) => error.to_string(),
                        _ => "the last event is not whole".to_owned(),
                    };
                    self.splitter.clear();
                    if let Err(error) = self.resume(&cause).await {
                        return Some(self.broken(error));
                    }
                }
            }
        }
    }

    /// Silence after which the answer goes on at another endpoint.
    fn failure_timeout(&self) -> Instant {
        let deadline = self.attempt.request.deadline;
        if self.attempt.may_run_again() {
            deadline.min(Instant::now() + SILENCE_LIMIT)
        } else {
            deadline
        }
    }

    async fn next_raw(&mut self, limit: Instant) -> Option<Result<Bytes, CallError>> {
        let body = self.body.as_mut()?;
        let next = timeout_at(limit, body.next()).await;
        let chunk = match next {
            Ok(Some(Ok(chunk))) => {
                self.note_chunk(chunk.len());
                return Some(Ok(chunk));
            }
            Ok(None) => {
                if !(self.resumable && self.splitter.has_partial_event()) {
                    self.finish("answered");
                }
                None
            }
            Ok(Some(Err(error))) => Some(Err(error)),
            Err(_) => Some(Err(broken("the endpoint fell silent"))),
        };
        if let Some(Err(error)) = &chunk
            && !self.resumable
        {
            let error = error.clone();
            return Some(self.broken(error));
        }
        chunk
    }

    /// Goes on at another endpoint behind the last whole event.
    async fn resume(&mut self, cause: &str) -> Result<(), CallError> {
        self.body = None;
        self.guard = None;
        let error = broken(cause);
        let mut noted = self.attempt.note_error(&self.endpoint, &error);
        loop {
            if noted.is_err() {
                return Err(error);
            }
            let Ok((endpoint, guard)) = self.attempt.pick() else {
                return Err(error);
            };
            match self.attempt.open(&endpoint, self.last_event).await {
                Ok(answer) if answer.status.is_success() => {
                    info!(self.attempt.node.parts.logger, "answer resumed";
                        "request" => &*self.attempt.request.call.id,
                        "endpoint" => &*endpoint.id, "after_event" => self.last_event);
                    self.body = Some(answer.body);
                    self.guard = Some(guard);
                    self.endpoint = endpoint;
                    return Ok(());
                }
                Ok(answer) => {
                    let error = broken(&format!("resuming was answered {}", answer.status));
                    noted = self.attempt.note_error(&endpoint, &error);
                }
                Err(error) => noted = self.attempt.note_error(&endpoint, &error),
            }
        }
    }

    /// Notes the end of the answer. `outcome` is what became of passing it on.
    fn finish(&mut self, mut outcome: &'static str) {
        self.ended = true;
        self.body = None;
        self.guard = None;
        let attempt = &mut self.attempt;
        if outcome == "answered" {
            let mut state = attempt.node.lock();
            if is_own_failure(self.status) {
                let node = &attempt.node;
                node.record_failure_response(&mut state, &self.endpoint.id, RequestClass::Online);
                outcome = "answered with a failure";
            } else {
                // The time after the first byte: what a slot is held for.
                let waited = attempt.first.unwrap_or_default();
                let run = attempt.begun.elapsed().saturating_sub(waited);
                state.load.record_duration(run);
                let health = state.load.health(&self.endpoint.id);
                health.record_success(attempt.begun);
            }
        }
        attempt.log_end(outcome, None);
    }

    /// Notes the first byte, and the end of an answer whose length is known.
    fn note_chunk(&mut self, bytes: usize) {
        if self.attempt.first.is_none() {
            let took = self.attempt.begun.elapsed();
            self.attempt.first = Some(took);
            self.attempt.node.metrics.note_first_byte(took);
        }
        if let Some(left) = &mut self.length_left {
            *left = left.saturating_sub(bytes as u64);
            if *left == 0 {
                self.finish("answered");
            }
        }
    }

    fn broken(&mut self, error: CallError) -> Result<Bytes, CallError> {
        if !self.ended {
            let now = Instant::now();
            let late = self.attempt.request.deadline <= now + LEAST_REMAINING;
            if !late {
                let node = &self.attempt.node;
                node.avoid_endpoint(&mut node.lock(), &self.endpoint.id, now);
            }
            info!(self.attempt.node.parts.logger, "answer broke off";
                "request" => &*self.attempt.request.call.id, "cause" => %error,
                "at_deadline" => late);
            self.finish("broken off");
        }
        Err(error)
    }
}

/// Whether a status tells of a failure of the endpoint itself: not of a request whose time was over.
fn is_own_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn broken(cause: &str) -> CallError {
    CallError::Broken {
        cause: cause.into(),
    }
}
