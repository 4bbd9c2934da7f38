//! Endpoint client for engines and plain services in the same process.

use crate::engine::MemoryEngine;
use crate::plain::MemoryPlainService;
use async_trait::async_trait;
use fulmarswitch_endpoint::{
    AnswerPart, AnswerStream, EndpointCall, EndpointClient, EndpointError, EndpointOrder,
    EndpointReport,
};
use fulmarswitch_records::SortedIndex;
use fulmarswitch_records::config::EndpointProtocol;
use futures::StreamExt;
use std::sync::Arc;

/// Engines and plain services in the same process, found by their addresses.
#[derive(Clone, Default)]
pub struct MemoryEndpoints {
    engines: SortedIndex<Arc<str>, Arc<MemoryEngine>>,
    plain_services: SortedIndex<Arc<str>, Arc<MemoryPlainService>>,
}

impl MemoryEndpoints {
    /// Creates a client without endpoints.
    ///
    /// ```
    /// let endpoints = fulmarswitch_standins::endpoints::MemoryEndpoints::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an engine; an engine already at this address is replaced.
    pub fn add_engine(&mut self, address: &str, engine: Arc<MemoryEngine>) {
        self.engines.insert(address.into(), engine);
    }

    /// Adds a plain service; a plain service already at this address is replaced.
    pub fn add_plain_service(&mut self, address: &str, service: Arc<MemoryPlainService>) {
        self.plain_services.insert(address.into(), service);
    }

    fn engine(&self, address: &str) -> Result<&Arc<MemoryEngine>, EndpointError> {
        let missing = || EndpointError::NotSent {
            cause: "no engine at this address".into(),
        };
        self.engines.get(address).ok_or_else(missing)
    }
}

#[async_trait]
impl EndpointClient for MemoryEndpoints {
    async fn start(
        &self,
        address: &str,
        protocol: EndpointProtocol,
        call: EndpointCall,
    ) -> Result<AnswerStream, EndpointError> {
        if protocol == EndpointProtocol::Engine {
            return self.engine(address)?.start(&call);
        }
        let missing = || EndpointError::NotSent {
            cause: "no service at this address".into(),
        };
        let service = self.plain_services.get(address).ok_or_else(missing)?;
        let text = service.call(&call).await?;
        Ok(futures::stream::iter([Ok(AnswerPart::Text(text)), Ok(AnswerPart::End)]).boxed())
    }

    async fn report(&self, address: &str) -> Result<EndpointReport, EndpointError> {
        self.engine(address)?.report()
    }

    async fn order(&self, address: &str, order: EndpointOrder) -> Result<(), EndpointError> {
        self.engine(address)?.order(&order)
    }
}
