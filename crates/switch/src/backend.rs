//! Borders of the switch: the log that keeps what lasts, and the endpoints.

use crate::endpoint::ListedEndpoint;
use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// A topic's partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPartition {
    /// Name of the topic.
    pub topic: Arc<str>,
    /// Number of the partition.
    pub partition: u32,
}

/// A record with a key; the log keeps the newest record of each key for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of at most 255 bytes.
    pub key: Bytes,
    /// Value; an empty one removes the key.
    pub value: Bytes,
}

/// A record with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Place in the partition.
    pub offset: u64,
    /// The record.
    pub record: KeyedRecord,
}

/// Records from a partition's tail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogPage {
    /// Offset from which to read on.
    pub next: u64,
    /// Offset that the partition's next record gets.
    pub end: u64,
    /// The records in order.
    pub records: Vec<LogEntry>,
}

/// Errors of an append.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// Nothing was appended.
    #[snafu(display("the log appended nothing ({cause}); try again later"))]
    Refused {
        /// What the log says.
        cause: Arc<str>,
    },
    /// The records may have been appended, or may still be.
    #[snafu(display(
        "the log did not answer ({cause}); look for the records before appending again"
    ))]
    Unknown {
        /// What the transport says.
        cause: Arc<str>,
    },
}

/// Errors of a read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The records asked for are no longer kept.
    #[snafu(display("records before {first} have expired; read the newest record of each key"))]
    Expired {
        /// First offset that is kept.
        first: u64,
    },
    /// There was no usable answer.
    #[snafu(display("the log could not be read ({cause}); try again later"))]
    Unavailable {
        /// What the transport or the log says.
        cause: Arc<str>,
    },
}

/// Errors of a record that another writer left.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// The bytes are not of the agreed form.
    #[snafu(display("the record cannot be read ({cause}); correct its writer"))]
    Malformed {
        /// What the codec says.
        cause: Arc<str>,
    },
    /// A field has a value that it cannot have.
    #[snafu(display("{field} = {value} is impossible; correct its writer"))]
    InvalidValue {
        /// The field.
        field: &'static str,
        /// Its value.
        value: Arc<str>,
    },
}

/// The log that keeps all that lasts.
#[async_trait]
pub trait KeyedLog: Send + Sync {
    /// Appends records, all or none, and returns the offset of the first.
    async fn append(
        &self,
        partition: &LogPartition,
        records: &[KeyedRecord],
    ) -> Result<u64, AppendError>;

    /// Reads records from an offset, waiting up to `wait` for the first.
    async fn read(
        &self,
        partition: &LogPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, ReadError>;

    /// Reads the newest record of each key, in order of offset, with the end before the first read.
    async fn read_snapshot(&self, partition: &LogPartition) -> Result<LogPage, ReadError>;

    /// Reads `count` records whose keys begin with `key` and that were appended together at an offset, also
    /// when the offset has expired.
    async fn fetch(
        &self,
        partition: &LogPartition,
        offset: u64,
        count: u32,
        key: &str,
    ) -> Result<Vec<LogEntry>, ReadError>;
}

/// What an endpoint is asked to run.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// Identity of the request.
    pub id: Arc<str>,
    /// Method of the request.
    pub method: Method,
    /// Host name of the request.
    pub host: Arc<str>,
    /// Path and query of the request.
    pub target: Arc<str>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// How a call is sent.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Time that the endpoint may spend.
    pub remaining: Duration,
    /// Number of the last event that was received of an earlier run.
    pub resume_after: Option<u64>,
}

/// An endpoint's answer.
pub struct EndpointResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body as it comes; an error is an answer that broke off.
    pub body: BoxStream<'static, Result<Bytes, CallError>>,
}

/// Errors of a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No byte of the request reached the endpoint.
    #[snafu(display("the endpoint could not be reached ({cause}); use another"))]
    NotSent {
        /// What the transport says.
        cause: Arc<str>,
    },
    /// The endpoint says that it did not run the request.
    #[snafu(display("the endpoint did not run the request ({status}); use another"))]
    NotRun {
        /// Status of the answer.
        status: StatusCode,
        /// Whether another endpoint has the address now.
        misdirected: bool,
    },
    /// The request may have run.
    #[snafu(display("the endpoint broke off ({cause}); the request may have run"))]
    Broken {
        /// What the transport says.
        cause: Arc<str>,
    },
}

impl CallError {
    /// One word for counts.
    #[must_use]
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "not sent",
            Self::NotRun { .. } => "not run",
            Self::Broken { .. } => "broken off",
        }
    }
}

/// Calls endpoints.
#[async_trait]
pub trait EndpointClient: Send + Sync {
    /// Sends a request and returns the head of its answer. Dropping the future or the answer ends the
    /// connection, and with it the run.
    async fn call(
        &self,
        endpoint: &ListedEndpoint,
        call: &EndpointCall,
        terms: CallOptions,
    ) -> Result<EndpointResponse, CallError>;
}
