//! Job records and their encoding in the log.
//!
//! A record is split into frames that fit the size limit of the log. Every frame has a unique key that is never
//! reused, so compaction keeps all of them, and readers that start from a snapshot of the latest record of each key
//! see the same records in the same order as those that follow the tail.

use crate::backend::{KeyedRecord, LogEntry};
use crate::progress::ProgressSegment;
use bytes::{BufMut, Bytes, BytesMut};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Version of the record encoding.
const SCHEMA: u8 = 2;
/// Maximum size of a frame; the log accepts records of up to 256 KiB.
const MAX_FRAME_BYTES: usize = 200_000;

/// An item of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedItem {
    /// Item ID, used as the request ID of its runs.
    pub id: Arc<str>,
    /// Path and query of the request.
    pub path: Arc<str>,
    /// Headers of the request as names and values.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body of the request.
    pub body: Bytes,
    /// Token count of the prompt and the response, counted against the quota.
    pub tokens: u64,
}

impl AcceptedItem {
    /// Whether a request can be made of the item: its path is one, and its ID can be the value of a header.
    ///
    /// ```
    /// use fulmarswitch_switch::record::AcceptedItem;
    /// let item = |path: &str| AcceptedItem {
    ///     id: "e5b2907c".into(),
    ///     path: path.into(),
    ///     headers: Vec::new(),
    ///     body: "input".into(),
    ///     tokens: 10,
    /// };
    /// assert!(item("/jobs/7?retry=1").is_sendable());
    /// assert!(!item("/jobs/7 8").is_sendable());
    /// assert!(!item("jobs.example").is_sendable());
    /// ```
    #[must_use]
    pub fn is_sendable(&self) -> bool {
        self.path.starts_with('/')
            && self.path.parse::<PathAndQuery>().is_ok()
            && !self.id.is_empty()
            && HeaderValue::from_str(&self.id).is_ok()
    }

    /// Headers of the request, without those that no request can have; `None` if they are more than a table of headers holds.
    ///
    /// ```
    /// use fulmarswitch_switch::record::AcceptedItem;
    /// let item = |count: u32| AcceptedItem {
    ///     id: "e5b2907c".into(),
    ///     path: "/jobs/7".into(),
    ///     headers: (0..count).map(|number| (format!("x{number}").into(), "".into())).collect(),
    ///     body: "input".into(),
    ///     tokens: 10,
    /// };
    /// assert_eq!(item(3).header_map().unwrap().len(), 3);
    /// assert_eq!(item(40_000).header_map(), None);
    /// ```
    #[must_use]
    pub fn header_map(&self) -> Option<HeaderMap> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let parsed = (
                HeaderName::from_bytes(name.as_bytes()),
                HeaderValue::from_bytes(value.as_bytes()),
            );
            if let (Ok(name), Ok(value)) = parsed {
                headers.try_append(name, value).ok()?;
            }
        }
        Some(headers)
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Job ID.
    pub job: Arc<str>,
    /// Host name of the job's route.
    pub host: Arc<str>,
    /// Path prefix of the job's route.
    pub path_prefix: Arc<str>,
    /// Name of the host that accepted the job.
    pub accepted_by: Arc<str>,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Items of the job; their index is their position here.
    pub items: Vec<AcceptedItem>,
    /// Workspace that the job belongs to. It stands behind the record, where hosts up to b14947a do not read it.
    #[serde(skip)]
    pub workspace: Option<Arc<str>>,
}

/// Location of an output text in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextLocation {
    /// Offset of the first frame.
    pub offset: u64,
    /// Number from which the frame keys are derived.
    pub number: u64,
    /// Number of frames.
    pub frames: u32,
    /// Length of the text in bytes.
    pub bytes: u32,
}

impl TextLocation {
    /// Identifies the incarnation of the host that wrote the text.
    #[must_use]
    pub fn writer(&self) -> u64 {
        self.number >> COUNT_BITS
    }

    /// Whether the text has as many frames as its length takes. All of them are fetched at once, and deleted with the job.
    fn is_consistent(&self) -> bool {
        self.frames as usize == (self.bytes as usize).div_ceil(MAX_FRAME_BYTES).max(1)
    }
}

