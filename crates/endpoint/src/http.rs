//! HTTP protocol of endpoints: completions streamed as server-sent events, and calls of plain services.

use crate::{
    AnswerPart, AnswerStream, EndpointCall, EndpointClient, EndpointError, EndpointOrder,
    EndpointReport, OrderAction,
};
use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_http::client::{encode_json, read_reply};
use fulmarswitch_http::lines::read_events;
use fulmarswitch_http::{HttpClient, HttpError, HttpReply, full_body};
use fulmarswitch_records::config::EndpointProtocol;
use futures::StreamExt;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Retry delay for a refusal without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Timeout for a report or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Data of the event that ends a stream.
const DONE_EVENT: &str = "[DONE]";

/// Body of a completion request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Identifier of the attempt.
    pub id: Arc<str>,
    /// Name of the model, followed by `+` and the adapter if there is one.
    pub model: Arc<str>,
    /// Prompt to complete.
    pub prompt: Arc<str>,
    /// Text that an earlier attempt generated, from which the engine continues.
    #[serde(default)]
    pub prior: Arc<str>,
    /// Number of tokens in `prior`.
    #[serde(default)]
    pub prior_tokens: u32,
    /// Maximum number of tokens in the whole answer, including `prior_tokens`.
    pub max_tokens: u32,
    /// Whether tokens are streamed; always true.
    pub stream: bool,
}

/// One event of a streamed completion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionEvent {
    /// Text of one token.
    #[serde(default)]
    pub text: Arc<str>,
    /// Error message of a failed completion; empty in an event with a token.
    #[serde(default)]
    pub error: Arc<str>,
}

/// Body of a request to a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlainCall {
    /// Identifier of the attempt.
    pub id: Arc<str>,
    /// Input of the service.
    pub input: Arc<str>,
}

/// Body of the response of a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlainReply {
    /// Answer to the input.
    pub text: Arc<str>,
}

/// Body of the response with the report of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireReport {
    /// Loaded models, each followed by `+` and the adapter if there is one.
    pub models: Vec<Arc<str>>,
    /// Number of requests that run or wait in the engine.
    pub held: u32,
    /// Highest fencing token that the engine has seen in an order.
    pub fencing: u64,
}

/// Body of a request with an order to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireOrder {
    /// Fencing token of the sender.
    pub fencing: u64,
    /// Name of the model to load or unload, followed by `+` and the adapter if there is one.
    pub model: Arc<str>,
    /// True to load, false to unload.
    pub load: bool,
}

impl From<WireReport> for EndpointReport {
    fn from(wire: WireReport) -> Self {
        Self {
            models: wire.models,
            held: wire.held,
            fencing: wire.fencing,
        }
    }
}

impl From<EndpointOrder> for WireOrder {
    fn from(order: EndpointOrder) -> Self {
        let (model, load) = match order.action {
            OrderAction::Load { model } => (model, true),
            OrderAction::Unload { model } => (model, false),
        };
        Self {
            fencing: order.fencing,
            model,
            load,
        }
    }
}

impl From<EndpointCall> for CompletionCall {
    fn from(call: EndpointCall) -> Self {
        Self {
            id: call.id,
            model: call.model,
            prompt: call.input,
            prior: call.prior,
            prior_tokens: call.prior_tokens,
            max_tokens: call.max_tokens,
            stream: true,
        }
    }
}

impl From<EndpointCall> for PlainCall {
    fn from(call: EndpointCall) -> Self {
        Self {
            id: call.id,
            input: call.input,
        }
    }
}

impl From<HttpError> for EndpointError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::NotSent { cause, .. } => Self::NotSent {
                cause: cause.into(),
            },
            other => Self::Broken {
                cause: other.to_string().into(),
            },
        }
    }
}

/// [`EndpointClient`] over HTTP.
#[derive(Clone, Debug, Default)]
pub struct HttpEndpointClient {
    http: HttpClient,
}

