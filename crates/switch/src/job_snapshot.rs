//! Reads the latest job records page by page and passes them on job by job.
//!
//! The bodies of all jobs that the log retains may exceed the memory of a host, whose ledger drops those of settled items. In the
//! order of keys the records of a job follow each other, and no record depends on one of another job, so it is enough to hold a page
//! and the records of one job.

use crate::backend::{LogEntry, LogPage, LogPartition, NewestPage, ReadError, ReadSize};
use crate::follow::FollowBatch;
use crate::node::SwitchNode;
use crate::record::job_hash_of_key;
use bytes::Bytes;
use std::mem;
use tokio::time::Instant;

/// Maximum size of the records of one job. No job has as many, but a faulty store may send further ones without end.
const MAX_JOB_BYTES: usize = 64 << 20;

/// Records of the job whose end has not been read yet.
#[derive(Default)]
struct JobGrouper {
    pending: Vec<LogEntry>,
}

impl JobGrouper {
    /// Adds records in the order of their keys. Returns those of all jobs before the last one, each job's in order of offset.
    fn push(&mut self, records: Vec<LogEntry>) -> Vec<LogEntry> {
        self.pending.extend(records);
        let hash = |entry: &LogEntry| job_hash_of_key(&entry.record.key);
        let last = self.pending.last().and_then(hash);
        let is_of_last = |entry: &LogEntry| last.is_some() && hash(entry) == last;
        let others = self
            .pending
            .iter()
            .rev()
            .skip_while(|entry| is_of_last(entry));
        let rest = self.pending.split_off(others.count());
        in_order_of_offset(mem::replace(&mut self.pending, rest))
    }

    fn is_too_large(&self) -> bool {
        ReadSize::of(&self.pending).bytes > MAX_JOB_BYTES
    }

    /// Returns the records of the last job.
    fn finish(self) -> Vec<LogEntry> {
        in_order_of_offset(self.pending)
    }
}

fn in_order_of_offset(mut records: Vec<LogEntry>) -> Vec<LogEntry> {
    records.sort_unstable_by_key(|entry| entry.offset);
    records
}

/// Whether the keys of the page ascend, from `after` on. The records of a job could otherwise come in several groups, and those of
/// the groups without its acceptance would be taken for remains of a deleted job.
fn is_ascending(page: &NewestPage, after: Option<&Bytes>) -> bool {
    let keys = page.records.iter().map(|entry| &entry.record.key);
    after
        .into_iter()
        .chain(keys)
        .is_sorted_by(|earlier, later| earlier < later)
}

fn unavailable(cause: &str) -> ReadError {
    ReadError::Unavailable {
        cause: cause.into(),
    }
}

/// Reads the latest record of each key of the job records and applies them in parts, between which other tasks run. Returns a page
/// without records that ends where the tail begins, and adds to `size` what was read. If a page cannot be read, the snapshot is
/// incomplete, and the next one begins anew.
pub(crate) async fn read_job_snapshot<F>(
    node: &SwitchNode,
    partition: &LogPartition,
    size: &mut ReadSize,
    apply: &mut F,
) -> Result<LogPage, ReadError>
where
    F: FnMut(&SwitchNode, FollowBatch<'_>) + Send,
{
    let mut grouper = JobGrouper::default();
    let mut end = None;
    let mut after: Option<Bytes> = None;
    loop {
        let started = Instant::now();
        let page = node.deps.log.read_newest_page(partition, after.as_ref());
        let mut page = page.await?;
        if !is_ascending(&page, after.as_ref()) {
            let cause = "the latest records are not in the order of their keys";
            return Err(unavailable(cause));
        }
        let page_size = ReadSize::of(&page.records);
        size.add(page_size);
        node.metrics.record_job_read(started.elapsed(), page_size);
        if end.is_none() {
            apply(node, FollowBatch::JobsBegin);
        }
        let end = *end.get_or_insert(page.end);
        // Records that were appended since the first page are read again from the tail.
        page.records.retain(|entry| entry.offset < end);
        apply(node, FollowBatch::Jobs(&grouper.push(page.records)));
        if grouper.is_too_large() {
            return Err(unavailable("a job has too many records"));
        }
        after = page.next_after;
        if after.is_none() {
            apply(node, FollowBatch::Jobs(&grouper.finish()));
            return Ok(LogPage {
                next: end,
                end,
                records: Vec::new(),
            });
        }
    }
}
