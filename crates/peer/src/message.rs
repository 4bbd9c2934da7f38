//! Wire types between hosts.

use fulmarswitch_records::record::JobSeal;
use fulmarswitch_records::{
    HostIdentity, ItemOutcome, JobHeader, Offset, OnlineRequest, RecordPlace, ShardIndex,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message with one reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A sign of life, with how far the sender has read the `hosts` and `config` streams.
    Heartbeat(HeartbeatMessage),
    /// An owner's jobs that have items to run.
    Offers(OfferList),
    /// A gate asks for items of a job.
    Pull(PullRequest),
    /// A gate tells what became of items.
    Report(ItemReport),
    /// An owner tells gates that a job is cancelled.
    StopJob(JobName),
    /// Records to commit to the stream of a group.
    Commit(CommitRequest),
    /// An outcome that another host's execution came to, for the owner to record.
    RecordOutcome(RequestOutcome),
    /// Reads the state or result of a key.
    ReadKey(KeyName),
    /// Begins or resumes the submission of a job.
    BeginJob(JobHeader),
    /// Some items of a job being submitted.
    PutItems(ItemBatch),
    /// Ends the submission of a job.
    SealJob(JobSeal),
    /// Cancels a job.
    CancelJob(JobName),
    /// Reads the counts of a job.
    ReadJob(JobName),
    /// Reads some results of a job.
    ReadResults(ResultRange),
    /// Tells the new owner of a shard which requests still run at the old one.
    Handover(ShardHandover),
    /// Copies of outcomes that wait for the log, kept until the log has them or the sender is lost.
    StoreBackups(BackupRequest),
    /// Asks for the outcome of a request among the copies that are held for others.
    FindBackup(OnlineRequest),
}

/// A sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Next offset of the `hosts` stream that the sender has not read.
    pub hosts_read: Offset,
    /// Next offset of the `config` stream that the sender has not read.
    pub config_read: Offset,
}

/// An owner's jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferList {
    /// The owner, to pull from.
    pub owner: HostIdentity,
    /// Its jobs with items to run; replaces the list sent before.
    pub jobs: Vec<JobOffer>,
}

/// One job with items to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOffer {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Shard of the job.
    pub shard: ShardIndex,
    /// Workspace, for fair sharing.
    pub workspace: Arc<str>,
    /// Service that runs the items.
    pub service: Arc<str>,
    /// Due time, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Items that are open and not handed out.
    pub waiting: u32,
}

/// A gate's wish for items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Shard of the job.
    pub shard: ShardIndex,
    /// Most items to hand out.
    pub count: u32,
}

/// One item that is handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulledItem {
    /// Index in the job.
    pub index: u32,
    /// The input.
    pub input: Arc<str>,
    /// Place of the record that announced the item; none where it may be repeated.
    pub announced: Option<RecordPlace>,
}

/// Items that are handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulledItems {
    /// Description of the job.
    pub header: JobHeader,
    /// The items.
    pub items: Vec<PulledItem>,
}

/// What became of items at a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemReport {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Shard of the job.
    pub shard: ShardIndex,
    /// What became of each item.
    pub results: Vec<ItemResult>,
}

/// What became of one item at a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index in the job.
    pub item: u32,
    /// Place of the record that announced the item, as it was handed out.
    pub announced: Option<RecordPlace>,
    /// What became of it.
    pub result: AttemptResult,
}

/// What became of one attempt at an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The endpoint answered.
    Done {
        /// The whole answer.
        text: Arc<str>,
    },
    /// The attempt failed and counts against the item.
    Failed {
        /// What happened.
        cause: Arc<str>,
        /// Whether the call may have run.
        may_have_run: bool,
    },
    /// The item was given back without fault of its own.
    Returned {
        /// Whether the call may have run.
        may_have_run: bool,
    },
}

/// Names a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobName {
    /// Workspace and job.
    pub job: Arc<str>,
}

/// Names a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyName {
    /// Workspace and key.
    pub key: Arc<str>,
}

/// Records for a group's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The stream.
    pub stream: Arc<str>,
    /// A frame of records.
    pub frame: Vec<u8>,
}

/// An outcome to record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOutcome {
    /// The request, in case the owner does not know it yet.
    pub request: OnlineRequest,
    /// Its outcome.
    pub outcome: ItemOutcome,
}

