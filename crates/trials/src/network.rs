//! Messages and streams between hosts, with delays, losses, duplicates and partitions.
//!
//! A message that arrives is processed even if its sender has stopped waiting. Duplicates are dropped by
//! the same filter as on the real network. A stream between two partitioned failure domains either ends or
//! stalls until the partition ends.

use crate::control::{HostControl, HostMode};
use async_trait::async_trait;
use fulmarswitch::context::lock;
use fulmarswitch_peer::envelope::{
    DeliveryResult, DuplicateFilter, MessageEnvelope, ReplyEnvelope,
};
use fulmarswitch_peer::{
    FrameStream, PeerError, PeerHandler, PeerLink, PeerMessage, PeerReply, PeerTarget, StreamFrame,
    StreamRequest,
};
use fulmarswitch_records::{HostIdentity, SortedIndex};
use futures::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Time for which a sender waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay of the duplicate of a message.
const DUPLICATE_DELAY: Duration = Duration::from_millis(150);

/// Injected network faults; they may change while the network runs.
#[derive(Clone, Debug)]
pub struct NetworkFaults {
    /// Longest delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Messages lost per thousand.
    pub lost: u32,
    /// Replies lost per thousand.
    pub lost_replies: u32,
    /// Messages delivered twice per thousand.
    pub duplicates: u32,
    /// Pairs of failure domains that cannot communicate.
    pub partitions: Vec<(Arc<str>, Arc<str>)>,
    /// Whether commit messages to appenders fail, so that each host appends for itself.
    pub no_appenders: bool,
}

/// Traffic between hosts, without streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetworkCounts {
    /// Messages that were replied to.
    pub messages: u64,
    /// Bytes of these messages and their replies, as encoded for the real network.
    pub bytes: u64,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            delay_ms: 3,
            lost: 0,
            lost_replies: 0,
            duplicates: 0,
            partitions: Vec::new(),
            no_appenders: false,
        }
    }
}

/// One run of a host that is attached to the network.
pub struct AttachedHost {
    identity: HostIdentity,
    domain: Arc<str>,
    control: HostControl,
    handler: Arc<dyn PeerHandler>,
    received: Mutex<DuplicateFilter>,
}

/// The network between all hosts.
pub struct MemoryNetwork {
    hosts: Mutex<SortedIndex<Arc<str>, Arc<AttachedHost>>>,
    faults: watch::Sender<NetworkFaults>,
    counts: Mutex<NetworkCounts>,
    rng: Mutex<SmallRng>,
}

impl MemoryNetwork {
    /// Creates a network without hosts.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            hosts: Mutex::default(),
            faults: watch::Sender::new(NetworkFaults::default()),
            counts: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// Attaches a run of a host under its name, in place of an earlier run.
    pub fn attach(
        &self,
        identity: &HostIdentity,
        domain: &Arc<str>,
        control: &HostControl,
        handler: Arc<dyn PeerHandler>,
    ) {
        let host = AttachedHost {
            identity: identity.clone(),
            domain: Arc::clone(domain),
            control: control.clone(),
            handler,
            received: Mutex::default(),
        };
        lock(&self.hosts).insert(Arc::clone(&identity.name), Arc::new(host));
    }

    /// Detaches all hosts.
    pub fn close(&self) {
        lock(&self.hosts).retain(|_, _| false);
    }

    /// Returns the traffic so far.
    #[must_use]
    pub fn counts(&self) -> NetworkCounts {
        *lock(&self.counts)
    }

