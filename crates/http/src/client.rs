//! A pooled HTTP client whose errors say whether a byte may have gone out.

use crate::server::{HttpBody, full_body};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::time::Duration;

/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Errors of an exchange.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection could not be opened; no byte of the request went out.
    #[snafu(display("no connection to {url} ({cause}); check the address and that it is up"))]
    NotSent {
        /// Where the request should have gone.
        url: String,
        /// What the connector says.
        cause: String,
    },
    /// The exchange broke; the request may have been received.
    #[snafu(display("the exchange with {url} broke ({cause}); it may have been received"))]
    Broken {
        /// Where the request went.
        url: String,
        /// What the transport says.
        cause: String,
    },
    /// The request or the answer is not what the protocol says.
    #[snafu(display("{url}: the message does not fit the protocol ({cause}); check the versions"))]
    BadMessage {
        /// Where the request went.
        url: String,
        /// What the codec says.
        cause: String,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Time after which a new attempt makes sense, if the answer gives one.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

impl HttpReply {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// [`HttpError::BadMessage`] when the body does not fit.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| HttpError::BadMessage {
            url: format!("answer with status {}", self.status),
            cause: error.to_string(),
        })
    }
}

/// A pooled client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, HttpBody>,
}

impl HttpClient {
    /// Creates a client that speaks HTTP/1.1.
    ///
    /// ```
    /// let client = fulmarswitch_http::HttpClient::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector()),
        }
    }

    /// Creates a client that speaks HTTP/2 without negotiation, on one connection a peer.
    #[must_use]
    pub fn http2() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.http2_only(true);
        Self {
            client: builder.build(connector()),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// [`HttpError`] when no whole answer came.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        let response = self.open(method, url, full_body(body)).await?;
        read_reply(url, response).await
    }

    /// Sends a value as JSON and reads the whole answer.
    ///
    /// # Errors
    /// [`HttpError`] when no whole answer came.
    pub async fn post_json<T: Serialize + Sync>(
        &self,
        url: &str,
        value: &T,
    ) -> Result<HttpReply, HttpError> {
        self.call(Method::POST, url, encode_json(url, value)?).await
    }

    /// Sends a request and returns the answer with its body still streaming.
    ///
    /// # Errors
    /// [`HttpError`] when no answer came.
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        body: HttpBody,
    ) -> Result<Response<Incoming>, HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| HttpError::BadMessage {
                url: url.into(),
                cause: error.to_string(),
            })?;
        self.client.request(request).await.map_err(|error| {
            let cause = error_with_source(&error);
            if error.is_connect() {
                HttpError::NotSent {
                    url: url.into(),
                    cause,
                }
            } else {
                HttpError::Broken {
                    url: url.into(),
                    cause,
                }
            }
        })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads the rest of an answer.
///
/// # Errors
/// [`HttpError::Broken`] when the body ends early.
pub async fn read_reply(url: &str, response: Response<Incoming>) -> Result<HttpReply, HttpError> {
    let status = response.status();
    let retry_after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| HttpError::Broken {
            url: url.into(),
            cause: error.to_string(),
        })?
        .to_bytes();
    Ok(HttpReply {
        status,
        retry_after,
        body,
    })
}

/// Encodes a value as JSON.
///
/// # Errors
/// [`HttpError::BadMessage`] when the value cannot be written.
pub fn encode_json<T: Serialize>(url: &str, value: &T) -> Result<Bytes, HttpError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| HttpError::BadMessage {
            url: url.into(),
            cause: error.to_string(),
        })
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

fn error_with_source(error: &hyper_util::client::legacy::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
