//! HTTP protocol of the platform's services.

use crate::{
    HostList, ListedHost, LogEntry, LogError, LogPage, LogService, PlatformError, WeightStore,
};
use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use fulmarswitch_http::{HttpClient, HttpError, HttpReply};
use fulmarswitch_records::Offset;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a read; a log read has the requested wait in addition.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay when the log cannot be reached, or refuses a call without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Body of the response to an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended entry.
    pub offset: u64,
}

/// Body of the response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Offset of the oldest entry that the log retains.
    pub oldest: u64,
    /// Offset that the next append gets.
    pub head: u64,
    /// Time on the log's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which the log retains an entry, in milliseconds.
    pub retention_ms: u64,
    /// Entries in order of their offsets.
    pub entries: Vec<WireEntry>,
}

/// One entry of [`ReadReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireEntry {
    /// Offset of the entry.
    pub offset: u64,
    /// Time of the append on the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Content of the entry, encoded as base64.
    pub data: String,
}

/// One entry of the list of hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Whether the platform is going to remove the host soon.
    pub leaving: bool,
}

/// Body of the response of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreReply {
    /// Total read throughput over all engines, in bytes per second.
    pub bytes_per_second: u64,
}

impl TryFrom<WireEntry> for LogEntry {
    type Error = base64::DecodeError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        let data = STANDARD.decode(wire.data)?.into();
        Ok(Self {
            offset: Offset(wire.offset),
            at_ms: wire.at_ms,
            data,
        })
    }
}

impl From<&LogEntry> for WireEntry {
    fn from(entry: &LogEntry) -> Self {
        Self {
            offset: entry.offset.0,
            at_ms: entry.at_ms,
            data: STANDARD.encode(&entry.data),
        }
    }
}

impl TryFrom<ReadReply> for LogPage {
    type Error = base64::DecodeError;

    fn try_from(reply: ReadReply) -> Result<Self, Self::Error> {
        let entries = reply
            .entries
            .into_iter()
            .map(LogEntry::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            oldest: Offset(reply.oldest),
            head: Offset(reply.head),
            now_ms: reply.now_ms,
            retention: Duration::from_millis(reply.retention_ms),
            entries,
        })
    }
}

impl From<WireHost> for ListedHost {
    fn from(wire: WireHost) -> Self {
        Self {
            name: wire.name,
            leaving: wire.leaving,
        }
    }
}

/// Client of the platform's log, host list and weight store over HTTP.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    log_address: Arc<str>,
    list_address: Arc<str>,
    store_address: Arc<str>,
}

impl PlatformClient {
    /// Creates a client of the log, the host list and the weight store; each address is an `ip:port`.
    ///
    /// ```
    /// use fulmarswitch_platform::http::PlatformClient;
    /// let client = PlatformClient::new("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
    /// ```
    #[must_use]
    pub fn new(log: &str, list: &str, store: &str) -> Self {
        Self {
            http: HttpClient::new(),
            log_address: log.into(),
            list_address: list.into(),
            store_address: store.into(),
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T, PlatformError> {
        let unavailable = |cause: String| PlatformError::Unavailable {
            cause: cause.into(),
        };
        let exchange = self.http.call(Method::GET, url, Bytes::new());
        let reply = tokio::time::timeout(READ_TIMEOUT, exchange)
            .await
            .map_err(|_| unavailable("timeout".into()))?
            .map_err(|error| unavailable(error.to_string()))?;
        reply.json().map_err(|error| unavailable(error.to_string()))
    }
}

#[async_trait]
impl LogService for PlatformClient {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        let url = format!("http://{}/streams/{stream}", self.log_address);
        let exchange = self.http.call(Method::POST, &url, data);
        let reply = await_log_reply(APPEND_TIMEOUT, exchange).await?;
        let appended: AppendReply = parse(&reply)?;
        Ok(Offset(appended.offset))
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let url = format!(
            "http://{}/streams/{stream}?from={from}&max={max}&wait_ms={}",
            self.log_address,
            wait.as_millis()
        );
        let exchange = self.http.call(Method::GET, &url, Bytes::new());
        let reply = await_log_reply(wait + READ_TIMEOUT, exchange).await?;
        let page: ReadReply = parse(&reply)?;
        LogPage::try_from(page).map_err(|error| unknown_outcome(&error.to_string()))
    }
}

#[async_trait]
impl HostList for PlatformClient {
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let url = format!("http://{}/hosts", self.list_address);
        let hosts: Vec<WireHost> = self.get(&url).await?;
        Ok(hosts.into_iter().map(ListedHost::from).collect())
    }
}

#[async_trait]
impl WeightStore for PlatformClient {
    async fn bytes_per_second(&self) -> Result<u64, PlatformError> {
        let url = format!("http://{}/rate", self.store_address);
        let reply: StoreReply = self.get(&url).await?;
        Ok(reply.bytes_per_second)
    }
}

async fn await_log_reply(
    timeout: Duration,
    exchange: impl Future<Output = Result<HttpReply, HttpError>>,
) -> Result<HttpReply, LogError> {
    match tokio::time::timeout(timeout, exchange).await {
        Err(_) => Err(unknown_outcome("timeout")),
        Ok(Err(HttpError::NotSent { .. })) => Err(LogError::Refused {
            retry_after: DEFAULT_RETRY_AFTER,
        }),
        Ok(Err(error)) => Err(unknown_outcome(&error.to_string())),
        Ok(Ok(reply))
            if reply.status == StatusCode::TOO_MANY_REQUESTS
                || reply.status == StatusCode::SERVICE_UNAVAILABLE =>
        {
            Err(LogError::Refused {
                retry_after: reply.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            })
        }
        Ok(Ok(reply)) if reply.status.is_success() => Ok(reply),
        Ok(Ok(reply)) => Err(unknown_outcome(reply.status.as_str())),
    }
}

fn parse<T: serde::de::DeserializeOwned>(reply: &HttpReply) -> Result<T, LogError> {
    reply
        .json()
        .map_err(|error| unknown_outcome(&error.to_string()))
}

fn unknown_outcome(cause: &str) -> LogError {
    LogError::Unknown {
        cause: cause.into(),
    }
}
