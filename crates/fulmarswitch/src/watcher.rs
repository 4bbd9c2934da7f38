//! Joins, heartbeats and suspicion.
//!
//! A host sends heartbeats to a few neighbours on a ring of the live hosts and reports to the `hosts`
//! stream those that stay silent. So the messages a host sends do not grow with the fleet.

use crate::fleet::FleetBooks;
use crate::parts::{HostParts, lock};
use fulmarswitch_decide::hosts::HostPhase;
use fulmarswitch_decide::placement::weight;
use fulmarswitch_decide::shard::RecordVerdict;
use fulmarswitch_peer::message::HeartbeatNote;
use fulmarswitch_peer::{PeerMessage, PeerTarget};
use fulmarswitch_platform::LogService;
use fulmarswitch_records::record::{HostJoin, HostSuspicion};
use fulmarswitch_records::{
    Epoch, HostIdentity, Offset, RecordBody, ShardIndex, SortedIndex, decode_frame,
};
use snafu::Snafu;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Entries of the `hosts` stream read at once when a host starts.
const START_PAGE: usize = 1_024;
/// Pause before the log is asked again when a host starts.
const START_PAUSE: Duration = Duration::from_millis(200);
/// Time between looks at the platform's list.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Errors of joining.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JoinError {
    /// Another process joined as the same run of the same host.
    #[snafu(display("another process joined as {host}; give each host a name of its own"))]
    NameTaken {
        /// The run.
        host: HostIdentity,
    },
    /// A live host splits keys and jobs otherwise.
    #[snafu(display(
        "host {other} has {shards} shards in {groups} groups; set [layout] to the same here"
    ))]
    OtherLayout {
        /// The other host.
        other: Arc<str>,
        /// Its shards.
        shards: u16,
        /// Its groups.
        groups: u16,
    },
}

/// Finds the number of this run of a host: one more than the log knows. Waits until the log answers.
pub async fn next_incarnation(log: &dyn LogService, name: &str) -> u64 {
    let mut from = Offset(0);
    let mut newest = 0;
    loop {
        let Ok(page) = log.read("hosts", from, START_PAGE, Duration::ZERO).await else {
            tokio::time::sleep(START_PAUSE).await;
            continue;
        };
        for entry in &page.entries {
            from = entry.offset.next();
            for record in decode_frame(&entry.data).unwrap_or_default() {
                if let RecordBody::HostJoin(join) = record.body
                    && *join.host.name == *name
                {
                    newest = newest.max(join.host.incarnation);
                }
            }
        }
        from = from.max(page.oldest);
        if from >= page.head {
            return newest + 1;
        }
    }
}

/// What a host last heard from a neighbour.
#[derive(Clone, Copy, Debug)]
struct HeardNeighbour {
    at: Instant,
    config_read: Offset,
}

/// Joins, heartbeats and suspicion on one host.
pub struct HostWatcher {
    parts: HostParts,
    fleet: Arc<FleetBooks>,
    heard: Mutex<SortedIndex<HostIdentity, HeardNeighbour>>,
    answered: Mutex<SortedIndex<HostIdentity, Instant>>,
}

impl HostWatcher {
    /// Creates the watcher.
    #[must_use]
    pub fn new(parts: &HostParts, fleet: &Arc<FleetBooks>) -> Arc<Self> {
        Arc::new(Self {
            parts: parts.clone(),
            fleet: Arc::clone(fleet),
            heard: Mutex::default(),
            answered: Mutex::default(),
        })
    }

    /// Joins the fleet.
    ///
    /// # Errors
    /// [`JoinError`] when the name is taken or the layout differs from a live host's.
    pub async fn join(&self) -> Result<(), JoinError> {
        let mut status = self.fleet.hosts.status();
        // The sender lives as long as the book, so the wait cannot fail.
        let _ = status.wait_for(|status| status.caught_up).await;
        self.check_layout()?;
        match self.append_join().await {
            Some(RecordVerdict::Valid) => Ok(()),
            _ => NameTakenSnafu {
                host: self.parts.identity.clone(),
            }
            .fail(),
        }
    }

    /// Says that the host is leaving, and waits until the log has it.
    pub async fn leave(&self) {
        let body = RecordBody::HostLeave(self.parts.identity.clone());
        self.append(body).await;
    }

    /// Repeats the join, so that the log goes on keeping it. Not done once the host is leaving.
    pub async fn renew_join(&self) {
        let view = self.fleet.view();
        let live = view
            .hosts
            .get(&self.parts.identity.name)
            .is_some_and(|entry| {
                entry.join.host == self.parts.identity && entry.phase == HostPhase::Live
            });
        if live {
            self.append_join().await;
        }
    }

    /// Notes a neighbour's sign of life.
    pub fn hear(&self, from: &HostIdentity, note: &HeartbeatNote) {
        let heard = HeardNeighbour {
            at: Instant::now(),
            config_read: note.config_read,
        };
        lock(&self.heard).insert(from.clone(), heard);
    }

    /// Returns the configuration offset that a host was last heard to have applied.
    #[must_use]
    pub fn config_read(&self, host: &HostIdentity) -> Option<Offset> {
        if *host == self.parts.identity {
            return Some(self.fleet.config.status().borrow().next);
        }
        let heard = lock(&self.heard);
        let fresh =
            |heard: &&HeardNeighbour| heard.at.elapsed() < self.parts.settings.tuning.suspect();
        heard.get(host).filter(fresh).map(|heard| heard.config_read)
    }

