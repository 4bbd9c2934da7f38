//! Messages, replies and stream frames between hosts.

use fulmarswitch_records::record::JobSeal;
use fulmarswitch_records::{
    HostIdentity, ItemOutcome, JobHeader, Offset, OnlineRequest, RecordPlace, ShardIndex,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message with one reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Heartbeat(HeartbeatMessage),
    /// An owner lists its jobs that have items to run.
    Offers(OfferList),
    /// A gate requests items of a job.
    Pull(PullRequest),
    /// A gate reports the results of items.
    Report(ItemReport),
    /// From an owner to gates: stop running the items of a cancelled job.
    StopJob(JobName),
    /// Records to append to the stream of a group.
    Commit(CommitRequest),
    /// An outcome reached at another host, to be recorded by the owner.
    RecordOutcome(RequestOutcome),
    /// Reads the outcome of a request.
    ReadKey(KeyName),
    /// Starts or resumes the submission of a job.
    BeginJob(JobHeader),
    /// Items of a job that is being submitted.
    PutItems(ItemBatch),
    /// Completes the submission of a job.
    SealJob(JobSeal),
    /// Cancels a job.
    CancelJob(JobName),
    /// Reads the item counts of a job.
    ReadJob(JobName),
    /// Reads results of a job.
    ReadResults(ResultRange),
    /// From the previous owner of a shard to the new one: the requests and items that are still in progress.
    Handover(ShardHandover),
    /// Copies of outcomes that are not in the log yet. The receiver keeps them until they are, and records
    /// them if the sender is lost.
    StoreBackups(BackupRequest),
    /// Looks up the outcome of a request among the receiver's copies for other hosts.
    FindBackup(OnlineRequest),
}

/// Body of [`PeerMessage::Heartbeat`], with the read progress of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Next offset that the sender reads from the `hosts` stream.
    pub hosts_read: Offset,
    /// Next offset that the sender reads from the `config` stream.
    pub config_read: Offset,
}

/// Body of [`PeerMessage::Offers`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferList {
    /// The owner, to request items from.
    pub owner: HostIdentity,
    /// All jobs of the owner that have items to run. The list replaces the previous one.
    pub jobs: Vec<JobOffer>,
}

/// A job with items to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOffer {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Shard of the job.
    pub shard: ShardIndex,
    /// Workspace of the job, used for fair sharing.
    pub workspace: Arc<str>,
    /// Service that runs the items.
    pub service: Arc<str>,
    /// Due time, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Number of open items that are not assigned.
    pub waiting: u32,
}

/// Body of [`PeerMessage::Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Shard of the job.
    pub shard: ShardIndex,
    /// Maximum number of items to assign.
    pub count: u32,
}

/// An item that is assigned to a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulledItem {
    /// Index of the item in the job.
    pub index: u32,
    /// Input of the item.
    pub input: Arc<str>,
    /// Place of the record that announced the item; `None` if the item may be repeated.
    pub announced: Option<RecordPlace>,
}

/// Items of a job that are assigned to a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulledItems {
    /// Header of the job.
    pub header: JobHeader,
    /// The items.
    pub items: Vec<PulledItem>,
}

/// Body of [`PeerMessage::Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemReport {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Shard of the job.
    pub shard: ShardIndex,
    /// Result of each item.
    pub results: Vec<ItemResult>,
}

/// Result of one item at a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in the job.
    pub item: u32,
    /// Place of the record that announced the item, as received in [`PulledItem`].
    pub announced: Option<RecordPlace>,
    /// Result of the attempt.
    pub result: AttemptResult,
}

/// Result of one attempt at an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The endpoint answered completely.
    Done {
        /// Complete text of the answer.
        text: Arc<str>,
    },
    /// The attempt failed and counts towards the maximum number of attempts.
    Failed {
        /// Cause of the failure.
        cause: Arc<str>,
        /// Whether the call may have run.
        may_have_run: bool,
    },
    /// The gate returned the item; this does not count as a failed attempt.
    Returned {
        /// Whether the call may have run.
        may_have_run: bool,
    },
}

/// Name of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobName {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
}

/// Idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyName {
    /// Qualified key, `workspace/key`.
    pub key: Arc<str>,
}

/// Body of [`PeerMessage::Commit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// Name of the stream.
    pub stream: Arc<str>,
    /// Records, encoded as a frame; see [`fulmarswitch_records::encode_frame`].
    pub frame: Vec<u8>,
}

/// The outcome of a request, to be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// The request, which the owner may not have received.
    pub request: OnlineRequest,
    /// Outcome of the request.
    pub outcome: ItemOutcome,
}

/// Body of [`PeerMessage::PutItems`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBatch {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Index of the first item.
    pub first: u32,
    /// Inputs of consecutive items.
    pub inputs: Vec<Arc<str>>,
}

/// A range of items whose results are read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRange {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Index of the first item.
    pub first: u32,
    /// Maximum number of items.
    pub count: u32,
}

