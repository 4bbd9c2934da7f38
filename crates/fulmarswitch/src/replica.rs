//! A local replica of one log stream, and appends to the stream.
//!
//! A replica tails its stream and applies every record to its [`StreamReplay`], in log order. Appended
//! records go through the committer and take effect only once the tail has read them back; the writer then
//! receives the record's position and the result of applying it. If the outcome of an append is unknown, the
//! replica reads the tail before it sends the records again. A second copy of a record is applied as a
//! duplicate by every replica.

use crate::commit::RecordCommitter;
use crate::context::{HostContext, lock, millis};
use bytes::Bytes;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_platform::{LogError, LogPage};
use fulmarswitch_records::{
    Epoch, LogRecord, Offset, RecordBody, RecordId, RecordPlace, ShardIndex, SortedIndex,
    decode_frame,
};
use snafu::Snafu;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

/// Maximum number of entries in one read.
const MAX_PAGE_ENTRIES: usize = 256;
/// Time that a read waits at the log for new entries.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the first failed read; grows linearly with consecutive failures.
const MIN_READ_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay after a failed read.
const MAX_READ_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of records in one commit.
const MAX_BATCH_RECORDS: usize = 512;
/// Number of entries of the time index per retention period of the log.
const TIME_INDEX_ENTRIES: u32 = 64;
/// Maximum size of the records in one commit, in estimated bytes; a larger record is committed alone.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Consecutive failed reads after which the log counts as unavailable.
const MAX_FAILED_READS: u32 = 2;
/// Time without an answered read after which the log counts as unavailable. Must exceed
/// [`LONG_POLL_TIMEOUT`], since a read of an idle stream takes that long.
const READ_UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_200);
/// Time without a committed batch, while records are queued, after which the log counts as unavailable.
const APPEND_UNAVAILABLE_AFTER: Duration = Duration::from_millis(2_500);

/// State that a [`StreamReplica`] builds from the records of its stream.
pub trait StreamReplay: Send + 'static {
    /// Applies the record at `place`, which was appended at `at_ms` on the log's clock.
    fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> ApplyResult;

    /// Called when the log has dropped the entries before `start` although they were not read yet.
    fn reset(&mut self, start: Offset) {
        let _ = start;
    }
}

/// Errors of an append.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// The append queue is over its byte limit; the record was not queued.
    #[snafu(display("too much waits for the log; try again when it answers"))]
    Full,
    /// This host does not own the shard, or it is stopping.
    #[snafu(display("the host is stopping; ask another"))]
    Closed,
}

/// A record in the log and the result of applying it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendedRecord {
    /// Position of the record in the stream.
    pub place: RecordPlace,
    /// Result of applying the record at this position.
    pub result: ApplyResult,
}

/// Read progress of a replica.
#[derive(Clone, Debug)]
pub struct TailStatus {
    /// Next offset to read.
    pub next: Offset,
    /// Whether the replica has reached the head of the stream at least once.
    pub caught_up: bool,
    /// When the log last answered a read.
    pub read_at: Instant,
    /// Reads that the log answered.
    pub reads: u64,
    /// Reads that have failed since the last answered one.
    pub failed_reads: u32,
    /// Time on the log's clock at the last read, in milliseconds since the Unix epoch.
    pub log_ms: u64,
    /// Time for which the log keeps entries.
    pub retention: Duration,
    /// Oldest offset that the log still keeps.
    pub oldest: Offset,
}

struct QueuedRecord {
    record: LogRecord,
    bytes: usize,
}

#[derive(Default)]
struct AppendQueue {
    records: VecDeque<QueuedRecord>,
    bytes: usize,
    /// Time of the last commit, or of the first append to an empty queue; `None` while nothing is queued or
    /// being committed.
    stalled_since: Option<Instant>,
    waiters: SortedIndex<u64, Option<oneshot::Sender<AppendedRecord>>>,
}

