//! The live hosts and the configuration in force, as seen here.

use crate::book::{LogBook, StreamReplay};
use crate::commit::RecordCommitter;
use crate::parts::HostParts;
use crate::settings::LayoutSettings;
use fulmarswitch_decide::config::{ConfigTable, ConfigVerdict};
use fulmarswitch_decide::hosts::HostTable;
use fulmarswitch_decide::placement::{group_of, holder, shard_of};
use fulmarswitch_decide::shard::{RecordVerdict, VoidReason};
use fulmarswitch_peer::PeerTarget;
use fulmarswitch_records::record::HostJoin;
use fulmarswitch_records::{GroupIndex, HostIdentity, LogRecord, RecordPlace, ShardIndex};
use std::sync::Arc;
use tokio::sync::watch;

/// Name of the stream of joins and leaves.
pub const HOSTS_STREAM: &str = "hosts";
/// Name of the stream of configuration.
pub const CONFIG_STREAM: &str = "config";

/// A consistent view of hosts and configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Hosts replayed so far.
    pub hosts: HostTable,
    /// Configuration replayed so far.
    pub config: Arc<ConfigTable>,
    /// How keys and jobs are split.
    pub layout: LayoutSettings,
}

impl FleetView {
    /// Returns the live host that holds `work`.
    #[must_use]
    pub fn holder_of(&self, work: &str) -> Option<PeerTarget> {
        let live: Vec<&HostJoin> = self.hosts.live().map(|entry| &entry.join).collect();
        let at = holder(live.iter().map(|join| &*join.host.name), work)?;
        Some(target_of(live[at]))
    }

    /// Returns the host that should own a shard.
    #[must_use]
    pub fn owner_of(&self, shard: ShardIndex) -> Option<PeerTarget> {
        self.holder_of(&format!("shard/{shard}"))
    }

    /// Returns the host that holds the gate of an endpoint.
    #[must_use]
    pub fn gate_of(&self, endpoint: &str) -> Option<PeerTarget> {
        self.holder_of(&format!("gate/{endpoint}"))
    }

    /// Returns the host that writes the configuration again before the log drops it.
    #[must_use]
    pub fn config_carrier(&self) -> Option<PeerTarget> {
        self.holder_of("carry/config")
    }

    /// Returns the host that appends to a stream.
    #[must_use]
    pub fn appender_of(&self, stream: &str) -> Option<PeerTarget> {
        self.holder_of(&format!("stream/{stream}"))
    }

    /// Returns the address of one run of a host, live or leaving.
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

    /// Returns the shard of a key or job.
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
    fn apply(&mut self, place: RecordPlace, _at_ms: u64, record: &LogRecord) -> RecordVerdict {
        let mut changed = false;
        self.view.send_if_modified(|view| {
            changed = Arc::make_mut(view).hosts.apply(place, record);
            changed
        });
        if changed {
            RecordVerdict::Valid
        } else {
            RecordVerdict::Repeat
        }
    }
}

/// Replays the `config` stream into the view.
pub struct ConfigReplay {
    view: watch::Sender<Arc<FleetView>>,
}

impl StreamReplay for ConfigReplay {
    fn apply(&mut self, place: RecordPlace, _at_ms: u64, record: &LogRecord) -> RecordVerdict {
        let mut verdict = None;
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            verdict = Arc::make_mut(&mut view.config).apply(place, record);
        });
        match verdict {
            Some(ConfigVerdict::Accepted { .. }) => RecordVerdict::Valid,
            Some(ConfigVerdict::Lost { .. }) => RecordVerdict::Void(VoidReason::NameTaken),
            None => RecordVerdict::Repeat,
        }
    }
}

/// The two books that make up the view.
pub struct FleetBooks {
    /// Joins and leaves.
    pub hosts: Arc<LogBook<HostReplay>>,
    /// Configuration.
    pub config: Arc<LogBook<ConfigReplay>>,
    view: watch::Receiver<Arc<FleetView>>,
}

impl FleetBooks {
    /// Creates the view and the committer that follows it, and starts to replay both streams.
    #[must_use]
    pub fn start(parts: &HostParts) -> (Arc<Self>, Arc<RecordCommitter>) {
        let layout = parts.settings.layout.clone();
        let sender = watch::Sender::new(Arc::new(FleetView {
            layout,
            ..FleetView::default()
        }));
        let view = sender.subscribe();
        let committer = RecordCommitter::new(parts, view.clone());
        let replay = HostReplay {
            view: sender.clone(),
        };
        let hosts = LogBook::start(HOSTS_STREAM, parts, &committer, replay);
        let replay = ConfigReplay { view: sender };
        let config = LogBook::start(CONFIG_STREAM, parts, &committer, replay);
        (
            Arc::new(Self {
                hosts,
                config,
                view,
            }),
            committer,
        )
    }

    /// Returns the view as it is now.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns a receiver that is told of each change.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }
}
