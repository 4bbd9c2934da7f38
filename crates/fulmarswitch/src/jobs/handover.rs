//! Telling the new owner of a shard which items gates hold.
//!
//! Without the note the new owner hands out every open item again, and takes calls that were announced
//! for lost while they still run. It waits a moment for the note before it offers anything.

use super::JobOwner;
use crate::context::lock;
use fulmarswitch_peer::message::{HandedItems, HandoverNote};
use fulmarswitch_peer::{PeerMessage, PeerReply};
use fulmarswitch_records::{HostIdentity, ShardIndex, SortedIndex};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a new owner waits to be told what gates hold.
const HANDOVER_GRACE: Duration = Duration::from_millis(750);
/// Time for which an old owner tries to tell the new one.
const TELL_LIMIT: Duration = Duration::from_secs(10);
/// Time that the new owner is given to answer.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// A note that has yet to reach the new owner.
pub(super) struct PendingNote {
    note: HandoverNote,
    since: Instant,
}

impl JobOwner {
    /// Takes note of items that gates hold for the owner before this one.
    pub fn receive_handover(&self, note: &HandoverNote) -> PeerReply {
        if self.shards.owned_epoch(note.shard).is_none() {
            return PeerReply::NotOwner;
        }
        self.adjust_runs();
        let lease = Duration::from_millis(self.context.settings.tuning.item_lease_ms);
        let until = self.context.now() + lease;
        let mut runs = lock(&self.runs);
        for held in &note.handed_out {
            // A job that is missing here has been finished or cancelled.
            if let Some(run) = runs.get_mut(&*held.job) {
                for item in &held.items {
                    run.handout.record_assigned(*item, &held.gate, until);
                }
            }
        }
        PeerReply::Accepted
    }

    /// Follows which shards are owned, and notes what gates hold of those that moved away.
    pub(super) fn follow_shards(&self, owned: &[ShardIndex]) {
        let mut since = lock(&self.owned_since);
        since.retain(|shard, _| owned.contains(shard));
        for shard in owned {
            if !since.contains(shard) {
                since.insert(*shard, Instant::now());
            }
        }
        drop(since);
        let mut notes: SortedIndex<ShardIndex, Vec<HandedItems>> = SortedIndex::new();
        for (job, run) in lock(&self.runs).iter() {
            if owned.contains(&run.shard) {
                continue;
            }
            let mut held = notes.remove(&run.shard).unwrap_or_default();
            held.extend(by_gate(job, run.handout.assigned()));
            notes.insert(run.shard, held);
        }
        for (shard, handed_out) in notes.iter().filter(|(_, held)| !held.is_empty()) {
            let note = HandoverNote {
                shard: *shard,
                running: Vec::new(),
                handed_out: handed_out.clone(),
            };
            let since = Instant::now();
            lock(&self.pending_notes).push(PendingNote { note, since });
        }
    }

    /// Tells new owners what gates hold. A note that is not taken is sent again in the next round.
    pub(super) async fn tell_new_owners(&self) {
        let pending = std::mem::take(&mut *lock(&self.pending_notes));
        for pending in pending {
            let told = self.tell(&pending.note).await;
            if !told && pending.since.elapsed() < TELL_LIMIT {
                lock(&self.pending_notes).push(pending);
            }
        }
    }

    async fn tell(&self, note: &HandoverNote) -> bool {
        let Some(target) = self.shards.owner_target(note.shard) else {
            return false;
        };
        if target.host == self.context.identity {
            return self.receive_handover(note) == PeerReply::Accepted;
        }
        let message = PeerMessage::Handover(note.clone());
        let call = self.context.link.call(&target, message);
        let reply = tokio::time::timeout(CALL_LIMIT, call).await;
        matches!(reply, Ok(Ok(PeerReply::Accepted)))
    }

    /// Tells whether the note of the owner before has had time to come.
    pub(super) fn is_settled_in(&self, shard: ShardIndex) -> bool {
        let since = lock(&self.owned_since).get(&shard).copied();
        since.is_some_and(|since| since.elapsed() >= HANDOVER_GRACE)
    }
}

/// Groups the items that are handed out by their gates.
fn by_gate<'a>(
    job: &Arc<str>,
    out: impl Iterator<Item = (u32, &'a HostIdentity)>,
) -> Vec<HandedItems> {
    let mut gates: SortedIndex<HostIdentity, Vec<u32>> = SortedIndex::new();
    for (item, gate) in out {
        let mut items = gates.remove(gate).unwrap_or_default();
        items.push(item);
        gates.insert(gate.clone(), items);
    }
    let held = gates.iter().map(|(gate, items)| HandedItems {
        job: Arc::clone(job),
        gate: gate.clone(),
        items: items.clone(),
    });
    held.collect()
}
