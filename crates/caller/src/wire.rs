//! Bodies of the callers' calls and answers.

use fulmarswitch_records::{ItemOutcome, JobHeader, OnlineRequest};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time that a caller waits for an online answer unless it says otherwise, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Tokens generated unless the caller says otherwise.
const DEFAULT_MAX_TOKENS: u32 = 128;

/// Body of `POST /v1/requests`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCall {
    /// Idempotency key, unique within the workspace.
    pub key: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Text for the endpoint.
    pub input: Arc<str>,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Time that the caller waits, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// False when the call may be run at most once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn default_true() -> bool {
    true
}

impl From<RequestCall> for OnlineRequest {
    fn from(call: RequestCall) -> Self {
        Self {
            key: call.key,
            workspace: call.workspace,
            service: call.service,
            input: call.input,
            max_tokens: call.max_tokens,
            deadline_ms: call.deadline_ms,
            idempotent: call.idempotent,
        }
    }
}

/// First line of `POST /v1/jobs`; each further line is one [`ItemLine`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobCall {
    /// Identity of the job, unique within the workspace.
    pub job: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Due time, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Most tokens to generate for an item.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// False when an item may be run at most once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
}

impl From<JobCall> for JobHeader {
    fn from(call: JobCall) -> Self {
        Self {
            job: call.job,
            workspace: call.workspace,
            service: call.service,
            due_ms: call.due_ms,
            max_tokens: call.max_tokens,
            idempotent: call.idempotent,
        }
    }
}

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ItemLine {
    /// Text for the endpoint.
    pub input: Arc<str>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum AnswerEvent {
    /// Some of the answer.
    Text {
        /// The text.
        text: Arc<str>,
    },
    /// The text so far is void; the answer starts anew.
    Reset,
    /// The last event: the outcome.
    Done {
        /// The outcome with the whole answer.
        outcome: OutcomeReply,
        /// False while the outcome waits for the log; see docs/GUARANTEES.md.
        recorded: bool,
    },
    /// The last event: an error.
    Error(ErrorReply),
}

/// Outcome of a request or item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum OutcomeReply {
    /// Answered.
    Done {
        /// The whole answer.
        text: Arc<str>,
    },
    /// Given up.
    Failed {
        /// What happened.
        reason: Arc<str>,
    },
    /// Sent out once, and the answer is unknown.
    MayHaveRun,
    /// Given up before any byte went to an endpoint.
    NotRun {
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// Cancelled before it completed.
    Cancelled,
    /// Still without an outcome.
    Open,
}

impl From<ItemOutcome> for OutcomeReply {
    fn from(outcome: ItemOutcome) -> Self {
        match outcome {
            ItemOutcome::Done { text } => Self::Done { text },
            ItemOutcome::Failed { reason } => Self::Failed { reason },
            ItemOutcome::MayHaveRun => Self::MayHaveRun,
            ItemOutcome::NotRun { retry_after_ms } => Self::NotRun { retry_after_ms },
            ItemOutcome::Cancelled => Self::Cancelled,
        }
    }
}

/// Kind of an error, by which a program tells what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// There is no such call.
    NoSuchCall,
    /// The call cannot be used as it is; change it.
    BadInput,
    /// The name is not known.
    NotFound,
    /// The name stands for something else, or another change came first.
    Conflict,
    /// Refused for the moment; repeat the call later.
    Unavailable,
    /// Whether the call took effect is not known.
    Unknown,
}

/// Body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// What happened and what to do.
    pub error: Arc<str>,
    /// `not-run`, `may-have-run` or `done`.
    pub ran: RanReply,
    /// When to try again, in milliseconds; zero for never.
    pub retry_after_ms: u64,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RanReply {
    /// No byte of it went to any endpoint.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran to its end.
    Done,
}

/// Answer to job calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReply {
    /// Identity of the job.
    pub job: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Number of items.
    pub total: u32,
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

/// One page of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// The results; items without an outcome are left out.
    pub results: Vec<ResultLine>,
    /// Index to ask for next; null after the last page.
    pub next: Option<u32>,
}

/// One result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// Index of the item.
    pub index: u32,
    /// Its outcome.
    pub outcome: OutcomeReply,
}

/// Answer to `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressReply {
    /// Addresses to use, best first, as `ip:port`.
    pub addresses: Vec<Arc<str>>,
    /// How long to keep them, in milliseconds.
    pub ttl_ms: u64,
}