/// Body of [`PeerMessage::Handover`], from the previous owner of a shard to the new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHandover {
    /// Shard that changed its owner.
    pub shard: ShardIndex,
    /// Qualified keys of the requests that still run at the previous owner.
    pub running: Vec<Arc<str>>,
    /// Items of the shard's jobs that are assigned to gates.
    pub assigned_items: Vec<AssignedItems>,
}

/// Items of a job that are assigned to one gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedItems {
    /// Qualified name of the job, `workspace/job`.
    pub job: Arc<str>,
    /// Host of the gate.
    pub gate: HostIdentity,
    /// Indexes of the items.
    pub items: Vec<u32>,
}

/// Copies of outcomes that are not in the log yet.
///
/// The sender numbers its outcomes consecutively. The reply has the number of the first outcome that the
/// receiver still needs, so that a receiver that lost its copies gets them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackupRequest {
    /// Number of the first outcome that is not in the log yet. The receiver drops those before it.
    pub first_pending: u32,
    /// Number of the first outcome in this message.
    pub first: u32,
    /// Consecutive outcomes; `None` for those that are in the log by now.
    pub outcomes: Vec<Option<RequestOutcome>>,
}

/// State of a job, with its item counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Header of the job.
    pub header: JobHeader,
    /// Number of items of the job.
    pub total: u32,
    /// Digest of all inputs; see [`JobSeal::digest`].
    pub digest: u64,
    /// Number of items without an outcome.
    pub open: u32,
    /// Number of items that were answered.
    pub done: u32,
    /// Number of items that failed, whether or not they ran.
    pub failed: u32,
    /// Number of items that were sent to an endpoint and whose result is unknown.
    pub may_have_run: u32,
    /// Number of items that were cancelled.
    pub cancelled: u32,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
}

/// Reply to a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The message took effect.
    Accepted,
    /// The receiver does not own the shard.
    NotOwner,
    /// The message was refused and had no effect.
    Refused {
        /// What happened, and what the caller can do about it.
        reason: Arc<str>,
        /// Retry delay, in milliseconds; zero if retrying does not help.
        retry_after_ms: u64,
    },
    /// The key or name is already in use for a different request or job.
    Conflict {
        /// What happened, and what the caller can do about it.
        reason: Arc<str>,
    },
    /// The key, job or item does not exist.
    NotFound,
    /// It is not known whether the message took effect.
    Unknown,
    /// Items that are assigned to the gate.
    Items(PulledItems),
    /// Number of items received so far; the submission continues from there.
    Received {
        /// Number of items.
        items: u32,
    },
    /// State of a job.
    Job(JobReport),
    /// Outcomes, each with the index of its item. Items without an outcome are omitted.
    Results(Vec<(u32, ItemOutcome)>),
    /// Outcome of a request; `None` while it is in progress.
    Outcome(Option<ItemOutcome>),
    /// The receiver does not support this kind of message.
    Unsupported,
}

/// Request that opens a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// From a front end to the owner: accept and answer a request, or attach to it if it is in progress.
    Submit(OnlineRequest),
    /// From the owner to a gate: run a request on an endpoint.
    Run(RunRequest),
}

/// A request to run on an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Unique id of the attempt.
    pub attempt: Arc<str>,
    /// The request to run.
    pub request: OnlineRequest,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// State of a gate and its endpoint, sent with each answer to a [`RunRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateStatus {
    /// Number of online requests that wait or run at the gate. Batch requests do not count, because online
    /// requests preempt them.
    pub held: u32,
    /// Number of requests that the endpoint can run at the same time without missing its latency targets.
    pub limit: u32,
    /// False after a call that the endpoint refused or for which it could not be reached.
    pub accepts_calls: bool,
    /// Whether the host of the gate suspects the endpoint, based on all requests through the gate.
    pub suspected: bool,
}

/// One frame of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamFrame {
    /// State of the gate and its endpoint; may be sent at any time.
    Load(GateStatus),
    /// The gate has admitted the request, which now waits for capacity or runs.
    Admitted,
    /// The next part of the answer.
    Text(Arc<str>),
    /// Discards the text sent so far; the answer starts over.
    Reset,
    /// Last frame: the final outcome.
    Done {
        /// The final outcome.
        outcome: ItemOutcome,
        /// Whether the outcome is in the log.
        recorded: bool,
    },
    /// Last frame: the request was refused.
    Refused(Refusal),
    /// Last frame: the receiver does not own the shard.
    NotOwner,
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What happened, and what the caller can do about it.
    pub reason: Arc<str>,
    /// Whether the request ran.
    pub ran: RunState,
    /// Retry delay, in milliseconds; zero if retrying does not help.
    pub retry_after_ms: u64,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request was sent to an endpoint.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The request ran to completion.
    Done,
}

impl StreamFrame {
    /// Returns whether the stream ends with this frame.
    ///
    /// ```
    /// use fulmarswitch_peer::StreamFrame;
    /// assert!(StreamFrame::NotOwner.is_last());
    /// assert!(!StreamFrame::Admitted.is_last());
    /// ```
    #[must_use]
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Done { .. } | Self::Refused(_) | Self::NotOwner)
    }
}
