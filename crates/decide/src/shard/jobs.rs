//! The items of a job, in dense tables: a state byte and a result index per item, and a place per
//! chunk.

use super::{ApplyResult, RejectReason};
use fulmarswitch_records::record::{JobChunk, JobSeal};
use fulmarswitch_records::{ItemOutcome, RecordPlace, SortedIndex};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// State of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ItemState {
    /// Accepted, without an outcome.
    Open,
    /// Announced as about to be sent, without an outcome. The call must not be repeated.
    Announced,
    /// Completed with an answer.
    Done,
    /// Failed permanently.
    Failed,
    /// Sent once, with an unknown result.
    MayHaveRun,
    /// Cancelled before it completed.
    Cancelled,
}

impl ItemState {
    /// Returns whether the item has its outcome.
    ///
    /// ```
    /// use fulmarswitch_decide::shard::jobs::ItemState;
    /// assert!(ItemState::Done.is_final());
    /// assert!(!ItemState::Announced.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Open | Self::Announced)
    }
}

impl From<&ItemOutcome> for ItemState {
    fn from(outcome: &ItemOutcome) -> Self {
        match outcome {
            ItemOutcome::Done { .. } => Self::Done,
            ItemOutcome::Failed { .. } | ItemOutcome::NotRun { .. } => Self::Failed,
            ItemOutcome::MayHaveRun => Self::MayHaveRun,
            ItemOutcome::Cancelled => Self::Cancelled,
        }
    }
}

/// Place of the inputs of consecutive items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkEntry {
    /// Index of the first item.
    pub first: u32,
    /// Number of items.
    pub count: u32,
    /// Place of the newest record that holds the inputs.
    pub place: RecordPlace,
    /// Time of that record by the clock of the log, in milliseconds.
    pub written_ms: u64,
    /// Digest of the inputs; zero if only a copy of the chunk was read.
    pub digest: u64,
    /// Whether the record at `place` is a copy, which holds the entire state of the items.
    pub is_copy: bool,
}

/// Counts of a job's items by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Items without an outcome.
    pub open: u32,
    /// Items completed with an answer.
    pub done: u32,
    /// Items that failed permanently.
    pub failed: u32,
    /// Items sent once, with an unknown result.
    pub may_have_run: u32,
    /// Items cancelled.
    pub cancelled: u32,
}

/// Result index of an item without a result.
pub(super) const NO_RESULT: u32 = u32::MAX;
/// Smallest number of result places at which unused ones are dropped.
const MIN_COMPACT_LEN: usize = 64;

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobEntry {
    /// Place of the first record of the job, or of the newest copy of a job without items.
    pub(super) first_place: RecordPlace,
    /// Place of the newest record, other than a copy, that names the job as a whole or, until the
    /// job is accepted, its items.
    pub(super) last_job_mention: RecordPlace,
    /// Place of the newest record, other than a copy, that names an item of each block of items.
    pub(super) block_mentions: Vec<RecordPlace>,
    pub(super) chunks: Vec<ChunkEntry>,
    pub(super) seal: Option<Arc<JobSeal>>,
    pub(super) cancelled: bool,
    pub(super) states: Vec<ItemState>,
    /// Index into `result_places` for each item, or [`NO_RESULT`].
    pub(super) results: Vec<u32>,
    result_places: Vec<RecordPlace>,
    /// Number of result places at which unused ones are dropped.
    compact_at: usize,
    /// Number of failed attempts of each item that has any.
    pub(super) attempts: SortedIndex<u32, u8>,
    /// Places of the records that announced the items that are announced at present.
    announced: SortedIndex<u32, RecordPlace>,
    counts: JobCounts,
    started_ms: u64,
    pub(super) completed_ms: u64,
}

