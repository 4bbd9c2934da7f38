//! Line-delimited bodies and server-sent events.

use bytes::Bytes;
use futures::{Stream, StreamExt, TryStreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use std::io;
use tokio_util::codec::{FramedRead, LinesCodec, LinesCodecError};
use tokio_util::io::StreamReader;

/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Reads a body line by line.
///
/// A line longer than [`MAX_LINE_BYTES`] ends the stream with [`io::ErrorKind::InvalidData`].
pub fn read_lines(body: Incoming) -> impl Stream<Item = io::Result<String>> + Send + Unpin {
    let chunks = body.into_data_stream().map_err(io::Error::other);
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    FramedRead::new(StreamReader::new(chunks), codec).map_err(|error| match error {
        LinesCodecError::MaxLineLengthExceeded => io::Error::new(
            io::ErrorKind::InvalidData,
            "a line is over 1 MiB; split the item",
        ),
        LinesCodecError::Io(error) => error,
    })
}

/// Reads the payloads of the `data:` lines of server-sent events; all other lines are skipped.
pub fn read_events(body: Incoming) -> impl Stream<Item = io::Result<String>> + Send + Unpin {
    read_lines(body).filter_map(|line| {
        std::future::ready(match line {
            Ok(line) => line.strip_prefix("data: ").map(|data| Ok(data.to_owned())),
            Err(error) => Some(Err(error)),
        })
    })
}

/// Encodes a value as JSON in one server-sent event.
///
/// ```
/// let event = fulmarswitch_http::lines::write_event(&serde_json::json!({"a": 1}));
/// assert_eq!(&event[..], b"data: {\"a\":1}\n\n");
/// ```
pub fn write_event<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_string(value).unwrap_or_default();
    format!("data: {text}\n\n").into()
}
