//! The state of one shard, replayed from the records of its group's stream.
//!
//! Every host that has read the same records is in the same state. A record is valid only if its epoch is
//! the shard's epoch at the record's place; the first valid outcome of an item is its result for all
//! readers. The state is an index: inputs and results stay on the log, at the places kept here.
//!
//! - [`jobs`]: a job's items as dense tables.
//! - [`verify`]: walks a whole state and names every broken invariant.
//!
//! A reader that starts in the middle of the stream does not know the epoch of the records before the
//! first claim it sees and passes over them. The owner renews its claim, and writes needed state again,
//! so often that everything needed stands behind the oldest claim that the log still keeps.

pub mod jobs;
pub mod verify;

use fulmarswitch_records::record::{
    CarriedKey, ForgetName, ItemAttempts, ItemsRunning, JobCancel, JobChunk, KeyOutcome,
    KeyRunning, ShardClaim,
};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, LogRecord, OnlineRequest, RecordBody, RecordPlace,
    ShardIndex, SortedIndex,
};
use jobs::JobEntry;
use std::sync::Arc;

/// What became of a record at its place in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordVerdict {
    /// The record changed the state.
    Valid,
    /// The state already says what the record says.
    Repeat,
    /// The record is void and changed nothing.
    Void(VoidReason),
}

/// Why a record is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidReason {
    /// Another host has claimed the shard since the writer's claim.
    StaleEpoch,
    /// The key or job stands for something else.
    NameTaken,
    /// The record speaks of a key, job or item that is unknown or already complete.
    NotOpen,
    /// A call that may not be repeated was announced before.
    AlreadyRunning,
    /// The job's chunks do not add up to what the seal says.
    JobIncomplete,
    /// The record's kind or version is not known here.
    Unknown,
}

/// One online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Digest of the request.
    pub digest: u64,
    /// False when the call may be run at most once.
    pub idempotent: bool,
    /// Whether a call that may not be repeated was announced.
    pub running: bool,
    /// Place of the newest record that holds the request.
    pub accepted: RecordPlace,
    /// Time of that record on the log's clock, in milliseconds.
    pub written_ms: u64,
    /// The outcome's kind and place.
    pub outcome: Option<KeyResult>,
}

/// Where the outcome of a key is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyResult {
    /// Place of the newest record that holds the outcome.
    pub place: RecordPlace,
    /// Time of the outcome on the log's clock, in milliseconds.
    pub completed_ms: u64,
    /// Whether the key was given up before any byte went out, so that a resend starts anew.
    pub not_run: bool,
}

/// State of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    shard: ShardIndex,
    epoch: Epoch,
    owner: Option<HostIdentity>,
    claimed_ms: u64,
    keys: SortedIndex<Arc<str>, KeyEntry>,
    open_keys: SortedIndex<Arc<str>, ()>,
    jobs: SortedIndex<Arc<str>, JobEntry>,
}

impl ShardState {
    /// Creates the state of a shard before its first record.
    ///
    /// ```
    /// use fulmarswitch_decide::shard::ShardState;
    /// use fulmarswitch_records::ShardIndex;
    /// assert!(ShardState::new(ShardIndex(3)).owner().is_none());
    /// ```
    #[must_use]
    pub fn new(shard: ShardIndex) -> Self {
        Self {
            shard,
            ..Self::default()
        }
    }

    /// Returns the number of the shard.
    #[must_use]
    pub fn shard(&self) -> ShardIndex {
        self.shard
    }

    /// Returns the epoch of the newest valid claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the run of the host that owns the shard.
    #[must_use]
    pub fn owner(&self) -> Option<&HostIdentity> {
        self.owner.as_ref()
    }

    /// Returns the time of the newest valid claim on the log's clock, in milliseconds.
    #[must_use]
    pub fn claimed_ms(&self) -> u64 {
        self.claimed_ms
    }

