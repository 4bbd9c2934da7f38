//! Messages over nng request/reply sockets.

use crate::envelope::{
    DeliveryResult, DuplicateFilter, MessageEnvelope, ReplyEnvelope, decode_message,
};
use crate::message::{PeerMessage, PeerReply};
use crate::{PeerError, PeerHandler, PeerTarget};
use anng::protocols::reqrep0::{Rep0, Req0};
use anng::{Message, Socket};
use fulmarswitch_records::{HostIdentity, LogicalClock, SortedIndex};
use std::ffi::CString;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of messages that are handled concurrently.
const WORKER_COUNT: usize = 64;
/// Timeout of a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of opening a connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a sender that waits for a reply checks whether the receiver still listens.
const LISTEN_PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Sends messages to other hosts, over one socket per address.
pub struct NngSender {
    identity: HostIdentity,
    clock: LogicalClock,
    next_number: AtomicU64,
    sockets: Mutex<SortedIndex<Arc<str>, Arc<Socket<Req0>>>>,
}

impl NngSender {
    /// Creates a sender for the given host incarnation.
    #[must_use]
    pub fn new(identity: HostIdentity, clock: LogicalClock) -> Self {
        Self {
            identity,
            clock,
            next_number: AtomicU64::new(0),
            sockets: Mutex::default(),
        }
    }

    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    /// [`PeerError`], which indicates whether the host may have acted.
    pub async fn call(
        &self,
        to: &PeerTarget,
        message: &PeerMessage,
    ) -> Result<PeerReply, PeerError> {
        let body = encode(to, message)?;
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let envelope = MessageEnvelope {
            from: self.identity.clone(),
            to: to.host.clone(),
            number,
            stamp: self.clock.tick(),
            body,
        };
        let bytes = encode(to, &envelope)?;
        let socket = self.socket(to).await?;
        let exchange = async {
            let mut context = socket.context();
            let reply = context.request(Message::from(&bytes[..])).await;
            let reply = reply.map_err(|(error, _)| error)?.await?;
            Ok::<_, anng::AioError>(postcard::from_bytes(reply.as_slice()))
        };
        let exchange = async {
            tokio::select! {
                reply = exchange => Some(reply),
                () = wait_connection_refused(&to.message_address) => None,
            }
        };
        let reply: ReplyEnvelope = match tokio::time::timeout(REPLY_TIMEOUT, exchange).await {
            Ok(None) => {
                self.drop_socket(to);
                return Err(no_reply(to, "its process has ended"));
            }
            Ok(Some(Ok(Ok(reply)))) => reply,
            Ok(Some(Ok(Err(error)))) => return Err(no_reply(to, &error.to_string())),
            Ok(Some(Err(error))) => return Err(no_reply(to, &error.to_string())),
            Err(_) => {
                self.drop_socket(to);
                return Err(no_reply(to, "timeout"));
            }
        };
        self.clock.observe(reply.stamp);
        match reply.result {
            DeliveryResult::Reply(reply) => Ok(reply),
            DeliveryResult::WrongIncarnation => {
                self.drop_socket(to);
                Err(not_reached(to, "it has restarted"))
            }
            DeliveryResult::Duplicate => Err(no_reply(to, "the reply was lost")),
        }
    }

    async fn socket(&self, to: &PeerTarget) -> Result<Arc<Socket<Req0>>, PeerError> {
        if let Some(socket) = lock(&self.sockets).get(&*to.message_address) {
            return Ok(Arc::clone(socket));
        }
        let dial = Req0::dial(url(&to.message_address));
        let socket = match tokio::time::timeout(DIAL_TIMEOUT, dial).await {
            Ok(Ok(socket)) => Arc::new(socket),
            Ok(Err(error)) => return Err(not_reached(to, &error.to_string())),
            Err(_) => return Err(not_reached(to, "timeout")),
        };
        lock(&self.sockets).insert(Arc::clone(&to.message_address), Arc::clone(&socket));
        Ok(socket)
    }

