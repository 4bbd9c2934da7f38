//! Client side of both transports behind the [`PeerLink`] trait, and their server side.

use crate::message::{PeerMessage, PeerReply, StreamRequest};
use crate::nng_link::{NngSender, listen, spawn_workers};
use crate::streams::{StreamClient, serve_stream};
use crate::{FrameStream, PeerError, PeerHandler, PeerLink, PeerTarget};
use anng::Socket;
use anng::protocols::reqrep0::Rep0;
use async_trait::async_trait;
use fulmarswitch_records::{HostIdentity, LogicalClock};
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Sends messages over nng and opens streams over HTTP/2.
pub struct PeerNetwork {
    sender: NngSender,
    stream_client: StreamClient,
}

impl PeerNetwork {
    /// Creates the client side for the given host incarnation. Connections are opened on first use.
    #[must_use]
    pub fn new(identity: HostIdentity, clock: &LogicalClock) -> Self {
        let sender = NngSender::new(identity, clock.clone());
        Self {
            sender,
            stream_client: StreamClient::new(clock.clone()),
        }
    }
}

#[async_trait]
impl PeerLink for PeerNetwork {
    async fn call(&self, to: &PeerTarget, message: PeerMessage) -> Result<PeerReply, PeerError> {
        self.sender.call(to, &message).await
    }

    async fn open(
        &self,
        to: &PeerTarget,
        request: StreamRequest,
    ) -> Result<FrameStream, PeerError> {
        self.stream_client.open(to, request).await
    }
}

/// Sockets on which a host accepts messages and streams.
pub struct PeerListener {
    messages: Arc<Socket<Rep0>>,
    streams: TcpListener,
}

impl PeerListener {
    /// Listens on both addresses.
    ///
    /// # Errors
    /// [`io::Error`] if one of the addresses cannot be bound.
    pub async fn bind(message_address: &str, stream_address: &str) -> io::Result<Self> {
        let messages = listen(message_address).await?;
        let streams = TcpListener::bind(stream_address).await?;
        Ok(Self { messages, streams })
    }

    /// Serves until `stop` becomes true, then waits until all open streams have ended.
    pub async fn serve(
        self,
        identity: HostIdentity,
        clock: LogicalClock,
        handler: Arc<dyn PeerHandler>,
        stop: watch::Receiver<bool>,
    ) {
        spawn_workers(&self.messages, &identity, &clock, &handler);
        let service = tower::service_fn(move |request| {
            serve_stream(
                identity.clone(),
                clock.clone(),
                Arc::clone(&handler),
                request,
            )
        });
        fulmarswitch_http::server::serve(self.streams, service, stop).await;
    }
}
