//! Forwards the body of a response to the caller.

use super::answer::AnswerEnd;
use super::attempts::{
    ANSWERED_ELSEWHERE, AttemptResponse, EndpointSilence, MAX_OTHER_WAIT, SilenceStep, TimedStep,
};
use super::target::AttemptTarget;
use super::{BodyEnd, MIN_REMAINING, OnlineExchange, interrupted, is_endpoint_failure};
use crate::answer_progress::AnswerProgress;
use crate::backend::{BodyFraming, CallError, EndpointResponse, ResponseSource};
use crate::events::{EventBoundary, EventParser, StreamEvent, has_event_stream};
use crate::in_flight::InFlightGuard;
use crate::load::RequestClass;
use crate::origins::VersionKey;
use crate::route::RouteKind;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use slog::info;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Forwards a response to the caller, and resumes it at another endpoint where that is allowed.
pub(super) fn forward(
    exchange: OnlineExchange,
    response: EndpointResponse,
    guard: Option<InFlightGuard>,
    target: AttemptTarget,
) -> EndpointResponse {
    let has_events = response.status.is_success()
        && has_event_stream(&response.headers, exchange.request.route.kind);
    let resumable = exchange.request.route.kind == RouteKind::Stream
        && exchange.request.route.resumable
        && has_events;
    let source = match &target {
        AttemptTarget::Endpoint(endpoint) => Some(ResponseSource::of(endpoint)),
        AttemptTarget::Host(_) => response.source,
    };
    let forwarded = ForwardedResponse {
        status: response.status,
        last_event: exchange.request.resume_after,
        follows: exchange.request.resume_after,
        content_type: response.headers.get(CONTENT_TYPE).cloned(),
        exchange,
        target,
        version: source.as_ref().map(|source| source.version),
        body: Some(response.body),
        guard,
        caller_framing: response.framing,
        framing: response.framing,
        unmarked_end: None,
        parser: EventParser::default(),
        events: 0,
        boundary: has_events.then(EventBoundary::default),
        resumable,
        remaining_bytes: content_length(&response.headers),
        silence: EndpointSilence::begin(),
        made_progress: false,
        progress: AnswerProgress::default(),
        ended: false,
    };
    let body = stream::unfold(forwarded, |mut forwarded| async move {
        let item = forwarded.next_chunk().await?;
        Some((item, forwarded))
    });
    EndpointResponse {
        status: response.status,
        headers: response.headers,
        framing: response.framing,
        leaving: response.leaving,
        limit: response.limit,
        source,
        body: body.boxed(),
    }
}

/// The body of a response being forwarded to the caller.
struct ForwardedResponse {
    exchange: OnlineExchange,
    status: StatusCode,
    /// Where the body, or the last one, comes from.
    target: AttemptTarget,
    /// Software version of its endpoint; `None` if another host does not tell.
    version: Option<VersionKey>,
    /// `None` after it has broken off, while the response is resumed at another endpoint.
    body: Option<ResponseChunks>,
    guard: Option<InFlightGuard>,
    /// Framing of the answer to the caller: that of the first body.
    caller_framing: BodyFraming,
    /// Framing of the body, or of the last one.
    framing: BodyFraming,
    /// The last unmarked end of a body; `None` if there was none or further data has followed.
    unmarked_end: Option<UnmarkedEnd>,
    parser: EventParser,
    /// Number of events that the parser has found.
    events: u32,
    /// Where in an event a body that is not resumed has come to; `None` if it is no stream of events.
    boundary: Option<EventBoundary>,
    last_event: Option<u64>,
    /// Event after which the current body has to go on; `None` if it begins the stream, or has gone on.
    follows: Option<u64>,
    /// Content type that the caller was told.
    content_type: Option<HeaderValue>,
    resumable: bool,
    /// Bytes not received yet of a response with a content length.
    remaining_bytes: Option<u64>,
    /// Time without an event, for responses that may be resumed.
    silence: EndpointSilence,
    /// Whether the caller has got an event with an ID since the silence began.
    made_progress: bool,
    /// Progress of the body, or of the last one.
    progress: AnswerProgress,
    ended: bool,
}

