//! Calls of clients, each on a new channel.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Host name of all routes.
pub const HOST: &str = "host.example";

/// An answer: its status and its body.
pub type Answer = (u16, Bytes);

/// Sends a call and reads the whole answer. Returns an error if there is none within `patience`.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
    patience: Duration,
) -> Result<Answer, String> {
    let exchange = async {
        let connecting = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| "no channel".to_owned())?
            .map_err(|error| error.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let task = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| error.to_string())?;
        task.abort();
        Ok((status, body.to_bytes()))
    };
    timeout(patience, exchange)
        .await
        .unwrap_or_else(|_| Err("no answer in time".into()))
}
