//! A host's clients for the log, the platform and the endpoints, which act only while the host runs.

use crate::control::{HostControl, relay_stream};
use crate::history::{CallStart, TrialHistory};
use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_endpoint::{
    AnswerStream, EndpointCall, EndpointClient, EndpointError, EndpointOrder, EndpointReport,
};
use fulmarswitch_platform::{
    HostList, ListedHost, LogError, LogPage, LogService, PlatformError, WeightStore,
};
use fulmarswitch_records::config::EndpointProtocol;
use fulmarswitch_records::{HostIdentity, Offset};
use fulmarswitch_standins::endpoints::MemoryEndpoints;
use fulmarswitch_standins::log::MemoryLog;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a log call of a host that is disconnected from the log fails.
const LOG_CUT_TIMEOUT: Duration = Duration::from_millis(100);

/// One host's client of the log.
pub struct HostLog {
    log: Arc<MemoryLog>,
    control: HostControl,
}

impl HostLog {
    /// Creates the client of the host that `control` controls.
    #[must_use]
    pub fn new(log: Arc<MemoryLog>, control: HostControl) -> Self {
        Self { log, control }
    }

    async fn check_reachable(&self) -> Result<(), LogError> {
        self.control.wait_running().await;
        if self.control.is_log_cut() {
            tokio::time::sleep(LOG_CUT_TIMEOUT).await;
            return Err(LogError::Refused {
                retry_after: LOG_CUT_TIMEOUT,
            });
        }
        Ok(())
    }
}

#[async_trait]
impl LogService for HostLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        self.check_reachable().await?;
        let appended = self.log.append(stream, data).await;
        self.control.wait_running().await;
        appended
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        self.check_reachable().await?;
        let page = self.log.read(stream, from, max, wait).await;
        self.control.wait_running().await;
        page
    }
}

/// A platform whose host list is empty, so that no host is listed as leaving; tests drain hosts directly.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmptyPlatform;

#[async_trait]
impl HostList for EmptyPlatform {
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        Ok(Vec::new())
    }
}

/// A weight store without a bandwidth limit.
#[async_trait]
impl WeightStore for EmptyPlatform {
    async fn bytes_per_second(&self) -> Result<u64, PlatformError> {
        Ok(u64::MAX)
    }
}

/// One host's client of the endpoints; it records the start of each call in the history.
pub struct HostEndpoints {
    endpoints: MemoryEndpoints,
    host: HostIdentity,
    control: HostControl,
    history: Arc<TrialHistory>,
}

impl HostEndpoints {
    /// Creates the client of the host that `control` controls.
    #[must_use]
    pub fn new(
        endpoints: MemoryEndpoints,
        host: HostIdentity,
        control: HostControl,
        history: Arc<TrialHistory>,
    ) -> Self {
        Self {
            endpoints,
            host,
            control,
            history,
        }
    }
}

#[async_trait]
impl EndpointClient for HostEndpoints {
    async fn start(
        &self,
        address: &str,
        protocol: EndpointProtocol,
        call: EndpointCall,
    ) -> Result<AnswerStream, EndpointError> {
        self.control.wait_running().await;
        self.history.record_start(CallStart {
            started_at: self.history.now(),
            address: address.into(),
            input: Arc::clone(&call.input),
            host: self.host.clone(),
        });
        let answer = tokio::select! {
            answer = self.endpoints.start(address, protocol, call) => answer,
            () = self.control.wait_killed() => std::future::pending().await,
        };
        self.control.wait_running().await;
        Ok(relay_stream(answer?, self.control.clone()))
    }

    async fn report(&self, address: &str) -> Result<EndpointReport, EndpointError> {
        self.control.wait_running().await;
        self.endpoints.report(address).await
    }

    async fn order(&self, address: &str, order: EndpointOrder) -> Result<(), EndpointError> {
        self.control.wait_running().await;
        self.endpoints.order(address, order).await
    }
}
