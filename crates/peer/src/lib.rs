//! Messages between the system's own hosts.
//!
//! Two kinds of exchange: a [`PeerMessage`] with one [`PeerReply`], carried by nng, and a
//! [`StreamRequest`] answered by [`StreamFrame`]s, carried by one kept HTTP/2 connection between two
//! hosts. So batch items, which travel as messages, never stand in front of an online answer's tokens.
//!
//! nng sends a request again by itself when the connection is lost. Every message therefore names the run
//! of the host that it is meant for, and carries an id by which the receiver drops repeats; see
//! [`envelope`].
//!
//! - [`message`]: the wire types.
//! - [`envelope`]: addressing, and the table of messages already seen.
//! - [`nng_link`] and [`streams`]: the two carriers.
//! - [`network`]: both carriers behind the [`PeerLink`] trait.

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

/// Where a message goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// The run of the host that is meant; any other run refuses the message.
    pub host: HostIdentity,
    /// Address for messages, as `ip:port`.
    pub message_address: Arc<str>,
    /// Address for streams, as `ip:port`.
    pub stream_address: Arc<str>,
}

/// Errors of an exchange with a peer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The peer was not reached, or is another run than the one that was meant.
    #[snafu(display("host {host} did not get the message ({cause}); choose another"))]
    NotReached {
        /// The host.
        host: HostIdentity,
        /// What the transport says.
        cause: Arc<str>,
    },
    /// The peer may have acted on the message.
    #[snafu(display("host {host} gave no answer ({cause}); it may have acted"))]
    NoAnswer {
        /// The host.
        host: HostIdentity,
        /// What the transport says.
        cause: Arc<str>,
    },
}

/// Frames of a stream; ends after the last frame or when the peer is lost.
pub type FrameStream = BoxStream<'static, StreamFrame>;

/// What the rest of the system asks of other hosts.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    /// [`PeerError`] says whether the peer may have acted.
    async fn call(&self, to: &PeerTarget, message: PeerMessage) -> Result<PeerReply, PeerError>;

    /// Opens a stream. A stream that ends without a last frame has lost its peer.
    ///
    /// # Errors
    /// [`PeerError`] says whether the peer may have acted.
    async fn open(&self, to: &PeerTarget, request: StreamRequest)
    -> Result<FrameStream, PeerError>;
}

/// What a host does with the messages of others.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Acts on a message.
    async fn handle(&self, from: HostIdentity, message: PeerMessage) -> PeerReply;

    /// Serves a stream. Dropping the stream says that the peer has gone away.
    async fn serve(&self, request: StreamRequest) -> FrameStream;
}
