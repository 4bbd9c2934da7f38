//! Client interface of endpoints: model engines, which stream tokens, and plain services, which return one
//! answer per call.
//!
//! The rest of the system uses the trait [`EndpointClient`]; [`http`] implements it over HTTP. Errors
//! indicate whether the call may have run, because a call that is not idempotent must not be repeated in
//! that case.

pub mod http;

use async_trait::async_trait;
use fulmarswitch_records::config::EndpointProtocol;
use futures::stream::BoxStream;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// One call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCall {
    /// Identifier of the attempt, unique in the fleet, by which it can be cancelled.
    pub id: Arc<str>,
    /// Name of the model, followed by `+` and the adapter if there is one; empty for a plain service.
    pub model: Arc<str>,
    /// Prompt for an engine, or input of a plain service.
    pub input: Arc<str>,
    /// Text that an earlier attempt generated, from which the engine continues; empty for a first attempt.
    pub prior: Arc<str>,
    /// Number of tokens in `prior`.
    pub prior_tokens: u32,
    /// Maximum number of tokens in the whole answer, including `prior_tokens`.
    pub max_tokens: u32,
}

/// One element of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// One token, or the whole answer of a plain service.
    Text(Arc<str>),
    /// The answer is complete.
    End,
}

/// Error of a call, a report or an order.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EndpointError {
    /// No connection could be opened, so the call did not run.
    #[snafu(display("the endpoint could not be reached ({cause}); the call did not run"))]
    NotSent {
        /// Error of the transport.
        cause: Arc<str>,
    },
    /// The endpoint refused the call without running it.
    #[snafu(display("the endpoint refused the call ({cause}); the call did not run"))]
    Refused {
        /// Reason given by the endpoint.
        cause: Arc<str>,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The exchange failed after the connection was open, or the response was not a valid one, so the call
    /// may have run.
    #[snafu(display("the endpoint broke off ({cause}); the call may have run"))]
    Broken {
        /// Error of the transport, or what is wrong with the response.
        cause: Arc<str>,
    },
    /// The endpoint ran the call and reports that it failed.
    #[snafu(display("the endpoint reports a failure ({cause}); change the input"))]
    Failed {
        /// Reason given by the endpoint.
        cause: Arc<str>,
    },
}

/// Stream of the parts of an answer; it ends after [`AnswerPart::End`] or the first error.
pub type AnswerStream = BoxStream<'static, Result<AnswerPart, EndpointError>>;

/// Status of an engine as reported by itself; it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// Loaded models, each followed by `+` and the adapter if there is one.
    pub models: Vec<Arc<str>>,
    /// Number of requests that run or wait in the engine.
    pub held: u32,
    /// Highest fencing token that the engine has seen in an order.
    pub fencing: u64,
}

/// Order to an engine to load or unload a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOrder {
    /// Fencing token of the sender. An engine that checks it refuses an order whose token is lower than the
    /// highest seen, since its sender has been replaced.
    pub fencing: u64,
    /// Requested action; repeating it has no further effect.
    pub action: OrderAction,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    Load {
        /// Name of the model, followed by `+` and the adapter if there is one.
        model: Arc<str>,
    },
    /// Unload a model.
    Unload {
        /// Name of the model, followed by `+` and the adapter if there is one.
        model: Arc<str>,
    },
}

/// Client of endpoints. Each call names the endpoint by its address, `ip:port`.
#[async_trait]
pub trait EndpointClient: Send + Sync {
    /// Starts a call and returns its answer as a stream. Dropping the stream cancels the call.
    ///
    /// # Errors
    /// [`EndpointError`], which indicates whether the call may have run.
    async fn start(
        &self,
        address: &str,
        protocol: EndpointProtocol,
        call: EndpointCall,
    ) -> Result<AnswerStream, EndpointError>;

    /// Requests the report of an engine.
    ///
    /// # Errors
    /// [`EndpointError`] when the engine does not return a report.
    async fn report(&self, address: &str) -> Result<EndpointReport, EndpointError>;

    /// Sends an order to an engine.
    ///
    /// # Errors
    /// [`EndpointError::Refused`] when the engine has seen a higher fencing token.
    async fn order(&self, address: &str, order: EndpointOrder) -> Result<(), EndpointError>;
}