type ResponseChunks = BoxStream<'static, Result<Bytes, CallError>>;

/// What a response that may be resumed waits for.
enum ResponseInput {
    /// A chunk of the body; `None` at its end.
    Chunk(Option<Result<Bytes, CallError>>),
    /// A response of another endpoint.
    Response(Box<AttemptResponse>),
    /// No endpoint has sent an event until a step became due.
    Silence(TimedStep),
    /// No endpoint has told in time whether anything follows an unmarked end.
    NoConfirmation,
}

/// The end of a body by the end of its connection, where the caller was promised a marked end.
struct UnmarkedEnd {
    /// Last event before it.
    last_event: Option<u64>,
    /// Where the body came from.
    target: AttemptTarget,
    /// Until when another endpoint may tell whether further events follow.
    confirm_until: Instant,
}

impl ForwardedResponse {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, CallError>> {
        if self.ended {
            return None;
        }
        if !self.resumable {
            let deadline = self.exchange.request.deadline;
            return self.read_chunk(deadline).await;
        }
        if self.made_progress {
            // Counted from now, since the time in which the caller did not read is no silence of the endpoint.
            self.silence = EndpointSilence::begin();
            self.made_progress = false;
        }
        loop {
            match self.next_event() {
                Ok(None) => {}
                Ok(Some(event)) => return Some(Ok(event)),
                Err(error) => return Some(self.interrupt(error)),
            }
            let handled = match self.next_input().await {
                ResponseInput::Chunk(Some(Ok(chunk))) => self.apply_chunk(&chunk),
                ResponseInput::Chunk(Some(Err(error))) => self.resume(&error),
                ResponseInput::Chunk(None) if self.parser.has_partial_event() => {
                    self.resume(&incomplete_event())
                }
                ResponseInput::Chunk(None) if self.seek_marked_end() => Ok(()),
                ResponseInput::Chunk(None) if self.is_end_confirmed() => {
                    self.finish("answered");
                    return None;
                }
                ResponseInput::Chunk(None) | ResponseInput::NoConfirmation => {
                    return self.end_unconfirmed().await;
                }
                ResponseInput::Response(response) => self.apply_response(*response).await,
                ResponseInput::Silence(step) => self.apply_silence(step),
            };
            match handled {
                Ok(()) => {}
                Err(_) if self.is_at_unmarked_end() => return self.end_unconfirmed().await,
                Err(error) => return Some(self.interrupt(error)),
            }
        }
    }

    /// Takes the next complete event, unless it does not follow the last one, after which the response is resumed.
    fn next_event(&mut self) -> Result<Option<Bytes>, CallError> {
        let Some(event) = self.parser.next_event() else {
            return Ok(None);
        };
        if let Err(error) = self.check_event(&event) {
            self.resume(&error)?;
            return Ok(None);
        }
        self.events += 1;
        self.last_event = event.id.or(self.last_event);
        self.follows = self.follows.filter(|_| event.id.is_none());
        self.exchange.record_event(&self.target, self.version);
        if event.id.is_some() {
            // The endpoint goes on, so no other one is needed.
            self.exchange.cancel_attempts();
            self.made_progress = true;
        }
        Ok(Some(event.bytes))
    }

    /// Checks that an event belongs to the stream. Data without an ID may come between events, but does not show that a body goes on
    /// after the last one.
    fn check_event(&self, event: &StreamEvent) -> Result<(), CallError> {
        if !event.is_sound() {
            return Err(foreign_bytes());
        }
        match (event.id, self.last_event) {
            (Some(id), Some(last)) if last.checked_add(1) != Some(id) => {
                Err(interrupted("event IDs are not consecutive"))
            }
            (None, _) if self.follows.is_some() && event.has_data() => {
                Err(interrupted("the resumed body begins without an event ID"))
            }
            _ => Ok(()),
        }
    }