impl JobEntry {
    pub(super) fn new(place: RecordPlace, at_ms: u64) -> Self {
        Self {
            first_place: place,
            last_job_mention: RecordPlace::default(),
            block_mentions: Vec::new(),
            chunks: Vec::new(),
            seal: None,
            cancelled: false,
            states: Vec::new(),
            results: Vec::new(),
            result_places: Vec::new(),
            compact_at: MIN_COMPACT_LEN,
            attempts: SortedIndex::new(),
            announced: SortedIndex::new(),
            counts: JobCounts::default(),
            started_ms: at_ms,
            completed_ms: 0,
        }
    }

    /// Returns the seal of the job; `None` until the job is accepted.
    #[must_use]
    pub fn seal(&self) -> Option<&Arc<JobSeal>> {
        self.seal.as_ref()
    }

    /// Returns whether the job was cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Returns whether the job is accepted and every item has its outcome.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.seal.is_some() && self.counts.open == 0
    }

    /// Returns the number of items in each state.
    #[must_use]
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// Returns the states of the items, by item index; empty until the job is accepted.
    #[must_use]
    pub fn states(&self) -> &[ItemState] {
        &self.states
    }

    /// Returns the chunks of inputs, in order of their items.
    #[must_use]
    pub fn chunks(&self) -> &[ChunkEntry] {
        &self.chunks
    }

    /// Returns the chunk that holds the input of `item`, if any.
    #[must_use]
    pub fn chunk_of(&self, item: u32) -> Option<&ChunkEntry> {
        let end = self.chunks.partition_point(|chunk| chunk.first <= item);
        let chunk = self.chunks.get(end.checked_sub(1)?)?;
        (item < chunk.first + chunk.count).then_some(chunk)
    }

    /// Returns the place of the record that holds the result of `item`; `None` if the item is open
    /// or was cancelled.
    #[must_use]
    pub fn result_of(&self, item: u32) -> Option<RecordPlace> {
        let result_index = *self.results.get(item as usize)?;
        self.result_places.get(result_index as usize).copied()
    }

    /// Returns the number of failed attempts of `item`.
    #[must_use]
    pub fn attempts_of(&self, item: u32) -> u8 {
        self.attempts.get(&item).copied().unwrap_or(0)
    }

    /// Returns the place of the record that announced `item`, while it is announced. The place
    /// distinguishes this assignment of the item from all others.
    #[must_use]
    pub fn announced_at(&self, item: u32) -> Option<RecordPlace> {
        self.announced.get(&item).copied()
    }

    /// Returns the time of the first record of the job by the clock of the log, in milliseconds.
    #[must_use]
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the time of the newest outcome by the clock of the log, in milliseconds.
    #[must_use]
    pub fn completed_ms(&self) -> u64 {
        self.completed_ms
    }

    /// Returns the number of result places that are kept.
    #[must_use]
    pub fn result_place_count(&self) -> usize {
        self.result_places.len()
    }

    /// Returns the number of submitted items and the digest over the digests of their chunks.
    #[must_use]
    pub fn submitted(&self) -> (u32, u64) {
        let total = self
            .chunks
            .last()
            .map_or(0, |chunk| chunk.first + chunk.count);
        (
            total,
            job_digest(self.chunks.iter().map(|chunk| chunk.digest)),
        )
    }

    pub(super) fn add_chunk(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        chunk: &JobChunk,
    ) -> ApplyResult {
        let Ok(count) = u32::try_from(chunk.inputs.len()) else {
            return ApplyResult::Rejected(RejectReason::JobIncomplete);
        };
        self.last_job_mention = place;
        let digest = chunk_digest(&chunk.inputs);
        if let Some(existing) = self.chunk_of(chunk.first) {
            let is_repeat =
                (existing.first, existing.count, existing.digest) == (chunk.first, count, digest);
            return if is_repeat {
                ApplyResult::Duplicate
            } else {
                ApplyResult::Rejected(RejectReason::NameConflict)
            };
        }
        let (end, _) = self.submitted();
        if self.seal.is_some() || chunk.first != end || count == 0 {
            return ApplyResult::Rejected(RejectReason::JobIncomplete);
        }
        let entry = ChunkEntry {
            first: chunk.first,
            count,
            place,
            written_ms: at_ms,
            digest,
            is_copy: false,
        };
        self.chunks.push(entry);
        ApplyResult::Applied
    }

    pub(super) fn apply_seal(&mut self, place: RecordPlace, seal: &JobSeal) -> ApplyResult {
        self.last_job_mention = place;
        if let Some(existing) = &self.seal {
            return if **existing == *seal {
                ApplyResult::Duplicate
            } else {
                ApplyResult::Rejected(RejectReason::NameConflict)
            };
        }
        if self.submitted() != (seal.total, seal.digest) {
            return ApplyResult::Rejected(RejectReason::JobIncomplete);
        }
        self.open_items(seal);
        ApplyResult::Applied
    }

    pub(super) fn cancel(&mut self, place: RecordPlace, at_ms: u64) -> ApplyResult {
        self.last_job_mention = place;
        if self.seal.is_none() || self.is_finished() {
            return ApplyResult::Rejected(RejectReason::NotOpen);
        }
        self.cancelled = true;
        self.completed_ms = at_ms;
        self.attempts = SortedIndex::new();
        for item in 0..self.states.len() {
            match self.states[item] {
                ItemState::Open => self.finish(item, ItemState::Cancelled, NO_RESULT),
                // The call may have been sent, and its answer will not be awaited.
                ItemState::Announced => self.finish(item, ItemState::MayHaveRun, NO_RESULT),
                _ => {}
            }
        }
        ApplyResult::Applied
    }

    /// Announces items. Either all are announced or none, because the writer sends all that it
    /// announced or nothing.
    pub(super) fn announce_items(&mut self, place: RecordPlace, items: &[u32]) -> ApplyResult {
        self.record_item_mentions(place, items.iter().copied());
        for item in items {
            match self.states.get(*item as usize) {
                Some(ItemState::Open) => {}
                Some(ItemState::Announced) => {
                    return ApplyResult::Rejected(RejectReason::AlreadyAnnounced);
                }
                _ => return ApplyResult::Rejected(RejectReason::NotOpen),
            }
        }
        for item in items {
            self.announce(*item, place);
        }
        ApplyResult::Applied
    }

    /// Reopens announced items that did not run. Either all are reopened or none: a repeated
    /// report, or one that belongs to an earlier assignment, changes nothing.
    pub(super) fn reopen_items(
        &mut self,
        place: RecordPlace,
        items: &[u32],
        announced: RecordPlace,
    ) -> ApplyResult {
        self.record_item_mentions(place, items.iter().copied());
        let current = |item: &u32| self.announced_at(*item) == Some(announced);
        if !items.iter().all(current) {
            return ApplyResult::Duplicate;
        }
        for item in items {
            self.set_state(*item as usize, ItemState::Open, NO_RESULT);
        }
        ApplyResult::Applied
    }

    pub(super) fn count_attempts(&mut self, place: RecordPlace, items: &[u32]) -> ApplyResult {
        self.record_item_mentions(place, items.iter().copied());
        for item in items {
            let state = self.states.get(*item as usize);
            if state.is_none_or(|state| state.is_final()) {
                continue;
            }
            let count = self.attempts_of(*item).saturating_add(1);
            self.attempts.insert(*item, count);
        }
        ApplyResult::Applied
    }

    /// Completes items; the first valid outcome of an item is kept.
    pub(super) fn complete(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        outcomes: &[(u32, ItemOutcome)],
    ) -> ApplyResult {
        self.record_item_mentions(place, outcomes.iter().map(|(item, _)| *item));
        let mut result_index = NO_RESULT;
        for (item, outcome) in outcomes {
            let open = self
                .states
                .get(*item as usize)
                .is_some_and(|state| !state.is_final());
            if !open {
                continue;
            }
            if result_index == NO_RESULT {
                result_index = self.add_result_place(place);
            }
            self.finish(*item as usize, outcome.into(), result_index);
            self.attempts.remove(item);
            self.completed_ms = at_ms;
        }
        if result_index == NO_RESULT {
            ApplyResult::Duplicate
        } else {
            ApplyResult::Applied
        }
    }

    /// Accepts the job: sets the seal and opens all items.
    pub(super) fn open_items(&mut self, seal: &JobSeal) {
        self.announced = SortedIndex::new();
        self.states = vec![ItemState::Open; seal.total as usize];
        self.results = vec![NO_RESULT; seal.total as usize];
        self.counts = JobCounts {
            open: seal.total,
            ..JobCounts::default()
        };
        self.seal = Some(Arc::new(seal.clone()));
        if seal.total == 0 {
            self.completed_ms = self.completed_ms.max(self.started_ms);
        }
    }

    pub(super) fn add_result_place(&mut self, place: RecordPlace) -> u32 {
        if self.result_places.len() >= self.compact_at {
            self.compact_places();
        }
        self.result_places.push(place);
        u32::try_from(self.result_places.len() - 1).unwrap_or(NO_RESULT)
    }

    /// Drops the result places that no item uses. It runs when their number has doubled, so that
    /// its amortised cost per record is small.
    fn compact_places(&mut self) {
        let mut new_indices = vec![NO_RESULT; self.result_places.len()];
        let mut places = Vec::new();
        for result in &mut self.results {
            if *result == NO_RESULT {
                continue;
            }
            let result_index = &mut new_indices[*result as usize];
            if *result_index == NO_RESULT {
                *result_index = u32::try_from(places.len()).unwrap_or(NO_RESULT);
                places.push(self.result_places[*result as usize]);
            }
            *result = *result_index;
        }
        self.result_places = places;
        self.compact_at = MIN_COMPACT_LEN.max(2 * self.result_places.len());
    }

    /// Marks an item as announced by the record at `place`.
    pub(super) fn announce(&mut self, item: u32, place: RecordPlace) {
        self.set_state(item as usize, ItemState::Announced, NO_RESULT);
        self.announced.insert(item, place);
    }

    /// Sets the state of an item, whatever its previous state.
    pub(super) fn set_state(&mut self, item: usize, state: ItemState, result: u32) {
        if self.states[item] == ItemState::Announced {
            self.announced
                .remove(&u32::try_from(item).unwrap_or(u32::MAX));
        }
        self.count(self.states[item], -1);
        self.count(state, 1);
        self.states[item] = state;
        self.results[item] = result;
    }

    fn finish(&mut self, item: usize, state: ItemState, result: u32) {
        debug_assert!(
            !self.states[item].is_final(),
            "item {item} already has the outcome {:?}",
            self.states[item]
        );
        self.set_state(item, state, result);
    }

    fn count(&mut self, state: ItemState, change: i32) {
        let counts = &mut self.counts;
        let count = match state {
            ItemState::Open | ItemState::Announced => &mut counts.open,
            ItemState::Done => &mut counts.done,
            ItemState::Failed => &mut counts.failed,
            ItemState::MayHaveRun => &mut counts.may_have_run,
            ItemState::Cancelled => &mut counts.cancelled,
        };
        *count = count.wrapping_add_signed(change);
    }
}

/// Returns the digest of the inputs of one chunk.
///
/// ```
/// use fulmarswitch_decide::shard::jobs::chunk_digest;
/// assert_ne!(chunk_digest(&["ab".into()]), chunk_digest(&["a".into(), "b".into()]));
/// ```
#[must_use]
pub fn chunk_digest(inputs: &[Arc<str>]) -> u64 {
    let mut hasher = Xxh3::new();
    for input in inputs {
        hasher.update(&(input.len() as u64).to_le_bytes());
        hasher.update(input.as_bytes());
    }
    hasher.digest()
}

/// Returns the digest of a job from the digests of its chunks, in order.
#[must_use]
pub fn job_digest(chunks: impl Iterator<Item = u64>) -> u64 {
    let mut hasher = Xxh3::new();
    for digest in chunks {
        hasher.update(&digest.to_le_bytes());
    }
    hasher.digest()
}
