//! Copies the origins of streams to other hosts, and asks them for the origin of a stream that a caller takes up.

use crate::gossip::send_origin_message;
use crate::members::{HostDescriptor, highest_ranked};
use crate::node::{SwitchNode, SwitchState};
use crate::origins::{RETENTION, StreamKey, StreamOrigin, VersionKey};
use crate::route::ServiceRoute;
use crate::versions::origin_log::{read_origins, writer_of};
use serde::{Deserialize, Serialize};
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Number of hosts that an origin is copied to. With half of all hosts lost at once, one in a hundred is lost.
const COPIES: usize = 6;
/// Number of hosts that are asked for an origin. It exceeds the number of copies, which went to the hosts that were live
/// when the stream began; another host does not know which these were.
const ASKED_HOSTS: usize = 16;
/// Number of times that hosts are asked, as datagrams may be lost.
const ASK_ROUNDS: u32 = 2;
/// Wait for a response in each round: several round trips between regions.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// Time in which a host that knows an origin mostly answers: a few round trips within a region.
const ANSWER_TIME: Duration = Duration::from_millis(25);
/// Time in which the listings must be read for a caller that takes a stream up.
const LISTINGS_TIMEOUT: Duration = Duration::from_millis(200);

/// Message about the origin of a stream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum OriginMessage {
    /// The sender knows the origin.
    Known(StreamOrigin),
    /// The sender asks for the origin of a stream.
    Wanted(StreamKey),
    /// The receiver is to write the origin to the log.
    Store(StreamOrigin),
}

impl SwitchNode {
    /// Records the origin of a stream of these services here and at other hosts, and in the log if their versions do not tell it.
    pub(crate) fn record_origin(&self, origin: StreamOrigin, route: &ServiceRoute) {
        let now = Instant::now();
        let services = service_names(route);
        let (targets, writer) = {
            let state = &mut *self.lock();
            state.origins.record(origin, now);
            let hosts = state.members.live(now);
            let targets = addresses(&highest_ranked(hosts, origin.stream.hash(), COPIES));
            let is_stored = state.sole_version(&services, now).is_none();
            let writer = is_stored.then(|| self.find_writer(state, &origin, now));
            (targets, writer.flatten())
        };
        send_origin_message(self, OriginMessage::Known(origin), &targets);
        if let Some(writer) = writer {
            send_origin_message(self, OriginMessage::Store(origin), &[writer]);
        }
    }

    /// Address of the host that writes an origin to the log. `None` if it is this one, which has queued it.
    fn find_writer(
        &self,
        state: &mut SwitchState,
        origin: &StreamOrigin,
        now: Instant,
    ) -> Option<SocketAddr> {
        let own = &*self.settings.descriptor.name;
        let writer = writer_of(&state.members, origin, own, now);
        let address = state.members.peer_address(writer);
        if address.is_none() {
            state.queue_origin(*origin);
            self.origins_queued.notify_one();
        }
        address
    }

    /// Finds the version that began the stream of the request `resumes`, asking other hosts if this one does not know
    /// it. `None` if it cannot be told.
    pub(crate) async fn find_origin(
        &self,
        resumes: Option<&str>,
        route: &ServiceRoute,
    ) -> Option<VersionKey> {
        let services = service_names(route);
        let stream = resumes.map(StreamKey::of);
        if let Some(known) = stream.and_then(|stream| self.lock().origins.version_of(stream)) {
            return Some(known);
        }
        let Some(stream) = stream else {
            return self.current_sole_version(&services).await;
        };
        let now = Instant::now();
        let (seems_sole, has_watched) = {
            let state = self.lock();
            let has_watched = state.endpoints.watched_for(now) >= RETENTION;
            (state.sole_version(&services, now).is_some(), has_watched)
        };
        // All hosts may have started when this one did, and know no more.
        if !seems_sole
            && !has_watched
            && let Some(stored) = self.stored_origin(stream).await
        {
            return Some(stored);
        }
        let asked = async {
            match self.ask_origin(stream).await {
                Some(known) => known,
                None => pending().await,
            }
        };
        let limit = sleep(ASK_TIMEOUT * ASK_ROUNDS);
        let concluded = async {
            if seems_sole {
                // Mostly a host answers before that.
                sleep(ANSWER_TIME).await;
                if let Some(version) = self.current_sole_version(&services).await {
                    return version;
                }
            }
            pending().await
        };
        let found = tokio::select! {
            known = asked => Some(known),
            version = concluded => Some(version),
            () = limit => None,
        };
        if found.is_some() || (!seems_sole && !has_watched) {
            return found;
        }
        self.stored_origin(stream).await
    }

    /// The version of all endpoints of these services that can have begun a stream which is taken up now. The listings are read
    /// first: an endpoint of another version, which this host has not seen yet, may have begun the stream at another host.
    async fn current_sole_version(&self, services: &[&str]) -> Option<VersionKey> {
        if !self.read_listings(LISTINGS_TIMEOUT).await {
            return None;
        }
        self.lock().sole_version(services, Instant::now())
    }

    /// The origin of a stream in the log.
    async fn stored_origin(&self, stream: StreamKey) -> Option<VersionKey> {
        read_origins(self).await;
        self.lock().origins.version_of(stream)
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
            OriginMessage::Store(origin) => {
                self.lock().queue_origin(origin);
                self.origins_queued.notify_one();
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

fn service_names(route: &ServiceRoute) -> Vec<&str> {
    route.services().map(|service| &**service).collect()
}

fn addresses(hosts: &[&HostDescriptor]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.peer_address).collect()
}