    /// Sends heartbeats and reports silent neighbours, for as long as the runtime lives.
    pub async fn run_heartbeats(self: Arc<Self>) {
        let tuning = &self.parts.settings.tuning;
        let mut last = Instant::now();
        loop {
            tokio::time::sleep(tuning.heartbeat()).await;
            if last.elapsed() > tuning.heartbeat() * 3 {
                // This host itself was paused; its neighbours' silence says nothing.
                lock(&self.answered).retain(|_, _| false);
            }
            last = Instant::now();
            let neighbours = self.neighbours();
            let watched =
                |host: &HostIdentity| neighbours.iter().any(|target| target.host == *host);
            lock(&self.answered).retain(|host, _| watched(host));
            for target in neighbours {
                tokio::spawn(Arc::clone(&self).beat(target));
            }
            self.rejoin_if_down().await;
        }
    }

    /// Follows the platform's list; returns once the list says that this host is leaving.
    pub async fn wait_listed_leaving(&self) {
        loop {
            tokio::time::sleep(LIST_PERIOD).await;
            let Ok(hosts) = self.parts.list.hosts().await else {
                continue;
            };
            if hosts
                .iter()
                .any(|host| host.leaving && host.name == self.parts.identity.name)
            {
                return;
            }
        }
    }

    async fn beat(self: Arc<Self>, target: PeerTarget) {
        let note = HeartbeatNote {
            hosts_read: self.fleet.hosts.status().borrow().next,
            config_read: self.fleet.config.status().borrow().next,
        };
        let limit = self.parts.settings.tuning.heartbeat() * 2;
        self.parts.metrics.peer_messages.inc();
        let call = self.parts.link.call(&target, PeerMessage::Heartbeat(note));
        let answered = matches!(tokio::time::timeout(limit, call).await, Ok(Ok(_)));
        let silent = {
            let mut answers = lock(&self.answered);
            let now = Instant::now();
            match answers.get_mut(&target.host) {
                Some(at) if answered => {
                    *at = now;
                    false
                }
                Some(at) => at.elapsed() >= self.parts.settings.tuning.suspect(),
                None => {
                    answers.insert(target.host.clone(), now);
                    false
                }
            }
        };
        if silent {
            self.report_silent(&target.host).await;
        }
    }

    async fn report_silent(&self, host: &HostIdentity) {
        let reporter = &self.parts.identity.name;
        let view = self.fleet.view();
        let known = view.hosts.get(&host.name).is_some_and(|entry| {
            entry.phase != HostPhase::Down && !entry.reporters.contains(reporter)
        });
        if !known {
            return;
        }
        self.parts
            .events
            .note("suspect", &host.to_string(), "the neighbour is silent");
        let suspicion = HostSuspicion {
            host: host.clone(),
            reporter: Arc::clone(reporter),
        };
        self.append(RecordBody::HostDown(suspicion)).await;
    }

    /// Returns the hosts behind this one on the ring; leaving hosts are watched until they are gone.
    fn neighbours(&self) -> Vec<PeerTarget> {
        let view = self.fleet.view();
        let place = |host: &HostIdentity| weight(&host.name, "ring");
        let mut ring: Vec<(u64, PeerTarget)> = view
            .hosts
            .all()
            .filter(|entry| entry.phase != HostPhase::Down)
            .filter_map(|entry| view.target(&entry.join.host))
            .filter(|target| target.host != self.parts.identity)
            .map(|target| (place(&target.host), target))
            .collect();
        ring.sort_by_key(|(place, _)| *place);
        let mine = place(&self.parts.identity);
        let first = ring.partition_point(|(place, _)| *place < mine);
        ring.rotate_left(first);
        let count = self.parts.settings.tuning.neighbours;
        ring.into_iter()
            .take(count)
            .map(|(_, target)| target)
            .collect()
    }

    async fn rejoin_if_down(&self) {
        let view = self.fleet.view();
        let entry = view.hosts.get(&self.parts.identity.name);
        let down = entry.is_some_and(|entry| {
            entry.join.host == self.parts.identity && entry.phase == HostPhase::Down
        });
        if down {
            self.parts
                .events
                .note("rejoin", &self.parts.identity.to_string(), "it is not lost");
            self.append_join().await;
        }
    }

    fn check_layout(&self) -> Result<(), JoinError> {
        let layout = &self.parts.settings.layout;
        let view = self.fleet.view();
        for entry in view.hosts.live() {
            let join = &entry.join;
            if (join.shards, join.groups) != (layout.shards, layout.groups) {
                let other = Arc::clone(&join.host.name);
                let (shards, groups) = (join.shards, join.groups);
                return OtherLayoutSnafu {
                    other,
                    shards,
                    groups,
                }
                .fail();
            }
        }
        Ok(())
    }

    async fn append_join(&self) -> Option<RecordVerdict> {
        let settings = &self.parts.settings;
        let join = HostJoin {
            host: self.parts.identity.clone(),
            failure_domain: Arc::clone(&settings.failure_domain),
            caller_address: Arc::clone(&settings.caller_address),
            message_address: Arc::clone(&settings.message_address),
            stream_address: Arc::clone(&settings.stream_address),
            shards: settings.layout.shards,
            groups: settings.layout.groups,
        };
        self.append(RecordBody::HostJoin(join)).await
    }

    async fn append(&self, body: RecordBody) -> Option<RecordVerdict> {
        let receiver = self
            .fleet
            .hosts
            .append(ShardIndex(0), Epoch(0), body)
            .ok()?;
        receiver.await.ok().map(|appended| appended.verdict)
    }
}