/// Some items of a job being submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBatch {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Index of the first item.
    pub first: u32,
    /// Inputs.
    pub inputs: Vec<Arc<str>>,
}

/// A range of results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRange {
    /// Workspace and job.
    pub job: Arc<str>,
    /// Index of the first item.
    pub first: u32,
    /// Most results.
    pub count: u32,
}

/// Requests of a shard that still run at its old owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHandover {
    /// The shard.
    pub shard: ShardIndex,
    /// Workspace and key of each.
    pub running: Vec<Arc<str>>,
    /// Items of the shard's jobs that gates hold.
    pub assigned_items: Vec<AssignedItems>,
}

/// Items of a job that a gate holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedItems {
    /// Workspace and job.
    pub job: Arc<str>,
    /// The gate's host.
    pub gate: HostIdentity,
    /// Indexes of the items.
    pub items: Vec<u32>,
}

/// Copies of outcomes that wait for the log.
///
/// The sender numbers its outcomes. The reply names the number from which the receiver needs them, so that
/// a receiver that has lost its copies gets them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackupRequest {
    /// Outcomes of smaller numbers stand on the log and are dropped.
    pub first_pending: u32,
    /// Number of the first outcome in this message.
    pub first: u32,
    /// Outcomes that the sender has given; none for those that stand on the log by now.
    pub outcomes: Vec<Option<RequestOutcome>>,
}

/// Counts of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Description of the job.
    pub header: JobHeader,
    /// Number of items.
    pub total: u32,
    /// Digest of all inputs.
    pub digest: u64,
    /// Items without an outcome.
    pub open: u32,
    /// Items answered.
    pub done: u32,
    /// Items given up.
    pub failed: u32,
    /// Items sent out once with an unknown answer.
    pub may_have_run: u32,
    /// Items cancelled.
    pub cancelled: u32,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
}

/// Reply to a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The message was acted on.
    Accepted,
    /// The receiver does not own the shard.
    NotOwner,
    /// The message was refused; it had no effect.
    Refused {
        /// What to do.
        reason: Arc<str>,
        /// When to try again, in milliseconds; zero for never.
        retry_after_ms: u64,
    },
    /// The name stands for something else.
    Conflict {
        /// What to do.
        reason: Arc<str>,
    },
    /// The key, job or item is not known.
    NotFound,
    /// Whether the message took effect is not known.
    Unknown,
    /// Items that are handed out.
    Items(PulledItems),
    /// Number of items received so far, from which a submission goes on.
    Received {
        /// The count.
        items: u32,
    },
    /// Counts of a job.
    Job(JobReport),
    /// Results by item index; items without an outcome are left out.
    Results(Vec<(u32, ItemOutcome)>),
    /// The outcome of a key; none while it runs.
    Outcome(Option<ItemOutcome>),
    /// The message is of a kind that the receiver does not know.
    Unsupported,
}

/// Opens a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Entry to owner: accept and answer a request, or attach to it.
    Submit(OnlineRequest),
    /// Owner to gate: run a request on an endpoint.
    Run(RunRequest),
}

/// A request to run on an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Identity of the attempt.
    pub attempt: Arc<str>,
    /// The request.
    pub request: OnlineRequest,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// What a gate says of its endpoint, with each answer to a request to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateStatus {
    /// Requests that wait or run.
    pub held: u32,
    /// Requests that the endpoint may hold within its promises.
    pub limit: u32,
    /// Whether the endpoint was reached and took the call, as far as known.
    pub takes_calls: bool,
    /// Whether the host of the gate suspects the endpoint, from all that goes through the gate.
    pub suspected: bool,
}

/// One frame of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamFrame {
    /// The load of the endpoint; it may come at any time.
    Load(GateStatus),
    /// The gate has taken the request; it waits for room or runs.
    Admitted,
    /// Some of the answer.
    Text(Arc<str>),
    /// The text so far is void; the answer starts anew.
    Reset,
    /// Last frame: the outcome.
    Done {
        /// The outcome.
        outcome: ItemOutcome,
        /// Whether the outcome stands on the log.
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
    /// What happened and what to do.
    pub reason: Arc<str>,
    /// Whether the request ran.
    pub ran: RunState,
    /// When to try again, in milliseconds; zero for never.
    pub retry_after_ms: u64,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No byte of it went to any endpoint.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran to its end.
    Done,
}

impl StreamFrame {
    /// Tells whether the stream ends with this frame.
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
