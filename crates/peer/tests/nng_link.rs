//! nng resends requests by itself. No handler may handle one twice or in another incarnation.

use anng::Message;
use anng::protocols::reqrep0::Req0;
use async_trait::async_trait;
use fulmarswitch_peer::envelope::{DeliveryResult, MessageEnvelope, ReplyEnvelope};
use fulmarswitch_peer::message::{HeartbeatMessage, PeerMessage, PeerReply, StreamRequest};
use fulmarswitch_peer::nng_link::{NngSender, listen, spawn_workers};
use fulmarswitch_peer::{FrameStream, PeerError, PeerHandler, PeerTarget};
use fulmarswitch_ports::claim_address;
use fulmarswitch_records::{HostIdentity, LogicalClock, Offset};
use futures::StreamExt;
use std::ffi::CString;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Timeout of an exchange, long enough for a busy machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Counts the messages that it handles.
#[derive(Default)]
struct CountingHandler {
    handled: AtomicU32,
}

#[async_trait]
impl PeerHandler for CountingHandler {
    async fn handle(&self, _from: HostIdentity, _message: PeerMessage) -> PeerReply {
        self.handled.fetch_add(1, Ordering::Relaxed);
        PeerReply::Accepted
    }

    async fn serve(&self, _request: StreamRequest) -> FrameStream {
        futures::stream::empty().boxed()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn message_resent_by_nng_is_refused_by_next_incarnation() {
    let address = claimed_address();
    // The first incarnation receives the message and is gone before it replies.
    let first = listen(&address).await.expect("the port is free");
    let sender = Arc::new(NngSender::new(host("sender", 1), LogicalClock::new()));
    let target = target(&address, 1);
    let call = tokio::spawn({
        let (sender, target) = (Arc::clone(&sender), target.clone());
        async move { sender.call(&target, &heartbeat()).await }
    });
    {
        let mut context = first.context();
        let received = tokio::time::timeout(EXCHANGE_TIMEOUT, context.receive()).await;
        drop(received.expect("the message arrives"));
    }
    drop(first);
    let handler = Arc::new(CountingHandler::default());
    serve(&address, 2, &handler).await;
    let result = tokio::time::timeout(EXCHANGE_TIMEOUT, call).await;
    let result = result.expect("the call ends").expect("without a panic");
    // Only a reply of the next incarnation leads to this error, so nng has resent the message to it.
    assert!(
        matches!(&result, Err(PeerError::NotReached { .. })),
        "{result:?}"
    );
    assert_eq!(handler.handled.load(Ordering::Relaxed), 0);
    // The same sender reaches the new incarnation once it addresses it.
    let target = PeerTarget {
        host: host("receiver", 2),
        ..target
    };
    let result = sender.call(&target, &heartbeat()).await;
    assert_eq!(result, Ok(PeerReply::Accepted));
    assert_eq!(handler.handled.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_within_one_incarnation_is_dropped() {
    let address = claimed_address();
    let handler = Arc::new(CountingHandler::default());
    serve(&address, 1, &handler).await;
    let envelope = MessageEnvelope {
        from: host("sender", 1),
        to: host("receiver", 1),
        number: 7,
        stamp: 1,
        body: postcard::to_stdvec(&heartbeat()).expect("encodable"),
    };
    let first = exchange(&address, &envelope).await;
    assert_eq!(first, DeliveryResult::Reply(PeerReply::Accepted));
    let second = exchange(&address, &envelope).await;
    assert_eq!(second, DeliveryResult::Duplicate);
    let other_incarnation = MessageEnvelope {
        to: host("receiver", 2),
        number: 8,
        ..envelope
    };
    let third = exchange(&address, &other_incarnation).await;
    assert_eq!(third, DeliveryResult::WrongIncarnation);
    assert_eq!(handler.handled.load(Ordering::Relaxed), 1);
}

async fn serve(address: &str, incarnation: u64, handler: &Arc<CountingHandler>) {
    let deadline = tokio::time::Instant::now() + EXCHANGE_TIMEOUT;
    let socket = loop {
        match listen(address).await {
            Ok(socket) => break socket,
            // The port of the previous incarnation is released slightly later than its socket.
            Err(error) => assert!(tokio::time::Instant::now() < deadline, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let handler: Arc<dyn PeerHandler> = Arc::clone(handler) as Arc<dyn PeerHandler>;
    let identity = host("receiver", incarnation);
    spawn_workers(&socket, &identity, &LogicalClock::new(), &handler);
}

async fn exchange(address: &str, envelope: &MessageEnvelope) -> DeliveryResult {
    let url = CString::new(format!("tcp://{address}")).expect("no zero byte");
    let socket = Req0::dial(url).await.expect("the receiver listens");
    let bytes = postcard::to_stdvec(envelope).expect("encodable");
    let mut context = socket.context();
    let pending_reply = context.request(Message::from(&bytes[..])).await;
    let pending_reply = pending_reply.map_err(|(error, _)| error).expect("sent");
    let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, pending_reply).await;
    let reply = reply.expect("in time").expect("answered");
    let reply: ReplyEnvelope = postcard::from_bytes(reply.as_slice()).expect("decodable");
    reply.result
}

fn host(name: &str, incarnation: u64) -> HostIdentity {
    HostIdentity {
        name: name.into(),
        incarnation,
    }
}

fn target(address: &str, incarnation: u64) -> PeerTarget {
    PeerTarget {
        host: host("receiver", incarnation),
        message_address: address.into(),
        stream_address: address.into(),
    }
}

fn heartbeat() -> PeerMessage {
    PeerMessage::Heartbeat(HeartbeatMessage {
        hosts_read: Offset(1),
        config_read: Offset(1),
    })
}

fn claimed_address() -> String {
    claim_address().expect("a port is free").to_string()
}
