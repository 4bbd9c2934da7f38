//! Expiry of jobs: hosts forget them, and their records are deleted from the log.
//!
//! Every host keeps the keys of an expired job until it has read their tombstones. One host at a time deletes the records of a
//! group of jobs; if the tombstones stay away, the next one does. The acceptances are deleted first, so that a job whose deletion was
//! interrupted is not read as an open one. Records without an acceptance are left by such a deletion, or were written after it, and are
//! deleted as well.

use crate::backend::{KeyedRecord, LogEntry};
use crate::jobs::MAX_CLOCK_SKEW;
use crate::ledger::LedgerJob;
use crate::node::{SwitchNode, SwitchState, millis, unix_time_ms};
use crate::record::{FrameRange, job_hash, job_hash_of_key};
use rand::Rng;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of tombstones in one append.
const MAX_TOMBSTONES_PER_APPEND: usize = 500;
/// Interval between searches for expired jobs.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Pause between two appends of tombstones.
const DELETION_PAUSE: Duration = Duration::from_millis(50);
/// Number of groups of jobs. One host deletes all jobs of a group that have expired, in a few appends.
const GROUP_COUNT: u64 = 8;
/// Time for which a host waits for the deletion by each host that is ranked before it. A host begins within [`EXPIRY_INTERVAL`].
const TAKEOVER_DELAY: Duration = Duration::from_secs(30);

/// An expired job with records in the log.
#[derive(Debug)]
struct ExpiredJob {
    id: Arc<str>,
    hash: u64,
    /// When this host began to wait for the tombstones.
    queued_at: Instant,
    acceptances: Vec<FrameRange>,
    /// Frames of the other records and of texts.
    others: Vec<FrameRange>,
}

impl ExpiredJob {
    fn group(&self) -> u64 {
        self.hash % GROUP_COUNT
    }

    /// Texts are deleted before the records that locate them, so they need not be waited for.
    fn is_deleted(&self) -> bool {
        self.acceptances.is_empty() && self.others.iter().all(|frames| frames.is_text)
    }
}

/// Tombstones of one append.
struct DeletionBatch {
    is_text: bool,
    tombstones: Vec<KeyedRecord>,
}

/// The expired jobs with records in the log, sorted by the hash of their ID.
#[derive(Debug, Default)]
pub(crate) struct DeletionQueue {
    jobs: Vec<ExpiredJob>,
    /// Hashes of the jobs with a record that this host cannot decode, which may be an acceptance; sorted.
    undecoded: Vec<u64>,
    /// When the log was last unavailable.
    interrupted_at: Option<Instant>,
}

impl DeletionQueue {
    /// Adds a job that has left the ledger.
    pub(crate) fn push_job(&mut self, job: &LedgerJob, now: Instant) {
        let entry = self.entry(&job.id, now);
        for frames in job.frames.iter() {
            let list = if job.acceptances.contains(&frames) {
                &mut entry.acceptances
            } else {
                &mut entry.others
            };
            if !list.contains(&frames) {
                list.push(frames);
            }
        }
    }

    /// Adds a record of a job that has no acceptance, and the text that it locates.
    pub(crate) fn push_orphan(&mut self, job: &Arc<str>, frames: &[FrameRange], now: Instant) {
        if self.undecoded.binary_search(&job_hash(job)).is_ok() {
            return;
        }
        let entry = self.entry(job, now);
        for frames in frames {
            if !entry.others.contains(frames) {
                entry.others.push(*frames);
            }
        }
    }

    /// Removes the frame of a tombstone that was read. Returns the record of a last frame that is not in the queue.
    pub(crate) fn read_tombstone(&mut self, key: &[u8]) -> Option<FrameRange> {
        let hash = job_hash_of_key(key)?;
        let deleted = FrameRange::from_record_key(key)?;
        if let Ok(index) = self.undecoded.binary_search(&hash) {
            self.undecoded.remove(index);
        }
        let Ok(index) = self.search(hash) else {
            return Some(deleted);
        };
        let job = &mut self.jobs[index];
        let before = job.acceptances.len() + job.others.len();
        job.acceptances.retain(|frames| *frames != deleted);
        job.others.retain(|frames| *frames != deleted);
        let is_known = job.acceptances.len() + job.others.len() < before;
        if job.is_deleted() {
            self.jobs.remove(index);
        }
        (!is_known).then_some(deleted)
    }

    /// Keeps the job of a record that cannot be decoded: a host of a later release may have accepted it.
    pub(crate) fn read_undecoded(&mut self, key: &[u8]) {
        let Some(hash) = job_hash_of_key(key) else {
            return;
        };
        if let Err(index) = self.undecoded.binary_search(&hash) {
            self.undecoded.insert(index, hash);
        }
    }

    /// Empties the queue: a snapshot follows, in which every job with an acceptance returns to the ledger.
    pub(crate) fn clear(&mut self) {
        self.jobs.clear();
        self.undecoded.clear();
    }

    /// Begins all waits anew, as other hosts may have lost the log too.
    pub(crate) fn interrupt(&mut self, now: Instant) {
        self.interrupted_at = Some(now);
    }