/// Final outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The item completed; its output is stored at the location.
    Completed(TextLocation),
    /// The item will not complete: it is impossible, out of attempts or out of time.
    Abandoned,
}

/// A job record in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted(AcceptedJob),
    /// An item has a final outcome.
    Settled {
        /// Job ID.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
        /// Final outcome of the item.
        outcome: ItemOutcome,
    },
    /// A run of an item failed.
    Failed {
        /// Job ID.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
    },
    /// A checkpoint without the software version that wrote it, by a host of an earlier release. It is not continued.
    Progress {
        /// Job ID.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
        /// ID of the last event before the segment; `None` at the start of the output.
        after: Option<u64>,
        /// ID of the last event in the segment.
        last_event: u64,
        /// Location of the segment's text.
        location: TextLocation,
    },
    /// The caller cancelled the job.
    Cancelled {
        /// Job ID.
        job: Arc<str>,
    },
    /// A checkpoint: a segment of the output of an item without a final outcome.
    Checkpoint {
        /// Job ID.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
        /// The segment.
        segment: ProgressSegment,
    },
    /// The output of an item in all checkpoints so far is not continued.
    Discarded {
        /// Job ID.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
        /// Identifies the incarnation of the host that ran the item, see [`TextLocation::writer`].
        writer: u64,
    },
}

/// Errors in decoding a record from the log.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record has an unknown schema.
    #[snafu(display("unsupported record schema {schema}; upgrade this host"))]
    Schema {
        /// Schema of the record.
        schema: u8,
    },
    /// The bytes do not follow the encoding.
    #[snafu(display("record cannot be decoded ({source}); it is ignored"))]
    Decode {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The record locates a text that cannot be one.
    #[snafu(display(
        "record of a text of {bytes} bytes in {frames} frames, which it does not take; it is ignored"
    ))]
    Location {
        /// Length of the text in bytes.
        bytes: u32,
        /// Number of frames.
        frames: u32,
    },
}

impl JobRecord {
    /// ID of the job that the record belongs to.
    #[must_use]
    pub fn job(&self) -> &Arc<str> {
        match self {
            Self::Accepted(accepted) => &accepted.job,
            Self::Settled { job, .. }
            | Self::Failed { job, .. }
            | Self::Progress { job, .. }
            | Self::Checkpoint { job, .. }
            | Self::Discarded { job, .. }
            | Self::Cancelled { job } => job,
        }
    }

    /// Encodes the record into frames whose keys are derived from `number`, which must be unique.
    ///
    /// # Errors
    /// Returns the codec's error.
    pub fn encode(&self, number: u64) -> Result<Vec<KeyedRecord>, postcard::Error> {
        let mut bytes = vec![SCHEMA];
        bytes.extend(postcard::to_stdvec(self)?);
        if let Self::Accepted(accepted) = self
            && accepted.workspace.is_some()
        {
            bytes.extend(postcard::to_stdvec(&accepted.workspace)?);
        }
        Ok(split_frames(&record_key(self.job(), number), &bytes))
    }

    fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let (mut record, rest): (Self, _) = match bytes.split_first() {
            Some((&SCHEMA, rest)) => postcard::take_from_bytes(rest).context(DecodeSnafu)?,
            first => {
                let schema = first.map_or(0, |(schema, _)| *schema);
                return SchemaSnafu { schema }.fail();
            }
        };
        if let Self::Accepted(accepted) = &mut record
            && !rest.is_empty()
        {
            // With a workspace that cannot be read, the job would be anybody's.
            accepted.workspace = postcard::from_bytes(rest).context(DecodeSnafu)?;
        }
        match record.location() {
            Some(location) if !location.is_consistent() => LocationSnafu {
                bytes: location.bytes,
                frames: location.frames,
            }
            .fail(),
            _ => Ok(record),
        }
    }

    /// Frames in the log of the text that the record locates.
    pub(crate) fn text_frames(&self) -> Option<FrameRange> {
        self.location().map(FrameRange::from_text)
    }

    /// Location of the text that belongs to the record.
    fn location(&self) -> Option<&TextLocation> {
        match self {
            Self::Settled {
                outcome: ItemOutcome::Completed(location),
                ..
            }
            | Self::Progress { location, .. } => Some(location),
            Self::Checkpoint { segment, .. } => Some(&segment.location),
            Self::Accepted(_)
            | Self::Settled { .. }
            | Self::Failed { .. }
            | Self::Cancelled { .. }
            | Self::Discarded { .. } => None,
        }
    }
}

