//! HTTP serving of the stand-in programs: request decoding, and stopping on a signal.

use bytes::Bytes;
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response, server};
use http_body_util::BodyExt;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::io;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Serves `service` on `address` until SIGTERM. Prints the bound address once the socket listens.
///
/// # Errors
/// When the address cannot be bound or the signal handler cannot be installed.
pub async fn serve_until_stopped<S>(address: &str, service: S) -> io::Result<()>
where
    S: tower::Service<HttpRequest, Response = HttpResponse, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    println!("listening on {}", listener.local_addr()?);
    let (stop, stop_receiver) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::spawn(async move {
        terminate.recv().await;
        stop.send_replace(true);
    });
    let mut stop_requested = stop_receiver.clone();
    tokio::select! {
        () = server::serve(listener, service, stop_receiver) => {}
        // A stand-in stops at once, without waiting for the streams that are still open.
        _ = stop_requested.wait_for(|stop| *stop) => {}
    }
    Ok(())
}

/// Reads the body of a request to its end; returns an empty body when the connection fails before it.
pub async fn read_body(request: HttpRequest) -> Bytes {
    request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}

/// Returns a number from the query of a request; `None` when it is absent or is not a number.
#[must_use]
pub fn query_number(request: &HttpRequest, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Decodes a JSON body and returns the response of `handler`, or 400 with the decoding error.
pub async fn handle_json<T: DeserializeOwned>(
    request: HttpRequest,
    handler: impl AsyncFnOnce(T) -> HttpResponse,
) -> HttpResponse {
    match serde_json::from_slice(&read_body(request).await) {
        Ok(value) => handler(value).await,
        Err(error) => json_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
