//! Serves a tower service over HTTP until told to stop.

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use std::convert::Infallible;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Body of a request that is sent or an answer that is given.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// Request that a server receives.
pub type HttpRequest = Request<Incoming>;
/// Answer that a server gives.
pub type HttpResponse = Response<HttpBody>;

/// Pause after a failed accept, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Serves `service` on `listener` until `stop` becomes true, then waits until all requests in progress
/// are answered.
pub async fn serve<S>(listener: TcpListener, service: S, mut stop: watch::Receiver<bool>)
where
    S: tower::Service<HttpRequest, Response = HttpResponse, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
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
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without this, small frames wait for acknowledgements; a failure only costs latency.
        let _ = connection.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        let served = builder
            .serve_connection(TokioIo::new(connection), service)
            .into_owned();
        let served = graceful.watch(served);
        tokio::spawn(async move {
            // A connection that ends with an error has lost its peer; there is nobody to tell.
            let _ = served.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
