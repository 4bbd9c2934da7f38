//! Messages between hosts and the accountants of workspaces. Hosts of earlier builds leave them out.

use super::RequestCap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of requests of an ask, and of tokens that are returned at once.
pub const MAX_COUNT: u16 = 1024;
/// Maximum number of levels in a message, limited by its size.
pub const MAX_LEVELS: usize = 16;

/// A message to or from an accountant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CapMessage {
    /// Requests of a workspace wait for tokens.
    Ask(CapAsk),
    /// An accountant's answer.
    Answer(CapAnswer),
    /// Tokens that were granted and not used.
    Return {
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Number of tokens.
        count: u16,
    },
    /// What the sender has granted, for the hosts that may be asked next.
    Levels {
        /// Name of the sender.
        host: Arc<str>,
        /// At most [`MAX_LEVELS`].
        levels: Vec<BucketLevel>,
    },
}

/// The cap of a workspace in a message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapTerms {
    /// Version of the configuration.
    pub version: u64,
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond that which may come at once.
    pub burst: f64,
}

impl CapTerms {
    /// Terms of a cap.
    #[must_use]
    pub fn new(cap: RequestCap, version: u64) -> Self {
        Self {
            version,
            per_second: cap.per_second,
            burst: cap.burst,
        }
    }

    /// The cap.
    #[must_use]
    pub fn cap(&self) -> RequestCap {
        RequestCap {
            per_second: self.per_second,
            burst: self.burst,
        }
    }

    /// Whether the numbers are such as a configuration may have.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_amount = |value: f64| value.is_finite() && value >= 0.0;
        is_amount(self.per_second) && is_amount(self.burst)
    }
}

/// A host asks for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapAsk {
    /// Number of the ask at the host.
    pub number: u32,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Its cap, as the host knows it.
    pub terms: CapTerms,
    /// Number of requests that wait, at most [`MAX_COUNT`].
    pub count: u16,
}

/// Answer of an accountant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapAnswer {
    /// Number of the ask.
    pub number: u32,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// What was decided.
    pub grant: CapGrant,
}

/// Tokens for the first of some requests, and times for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapGrant {
    /// Number of tokens.
    pub granted: u16,
    /// Time in milliseconds after which the first request without a token may return.
    pub wait_ms: u32,
    /// Time in milliseconds between that request and the next one.
    pub spacing_ms: u32,
}

/// The bucket of a workspace as a host that grants knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BucketLevel {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Its cap.
    pub terms: CapTerms,
    /// Tokens in the bucket.
    pub level: f32,
    /// Number of this account among all that the sender has had, in the order of their start.
    pub account: u64,
    /// Tokens that the sender has granted in this account, less those returned.
    pub granted: u32,
}
