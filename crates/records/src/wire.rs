//! Encoding of log records.
//!
//! Each log entry is a frame of records. A record consists of a fixed envelope, which has the kind and the
//! schema version of the body, and of the body, encoded separately as bytes. A reader can therefore skip a
//! body that it does not support, and write it again unchanged.

use crate::ids::{Epoch, RecordId, ShardIndex};
use crate::record::{LogRecord, RecordBody, UnknownBody};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// First bytes of each frame; the last byte is the version of the envelope.
const FRAME_MAGIC: [u8; 4] = *b"fsw\x01";

/// Errors of encoding and decoding frames.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The entry does not start with the magic bytes of a frame.
    #[snafu(display(
        "the log entry does not start with the magic bytes of a frame; check that no other program appends to the stream"
    ))]
    ForeignFrame,
    /// The envelopes of the records cannot be decoded.
    #[snafu(display("cannot decode the envelopes of the frame ({source}); upgrade this host"))]
    Envelope {
        /// Error of the serializer.
        source: postcard::Error,
    },
    /// A record cannot be encoded.
    #[snafu(display(
        "cannot encode a record ({source}); report this error with the kind of the record"
    ))]
    Encode {
        /// Error of the serializer.
        source: postcard::Error,
    },
}

/// Encoded form of one record in the log.
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

/// Version of record bodies that this program reads and writes, the same for all kinds.
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
    CallAnnounced = 3,
    Outcome = 4,
    JobChunk = 5,
    JobSeal = 6,
    JobCancel = 7,
    ItemsAnnounced = 8,
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

/// Encodes records as the frame of one log entry.
///
/// # Errors
/// [`CodecError::Encode`] if a record cannot be encoded.
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

/// Decodes the frame of one log entry. Bodies of unknown kinds or versions become [`RecordBody::Unknown`].
///
/// # Errors
/// [`CodecError::ForeignFrame`] if the magic bytes are missing, [`CodecError::Envelope`] if the envelopes
/// cannot be decoded.
pub fn decode_frame(bytes: &[u8]) -> Result<Vec<LogRecord>, CodecError> {
    let Some(payload) = bytes.strip_prefix(&FRAME_MAGIC) else {
        return ForeignFrameSnafu.fail();
    };
    let envelopes: Vec<WireRecord> = postcard::from_bytes(payload).context(EnvelopeSnafu)?;
    Ok(envelopes.into_iter().map(LogRecord::from).collect())
}
