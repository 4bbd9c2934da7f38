//! Server-sent events: splits a byte stream into events and parses their IDs.

use crate::route::RouteKind;
use bytes::{Buf, Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_TYPE;

/// Maximum size of one event; a larger one is an error of the endpoint.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum length of the name of a field.
const MAX_NAME_BYTES: usize = 64;
/// Fields that make up an event. A line with another name is allowed within one.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Whether the body of a successful response is a stream of events. Without a content type, the route tells.
///
/// ```
/// use fulmarswitch_switch::events::has_event_stream;
/// use fulmarswitch_switch::route::RouteKind;
/// use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
/// let mut headers = HeaderMap::new();
/// assert!(has_event_stream(&headers, RouteKind::Stream));
/// headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
/// assert!(!has_event_stream(&headers, RouteKind::Stream));
/// ```
#[must_use]
pub fn has_event_stream(headers: &HeaderMap, kind: RouteKind) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    match headers.get(CONTENT_TYPE) {
        Some(value) => value
            .as_bytes()
            .get(..EVENT_STREAM.len())
            .is_some_and(|prefix| prefix.eq_ignore_ascii_case(EVENT_STREAM)),
        None => kind == RouteKind::Stream,
    }
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Raw bytes of the event, including the blank line at its end.
    pub bytes: Bytes,
    /// Event ID; `None` if missing or not a number.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Returns the values of the `data` fields, joined by line feeds.
    #[must_use]
    pub fn data(&self) -> Vec<u8> {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        let data: Vec<&[u8]> = lines
            .filter_map(|line| field_value(line, b"data"))
            .collect();
        data.join(&b'\n')
    }

    /// Whether the event carries data, and is not just a comment or a setting.
    #[must_use]
    pub fn has_data(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            line == b"data" || line.starts_with(b"data:")
        })
    }

    /// Whether the bytes are those of an event, and not text of another kind.
    ///
    /// ```
    /// use fulmarswitch_switch::events::EventParser;
    /// let mut parser = EventParser::default();
    /// assert!(parser.push(b": ping\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n"));
    /// assert!(parser.next_event().is_some_and(|event| event.is_sound()));
    /// assert!(parser.next_event().is_some_and(|event| !event.is_sound()));
    /// ```
    #[must_use]
    pub fn is_sound(&self) -> bool {
        EventBoundary::default().push(&self.bytes)
    }
}

/// Incremental parser for server-sent events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Number of leading bytes of the buffer in which no event ends.
    scanned: usize,
}

impl EventParser {
    /// Appends bytes. Returns `false` if an event in the buffer, as far as it has arrived, exceeds 1 MiB.
    #[must_use]
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buffer.extend_from_slice(chunk);
        self.buffer.len() <= MAX_EVENT_BYTES || !self.has_oversized_event()
    }

    /// Returns the next complete event; `None` if the buffer holds none.
    ///
    /// ```
    /// use fulmarswitch_switch::events::EventParser;
    /// let mut parser = EventParser::default();
    /// assert!(parser.push(b"id: 4\ndata: a\n\nid: 5\n"));
    /// assert_eq!(parser.next_event().and_then(|event| event.id), Some(4));
    /// assert_eq!(parser.next_event(), None);
    /// ```
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = bytes
            .split(|byte| *byte == b'\n')
            .find_map(|line| field_value(line, b"id"))
            .and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
        Some(StreamEvent { bytes, id })
    }

    /// Whether the buffer holds an incomplete event. Blank lines alone are none.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        !self.buffer.iter().all(is_line_end)
    }

    /// Discards the buffer.
    pub fn clear(&mut self) {
        self.buffer.advance(self.buffer.len());
        self.scanned = 0;
    }

    fn find_end(&mut self) -> Option<usize> {
        match find_event_end(&self.buffer, self.scanned) {
            Ok(end) => Some(end),
            Err(scanned) => {
                self.scanned = scanned;
                None
            }
        }
    }

    fn has_oversized_event(&self) -> bool {
        let (mut start, mut scanned) = (0, self.scanned);
        while let Ok(end) = find_event_end(&self.buffer, scanned) {
            if end - start > MAX_EVENT_BYTES {
                return true;
            }
            (start, scanned) = (end, end);
        }
        self.buffer.len() - start > MAX_EVENT_BYTES
    }
}