/// Replica of one log stream, with a queue of records to append.
pub struct StreamReplica<R> {
    stream: Arc<str>,
    context: HostContext,
    committer: Arc<RecordCommitter>,
    replay: Mutex<R>,
    queue: Mutex<AppendQueue>,
    queued: Notify,
    sequence: AtomicU64,
    status: watch::Sender<TailStatus>,
    /// Sparse index of offsets by append time on the log's clock, in milliseconds.
    time_index: Mutex<VecDeque<(Offset, u64)>>,
}

impl<R: StreamReplay> StreamReplica<R> {
    /// Creates the replica of a stream and spawns its tail and its writer.
    pub fn start(
        stream: &str,
        context: &HostContext,
        committer: &Arc<RecordCommitter>,
        replay: R,
    ) -> Arc<Self> {
        let status = TailStatus {
            next: Offset(0),
            caught_up: false,
            read_at: Instant::now(),
            reads: 0,
            failed_reads: 0,
            log_ms: 0,
            retention: Duration::ZERO,
            oldest: Offset(0),
        };
        let replica = Arc::new(Self {
            stream: stream.into(),
            context: context.clone(),
            committer: Arc::clone(committer),
            replay: Mutex::new(replay),
            queue: Mutex::default(),
            queued: Notify::new(),
            sequence: AtomicU64::new(0),
            status: watch::Sender::new(status),
            time_index: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&replica).run_tail());
        tokio::spawn(Arc::clone(&replica).run_writer());
        replica
    }

    /// Returns the name of the stream.
    #[must_use]
    pub fn stream(&self) -> &Arc<str> {
        &self.stream
    }

