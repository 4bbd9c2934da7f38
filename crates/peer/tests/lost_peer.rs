//! Requests to a host whose process ends before it replies.

use async_trait::async_trait;
use fulmarswitch_peer::message::HeartbeatMessage;
use fulmarswitch_peer::nng_link::{NngSender, listen, spawn_workers};
use fulmarswitch_peer::{
    FrameStream, PeerError, PeerHandler, PeerMessage, PeerReply, PeerTarget, StreamRequest,
};
use fulmarswitch_ports::claim_address;
use fulmarswitch_records::{HostIdentity, LogicalClock, Offset};
use std::sync::Arc;
use tokio::sync::Notify;

/// Receives messages and never replies.
struct SilentHandler {
    received: Arc<Notify>,
}

#[async_trait]
impl PeerHandler for SilentHandler {
    async fn handle(&self, _from: HostIdentity, _message: PeerMessage) -> PeerReply {
        self.received.notify_one();
        std::future::pending().await
    }

    async fn serve(&self, _request: StreamRequest) -> FrameStream {
        std::future::pending().await
    }
}

fn host(name: &str) -> HostIdentity {
    HostIdentity {
        name: name.into(),
        incarnation: 1,
    }
}

fn claimed_address() -> Arc<str> {
    let address = claim_address().expect("a port is free");
    address.to_string().into()
}

/// nng keeps a request to a lost host and redials. Without a check whether the receiver still listens, the
/// sender would wait for its whole reply timeout.
#[test]
fn request_to_ended_process_fails_before_its_timeout() {
    let start = || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime starts")
    };
    let (sender_runtime, peer_runtime) = (start(), start());
    let address = claimed_address();
    let received = Arc::new(Notify::new());
    let handler: Arc<dyn PeerHandler> = Arc::new(SilentHandler {
        received: Arc::clone(&received),
    });
    peer_runtime.block_on(async {
        let socket = listen(&address).await.expect("the address is free");
        spawn_workers(&socket, &host("b"), &LogicalClock::new(), &handler);
    });
    let error = sender_runtime.block_on(async {
        let sender = NngSender::new(host("a"), LogicalClock::new());
        let target = PeerTarget {
            host: host("b"),
            message_address: Arc::clone(&address),
            stream_address: Arc::clone(&address),
        };
        let heartbeat = HeartbeatMessage {
            hosts_read: Offset(0),
            config_read: Offset(0),
        };
        let call = tokio::spawn(async move {
            sender
                .call(&target, &PeerMessage::Heartbeat(heartbeat))
                .await
        });
        received.notified().await;
        peer_runtime.shutdown_background();
        call.await
            .expect("the call ends")
            .expect_err("nobody answers")
    });
    let expected = PeerError::NoReply {
        host: host("b"),
        cause: "its process has ended".into(),
    };
    assert_eq!(error, expected);
}
