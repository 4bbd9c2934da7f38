//! The domain form of a log record.

use crate::config::ConfigChange;
use crate::ids::{Epoch, HostIdentity, Offset, RecordId, RecordPlace, ShardIndex};
use crate::request::{ItemOutcome, JobHeader, OnlineRequest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One record of a stream.
///
/// A record of a shard is valid only if its epoch is the shard's epoch at the record's place in the
/// stream. The order on the log decides; no clock does.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Identity, by which the writer finds the record again.
    pub id: RecordId,
    /// Shard that the record belongs to; zero in streams without shards.
    pub shard: ShardIndex,
    /// Epoch of the writer's claim to the shard; zero in streams without shards.
    pub epoch: Epoch,
    /// The writer's logical time, for the time line only.
    pub stamp: u64,
    /// What the record says.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordBody {
    /// The writer becomes the owner of the shard at the record's epoch.
    Claim(ShardClaim),
    /// An online request is accepted.
    Accept(OnlineRequest),
    /// A call that may not be repeated is about to go out.
    Running(KeyRunning),
    /// An online request has its one outcome.
    Outcome(KeyOutcome),
    /// Some items of a job.
    JobChunk(JobChunk),
    /// A job is complete and accepted.
    JobSeal(JobSeal),
    /// A job is cancelled.
    JobCancel(JobCancel),
    /// Items that may not be repeated are about to go out.
    ItemsRunning(ItemsRunning),
    /// Announced items came back without having run.
    ItemsReturned(ItemsReturned),
    /// Items of a job have their outcome.
    ItemOutcomes(ItemOutcomes),
    /// State that is written again before the records it came from expire.
    KeyCopy(KeyCopy),
    /// State of a job that is written again before the records it came from expire.
    ItemRangeCopy(ItemRangeCopy),
    /// A key or job whose result need not stay readable any longer is forgotten.
    Forget(ForgetName),
    /// A host takes part, at the given addresses.
    HostJoin(HostJoin),
    /// A host is leaving and takes no new work.
    HostLeave(HostIdentity),
    /// A host is silent to one of its neighbours.
    HostSuspected(HostSuspicion),
    /// A host takes over the gate of an endpoint; the entry's offset is its fencing number.
    GateClaim(GateClaim),
    /// An operator changes a configuration record.
    Config(ConfigChange),
    /// A configuration record is written again before it expires.
    ConfigCopy(ConfigCopy),
    /// Attempts at items failed; an item ends as failed after a fixed count of them.
    ItemAttempts(ItemAttempts),
    /// A record of a kind or version that this program does not know.
    Unknown(UnknownBody),
}

/// Body of [`RecordBody::Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The new owner.
    pub owner: HostIdentity,
    /// Next offset of the stream that the claimer had not read.
    ///
    /// A reader that starts at a later offset cannot tell whether the claim is an old one that came late.
    pub next_offset: Offset,
}

/// Body of [`RecordBody::Running`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRunning {
    /// Workspace and key.
    pub key: Arc<str>,
}

/// Body of [`RecordBody::Outcome`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOutcome {
    /// Workspace and key.
    pub key: Arc<str>,
    /// The outcome.
    pub outcome: ItemOutcome,
}

/// Body of [`RecordBody::JobChunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobChunk {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Index of the first item.
    pub first: u32,
    /// Inputs of the items.
    pub inputs: Vec<Arc<str>>,
}

/// Body of [`RecordBody::JobSeal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSeal {
    /// Description of the job.
    pub header: JobHeader,
    /// Number of items.
    pub total: u32,
    /// Digest of all inputs, by which a resubmission with other items is told apart.
    pub digest: u64,
}

/// Body of [`RecordBody::JobCancel`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCancel {
    /// Workspace and job.
    pub job: Arc<str>,
}

/// Body of [`RecordBody::ItemsRunning`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsRunning {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Indexes of the items.
    pub items: Vec<u32>,
}

/// Body of [`RecordBody::ItemsReturned`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsReturned {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Indexes of the items.
    pub items: Vec<u32>,
    /// Place of the record that announced them, which tells this handing out from others.
    pub announced: RecordPlace,
}

