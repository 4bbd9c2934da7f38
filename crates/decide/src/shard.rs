//! The state of one shard, replayed from the records of its group's stream.
//!
//! All hosts that have read the same records are in the same state. A record is valid only if its
//! epoch is the epoch of the shard at the record's place, and the first valid outcome of an item is
//! its result for all readers. The state is an index: inputs and results stay in the log, at the
//! places recorded here.
//!
//! - [`jobs`]: the items of a job, in dense tables.
//! - [`copies`]: copies of keys and jobs, written before their records expire.
//! - [`verify`]: checks the invariants of a state and names each violation.
//!
//! A reader that starts in the middle of the stream, or that fell behind the retention of the log,
//! does not know the epoch of the records before the first claim that it can verify, and skips
//! them. The owner therefore renews its claim and copies the needed state often enough that all
//! records that are needed come after the oldest claim that the log retains.

pub mod copies;
mod job_records;
pub mod jobs;
mod key_records;
pub mod verify;

use fulmarswitch_records::record::{ForgetName, ShardClaim};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, LogRecord, Offset, OnlineRequest, RecordBody, RecordPlace,
    ShardIndex, SortedIndex,
};
use jobs::JobEntry;
use std::collections::VecDeque;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of claims whose offsets are kept, to determine where a new reader would start.
const MAX_RETAINED_CLAIMS: usize = 64;

/// Largest distance, in entries of the stream, between the place up to which the writer of a copy
/// had read and the place of the copy. A copy further behind is ignored, because the mentions that
/// make it stale may have been dropped.
const MAX_COPY_LAG: u64 = 4_096;
/// Number of mentions of unknown names at which those older than [`MAX_COPY_LAG`] are dropped.
const MAX_UNRESOLVED: usize = 1_024;

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The record changed the state.
    Applied,
    /// The record changed nothing, because the state already contains what it says or newer state.
    Duplicate,
    /// The record is invalid and changed nothing.
    Rejected(RejectReason),
}

/// Reason why a record is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The epoch is not that of the shard at the record's place, because another host claimed the
    /// shard after the writer's claim, or the reader does not know the epoch yet.
    StaleEpoch,
    /// The name of the key or job is already in use with other contents.
    NameConflict,
    /// The key, job or item is unknown or already complete, or another record has named the key or
    /// job since its removal was planned.
    NotOpen,
    /// The start of a call that must not be repeated was already announced.
    AlreadyAnnounced,
    /// The chunks of the job are out of order, incomplete, or do not match its seal.
    JobIncomplete,
    /// This version of the program does not support the kind or version of the record.
    Unknown,
}

/// State of one online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Digest of the request, to distinguish a resend from another request under the same key.
    pub digest: u64,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the start of a call that must not be repeated was announced.
    pub announced: bool,
    /// Place of the newest record that holds the request.
    pub request_place: RecordPlace,
    /// Place of the newest record that names the key.
    pub last_mention: RecordPlace,
    /// Time of the newest record that holds the request, by the clock of the log, in milliseconds.
    pub written_ms: u64,
    /// Place and kind of the outcome; `None` while the request is open.
    pub outcome: Option<KeyResult>,
}

/// Place and kind of the outcome of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyResult {
    /// Place of the newest record that holds the outcome.
    pub place: RecordPlace,
    /// Time of the outcome by the clock of the log, in milliseconds.
    pub completed_ms: u64,
    /// Whether the request did not run: it was given up before any byte was sent. A resend then
    /// starts over: the owner forgets the key and accepts the request in a single append.
    pub not_run: bool,
}

/// Valid claim of the shard.
#[derive(Clone, Copy, Debug)]
struct KnownClaim {
    offset: Offset,
    /// Offset of the first record that the writer had not read.
    next_offset: Offset,
}

/// State of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    shard: ShardIndex,
    epoch: Epoch,
    owner: Option<HostIdentity>,
    claimed_ms: u64,
    claims: VecDeque<KnownClaim>,
    /// Offset at which the reader started. The reader knows the epoch from the first claim whose
    /// writer had read up to this offset.
    start: Offset,
    epoch_known: bool,
    applied: RecordPlace,
    keys: SortedIndex<Arc<str>, KeyEntry>,
    open_keys: SortedIndex<Arc<str>, ()>,
    jobs: SortedIndex<Arc<str>, JobEntry>,
    /// Newest mentions of names that were unknown at the time, by digest of the name.
    unresolved: SortedIndex<u64, RecordPlace>,
}

impl ShardState {
    /// Creates the state of a shard for a reader that starts at the beginning of the stream.
    ///
    /// ```
    /// use fulmarswitch_decide::shard::ShardState;
    /// use fulmarswitch_records::ShardIndex;
    /// assert!(ShardState::new(ShardIndex(3)).owner().is_none());
    /// ```
    #[must_use]
    pub fn new(shard: ShardIndex) -> Self {
        Self::starting_at(shard, Offset(0))
    }

