//! Interfaces to the external systems: the log that stores all durable state, and the endpoints.

use crate::endpoint::ListedEndpoint;
use crate::limits::RateLimit;
use crate::members::HostDescriptor;
use crate::origins::VersionKey;
use crate::prompt::PromptParts;
use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// One partition of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPartition {
    /// Name of the topic.
    pub topic: Arc<str>,
    /// Number of the partition.
    pub partition: u32,
}

/// A record with a key. The log is compacted: it retains the latest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of at most 255 bytes.
    pub key: Bytes,
    /// An empty value is a tombstone, which removes the key.
    pub value: Bytes,
}

/// A record together with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset in the partition.
    pub offset: u64,
    /// Record at the offset.
    pub record: KeyedRecord,
}

/// A page of records read from a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// Offset at which the next read starts.
    pub next: u64,
    /// Offset that the next appended record will get.
    pub end: u64,
    /// Records in order of offset.
    pub records: Vec<LogEntry>,
}

/// Size of what was read from a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadSize {
    /// Number of records.
    pub records: usize,
    /// Number of bytes in their keys and values.
    pub bytes: usize,
}

impl ReadSize {
    /// Returns the size of these records.
    ///
    /// ```
    /// use fulmarswitch_switch::backend::{KeyedRecord, LogEntry, ReadSize};
    /// let record = KeyedRecord { key: "k".into(), value: "text".into() };
    /// let size = ReadSize::of(&[LogEntry { offset: 0, record }]);
    /// assert_eq!(size, ReadSize { records: 1, bytes: 5 });
    /// ```
    #[must_use]
    pub fn of(entries: &[LogEntry]) -> Self {
        let records = entries.iter().map(|entry| &entry.record);
        Self {
            records: entries.len(),
            bytes: records
                .map(|record| record.key.len() + record.value.len())
                .sum(),
        }
    }

    /// Adds the size of a further read.
    pub fn add(&mut self, other: Self) {
        self.records += other.records;
        self.bytes += other.bytes;
    }
}

/// A page of the latest record of each key, in the order of the keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<LogEntry>,
    /// End of the partition when the page was read.
    pub end: u64,
    /// Key after which the next page begins; `None` for the last page.
    pub next_after: Option<Bytes>,
}

/// Errors of [`KeyedLog::append`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// Nothing was appended.
    #[snafu(display("nothing was appended to the log ({cause}); retry later"))]
    Refused {
        /// Reason given by the log.
        cause: Arc<str>,
    },
    /// The records may have been appended, or may still be appended later.
    #[snafu(display(
        "the log did not respond ({cause}); check for the records before appending again"
    ))]
    Unknown {
        /// Error of the transport.
        cause: Arc<str>,
    },
}

/// Errors of [`KeyedLog`] reads.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The requested records have been removed by retention.
    #[snafu(display("records before offset {first} have expired; read a snapshot"))]
    Expired {
        /// First offset that is still retained.
        first: u64,
    },
    /// There was no usable response.
    #[snafu(display("the log could not be read ({cause}); retry later"))]
    Unavailable {
        /// Error of the transport or the log.
        cause: Arc<str>,
    },
}

/// Errors in decoding a record of another writer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// The bytes do not follow the expected encoding.
    #[snafu(display("malformed record ({cause}); fix its writer"))]
    Malformed {
        /// Error of the decoder.
        cause: Arc<str>,
    },
    /// A field has a value outside its allowed range.
    #[snafu(display("invalid value {field} = {value}; fix its writer"))]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Value as text.
        value: Arc<str>,
    },
}

/// The log that stores all durable state.
#[async_trait]
pub trait KeyedLog: Send + Sync {
    /// Appends the records atomically and returns the offset of the first.
    async fn append(
        &self,
        partition: &LogPartition,
        records: &[KeyedRecord],
    ) -> Result<u64, AppendError>;

    /// Reads records from an offset, waiting up to `wait` for the first one.
    async fn read(
        &self,
        partition: &LogPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, ReadError>;

    /// Reads a page of the latest record of each key, from the first key after `after`, or from the start. Each page is read at a
    /// moment of its own.
    async fn read_newest_page(
        &self,
        partition: &LogPartition,
        after: Option<&Bytes>,
    ) -> Result<NewestPage, ReadError>;

    /// Reads the latest record of each key in order of offset. The page ends at the end of the partition when the read
    /// began, so a read from there on returns all records that were appended meanwhile.
    async fn read_snapshot(&self, partition: &LogPartition) -> Result<LogPage, ReadError>;

    /// Fetches `count` records that were appended together at `offset` and whose keys begin with `key`, even if the
    /// offset has expired.
    async fn fetch(
        &self,
        partition: &LogPartition,
        offset: u64,
        count: u32,
        key: &str,
    ) -> Result<Vec<LogEntry>, ReadError>;
}

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// Request ID.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Host name from the request.
    pub host: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Name of the workspace that the request runs for; `None` if there are no workspaces, or for a public route.
    pub workspace: Option<Arc<str>>,
}