    /// Locks the replayed state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, R> {
        lock(&self.replay)
    }

    /// Returns the read progress, which is updated with every answered or failed read.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<TailStatus> {
        self.status.subscribe()
    }

    /// Returns whether the replica has caught up and the log has answered a read within the last `limit`.
    #[must_use]
    pub fn is_fresh(&self, limit: Duration) -> bool {
        let status = self.status.borrow();
        status.caught_up && status.read_at.elapsed() <= limit
    }

    /// Returns an offset before which all entries are older than `age`, by the log's clock. Later entries may
    /// be older, too, since the time index is sparse.
    #[must_use]
    pub fn offset_at_age(&self, age: Duration) -> Offset {
        let log_ms = self.status.borrow().log_ms;
        let before_ms = log_ms.saturating_sub(millis(age));
        let time_index = lock(&self.time_index);
        let index = time_index.partition_point(|(_, at_ms)| *at_ms < before_ms);
        index
            .checked_sub(1)
            .map_or(Offset(0), |index| time_index[index].0.next())
    }

    /// Returns whether the log answers reads and, if records are queued, commits them.
    #[must_use]
    pub fn is_log_available(&self) -> bool {
        let stalled = lock(&self.queue)
            .stalled_since
            .is_some_and(|since| since.elapsed() > APPEND_UNAVAILABLE_AFTER);
        let failed = self.status.borrow().failed_reads >= MAX_FAILED_READS;
        !stalled && !failed && self.is_fresh(READ_UNAVAILABLE_AFTER)
    }

    /// Returns the bytes of queued records.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        lock(&self.queue).bytes
    }

    /// Returns whether the queue is over its byte limit, so that further appends fail.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.pending_bytes() > self.context.settings.tuning.pending_bytes
    }

    /// Queues a record; the receiver gets the result once the tail has read the record back.
    ///
    /// The record is written even if the receiver is dropped.
    ///
    /// # Errors
    /// [`AppendError::Full`] when the queue is over its byte limit.
    pub fn append(
        &self,
        shard: ShardIndex,
        epoch: Epoch,
        body: RecordBody,
    ) -> Result<oneshot::Receiver<AppendedRecord>, AppendError> {
        let mut receivers = self.append_all(shard, epoch, vec![body])?;
        receivers.pop().ok_or(AppendError::Closed)
    }

    /// Queues records that are written in this order, without other records of this replica between them.
    ///
    /// # Errors
    /// [`AppendError::Full`] when the queue is over its byte limit; then none is queued.
    pub fn append_all(
        &self,
        shard: ShardIndex,
        epoch: Epoch,
        bodies: Vec<RecordBody>,
    ) -> Result<Vec<oneshot::Receiver<AppendedRecord>>, AppendError> {
        let mut queue = lock(&self.queue);
        if queue.bytes > self.context.settings.tuning.pending_bytes {
            return Err(AppendError::Full);
        }
        queue.stalled_since.get_or_insert_with(Instant::now);
        let mut receivers = Vec::with_capacity(bodies.len());
        for body in bodies {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
            let id = RecordId {
                writer: self.context.identity.clone(),
                sequence,
            };
            let stamp = self.context.events.clock().tick();
            let record = LogRecord {
                id,
                shard,
                epoch,
                stamp,
                body,
            };
            let bytes = record.size_hint();
            let (sender, receiver) = oneshot::channel();
            queue.bytes += bytes;
            queue.waiters.insert(sequence, Some(sender));
            queue.records.push_back(QueuedRecord { record, bytes });
            receivers.push(receiver);
        }
        drop(queue);
        self.queued.notify_one();
        Ok(receivers)
    }

    /// Reads one record from the log.
    ///
    /// # Errors
    /// [`LogError`] when the log does not answer or has dropped the entry.
    pub async fn read_record(&self, place: RecordPlace) -> Result<LogRecord, LogError> {
        let records = self.read_entry(place.offset).await?;
        let position = place.position as usize;
        records
            .into_iter()
            .nth(position)
            .ok_or_else(|| expired(&self.stream, place.offset))
    }

    /// Reads all records of one entry from the log.
    ///
    /// # Errors
    /// [`LogError`] when the log does not answer or has dropped the entry.
    pub async fn read_entry(&self, offset: Offset) -> Result<Vec<LogRecord>, LogError> {
        let page = self
            .context
            .log
            .read(&self.stream, offset, 1, Duration::ZERO)
            .await?;
        let entry = page.entries.first().filter(|entry| entry.offset == offset);
        let entry = entry.ok_or_else(|| expired(&self.stream, offset))?;
        decode_frame(&entry.data).map_err(|error| LogError::Unknown {
            cause: error.to_string().into(),
        })
    }

    async fn run_tail(self: Arc<Self>) {
        loop {
            let from = self.status.borrow().next;
            let log = &self.context.log;
            let read = log
                .read(&self.stream, from, MAX_PAGE_ENTRIES, LONG_POLL_TIMEOUT)
                .await;
            if let Ok(page) = read {
                self.apply_page(&page);
                continue;
            }
            let failed = self.status.borrow().failed_reads + 1;
            self.status
                .send_modify(|status| status.failed_reads = failed);
            let backoff = MIN_READ_BACKOFF * failed;
            tokio::time::sleep(backoff.min(MAX_READ_BACKOFF)).await;
        }
    }

    fn apply_page(&self, page: &LogPage) {
        let mut next = self.status.borrow().next;
        if page.oldest > next {
            next = page.oldest;
            self.state().reset(next);
            let entity = format!("{}:{next}", self.stream);
            let detail = "entries before this offset expired before they were read";
            self.context.events.emit("start-over", &entity, detail);
        }
        for entry in &page.entries {
            next = entry.offset.next();
            self.index_time(entry.offset, entry.at_ms, page);
            match decode_frame(&entry.data) {
                Ok(records) => self.apply_entry(entry.offset, entry.at_ms, &records),
                Err(error) => {
                    let entity = format!("{}:{}", self.stream, entry.offset);
                    self.context
                        .events
                        .emit("foreign-entry", &entity, &error.to_string());
                }
            }
        }
        self.status.send_modify(|status| {
            status.next = next;
            status.caught_up |= next >= page.head;
            status.read_at = Instant::now();
            status.reads += 1;
            status.failed_reads = 0;
            status.log_ms = page.now_ms;
            status.retention = page.retention;
            status.oldest = page.oldest;
        });
    }

    /// Adds an entry to the time index, and drops index entries that are too close together or expired.
    fn index_time(&self, offset: Offset, at_ms: u64, page: &LogPage) {
        let retention_ms = millis(page.retention);
        let mut time_index = lock(&self.time_index);
        let step_ms = retention_ms / u64::from(TIME_INDEX_ENTRIES);
        // The last index entry is always the newest log entry. The next log entry replaces it unless that one
        // is at least a step newer than the index entry before.
        let previous_ms = time_index
            .len()
            .checked_sub(2)
            .map(|index| time_index[index].1);
        if previous_ms.is_some_and(|previous_ms| at_ms < previous_ms + step_ms) {
            time_index.pop_back();
        }
        time_index.push_back((offset, at_ms));
        let expired_ms = page.now_ms.saturating_sub(retention_ms);
        while time_index.len() > 1 && time_index[1].1 < expired_ms {
            time_index.pop_front();
        }
    }

    fn apply_entry(&self, offset: Offset, at_ms: u64, records: &[LogRecord]) {
        for (position, record) in (0..).zip(records) {
            let place = RecordPlace { offset, position };
            self.context.events.clock().observe(record.stamp);
            let result = self.state().apply(place, at_ms, record);
            if record.id.writer == self.context.identity {
                self.notify_writer(record.id.sequence, AppendedRecord { place, result });
            }
        }
    }

    /// Notifies the writer of a record when its first copy is read; later copies find no waiter.
    fn notify_writer(&self, sequence: u64, appended: AppendedRecord) {
        let waiter = lock(&self.queue).waiters.remove(&sequence);
        if let Some(Some(waiter)) = waiter {
            // The writer may have stopped waiting; the record takes effect anyway.
            let _ = waiter.send(appended);
        }
    }

    async fn run_writer(self: Arc<Self>) {
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                self.queued.notified().await;
                continue;
            }
            self.commit_batch(batch).await;
        }
    }

    fn take_batch(&self) -> Vec<QueuedRecord> {
        let mut queue = lock(&self.queue);
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < MAX_BATCH_RECORDS {
            let Some(first) = queue.records.front() else {
                break;
            };
            if !batch.is_empty() && bytes + first.bytes > MAX_BATCH_BYTES {
                break;
            }
            bytes += first.bytes;
            batch.extend(queue.records.pop_front());
        }
        batch
    }

    /// Commits a batch, with retries until all of it is in the log. Later batches wait, so records of one
    /// writer that depend on each other are in the log in the order in which they were queued.
    async fn commit_batch(&self, batch: Vec<QueuedRecord>) {
        let bytes: usize = batch.iter().map(|queued| queued.bytes).sum();
        let mut records: Vec<LogRecord> = batch.into_iter().map(|queued| queued.record).collect();
        while !records.is_empty() {
            match self.committer.commit(&self.stream, records.clone()).await {
                Ok(()) => break,
                Err(LogError::Refused { retry_after }) => tokio::time::sleep(retry_after).await,
                Err(LogError::Unknown { .. }) => self.wait_for_next_read().await,
            }
            let queue = lock(&self.queue);
            records.retain(|record| queue.waiters.contains(&record.id.sequence));
        }
        let mut queue = lock(&self.queue);
        queue.bytes -= bytes;
        let more = !queue.records.is_empty();
        queue.stalled_since = more.then(Instant::now);
    }

    /// Waits until the log has answered a read that began after the failed append.
    async fn wait_for_next_read(&self) {
        let mut status = self.status.subscribe();
        // The read in progress began before the failure, so its answer does not count.
        let reads = status.borrow().reads + 1;
        // The sender lives as long as the replica, so the wait cannot fail.
        let _ = status.wait_for(|status| status.reads > reads).await;
    }
}

fn expired(stream: &str, offset: Offset) -> LogError {
    LogError::Unknown {
        cause: format!("{stream}:{offset} has expired").into(),
    }
}

/// Encodes records as one frame for an append.
pub(crate) fn encode_records(records: &[LogRecord]) -> Result<Bytes, LogError> {
    fulmarswitch_records::encode_frame(records)
        .map(Bytes::from)
        .map_err(|error| LogError::Unknown {
            cause: error.to_string().into(),
        })
}
