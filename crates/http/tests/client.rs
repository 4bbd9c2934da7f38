//! Responses that do not end, against the client.

use fulmarswitch_http::client::MAX_REPLY_BYTES;
use fulmarswitch_http::{HttpClient, HttpError};
use hyper::Method;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
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
