//! HTTP client with a connection pool, whose errors indicate whether the request may have been sent.

use crate::server::{HttpBody, full_body};
use crate::upload::UploadStream;
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tower::Service;

/// Maximum size of a response's body that is read as a whole, in bytes. A page of the log or of results is far smaller.
pub const MAX_REPLY_BYTES: usize = 64 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a request or of reading its response.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection could not be opened; no byte of the request was sent.
    #[snafu(display("no connection to {url} ({cause}); check the address and that it is up"))]
    NotSent {
        /// URL of the request.
        url: String,
        /// Error of the connector.
        cause: String,
    },
    /// The exchange failed after the connection was open; the server may have received the request.
    #[snafu(display("the exchange with {url} broke ({cause}); it may have been received"))]
    Broken {
        /// URL of the request.
        url: String,
        /// Error of the transport.
        cause: String,
    },
    /// The request could not be encoded, or the response could not be decoded.
    #[snafu(display("{url}: the message does not fit the protocol ({cause}); check the versions"))]
    BadMessage {
        /// URL of the request, or a description of the response that could not be decoded.
        url: String,
        /// Error of the encoder or decoder.
        cause: String,
    },
}

/// A response whose body has been read to its end.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code of the response.
    pub status: StatusCode,
    /// Value of the `Retry-After` header; `None` when it is absent or is not a number of seconds.
    pub retry_after: Option<Duration>,
    /// Body of the response; empty when it has none.
    pub body: Bytes,
}

impl HttpReply {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// [`HttpError::BadMessage`] when the body is not JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| HttpError::BadMessage {
            url: format!("answer with status {}", self.status),
            cause: error.to_string(),
        })
    }
}

/// Whether a status is one of HTTP, from 100 to 599. An answer with another one comes from a server in trouble.
///
/// ```
/// use hyper::StatusCode;
/// assert!(fulmarswitch_http::is_http_status(StatusCode::OK));
/// assert!(!fulmarswitch_http::is_http_status(StatusCode::from_u16(600).unwrap()));
/// ```
#[must_use]
pub fn is_http_status(status: StatusCode) -> bool {
    (100..600).contains(&status.as_u16())
}

/// Opens connections on which an answer that ends while its request is being written is not whole.
#[derive(Clone, Debug)]
struct UploadConnector(HttpConnector);

impl Service<Uri> for UploadConnector {
    type Response = TokioIo<UploadStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let connecting = self.0.call(address);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(UploadStream::new(stream)))
        })
    }
}

impl Connection for UploadStream<TcpStream> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

/// HTTP client that keeps idle connections in a pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<UploadConnector, HttpBody>,
}

impl HttpClient {
    /// Creates a client that uses HTTP/1.1.
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

    /// Creates a client that uses HTTP/2 with prior knowledge, over one connection per server.
    #[must_use]
    pub fn http2() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.http2_only(true);
        Self {
            client: builder.build(connector()),
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// [`HttpError`] when no complete response was received.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<HttpReply, HttpError> {
        let response = self.open(method, url, full_body(body)).await?;
        read_reply(url, response).await
    }

    /// Sends a POST request with a JSON body and reads the whole response.
    ///
    /// # Errors
    /// [`HttpError`] when no complete response was received.
    pub async fn post_json<T: Serialize + Sync>(
        &self,
        url: &str,
        value: &T,
    ) -> Result<HttpReply, HttpError> {
        self.call(Method::POST, url, encode_json(url, value)?).await
    }

    /// Sends a request and returns once the head of the response is received; the body is still streaming.
    ///
    /// # Errors
    /// [`HttpError`] when no response was received.
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
        let response = self.client.request(request).await;
        let response = response.map_err(|error| {
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
        })?;
        let status = response.status();
        if !is_http_status(status) {
            return Err(HttpError::Broken {
                url: url.into(),
                cause: format!("the status {status} is none of HTTP"),
            });
        }
        Ok(response)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads the body of a response to its end.
///
/// # Errors
/// [`HttpError::Broken`] when the connection fails before the end of the body, or the body exceeds [`MAX_REPLY_BYTES`].
pub async fn read_reply(url: &str, response: Response<Incoming>) -> Result<HttpReply, HttpError> {
    let status = response.status();
    let retry_after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
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

/// Encodes a value as JSON; `url` names the request in the error.
///
/// # Errors
/// [`HttpError::BadMessage`] when the value cannot be represented as JSON.
pub fn encode_json<T: Serialize>(url: &str, value: &T) -> Result<Bytes, HttpError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| HttpError::BadMessage {
            url: url.into(),
            cause: error.to_string(),
        })
}

fn connector() -> UploadConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    UploadConnector(connector)
}

fn error_with_source(error: &hyper_util::client::legacy::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
