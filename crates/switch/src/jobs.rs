//! The batch API: submission and cancellation of jobs, results and item bodies.

use crate::backend::{AppendError, KeyedRecord, LogPartition, ReadError};
use crate::ledger::{ItemState, LedgerJob};
use crate::node::{SwitchNode, millis, unix_time_ms};
use crate::record::{
    AcceptedItem, AcceptedJob, FrameAssembler, ItemOutcome, JobRecord, TextLocation, text_key,
};
use crate::route::ServiceRoute;
use crate::workspace::CallerScope;
use bytes::Bytes;
use slog::{debug, info, warn};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Maximum total size of the texts in one page of results. A larger text is returned in a page of its own.
const MAX_PAGE_BYTES: usize = 900_000;
/// Maximum size of the cache of texts that this host has written or read.
const MAX_CACHE_BYTES: usize = 512 * 1024;
/// Maximum wait for a read of the job records that started after the request arrived.
const SYNC_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum wait for a record to appear in the ledger after its append got no response.
const APPEND_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1200);
/// Retry-after value sent to callers when no host can append to the log.
const LOG_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Retry-after value sent to callers when other hosts have access to the log.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry-after value sent to callers whose job exceeds the quota.
const QUOTA_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Part of a workspace's quota, as a divisor: with less of it left, a job is decided on records that were read after it arrived. What
/// the other hosts accept between two reads must fit in that part.
const QUOTA_MARGIN_DIVISOR: u64 = 10;
/// Assumed upper bound of the clock skew between hosts.
pub(crate) const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// A job as submitted by a caller.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Job ID. Submitting the same ID again has no effect.
    pub job: Arc<str>,
    /// Route that matched the submission.
    pub route: Arc<ServiceRoute>,
    /// Whose job it is.
    pub scope: CallerScope,
    /// Items of the job.
    pub items: Vec<AcceptedItem>,
}

/// Result of submitting or cancelling a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// The record is in the log.
    Done,
    /// The job exceeds the quota; none of it will run.
    OverQuota {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The record was not appended; none of the job will run.
    Refused {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The record may have been appended.
    Unknown,
    /// The job does not exist.
    Missing,
}

impl SubmitReply {
    /// Label value for the metrics.
    #[must_use]
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::OverQuota { .. } => "over quota",
            Self::Refused { .. } => "refused",
            Self::Unknown => "unknown",
            Self::Missing => "missing",
        }
    }
}

/// Result of an item, as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Item ID.
    pub id: Arc<str>,
    /// Output of a completed item; `None` for an abandoned one.
    pub text: Option<Bytes>,
}

/// Result of a query for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply<T> {
    /// The requested value.
    Found(T),
    /// The job or item does not exist.
    Missing,
    /// The log could not be read, so this host cannot tell whether the job exists, or lacks the text of its result.
    Unsure,
}

/// A page of results of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Results starting at the requested position.
    pub results: Vec<ItemResult>,
}

/// First-in, first-out cache of texts by their number.
#[derive(Debug, Default)]
pub struct TextCache {
    texts: VecDeque<(u64, Bytes)>,
    bytes: usize,
}

impl TextCache {
    /// Adds a text and evicts the oldest ones beyond 512 KiB.
    pub fn insert(&mut self, number: u64, text: Bytes) {
        self.bytes += text.len();
        self.texts.push_back((number, text));
        while self.bytes > MAX_CACHE_BYTES {
            let Some((_, oldest)) = self.texts.pop_front() else {
                return;
            };
            self.bytes -= oldest.len();
        }
    }

    /// Looks up a text.
    ///
    /// ```
    /// let mut texts = fulmarswitch_switch::jobs::TextCache::default();
    /// texts.insert(7, "whole output".into());
    /// assert_eq!(texts.get(7), Some("whole output".into()));
    /// ```
    #[must_use]
    pub fn get(&self, number: u64) -> Option<Bytes> {
        let found = self.texts.iter().rev().find(|(key, _)| *key == number);
        found.map(|(_, text)| text.clone())
    }
}

/// Results of a job in the ledger from some position on.
enum Lookup {
    /// Number of items of the job, and IDs and outcomes of settled items.
    Page(usize, Vec<(Arc<str>, ItemOutcome)>),
    /// Number of items of a job that has no results from this position on yet.
    Empty(usize),
    /// The ledger does not contain the job.
    Missing,
}

