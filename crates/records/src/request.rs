//! Online requests, job headers and outcomes.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// One online request, to a model engine or to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineRequest {
    /// Idempotency key, unique within the workspace.
    pub key: Arc<str>,
    /// Workspace that the request belongs to.
    pub workspace: Arc<str>,
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Input text, passed on to the endpoint.
    pub input: Arc<str>,
    /// Maximum number of tokens to generate; ignored by plain services.
    pub max_tokens: u32,
    /// Time within which the caller needs the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// False if the call must run at most once.
    pub idempotent: bool,
}

impl OnlineRequest {
    /// Returns the key qualified by its workspace, `workspace/key`.
    ///
    /// ```
    /// # use fulmarswitch_records::OnlineRequest;
    /// # let request = OnlineRequest { key: "k".into(), workspace: "w".into(), service: "s".into(),
    /// #     input: "".into(), max_tokens: 1, deadline_ms: 1, idempotent: true };
    /// assert_eq!(&*request.full_key(), "w/k");
    /// ```
    #[must_use]
    pub fn full_key(&self) -> Arc<str> {
        format!("{}/{}", self.workspace, self.key).into()
    }

    /// Returns a digest of the fields that two submissions under one key must share to be the same request.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = format!(
            "{}\u{0}{}\u{0}{}\u{0}{}",
            self.service, self.input, self.max_tokens, self.idempotent
        );
        xxh3_64(text.as_bytes())
    }
}

/// Parameters of a batch job, without its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Name of the job, unique within the workspace.
    pub job: Arc<str>,
    /// Workspace that the job belongs to.
    pub workspace: Arc<str>,
    /// Service that runs the items.
    pub service: Arc<str>,
    /// Time by which the job should be complete, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Maximum number of tokens to generate for each item.
    pub max_tokens: u32,
    /// False if each item must run at most once.
    pub idempotent: bool,
}

impl JobHeader {
    /// Returns the name of the job qualified by its workspace, `workspace/job`.
    #[must_use]
    pub fn full_name(&self) -> Arc<str> {
        format!("{}/{}", self.workspace, self.job).into()
    }

    /// Returns whether a submission under the same name asks for the same work.
    ///
    /// The due time may differ, because a caller that derives it from the time of submission sends a
    /// different one when it resubmits. The due time of the first submission stays in effect.
    ///
    /// ```
    /// # use fulmarswitch_records::JobHeader;
    /// # let header = JobHeader { job: "j".into(), workspace: "w".into(), service: "s".into(),
    /// #     due_ms: 1, max_tokens: 1, idempotent: true };
    /// let later = JobHeader { due_ms: 2, ..header.clone() };
    /// assert!(header.is_same_job(&later));
    /// let other = JobHeader { service: "t".into(), ..header.clone() };
    /// assert!(!header.is_same_job(&other));
    /// ```
    #[must_use]
    pub fn is_same_job(&self, other: &Self) -> bool {
        let due_ms = self.due_ms;
        *self
            == Self {
                due_ms,
                ..other.clone()
            }
    }
}

/// Final outcome of an accepted request or item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The endpoint answered completely.
    Done {
        /// Complete text of the answer.
        text: Arc<str>,
    },
    /// No further attempts are made; the item ran without success, or never ran.
    Failed {
        /// What happened, and what the caller can do about it.
        reason: Arc<str>,
    },
    /// A call that must not be repeated was sent, and its result is unknown.
    MayHaveRun,
    /// The item was abandoned before any byte was sent to an endpoint.
    NotRun {
        /// Delay before the caller should try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job was cancelled before the item completed.
    Cancelled,
}
