//! Copies the origins of streams to other hosts, and asks them for the origin of a stream that a caller takes up.

use crate::gossip::send_origin_message;
use crate::members::{HostDescriptor, highest_ranked};
use crate::node::SwitchNode;
use crate::origins::{StreamKey, StreamOrigin, VersionKey};
use crate::route::ServiceRoute;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Number of hosts that an origin is copied to. With half of all hosts lost at once, one in a hundred is lost.
const COPIES: usize = 6;
/// Number of hosts that are asked for an origin. It exceeds the number of copies, which went to the hosts that were live
/// when the stream began; another host does not know which these were.
const ASKED_HOSTS: usize = 16;
/// Number of times that hosts are asked, as datagrams may be lost.
const ASK_ROUNDS: u32 = 2;
/// Wait for a response in each round: several round trips between regions.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);

/// Message about the origin of a stream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum OriginMessage {
    /// The sender knows the origin.
    Known(StreamOrigin),
    /// The sender asks for the origin of a stream.
    Wanted(StreamKey),
}

impl SwitchNode {
    /// Records the origin of a stream here and at other hosts.
    pub(crate) fn record_origin(&self, origin: StreamOrigin) {
        let now = Instant::now();
        let targets = {
            let mut state = self.lock();
            state.origins.record(origin, now);
            let hosts = state.members.live(now);
            addresses(&highest_ranked(hosts, origin.stream.hash(), COPIES))
        };
        send_origin_message(self, OriginMessage::Known(origin), &targets);
    }

    /// Finds the version that began the stream of the request `resumes`, asking other hosts if this one does not know
    /// it. `None` if it cannot be told.
    pub(crate) async fn find_origin(
        &self,
        resumes: Option<&str>,
        route: &ServiceRoute,
    ) -> Option<VersionKey> {
        let services: Vec<&str> = route.services().map(|service| &**service).collect();
        let stream = resumes.map(StreamKey::of);
        if let Some(known) = stream.and_then(|stream| self.lock().origins.version_of(stream)) {
            return Some(known);
        }
        let now = Instant::now();
        let (sole_version, is_current) = {
            let endpoints = &self.lock().endpoints;
            (
                endpoints.sole_version(&services, now),
                endpoints.is_current(now),
            )
        };
        let Some(stream) = stream else {
            return sole_version;
        };
        if sole_version.is_some() && is_current {
            return sole_version;
        }
        self.ask_origin(stream).await.or(sole_version)
    }

    /// Asks other hosts for the origin of a stream.
    async fn ask_origin(&self, stream: StreamKey) -> Option<VersionKey> {
        let targets = {
            let state = self.lock();
            let hosts = state.members.all();
            addresses(&highest_ranked(hosts, stream.hash(), ASKED_HOSTS))
        };
        for _ in 0..ASK_ROUNDS {
            send_origin_message(self, OriginMessage::Wanted(stream), &targets);
            let response = timeout(ASK_TIMEOUT, self.received_origin(stream)).await;
            if let Ok(version) = response {
                return Some(version);
            }
        }
        None
    }

    /// Waits until the origin of a stream is known here.
    async fn received_origin(&self, stream: StreamKey) -> VersionKey {
        loop {
            let received = self.origin_received.notified();
            if let Some(version) = self.lock().origins.version_of(stream) {
                return version;
            }
            received.await;
        }
    }

    /// Handles a message of the host at `from`.
    pub(crate) fn handle_origin_message(&self, message: OriginMessage, from: SocketAddr) {
        match message {
            OriginMessage::Known(origin) => {
                self.lock().origins.record(origin, Instant::now());
                self.origin_received.notify_waiters();
            }
            OriginMessage::Wanted(stream) => {
                let known = self.lock().origins.version_of(stream);
                if let Some(version) = known {
                    let origin = StreamOrigin { stream, version };
                    send_origin_message(self, OriginMessage::Known(origin), &[from]);
                }
            }
        }
    }
}

fn addresses(hosts: &[&HostDescriptor]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.peer_address).collect()
}