impl SwitchNode {
    /// Accepts a job, at most once per ID.
    pub async fn submit_job(&self, submission: JobSubmission) -> SubmitReply {
        let started = Instant::now();
        let job = submission.job.clone();
        let workspace = submission.scope.workspace().cloned();
        let items = submission.items.len();
        let tokens = submission.items.iter().map(|item| item.tokens);
        let tokens = tokens.fold(0, u64::saturating_add);
        let quota = submission.route.token_quota;
        let mut is_decidable =
            quota.is_none() || self.knows_job(&job) || self.has_job_records().await;
        if is_decidable && self.is_near_quota(&submission, tokens) {
            is_decidable = self.sync().await;
        }
        let open_tokens = self.open_tokens(&submission);
        let log_age = self.ledger_age(Instant::now());
        let reply = if is_decidable {
            self.accept_job(submission, open_tokens.saturating_add(tokens))
                .await
        } else {
            self.refusal()
        };
        self.metrics.count_job(reply.outcome());
        info!(self.deps.logger, "job submitted"; "job" => &*job, "items" => items,
            "tokens" => tokens, "waiting_tokens" => open_tokens, "quota" => quota,
            "workspace" => workspace.as_deref(),
            "log_age_ms" => millis(log_age),
            "outcome" => ?reply, "after_ms" => millis(started.elapsed()));
        reply
    }

    /// Tokens that wait under the quota of a submission.
    fn open_tokens(&self, submission: &JobSubmission) -> u64 {
        let route = &submission.route;
        let ledger = &self.lock().ledger;
        ledger.open_tokens(&route.host, &route.path_prefix, &submission.scope)
    }

    /// Whether a new job of a workspace comes so close to its quota that jobs which other hosts accept at the same time matter.
    fn is_near_quota(&self, submission: &JobSubmission, tokens: u64) -> bool {
        let quota = submission.route.token_quota;
        let Some(quota) = quota.filter(|_| submission.scope.workspace().is_some()) else {
            return false;
        };
        let waiting = self.open_tokens(submission).saturating_add(tokens);
        waiting >= quota - quota / QUOTA_MARGIN_DIVISOR && !self.knows_job(&submission.job)
    }

    /// Appends the record of a job. `tokens` is the sum of open tokens on its route, including those of the job.
    async fn accept_job(&self, submission: JobSubmission, tokens: u64) -> SubmitReply {
        if self.jobs_read_at.borrow().is_none() {
            return self.refusal();
        }
        let quota = submission.route.token_quota;
        let number = {
            let mut state = self.lock();
            // `refusal` locks the state again, so the lock is released first.
            match state.ledger.get(&submission.job) {
                Some(found) if submission.scope.finds(found.workspace.as_deref()) => {
                    return SubmitReply::Done;
                }
                Some(_) => {
                    info!(self.deps.logger, "job not accepted"; "job" => &*submission.job,
                        "cause" => "another workspace has a job of this ID");
                    None
                }
                None => (!state.stopping).then(|| state.numbers.next_number()),
            }
        };
        let Some(number) = number else {
            return self.refusal();
        };
        if quota.is_some_and(|quota| tokens > quota) {
            return SubmitReply::OverQuota {
                retry_after: QUOTA_RETRY_AFTER,
            };
        }
        let record = JobRecord::Accepted(AcceptedJob {
            job: submission.job.clone(),
            host: submission.route.host.clone(),
            path_prefix: submission.route.path_prefix.clone(),
            accepted_by: self.settings.descriptor.name.clone(),
            accepted_ms: unix_time_ms(),
            items: submission.items,
            workspace: submission.scope.workspace().cloned(),
        });
        match self.append_record(&record, number).await {
            Ok(_) => SubmitReply::Done,
            Err(AppendError::Refused { .. }) => self.refusal(),
            Err(AppendError::Unknown { .. }) => {
                let scope = &submission.scope;
                self.confirm_append(|ledger| ledger.find(&submission.job, scope).is_some())
                    .await
            }
        }
    }

    /// Whether this host knows the job.
    #[must_use]
    pub fn knows_job(&self, job: &str) -> bool {
        self.lock().ledger.get(job).is_some()
    }

    /// Cancels a job; its open items no longer run.
    pub async fn cancel_job(&self, job: &Arc<str>, scope: &CallerScope) -> SubmitReply {
        let reply = match self.find_job(job, scope, |found| found.cancelled).await {
            JobReply::Found(true) => SubmitReply::Done,
            JobReply::Found(false) => self.append_cancellation(job).await,
            JobReply::Missing => SubmitReply::Missing,
            JobReply::Unsure => self.refusal(),
        };
        info!(self.deps.logger, "job end asked"; "job" => &**job, "outcome" => ?reply);
        reply
    }

    async fn append_cancellation(&self, job: &Arc<str>) -> SubmitReply {
        let number = self.lock().numbers.next_number();
        let record = JobRecord::Cancelled { job: job.clone() };
        match self.append_record(&record, number).await {
            Ok(_) => SubmitReply::Done,
            Err(AppendError::Refused { .. }) => self.refusal(),
            Err(AppendError::Unknown { .. }) => {
                self.confirm_append(|ledger| ledger.get(job).is_some_and(|found| found.cancelled))
                    .await
            }
        }
    }

