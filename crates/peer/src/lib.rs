//! Messages and streams between hosts.
//!
//! There are two kinds of exchange: a [`PeerMessage`] with one [`PeerReply`], sent over nng, and a
//! [`StreamRequest`] answered by [`StreamFrame`]s, sent over one persistent HTTP/2 connection per pair of
//! hosts. Batch items are sent as messages, so they cannot delay the tokens of online answers by
//! head-of-line blocking.
//!
//! nng resends a request by itself when the connection is lost. Every message therefore names the host
//! incarnation that it is addressed to, and has a number by which the receiver drops duplicates; see
//! [`envelope`].
//!
//! - [`message`]: the wire types.
//! - [`envelope`]: addressing and the detection of duplicates.
//! - [`nng_link`] and [`streams`]: the two transports.
//! - [`network`]: both transports behind the [`PeerLink`] trait.

pub mod envelope;
pub mod message;
pub mod network;
pub mod nng_link;
pub mod streams;

pub use message::{PeerMessage, PeerReply, StreamFrame, StreamRequest};

use async_trait::async_trait;
use fulmarswitch_records::HostIdentity;
use futures::stream::BoxStream;
use snafu::Snafu;
use std::sync::Arc;

/// Receiver of a message or stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// The host incarnation; any other incarnation refuses the message.
    pub host: HostIdentity,
    /// Address for messages, as `ip:port`.
    pub message_address: Arc<str>,
    /// Address for streams, as `ip:port`.
    pub stream_address: Arc<str>,
}

/// Errors of an exchange with another host.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The message had no effect: the host was not reached, or another incarnation refused it.
    #[snafu(display("host {host} was not reached ({cause}); choose another host"))]
    NotReached {
        /// The host that was addressed.
        host: HostIdentity,
        /// Error of the transport.
        cause: Arc<str>,
    },
    /// No reply arrived; the host may have acted on the message.
    #[snafu(display("host {host} did not reply ({cause}); it may have acted on the message"))]
    NoReply {
        /// The host that was addressed.
        host: HostIdentity,
        /// Error of the transport.
        cause: Arc<str>,
    },
}

/// Frames of a stream. It ends after the last frame (see [`StreamFrame::is_last`]) or when the connection is
/// lost.
pub type FrameStream = BoxStream<'static, StreamFrame>;

/// Client side of the exchanges with other hosts.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    /// [`PeerError`], which indicates whether the host may have acted.
    async fn call(&self, to: &PeerTarget, message: PeerMessage) -> Result<PeerReply, PeerError>;

    /// Opens a stream. If the stream ends without a last frame, the connection to the host was lost.
    ///
    /// # Errors
    /// [`PeerError`], which indicates whether the host may have acted.
    async fn open(&self, to: &PeerTarget, request: StreamRequest)
    -> Result<FrameStream, PeerError>;
}

/// Server side of the exchanges: handles messages and streams from other hosts.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles a message and returns the reply.
    async fn handle(&self, from: HostIdentity, message: PeerMessage) -> PeerReply;

    /// Serves a stream. The stream is dropped when the host that opened it closes it or is lost.
    async fn serve(&self, request: StreamRequest) -> FrameStream;
}