/// Options of one attempt at a call.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Time left for the endpoint until the deadline of the request.
    pub remaining: Duration,
    /// ID of the last event received from an earlier attempt; `None` to run from the start.
    pub resume_after: Option<u64>,
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length or a last chunk. A body that ends early is an error.
    #[default]
    Delimited,
    /// By the end of the connection. A body that ends early may look complete.
    UntilClose,
}

impl BodyFraming {
    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::UntilClose => "until close",
        }
    }
}

/// What an endpoint says of itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it leaves.
    pub leaving: bool,
    /// Requests that it takes from all hosts together; `None` for no limit.
    pub limit: Option<RateLimit>,
}

/// The endpoint of a response that another host passes back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseSource {
    /// ID of the endpoint.
    pub endpoint: Arc<str>,
    /// Start of the endpoint in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Software version of the endpoint.
    pub version: VersionKey,
}

impl ResponseSource {
    /// Returns the source of responses of this endpoint.
    #[must_use]
    pub fn of(endpoint: &ListedEndpoint) -> Self {
        Self {
            endpoint: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
            version: endpoint.version_key(),
        }
    }
}

/// Response of an endpoint.
pub struct EndpointResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// Requests that the endpoint says it takes from all hosts together.
    pub limit: Option<RateLimit>,
    /// Where the response comes from, as hosts tell each other.
    pub source: Option<ResponseSource>,
    /// Body stream. An error item means that the response was interrupted.
    pub body: BoxStream<'static, Result<Bytes, CallError>>,
}

impl EndpointResponse {
    /// What the endpoint says of itself.
    #[must_use]
    pub fn notice(&self) -> EndpointNotice {
        EndpointNotice {
            leaving: self.leaving,
            limit: self.limit,
        }
    }
}

/// Errors of [`EndpointClient::call`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the request reached the endpoint.
    #[snafu(display("the endpoint could not be reached ({cause}); use another"))]
    NotSent {
        /// Error of the transport.
        cause: Arc<str>,
    },
    /// The endpoint responded that it did not run the request.
    #[snafu(display("the endpoint did not run the request ({status}); use another"))]
    NotRun {
        /// Status of the response.
        status: StatusCode,
        /// Whether a different endpoint now listens on the address.
        misdirected: bool,
        /// What the endpoint says of itself; `None` if the response may be another endpoint's.
        notice: Option<EndpointNotice>,
    },
    /// Another host, to which the request was passed on, rejected it.
    #[snafu(display("the host did not run the request; retry after {retry_after:?}"))]
    Rejected {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The connection failed after the request was sent; the request may have run.
    #[snafu(display("the endpoint broke off ({cause}); the request may have run"))]
    Interrupted {
        /// Error of the transport.
        cause: Arc<str>,
    },
}

impl CallError {
    /// What the endpoint says of itself, if it has responded.
    #[must_use]
    pub fn notice(&self) -> Option<EndpointNotice> {
        match self {
            Self::NotRun { notice, .. } => *notice,
            Self::NotSent { .. } | Self::Rejected { .. } | Self::Interrupted { .. } => None,
        }
    }

    /// Label value for the metrics.
    #[must_use]
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "not sent",
            Self::NotRun { .. } | Self::Rejected { .. } => "not run",
            Self::Interrupted { .. } => "broken off",
        }
    }
}

/// What becomes of a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It was opened.
    Accepted,
    /// The endpoint's address refuses it.
    Refused,
    /// Nothing has answered in time.
    NoAnswer,
}

/// Client for calls to endpoints.
#[async_trait]
pub trait EndpointClient: Send + Sync {
    /// Sends a request and returns the head of the response. Dropping the future or the response closes the
    /// connection, which cancels the run at the endpoint.
    async fn call(
        &self,
        endpoint: &ListedEndpoint,
        call: &EndpointCall,
        options: CallOptions,
    ) -> Result<EndpointResponse, CallError>;

    /// Opens a connection to the endpoint and closes it.
    async fn try_connect(&self, endpoint: &ListedEndpoint) -> ConnectOutcome;

    /// Whether the endpoint's address refuses connections, as that of a process which has ended does.
    async fn refuses_connections(&self, endpoint: &ListedEndpoint) -> bool {
        self.try_connect(endpoint).await == ConnectOutcome::Refused
    }

    /// Returns the parts of a request's prompt, without the last one, which belongs to the request itself or to its
    /// session.
    fn prompt_parts(&self, headers: &HeaderMap) -> PromptParts;
}

/// Options of a request that is passed on to another host.
#[derive(Clone, Debug)]
pub struct PassOptions {
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// ID of the last event that the caller has received; `None` to run from the start.
    pub resume_after: Option<u64>,
    /// ID of the request that began a stream which is resumed.
    pub resumes: Option<Arc<str>>,
    /// Software version at which a stream goes on, if it is known.
    pub version: Option<VersionKey>,
}

/// Client for requests that other hosts send to an endpoint.
#[async_trait]
pub trait HostClient: Send + Sync {
    /// Passes a request on to a host, which sends it to an endpoint once, and returns the head of the response. Dropping the future
    /// or the response ends the request at that host, which cancels the run.
    async fn pass_on(
        &self,
        host: &HostDescriptor,
        call: &EndpointCall,
        options: PassOptions,
    ) -> Result<EndpointResponse, CallError>;
}
