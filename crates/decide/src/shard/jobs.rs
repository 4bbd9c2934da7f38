//! A job's items as dense tables: a state byte and a result number an item, and a place a chunk.

use super::{RecordVerdict, VoidReason};
use fulmarswitch_records::record::{CarriedItems, JobChunk, JobSeal};
use fulmarswitch_records::{ItemOutcome, RecordPlace, SortedIndex};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// State of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ItemState {
    /// Accepted and without an outcome.
    Open,
    /// Announced as going out, may not be repeated, and without an outcome.
    Announced,
    /// Answered.
    Done,
    /// Given up.
    Failed,
    /// Sent out once, answer unknown.
    MayHaveRun,
    /// Cancelled before it completed.
    Cancelled,
}

impl ItemState {
    /// Tells whether the item has its outcome.
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

/// Where some consecutive inputs are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkEntry {
    /// Index of the first item.
    pub first: u32,
    /// Number of items.
    pub count: u32,
    /// Place of the newest record that holds the inputs.
    pub place: RecordPlace,
    /// Time of that record on the log's clock, in milliseconds.
    pub written_ms: u64,
    /// Digest of the inputs.
    pub digest: u64,
}

/// Counts of a job's items by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Items without an outcome.
    pub open: u32,
    /// Items answered.
    pub done: u32,
    /// Items given up.
    pub failed: u32,
    /// Items sent out once with an unknown answer.
    pub may_have_run: u32,
    /// Items cancelled.
    pub cancelled: u32,
}

/// Number of an item's result among the job's result places; this one says that there is none.
const NO_RESULT: u32 = u32::MAX;

/// One job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobEntry {
    chunks: Vec<ChunkEntry>,
    seal: Option<Arc<JobSeal>>,
    cancelled: bool,
    states: Vec<ItemState>,
    results: Vec<u32>,
    result_places: Vec<RecordPlace>,
    attempts: SortedIndex<u32, u8>,
    counts: JobCounts,
    started_ms: u64,
    completed_ms: u64,
}

impl JobEntry {
    pub(super) fn new(at_ms: u64) -> Self {
        Self {
            chunks: Vec::new(),
            seal: None,
            cancelled: false,
            states: Vec::new(),
            results: Vec::new(),
            result_places: Vec::new(),
            attempts: SortedIndex::new(),
            counts: JobCounts::default(),
            started_ms: at_ms,
            completed_ms: 0,
        }
    }

    /// Returns the seal, once the job is accepted.
    #[must_use]
    pub fn accepted(&self) -> Option<&Arc<JobSeal>> {
        self.seal.as_ref()
    }

