//! Responses that do not end, against the client.

use fulmarswitch_http::client::MAX_REPLY_BYTES;
use fulmarswitch_http::{HttpClient, HttpError};
use hyper::Method;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Size of the parts in which the server sends, in bytes.
const PART_BYTES: usize = 64 * 1024;
/// Number of bytes that the buffers of the system and of the client may hold beyond what is read.
const BUFFERED_BYTES: usize = 32 << 20;

/// Guards against a client that collects a response without end until its process has no memory left.
#[tokio::test]
async fn response_without_end_is_not_collected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let url = format!("http://{}/", listener.local_addr().expect("bound"));
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut sent = 0;
        let mut next = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
        while stream.write_all(&next).await.is_ok() {
            sent += next.len();
            next = vec![b'x'; PART_BYTES];
        }
        sent
    });
    let client = HttpClient::new();
    let call = client.call(Method::GET, &url, "".into());
    let reply = timeout(Duration::from_secs(20), call).await;
    let reply = reply.expect("the call ends");
    assert!(matches!(reply, Err(HttpError::Broken { .. })), "{reply:?}");
    let sent = timeout(Duration::from_secs(20), server).await;
    let sent = sent.expect("the connection is closed").expect("no panic");
    assert!(sent <= MAX_REPLY_BYTES + BUFFERED_BYTES, "{sent} bytes");
}

/// Answers the first request at once, having read a part of it, ends the answer and resets the connection later.
async fn answer_early(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let url = format!("http://{}/", listener.local_addr().expect("bound"));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut part = [0; 1024];
        let _ = stream.read(&mut part).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    });
    url
}

/// Guards against a part of an answer without a length that is taken for the whole, as its connection ended while the request was still being
/// written.
#[tokio::test]
async fn early_answer_without_a_length_is_not_whole() {
    let url = answer_early("HTTP/1.1 200 OK\r\n\r\n{}").await;
    let body = vec![b'x'; 16 << 20];
    let client = HttpClient::new();
    let reply = client.call(Method::POST, &url, body.into());
    let reply = timeout(Duration::from_secs(20), reply)
        .await
        .expect("the call ends");
    assert!(matches!(reply, Err(HttpError::Broken { .. })), "{reply:?}");
}

/// Guards against an answer whose status is none of HTTP that counts as one.
#[tokio::test]
async fn status_that_is_none_of_http_is_no_answer() {
    for status in ["000", "099", "20", "1000", "0200", "600", "999"] {
        let answer = format!("HTTP/1.1 {status} OK\r\ncontent-length: 0\r\n\r\n");
        let url = answer_early(answer.leak()).await;
        let client = HttpClient::new();
        let reply = client.call(Method::GET, &url, "".into());
        let reply = timeout(Duration::from_secs(20), reply)
            .await
            .expect("the call ends");
        assert!(
            matches!(reply, Err(HttpError::Broken { .. })),
            "{status}: {reply:?}"
        );
    }
}