    fn drop_socket(&self, to: &PeerTarget) {
        lock(&self.sockets).remove(&*to.message_address);
    }
}

/// Opens the socket that other hosts send messages to.
///
/// # Errors
/// [`io::Error`] if the address cannot be bound.
pub async fn listen(address: &str) -> io::Result<Arc<Socket<Rep0>>> {
    Rep0::listen(url(address)).await.map(Arc::new)
}

/// Spawns the tasks that handle messages. They run until the socket is closed or the runtime is dropped.
pub fn spawn_workers(
    socket: &Arc<Socket<Rep0>>,
    identity: &HostIdentity,
    clock: &LogicalClock,
    handler: &Arc<dyn PeerHandler>,
) {
    let duplicate_filter = Arc::new(Mutex::new(DuplicateFilter::new()));
    for _ in 0..WORKER_COUNT {
        let worker = MessageWorker {
            socket: Arc::clone(socket),
            identity: identity.clone(),
            clock: clock.clone(),
            handler: Arc::clone(handler),
            duplicate_filter: Arc::clone(&duplicate_filter),
        };
        tokio::spawn(worker.run());
    }
}

struct MessageWorker {
    socket: Arc<Socket<Rep0>>,
    identity: HostIdentity,
    clock: LogicalClock,
    handler: Arc<dyn PeerHandler>,
    duplicate_filter: Arc<Mutex<DuplicateFilter>>,
}

impl MessageWorker {
    async fn run(self) {
        let mut context = self.socket.context();
        loop {
            let Ok((request, responder)) = context.receive().await else {
                return;
            };
            let result = self.deliver(request.as_slice()).await;
            let reply = ReplyEnvelope {
                stamp: self.clock.tick(),
                result,
            };
            let bytes = postcard::to_stdvec(&reply).unwrap_or_default();
            // If the reply cannot be sent, the connection is lost and nng resends the request.
            let _ = responder.reply(Message::from(&bytes[..])).await;
        }
    }

    async fn deliver(&self, bytes: &[u8]) -> DeliveryResult {
        let Ok(envelope) = postcard::from_bytes::<MessageEnvelope>(bytes) else {
            return DeliveryResult::Reply(PeerReply::Unsupported);
        };
        self.clock.observe(envelope.stamp);
        if envelope.to != self.identity {
            return DeliveryResult::WrongIncarnation;
        }
        if !lock(&self.duplicate_filter).insert(&envelope.from, envelope.number) {
            return DeliveryResult::Duplicate;
        }
        let Some(message) = decode_message(&envelope.body) else {
            return DeliveryResult::Reply(PeerReply::Unsupported);
        };
        DeliveryResult::Reply(self.handler.handle(envelope.from, message).await)
    }
}

/// Returns when connections to an address are refused.
///
/// nng keeps a request to a lost host and redials, so without this check the sender would wait for the
/// whole reply timeout.
async fn wait_connection_refused(address: &str) {
    loop {
        tokio::time::sleep(LISTEN_PROBE_INTERVAL).await;
        if let Err(error) = TcpStream::connect(address).await
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return;
        }
    }
}

fn encode<T: serde::Serialize>(to: &PeerTarget, value: &T) -> Result<Vec<u8>, PeerError> {
    postcard::to_stdvec(value).map_err(|error| not_reached(to, &error.to_string()))
}

fn url(address: &str) -> CString {
    CString::new(format!("tcp://{address}")).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn not_reached(to: &PeerTarget, cause: &str) -> PeerError {
    PeerError::NotReached {
        host: to.host.clone(),
        cause: cause.into(),
    }
}

fn no_reply(to: &PeerTarget, cause: &str) -> PeerError {
    PeerError::NoReply {
        host: to.host.clone(),
        cause: cause.into(),
    }
}
