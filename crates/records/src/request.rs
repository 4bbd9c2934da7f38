//! What callers submit and what they get back.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// One online request, or one call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineRequest {
    /// Idempotency key, unique within the workspace.
    pub key: Arc<str>,
    /// Workspace that the request belongs to.
    pub workspace: Arc<str>,
    /// Service that answers it.
    pub service: Arc<str>,
    /// Text for the endpoint.
    pub input: Arc<str>,
    /// Most tokens to generate; unused by plain services.
    pub max_tokens: u32,
    /// Time that the caller waits for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// False when the call may be run at most once.
    pub idempotent: bool,
}

impl OnlineRequest {
    /// Returns the name under which the owner keeps the request: workspace and key.
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

    /// Returns a digest of what makes two submissions under one key the same request.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = format!(
            "{}\u{0}{}\u{0}{}\u{0}{}",
            self.service, self.input, self.max_tokens, self.idempotent
        );
        xxh3_64(text.as_bytes())
    }
}

/// Description of a batch job, without its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Identity of the job, unique within the workspace.
    pub job: Arc<str>,
    /// Workspace that the job belongs to.
    pub workspace: Arc<str>,
    /// Service that runs the items.
    pub service: Arc<str>,
    /// Time by which the job should be finished, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Most tokens to generate for an item.
    pub max_tokens: u32,
    /// False when an item may be run at most once.
    pub idempotent: bool,
}

impl JobHeader {
    /// Returns the name under which the owner keeps the job: workspace and job.
    #[must_use]
    pub fn full_name(&self) -> Arc<str> {
        format!("{}/{}", self.workspace, self.job).into()
    }

    /// Tells whether a submission under the same name asks for the same work. The due time may differ: a
    /// caller that counts it from the time of its submission sends another one when it resubmits, and the
    /// first one stands.
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

/// The one outcome of an accepted item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The endpoint answered.
    Done {
        /// The whole answer.
        text: Arc<str>,
    },
    /// The item was given up; it ran without success, or never.
    Failed {
        /// What happened and what to do.
        reason: Arc<str>,
    },
    /// A call that may not be repeated was sent out and its answer is unknown.
    MayHaveRun,
    /// The item was accepted and given up before any byte went to an endpoint.
    NotRun {
        /// Time after which a new attempt makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job was cancelled before the item completed.
    Cancelled,
}