    /// Returns the body of an open item.
    pub async fn item_body(&self, job: &str, item: &str, scope: &CallerScope) -> JobReply<Bytes> {
        let found = self.find_job(job, scope, |found| {
            let mut items = found.items.iter();
            let item = items.find(|entry| &*entry.accepted.id == item)?;
            let is_open = item.state == ItemState::Open && !found.cancelled;
            is_open.then(|| item.accepted.body.clone())
        });
        match found.await {
            JobReply::Found(Some(body)) => JobReply::Found(body),
            JobReply::Found(None) | JobReply::Missing => JobReply::Missing,
            JobReply::Unsure => JobReply::Unsure,
        }
    }

    /// Returns the results of a job from position `after`, waiting up to `wait` for the first one. The page is empty if
    /// there is none by then.
    pub async fn job_results(
        &self,
        job: &str,
        after: usize,
        wait: Duration,
        scope: &CallerScope,
    ) -> JobReply<ResultPage> {
        let deadline = Instant::now() + wait;
        let mut changes = self.job_updates.subscribe();
        let mut is_synced = false;
        loop {
            changes.borrow_and_update();
            let found = self.look_up(job, after, scope);
            match found {
                Lookup::Page(total, outcomes) => {
                    let age = self.ledger_age(Instant::now());
                    self.metrics.record_ledger_age(age);
                    return self.fetch_page(total, outcomes).await;
                }
                Lookup::Empty(_) if Instant::now() < deadline => {
                    // If this times out, the deadline has passed.
                    let _ = timeout_at(deadline, changes.changed()).await;
                    is_synced = false;
                }
                Lookup::Empty(total) if after >= total || self.has_current_ledger(is_synced) => {
                    self.record_empty_page(job, after);
                    let results = Vec::new();
                    return JobReply::Found(ResultPage { total, results });
                }
                Lookup::Missing if is_synced => return JobReply::Missing,
                Lookup::Empty(_) if is_synced => return self.unsure(job),
                Lookup::Empty(_) | Lookup::Missing => {
                    if !self.sync().await {
                        return self.unsure(job);
                    }
                    is_synced = true;
                }
            }
        }
    }

    /// Whether the ledger contains all that any host told a caller more than the settle time ago. If it has not been read for this
    /// caller (`is_synced`), half of that time is left for the answer to be written and to arrive.
    fn has_current_ledger(&self, is_synced: bool) -> bool {
        let settle_time = self.settings.settle_time;
        let max_age = if is_synced {
            settle_time
        } else {
            settle_time / 2
        };
        self.ledger_age(Instant::now()) < max_age
    }

    /// Reads the job records again unless the ledger is current. Returns whether it is now.
    async fn has_job_records(&self) -> bool {
        self.has_current_ledger(false) || (self.sync().await && self.has_current_ledger(true))
    }

    /// The reply to a caller whose answer would depend on records that this host may not have read.
    fn unsure<T>(&self, job: &str) -> JobReply<T> {
        let age = self.ledger_age(Instant::now());
        info!(self.deps.logger, "job not told"; "job" => job, "log_age_ms" => millis(age),
            "cause" => "the job records have not been read lately");
        JobReply::Unsure
    }

    /// Records that a caller is told that there are no results from a position on.
    fn record_empty_page(&self, job: &str, after: usize) {
        let age = self.ledger_age(Instant::now());
        self.metrics.record_ledger_age(age);
        debug!(self.deps.logger, "no results yet"; "job" => job, "after" => after,
            "log_age_ms" => millis(age));
    }

    fn look_up(&self, job: &str, after: usize, scope: &CallerScope) -> Lookup {
        let state = self.lock();
        let Some(job) = state.ledger.find(job, scope) else {
            return Lookup::Missing;
        };
        let remaining = job.results.get(after..).unwrap_or_default();
        if remaining.is_empty() {
            return Lookup::Empty(job.items.len());
        }
        let mut bytes = 0;
        let mut page = Vec::new();
        for result in remaining {
            if let ItemOutcome::Completed(location) = &result.outcome {
                bytes += location.bytes as usize;
            }
            if bytes > MAX_PAGE_BYTES && !page.is_empty() {
                break;
            }
            let item = &job.items[result.item as usize];
            page.push((item.accepted.id.clone(), result.outcome.clone()));
        }
        Lookup::Page(job.items.len(), page)
    }

    async fn fetch_page(
        &self,
        total: usize,
        outcomes: Vec<(Arc<str>, ItemOutcome)>,
    ) -> JobReply<ResultPage> {
        let mut results = Vec::new();
        for (id, outcome) in outcomes {
            let text = match outcome {
                ItemOutcome::Abandoned => None,
                ItemOutcome::Completed(location) => match self.fetch_text(&location).await {
                    Ok(text) => Some(text),
                    Err(_) if results.is_empty() => return JobReply::Unsure,
                    // The results read so far form a page; the next query starts at this position.
                    Err(_) => break,
                },
            };
            results.push(ItemResult { id, text });
        }
        JobReply::Found(ResultPage { total, results })
    }

