//! State of all jobs, replayed from the records in the log.
//!
//! All hosts apply the same records in the same order, so they agree on which items have an outcome and on the
//! position of each result.

use crate::frame_set::FrameSet;
use crate::progress::SegmentChain;
use crate::record::{AcceptedItem, AcceptedJob, FailedRun, FrameRange, ItemOutcome, JobRecord};
use crate::workspace::CallerScope;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// State of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The item has no outcome yet.
    Open,
    /// The item has an outcome.
    Settled,
}

/// An item of a job.
#[derive(Clone, Debug)]
pub struct LedgerItem {
    /// The item as submitted; body and headers are dropped once it is settled.
    pub accepted: AcceptedItem,
    /// Whether the item has an outcome.
    pub state: ItemState,
    /// Failed runs at all hosts, sorted.
    pub failures: Vec<FailedRun>,
    /// Checkpointed output.
    pub checkpoints: SegmentChain,
}

/// A settled item in the list of results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledItem {
    /// Index of the item in the job.
    pub item: u32,
    /// Outcome of the item.
    pub outcome: ItemOutcome,
}

/// A job with its items and results.
#[derive(Clone, Debug)]
pub struct LedgerJob {
    /// Job ID.
    pub id: Arc<str>,
    /// Host name of the job's route.
    pub host: Arc<str>,
    /// Path prefix of the job's route.
    pub path_prefix: Arc<str>,
    /// Workspace that the job belongs to, if any.
    pub workspace: Option<Arc<str>>,
    /// Name of the host that accepted the job.
    pub accepted_by: Arc<str>,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Items by index.
    pub items: Vec<LedgerItem>,
    /// Results by position, in the order in which they were recorded.
    pub results: Vec<SettledItem>,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// Records of the job's acceptance; an append without a response may have been repeated.
    pub acceptances: Vec<FrameRange>,
    /// Frames in the log that belong to the job, also those of its acceptances.
    pub frames: FrameSet,
}

impl LedgerJob {
    fn new(accepted: AcceptedJob) -> Self {
        let items = accepted.items.into_iter().map(|item| LedgerItem {
            accepted: item,
            state: ItemState::Open,
            failures: Vec::new(),
            checkpoints: SegmentChain::default(),
        });
        Self {
            id: accepted.job,
            host: accepted.host,
            path_prefix: accepted.path_prefix,
            workspace: accepted.workspace,
            accepted_by: accepted.accepted_by,
            accepted_ms: accepted.accepted_ms,
            items: items.collect(),
            results: Vec::new(),
            cancelled: false,
            acceptances: Vec::new(),
            frames: FrameSet::default(),
        }
    }

    /// Whether the job has items to run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.results.len() < self.items.len()
    }

    /// Sum of the tokens of all open items; zero for a cancelled job.
    #[must_use]
    pub fn open_tokens(&self) -> u64 {
        if self.cancelled {
            return 0;
        }
        let open = self
            .items
            .iter()
            .filter(|item| item.state == ItemState::Open);
        open.map(|item| item.accepted.tokens)
            .fold(0, u64::saturating_add)
    }
}

/// Effect of a record on the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerChange {
    /// No change: the record was applied before, repeats an earlier one, does not apply to the state of the item, or refers to an unknown
    /// job or item.
    Repeated,
    /// A job was added.
    Accepted,
    /// An item has an outcome.
    Settled {
        /// Position in the results of the job.
        position: usize,
    },
    /// A failed run of an item was counted.
    Failed,
    /// A segment of output was added to an item.
    Progressed,
    /// The segments of an item were discarded.
    Discarded,
    /// A job was cancelled.
    Cancelled,
}

/// All jobs, sorted by ID.
#[derive(Clone, Debug, Default)]
pub struct JobLedger {
    jobs: Vec<LedgerJob>,
}

