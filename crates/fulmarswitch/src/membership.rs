//! Membership: joins, heartbeats and failure suspicions.
//!
//! A host sends heartbeats to a few neighbours on a ring of the live hosts, which
//! [`fulmarswitch_decide::neighbours`] chooses, so the number of messages per host does not grow with the
//! fleet. Neighbours that [`fulmarswitch_decide::detector`] suspects are reported to the `hosts` stream.

use crate::context::{HostContext, lock};
use crate::fleet::FleetState;
use fulmarswitch_decide::detector::{FailureDetector, FixedDetector, HeartbeatIndex};
use fulmarswitch_decide::hosts::{HostPhase, REPORT_TTL_MS};
use fulmarswitch_decide::neighbours::{RingHost, watched_by};
use fulmarswitch_decide::placement::weight;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_peer::message::HeartbeatMessage;
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

/// Maximum number of entries of the `hosts` stream in one read at startup.
const STARTUP_PAGE_ENTRIES: usize = 1_024;
/// Delay before a failed read of the log is repeated at startup.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the platform's list of hosts is read.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which neighbours are checked for due heartbeats and for suspicion.
const MONITOR_INTERVAL: Duration = Duration::from_millis(20);
/// A check that is late by more than this shows that this process itself was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// Timeout of the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the report of a suspected neighbour is repeated.
const REPORT_INTERVAL: Duration = Duration::from_millis(REPORT_TTL_MS / 2);

/// Reasons why a host cannot join the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JoinError {
    /// Another process joined with the same host name and incarnation.
    #[snafu(display("another process joined as {host}; give each host a name of its own"))]
    NameTaken {
        /// Name and incarnation that are in use.
        host: HostIdentity,
    },
    /// A live host has other numbers of shards or groups.
    #[snafu(display(
        "host {other} has {shards} shards in {groups} groups; set [layout] to the same here"
    ))]
    LayoutMismatch {
        /// Name of the other host.
        other: Arc<str>,
        /// Number of shards of the other host.
        shards: u16,
        /// Number of groups of the other host.
        groups: u16,
    },
}

