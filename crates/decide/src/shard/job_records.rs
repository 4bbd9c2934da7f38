//! Application of the records of batch jobs to a shard.

use super::copies::{block_of, blocks_of};
use super::jobs::JobEntry;
use super::{ApplyResult, RejectReason, ShardState, is_expired_copy};
use fulmarswitch_records::RecordPlace;
use fulmarswitch_records::record::{
    ItemAttempts, ItemOutcomes, ItemRangeCopy, ItemsAnnounced, ItemsReturned, JobCancel, JobChunk,
    JobSeal,
};

impl ShardState {
    pub(super) fn apply_items_copy(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        copy: &ItemRangeCopy,
    ) -> ApplyResult {
        let name = copy.seal.header.full_name();
        let mut blocks = blocks_of(copy).map(Some).chain([None]);
        let is_stale = blocks.any(|block| self.was_mentioned_after(copy.as_of, &name, block));
        if is_stale || is_expired_copy(place, copy.as_of) {
            return ApplyResult::Duplicate;
        }
        if !self.jobs.contains(&*name) {
            let job = JobEntry::new(place, at_ms);
            self.jobs.insert(name.clone(), job);
        }
        match self.jobs.get_mut(&*name) {
            Some(job) => job.apply_copy(place, at_ms, copy),
            None => ApplyResult::Rejected(RejectReason::NotOpen),
        }
    }

    pub(super) fn apply_seal(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        seal: &JobSeal,
    ) -> ApplyResult {
        let name = seal.header.full_name();
        if !self.jobs.contains(&*name) {
            if seal.total > 0 {
                self.record_unresolved(place, &name, None);
                return ApplyResult::Rejected(RejectReason::JobIncomplete);
            }
            let job = JobEntry::new(place, at_ms);
            self.jobs.insert(name.clone(), job);
        }
        match self.jobs.get_mut(&*name) {
            Some(job) => job.apply_seal(place, seal),
            None => ApplyResult::Rejected(RejectReason::JobIncomplete),
        }
    }

    pub(super) fn apply_chunk(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        chunk: &JobChunk,
    ) -> ApplyResult {
        if !self.jobs.contains(&*chunk.job) {
            if chunk.first > 0 {
                self.record_unresolved(place, &chunk.job, None);
                return ApplyResult::Rejected(RejectReason::JobIncomplete);
            }
            let job = JobEntry::new(place, at_ms);
            self.jobs.insert(chunk.job.clone(), job);
        }
        match self.jobs.get_mut(&*chunk.job) {
            Some(job) => job.add_chunk(place, at_ms, chunk),
            None => ApplyResult::Rejected(RejectReason::NotOpen),
        }
    }

    pub(super) fn apply_cancel(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        cancel: &JobCancel,
    ) -> ApplyResult {
        let Some(job) = self.jobs.get_mut(&*cancel.job) else {
            self.record_unresolved(place, &cancel.job, None);
            return ApplyResult::Rejected(RejectReason::NotOpen);
        };
        job.cancel(place, at_ms)
    }

    pub(super) fn apply_items_announced(
        &mut self,
        place: RecordPlace,
        announcement: &ItemsAnnounced,
    ) -> ApplyResult {
        match self.jobs.get_mut(&*announcement.job) {
            Some(job) => job.announce_items(place, &announcement.items),
            None => self.reject_unknown_items(place, &announcement.job, announcement.items.iter()),
        }
    }

    pub(super) fn apply_items_returned(
        &mut self,
        place: RecordPlace,
        returned: &ItemsReturned,
    ) -> ApplyResult {
        match self.jobs.get_mut(&*returned.job) {
            Some(job) => job.reopen_items(place, &returned.items, returned.announced),
            None => self.reject_unknown_items(place, &returned.job, returned.items.iter()),
        }
    }

    pub(super) fn apply_attempts(
        &mut self,
        place: RecordPlace,
        attempts: &ItemAttempts,
    ) -> ApplyResult {
        match self.jobs.get_mut(&*attempts.job) {
            Some(job) => job.count_attempts(place, &attempts.items),
            None => self.reject_unknown_items(place, &attempts.job, attempts.items.iter()),
        }
    }

    pub(super) fn apply_outcomes(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        outcomes: &ItemOutcomes,
    ) -> ApplyResult {
        let Some(job) = self.jobs.get_mut(&*outcomes.job) else {
            let items = outcomes.outcomes.iter().map(|(item, _)| item);
            return self.reject_unknown_items(place, &outcomes.job, items);
        };
        job.complete(place, at_ms, &outcomes.outcomes)
    }

    fn reject_unknown_items<'a>(
        &mut self,
        place: RecordPlace,
        name: &str,
        items: impl Iterator<Item = &'a u32>,
    ) -> ApplyResult {
        for item in items {
            self.record_unresolved(place, name, Some(block_of(*item)));
        }
        ApplyResult::Rejected(RejectReason::NotOpen)
    }
}