impl JobLedger {
    /// Applies a record from the log, whose last frame has the key `last_key`. Stores which frames belong to the job,
    /// also those of repeated records, so that they can be deleted with it.
    ///
    /// A record is applied once: it comes again in a snapshot that is read after the tail has expired, and if it was
    /// appended twice under one key.
    pub fn apply_entry(&mut self, record: JobRecord, last_key: &[u8]) -> LedgerChange {
        let job = record.job().clone();
        let record_frames = FrameRange::from_record_key(last_key);
        if let (Some(job), Some(frames)) = (self.get(&job), record_frames)
            && job.frames.contains(frames)
        {
            return LedgerChange::Repeated;
        }
        let text_frames = record.text_frames();
        let acceptance = match &record {
            JobRecord::Accepted(_) => record_frames,
            _ => None,
        };
        let change = match (&record, record_frames) {
            (JobRecord::Failed { job, item }, Some(frames)) => {
                self.record_failure(job, *item, frames.into())
            }
            _ => self.apply(record),
        };
        if let Some(job) = self.get_mut(&job) {
            for frames in text_frames.into_iter().chain(record_frames) {
                job.frames.insert(frames);
            }
            job.acceptances.extend(acceptance);
        }
        change
    }

    /// Applies a record. A failed run has no effect, as only the key of its record identifies it.
    pub fn apply(&mut self, record: JobRecord) -> LedgerChange {
        match record {
            JobRecord::Accepted(accepted) => self.accept(accepted),
            JobRecord::Settled { job, item, outcome } => self.settle(&job, item, outcome),
            JobRecord::Failed { .. } | JobRecord::Progress { .. } => LedgerChange::Repeated,
            JobRecord::Checkpoint { job, item, segment } => {
                let item = self.open_item_mut(&job, item);
                if item.is_some_and(|item| item.checkpoints.push(segment)) {
                    LedgerChange::Progressed
                } else {
                    LedgerChange::Repeated
                }
            }
            JobRecord::Discarded { job, item, writer } => match self.open_item_mut(&job, item) {
                Some(item) => {
                    item.checkpoints.discard(writer);
                    LedgerChange::Discarded
                }
                None => LedgerChange::Repeated,
            },
            JobRecord::Cancelled { job } => match self.get_mut(&job) {
                Some(job) if !job.cancelled => {
                    job.cancelled = true;
                    LedgerChange::Cancelled
                }
                _ => LedgerChange::Repeated,
            },
        }
    }