    /// Creates the state of a shard for a reader that starts at offset `start`.
    ///
    /// ```
    /// use fulmarswitch_decide::shard::ShardState;
    /// use fulmarswitch_records::{Offset, ShardIndex};
    /// assert!(ShardState::starting_at(ShardIndex(3), Offset(9)).owner().is_none());
    /// ```
    #[must_use]
    pub fn starting_at(shard: ShardIndex, start: Offset) -> Self {
        Self {
            shard,
            start,
            epoch_known: start == Offset(0),
            ..Self::default()
        }
    }

    /// Returns the index of the shard.
    #[must_use]
    pub fn shard(&self) -> ShardIndex {
        self.shard
    }

    /// Returns the epoch of the newest claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the host incarnation that owns the shard; `None` before the first valid claim.
    #[must_use]
    pub fn owner(&self) -> Option<&HostIdentity> {
        self.owner.as_ref()
    }

    /// Returns the time of the newest valid claim by the clock of the log, in milliseconds.
    #[must_use]
    pub fn claimed_ms(&self) -> u64 {
        self.claimed_ms
    }

    /// Returns the offset of the claim from which a reader that starts at `oldest` knows the epoch
    /// of the shard; `None` if there is no such claim or if it may be older than the claims kept
    /// here.
    #[must_use]
    pub fn replay_start(&self, oldest: Offset) -> Option<Offset> {
        let forgotten = self.claims.len() == MAX_RETAINED_CLAIMS
            && self
                .claims
                .front()
                .is_some_and(|first| first.offset > oldest);
        let mut claims = self.claims.iter();
        let claim = claims.find(|claim| claim.next_offset >= oldest && claim.offset >= oldest);
        claim.filter(|_| !forgotten).map(|claim| claim.offset)
    }

    /// Returns the offset of the claim under which the record at `offset` is read. A reader that starts behind this claim rejects
    /// the record, though the log may still have it. `offset` itself if no such claim is known.
    #[must_use]
    pub fn claim_of(&self, offset: Offset) -> Offset {
        let mut claims = self.claims.iter().rev();
        let claim = claims.find(|claim| claim.offset <= offset);
        claim.map_or(offset, |claim| claim.offset)
    }

    /// Returns whether the reader knows the epoch of the shard.
    #[must_use]
    pub fn knows_epoch(&self) -> bool {
        self.epoch_known
    }

    /// Returns the place of the newest applied record.
    #[must_use]
    pub fn applied(&self) -> RecordPlace {
        self.applied
    }

