//! Copies of keys and jobs, which their owner writes before the original records expire.
//!
//! A copy names the place up to which its writer had read (`as_of`). If a record after that place
//! names the same entity, the copy is stale: it changes nothing and is written again later.
//! Otherwise it is the exact state at its own place and replaces the state of the reader. A reader
//! that starts after the original records, and may have wrongly rejected later records without
//! them, thus reaches the same state as a reader of the entire stream.

use super::jobs::{ChunkEntry, ItemState, JobEntry, NO_RESULT};
use super::{ApplyResult, KeyEntry, KeyResult};
use fulmarswitch_records::RecordPlace;
use fulmarswitch_records::record::{ItemCopy, ItemRangeCopy, KeyCopy};

/// Number of consecutive items of a block. Only the newest mention in each block is stored.
const BLOCK_ITEMS: u32 = 16;

pub(super) fn block_of(item: u32) -> usize {
    (item / BLOCK_ITEMS) as usize
}

/// Returns the indices of the blocks that a copy covers.
pub(super) fn blocks_of(copy: &ItemRangeCopy) -> impl Iterator<Item = usize> + use<> {
    let count = u32::try_from(copy.items.len()).unwrap_or(u32::MAX);
    let end = copy.first.saturating_add(count);
    let blocks = block_of(copy.first)..=block_of(end.saturating_sub(1));
    blocks.take(if count == 0 { 0 } else { usize::MAX })
}

impl KeyEntry {
    /// Returns the oldest place that a reader must read to have the state of the key.
    #[must_use]
    pub fn oldest_needed(&self) -> RecordPlace {
        self.request_place
    }

    pub(super) fn from_copy(place: RecordPlace, at_ms: u64, copy: &KeyCopy) -> Self {
        let outcome = copy.outcome.as_ref();
        let result = |outcome| KeyResult::new(place, copy.completed_ms, outcome);
        Self {
            announced: copy.announced,
            outcome: outcome.map(result),
            ..Self::new(place, at_ms, &copy.request)
        }
    }
}

impl JobEntry {
    /// Returns the oldest place that a reader must read to have the state of the items of `chunk`.
    ///
    /// A submitted chunk is valid only together with all chunks before it, so it needs the first
    /// record of the job.
    #[must_use]
    pub fn oldest_needed_of(&self, chunk: &ChunkEntry) -> RecordPlace {
        if chunk.is_copy {
            chunk.place
        } else {
            self.first_place
        }
    }

    /// Returns the oldest place that a reader must read to have the state of the entire job.
    #[must_use]
    pub fn oldest_needed(&self) -> RecordPlace {
        let places = self.chunks.iter().map(|chunk| self.oldest_needed_of(chunk));
        places.min().unwrap_or(self.first_place)
    }

    /// Returns the place of the newest record, other than a copy, that names the job or one of its
    /// items.
    #[must_use]
    pub fn last_mention(&self) -> RecordPlace {
        let blocks = self.block_mentions.iter().copied();
        blocks.max().unwrap_or_default().max(self.last_job_mention)
    }

    /// Replaces the state of a range of items by a copy, unless the copy is stale.
    pub(super) fn apply_copy(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        copy: &ItemRangeCopy,
    ) -> ApplyResult {
        let same_seal = self.seal.as_deref() == Some(&copy.seal);
        if self.last_mention_in(copy) > copy.as_of {
            return ApplyResult::Duplicate;
        }
        if !same_seal {
            self.chunks.clear();
            self.open_items(&copy.seal);
        }
        self.cancelled = copy.cancelled;
        self.completed_ms = self.completed_ms.max(copy.completed_ms);
        let answered = copy.items.iter().any(|item| item.outcome.is_some());
        let result_index = if answered {
            self.add_result_place(place)
        } else {
            NO_RESULT
        };
        for (item_index, item) in (copy.first..).zip(&copy.items) {
            self.apply_item_copy(place, item_index, item, result_index);
        }
        if copy.items.is_empty() {
            self.first_place = place;
        }
        self.replace_chunk(place, at_ms, copy);
        ApplyResult::Applied
    }

    /// Returns the place of the newest record that names the job as a whole or an item of the
    /// range.
    fn last_mention_in(&self, copy: &ItemRangeCopy) -> RecordPlace {
        let mention_of = |block| self.block_mentions.get(block).copied();
        let places = blocks_of(copy).filter_map(mention_of);
        places.max().unwrap_or_default().max(self.last_job_mention)
    }

    /// Records that a record other than a copy names items.
    pub(super) fn record_item_mentions(
        &mut self,
        place: RecordPlace,
        items: impl Iterator<Item = u32>,
    ) {
        let end = self.states.len();
        if end == 0 {
            self.last_job_mention = place;
        }
        for block in items.filter(|item| (*item as usize) < end).map(block_of) {
            if block >= self.block_mentions.len() {
                let default = RecordPlace::default();
                self.block_mentions.resize(block + 1, default);
            }
            self.block_mentions[block] = place;
        }
    }

    fn apply_item_copy(
        &mut self,
        place: RecordPlace,
        item_index: u32,
        item: &ItemCopy,
        result_index: u32,
    ) {
        let index = item_index as usize;
        if index >= self.states.len() {
            return;
        }
        match &item.outcome {
            Some(outcome) => self.set_state(index, outcome.into(), result_index),
            // From here on, the place of the copy identifies the announcement.
            None if item.announced => self.announce(item_index, place),
            None => self.set_state(index, ItemState::Open, NO_RESULT),
        }
        if item.attempts > 0 {
            self.attempts.insert(item_index, item.attempts);
        } else {
            self.attempts.remove(&item_index);
        }
    }

    /// Replaces the inputs that the copy covers; the rest of a partly covered chunk is kept.
    fn replace_chunk(&mut self, place: RecordPlace, at_ms: u64, copy: &ItemRangeCopy) {
        let count = u32::try_from(copy.items.len()).unwrap_or(0);
        if count == 0 {
            return;
        }
        let (first, end) = (copy.first, copy.first + count);
        let mut chunks = Vec::with_capacity(self.chunks.len() + 2);
        let mut digest = 0;
        for chunk in self.chunks.drain(..) {
            let chunk_end = chunk.first + chunk.count;
            if (chunk.first, chunk_end) == (first, end) {
                digest = chunk.digest;
            }
            if chunk.first < first {
                let count = chunk_end.min(first) - chunk.first;
                chunks.push(ChunkEntry { count, ..chunk });
            }
            if chunk_end > end {
                let first = chunk.first.max(end);
                let count = chunk_end - first;
                chunks.push(ChunkEntry {
                    first,
                    count,
                    ..chunk
                });
            }
        }
        let position = chunks.partition_point(|chunk| chunk.first < first);
        let entry = ChunkEntry {
            first,
            count,
            place,
            written_ms: at_ms,
            digest,
            is_copy: true,
        };
        chunks.insert(position, entry);
        self.chunks = chunks;
    }
}