    /// Looks up a job by ID.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&LedgerJob> {
        let index = self.search(id).ok()?;
        Some(&self.jobs[index])
    }

    /// Looks up a job by ID for a caller; `None` also if it belongs to another workspace.
    #[must_use]
    pub fn find(&self, id: &str, scope: &CallerScope) -> Option<&LedgerJob> {
        self.get(id)
            .filter(|job| scope.finds(job.workspace.as_deref()))
    }

    /// Whether an item is to be run: its job is known and not cancelled, and it has no outcome.
    #[must_use]
    pub fn is_item_open(&self, job: &str, item: u32) -> bool {
        let entry = self.get(job).filter(|job| !job.cancelled);
        let item = entry.and_then(|job| job.items.get(item as usize));
        item.is_some_and(|item| item.state == ItemState::Open)
    }

    /// ID of the request that runs an item; `None` if the job or the item is unknown.
    #[must_use]
    pub fn item_id(&self, job: &str, item: u32) -> Option<&Arc<str>> {
        let item = self.get(job)?.items.get(item as usize)?;
        Some(&item.accepted.id)
    }

    /// Jobs with items to run.
    pub fn open_jobs(&self) -> impl Iterator<Item = &LedgerJob> {
        self.jobs.iter().filter(|job| job.is_open())
    }

    /// Sum of the tokens of all open items on a route that share the quota of a caller's jobs.
    #[must_use]
    pub fn open_tokens(&self, host: &str, path_prefix: &str, scope: &CallerScope) -> u64 {
        self.open_jobs()
            .filter(|job| &*job.host == host && &*job.path_prefix == path_prefix)
            .filter(|job| scope.shares_quota(job.workspace.as_deref()))
            .map(LedgerJob::open_tokens)
            .fold(0, u64::saturating_add)
    }

    /// Removes and returns the jobs without open items that were accepted at least `retention` before `now_ms`.
    pub fn remove_expired(&mut self, now_ms: u64, retention: Duration) -> Vec<LedgerJob> {
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let is_retained = |job: &LedgerJob| {
            job.is_open() || now_ms < job.accepted_ms.saturating_add(retention_ms)
        };
        let jobs = std::mem::take(&mut self.jobs);
        let (retained, expired) = jobs.into_iter().partition(is_retained);
        self.jobs = retained;
        expired
    }

    /// Removes and returns the job with this record of its acceptance.
    pub fn remove_accepted_by(&mut self, acceptance: FrameRange) -> Option<LedgerJob> {
        let mut jobs = self.jobs.iter();
        let index = jobs.position(|job| job.acceptances.contains(&acceptance))?;
        Some(self.jobs.remove(index))
    }

    /// Removes and returns the job with the ID of an accepted one if it had expired at that time. The host that accepted the
    /// new job had removed the old one before.
    pub fn remove_replaced(
        &mut self,
        accepted: &AcceptedJob,
        retention: Duration,
    ) -> Option<LedgerJob> {
        let index = self.search(&accepted.job).ok()?;
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let job = &self.jobs[index];
        let expires_ms = job.accepted_ms.saturating_add(retention_ms);
        (!job.is_open() && accepted.accepted_ms >= expires_ms).then(|| self.jobs.remove(index))
    }

    /// Keeps the jobs for whose ID `is_retained` returns true.
    pub fn retain(&mut self, is_retained: impl Fn(&Arc<str>) -> bool) {
        self.jobs.retain(|job| is_retained(&job.id));
    }

    /// Number of jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn accept(&mut self, accepted: AcceptedJob) -> LedgerChange {
        match self.search(&accepted.job) {
            Ok(_) => LedgerChange::Repeated,
            Err(index) => {
                self.jobs.insert(index, LedgerJob::new(accepted));
                LedgerChange::Accepted
            }
        }
    }

    fn settle(&mut self, job: &str, item: u32, outcome: ItemOutcome) -> LedgerChange {
        let Some(job) = self.get_mut(job) else {
            return LedgerChange::Repeated;
        };
        let Some(entry) = job.items.get_mut(item as usize) else {
            return LedgerChange::Repeated;
        };
        if entry.state == ItemState::Settled {
            return LedgerChange::Repeated;
        }
        entry.state = ItemState::Settled;
        entry.accepted.body = Bytes::new();
        entry.accepted.headers = Vec::new();
        entry.checkpoints = SegmentChain::default();
        job.results.push(SettledItem { item, outcome });
        LedgerChange::Settled {
            position: job.results.len() - 1,
        }
    }

    fn record_failure(&mut self, job: &str, item: u32, run: FailedRun) -> LedgerChange {
        let Some(item) = self.open_item_mut(job, item) else {
            return LedgerChange::Repeated;
        };
        match item.failures.binary_search(&run) {
            Ok(_) => LedgerChange::Repeated,
            Err(index) => {
                item.failures.insert(index, run);
                LedgerChange::Failed
            }
        }
    }

    fn open_item_mut(&mut self, job: &str, item: u32) -> Option<&mut LedgerItem> {
        let item = self.get_mut(job)?.items.get_mut(item as usize)?;
        (item.state == ItemState::Open).then_some(item)
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut LedgerJob> {
        let index = self.search(id).ok()?;
        Some(&mut self.jobs[index])
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.jobs.binary_search_by(|job| (*job.id).cmp(id))
    }
}
