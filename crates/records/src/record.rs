//! Log records in decoded form.

use crate::config::ConfigChange;
use crate::ids::{Epoch, HostIdentity, Offset, RecordId, RecordPlace, ShardIndex};
use crate::request::{ItemOutcome, JobHeader, OnlineRequest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One record of a log stream.
///
/// A record of a shard is valid only if its epoch equals the shard's epoch at the record's place in the
/// stream. Validity depends only on the order of records in the log, never on a clock.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Identity of the record, unique across writers.
    pub id: RecordId,
    /// Shard that the record belongs to; zero in streams without shards.
    pub shard: ShardIndex,
    /// Epoch of the writer's claim to the shard; zero in streams without shards.
    pub epoch: Epoch,
    /// The writer's logical time, used only for the event time line.
    pub stamp: u64,
    /// Content of the record.
    pub body: RecordBody,
}

/// Content of a record, by kind.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordBody {
    /// A host claims ownership of the shard with the epoch of the record.
    Claim(ShardClaim),
    /// The owner accepted an online request.
    Accept(OnlineRequest),
    /// Announces a call that must not be repeated, before it is sent to an endpoint.
    CallAnnounced(CallAnnounced),
    /// The final outcome of an online request.
    Outcome(KeyOutcome),
    /// Inputs of a range of items of a job that is being submitted.
    JobChunk(JobChunk),
    /// All items of a job are in the log, and the job is accepted.
    JobSeal(JobSeal),
    /// A job was cancelled.
    JobCancel(JobCancel),
    /// Announces items whose calls must not be repeated, before they are assigned.
    ItemsAnnounced(ItemsAnnounced),
    /// Announced items were returned without having run.
    ItemsReturned(ItemsReturned),
    /// Final outcomes of items of a job.
    ItemOutcomes(ItemOutcomes),
    /// A copy of the state of a key, written before the original records expire.
    KeyCopy(KeyCopy),
    /// A copy of the state of a range of items of a job, written before the original records expire.
    ItemRangeCopy(ItemRangeCopy),
    /// Removes a key or job whose result no longer has to be readable.
    Forget(ForgetName),
    /// A host joins with the given addresses.
    HostJoin(HostJoin),
    /// A host is leaving and accepts no new work.
    HostLeave(HostIdentity),
    /// A neighbour of a host reports that the host does not respond.
    HostSuspected(HostSuspicion),
    /// A host claims the gate of an endpoint, through which all requests to the endpoint pass. The
    /// offset of the log entry is the claim's fencing token.
    GateClaim(GateClaim),
    /// An operator changed a configuration record.
    Config(ConfigChange),
    /// A copy of a configuration record, written before the original expires.
    ConfigCopy(ConfigCopy),
    /// Failed attempts at items. An item fails for good after a fixed number of them.
    ItemAttempts(ItemAttempts),
    /// A record of a kind or version that this program does not support.
    Unknown(UnknownBody),
}

/// Body of [`RecordBody::Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The new owner.
    pub owner: HostIdentity,
    /// Offset up to which (exclusive) the claimant had read the stream.
    ///
    /// A reader that starts at a later offset cannot tell whether the claim is valid or is a stale one that
    /// was appended late.
    pub next_offset: Offset,
}

/// Body of [`RecordBody::CallAnnounced`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnnounced {
    /// Qualified key, `workspace/key`.
    pub key: Arc<str>,
}

/// Body of [`RecordBody::Outcome`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOutcome {
    /// Qualified key, `workspace/key`.
    pub key: Arc<str>,
    /// Final outcome of the request.
    pub outcome: ItemOutcome,
}

/// Body of [`RecordBody::JobChunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChunk {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Index of the first item.
    pub first: u32,
    /// Inputs of consecutive items.
    pub inputs: Vec<Arc<str>>,
}

/// Body of [`RecordBody::JobSeal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSeal {
    /// Header of the job.
    pub header: JobHeader,
    /// Number of items of the job.
    pub total: u32,
    /// Digest of all inputs, used to detect a resubmission with different items.
    pub digest: u64,
}

/// Body of [`RecordBody::JobCancel`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCancel {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
}

/// Body of [`RecordBody::ItemsAnnounced`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsAnnounced {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Indexes of the items.
    pub items: Vec<u32>,
}

/// Body of [`RecordBody::ItemsReturned`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsReturned {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Indexes of the items.
    pub items: Vec<u32>,
    /// Place of the [`RecordBody::ItemsAnnounced`] record, which distinguishes this assignment from others.
    pub announced: RecordPlace,
}

/// Body of [`RecordBody::ItemOutcomes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOutcomes {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Outcomes, each with the index of its item.
    pub outcomes: Vec<(u32, ItemOutcome)>,
}

/// Body of [`RecordBody::ItemAttempts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemAttempts {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Indexes of the items, with one entry per failed attempt.
    pub items: Vec<u32>,
}

/// Body of [`RecordBody::ConfigCopy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Version of the configuration record after its latest change.
    pub version: u64,
    /// The latest change.
    pub change: ConfigChange,
}

