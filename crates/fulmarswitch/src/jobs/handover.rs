//! Sends the new owner of a shard a list of the items that are assigned to gates.
//!
//! Without this handover message the new owner would assign every open item again, and would give up
//! announced items as lost while they still run. It waits a grace period for the message before it
//! offers jobs.

use super::JobOwner;
use crate::context::lock;
use fulmarswitch_peer::message::{AssignedItems, ShardHandover};
use fulmarswitch_peer::{PeerMessage, PeerReply};
use fulmarswitch_records::{HostIdentity, ShardIndex, SortedIndex};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a new owner waits for the handover message before it offers jobs.
const HANDOVER_GRACE: Duration = Duration::from_millis(750);
/// Time after which the previous owner stops sending a handover message.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that the new owner has to accept a handover message.
const HANDOVER_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A handover message that the new owner has not accepted yet.
pub(super) struct PendingHandover {
    handover: ShardHandover,
    created_at: Instant,
}

impl JobOwner {
    /// Takes over the assignments that the previous owner of a shard made, under new leases.
    pub fn receive_handover(&self, handover: &ShardHandover) -> PeerReply {
        if self.shards.owned_epoch(handover.shard).is_none() {
            return PeerReply::NotOwner;
        }
        self.reconcile_runs();
        let lease = Duration::from_millis(self.context.settings.tuning.item_lease_ms);
        let lease_until = self.context.now() + lease;
        let mut runs = lock(&self.runs);
        for assigned in &handover.assigned_items {
            // A job without a run here has finished or was cancelled.
            if let Some(run) = runs.get_mut(&*assigned.job) {
                for item in &assigned.items {
                    run.assignments
                        .record_assigned(*item, &assigned.gate, lease_until);
                }
            }
        }
        PeerReply::Accepted
    }

    /// Tracks since when shards are owned, and queues handover messages for those that moved away.
    pub(super) fn update_owned_shards(&self, owned: &[ShardIndex]) {
        let mut owned_since = lock(&self.owned_since);
        owned_since.retain(|shard, _| owned.contains(shard));
        for shard in owned {
            if !owned_since.contains(shard) {
                owned_since.insert(*shard, Instant::now());
            }
        }
        drop(owned_since);
        let mut assigned_by_shard: SortedIndex<ShardIndex, Vec<AssignedItems>> = SortedIndex::new();
        for (job, run) in lock(&self.runs).iter() {
            if owned.contains(&run.shard) {
                continue;
            }
            let mut assigned = assigned_by_shard.remove(&run.shard).unwrap_or_default();
            assigned.extend(group_by_gate(job, run.assignments.assigned()));
            assigned_by_shard.insert(run.shard, assigned);
        }
        for (shard, assigned_items) in assigned_by_shard
            .iter()
            .filter(|(_, assigned)| !assigned.is_empty())
        {
            let handover = ShardHandover {
                shard: *shard,
                running: Vec::new(),
                assigned_items: assigned_items.clone(),
            };
            let created_at = Instant::now();
            lock(&self.pending_handovers).push(PendingHandover {
                handover,
                created_at,
            });
        }
    }

    /// Sends pending handover messages. One that is not accepted is sent again in the next round.
    pub(super) async fn send_handovers(&self) {
        let pending = std::mem::take(&mut *lock(&self.pending_handovers));
        for entry in pending {
            let delivered = self.send_handover(&entry.handover).await;
            if !delivered && entry.created_at.elapsed() < HANDOVER_TIMEOUT {
                lock(&self.pending_handovers).push(entry);
            }
        }
    }

    async fn send_handover(&self, handover: &ShardHandover) -> bool {
        let Some(target) = self.shards.owner_target(handover.shard) else {
            return false;
        };
        if target.host == self.context.identity {
            return self.receive_handover(handover) == PeerReply::Accepted;
        }
        let message = PeerMessage::Handover(handover.clone());
        let call = self.context.link.call(&target, message);
        let reply = tokio::time::timeout(HANDOVER_CALL_TIMEOUT, call).await;
        matches!(reply, Ok(Ok(PeerReply::Accepted)))
    }

    /// Returns whether the shard has been owned for long enough to receive a handover message.
    pub(super) fn is_past_handover_grace(&self, shard: ShardIndex) -> bool {
        let since = lock(&self.owned_since).get(&shard).copied();
        since.is_some_and(|since| since.elapsed() >= HANDOVER_GRACE)
    }
}

/// Groups assigned items by the gate that they are assigned to.
fn group_by_gate<'a>(
    job: &Arc<str>,
    assigned: impl Iterator<Item = (u32, &'a HostIdentity)>,
) -> Vec<AssignedItems> {
    let mut gates: SortedIndex<HostIdentity, Vec<u32>> = SortedIndex::new();
    for (item, gate) in assigned {
        let mut items = gates.remove(gate).unwrap_or_default();
        items.push(item);
        gates.insert(gate.clone(), items);
    }
    let groups = gates.iter().map(|(gate, items)| AssignedItems {
        job: Arc::clone(job),
        gate: gate.clone(),
        items: items.clone(),
    });
    groups.collect()
}
