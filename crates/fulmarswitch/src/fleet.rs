//! This host's view of the live hosts and the configuration in force.

use crate::commit::RecordCommitter;
use crate::context::HostContext;
use crate::replica::{StreamReplay, StreamReplica};
use crate::settings::LayoutSettings;
use crate::unresponsive::UnresponsiveHosts;
use fulmarswitch_decide::config::{ConfigChangeResult, ConfigTable};
use fulmarswitch_decide::hosts::{HostPhase, HostTable};
use fulmarswitch_decide::placement::{PlacementTable, group_of, holder, shard_of};
use fulmarswitch_decide::shard::{ApplyResult, RejectReason};
use fulmarswitch_peer::{FrameStream, PeerError, PeerLink, PeerTarget, StreamRequest};
use fulmarswitch_records::record::HostJoin;
use fulmarswitch_records::{
    GroupIndex, HostIdentity, LogRecord, RecordBody, RecordPlace, ShardIndex,
};
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Name of the stream of joins, leaves, suspicions and gate claims.
pub const HOSTS_STREAM: &str = "hosts";
/// Name of the stream of configuration.
pub const CONFIG_STREAM: &str = "config";

/// Time for which no streams are opened to a host that failed to answer.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(1);

/// A consistent snapshot of hosts and configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Hosts, as replayed from the `hosts` stream.
    pub hosts: HostTable,
    /// Configuration, as replayed from the `config` stream.
    pub config: Arc<ConfigTable>,
    /// Numbers of shards and groups.
    pub layout: LayoutSettings,
    /// The hosts that should own each shard.
    shards: Arc<PlacementTable>,
    /// The hosts that should hold the gate of each endpoint.
    gates: Arc<PlacementTable>,
}

impl FleetView {
    fn new(layout: LayoutSettings) -> Self {
        let mut shards = PlacementTable::new();
        for shard in 0..layout.shards {
            shards.add_work(&shard_key(ShardIndex(shard)));
        }
        Self {
            layout,
            shards: Arc::new(shards),
            ..Self::default()
        }
    }

