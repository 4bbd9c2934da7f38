//! Streams over HTTP/2: one persistent connection per pair of hosts, with length-delimited frames.

use crate::envelope::{FrameEnvelope, StreamEnvelope};
use crate::message::StreamRequest;
use crate::{FrameStream, PeerError, PeerHandler, PeerTarget};
use bytes::{Bytes, BytesMut};
use fulmarswitch_http::{HttpClient, HttpError, HttpRequest, HttpResponse, full_body, stream_body};
use fulmarswitch_records::{HostIdentity, LogicalClock};
use futures::{StreamExt, TryStreamExt};
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode};
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

/// Timeout of opening a stream, until the response headers arrive.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens streams at other hosts.
#[derive(Clone, Debug)]
pub struct StreamClient {
    http: HttpClient,
    clock: LogicalClock,
}

impl StreamClient {
    /// Creates a client. Connections are opened on first use.
    #[must_use]
    pub fn new(clock: LogicalClock) -> Self {
        Self {
            http: HttpClient::http2(),
            clock,
        }
    }

    /// Opens a stream at another host.
    ///
    /// # Errors
    /// [`PeerError`], which indicates whether the host may have acted.
    pub async fn open(
        &self,
        to: &PeerTarget,
        request: StreamRequest,
    ) -> Result<FrameStream, PeerError> {
        let not_reached = |cause: String| PeerError::NotReached {
            host: to.host.clone(),
            cause: cause.into(),
        };
        let no_reply = |cause: String| PeerError::NoReply {
            host: to.host.clone(),
            cause: cause.into(),
        };
        let stamp = self.clock.tick();
        let envelope = StreamEnvelope {
            stamp,
            to: to.host.clone(),
            request,
        };
        let body =
            postcard::to_stdvec(&envelope).map_err(|error| not_reached(error.to_string()))?;
        let url = format!("http://{}/stream", to.stream_address);
        let opening = self.http.open(Method::POST, &url, full_body(body));
        let response = match tokio::time::timeout(OPEN_TIMEOUT, opening).await {
            Ok(Ok(response)) => response,
            Ok(Err(error @ HttpError::NotSent { .. })) => {
                return Err(not_reached(error.to_string()));
            }
            Ok(Err(error)) => return Err(no_reply(error.to_string())),
            Err(_) => return Err(no_reply("timeout".into())),
        };
        if response.status() != StatusCode::OK {
            return Err(not_reached(format!("status {}", response.status())));
        }
        let chunks = response
            .into_body()
            .into_data_stream()
            .map_err(io::Error::other);
        let frames = FramedRead::new(StreamReader::new(chunks), LengthDelimitedCodec::new());
        let clock = self.clock.clone();
        let frames = frames
            .map(move |bytes| {
                let envelope: FrameEnvelope = postcard::from_bytes(&bytes.ok()?).ok()?;
                clock.observe(envelope.stamp);
                Some(envelope.frame)
            })
            .take_while(|frame| std::future::ready(frame.is_some()))
            .filter_map(std::future::ready);
        Ok(frames.boxed())
    }
}

/// Serves an HTTP request that opens a stream.
///
/// # Errors
/// None; failures are responses with an error status.
pub async fn serve_stream(
    identity: HostIdentity,
    clock: LogicalClock,
    handler: Arc<dyn PeerHandler>,
    request: HttpRequest,
) -> Result<HttpResponse, Infallible> {
    let Ok(body) = request.into_body().collect().await else {
        return Ok(status_response(StatusCode::BAD_REQUEST));
    };
    let Ok(envelope) = postcard::from_bytes::<StreamEnvelope>(&body.to_bytes()) else {
        return Ok(status_response(StatusCode::BAD_REQUEST));
    };
    clock.observe(envelope.stamp);
    if envelope.to != identity {
        return Ok(status_response(StatusCode::GONE));
    }
    let frames = handler.serve(envelope.request).await;
    let chunks = frames.map(move |frame| {
        encode_frame(&FrameEnvelope {
            stamp: clock.tick(),
            frame,
        })
    });
    Ok(Response::new(stream_body(chunks)))
}

fn encode_frame(envelope: &FrameEnvelope) -> io::Result<Bytes> {
    let bytes = postcard::to_stdvec(envelope).map_err(io::Error::other)?;
    let mut buffer = BytesMut::new();
    LengthDelimitedCodec::new().encode(Bytes::from(bytes), &mut buffer)?;
    Ok(buffer.freeze())
}

fn status_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}
