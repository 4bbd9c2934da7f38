//! Recovery of requests after a change of owner.
//!
//! The new owner resumes accepted requests that no host runs. The previous owner sends it the keys of
//! the requests that still run there.

use super::run::{RequestRun, RunOrigin};
use super::{KeyOwner, may_have_run_frame};
use crate::context::lock;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_peer::message::ShardHandover;
use fulmarswitch_peer::{FrameStream, PeerMessage, StreamFrame, StreamRequest};
use fulmarswitch_records::record::KeyOutcome;
use fulmarswitch_records::{
    HostIdentity, ItemOutcome, OnlineRequest, RecordBody, ShardIndex, SortedIndex,
};
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks for requests that no host runs.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a new owner waits for the previous owner's handover message before it resumes requests.
const HANDOVER_GRACE: Duration = Duration::from_millis(750);

impl KeyOwner {
    /// Records which requests still run on the previous owner of a shard.
    pub fn receive_handover(&self, from: &HostIdentity, handover: ShardHandover) {
        let mut remote_runs = lock(&self.remote_runs);
        for key in handover.running {
            remote_runs.insert(key, from.clone());
        }
    }

    /// Periodically resumes requests that no host runs, and sends handover messages for shards that moved
    /// away; never returns.
    pub async fn run_recovery(self: Arc<Self>) {
        let mut owned_since = SortedIndex::new();
        loop {
            tokio::time::sleep(RECOVERY_INTERVAL).await;
            let owned = self.shards.owned();
            owned_since.retain(|shard, _| owned.contains(shard));
            for shard in owned {
                if owned_since.get(&shard).is_none() {
                    owned_since.insert(shard, self.context.now());
                }
                let since = owned_since.get(&shard).copied().unwrap_or_default();
                if self.context.now() >= since + HANDOVER_GRACE {
                    self.recover_shard(shard).await;
                }
            }
            self.send_handovers().await;
        }
    }

    async fn recover_shard(self: &Arc<Self>, shard: ShardIndex) {
        let open: Vec<Arc<str>> = self
            .shards
            .with_shard(shard, |state| state.open_keys().cloned().collect());
        for name in open {
            if self.find_run(&name).is_some() || self.remote_run_host(&name).is_some() {
                continue;
            }
            let entry = self
                .shards
                .with_shard(shard, |state| state.key(&name).cloned());
            let Some(entry) = entry.filter(|entry| entry.outcome.is_none()) else {
                continue;
            };
            if entry.announced {
                self.resolve_announced(shard, &name).await;
                continue;
            }
            let record = self
                .shards
                .replica(shard)
                .read_record(entry.request_place)
                .await;
            let request = match record.map(|record| record.body) {
                Ok(RecordBody::Accept(request)) => request,
                Ok(RecordBody::KeyCopy(copy)) => copy.request,
                _ => continue,
            };
            self.context
                .events
                .emit("resume", &name, "accepted by an earlier owner");
            self.start_run(request, shard, RunOrigin::Resumed);
        }
    }

    /// Sends the keys of requests that still run here to the new owners of shards that moved away.
    async fn send_handovers(&self) {
        let runs: Vec<Arc<RequestRun>> = lock(&self.runs)
            .iter()
            .map(|(_, run)| Arc::clone(run))
            .collect();
        let mut running_by_shard: SortedIndex<ShardIndex, Vec<Arc<str>>> = SortedIndex::new();
        for run in runs {
            if self.shards.owned_epoch(run.shard).is_some() {
                continue;
            }
            if !running_by_shard.contains(&run.shard) {
                running_by_shard.insert(run.shard, Vec::new());
            }
            if let Some(keys) = running_by_shard.get_mut(&run.shard) {
                keys.push(Arc::clone(&run.name));
            }
        }
        for (shard, running) in running_by_shard.iter() {
            let Some(target) = self.shards.owner_target(*shard) else {
                continue;
            };
            let handover = ShardHandover {
                shard: *shard,
                running: running.clone(),
                assigned_items: Vec::new(),
            };
            // A lost message does no harm: it is sent again each period while a request of the shard runs.
            let _ = self
                .context
                .link
                .call(&target, PeerMessage::Handover(handover))
                .await;
        }
    }

    fn remote_run_host(&self, name: &str) -> Option<HostIdentity> {
        let mut remote_runs = lock(&self.remote_runs);
        let host = remote_runs.get(name)?.clone();
        if self.fleet.view().hosts.is_reachable(&host) {
            return Some(host);
        }
        remote_runs.remove(name);
        None
    }

    pub(super) async fn subscribe_remote_run(
        &self,
        name: &str,
        request: &OnlineRequest,
    ) -> Option<FrameStream> {
        let host = self.remote_run_host(name)?;
        let target = self.fleet.view().target(&host)?;
        self.context
            .link
            .open(&target, StreamRequest::Submit(request.clone()))
            .await
            .ok()
    }

    /// Records "may have run" for a request that an earlier owner announced and that has no outcome,
    /// since it must not be sent again.
    pub(super) async fn resolve_announced(
        &self,
        shard: ShardIndex,
        name: &Arc<str>,
    ) -> StreamFrame {
        if self.remote_run_host(name).is_some() {
            return may_have_run_frame("the call still runs; ask for its result by key");
        }
        let outcome = ItemOutcome::MayHaveRun;
        let body = RecordBody::Outcome(KeyOutcome {
            key: Arc::clone(name),
            outcome,
        });
        let Ok(receiver) = self.shards.append(shard, body) else {
            return StreamFrame::NotOwner;
        };
        match receiver.await.map(|appended| appended.result) {
            Ok(ApplyResult::Applied) => {
                self.context.events.emit(
                    "may-have-run",
                    name,
                    "announced by an earlier owner that left no outcome",
                );
                StreamFrame::Done {
                    outcome: ItemOutcome::MayHaveRun,
                    recorded: true,
                }
            }
            _ => StreamFrame::NotOwner,
        }
    }
}