/// Generates numbers for keys that are unique over all hosts and incarnations.
#[derive(Clone, Debug)]
pub struct RecordNumberGenerator {
    base: u64,
    count: u64,
}

/// Number of low bits that hold the count within an incarnation and [`FAILURE_BIT`]. An incarnation writes fewer than 2^27
/// records and texts.
const COUNT_BITS: u32 = 28;
/// Bit of a number that marks the record of a failed run. All copies of such a record in the log have the same key.
const FAILURE_BIT: u64 = 1 << (COUNT_BITS - 1);

impl RecordNumberGenerator {
    /// Creates the generator for an incarnation of a host.
    #[must_use]
    pub fn new(host: &str, incarnation: u64) -> Self {
        let base = xxh3_64_with_seed(host.as_bytes(), incarnation) << COUNT_BITS;
        Self { base, count: 0 }
    }

    /// Identifies the incarnation in all its numbers, see [`TextLocation::writer`].
    #[must_use]
    pub fn writer(&self) -> u64 {
        self.base >> COUNT_BITS
    }

    /// Returns an unused number.
    ///
    /// ```
    /// use fulmarswitch_switch::record::RecordNumberGenerator;
    /// let mut numbers = RecordNumberGenerator::new("host-1", 1_700_000_000_000);
    /// assert_ne!(numbers.next_number(), numbers.next_number());
    /// ```
    pub fn next_number(&mut self) -> u64 {
        self.count += 1;
        self.base | (self.count & (FAILURE_BIT - 1))
    }

    /// Returns an unused number for the record of a failed run. Every append of the record uses this number, so that a
    /// repeated append is not taken for a second failure.
    pub fn next_failure_number(&mut self) -> u64 {
        self.next_number() | FAILURE_BIT
    }
}

/// Identifies a failed run of an item.
///
/// Hosts of releases up to b14947a append the record again under another key if the log does not respond, which nothing
/// tells from a second failure. All failures of an item that one incarnation of such a host recorded count as one: an
/// item may run more often than its attempts, but must not be abandoned too early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailedRun(u64);

impl From<FrameRange> for FailedRun {
    fn from(record: FrameRange) -> Self {
        if record.number & FAILURE_BIT == 0 {
            Self(record.writer() << COUNT_BITS)
        } else {
            Self(record.number)
        }
    }
}

/// Keys of the frames of one record or text, kept so that they can be deleted with their job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameRange {
    /// Number from which the frame keys are derived.
    pub number: u64,
    /// Number of frames.
    pub count: u32,
    /// Whether the frames hold a text rather than a record.
    pub is_text: bool,
}

impl FrameRange {
    /// Identifies the incarnation of the host that wrote the frames.
    #[must_use]
    pub fn writer(self) -> u64 {
        self.number >> COUNT_BITS
    }

    /// Returns the frames of a text.
    #[must_use]
    pub fn from_text(location: &TextLocation) -> Self {
        Self {
            number: location.number,
            count: location.frames,
            is_text: true,
        }
    }

    /// Returns the frames of the record whose last frame has this key; `None` for a key of another form.
    #[must_use]
    pub fn from_record_key(last_key: &[u8]) -> Option<Self> {
        let mut parts = std::str::from_utf8(last_key).ok()?.rsplit('/');
        let last: u32 = parts.next()?.parse().ok()?;
        let number = u64::from_str_radix(parts.next()?, 16).ok()?;
        Some(Self {
            number,
            count: last.checked_add(1)?,
            is_text: false,
        })
    }

