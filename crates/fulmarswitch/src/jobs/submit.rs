//! Submission of a job: a beginning, batches of items, and a seal that completes it.

use super::JobOwner;
use crate::context::lock;
use crate::keys::LOG_OUTAGE_RETRY_AFTER;
use crate::replica::AppendError;
use fulmarswitch_decide::shard::{ApplyResult, RejectReason, ShardState};
use fulmarswitch_peer::PeerReply;
use fulmarswitch_peer::message::ItemBatch;
use fulmarswitch_records::record::{ForgetName, JobChunk, JobSeal};
use fulmarswitch_records::{JobHeader, RecordBody, ShardIndex};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a batch after which a submission counts as abandoned.
const SUBMISSION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay in milliseconds while the append queue is full, and while another connection submits
/// the job.
pub(crate) const LOG_FULL_RETRY_MS: u64 = 1_000;
/// Time that a submission waits for a record to be appended and read back.
const APPEND_TIMEOUT: Duration = Duration::from_secs(4);

impl JobOwner {
    /// Begins a submission, or returns the counts of the job if it was accepted earlier.
    pub async fn begin_submission(&self, header: JobHeader) -> PeerReply {
        let name = header.full_name();
        let Some(shard) = self.owned_shard(&name) else {
            return PeerReply::NotOwner;
        };
        let known = self.with_job(shard, &name, |job| job.seal().cloned());
        match known {
            Some(Some(seal)) if seal.header.is_same_job(&header) => {
                return self.job_reply(shard, &name);
            }
            Some(Some(_)) => return conflict(),
            _ => {}
        }
        if let Err(refusal) = self.require_log(shard) {
            return refusal;
        }
        if !self.open_submission(&name) {
            return PeerReply::Refused {
                reason: "the job is being submitted by another connection".into(),
                retry_after_ms: LOG_FULL_RETRY_MS,
            };
        }
        if known.is_some() {
            return self.discard_partial_submission(shard, name).await;
        }
        PeerReply::Received { items: 0 }
    }

    /// Discards the items of an earlier submission that was abandoned.
    async fn discard_partial_submission(&self, shard: ShardIndex, name: Arc<str>) -> PeerReply {
        let as_of = self.shards.with_shard(shard, ShardState::applied);
        let forget = ForgetName {
            as_of,
            name,
            is_job: true,
        };
        let body = RecordBody::Forget(forget);
        match self.append_and_wait(shard, body).await {
            Ok(ApplyResult::Applied) => PeerReply::Received { items: 0 },
            Ok(_) => PeerReply::NotOwner,
            Err(reply) => reply,
        }
    }

    /// Appends a batch of items to a submission.
    pub async fn put_items(&self, batch: ItemBatch) -> PeerReply {
        let Some(shard) = self.owned_shard(&batch.job) else {
            return PeerReply::NotOwner;
        };
        self.touch_submission(&batch.job);
        let end = batch.first + u32::try_from(batch.inputs.len()).unwrap_or(0);
        let chunk = JobChunk {
            job: batch.job,
            first: batch.first,
            inputs: batch.inputs,
        };
        match self
            .append_and_wait(shard, RecordBody::JobChunk(chunk))
            .await
        {
            Ok(ApplyResult::Applied | ApplyResult::Duplicate) => PeerReply::Received { items: end },
            Ok(ApplyResult::Rejected(RejectReason::NameConflict)) => conflict(),
            Ok(ApplyResult::Rejected(RejectReason::JobIncomplete)) => PeerReply::Refused {
                reason: "items before these are missing; submit the job again".into(),
                retry_after_ms: 0,
            },
            Ok(ApplyResult::Rejected(_)) => PeerReply::NotOwner,
            Err(reply) => reply,
        }
    }

    /// Completes a submission. The job is accepted once its seal is in the log.
    pub async fn seal_submission(&self, seal: JobSeal) -> PeerReply {
        let name = seal.header.full_name();
        let Some(shard) = self.owned_shard(&name) else {
            return PeerReply::NotOwner;
        };
        let total = seal.total;
        match self.append_and_wait(shard, RecordBody::JobSeal(seal)).await {
            Ok(ApplyResult::Applied | ApplyResult::Duplicate) => {
                lock(&self.submissions).remove(&*name);
                self.context
                    .events
                    .emit("job-accepted", &name, &format!("{total} items"));
                self.job_reply(shard, &name)
            }
            Ok(ApplyResult::Rejected(RejectReason::NameConflict)) => conflict(),
            Ok(ApplyResult::Rejected(RejectReason::JobIncomplete)) => PeerReply::Refused {
                reason: "the items received are not those that were sent; submit the job again"
                    .into(),
                retry_after_ms: 0,
            },
            Ok(ApplyResult::Rejected(_)) => PeerReply::NotOwner,
            Err(reply) => reply,
        }
    }

    /// Appends a record and waits for the result of applying it. Nothing is queued while the log is
    /// unavailable.
    pub(super) async fn append_and_wait(
        &self,
        shard: ShardIndex,
        body: RecordBody,
    ) -> Result<ApplyResult, PeerReply> {
        self.require_log(shard)?;
        match self.shards.append(shard, body) {
            Ok(receiver) => match tokio::time::timeout(APPEND_TIMEOUT, receiver).await {
                Ok(Ok(appended)) => Ok(appended.result),
                // The record may still take effect.
                Ok(Err(_)) | Err(_) => Err(PeerReply::Unknown),
            },
            Err(AppendError::Closed) => Err(PeerReply::NotOwner),
            Err(error @ AppendError::Full) => Err(PeerReply::Refused {
                reason: error.to_string().into(),
                retry_after_ms: LOG_FULL_RETRY_MS,
            }),
        }
    }

    /// Returns a refusal while the log is unavailable.
    pub(super) fn require_log(&self, shard: ShardIndex) -> Result<(), PeerReply> {
        if self.shards.replica(shard).is_log_available() {
            return Ok(());
        }
        Err(PeerReply::Refused {
            reason: "the log does not answer; nothing was taken".into(),
            retry_after_ms: u64::try_from(LOG_OUTAGE_RETRY_AFTER.as_millis()).unwrap_or(u64::MAX),
        })
    }

    fn open_submission(&self, name: &Arc<str>) -> bool {
        let mut submissions = lock(&self.submissions);
        let free = submissions
            .get(&**name)
            .is_none_or(|last_batch_at| last_batch_at.elapsed() > SUBMISSION_IDLE_TIMEOUT);
        if free {
            submissions.insert(Arc::clone(name), Instant::now());
        }
        free
    }

    fn touch_submission(&self, name: &Arc<str>) {
        lock(&self.submissions).insert(Arc::clone(name), Instant::now());
    }
}

fn conflict() -> PeerReply {
    PeerReply::Conflict {
        reason: "the job id stands for another job; choose a new id".into(),
    }
}