/// Returns the incarnation for a starting host: one more than the highest in the log. Waits until the log
/// is available.
pub async fn next_incarnation(log: &dyn LogService, name: &str) -> u64 {
    let mut from = Offset(0);
    let mut newest = 0;
    loop {
        let Ok(page) = log
            .read("hosts", from, STARTUP_PAGE_ENTRIES, Duration::ZERO)
            .await
        else {
            tokio::time::sleep(STARTUP_RETRY_INTERVAL).await;
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

/// The last heartbeat received from a neighbour.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    received_at: Instant,
    config_read: Offset,
}

/// A neighbour that this host sends heartbeats to.
struct MonitoredNeighbour {
    detector: Box<dyn FailureDetector>,
    next_index: u64,
    next_send: Instant,
    reported_at: Option<Instant>,
    /// Whether a report is being written to the log.
    report_pending: bool,
}

impl MonitoredNeighbour {
    /// Returns the index of the heartbeat to send, or `None` if none is due.
    fn next_heartbeat(&mut self, now: Instant, time: Duration) -> Option<HeartbeatIndex> {
        if now < self.next_send {
            return None;
        }
        let index = HeartbeatIndex(self.next_index);
        self.next_index += 1;
        self.next_send = now + self.detector.period();
        self.detector.record_sent(time, index);
        Some(index)
    }

    /// Returns whether the neighbour must be reported now, and if so marks the report as pending.
    fn start_report(&mut self, now: Instant, time: Duration) -> bool {
        self.detector.poll(time);
        let recent = |at: Instant| now - at < REPORT_INTERVAL;
        let done = self.report_pending || self.reported_at.is_some_and(recent);
        if !self.detector.is_suspected() || done {
            return false;
        }
        self.report_pending = true;
        self.reported_at = Some(now);
        true
    }
}

/// The neighbours of a host, computed from one version of the host table.
#[derive(Default)]
struct NeighbourSet {
    version: Option<u64>,
    targets: Vec<PeerTarget>,
}

/// Membership of one host: its joins, its heartbeats and the failures it reports.
pub struct Membership {
    context: HostContext,
    fleet: Arc<FleetState>,
    last_heartbeats: Mutex<SortedIndex<HostIdentity, LastHeartbeat>>,
    monitored: Mutex<SortedIndex<HostIdentity, MonitoredNeighbour>>,
}

impl Membership {
    /// Creates the role; the host is not a member before [`Self::join`].
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            last_heartbeats: Mutex::default(),
            monitored: Mutex::default(),
        })
    }

    /// Joins the fleet and returns once the join is in the log.
    ///
    /// # Errors
    /// [`JoinError`] when the name is in use or the layout differs from a live host's.
    pub async fn join(&self) -> Result<(), JoinError> {
        let mut status = self.fleet.hosts.status();
        // The sender lives as long as the replica, so the wait cannot fail.
        let _ = status.wait_for(|status| status.caught_up).await;
        self.check_layout()?;
        match self.append_join().await {
            Some(ApplyResult::Applied) => Ok(()),
            _ => NameTakenSnafu {
                host: self.context.identity.clone(),
            }
            .fail(),
        }
    }

    /// Announces that the host is leaving, and returns once the announcement is in the log.
    pub async fn leave(&self) {
        let body = RecordBody::HostLeave(self.context.identity.clone());
        self.append(body).await;
    }

    /// Repeats the join so that it outlives the log's retention. Does nothing once the host is leaving.
    pub async fn renew_join(&self) {
        let view = self.fleet.view();
        let live = view
            .hosts
            .get(&self.context.identity.name)
            .is_some_and(|entry| {
                entry.join.host == self.context.identity && entry.phase == HostPhase::Live
            });
        if live {
            self.append_join().await;
        }
    }

    /// Records a heartbeat received from another host.
    pub fn record_heartbeat(&self, from: &HostIdentity, message: &HeartbeatMessage) {
        let heartbeat = LastHeartbeat {
            received_at: Instant::now(),
            config_read: message.config_read,
        };
        lock(&self.last_heartbeats).insert(from.clone(), heartbeat);
    }

    /// Returns the next offset of the `config` stream that a host has yet to read, according to its last
    /// heartbeat; `None` without a heartbeat within the suspect timeout.
    #[must_use]
    pub fn config_read(&self, host: &HostIdentity) -> Option<Offset> {
        if *host == self.context.identity {
            return Some(self.fleet.config.status().borrow().next);
        }
        let last_heartbeats = lock(&self.last_heartbeats);
        let fresh = |last: &&LastHeartbeat| {
            last.received_at.elapsed() < self.context.settings.tuning.suspect_timeout()
        };
        last_heartbeats
            .get(host)
            .filter(fresh)
            .map(|last| last.config_read)
    }

    /// Sends heartbeats and reports suspected neighbours; never returns.
    pub async fn run_heartbeats(self: Arc<Self>) {
        let mut last = Instant::now();
        let mut neighbour_set = NeighbourSet::default();
        loop {
            tokio::time::sleep(MONITOR_INTERVAL).await;
            let now = Instant::now();
            let paused = now - last > MONITOR_INTERVAL + PAUSE_THRESHOLD;
            last = now;
            self.refresh_neighbours(&mut neighbour_set);
            self.monitor(&neighbour_set.targets, now, paused);
        }
    }

    /// Joins again whenever other hosts have declared this host down; never returns.
    pub async fn run_rejoins(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.context.settings.tuning.heartbeat_period()).await;
            self.rejoin_if_down().await;
        }
    }

    /// Polls the platform's list of hosts and returns once it marks this host as leaving.
    pub async fn wait_listed_as_leaving(&self) {
        loop {
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
            let Ok(hosts) = self.context.list.hosts().await else {
                continue;
            };
            if hosts
                .iter()
                .any(|host| host.leaving && host.name == self.context.identity.name)
            {
                return;
            }
        }
    }

    /// Sends the heartbeats that are due and reports suspected neighbours.
    fn monitor(self: &Arc<Self>, neighbours: &[PeerTarget], now: Instant, paused: bool) {
        let time = self.context.now();
        let mut monitored = lock(&self.monitored);
        for target in neighbours {
            if !monitored.contains(&target.host) {
                monitored.insert(target.host.clone(), self.new_neighbour(now));
            }
            let Some(neighbour) = monitored.get_mut(&target.host) else {
                continue;
            };
            if paused {
                // This process was paused itself, so missing replies are no evidence against neighbours.
                neighbour.detector.reset(time);
            }
            if neighbour.start_report(now, time) {
                tokio::spawn(Arc::clone(self).report(target.host.clone()));
            }
            if let Some(index) = neighbour.next_heartbeat(now, time) {
                tokio::spawn(Arc::clone(self).send_heartbeat(target.clone(), index));
            }
        }
    }

    /// Computes the neighbours again if the host table has changed.
    fn refresh_neighbours(&self, neighbour_set: &mut NeighbourSet) {
        let version = self.fleet.view().hosts.version();
        if neighbour_set.version == Some(version) {
            return;
        }
        let targets = self.neighbours();
        let is_neighbour = |host: &HostIdentity| targets.iter().any(|target| target.host == *host);
        lock(&self.monitored).retain(|host, _| is_neighbour(host));
        *neighbour_set = NeighbourSet {
            version: Some(version),
            targets,
        };
    }

    fn new_neighbour(&self, now: Instant) -> MonitoredNeighbour {
        let tuning = &self.context.settings.tuning;
        let detector = FixedDetector::new(tuning.heartbeat_period(), tuning.suspect_timeout());
        MonitoredNeighbour {
            detector: Box::new(detector),
            next_index: 0,
            next_send: now,
            reported_at: None,
            report_pending: false,
        }
    }

    async fn send_heartbeat(self: Arc<Self>, target: PeerTarget, index: HeartbeatIndex) {
        let message = HeartbeatMessage {
            hosts_read: self.fleet.hosts.status().borrow().next,
            config_read: self.fleet.config.status().borrow().next,
        };
        self.context.metrics.peer_messages.inc();
        let call = self
            .context
            .link
            .call(&target, PeerMessage::Heartbeat(message));
        if !matches!(
            tokio::time::timeout(HEARTBEAT_TIMEOUT, call).await,
            Ok(Ok(_))
        ) {
            return;
        }
        let time = self.context.now();
        let mut monitored = lock(&self.monitored);
        if let Some(neighbour) = monitored.get_mut(&target.host) {
            neighbour.detector.record_answer(time, index);
        }
    }

    async fn report(self: Arc<Self>, host: HostIdentity) {
        self.append_suspicion(&host).await;
        if let Some(neighbour) = lock(&self.monitored).get_mut(&host) {
            neighbour.report_pending = false;
        }
    }

    async fn append_suspicion(&self, host: &HostIdentity) {
        let reporter = &self.context.identity.name;
        let view = self.fleet.view();
        let not_down = view
            .hosts
            .get(&host.name)
            .is_some_and(|entry| entry.phase != HostPhase::Down);
        if !not_down {
            return;
        }
        self.context
            .events
            .emit("suspect", &host.to_string(), "no answer to heartbeats");
        let suspicion = HostSuspicion {
            host: host.clone(),
            reporter: Arc::clone(reporter),
        };
        self.append(RecordBody::HostSuspected(suspicion)).await;
    }

    /// Returns the neighbours of this host. Leaving hosts are included until they are down.
    fn neighbours(&self) -> Vec<PeerTarget> {
        let view = self.fleet.view();
        let mut hosts: Vec<(u64, &HostJoin)> = view
            .hosts
            .all()
            .filter(|entry| entry.phase != HostPhase::Down)
            .map(|entry| (weight(&entry.join.host.name, "ring"), &entry.join))
            .collect();
        hosts.sort_by_key(|(position, join)| (*position, &join.host.name));
        let mut domains: Vec<&str> = hosts
            .iter()
            .map(|(_, join)| &*join.failure_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let ring: Vec<RingHost> = hosts
            .iter()
            .map(|(position, join)| RingHost {
                position: *position,
                failure_domain: domain_index(&domains, &join.failure_domain),
            })
            .collect();
        let identity = &self.context.identity;
        let Some(own_index) = hosts.iter().position(|(_, join)| join.host == *identity) else {
            return Vec::new();
        };
        watched_by(&ring, own_index, self.context.settings.tuning.neighbours)
            .into_iter()
            .filter_map(|index| view.target(&hosts[index].1.host))
            .collect()
    }

    async fn rejoin_if_down(&self) {
        let view = self.fleet.view();
        let entry = view.hosts.get(&self.context.identity.name);
        let down = entry.is_some_and(|entry| {
            entry.join.host == self.context.identity && entry.phase == HostPhase::Down
        });
        if down {
            self.context.events.emit(
                "rejoin",
                &self.context.identity.to_string(),
                "declared down while running",
            );
            self.append_join().await;
        }
    }

    fn check_layout(&self) -> Result<(), JoinError> {
        let layout = &self.context.settings.layout;
        let view = self.fleet.view();
        for entry in view.hosts.live() {
            let join = &entry.join;
            if (join.shards, join.groups) != (layout.shards, layout.groups) {
                let other = Arc::clone(&join.host.name);
                let (shards, groups) = (join.shards, join.groups);
                return LayoutMismatchSnafu {
                    other,
                    shards,
                    groups,
                }
                .fail();
            }
        }
        Ok(())
    }

    async fn append_join(&self) -> Option<ApplyResult> {
        let settings = &self.context.settings;
        let join = HostJoin {
            host: self.context.identity.clone(),
            failure_domain: Arc::clone(&settings.failure_domain),
            caller_address: Arc::clone(&settings.caller_address),
            message_address: Arc::clone(&settings.message_address),
            stream_address: Arc::clone(&settings.stream_address),
            shards: settings.layout.shards,
            groups: settings.layout.groups,
        };
        self.append(RecordBody::HostJoin(join)).await
    }

    async fn append(&self, body: RecordBody) -> Option<ApplyResult> {
        let receiver = self
            .fleet
            .hosts
            .append(ShardIndex(0), Epoch(0), body)
            .ok()?;
        receiver.await.ok().map(|appended| appended.result)
    }
}

fn domain_index(domains: &[&str], domain: &str) -> u16 {
    let at = domains.partition_point(|known| *known < domain);
    u16::try_from(at).unwrap_or(u16::MAX)
}