    /// Returns tombstones for the frames, which belong to `job`.
    #[must_use]
    pub fn tombstones(self, job: &str) -> Vec<KeyedRecord> {
        let prefix = if self.is_text {
            text_key(self.number)
        } else {
            record_key(job, self.number)
        };
        let tombstone = |index| KeyedRecord {
            key: frame_key(&prefix, index).into(),
            value: Bytes::new(),
        };
        (0..self.count).map(tombstone).collect()
    }
}

fn record_key(job: &str, number: u64) -> String {
    format!("j/{:016x}/{number:016x}", job_hash(job))
}

/// Hash of a job's ID that the keys of its records contain.
pub(crate) fn job_hash(job: &str) -> u64 {
    xxh3_64(job.as_bytes())
}

/// Returns the hash of the job whose record has a frame with this key; `None` for a key of another form.
pub(crate) fn job_hash_of_key(key: &[u8]) -> Option<u64> {
    let key = std::str::from_utf8(key).ok()?.strip_prefix("j/")?;
    let (hash, _) = key.split_once('/')?;
    u64::from_str_radix(hash, 16).ok()
}

fn frame_key(prefix: &str, index: u32) -> String {
    format!("{prefix}/{index:04}")
}

/// Common prefix of the frame keys of a text.
#[must_use]
pub fn text_key(number: u64) -> String {
    format!("t/{number:016x}")
}

/// Splits bytes into frames whose keys begin with `prefix`. The first byte of a frame's value is 1 in the last frame
/// and 0 in the others.
///
/// ```
/// use fulmarswitch_switch::record::{FrameAssembler, split_frames};
/// let mut assembler = FrameAssembler::default();
/// let frames = split_frames("t/1", &[7; 300_000]);
/// let whole: Vec<_> = frames.iter().filter_map(|frame| assembler.push(frame)).collect();
/// assert_eq!((frames.len(), whole[0].len()), (2, 300_000));
/// ```
#[must_use]
pub fn split_frames(prefix: &str, bytes: &[u8]) -> Vec<KeyedRecord> {
    let count = bytes.len().div_ceil(MAX_FRAME_BYTES).max(1);
    (0..count)
        .map(|index| {
            let end = bytes.len().min((index + 1) * MAX_FRAME_BYTES);
            let mut value = BytesMut::with_capacity(1 + end - index * MAX_FRAME_BYTES);
            value.put_u8(u8::from(index + 1 == count));
            value.put_slice(&bytes[index * MAX_FRAME_BYTES..end]);
            KeyedRecord {
                key: frame_key(prefix, u32::try_from(index).unwrap_or(u32::MAX)).into(),
                value: value.freeze(),
            }
        })
        .collect()
}

/// Reassembles records and texts from frames. Frames of different ones may be interleaved.
#[derive(Debug, Default)]
pub struct FrameAssembler {
    parts: Vec<(Bytes, BytesMut)>,
}

impl FrameAssembler {
    /// Adds a frame. If it is the last one with its key prefix, returns the complete bytes.
    pub fn push(&mut self, record: &KeyedRecord) -> Option<Bytes> {
        let (&last, payload) = record.value.split_first()?;
        let separator = record.key.iter().rposition(|byte| *byte == b'/')?;
        let prefix = record.key.slice(..separator);
        let index = match self.parts.binary_search_by(|(key, _)| key.cmp(&prefix)) {
            Ok(index) => index,
            Err(_) if last == 1 && record.key.ends_with(b"/0000") => {
                return Some(record.value.slice(1..));
            }
            Err(index) => {
                self.parts.insert(index, (prefix, BytesMut::new()));
                index
            }
        };
        self.parts[index].1.extend_from_slice(payload);
        (last == 1).then(|| self.parts.remove(index).1.freeze())
    }
}

/// Decodes job records from log entries.
#[derive(Debug, Default)]
pub struct RecordReader {
    frames: FrameAssembler,
}

impl RecordReader {
    /// Adds a log entry. Returns the record or its error if the entry holds the last frame, otherwise `None`.
    pub fn push(&mut self, entry: &LogEntry) -> Option<Result<JobRecord, RecordError>> {
        let bytes = self.frames.push(&entry.record)?;
        Some(JobRecord::decode(&bytes))
    }
}
