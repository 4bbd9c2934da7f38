//! Records of jobs on the log.
//!
//! A record is split into frames that fit the log's records. Every frame has a key of its own that is never
//! used again, so that the log keeps all of them, and readers that start from the newest record of each key
//! see the same records in the same order as those that follow the tail.

use crate::backend::{KeyedRecord, LogEntry};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Version of the records' encoding.
const SCHEMA: u8 = 2;
/// Most bytes of a frame; the log takes records of 256 KiB.
const MAX_FRAME_BYTES: usize = 200_000;

/// One item of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedItem {
    /// Identity of the item, under which it runs.
    pub id: Arc<str>,
    /// Path of the request.
    pub path: Arc<str>,
    /// Headers of the request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body of the request.
    pub body: Bytes,
    /// Tokens of the prompt and the answer.
    pub tokens: u64,
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Identity of the job.
    pub job: Arc<str>,
    /// Host name of its route.
    pub host: Arc<str>,
    /// Path prefix of its route.
    pub path_prefix: Arc<str>,
    /// Host that accepted it.
    pub accepted_by: Arc<str>,
    /// When, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Its items.
    pub items: Vec<AcceptedItem>,
}

/// Where the text of a completed item stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextLocation {
    /// Offset of the first frame.
    pub offset: u64,
    /// Number that makes the keys of its frames.
    pub number: u64,
    /// How many frames it has.
    pub frames: u32,
    /// Bytes of the text.
    pub bytes: u32,
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// Its whole output stands at a place.
    Completed(TextLocation),
    /// It cannot be done.
    Abandoned,
}

/// One fact about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted(AcceptedJob),
    /// An item ended.
    Settled {
        /// Identity of the job.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
        /// How it ended.
        outcome: ItemOutcome,
    },
    /// A run of an item failed.
    Failed {
        /// Identity of the job.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
    },
    /// A part of the output of an item that has not ended.
    Progress {
        /// Identity of the job.
        job: Arc<str>,
        /// Index of the item in the job.
        item: u32,
        /// Number of the last event before the part; `None` at the start.
        after: Option<u64>,
        /// Number of the last event in the part.
        last_event: u64,
        /// Where its text stands.
        location: TextLocation,
    },
    /// The job was ended by its caller.
    Cancelled {
        /// Identity of the job.
        job: Arc<str>,
    },
}

/// Errors of a record that stands on the log.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record has another schema.
    #[snafu(display("record of schema {schema}; run a host that knows it"))]
    Schema {
        /// Schema of the record.
        schema: u8,
    },
    /// The bytes cannot be read.
    #[snafu(display("record cannot be decoded ({source}); it is left out"))]
    Decode {
        /// What the codec says.
        source: postcard::Error,
    },
}

impl JobRecord {
    /// Identity of the job.
    #[must_use]
    pub fn job(&self) -> &Arc<str> {
        match self {
            Self::Accepted(accepted) => &accepted.job,
            Self::Settled { job, .. }
            | Self::Failed { job, .. }
            | Self::Progress { job, .. }
            | Self::Cancelled { job } => job,
        }
    }

    /// Encodes the record into frames under keys made of `number`, which must be unique.
    ///
    /// # Errors
    /// Returns the codec's error.
    pub fn encode(&self, number: u64) -> Result<Vec<KeyedRecord>, postcard::Error> {
        let mut bytes = vec![SCHEMA];
        bytes.extend(postcard::to_stdvec(self)?);
        Ok(split_frames(&record_key(self.job(), number), &bytes))
    }

    fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        match bytes.split_first() {
            Some((&SCHEMA, rest)) => {
                postcard::from_bytes(rest).map_err(|source| RecordError::Decode { source })
            }
            first => Err(RecordError::Schema {
                schema: first.map_or(0, |(schema, _)| *schema),
            }),
        }
    }
}

/// Numbers for keys, unique over all hosts and their runs.
#[derive(Clone, Debug)]
pub struct RecordNumberGenerator {
    base: u64,
    count: u64,
}

/// Bits of a number that count within a run: a host writes fewer records than that in its life.
const COUNT_BITS: u32 = 28;

impl RecordNumberGenerator {
    /// Makes the numbers of a run.
    #[must_use]
    pub fn new(host: &str, incarnation: u64) -> Self {
        let base = xxh3_64_with_seed(host.as_bytes(), incarnation) << COUNT_BITS;
        Self { base, count: 0 }
    }

    /// Returns a number that was not used before.
    ///
    /// ```
    /// use fulmarswitch_switch::record::RecordNumberGenerator;
    /// let mut numbers = RecordNumberGenerator::new("host-1", 1_700_000_000_000);
    /// assert_ne!(numbers.next_number(), numbers.next_number());
    /// ```
    pub fn next_number(&mut self) -> u64 {
        self.count += 1;
        self.base | (self.count & ((1 << COUNT_BITS) - 1))
    }
}

/// Which frames belong to a job, so that they can be dropped with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameRange {
    /// Number in the frames' keys.
    pub number: u64,
    /// How many frames there are.
    pub count: u32,
    /// Whether they are of a text, or of a record.
    pub is_text: bool,
}

impl FrameRange {
    /// Frames of a text.
    #[must_use]
    pub fn from_text(location: &TextLocation) -> Self {
        Self {
            number: location.number,
            count: location.frames,
            is_text: true,
        }
    }

    /// Frames of the record whose last frame has this key; `None` for a key of another form.
    #[must_use]
    pub fn from_record_key(last_key: &[u8]) -> Option<Self> {
        let mut parts = std::str::from_utf8(last_key).ok()?.rsplit('/');
        let last: u32 = parts.next()?.parse().ok()?;
        let number = u64::from_str_radix(parts.next()?, 16).ok()?;
        Some(Self {
            number,
            count: last + 1,
            is_text: false,
        })
    }

    /// Records that drop the frames' keys, for those of `job`.
    #[must_use]
    pub fn tombstones(self, job: &str) -> Vec<KeyedRecord> {
        let prefix = if self.is_text {
            text_key(self.number)
        } else {
            record_key(job, self.number)
        };
        let drop = |index| KeyedRecord {
            key: frame_key(&prefix, index).into(),
            value: Bytes::new(),
        };
        (0..self.count).map(drop).collect()
    }
}

fn record_key(job: &str, number: u64) -> String {
    format!("j/{:016x}/{number:016x}", xxh3_64(job.as_bytes()))
}

fn frame_key(prefix: &str, index: u32) -> String {
    format!("{prefix}/{index:04}")
}

/// Key prefix of a text's frames.
#[must_use]
pub fn text_key(number: u64) -> String {
    format!("t/{number:016x}")
}

/// Splits bytes into frames under keys that begin with `prefix`.
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

/// Puts frames together.
#[derive(Debug, Default)]
pub struct FrameAssembler {
    parts: Vec<(Bytes, BytesMut)>,
}

impl FrameAssembler {
    /// Adds a frame; returns the whole bytes with the last one.
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

/// Reads records of jobs from placed records.
#[derive(Debug, Default)]
pub struct RecordReader {
    frames: FrameAssembler,
}

impl RecordReader {
    /// Adds a placed record; returns a whole one, with the error of one that cannot be read.
    pub fn push(&mut self, entry: &LogEntry) -> Option<Result<JobRecord, RecordError>> {
        let bytes = self.frames.push(&entry.record)?;
        Some(JobRecord::decode(&bytes))
    }
}