    /// Returns one key.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<&KeyEntry> {
        self.keys.get(name)
    }

    /// Returns all keys.
    pub fn keys(&self) -> impl Iterator<Item = (&Arc<str>, &KeyEntry)> {
        self.keys.iter()
    }

    /// Returns the names of the keys without an outcome.
    pub fn open_keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.open_keys.iter().map(|(name, ())| name)
    }

    /// Tells whether a key is known and has no outcome.
    #[must_use]
    pub fn is_open(&self, name: &str) -> bool {
        self.open_keys.contains(name)
    }

    /// Returns one job.
    #[must_use]
    pub fn job(&self, name: &str) -> Option<&JobEntry> {
        self.jobs.get(name)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<str>, &JobEntry)> {
        self.jobs.iter()
    }

    /// Applies the record that stands at `place` since `at_ms` on the log's clock.
    pub fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> RecordVerdict {
        debug_assert_eq!(
            record.shard, self.shard,
            "record {:?} of another shard",
            record.id
        );
        let verdict = self.decide(place, at_ms, record);
        #[cfg(debug_assertions)]
        self.check_after(record);
        verdict
    }

    fn decide(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> RecordVerdict {
        if let RecordBody::Claim(claim) = &record.body {
            return self.apply_claim(at_ms, record.epoch, claim);
        }
        if record.epoch != self.epoch {
            return RecordVerdict::Void(VoidReason::StaleEpoch);
        }
        match &record.body {
            RecordBody::Accept(request) => self.apply_accept(place, at_ms, request),
            RecordBody::Running(running) => self.apply_running(running),
            RecordBody::Outcome(outcome) => self.apply_outcome(place, at_ms, outcome),
            RecordBody::CarriedKey(carried) => self.apply_carried_key(place, at_ms, carried),
            RecordBody::Forget(forget) => self.apply_forget(forget),
            RecordBody::JobChunk(chunk) => self.apply_chunk(place, at_ms, chunk),
            RecordBody::JobCancel(cancel) => self.apply_cancel(at_ms, cancel),
            RecordBody::ItemsRunning(running) => self.apply_items_running(running),
            RecordBody::ItemAttempts(attempts) => self.apply_attempts(attempts),
            RecordBody::JobSeal(seal) => match self.jobs.get_mut(&*seal.header.full_name()) {
                Some(job) => job.seal(seal),
                None if seal.total == 0 => {
                    let mut job = JobEntry::new(at_ms);
                    let verdict = job.seal(seal);
                    self.jobs.insert(seal.header.full_name(), job);
                    verdict
                }
                None => RecordVerdict::Void(VoidReason::JobIncomplete),
            },
            RecordBody::ItemOutcomes(outcomes) => match self.jobs.get_mut(&*outcomes.job) {
                Some(job) => job.complete(place, at_ms, &outcomes.outcomes),
                None => RecordVerdict::Void(VoidReason::NotOpen),
            },
            RecordBody::CarriedItems(carried) => {
                let name = carried.seal.header.full_name();
                if !self.jobs.contains(&*name) {
                    self.jobs.insert(name.clone(), JobEntry::new(at_ms));
                }
                match self.jobs.get_mut(&*name) {
                    Some(job) => job.carry(place, at_ms, carried),
                    None => RecordVerdict::Void(VoidReason::NotOpen),
                }
            }
            _ => RecordVerdict::Void(VoidReason::Unknown),
        }
    }

    fn apply_claim(&mut self, at_ms: u64, epoch: Epoch, claim: &ShardClaim) -> RecordVerdict {
        if epoch <= self.epoch {
            return RecordVerdict::Void(VoidReason::StaleEpoch);
        }
        self.epoch = epoch;
        self.owner = Some(claim.owner.clone());
        self.claimed_ms = at_ms;
        RecordVerdict::Valid
    }

    fn apply_accept(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        request: &OnlineRequest,
    ) -> RecordVerdict {
        let name = request.full_key();
        if let Some(entry) = self.keys.get(&*name)
            && !entry.outcome.is_some_and(|result| result.not_run)
        {
            let same = entry.digest == request.digest();
            return if same {
                RecordVerdict::Repeat
            } else {
                RecordVerdict::Void(VoidReason::NameTaken)
            };
        }
        self.open_keys.insert(name.clone(), ());
        self.keys.insert(name, KeyEntry::new(place, at_ms, request));
        RecordVerdict::Valid
    }

    fn apply_running(&mut self, running: &KeyRunning) -> RecordVerdict {
        match self.keys.get_mut(&*running.key) {
            Some(entry) if entry.outcome.is_some() => RecordVerdict::Void(VoidReason::NotOpen),
            Some(entry) if entry.running => RecordVerdict::Void(VoidReason::AlreadyRunning),
            Some(entry) => {
                entry.running = true;
                RecordVerdict::Valid
            }
            None => RecordVerdict::Void(VoidReason::NotOpen),
        }
    }

    fn apply_outcome(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        outcome: &KeyOutcome,
    ) -> RecordVerdict {
        match self.keys.get_mut(&*outcome.key) {
            Some(entry) if entry.outcome.is_some() => RecordVerdict::Repeat,
            Some(entry) => {
                entry.outcome = Some(KeyResult::new(place, at_ms, &outcome.outcome));
                self.open_keys.remove(&*outcome.key);
                RecordVerdict::Valid
            }
            None => RecordVerdict::Void(VoidReason::NotOpen),
        }
    }

    /// Merges a copy into the state. A copy may have been made before a later record was applied, so it
    /// adds what it knows and takes nothing away.
    fn apply_carried_key(
        &mut self,
        place: RecordPlace,
        at_ms: u64,
        carried: &CarriedKey,
    ) -> RecordVerdict {
        let name = carried.request.full_key();
        let copy = KeyEntry::new(place, at_ms, &carried.request);
        if !self.keys.contains(&*name) {
            self.keys.insert(name.clone(), copy.clone());
        }
        let Some(entry) = self.keys.get_mut(&*name) else {
            return RecordVerdict::Void(VoidReason::NotOpen);
        };
        if entry.digest != copy.digest {
            return RecordVerdict::Void(VoidReason::NameTaken);
        }
        entry.accepted = place;
        entry.written_ms = at_ms;
        entry.running |= carried.running;
        if let Some(outcome) = &carried.outcome {
            entry.outcome = Some(KeyResult::new(place, carried.completed_ms, outcome));
        }
        if entry.outcome.is_some() {
            self.open_keys.remove(&*name);
        } else {
            self.open_keys.insert(name, ());
        }
        RecordVerdict::Valid
    }

    fn apply_forget(&mut self, forget: &ForgetName) -> RecordVerdict {
        let name = &*forget.name;
        if forget.job {
            let removable = self.jobs.get(name).is_some_and(JobEntry::may_be_forgotten);
            return take_if(removable, || self.jobs.remove(name).is_some());
        }
        let removable = self
            .keys
            .get(name)
            .is_some_and(|entry| entry.outcome.is_some());
        take_if(removable, || self.keys.remove(name).is_some())
    }

    fn apply_chunk(&mut self, place: RecordPlace, at_ms: u64, chunk: &JobChunk) -> RecordVerdict {
        if !self.jobs.contains(&*chunk.job) {
            self.jobs.insert(chunk.job.clone(), JobEntry::new(at_ms));
        }
        match self.jobs.get_mut(&*chunk.job) {
            Some(job) => job.add_chunk(place, at_ms, chunk),
            None => RecordVerdict::Void(VoidReason::NotOpen),
        }
    }

    fn apply_cancel(&mut self, at_ms: u64, cancel: &JobCancel) -> RecordVerdict {
        match self.jobs.get_mut(&*cancel.job) {
            Some(job) => job.cancel(at_ms),
            None => RecordVerdict::Void(VoidReason::NotOpen),
        }
    }

    fn apply_items_running(&mut self, running: &ItemsRunning) -> RecordVerdict {
        match self.jobs.get_mut(&*running.job) {
            Some(job) => job.start(&running.items),
            None => RecordVerdict::Void(VoidReason::NotOpen),
        }
    }

    fn apply_attempts(&mut self, attempts: &ItemAttempts) -> RecordVerdict {
        match self.jobs.get_mut(&*attempts.job) {
            Some(job) => job.count_attempts(&attempts.items),
            None => RecordVerdict::Void(VoidReason::NotOpen),
        }
    }

    /// Checks what the record touched; the whole state is checked by [`verify::verify_shard`].
    #[cfg(debug_assertions)]
    fn check_after(&self, record: &LogRecord) {
        if let RecordBody::Outcome(outcome) = &record.body
            && let Some(entry) = self.keys.get(&*outcome.key)
        {
            let broken = verify::check_key(&outcome.key, entry);
            assert!(broken.is_empty(), "shard {}: {broken:?}", self.shard);
        }
    }
}

impl KeyEntry {
    fn new(place: RecordPlace, at_ms: u64, request: &OnlineRequest) -> Self {
        Self {
            digest: request.digest(),
            idempotent: request.idempotent,
            running: false,
            accepted: place,
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

fn take_if(removable: bool, remove: impl FnOnce() -> bool) -> RecordVerdict {
    if removable && remove() {
        RecordVerdict::Valid
    } else {
        RecordVerdict::Void(VoidReason::NotOpen)
    }
}