    fn count(&self, envelope: &MessageEnvelope, reply: &PeerReply) {
        let reply = ReplyEnvelope {
            stamp: envelope.stamp,
            result: DeliveryResult::Reply(reply.clone()),
        };
        let size = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |bytes| bytes.len() as u64);
        let mut counts = lock(&self.counts);
        counts.messages += 1;
        counts.bytes += size(postcard::to_stdvec(envelope)) + size(postcard::to_stdvec(&reply));
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        self.faults.send_modify(change);
    }

    fn chance(&self, per_thousand: u32) -> bool {
        lock(&self.rng).random_ratio(per_thousand.min(1_000), 1_000)
    }

    async fn delay(&self) {
        let max_delay_ms = self.faults.borrow().delay_ms;
        let delay = lock(&self.rng).random_range(0..=max_delay_ms);
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }

    fn find_host(&self, to: &HostIdentity) -> Option<Arc<AttachedHost>> {
        let target = lock(&self.hosts).get(&*to.name).cloned()?;
        let reached = target.identity == *to && target.control.mode() != HostMode::Killed;
        reached.then_some(target)
    }

    fn is_partitioned(&self, one: &str, other: &str) -> bool {
        is_partitioned(&self.faults.borrow(), one, other)
    }
}

fn is_partitioned(faults: &NetworkFaults, one: &str, other: &str) -> bool {
    let is_pair = |cut: &&(Arc<str>, Arc<str>)| {
        (&*cut.0, &*cut.1) == (one, other) || (&*cut.0, &*cut.1) == (other, one)
    };
    faults.partitions.iter().any(|cut| is_pair(&cut))
}

/// One host's client of the network.
pub struct MemoryLink {
    network: Arc<MemoryNetwork>,
    identity: HostIdentity,
    domain: Arc<str>,
    control: HostControl,
    next_number: AtomicU64,
}

impl MemoryLink {
    /// Creates the client of the host that `control` controls.
    #[must_use]
    pub fn new(
        network: Arc<MemoryNetwork>,
        identity: HostIdentity,
        domain: Arc<str>,
        control: HostControl,
    ) -> Self {
        Self {
            network,
            identity,
            domain,
            control,
            next_number: AtomicU64::new(0),
        }
    }

    async fn reach_host(&self, to: &HostIdentity) -> Result<Arc<AttachedHost>, PeerError> {
        self.network.delay().await;
        let not_reached = |cause: &str| PeerError::NotReached {
            host: to.clone(),
            cause: cause.into(),
        };
        let target = self
            .network
            .find_host(to)
            .ok_or_else(|| not_reached("no such run of the host is attached"))?;
        if self.network.is_partitioned(&self.domain, &target.domain) {
            // A new connection fails; on an existing one messages are lost without an error.
            if self.network.chance(500) {
                return Err(not_reached("the failure domains are partitioned"));
            }
            std::future::pending::<()>().await;
        }
        if self.network.chance(self.network.faults.borrow().lost) {
            std::future::pending::<()>().await;
        }
        Ok(target)
    }

    async fn exchange(
        &self,
        to: &HostIdentity,
        message: PeerMessage,
    ) -> Result<PeerReply, PeerError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let target = self.reach_host(to).await?;
        if matches!(message, PeerMessage::Commit(_)) && self.network.faults.borrow().no_appenders {
            return Err(PeerError::NotReached {
                host: to.clone(),
                cause: "no appender is reachable".into(),
            });
        }
        let envelope = MessageEnvelope {
            from: self.identity.clone(),
            to: to.clone(),
            number,
            stamp: number,
            body: postcard::to_stdvec(&message).unwrap_or_default(),
        };
        if self.network.chance(self.network.faults.borrow().duplicates) {
            let (target, from, message) =
                (Arc::clone(&target), self.identity.clone(), message.clone());
            tokio::spawn(async move {
                tokio::time::sleep(DUPLICATE_DELAY).await;
                // The reply to a duplicate is discarded.
                drop(target.deliver(from, number, message));
            });
        }
        let reply = target
            .clone()
            .deliver(self.identity.clone(), number, message)
            .await;
        if let Ok(reply) = &reply {
            self.network.count(&envelope, reply);
        }
        let lost = self
            .network
            .chance(self.network.faults.borrow().lost_replies);
        self.network.delay().await;
        match reply {
            Ok(reply) if !lost && !self.network.is_partitioned(&self.domain, &target.domain) => {
                Ok(reply)
            }
            _ => std::future::pending().await,
        }
    }

    fn no_reply(&self, to: &HostIdentity) -> PeerError {
        PeerError::NoReply {
            host: to.clone(),
            cause: format!("{} received no reply in time", self.identity).into(),
        }
    }
}

