//! The platform: its append-only log, its list of hosts and its weight store.
//!
//! The traits are what the rest of the system sees; [`http`] speaks to the real services. The crate makes
//! no decisions: it does not retry, and says of each failed append whether it may have taken effect.

pub mod http;

use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_records::Offset;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Errors of the log.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LogError {
    /// The append did not take effect.
    #[snafu(display("the log took no effect of the call; try again in {retry_after:?}"))]
    Refused {
        /// When to try again.
        retry_after: Duration,
    },
    /// The call may have taken effect.
    #[snafu(display(
        "the log did not answer ({cause}); look for the record before appending again"
    ))]
    Unknown {
        /// What the transport says.
        cause: Arc<str>,
    },
}

/// One entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the stream.
    pub offset: Offset,
    /// Time of the append on the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The bytes that were appended.
    pub data: Bytes,
}

/// Some consecutive entries of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// Offset of the oldest entry that the log still keeps.
    pub oldest: Offset,
    /// Offset that the next append will get.
    pub head: Offset,
    /// Time on the log's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which entries are kept.
    pub retention: Duration,
    /// The entries, from the offset asked for or the oldest kept.
    pub entries: Vec<LogEntry>,
}

/// The platform's append-only log.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends one entry and returns its offset.
    ///
    /// # Errors
    /// [`LogError`] says whether the append may have taken effect.
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError>;

    /// Reads up to `max` entries from `from`, waiting up to `wait` for the first.
    ///
    /// # Errors
    /// [`LogError`] when nothing could be read.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError>;
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// Errors of the platform's list and store.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The service did not answer.
    #[snafu(display("the platform did not answer ({cause}); the last answer stays in use"))]
    Unavailable {
        /// What the transport says.
        cause: Arc<str>,
    },
}

/// The platform's list of live and leaving hosts, which lags.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the list.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] when there is no answer.
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError>;
}

/// The platform's weight store, which engines load from.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns the bytes that the store gives out a second, over all engines.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] when there is no answer.
    async fn bytes_per_second(&self) -> Result<u64, PlatformError>;
}
