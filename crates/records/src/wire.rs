//! The encoded form of records.
//!
//! An entry of the log is a frame of records. Each record has a fixed envelope, which holds the kind and
//! the schema version of its body, and the body as bytes of its own. So a reader can pass over, and pass
//! on, a body that it does not know.

use crate::ids::{Epoch, RecordId, ShardIndex};
use crate::record::{LogRecord, RecordBody, UnknownBody};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Bytes at the head of each frame; the last is the version of the envelope.
const FRAME_MAGIC: [u8; 4] = *b"fsw\x01";

/// Errors of the record codec.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The frame does not start as every frame does.
    #[snafu(display(
        "the entry is not a frame of this system; check that no other program appends to the stream"
    ))]
    ForeignFrame,
    /// The envelope cannot be read.
    #[snafu(display("the frame's envelope cannot be decoded ({source}); upgrade this host"))]
    Envelope {
        /// Cause.
        source: postcard::Error,
    },
    /// A body cannot be written.
    #[snafu(display(
        "a record body cannot be encoded ({source}); report it with the record's kind"
    ))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
}

/// Envelope of one record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRecord {
    id: RecordId,
    shard: ShardIndex,
    epoch: Epoch,
    stamp: u64,
    kind: u16,
    version: u16,
    body: Vec<u8>,
}

/// Newest body version that this program reads and writes; all kinds share it so far.
const BODY_VERSION: u16 = 1;

macro_rules! body_kinds {
    ($($variant:ident = $kind:literal),+ $(,)?) => {
        fn encode_body(body: &RecordBody) -> Result<(u16, u16, Vec<u8>), postcard::Error> {
            match body {
                $(RecordBody::$variant(inner) => {
                    Ok(($kind, BODY_VERSION, postcard::to_stdvec(inner)?))
                })+
                RecordBody::Unknown(unknown) => {
                    Ok((unknown.kind, unknown.version, unknown.bytes.clone()))
                }
            }
        }

        fn decode_body(kind: u16, version: u16, bytes: Vec<u8>) -> RecordBody {
            let decoded = if version == BODY_VERSION {
                match kind {
                    $($kind => decode(&bytes).map(RecordBody::$variant),)+
                    _ => None,
                }
            } else {
                None
            };
            decoded.unwrap_or(RecordBody::Unknown(UnknownBody { kind, version, bytes }))
        }
    };
}

body_kinds!(
    Claim = 1,
    Accept = 2,
    Running = 3,
    Outcome = 4,
    JobChunk = 5,
    JobSeal = 6,
    JobCancel = 7,
    ItemsRunning = 8,
    ItemOutcomes = 9,
    KeyCopy = 10,
    ItemRangeCopy = 11,
    Forget = 12,
    HostJoin = 13,
    HostLeave = 14,
    HostSuspected = 15,
    GateClaim = 16,
    Config = 17,
    ConfigCopy = 18,
    ItemAttempts = 19,
    ItemsReturned = 20,
);

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

impl TryFrom<&LogRecord> for WireRecord {
    type Error = CodecError;

    fn try_from(record: &LogRecord) -> Result<Self, CodecError> {
        let (kind, version, body) = encode_body(&record.body).context(EncodeSnafu)?;
        Ok(Self {
            id: record.id.clone(),
            shard: record.shard,
            epoch: record.epoch,
            stamp: record.stamp,
            kind,
            version,
            body,
        })
    }
}

impl From<WireRecord> for LogRecord {
    fn from(envelope: WireRecord) -> Self {
        Self {
            id: envelope.id,
            shard: envelope.shard,
            epoch: envelope.epoch,
            stamp: envelope.stamp,
            body: decode_body(envelope.kind, envelope.version, envelope.body),
        }
    }
}

/// Encodes records as one entry of the log.
///
/// # Errors
/// [`CodecError::Encode`] when a body cannot be written.
///
/// ```
/// use fulmarswitch_records::{decode_frame, encode_frame};
/// let bytes = encode_frame(&[])?;
/// assert!(decode_frame(&bytes)?.is_empty());
/// # Ok::<(), fulmarswitch_records::CodecError>(())
/// ```
pub fn encode_frame(records: &[LogRecord]) -> Result<Vec<u8>, CodecError> {
    let envelopes = records
        .iter()
        .map(WireRecord::try_from)
        .collect::<Result<Vec<_>, _>>()?;
    let mut bytes = FRAME_MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(&envelopes).context(EncodeSnafu)?);
    Ok(bytes)
}

/// Decodes one entry of the log.
///
/// # Errors
/// [`CodecError::ForeignFrame`] or [`CodecError::Envelope`] when the entry is not a frame.
pub fn decode_frame(bytes: &[u8]) -> Result<Vec<LogRecord>, CodecError> {
    let Some(payload) = bytes.strip_prefix(&FRAME_MAGIC) else {
        return ForeignFrameSnafu.fail();
    };
    let envelopes: Vec<WireRecord> = postcard::from_bytes(payload).context(EnvelopeSnafu)?;
    Ok(envelopes.into_iter().map(LogRecord::from).collect())
}