    /// Tells whether the job was cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Tells whether every item has its outcome.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.seal.is_some() && self.counts.open == 0
    }

    /// Returns the counts of items by state.
    #[must_use]
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// Returns the states of the items, in order.
    #[must_use]
    pub fn states(&self) -> &[ItemState] {
        &self.states
    }

    /// Returns where the inputs are, in order of their items.
    #[must_use]
    pub fn chunks(&self) -> &[ChunkEntry] {
        &self.chunks
    }

    /// Returns the chunk that holds `item`.
    #[must_use]
    pub fn chunk_of(&self, item: u32) -> Option<&ChunkEntry> {
        let at = self.chunks.partition_point(|chunk| chunk.first <= item);
        let chunk = self.chunks.get(at.checked_sub(1)?)?;
        (item < chunk.first + chunk.count).then_some(chunk)
    }

    /// Returns the place of the record that holds the result of `item`; none for cancelled items.
    #[must_use]
    pub fn result_of(&self, item: u32) -> Option<RecordPlace> {
        let number = *self.results.get(item as usize)?;
        self.result_places.get(number as usize).copied()
    }

    /// Returns the failed attempts at `item`.
    #[must_use]
    pub fn attempts_of(&self, item: u32) -> u8 {
        self.attempts.get(&item).copied().unwrap_or(0)
    }

    /// Returns the time of the first record on the log's clock, in milliseconds.
    #[must_use]
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the time of the last outcome on the log's clock, in milliseconds.
    #[must_use]
    pub fn completed_ms(&self) -> u64 {
        self.completed_ms
    }

    /// Returns a digest over the digests of the chunks, and the number of items.
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

    pub(super) fn may_be_forgotten(&self) -> bool {
        self.seal.is_none() || self.is_finished()
    }

    pub(super) fn add_chunk(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        chunk: &JobChunk,
    ) -> RecordVerdict {
        let Ok(count) = u32::try_from(chunk.inputs.len()) else {
            return RecordVerdict::Void(VoidReason::JobIncomplete);
        };
        let digest = chunk_digest(&chunk.inputs);
        if let Some(known) = self.chunk_of(chunk.first) {
            let same = (known.first, known.count, known.digest) == (chunk.first, count, digest);
            return if same {
                RecordVerdict::Repeat
            } else {
                RecordVerdict::Void(VoidReason::NameTaken)
            };
        }
        let (end, _) = self.submitted();
        if self.seal.is_some() || chunk.first != end || count == 0 {
            return RecordVerdict::Void(VoidReason::JobIncomplete);
        }
        let entry = ChunkEntry {
            first: chunk.first,
            count,
            place,
            written_ms: at_ms,
            digest,
        };
        self.chunks.push(entry);
        RecordVerdict::Valid
    }

    pub(super) fn seal(&mut self, seal: &JobSeal) -> RecordVerdict {
        if let Some(known) = &self.seal {
            return if **known == *seal {
                RecordVerdict::Repeat
            } else {
                RecordVerdict::Void(VoidReason::NameTaken)
            };
        }
        if self.submitted() != (seal.total, seal.digest) {
            return RecordVerdict::Void(VoidReason::JobIncomplete);
        }
        self.open_items(seal);
        RecordVerdict::Valid
    }

    pub(super) fn cancel(&mut self, at_ms: u64) -> RecordVerdict {
        if self.seal.is_none() || self.is_finished() {
            return RecordVerdict::Void(VoidReason::NotOpen);
        }
        self.cancelled = true;
        self.completed_ms = at_ms;
        for item in 0..self.states.len() {
            match self.states[item] {
                ItemState::Open => self.finish(item, ItemState::Cancelled, NO_RESULT),
                // The call is out, and nobody will wait for its answer.
                ItemState::Announced => self.finish(item, ItemState::MayHaveRun, NO_RESULT),
                _ => {}
            }
        }
        RecordVerdict::Valid
    }

    /// Announces items. All or none: the writer sends out what it announced, or nothing.
    pub(super) fn start(&mut self, items: &[u32]) -> RecordVerdict {
        for item in items {
            match self.states.get(*item as usize) {
                Some(ItemState::Open) => {}
                Some(ItemState::Announced) => {
                    return RecordVerdict::Void(VoidReason::AlreadyRunning);
                }
                _ => return RecordVerdict::Void(VoidReason::NotOpen),
            }
        }
        for item in items {
            self.states[*item as usize] = ItemState::Announced;
        }
        RecordVerdict::Valid
    }

    pub(super) fn count_attempts(&mut self, items: &[u32]) -> RecordVerdict {
        for item in items {
            let count = self.attempts_of(*item).saturating_add(1);
            self.attempts.insert(*item, count);
        }
        RecordVerdict::Valid
    }

    /// Gives items their outcome; the first valid outcome of an item stands.
    pub(super) fn complete(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        outcomes: &[(u32, ItemOutcome)],
    ) -> RecordVerdict {
        let mut number = NO_RESULT;
        for (item, outcome) in outcomes {
            let open = self
                .states
                .get(*item as usize)
                .is_some_and(|state| !state.is_final());
            if !open {
                continue;
            }
            if number == NO_RESULT {
                number = self.add_place(place);
            }
            self.finish(*item as usize, outcome.into(), number);
            self.attempts.remove(item);
            self.completed_ms = at_ms;
        }
        if number == NO_RESULT {
            RecordVerdict::Repeat
        } else {
            RecordVerdict::Valid
        }
    }

    /// Merges a copy of a range of items; it adds what it knows and takes nothing away.
    pub(super) fn carry(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        carried: &CarriedItems,
    ) -> RecordVerdict {
        if self.seal.is_none() {
            self.open_items(&carried.seal);
        }
        self.cancelled |= carried.cancelled;
        self.completed_ms = self.completed_ms.max(carried.completed_ms);
        let number = self.add_place(place);
        for (at, item) in (carried.first..).zip(&carried.items) {
            let at_usize = at as usize;
            let Some(state) = self.states.get(at_usize).copied() else {
                continue;
            };
            if let Some(outcome) = &item.outcome {
                if !state.is_final() {
                    self.finish(at_usize, outcome.into(), number);
                }
                self.results[at_usize] = number;
                continue;
            }
            if item.running && state == ItemState::Open {
                self.states[at_usize] = ItemState::Announced;
            }
            if item.attempts > self.attempts_of(at) {
                self.attempts.insert(at, item.attempts);
            }
        }
        self.replace_chunk(place, at_ms, carried);
        RecordVerdict::Valid
    }

    fn replace_chunk(&mut self, place: RecordPlace, at_ms: u64, carried: &CarriedItems) {
        let count = u32::try_from(carried.items.len()).unwrap_or(0);
        let at = self
            .chunks
            .partition_point(|chunk| chunk.first < carried.first);
        match self.chunks.get_mut(at) {
            Some(chunk) if chunk.first == carried.first => {
                chunk.place = place;
                chunk.written_ms = at_ms;
            }
            _ => {
                let first = carried.first;
                let entry = ChunkEntry {
                    first,
                    count,
                    place,
                    written_ms: at_ms,
                    digest: 0,
                };
                self.chunks.insert(at, entry);
            }
        }
    }

    fn open_items(&mut self, seal: &JobSeal) {
        self.states = vec![ItemState::Open; seal.total as usize];
        self.results = vec![NO_RESULT; seal.total as usize];
        self.counts = JobCounts {
            open: seal.total,
            ..JobCounts::default()
        };
        self.seal = Some(Arc::new(seal.clone()));
    }

    fn add_place(&mut self, place: RecordPlace) -> u32 {
        self.result_places.push(place);
        u32::try_from(self.result_places.len() - 1).unwrap_or(NO_RESULT)
    }

    fn finish(&mut self, item: usize, state: ItemState, result: u32) {
        debug_assert!(!self.states[item].is_final(), "item {item} completes twice");
        self.states[item] = state;
        self.results[item] = result;
        self.counts.open -= 1;
        match state {
            ItemState::Done => self.counts.done += 1,
            ItemState::Failed => self.counts.failed += 1,
            ItemState::MayHaveRun => self.counts.may_have_run += 1,
            ItemState::Cancelled => self.counts.cancelled += 1,
            ItemState::Open | ItemState::Announced => {}
        }
    }
}

/// Returns the digest of one chunk's inputs.
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

/// Returns the digest of a job from the digests of its chunks.
#[must_use]
pub fn job_digest(chunks: impl Iterator<Item = u64>) -> u64 {
    let mut hasher = Xxh3::new();
    for digest in chunks {
        hasher.update(&digest.to_le_bytes());
    }
    hasher.digest()
}
