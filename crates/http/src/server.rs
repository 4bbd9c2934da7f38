//! Serves a tower service over HTTP until told to stop.

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

/// Body of a request that is sent or an answer that is given.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// Request that a server receives.
pub type HttpRequest = Request<Incoming>;
/// Answer that a server gives.
pub type HttpResponse = Response<HttpBody>;

/// Pause after a failed accept, which mostly means that descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections that are refused with an answer at once; more are closed without one.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Time allowed for refusing a connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Body of a refused connection's answer, in the form of every error.
const REFUSAL_BODY: &str = concat!(
    r#"{"kind":"unavailable","#,
    r#""error":"the host has too many connections; use another address or try again later","#,
    r#""ran":"not-run","retry_after_ms":1000}"#
);

/// Makes a body of bytes.
///
/// ```
/// let body = fulmarswitch_http::full_body("text");
/// ```
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Makes a body of a stream of chunks.
pub fn stream_body(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> HttpBody {
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Makes an answer with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Serves `service` on `listener` until `stop` becomes true, then waits until all requests in progress
/// are answered.
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

/// Like [`serve`], with at most `max_connections` open at once. Further ones are told by 503 and Retry-After
/// to come back, and are closed at once where that alone would take too much.
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
        // Without this, small frames wait for acknowledgements; a failure only costs latency.
        let _ = connection.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        let serving = builder
            .serve_connection(TokioIo::new(connection), service)
            .into_owned();
        let serving = graceful.watch(serving);
        tokio::spawn(async move {
            // A connection that ends with an error has lost its peer; there is nobody to tell.
            let _ = serving.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Answers one request with 503 and closes the connection.
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
    // A caller that does not read its refusal in time needs none.
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, serving).await;
    drop(refusal_permit);
}
