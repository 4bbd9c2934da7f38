//! Forwards the body of a response to the caller.

use super::{MIN_REMAINING, OnlineExchange, STALL_TIMEOUT, interrupted, is_endpoint_failure};
use crate::backend::{CallError, EndpointResponse};
use crate::endpoint::ListedEndpoint;
use crate::events::EventParser;
use crate::in_flight::InFlightGuard;
use crate::load::RequestClass;
use crate::route::RouteKind;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, StatusCode};
use slog::info;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// Forwards a response to the caller, and resumes it at another endpoint where that is allowed.
pub(super) fn forward(
    exchange: OnlineExchange,
    response: EndpointResponse,
    guard: InFlightGuard,
    endpoint: Arc<ListedEndpoint>,
) -> EndpointResponse {
    let resumable = exchange.request.route.kind == RouteKind::Stream
        && exchange.request.route.resumable
        && response.status.is_success();
    let forwarded = ForwardedResponse {
        status: response.status,
        last_event: exchange.request.resume_after,
        exchange,
        endpoint,
        body: Some(response.body),
        guard: Some(guard),
        parser: EventParser::default(),
        resumable,
        remaining_bytes: content_length(&response.headers),
        ended: false,
    };
    let body = stream::unfold(forwarded, |mut forwarded| async move {
        let item = forwarded.next_chunk().await?;
        Some((item, forwarded))
    });
    EndpointResponse {
        status: response.status,
        headers: response.headers,
        body: body.boxed(),
    }
}

/// The body of a response being forwarded to the caller.
struct ForwardedResponse {
    exchange: OnlineExchange,
    status: StatusCode,
    endpoint: Arc<ListedEndpoint>,
    body: Option<BoxStream<'static, Result<Bytes, CallError>>>,
    guard: Option<InFlightGuard>,
    parser: EventParser,
    last_event: Option<u64>,
    resumable: bool,
    /// Bytes not received yet of a response with a content length.
    remaining_bytes: Option<u64>,
    ended: bool,
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
        loop {
            if let Some(event) = self.parser.next_event() {
                if let (Some(id), Some(last)) = (event.id, self.last_event)
                    && id != last + 1
                {
                    self.parser.clear();
                    if let Err(error) = self.resume("event IDs are not consecutive").await {
                        return Some(self.interrupt(error));
                    }
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                self.exchange.record_event(&self.endpoint);
                return Some(Ok(event.bytes));
            }
            let deadline = self.stall_deadline();
            match self.read_chunk(deadline).await {
                Some(Ok(chunk)) => {
                    if !self.parser.push(&chunk) {
                        let error = interrupted("an event exceeds 1 MiB");
                        return Some(self.interrupt(error));
                    }
                }
                None if !self.parser.has_partial_event() => return None,
                other => {
                    let cause = match other {
                        Some(Err(error)) => error.to_string(),
                        _ => "the last event is incomplete".to_owned(),
                    };
                    self.parser.clear();
                    if let Err(error) = self.resume(&cause).await {
                        return Some(self.interrupt(error));
                    }
                }
            }
        }
    }

    /// Time at which the current endpoint counts as stalled if it sends no data until then.
    fn stall_deadline(&self) -> Instant {
        let deadline = self.exchange.request.deadline;
        if self.exchange.may_retry() {
            deadline.min(Instant::now() + STALL_TIMEOUT)
        } else {
            deadline
        }
    }

    async fn read_chunk(&mut self, deadline: Instant) -> Option<Result<Bytes, CallError>> {
        let body = self.body.as_mut()?;
        let next = timeout_at(deadline, body.next()).await;
        let chunk = match next {
            Ok(Some(Ok(chunk))) => {
                self.record_chunk(chunk.len());
                return Some(Ok(chunk));
            }
            Ok(None) => {
                if !(self.resumable && self.parser.has_partial_event()) {
                    self.finish("answered");
                }
                None
            }
            Ok(Some(Err(error))) => Some(Err(error)),
            Err(_) => Some(Err(interrupted("the endpoint stopped sending data"))),
        };
        if let Some(Err(error)) = &chunk
            && !self.resumable
        {
            let error = error.clone();
            return Some(self.interrupt(error));
        }
        chunk
    }

    /// Resumes the response at another endpoint after the last complete event.
    async fn resume(&mut self, cause: &str) -> Result<(), CallError> {
        self.body = None;
        self.guard = None;
        let error = interrupted(cause);
        let mut handled = self.exchange.handle_error(&self.endpoint, &error);
        loop {
            if handled.is_err() {
                return Err(error);
            }
            let Ok((endpoint, guard)) = self.exchange.pick() else {
                return Err(error);
            };
            match self.exchange.open(&endpoint, self.last_event).await {
                Ok(response) if response.status.is_success() => {
                    info!(self.exchange.node.deps.logger, "answer resumed";
                        "request" => &*self.exchange.request.call.id,
                        "endpoint" => &*endpoint.id, "version" => &*endpoint.version,
                        "after_event" => self.last_event);
                    self.body = Some(response.body);
                    self.guard = Some(guard);
                    self.endpoint = endpoint;
                    return Ok(());
                }
                Ok(response) => {
                    let error =
                        interrupted(&format!("resuming returned status {}", response.status));
                    handled = self.exchange.handle_error(&endpoint, &error);
                }
                Err(error) => handled = self.exchange.handle_error(&endpoint, &error),
            }
        }
    }

    /// Records the end of the response. `outcome` is the result of forwarding it.
    fn finish(&mut self, mut outcome: &'static str) {
        self.ended = true;
        self.body = None;
        self.guard = None;
        let exchange = &mut self.exchange;
        if outcome == "answered" {
            let mut state = exchange.node.lock();
            if is_endpoint_failure(self.status) {
                let node = &exchange.node;
                node.record_error_response(&mut state, &self.endpoint.id, RequestClass::Online);
                outcome = "answered with a failure";
            } else {
                let first_byte = exchange.time_to_first_byte;
                let waited = first_byte.unwrap_or_default();
                let run = exchange.started.elapsed().saturating_sub(waited);
                let unqueued = first_byte.filter(|_| exchange.had_free_slot);
                state.load.record_response(unqueued, run);
                let health = state.load.health(&self.endpoint.id);
                health.record_success(exchange.started);
            }
        }
        exchange.log_end(outcome, None);
    }

    /// Records the first byte, and the end of a response with a content length.
    fn record_chunk(&mut self, bytes: usize) {
        if let Some(guard) = &mut self.guard {
            guard.begin_run();
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
            if !at_deadline {
                let node = &self.exchange.node;
                node.avoid_endpoint(&mut node.lock(), &self.endpoint.id, now);
            }
            info!(self.exchange.node.deps.logger, "answer broke off";
                "request" => &*self.exchange.request.call.id, "cause" => %error,
                "at_deadline" => at_deadline);
            self.finish("broken off");
        }
        Err(error)
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