    /// Returns the state of a key; `None` if it is unknown.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<&KeyEntry> {
        self.keys.get(name)
    }

    /// Returns all keys with their names.
    pub fn keys(&self) -> impl Iterator<Item = (&Arc<str>, &KeyEntry)> {
        self.keys.iter()
    }

    /// Returns the names of the keys without an outcome.
    pub fn open_keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.open_keys.iter().map(|(name, ())| name)
    }

    /// Returns whether a key is known and has no outcome.
    #[must_use]
    pub fn is_open(&self, name: &str) -> bool {
        self.open_keys.contains(name)
    }

    /// Returns the state of a job; `None` if it is unknown.
    #[must_use]
    pub fn job(&self, name: &str) -> Option<&JobEntry> {
        self.jobs.get(name)
    }

    /// Returns all jobs with their names.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<str>, &JobEntry)> {
        self.jobs.iter()
    }

    /// Applies the record at `place`, written at `at_ms` by the clock of the log.
    pub fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> ApplyResult {
        debug_assert_eq!(
            record.shard, self.shard,
            "record {:?} belongs to another shard",
            record.id
        );
        let result = self.apply_body(place, at_ms, record);
        self.applied = place;
        #[cfg(debug_assertions)]
        self.check_after(record);
        result
    }

    fn apply_body(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> ApplyResult {
        if let RecordBody::Claim(claim) = &record.body {
            return self.apply_claim(place, at_ms, record.epoch, claim);
        }
        if record.epoch != self.epoch || !self.epoch_known {
            return ApplyResult::Rejected(RejectReason::StaleEpoch);
        }
        match &record.body {
            RecordBody::Accept(request) => self.apply_accept(place, at_ms, request),
            RecordBody::CallAnnounced(call) => self.apply_call_announced(place, call),
            RecordBody::Outcome(outcome) => self.apply_outcome(place, at_ms, outcome),
            RecordBody::KeyCopy(copy) => self.apply_key_copy(place, at_ms, copy),
            RecordBody::Forget(forget) => self.apply_forget(forget),
            RecordBody::JobChunk(chunk) => self.apply_chunk(place, at_ms, chunk),
            RecordBody::JobCancel(cancel) => self.apply_cancel(place, at_ms, cancel),
            RecordBody::ItemsAnnounced(items) => self.apply_items_announced(place, items),
            RecordBody::ItemsReturned(returned) => self.apply_items_returned(place, returned),
            RecordBody::ItemAttempts(attempts) => self.apply_attempts(place, attempts),
            RecordBody::JobSeal(seal) => self.apply_seal(place, at_ms, seal),
            RecordBody::ItemOutcomes(outcomes) => self.apply_outcomes(place, at_ms, outcomes),
            RecordBody::ItemRangeCopy(copy) => self.apply_items_copy(place, at_ms, copy),
            _ => ApplyResult::Rejected(RejectReason::Unknown),
        }
    }

    fn apply_claim(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        epoch: Epoch,
        claim: &ShardClaim,
    ) -> ApplyResult {
        let verifiable = self.epoch_known || claim.next_offset >= self.start;
        if epoch <= self.epoch || !verifiable {
            self.epoch = self.epoch.max(epoch);
            return ApplyResult::Rejected(RejectReason::StaleEpoch);
        }
        self.epoch_known = true;
        self.epoch = epoch;
        self.owner = Some(claim.owner.clone());
        self.claimed_ms = at_ms;
        if self.claims.len() == MAX_RETAINED_CLAIMS {
            self.claims.pop_front();
        }
        self.claims.push_back(KnownClaim {
            offset: place.offset,
            next_offset: claim.next_offset,
        });
        ApplyResult::Applied
    }

    /// Records that an unknown key, an unknown job as a whole, or a block of items of an unknown
    /// job was mentioned.
    fn record_unresolved(&mut self, place: RecordPlace, name: &str, block: Option<usize>) {
        if self.unresolved.len() >= MAX_UNRESOLVED {
            let oldest = place.offset.0.saturating_sub(MAX_COPY_LAG);
            self.unresolved.retain(|_, place| place.offset.0 >= oldest);
        }
        self.unresolved
            .insert(unresolved_digest(name, block), place);
    }

    /// Returns whether a record after `as_of` mentioned a name that was unknown at the time.
    fn was_mentioned_after(&self, as_of: RecordPlace, name: &str, block: Option<usize>) -> bool {
        let mention = self.unresolved.get(&unresolved_digest(name, block));
        mention.is_some_and(|place| *place > as_of)
    }

    /// Removes a key or job that no record has mentioned since its owner planned the removal.
    fn apply_forget(&mut self, forget: &ForgetName) -> ApplyResult {
        let name = &*forget.name;
        if forget.is_job {
            let unchanged = |job: &JobEntry| job.last_mention() <= forget.as_of;
            let removable = self.jobs.get(name).is_some_and(unchanged);
            return remove_if(removable, || self.jobs.remove(name).is_some());
        }
        let unchanged = |entry: &KeyEntry| entry.last_mention <= forget.as_of;
        let removable = self.keys.get(name).is_some_and(unchanged);
        if removable {
            self.open_keys.remove(name);
        }
        remove_if(removable, || self.keys.remove(name).is_some())
    }

    /// Checks the key that the record names; [`verify::verify_shard`] checks the entire state.
    #[cfg(debug_assertions)]
    fn check_after(&self, record: &LogRecord) {
        if let RecordBody::Outcome(outcome) = &record.body
            && let Some(entry) = self.keys.get(&*outcome.key)
        {
            let violations = verify::check_key(&outcome.key, entry);
            assert!(
                violations.is_empty(),
                "shard {}: {violations:?}",
                self.shard
            );
        }
    }
}

impl KeyEntry {
    fn new(place: RecordPlace, at_ms: u64, request: &OnlineRequest) -> Self {
        Self {
            digest: request.digest(),
            idempotent: request.idempotent,
            announced: false,
            request_place: place,
            last_mention: place,
            written_ms: at_ms,
            outcome: None,
        }
    }
}

impl KeyResult {
    fn new(place: RecordPlace, completed_ms: u64, outcome: &ItemOutcome) -> Self {
        let not_run = matches!(outcome, ItemOutcome::NotRun { .. });
        Self {
            place,
            completed_ms,
            not_run,
        }
    }
}

/// Returns whether a copy was written so late that it is ignored.
fn is_expired_copy(place: RecordPlace, as_of: RecordPlace) -> bool {
    place.offset.0 > as_of.offset.0 + MAX_COPY_LAG
}

fn unresolved_digest(name: &str, block: Option<usize>) -> u64 {
    let seed = block.map_or(0, |block| block as u64 + 1);
    xxh3_64_with_seed(name.as_bytes(), seed)
}

fn remove_if(removable: bool, remove: impl FnOnce() -> bool) -> ApplyResult {
    if removable && remove() {
        ApplyResult::Applied
    } else {
        ApplyResult::Rejected(RejectReason::NotOpen)
    }
}