/// Returns the end of the first event that ends after the first `scanned` bytes. If there is none, returns the number
/// of leading bytes that need not be scanned again.
fn find_event_end(bytes: &[u8], scanned: usize) -> Result<usize, usize> {
    let mut index = scanned;
    while let Some(found) = bytes[index..].iter().position(|byte| *byte == b'\n') {
        let after = index + found + 1;
        match &bytes[after..] {
            [b'\n', ..] => return Ok(after + 1),
            [b'\r', b'\n', ..] => return Ok(after + 2),
            [] | [b'\r'] => return Err(index + found),
            _ => index = after,
        }
    }
    Err(bytes.len())
}

/// Tells whether a stream consists of server-sent events, and whether it ends within one, without holding its bytes. Lines end
/// with a line feed, a carriage return, or both, and a blank line ends an event.
#[derive(Clone, Debug, Default)]
pub struct EventBoundary {
    /// Number of events that have ended.
    events: u32,
    in_event: bool,
    in_line: bool,
    after_return: bool,
    lines: LineCheck,
}

impl EventBoundary {
    /// Reads the next bytes of the stream. Returns `false` once there were bytes that belong to no event: lines other than
    /// comments and named fields, or an event of unknown fields only.
    ///
    /// ```
    /// use fulmarswitch_switch::events::EventBoundary;
    /// let mut boundary = EventBoundary::default();
    /// assert!(boundary.push(b"id: 1\ndata: a\n\nid: 2\n"));
    /// assert!(boundary.is_within_event());
    /// assert!(boundary.push(b"data: b\n\n"));
    /// assert!(!boundary.is_within_event());
    /// assert!(!boundary.push(b"HTTP/1.1 500 "));
    /// ```
    #[must_use]
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        for byte in chunk {
            self.lines.push(*byte);
            let ends_return = *byte == b'\n' && self.after_return;
            self.after_return = *byte == b'\r';
            match byte {
                b'\n' if ends_return => {}
                b'\n' | b'\r' => {
                    let was_in_event = self.in_event;
                    self.in_event &= self.in_line;
                    self.events += u32::from(was_in_event && !self.in_event);
                    self.in_line = false;
                }
                _ => (self.in_event, self.in_line) = (true, true),
            }
        }
        !self.lines.has_other_bytes
    }

    /// Number of events that have ended.
    #[must_use]
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Whether the bytes so far end within an event.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.in_event
    }
}

/// Checks the names of the fields of a stream of events.
#[derive(Clone, Debug, Default)]
struct LineCheck {
    name: LineName,
    fields: EventFields,
    has_other_bytes: bool,
}

/// How far the name at the start of a line has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LineName {
    Partial(Vec<u8>),
    Complete,
}

impl Default for LineName {
    fn default() -> Self {
        Self::Partial(Vec::new())
    }
}

/// Lines of an event so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum EventFields {
    #[default]
    Nothing,
    /// Only fields with unknown names.
    Unknown,
    /// A comment or a field with a known name.
    Known,
}

impl LineCheck {
    fn push(&mut self, byte: u8) {
        match (&mut self.name, byte) {
            (_, b'\n') => self.end_line(),
            // Data may hold a carriage return, which ends no line here.
            (LineName::Complete, _) | (_, b'\r') => {}
            (LineName::Partial(name), b':') => {
                let is_known = name.is_empty() || is_field(name);
                self.add_field(is_known);
                self.name = LineName::Complete;
            }
            (LineName::Partial(name), _) => {
                let is_name = matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_')
                    && name.len() < MAX_NAME_BYTES;
                if is_name {
                    name.push(byte);
                } else {
                    self.has_other_bytes = true;
                }
            }
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.name) {
            LineName::Complete => {}
            LineName::Partial(name) if name.is_empty() => {
                let fields = std::mem::take(&mut self.fields);
                self.has_other_bytes |= fields == EventFields::Unknown;
            }
            // The name of a field without a value.
            LineName::Partial(name) => {
                self.has_other_bytes |= !is_field(&name);
                self.add_field(true);
            }
        }
    }

    fn add_field(&mut self, is_known: bool) {
        let fields = if is_known {
            EventFields::Known
        } else {
            EventFields::Unknown
        };
        self.fields = self.fields.max(fields);
    }
}

fn is_field(name: &[u8]) -> bool {
    FIELD_NAMES.contains(&name)
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let rest = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(rest.strip_prefix(b" ").unwrap_or(rest))
}