impl HttpEndpointClient {
    /// Creates a client with an empty connection pool.
    ///
    /// ```
    /// let endpoints = fulmarswitch_endpoint::http::HttpEndpointClient::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    async fn complete(
        &self,
        address: &str,
        call: EndpointCall,
    ) -> Result<AnswerStream, EndpointError> {
        let url = format!("http://{address}/v1/completions");
        let body = encode_json(&url, &CompletionCall::from(call))?;
        let response = self.http.open(Method::POST, &url, full_body(body)).await?;
        if !response.status().is_success() {
            return Err(error_from_reply(&read_reply(&url, response).await?));
        }
        let parts = read_events(response.into_body()).map(|event| match event {
            Ok(data) => parse_event(&data),
            Err(error) => Err(EndpointError::Broken {
                cause: error.to_string().into(),
            }),
        });
        let truncated = Err(EndpointError::Broken {
            cause: "the stream ended early".into(),
        });
        let terminated_parts = parts.chain(futures::stream::once(std::future::ready(truncated)));
        Ok(take_through_terminal(terminated_parts).boxed())
    }

    async fn call_plain(
        &self,
        address: &str,
        call: EndpointCall,
    ) -> Result<AnswerStream, EndpointError> {
        let url = format!("http://{address}/call");
        let reply = self.http.post_json(&url, &PlainCall::from(call)).await?;
        if !reply.status.is_success() {
            return Err(error_from_reply(&reply));
        }
        let answer: PlainReply = reply.json()?;
        let parts = [Ok(AnswerPart::Text(answer.text)), Ok(AnswerPart::End)];
        Ok(futures::stream::iter(parts).boxed())
    }

    async fn control_exchange(
        exchange: impl Future<Output = Result<HttpReply, HttpError>>,
    ) -> Result<HttpReply, EndpointError> {
        match tokio::time::timeout(CONTROL_TIMEOUT, exchange).await {
            Err(_) => Err(EndpointError::Broken {
                cause: "timeout".into(),
            }),
            Ok(reply) => {
                let reply = reply?;
                if reply.status.is_success() {
                    Ok(reply)
                } else {
                    Err(error_from_reply(&reply))
                }
            }
        }
    }
}

#[async_trait]
impl EndpointClient for HttpEndpointClient {
    async fn start(
        &self,
        address: &str,
        protocol: EndpointProtocol,
        call: EndpointCall,
    ) -> Result<AnswerStream, EndpointError> {
        match protocol {
            EndpointProtocol::Engine => self.complete(address, call).await,
            EndpointProtocol::Plain => self.call_plain(address, call).await,
        }
    }

    async fn report(&self, address: &str) -> Result<EndpointReport, EndpointError> {
        let url = format!("http://{address}/report");
        let reply = Self::control_exchange(self.http.call(Method::GET, &url, Bytes::new())).await?;
        Ok(reply.json::<WireReport>()?.into())
    }

    async fn order(&self, address: &str, order: EndpointOrder) -> Result<(), EndpointError> {
        let url = format!("http://{address}/orders");
        Self::control_exchange(self.http.post_json(&url, &WireOrder::from(order))).await?;
        Ok(())
    }
}

fn parse_event(data: &str) -> Result<AnswerPart, EndpointError> {
    if data == DONE_EVENT {
        return Ok(AnswerPart::End);
    }
    match serde_json::from_str::<CompletionEvent>(data) {
        Ok(event) if event.error.is_empty() => Ok(AnswerPart::Text(event.text)),
        Ok(event) => Err(EndpointError::Failed { cause: event.error }),
        Err(error) => Err(EndpointError::Broken {
            cause: error.to_string().into(),
        }),
    }
}

/// Ends the stream after [`AnswerPart::End`] or the first error, whichever comes first.
fn take_through_terminal(
    parts: impl futures::Stream<Item = Result<AnswerPart, EndpointError>>,
) -> impl futures::Stream<Item = Result<AnswerPart, EndpointError>> {
    let mut terminated = false;
    parts.take_while(move |part| {
        let keep = !terminated;
        terminated |= !matches!(part, Ok(AnswerPart::Text(_)));
        std::future::ready(keep)
    })
}

fn error_from_reply(reply: &HttpReply) -> EndpointError {
    let cause: Arc<str> = String::from_utf8_lossy(&reply.body).into();
    match reply.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => {
            let retry_after = reply.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            EndpointError::Refused { cause, retry_after }
        }
        status if status.is_client_error() => EndpointError::Failed { cause },
        _ => EndpointError::Broken { cause },
    }
}
