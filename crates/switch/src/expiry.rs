//! Expiry of jobs: hosts forget them, and their records are deleted from the log.

use crate::backend::KeyedRecord;
use crate::jobs::MAX_CLOCK_SKEW;
use crate::ledger::LedgerJob;
use crate::node::{SwitchNode, unix_time_ms};
use crate::schedule::ItemName;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum number of tombstones in one append.
const MAX_TOMBSTONES_PER_APPEND: usize = 500;
/// Interval between searches for expired jobs.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Removes expired jobs periodically.
pub(crate) async fn expire_jobs(node: Arc<SwitchNode>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let margin = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
        node.remove_expired_jobs(unix_time_ms().saturating_sub(margin))
            .await;
    }
}

impl SwitchNode {
    /// Removes jobs whose retention has passed at `now_ms`, in milliseconds since the Unix epoch. Every host removes
    /// them from its ledger; one host per job deletes the records from the log.
    pub async fn remove_expired_jobs(&self, now_ms: u64) {
        let own = &*self.settings.descriptor.name;
        let expired: Vec<(LedgerJob, bool)> = {
            let mut state = self.lock();
            let jobs = state
                .ledger
                .remove_expired(now_ms, self.settings.job_retention);
            let (members, now) = (&state.members, Instant::now());
            let is_own = |job: &LedgerJob| members.assigned_host(&first_item(job), own, now) == own;
            jobs.into_iter()
                .map(|job| {
                    let is_own = is_own(&job);
                    (job, is_own)
                })
                .collect()
        };
        for (job, is_own) in expired {
            info!(self.deps.logger, "job expired"; "job" => &*job.id, "drops" => is_own);
            if is_own {
                delete_records(self, &job).await;
            }
        }
    }
}

/// The item whose assigned host deletes the job's records.
fn first_item(job: &LedgerJob) -> ItemName {
    ItemName {
        job: job.id.clone(),
        item: 0,
    }
}

/// Deletes the records and texts of a job, so that the log does not fill up. If that fails, a host that starts later
/// reads the job, finds it expired and deletes it.
async fn delete_records(node: &SwitchNode, job: &LedgerJob) {
    let topics = &node.settings.topics;
    for (partition, is_text) in [(&topics.texts, true), (&topics.jobs, false)] {
        let frames = job.frames.iter();
        let frames = frames.filter(|frames| frames.is_text == is_text);
        let tombstones: Vec<KeyedRecord> = frames
            .flat_map(|frames| frames.tombstones(&job.id))
            .collect();
        for chunk in tombstones.chunks(MAX_TOMBSTONES_PER_APPEND) {
            // `append_to` logs the error.
            if node.append_to(partition, chunk).await.is_err() {
                return;
            }
        }
    }
}