    /// Applies a record of the `hosts` stream and returns whether it changed the view.
    fn apply_host(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> bool {
        if !self.hosts.apply(place, at_ms, record) {
            return false;
        }
        let Some(name) = subject_host(record) else {
            return true;
        };
        let is_live = self
            .hosts
            .get(name)
            .is_some_and(|entry| entry.phase == HostPhase::Live);
        for table in [&mut self.shards, &mut self.gates] {
            let table = Arc::make_mut(table);
            if is_live {
                table.add_host(name);
            } else {
                table.remove_host(name);
            }
        }
        true
    }

    /// Applies a record of the `config` stream; `None` when it has no effect.
    fn apply_config(
        &mut self,
        place: RecordPlace,
        record: &LogRecord,
    ) -> Option<ConfigChangeResult> {
        let result = Arc::make_mut(&mut self.config).apply(place, record);
        if let Some(name) = subject_config(record)
            && let Some(endpoint) = name.strip_prefix("endpoint/")
        {
            let gates = Arc::make_mut(&mut self.gates);
            if self.config.endpoint(endpoint).is_some() {
                gates.add_work(endpoint);
            } else {
                gates.remove_work(endpoint);
            }
        }
        result
    }

    /// Returns the names of the endpoints whose gate `host` should hold.
    pub fn gates_held_by(&self, host: &str) -> impl Iterator<Item = &Arc<str>> {
        let placements = self.gates.placements();
        placements
            .filter(move |(_, holder)| holder.is_some_and(|holder| **holder == *host))
            .map(|(name, _)| name)
    }

    /// Returns the live host that rendezvous hashing assigns `work` to; `None` without live hosts.
    #[must_use]
    pub fn holder_of_work(&self, work: &str) -> Option<PeerTarget> {
        let live: Vec<&HostJoin> = self.hosts.live().map(|entry| &entry.join).collect();
        let index = holder(live.iter().map(|join| &*join.host.name), work)?;
        Some(target_of(live[index]))
    }

    /// Returns the host that should own a shard. Until it has claimed the shard, the owner in the log differs.
    #[must_use]
    pub fn expected_owner(&self, shard: ShardIndex) -> Option<PeerTarget> {
        self.target_by_name(self.shards.holder(&shard_key(shard))?)
    }

    /// Returns the host that should hold the gate of an endpoint; `None` if the endpoint is not configured
    /// or no host is live.
    #[must_use]
    pub fn gate_holder(&self, endpoint: &str) -> Option<PeerTarget> {
        self.target_by_name(self.gates.holder(endpoint)?)
    }

    /// Returns whether `host` should own a shard.
    #[must_use]
    pub fn should_own(&self, host: &str, shard: ShardIndex) -> bool {
        self.shards
            .holder(&shard_key(shard))
            .is_some_and(|holder| **holder == *host)
    }

    fn target_by_name(&self, host: &str) -> Option<PeerTarget> {
        Some(target_of(&self.hosts.get(host)?.join))
    }

    /// Returns the host that copies the configuration forward before the log's retention drops it.
    #[must_use]
    pub fn config_copier(&self) -> Option<PeerTarget> {
        self.holder_of_work("carry/config")
    }

    /// Returns the host that commits records to a stream for all hosts.
    #[must_use]
    pub fn appender_of(&self, stream: &str) -> Option<PeerTarget> {
        self.holder_of_work(&format!("stream/{stream}"))
    }

    /// Returns the addresses of a host if this incarnation of it is live or leaving.
    #[must_use]
    pub fn target(&self, host: &HostIdentity) -> Option<PeerTarget> {
        let entry = self.hosts.get(&host.name)?;
        self.hosts
            .is_reachable(host)
            .then(|| target_of(&entry.join))
    }

    /// Returns the addresses of all live hosts.
    #[must_use]
    pub fn live_targets(&self) -> Vec<PeerTarget> {
        self.hosts
            .live()
            .map(|entry| target_of(&entry.join))
            .collect()
    }

    /// Returns the shard of a key or job, given its full name.
    #[must_use]
    pub fn shard_of(&self, name: &str) -> ShardIndex {
        shard_of(name, self.layout.shards)
    }

    /// Returns the group of a shard.
    #[must_use]
    pub fn group_of(&self, shard: ShardIndex) -> GroupIndex {
        group_of(shard, self.layout.groups)
    }
}

fn shard_key(shard: ShardIndex) -> String {
    format!("shard/{shard}")
}

/// Returns the name of the host that a record of the `hosts` stream is about.
fn subject_host(record: &LogRecord) -> Option<&Arc<str>> {
    match &record.body {
        RecordBody::HostJoin(join) => Some(&join.host.name),
        RecordBody::HostLeave(host) => Some(&host.name),
        RecordBody::HostSuspected(suspicion) => Some(&suspicion.host.name),
        _ => None,
    }
}

/// Returns the name of the configuration record that a record of the `config` stream is about.
fn subject_config(record: &LogRecord) -> Option<&Arc<str>> {
    match &record.body {
        RecordBody::Config(change) => Some(&change.name),
        RecordBody::ConfigCopy(copy) => Some(&copy.change.name),
        _ => None,
    }
}

fn target_of(join: &HostJoin) -> PeerTarget {
    PeerTarget {
        host: join.host.clone(),
        message_address: Arc::clone(&join.message_address),
        stream_address: Arc::clone(&join.stream_address),
    }
}

/// Replays the `hosts` stream into the view.
pub struct HostReplay {
    view: watch::Sender<Arc<FleetView>>,
}

impl StreamReplay for HostReplay {
    fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> ApplyResult {
        let mut changed = false;
        self.view.send_if_modified(|view| {
            changed = Arc::make_mut(view).apply_host(place, at_ms, record);
            changed
        });
        if changed {
            ApplyResult::Applied
        } else {
            ApplyResult::Duplicate
        }
    }
}

/// Replays the `config` stream into the view.
pub struct ConfigReplay {
    view: watch::Sender<Arc<FleetView>>,
}

impl StreamReplay for ConfigReplay {
    fn apply(&mut self, place: RecordPlace, _at_ms: u64, record: &LogRecord) -> ApplyResult {
        let mut result = None;
        self.view.send_modify(|view| {
            result = Arc::make_mut(view).apply_config(place, record);
        });
        match result {
            Some(ConfigChangeResult::Accepted { .. }) => ApplyResult::Applied,
            Some(ConfigChangeResult::Conflict { .. }) => {
                ApplyResult::Rejected(RejectReason::NameConflict)
            }
            None => ApplyResult::Duplicate,
        }
    }
}

/// The replicas of the `hosts` and `config` streams, and the view that they keep up to date.
pub struct FleetState {
    /// Replica of the `hosts` stream: joins, leaves, suspicions and gate claims.
    pub hosts: Arc<StreamReplica<HostReplay>>,
    /// Replica of the `config` stream.
    pub config: Arc<StreamReplica<ConfigReplay>>,
    view: watch::Receiver<Arc<FleetView>>,
    unresponsive: UnresponsiveHosts,
}

impl FleetState {
    /// Creates the view and a committer that uses it, and starts to replay both streams.
    #[must_use]
    pub fn start(context: &HostContext) -> (Arc<Self>, Arc<RecordCommitter>) {
        let layout = context.settings.layout.clone();
        let sender = watch::Sender::new(Arc::new(FleetView::new(layout)));
        let view = sender.subscribe();
        let committer = RecordCommitter::new(context, view.clone());
        let replay = HostReplay {
            view: sender.clone(),
        };
        let hosts = StreamReplica::start(HOSTS_STREAM, context, &committer, replay);
        let replay = ConfigReplay { view: sender };
        let config = StreamReplica::start(CONFIG_STREAM, context, &committer, replay);
        (
            Arc::new(Self {
                hosts,
                config,
                view,
                unresponsive: UnresponsiveHosts::new(UNRESPONSIVE_TTL),
            }),
            committer,
        )
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Opens a stream to a host and waits up to `timeout` for its first frame. The stream ends once the host is
    /// down. A host that failed to answer gets no further streams for one second, so that requests which other
    /// hosts can serve are sent there without another timeout.
    ///
    /// # Errors
    /// [`PeerError::NotReached`] when the peer did not receive the request, [`PeerError::NoReply`] when it may
    /// have acted on it.
    pub async fn open_stream(
        &self,
        link: &dyn PeerLink,
        target: &PeerTarget,
        request: StreamRequest,
        timeout: Duration,
    ) -> Result<FrameStream, PeerError> {
        if self.unresponsive.contains(&target.host) {
            let (host, cause) = (
                target.host.clone(),
                "it did not answer a recent request".into(),
            );
            return Err(PeerError::NotReached { host, cause });
        }
        let opening = async {
            let mut frames = link.open(target, request).await?;
            let first = frames.next().await;
            Ok(futures::stream::iter(first).chain(frames).boxed())
        };
        let opened = tokio::time::timeout(timeout, opening)
            .await
            .unwrap_or_else(|_| {
                let (host, cause) = (target.host.clone(), "timeout".into());
                Err(PeerError::NoReply { host, cause })
            });
        if let Err(PeerError::NoReply { host, .. }) = &opened {
            self.unresponsive.insert(host);
        }
        Ok(self.take_while_reachable(&target.host, opened?))
    }

    /// Ends a stream once its host is down.
    fn take_while_reachable(&self, host: &HostIdentity, frames: FrameStream) -> FrameStream {
        let mut view = self.view.clone();
        let host = host.clone();
        let unreachable = async move {
            // The sender lives as long as the replicas, so the wait cannot fail.
            let _ = view.wait_for(|view| !view.hosts.is_reachable(&host)).await;
        };
        frames.take_until(Box::pin(unreachable)).boxed()
    }

    /// Returns a receiver that is notified of each change of the view.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }
}