impl AttachedHost {
    /// Delivers a message in a separate task, so that it is processed even if the sender stops waiting.
    fn deliver(
        self: Arc<Self>,
        from: HostIdentity,
        number: u64,
        message: PeerMessage,
    ) -> oneshot::Receiver<PeerReply> {
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            self.control.wait_running().await;
            if !lock(&self.received).insert(&from, number) {
                return;
            }
            let reply = self.handler.handle(from, message).await;
            self.control.wait_running().await;
            // The sender may have stopped waiting.
            let _ = sender.send(reply);
        });
        receiver
    }
}

#[async_trait]
impl PeerLink for MemoryLink {
    async fn call(&self, to: &PeerTarget, message: PeerMessage) -> Result<PeerReply, PeerError> {
        self.control.wait_running().await;
        let exchange = self.exchange(&to.host, message);
        let reply = tokio::time::timeout(REPLY_TIMEOUT, exchange).await;
        self.control.wait_running().await;
        reply.unwrap_or_else(|_| Err(self.no_reply(&to.host)))
    }

    async fn open(
        &self,
        to: &PeerTarget,
        request: StreamRequest,
    ) -> Result<FrameStream, PeerError> {
        self.control.wait_running().await;
        let reached = tokio::time::timeout(REPLY_TIMEOUT, self.reach_host(&to.host)).await;
        let target = reached.unwrap_or_else(|_| Err(self.no_reply(&to.host)))?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let stream = LinkStream {
            network: Arc::clone(&self.network),
            initiator: (Arc::clone(&self.domain), self.control.clone()),
            stalls: self.network.chance(500),
            target,
        };
        tokio::spawn(stream.run(request, sender));
        Ok(UnboundedReceiverStream::new(receiver).boxed())
    }
}

/// One stream between two hosts.
struct LinkStream {
    network: Arc<MemoryNetwork>,
    initiator: (Arc<str>, HostControl),
    stalls: bool,
    target: Arc<AttachedHost>,
}

impl LinkStream {
    async fn run(self, request: StreamRequest, sender: mpsc::UnboundedSender<StreamFrame>) {
        let initiator = self.initiator.1.clone();
        let target = Arc::clone(&self.target);
        tokio::select! {
            biased;
            () = initiator.wait_killed() => {}
            () = target.control.wait_killed() => {}
            () = sender.closed() => {}
            () = self.wait_broken() => {}
            () = self.forward(request, &sender) => {}
        }
    }

    async fn forward(&self, request: StreamRequest, sender: &mpsc::UnboundedSender<StreamFrame>) {
        self.target.control.wait_running().await;
        let mut frames = self.target.handler.serve(request).await;
        while let Some(frame) = frames.next().await {
            self.target.control.wait_running().await;
            self.wait_connected().await;
            self.network.delay().await;
            self.initiator.1.wait_running().await;
            if sender.send(frame).is_err() {
                return;
            }
        }
    }

    /// Waits until a partition ends the stream; never returns for a stream that stalls instead.
    async fn wait_broken(&self) {
        if self.stalls {
            return std::future::pending().await;
        }
        let mut faults = self.network.faults.subscribe();
        // The network holds the sender, so the wait cannot fail.
        let _ = faults
            .wait_for(|faults| is_partitioned(faults, &self.initiator.0, &self.target.domain))
            .await;
    }

    async fn wait_connected(&self) {
        let mut faults = self.network.faults.subscribe();
        // The network holds the sender, so the wait cannot fail.
        let _ = faults
            .wait_for(|faults| !is_partitioned(faults, &self.initiator.0, &self.target.domain))
            .await;
    }
}