/// Body of [`RecordBody::ItemOutcomes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOutcomes {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Outcomes by item index.
    pub outcomes: Vec<(u32, ItemOutcome)>,
}

/// Body of [`RecordBody::ItemAttempts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemAttempts {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Indexes of the items, one entry a failed attempt.
    pub items: Vec<u32>,
}

/// Body of [`RecordBody::ConfigCopy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Version of the record after its newest change.
    pub version: u64,
    /// The newest change.
    pub change: ConfigChange,
}

/// Body of [`RecordBody::KeyCopy`].
///
/// It counts only if no record behind `as_of` and before its own place names the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCopy {
    /// Place of the newest record of the shard that the writer had read.
    pub as_of: RecordPlace,
    /// The request as accepted.
    pub request: OnlineRequest,
    /// Whether a call that may not be repeated has been announced.
    pub running: bool,
    /// The outcome, if there is one.
    pub outcome: Option<ItemOutcome>,
    /// Time of the outcome on the log's clock, in milliseconds since the Unix epoch; zero for none.
    pub completed_ms: u64,
}

/// Body of [`RecordBody::ItemRangeCopy`].
///
/// A job is carried as its seal, with the header, and its items in ranges. It counts only if no record
/// behind `as_of` and before its own place names the job as a whole or an item of the range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRangeCopy {
    /// Place of the newest record of the shard that the writer had read.
    pub as_of: RecordPlace,
    /// The job's seal.
    pub seal: JobSeal,
    /// Whether the job is cancelled.
    pub cancelled: bool,
    /// Time of the last outcome on the log's clock, in milliseconds since the Unix epoch.
    pub completed_ms: u64,
    /// Index of the first item of the range.
    pub first: u32,
    /// The range's items.
    pub items: Vec<ItemCopy>,
}

/// One item of [`ItemRangeCopy`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCopy {
    /// The input; empty once the item has an outcome.
    pub input: Arc<str>,
    /// Whether a call that may not be repeated has been announced.
    pub running: bool,
    /// Failed attempts so far.
    pub attempts: u8,
    /// The outcome, if there is one.
    pub outcome: Option<ItemOutcome>,
}

/// Body of [`RecordBody::Forget`].
///
/// It counts only if no record behind `as_of` and before its own place names the key or job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForgetName {
    /// Place of the newest record of the shard that the writer had read.
    pub as_of: RecordPlace,
    /// Workspace and key, or workspace and job.
    pub name: Arc<str>,
    /// Whether the name is a job's.
    pub job: bool,
}

/// Body of [`RecordBody::HostJoin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostJoin {
    /// The host's run.
    pub host: HostIdentity,
    /// Failure domain that the host stands in.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators, as `ip:port`.
    pub caller_address: Arc<str>,
    /// Address for messages of other hosts, as `ip:port`.
    pub message_address: Arc<str>,
    /// Address for streams of other hosts, as `ip:port`.
    pub stream_address: Arc<str>,
    /// Number of shards that the host is set to; the same on all hosts.
    pub shards: u16,
    /// Number of groups that the host is set to; the same on all hosts.
    pub groups: u16,
}

/// Body of [`RecordBody::HostSuspected`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSuspicion {
    /// The host that is silent.
    pub host: HostIdentity,
    /// The neighbour that noticed.
    pub reporter: Arc<str>,
}

/// Body of [`RecordBody::GateClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateClaim {
    /// The host that gives orders from now on.
    pub host: HostIdentity,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
}

/// Body of a record that this program does not understand; kept and passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownBody {
    /// Number of the kind.
    pub kind: u16,
    /// Schema version of the body.
    pub version: u16,
    /// Encoded body.
    pub bytes: Vec<u8>,
}

impl LogRecord {
    /// Returns about how many bytes the record takes when it is encoded.
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
        /// Bytes of an envelope and the fixed part of a body.
        const FIXED_BYTES: usize = 64;
        FIXED_BYTES + self.body.text_bytes()
    }
}

impl RecordBody {
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
            Self::KeyCopy(carried) => {
                carried.request.input.len()
                    + carried.outcome.as_ref().map_or(0, ItemOutcome::text_bytes)
            }
            Self::ItemRangeCopy(carried) => carried
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
