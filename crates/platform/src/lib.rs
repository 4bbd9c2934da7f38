//! Client interface of the platform: its append-only log, its list of hosts and its weight store.
//!
//! The rest of the system uses the traits; [`http`] implements them over HTTP. The crate does not retry.
//! The error of a failed append indicates whether the append may have taken effect.

pub mod http;

use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_records::Offset;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Error of a log call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LogError {
    /// The call had no effect.
    #[snafu(display(
        "the call to the log was refused and had no effect; try again in {retry_after:?}"
    ))]
    Refused {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The outcome is not known; an append may have taken effect.
    #[snafu(display(
        "the outcome of the log call is unknown ({cause}); look for the record before appending again"
    ))]
    Unknown {
        /// Error of the transport, or status code of the response.
        cause: Arc<str>,
    },
}

/// One entry of a stream of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset of the entry in its stream.
    pub offset: Offset,
    /// Time of the append on the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Content of the entry.
    pub data: Bytes,
}

/// Consecutive entries of a stream, with the state of the stream at the time of the read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// Offset of the oldest entry that the log retains.
    pub oldest: Offset,
    /// Offset that the next append gets.
    pub head: Offset,
    /// Time on the log's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which the log retains an entry.
    pub retention: Duration,
    /// Entries in order of their offsets, from the requested offset or from `oldest`, whichever is higher.
    pub entries: Vec<LogEntry>,
}

/// The platform's append-only log.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends one entry to a stream and returns the offset of the entry.
    ///
    /// # Errors
    /// [`LogError`], which indicates whether the append may have taken effect.
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError>;

    /// Reads up to `max` entries of a stream from offset `from`. When there are none, waits up to `wait`
    /// for the first one; a page without entries means that none was appended in that time.
    ///
    /// # Errors
    /// [`LogError`] when the log refuses the read or does not return a page.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError>;
}

/// One entry of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Whether the platform is going to remove the host soon.
    pub leaving: bool,
}

/// Error of the platform's host list or weight store.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The service did not return a valid response.
    #[snafu(display(
        "the platform did not answer ({cause}); the last answer received stays in use"
    ))]
    Unavailable {
        /// Error of the transport.
        cause: Arc<str>,
    },
}

/// The platform's list of live and leaving hosts, which may be out of date.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the hosts that the platform lists now.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] when there is no valid response.
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError>;
}

/// The platform's weight store, from which engines load model weights.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns the store's total read throughput over all engines, in bytes per second.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] when there is no valid response.
    async fn bytes_per_second(&self) -> Result<u64, PlatformError>;
}