    /// The refusal of a job at a host that stops, so that its body need not be read; `None` if the host does not stop or has accepted the
    /// job before.
    #[must_use]
    pub fn refuse_at_stop(&self, job: &str) -> Option<SubmitReply> {
        let is_refused = {
            let state = self.lock();
            state.stopping && state.ledger.get(job).is_none()
        };
        is_refused.then(|| {
            info!(self.deps.logger, "job not accepted"; "job" => job, "cause" => "this host stops");
            self.refusal()
        })
    }

    /// Returns the refusal of a request whose record this host cannot append, or does not append because it is
    /// stopping. The retry-after value is short if another host has access to the log.
    fn refusal(&self) -> SubmitReply {
        let others_have_log = self.lock().members.others_have_log(Instant::now());
        let retry_after = if others_have_log {
            OTHER_HOST_RETRY_AFTER
        } else {
            LOG_UNAVAILABLE_RETRY_AFTER
        };
        SubmitReply::Refused { retry_after }
    }

    pub(crate) async fn fetch_text(&self, location: &TextLocation) -> Result<Bytes, ReadError> {
        if let Some(text) = self.lock().texts.get(location.number) {
            return Ok(text);
        }
        let partition = &self.settings.topics.texts;
        let key = text_key(location.number);
        let fetched = self
            .deps
            .log
            .fetch(partition, location.offset, location.frames, &key);
        let records = fetched.await.inspect_err(|error| {
            warn!(self.deps.logger, "text not read"; "offset" => location.offset, "cause" => %error);
        })?;
        let mut frames = FrameAssembler::default();
        let text = records.iter().find_map(|entry| frames.push(&entry.record));
        let Some(text) = text else {
            let cause = "some frames of the text are missing".into();
            warn!(self.deps.logger, "text incomplete"; "offset" => location.offset);
            return Err(ReadError::Unavailable { cause });
        };
        self.lock().texts.insert(location.number, text.clone());
        Ok(text)
    }

    /// Applies `query` to a job, after a fresh read of the log if the job is unknown or another workspace's.
    async fn find_job<T>(
        &self,
        job: &str,
        scope: &CallerScope,
        query: impl Fn(&LedgerJob) -> T,
    ) -> JobReply<T> {
        if let Some(found) = self.lock().ledger.find(job, scope).map(&query) {
            return JobReply::Found(found);
        }
        if !self.sync().await {
            return JobReply::Unsure;
        }
        match self.lock().ledger.find(job, scope).map(&query) {
            Some(found) => JobReply::Found(found),
            None => JobReply::Missing,
        }
    }

    /// Waits until a read of the job records that started after this call has been applied. Returns whether it was.
    async fn sync(&self) -> bool {
        let requested_at = Instant::now();
        let mut reads = self.jobs_read_at.subscribe();
        self.read_requested.notify_one();
        let fresh =
            reads.wait_for(|read_at| read_at.is_some_and(|read_at| read_at >= requested_at));
        timeout(SYNC_TIMEOUT, fresh)
            .await
            .is_ok_and(|waited| waited.is_ok())
    }

    /// Waits for a record whose append got no response. `is_applied` returns whether the ledger contains it.
    async fn confirm_append(
        &self,
        is_applied: impl Fn(&crate::ledger::JobLedger) -> bool,
    ) -> SubmitReply {
        let deadline = Instant::now() + APPEND_CONFIRM_TIMEOUT;
        while Instant::now() < deadline {
            if self.sync().await && is_applied(&self.lock().ledger) {
                return SubmitReply::Done;
            }
            sleep(Duration::from_millis(100)).await;
        }
        SubmitReply::Unknown
    }

    async fn append_record(&self, record: &JobRecord, number: u64) -> Result<u64, AppendError> {
        let frames = record
            .encode(number)
            .map_err(|error| AppendError::Refused {
                cause: error.to_string().into(),
            })?;
        let appended = self.append_to(&self.settings.topics.jobs, &frames).await;
        self.read_requested.notify_one();
        appended
    }

    pub(crate) async fn append_to(
        &self,
        partition: &LogPartition,
        frames: &[KeyedRecord],
    ) -> Result<u64, AppendError> {
        let appended = self.deps.log.append(partition, frames).await;
        let outcome = if appended.is_ok() {
            "appended"
        } else {
            "not appended"
        };
        self.metrics.count_log_call(outcome);
        appended.inspect_err(|error| {
            warn!(self.deps.logger, "append failed"; "topic" => &*partition.topic, "cause" => %error);
        })
    }
}