    /// Checks that a response to the resumed request can continue the stream. An error with a successful status has
    /// another content type, and must not pass for a stream without further events.
    fn check_continuation(&self, response: &EndpointResponse) -> Result<(), CallError> {
        if response.status != StatusCode::OK {
            let status = response.status;
            return Err(interrupted(&format!("resuming returned status {status}")));
        }
        let is_declared =
            response.headers.contains_key(CONTENT_TYPE) || self.content_type.is_none();
        let kind = self.exchange.request.route.kind;
        if is_declared && has_event_stream(&response.headers, kind) {
            Ok(())
        } else {
            Err(interrupted("resuming returned no stream of events"))
        }
    }

    /// Waits for the current endpoint and for the one that may replace it.
    async fn next_input(&mut self) -> ResponseInput {
        let exchange = &mut self.exchange;
        let current = self.body.is_some().then_some(&self.target);
        let step = exchange.silence_step(&self.silence, current);
        if step.0 <= Instant::now() {
            // A body with a chunk always ready must not outlast a step.
            return ResponseInput::Silence(step);
        }
        let end = self.unmarked_end.as_ref();
        let end = end.filter(|end| end.last_event == self.last_event);
        let confirm_until = end.map(|end| end.confirm_until);
        let input = {
            let body = &mut self.body;
            let next_chunk = async {
                match body {
                    Some(body) => body.next().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                response = exchange.attempts.next_response() => {
                    ResponseInput::Response(Box::new(response))
                }
                chunk = next_chunk => ResponseInput::Chunk(chunk),
                () = sleep_until(step.0) => ResponseInput::Silence(step),
                () = sleep_until(confirm_until.unwrap_or(step.0)), if confirm_until.is_some() => {
                    ResponseInput::NoConfirmation
                }
            }
        };
        if let ResponseInput::Chunk(Some(Ok(chunk))) = &input {
            self.record_chunk(chunk.len());
        }
        input
    }

    fn apply_chunk(&mut self, chunk: &[u8]) -> Result<(), CallError> {
        if self.parser.push(chunk) {
            Ok(())
        } else {
            Err(interrupted("an event exceeds 1 MiB"))
        }
    }

    /// Goes on at the endpoint that has responded, unless it refuses the request or fails.
    async fn apply_response(
        &mut self,
        (attempt, response): AttemptResponse,
    ) -> Result<(), CallError> {
        let checked = response.and_then(|response| {
            self.check_continuation(&response)?;
            Ok(response)
        });
        let response = match checked {
            Ok(response) => {
                let confirmed = self
                    .exchange
                    .confirm_version(&attempt.target, self.last_event);
                confirmed.await.map(|()| response)
            }
            Err(error) => Err(error),
        };
        let error = match response {
            Ok(response) => {
                if self.body.take().is_some() {
                    self.exchange.give_up(&self.target, ANSWERED_ELSEWHERE);
                }
                self.exchange.supersede_attempts(&attempt);
                info!(self.exchange.node.deps.logger, "answer resumed";
                    "request" => &*self.exchange.request.call.id,
                    "endpoint" => &**attempt.target.id(),
                    "version" => attempt.target.endpoint().map(|endpoint| &*endpoint.version),
                    "after_event" => self.last_event);
                self.parser.clear();
                self.follows = self.last_event;
                self.framing = response.framing;
                self.body = Some(response.body);
                self.guard = attempt.guard;
                self.version = response.source.map(|source| source.version);
                self.target = attempt.target;
                self.progress = AnswerProgress::default();
                self.silence = EndpointSilence::begin();
                return Ok(());
            }
            Err(error) => error,
        };
        let handled = self.exchange.handle_error(&attempt.target, &error);
        if self.body.is_some() {
            // The current endpoint still has the request.
            return Ok(());
        }
        if let Some(started) = self.exchange.attempts.oldest_started() {
            self.silence = EndpointSilence::since(started);
            return Ok(());
        }
        handled.map_err(|_| error.clone())?;
        self.exchange.wait_for_check(&error).await;
        self.begin_resumption(&error)
    }

    fn apply_silence(&mut self, step: TimedStep) -> Result<(), CallError> {
        if step.1 == SilenceStep::Deadline {
            return Err(interrupted("no further data before the deadline"));
        }
        let current = self.body.is_some().then_some(&self.target);
        let (exchange, silence) = (&mut self.exchange, &mut self.silence);
        if exchange.take_step(step, silence, current, self.last_event) {
            self.drop_current();
            let started = self.exchange.attempts.oldest_started();
            self.silence = started.map_or_else(EndpointSilence::begin, EndpointSilence::since);
        }
        Ok(())
    }

    async fn read_chunk(&mut self, deadline: Instant) -> Option<Result<Bytes, CallError>> {
        let body = self.body.as_mut()?;
        // The timeout polls the body first, so a body with a chunk always ready would outlast the deadline.
        let next = if deadline <= Instant::now() {
            None
        } else {
            timeout_at(deadline, body.next()).await.ok()
        };
        match next {
            Some(Some(Ok(chunk))) => {
                let boundary = self.boundary.as_mut();
                if !boundary.is_none_or(|boundary| boundary.push(&chunk)) {
                    return Some(self.interrupt(foreign_bytes()));
                }
                self.record_chunk(chunk.len());
                Some(Ok(chunk))
            }
            Some(None) if self.ends_within_event() => Some(self.interrupt(incomplete_event())),
            Some(None) => {
                self.finish("answered");
                None
            }
            Some(Some(Err(error))) => Some(self.interrupt(error)),
            None => {
                let error = interrupted("no further data before the deadline");
                Some(self.interrupt(error))
            }
        }
    }

    /// Resumes the response at another endpoint after the last complete event, since the current one has failed.
    fn resume(&mut self, error: &CallError) -> Result<(), CallError> {
        self.drop_current();
        let handled = self.exchange.handle_error(&self.target, error);
        if let Some(started) = self.exchange.attempts.oldest_started() {
            self.silence = EndpointSilence::since(started);
            return Ok(());
        }
        handled.map_err(|_| error.clone())?;
        self.begin_resumption(error)
    }

    /// Sends the request to another endpoint. Returns `error` if there is none.
    fn begin_resumption(&mut self, error: &CallError) -> Result<(), CallError> {
        let begun = self.exchange.begin_attempt(self.last_event);
        self.silence = EndpointSilence::begin();
        begun.map_err(|_| error.clone())
    }

    /// Asks another endpoint whether further events follow, if the caller was promised a marked end and the body has none.
    /// Returns whether one is asked. A regular close between two events is a complete stream's end too, so the answer is
    /// complete if no endpoint can be asked or a second body ends after the same event.
    fn seek_marked_end(&mut self) -> bool {
        if !self.lacks_marked_end() || self.is_at_unmarked_end() || !self.exchange.may_retry() {
            return false;
        }
        self.drop_current();
        self.exchange.tried.push(self.target.id().clone());
        self.exchange.runs += 1;
        self.silence = EndpointSilence::begin();
        self.unmarked_end = Some(UnmarkedEnd {
            last_event: self.last_event,
            target: self.target.clone(),
            confirm_until: Instant::now() + MAX_OTHER_WAIT,
        });
        self.exchange.begin_attempt(self.last_event).is_ok()
    }

    /// Ends the response where nothing is known to follow. An end without a mark, where the caller was promised one, is that of
    /// the stream, unless its endpoint has crashed.
    async fn end_unconfirmed(&mut self) -> Option<Result<Bytes, CallError>> {
        let closed = match &self.unmarked_end {
            Some(end) if end.last_event == self.last_event => Some(end.target.clone()),
            _ if self.lacks_marked_end() => Some(self.target.clone()),
            _ => None,
        };
        if let Some(AttemptTarget::Endpoint(endpoint)) = closed {
            let client = self.exchange.node.deps.client.clone();
            if client.refuses_connections(&endpoint).await {
                return Some(self.interrupt(interrupted("the endpoint has ended")));
            }
        }
        self.finish("answered");
        None
    }

    /// Whether the end of the current body tells that the stream is complete: it is marked, or another endpoint's body ended
    /// after the same event.
    fn is_end_confirmed(&self) -> bool {
        let other_agrees = |end: &UnmarkedEnd| end.target.id() != self.target.id();
        let end = self.unmarked_end.as_ref();
        let end = end.filter(|end| end.last_event == self.last_event);
        !self.lacks_marked_end() || end.is_some_and(other_agrees)
    }

    fn lacks_marked_end(&self) -> bool {
        self.caller_framing == BodyFraming::Delimited && self.framing == BodyFraming::UntilClose
    }

    /// Whether a body ended without a marked end after the last event, and nothing has followed since.
    fn is_at_unmarked_end(&self) -> bool {
        let end = self.unmarked_end.as_ref();
        end.is_some_and(|end| end.last_event == self.last_event)
    }

    fn drop_current(&mut self) {
        if self.parser.has_partial_event() {
            self.unmarked_end = None;
        }
        self.body = None;
        self.guard = None;
        self.parser.clear();
    }

    /// Whether the bytes of the current body so far end within an event.
    fn ends_within_event(&self) -> bool {
        let boundary = self.boundary.as_ref();
        boundary.is_some_and(EventBoundary::is_within_event) || self.parser.has_partial_event()
    }

    /// Records the end of the response. `outcome` is the result of forwarding it.
    fn finish(&mut self, mut outcome: &'static str) {
        let within_event = self.ends_within_event();
        self.ended = true;
        self.body = None;
        self.guard = None;
        self.exchange.cancel_attempts();
        let end = AnswerEnd {
            status: self.status,
            framing: self.framing,
            progress: self.progress,
            events: self.events + self.boundary.as_ref().map_or(0, EventBoundary::events),
        };
        let exchange = &mut self.exchange;
        let is_failure = is_endpoint_failure(self.status);
        if outcome == "answered" && is_failure {
            outcome = "answered with a failure";
        }
        // The host that has passed a request on learns nothing of the endpoint.
        if let AttemptTarget::Endpoint(endpoint) = &self.target {
            match outcome {
                "answered" => exchange.record_answer(endpoint, end),
                "answered with a failure" => {
                    let state = &mut exchange.node.lock();
                    let class = RequestClass::Online;
                    exchange
                        .node
                        .record_error_response(state, &endpoint.id, class);
                }
                _ => {}
            }
        }
        exchange.body_end = Some(BodyEnd {
            framing: self.framing,
            within_event,
        });
        exchange.log_end(outcome, None);
    }

    /// Records the first byte, and the end of a response with a content length.
    fn record_chunk(&mut self, bytes: usize) {
        if let (AttemptTarget::Endpoint(endpoint), Some(guard)) = (&self.target, &mut self.guard) {
            self.exchange.node.record_heard();
            guard.begin_run();
            if self.progress.record_data(Instant::now()) {
                self.exchange.record_sound(endpoint);
            }
        }
        if self.exchange.time_to_first_byte.is_none() {
            let elapsed = self.exchange.started.elapsed();
            self.exchange.time_to_first_byte = Some(elapsed);
            self.exchange.node.metrics.record_first_byte(elapsed);
        }
        if let Some(remaining) = &mut self.remaining_bytes {
            *remaining = remaining.saturating_sub(bytes as u64);
            if *remaining == 0 {
                self.finish("answered");
            }
        }
    }

    /// Ends the response with an error.
    fn interrupt(&mut self, error: CallError) -> Result<Bytes, CallError> {
        if !self.ended {
            let now = Instant::now();
            let at_deadline = self.exchange.request.deadline <= now + MIN_REMAINING;
            if !at_deadline && let AttemptTarget::Endpoint(endpoint) = &self.target {
                self.exchange.avoid(&self.target);
                self.exchange.record_end(endpoint, false);
            }
            info!(self.exchange.node.deps.logger, "answer broke off";
                "request" => &*self.exchange.request.call.id, "endpoint" => &**self.target.id(),
                "cause" => %error, "at_deadline" => at_deadline);
            self.finish("broken off");
        }
        Err(error)
    }
}

fn incomplete_event() -> CallError {
    interrupted("the last event is incomplete")
}

fn foreign_bytes() -> CallError {
    interrupted("the body has bytes that belong to no event")
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
