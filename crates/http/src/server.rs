//! HTTP server for tower services, with graceful shutdown and a connection limit.

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Body of an outgoing request or response.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// Request received by a server.
pub type HttpRequest = Request<Incoming>;
/// Response sent by a server.
pub type HttpResponse = Response<HttpBody>;

/// Delay after a failed accept, which mostly means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of connections that are being refused with a response at the same time; further ones
/// are closed without a response.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Timeout for reading the request of a refused connection and sending the response.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Body of the response to a refused connection, in the format of all error responses.
const REFUSAL_BODY: &str = concat!(
    r#"{"kind":"unavailable","#,
    r#""error":"the host has too many connections; use another address or try again later","#,
    r#""ran":"not-run","retry_after_ms":1000}"#
);

/// Creates a body from bytes.
///
/// ```
/// let body = fulmarswitch_http::full_body("text");
/// ```
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates a streaming body from chunks. An error of the stream aborts the body.
pub fn stream_body(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> HttpBody {
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Creates a response with a JSON body; the body is empty when `value` cannot be encoded.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Serves `service` on `listener` until `stop` becomes true, then closes the listener and waits until all
/// requests in flight are answered.
pub async fn serve<S>(listener: TcpListener, service: S, stop: watch::Receiver<bool>)
where
    S: tower::Service<HttpRequest, Response = HttpResponse, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    serve_limited(listener, service, stop, Semaphore::MAX_PERMITS).await;
}

/// Like [`serve`], with at most `max_connections` open at once. Further connections get a 503 response with
/// `Retry-After`. The number of connections that wait for this response is limited too: above it,
/// connections are closed without a response, so that refusing a flood takes bounded resources.
pub async fn serve_limited<S>(
    listener: TcpListener,
    service: S,
    mut stop: watch::Receiver<bool>,
    max_connections: usize,
) where
    S: tower::Service<HttpRequest, Response = HttpResponse, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let connection_permits = Arc::new(Semaphore::new(max_connections));
    let refusal_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS));
    let graceful = GracefulShutdown::new();
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    // All streams between two hosts share one HTTP/2 connection, so the limit must not be the bottleneck.
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(10_000);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((connection, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            if let Ok(refusal_permit) = Arc::clone(&refusal_permits).try_acquire_owned() {
                tokio::spawn(refuse_connection(connection, refusal_permit));
            }
            continue;
        };
        // Nagle's algorithm would hold small frames back until the peer acknowledges earlier data. A
        // failure to disable it only costs latency.
        let _ = connection.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        let serving = builder
            .serve_connection(TokioIo::new(connection), service)
            .into_owned();
        let serving = graceful.watch(serving);
        tokio::spawn(async move {
            // An error means that the connection is lost, so there is no peer to report it to.
            let _ = serving.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Answers the first request of a connection with 503 and closes the connection.
async fn refuse_connection(connection: TcpStream, refusal_permit: OwnedSemaphorePermit) {
    let service = hyper::service::service_fn(|_| async {
        let mut response = Response::new(full_body(REFUSAL_BODY));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        let seconds = HeaderValue::from_static("1");
        response.headers_mut().insert(RETRY_AFTER, seconds);
        Ok::<_, Infallible>(response)
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .serve_connection(TokioIo::new(connection), service);
    // The timeout frees the permit when the peer sends no request or does not read the response.
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, serving).await;
    drop(refusal_permit);
}
