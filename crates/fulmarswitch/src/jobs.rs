//! Owner of batch jobs: submission, offers to gates, assignment of items, outcomes and results.

mod assignment;
mod handover;
mod results;
mod submit;

pub(crate) use submit::LOG_FULL_RETRY_MS;

use crate::context::{HostContext, lock};
use crate::fleet::FleetState;
use crate::shards::ShardReplicas;
use fulmarswitch_decide::assignment::ItemAssignments;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_decide::shard::jobs::JobEntry;
use fulmarswitch_peer::message::{JobName, JobReport};
use fulmarswitch_peer::{PeerMessage, PeerReply};
use fulmarswitch_records::record::{JobCancel, JobChunk};
use fulmarswitch_records::{RecordBody, RecordPlace, ShardIndex, SortedIndex};
use handover::PendingHandover;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Number of chunks of inputs that are cached in memory.
const CHUNK_CACHE_CAPACITY: usize = 32;

/// An unfinished job that this host owns.
pub(crate) struct JobRun {
    shard: ShardIndex,
    assignments: ItemAssignments,
    started_at: Instant,
}

/// A cached chunk of inputs. The cache is keyed by job and place, since records of different streams
/// can have the same place.
struct CachedChunk {
    job: Arc<str>,
    place: RecordPlace,
    chunk: Arc<JobChunk>,
}

/// Owner of the jobs of the shards that this host owns.
pub struct JobOwner {
    context: HostContext,
    fleet: Arc<FleetState>,
    shards: Arc<ShardReplicas>,
    runs: Mutex<SortedIndex<Arc<str>, JobRun>>,
    owned_since: Mutex<SortedIndex<ShardIndex, Instant>>,
    pending_handovers: Mutex<Vec<PendingHandover>>,
    /// Time of the last batch of each submission in progress, by job.
    submissions: Mutex<SortedIndex<Arc<str>, Instant>>,
    chunks: Mutex<Vec<CachedChunk>>,
}

impl JobOwner {
    /// Creates an owner without runs; [`Self::run_offers`] starts them.
    #[must_use]
    pub fn new(
        context: &HostContext,
        fleet: &Arc<FleetState>,
        shards: &Arc<ShardReplicas>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            shards: Arc::clone(shards),
            runs: Mutex::default(),
            owned_since: Mutex::default(),
            pending_handovers: Mutex::default(),
            submissions: Mutex::default(),
            chunks: Mutex::default(),
        })
    }

    /// Cancels a job and notifies the gates, which stop its items. A finished job stays as it is.
    pub async fn cancel(&self, name: &JobName) -> PeerReply {
        let Some(shard) = self.owned_shard(&name.job) else {
            return PeerReply::NotOwner;
        };
        if self.with_job(shard, &name.job, |_| ()).is_none() {
            return PeerReply::NotFound;
        }
        let body = RecordBody::JobCancel(JobCancel {
            job: Arc::clone(&name.job),
        });
        match self.append_and_wait(shard, body).await {
            Ok(ApplyResult::Applied) => {
                self.context
                    .events
                    .emit("job-cancelled", &name.job, "no more items start");
                lock(&self.runs).remove(&*name.job);
                self.notify_gates(name).await;
                self.job_reply(shard, &name.job)
            }
            // The job has finished or was cancelled earlier.
            Ok(_) => self.job_reply(shard, &name.job),
            Err(reply) => reply,
        }
    }

    async fn notify_gates(&self, name: &JobName) {
        for target in self.fleet.view().live_targets() {
            let message = PeerMessage::StopJob(name.clone());
            // An unreachable gate continues its items, and its report of them has no effect.
            let _ = self.context.link.call(&target, message).await;
        }
    }

    /// Returns the shard of a job, or `None` if this host does not own it.
    fn owned_shard(&self, job: &str) -> Option<ShardIndex> {
        let shard = self.fleet.view().shard_of(job);
        self.shards.owned_epoch(shard).map(|_| shard)
    }

    fn with_job<T>(
        &self,
        shard: ShardIndex,
        job: &str,
        read: impl FnOnce(&JobEntry) -> T,
    ) -> Option<T> {
        self.shards
            .with_shard(shard, |state| state.job(job).map(read))
    }

    fn job_reply(&self, shard: ShardIndex, job: &str) -> PeerReply {
        self.with_job(shard, job, job_report)
            .flatten()
            .map_or(PeerReply::NotFound, PeerReply::Job)
    }
}

fn job_report(entry: &JobEntry) -> Option<JobReport> {
    let seal = entry.seal()?;
    let counts = entry.counts();
    Some(JobReport {
        header: seal.header.clone(),
        total: seal.total,
        digest: seal.digest,
        open: counts.open,
        done: counts.done,
        failed: counts.failed,
        may_have_run: counts.may_have_run,
        cancelled: counts.cancelled,
        is_cancelled: entry.is_cancelled(),
    })
}
