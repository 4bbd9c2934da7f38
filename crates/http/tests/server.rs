//! Connection limit of the server: connections above it are refused, and closing one frees its permit.

use fulmarswitch_http::{HttpClient, HttpRequest, full_body, server};
use hyper::{Method, Response, StatusCode};
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Connection limit of the server under test.
const MAX_CONNECTIONS: usize = 2;

#[tokio::test]
async fn connections_above_the_limit_are_refused_with_retry_after() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (stop, stop_receiver) = watch::channel(false);
    let service = tower::service_fn(|_: HttpRequest| async {
        Ok::<_, Infallible>(Response::new(full_body("served")))
    });
    let serving = server::serve_limited(listener, service, stop_receiver, MAX_CONNECTIONS);
    let serving = tokio::spawn(serving);
    let mut connections = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        connections.push(TcpStream::connect(address).await.expect("accepted"));
    }
    let url = format!("http://{address}/");
    let client = HttpClient::new();
    let refused = client.call(Method::GET, &url, "".into()).await;
    let refused = refused.expect("the refusal is an HTTP response");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.retry_after, Some(Duration::from_secs(1)));
    let body: serde_json::Value = refused.json().expect("JSON");
    assert_eq!(body["ran"], "not-run");

    connections.clear();
    let served = tokio::time::timeout(Duration::from_secs(10), async {
        loop {
            let reply = client.call(Method::GET, &url, "".into()).await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    served.await.expect("a closed connection frees its permit");
    stop.send_replace(true);
    let ended = tokio::time::timeout(Duration::from_secs(10), serving).await;
    ended.expect("the server stops").expect("without a panic");
}

#[tokio::test]
async fn connections_above_the_refusal_limit_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (_stop, stop_receiver) = watch::channel(false);
    let service = tower::service_fn(|_: HttpRequest| async {
        Ok::<_, Infallible>(Response::new(full_body("served")))
    });
    tokio::spawn(server::serve_limited(listener, service, stop_receiver, 0));
    // No connection sends a request, so each refusal holds its permit until it times out. The last
    // connection is above the refusal limit and must be closed without a response.
    let mut connections = Vec::new();
    for _ in 0..200 {
        connections.push(TcpStream::connect(address).await.expect("accepted"));
    }
    let last = connections.last_mut().expect("there are connections");
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_secs(10), last.read(&mut byte)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
}
