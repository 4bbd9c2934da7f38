//! Application of the records of online requests to a shard.

use super::{ApplyResult, KeyEntry, KeyResult, RejectReason, ShardState, is_expired_copy};
use fulmarswitch_records::record::{CallAnnounced, KeyCopy, KeyOutcome};
use fulmarswitch_records::{OnlineRequest, RecordPlace};

impl ShardState {
    pub(super) fn apply_accept(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        request: &OnlineRequest,
    ) -> ApplyResult {
        let name = request.full_key();
        if let Some(entry) = self.keys.get_mut(&*name) {
            entry.last_mention = place;
            if entry.digest != request.digest() {
                return ApplyResult::Rejected(RejectReason::NameConflict);
            }
            // A delayed duplicate of the acceptance must not reopen a request that was given up
            // without running.
            let not_run = entry.outcome.is_some_and(|result| result.not_run);
            return if not_run {
                ApplyResult::Rejected(RejectReason::NotOpen)
            } else {
                ApplyResult::Duplicate
            };
        }
        self.open_keys.insert(name.clone(), ());
        let entry = KeyEntry::new(place, at_ms, request);
        self.keys.insert(name, entry);
        ApplyResult::Applied
    }

    pub(super) fn apply_call_announced(
        &mut self,
        place: RecordPlace,
        announcement: &CallAnnounced,
    ) -> ApplyResult {
        let Some(entry) = self.keys.get_mut(&*announcement.key) else {
            self.record_unresolved(place, &announcement.key, None);
            return ApplyResult::Rejected(RejectReason::NotOpen);
        };
        entry.last_mention = place;
        if entry.outcome.is_some() {
            return ApplyResult::Rejected(RejectReason::NotOpen);
        }
        if entry.announced {
            return ApplyResult::Rejected(RejectReason::AlreadyAnnounced);
        }
        entry.announced = true;
        ApplyResult::Applied
    }

    pub(super) fn apply_outcome(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        outcome: &KeyOutcome,
    ) -> ApplyResult {
        let Some(entry) = self.keys.get_mut(&*outcome.key) else {
            self.record_unresolved(place, &outcome.key, None);
            return ApplyResult::Rejected(RejectReason::NotOpen);
        };
        entry.last_mention = place;
        if entry.outcome.is_some() {
            return ApplyResult::Duplicate;
        }
        entry.outcome = Some(KeyResult::new(place, at_ms, &outcome.outcome));
        self.open_keys.remove(&*outcome.key);
        ApplyResult::Applied
    }

    /// Replaces the state of the key by a copy, unless the copy is stale.
    pub(super) fn apply_key_copy(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        copy: &KeyCopy,
    ) -> ApplyResult {
        let name = copy.request.full_key();
        let is_stale = match self.keys.get(&*name) {
            Some(entry) => entry.last_mention > copy.as_of,
            None => self.was_mentioned_after(copy.as_of, &name, None),
        };
        if is_stale || is_expired_copy(place, copy.as_of) {
            return ApplyResult::Duplicate;
        }
        let entry = KeyEntry::from_copy(place, at_ms, copy);
        if entry.outcome.is_some() {
            self.open_keys.remove(&*name);
        } else {
            self.open_keys.insert(name.clone(), ());
        }
        self.keys.insert(name, entry);
        ApplyResult::Applied
    }
}