    /// Tombstones of all jobs whose turn it is at this host, in the order of the appends. `rank` returns the number of
    /// hosts before this one for a group.
    fn due(&self, rank: impl Fn(u64) -> usize, now: Instant) -> Vec<DeletionBatch> {
        if self.jobs.is_empty() {
            return Vec::new();
        }
        let ranks: Vec<usize> = (0..GROUP_COUNT).map(rank).collect();
        let is_due = |job: &&ExpiredJob| {
            let since = self
                .interrupted_at
                .map_or(job.queued_at, |at| at.max(job.queued_at));
            let rank = ranks[usize::try_from(job.group()).unwrap_or_default()];
            let rank = u32::try_from(rank).unwrap_or(u32::MAX);
            now >= since + TAKEOVER_DELAY.saturating_mul(rank)
        };
        let due: Vec<&ExpiredJob> = self.jobs.iter().filter(is_due).collect();
        let acceptances = due.iter().flat_map(|job| {
            let frames = job.acceptances.iter();
            frames.map(|frames| (&*job.id, *frames))
        });
        let others = |is_text| {
            due.iter().flat_map(move |job| {
                let frames = job.others.iter();
                let frames = frames.filter(move |frames| frames.is_text == is_text);
                frames.map(|frames| (&*job.id, *frames))
            })
        };
        let mut batches = batches(false, acceptances);
        batches.extend(self::batches(true, others(true)));
        batches.extend(self::batches(false, others(false)));
        batches
    }

    fn entry(&mut self, id: &Arc<str>, now: Instant) -> &mut ExpiredJob {
        let hash = job_hash(id);
        let index = match self.search(hash) {
            Ok(index) => index,
            Err(index) => {
                let job = ExpiredJob {
                    id: id.clone(),
                    hash,
                    queued_at: now,
                    acceptances: Vec::new(),
                    others: Vec::new(),
                };
                self.jobs.insert(index, job);
                index
            }
        };
        &mut self.jobs[index]
    }

    fn search(&self, hash: u64) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&hash, |job| job.hash)
    }
}

/// Divides the tombstones of frames into appends. The frames of one record are deleted together.
fn batches<'a>(
    is_text: bool,
    frames: impl Iterator<Item = (&'a str, FrameRange)>,
) -> Vec<DeletionBatch> {
    let mut batches: Vec<DeletionBatch> = Vec::new();
    for (job, frames) in frames {
        let mut tombstones = frames.tombstones(job);
        match batches.last_mut() {
            Some(last) if last.tombstones.len() + tombstones.len() <= MAX_TOMBSTONES_PER_APPEND => {
                last.tombstones.append(&mut tombstones);
            }
            _ => batches.push(DeletionBatch {
                is_text,
                tombstones,
            }),
        }
    }
    batches
}

impl SwitchState {
    /// Takes note of a tombstone. A job whose acceptance was deleted by another host has expired there, so it leaves the
    /// ledger: its other records may be missing from a snapshot that was read meanwhile.
    pub(crate) fn apply_tombstone(&mut self, entry: &LogEntry, now: Instant) {
        let Some(deleted) = self.deletions.read_tombstone(&entry.record.key) else {
            return;
        };
        if let Some(job) = self.ledger.remove_accepted_by(deleted) {
            self.deletions.push_job(&job, now);
            self.deletions.read_tombstone(&entry.record.key);
        }
    }

    /// Number of ready hosts that delete the jobs of a group before this host does.
    fn deletion_rank(&self, group: u64, own: &str, now: Instant) -> usize {
        let hash = xxh3_64_with_seed(b"expired jobs", group);
        let ranked = self.members.ranked_hosts(hash, own, usize::MAX, now);
        ranked.iter().position(|name| *name == own).unwrap_or(0)
    }
}

/// Removes expired jobs periodically. Hosts that started together do so at different times.
pub(crate) async fn expire_jobs(node: Arc<SwitchNode>) {
    let offset = node.lock().rng.random_range(0.0..1.0);
    sleep(EXPIRY_INTERVAL.mul_f64(offset)).await;
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now_ms = unix_time_ms().saturating_sub(millis(MAX_CLOCK_SKEW));
        node.remove_expired_jobs(now_ms).await;
    }
}

impl SwitchNode {
    /// Removes jobs whose retention has passed at `now_ms`, in milliseconds since the Unix epoch, from the ledger, and
    /// deletes the records of those expired jobs whose turn it is at this host.
    pub async fn remove_expired_jobs(&self, now_ms: u64) {
        let batches = {
            let now = Instant::now();
            let mut state = self.lock();
            let retention = self.settings.job_retention;
            for job in state.ledger.remove_expired(now_ms, retention) {
                info!(self.deps.logger, "job expired"; "job" => &*job.id);
                state.deletions.push_job(&job, now);
            }
            let own = &self.settings.descriptor.name;
            let rank = |group| state.deletion_rank(group, own, now);
            state.deletions.due(rank, now)
        };
        let topics = &self.settings.topics;
        for (index, batch) in batches.iter().enumerate() {
            if index > 0 {
                sleep(DELETION_PAUSE).await;
            }
            let partition = if batch.is_text {
                &topics.texts
            } else {
                &topics.jobs
            };
            // `append_to` logs the error. The jobs stay in the queue, and the next pass begins with the acceptances again.
            if self.append_to(partition, &batch.tombstones).await.is_err() {
                return;
            }
            info!(self.deps.logger, "records deleted"; "topic" => &*partition.topic,
                "count" => batch.tombstones.len());
        }
    }
}