/// Body of [`RecordBody::KeyCopy`].
///
/// The copy is valid only if no record between `as_of` and the copy refers to the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCopy {
    /// Place of the last record of the shard that the writer had applied.
    pub as_of: RecordPlace,
    /// The request as it was accepted.
    pub request: OnlineRequest,
    /// Whether a call that must not be repeated was announced.
    pub announced: bool,
    /// The final outcome; `None` while there is none.
    pub outcome: Option<ItemOutcome>,
    /// Time of the outcome by the log's clock, in milliseconds since the Unix epoch; zero if there is none.
    pub completed_ms: u64,
}

/// Body of [`RecordBody::ItemRangeCopy`].
///
/// A job is copied in ranges of items, each with the job's seal. The copy is valid only if no record
/// between `as_of` and the copy refers to the whole job or to an item of the range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRangeCopy {
    /// Place of the last record of the shard that the writer had applied.
    pub as_of: RecordPlace,
    /// Seal of the job, with its header.
    pub seal: JobSeal,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Time of the last outcome by the log's clock, in milliseconds since the Unix epoch.
    pub completed_ms: u64,
    /// Index of the first item of the range.
    pub first: u32,
    /// Items of the range.
    pub items: Vec<ItemCopy>,
}

/// One item of [`ItemRangeCopy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCopy {
    /// Input of the item; empty if the item has an outcome.
    pub input: Arc<str>,
    /// Whether a call that must not be repeated was announced.
    pub announced: bool,
    /// Number of failed attempts so far.
    pub attempts: u8,
    /// The final outcome; `None` while there is none.
    pub outcome: Option<ItemOutcome>,
}

/// Body of [`RecordBody::Forget`].
///
/// The removal is valid only if no record between `as_of` and the removal refers to the key or job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForgetName {
    /// Place of the last record of the shard that the writer had applied.
    pub as_of: RecordPlace,
    /// Qualified name, `workspace/key` or `workspace/job`.
    pub name: Arc<str>,
    /// True for a job, false for a key.
    pub is_job: bool,
}

/// Body of [`RecordBody::HostJoin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostJoin {
    /// The incarnation that joins.
    pub host: HostIdentity,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators, as `ip:port`.
    pub caller_address: Arc<str>,
    /// Address for messages from other hosts, as `ip:port`.
    pub message_address: Arc<str>,
    /// Address for streams from other hosts, as `ip:port`.
    pub stream_address: Arc<str>,
    /// Configured number of shards; the same on all hosts.
    pub shards: u16,
    /// Configured number of shard groups; the same on all hosts.
    pub groups: u16,
}

/// Body of [`RecordBody::HostSuspected`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSuspicion {
    /// The unresponsive host.
    pub host: HostIdentity,
    /// Name of the neighbour that reports it.
    pub reporter: Arc<str>,
}

/// Body of [`RecordBody::GateClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateClaim {
    /// The host that sends orders to the endpoint from now on.
    pub host: HostIdentity,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
}

/// Body of a record of an unknown kind or version, preserved unchanged when the record is copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownBody {
    /// Number of the record kind.
    pub kind: u16,
    /// Schema version of the body.
    pub version: u16,
    /// Encoded body.
    pub bytes: Vec<u8>,
}

impl LogRecord {
    /// Returns the approximate encoded size of the record in bytes.
    ///
    /// ```
    /// use fulmarswitch_records::record::ShardClaim;
    /// # use fulmarswitch_records::*;
    /// # let owner = HostIdentity { name: "a".into(), incarnation: 1 };
    /// # let id = RecordId { writer: owner.clone(), sequence: 0 };
    /// # let body = RecordBody::Claim(ShardClaim { owner, next_offset: Offset(0) });
    /// # let record = LogRecord { id, shard: ShardIndex(0), epoch: Epoch(1), stamp: 0, body };
    /// assert!(record.size_hint() > 0);
    /// ```
    #[must_use]
    pub fn size_hint(&self) -> usize {
        /// Approximate size of the envelope and the fixed part of a body.
        const FIXED_BYTES: usize = 64;
        FIXED_BYTES + self.body.text_bytes()
    }
}

impl RecordBody {
    /// Returns the approximate size of the texts. An entry of a list counts a few bytes more for its index,
    /// tag and length.
    fn text_bytes(&self) -> usize {
        match self {
            Self::Accept(request) => request.input.len(),
            Self::Outcome(outcome) => outcome.outcome.text_bytes(),
            Self::JobChunk(chunk) => chunk.inputs.iter().map(|input| input.len() + 2).sum(),
            Self::ItemOutcomes(outcomes) => outcomes
                .outcomes
                .iter()
                .map(|(_, outcome)| outcome.text_bytes() + 6)
                .sum(),
            Self::KeyCopy(copy) => {
                copy.request.input.len() + copy.outcome.as_ref().map_or(0, ItemOutcome::text_bytes)
            }
            Self::ItemRangeCopy(copy) => copy
                .items
                .iter()
                .map(|item| {
                    item.input.len() + item.outcome.as_ref().map_or(0, ItemOutcome::text_bytes)
                })
                .sum(),
            Self::Config(change) => change.body.len(),
            Self::Unknown(unknown) => unknown.bytes.len(),
            _ => 0,
        }
    }
}

impl ItemOutcome {
    fn text_bytes(&self) -> usize {
        match self {
            Self::Done { text } => text.len(),
            Self::Failed { reason } => reason.len(),
            _ => 0,
        }
    }
}
