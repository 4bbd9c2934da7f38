//! One stream of the log, replayed and written.
//!
//! A book tails its stream and feeds every record to its replay, in order. What is written goes out
//! through the committer and counts only once the tail has read it back: the writer is then told what
//! became of the record at its place. An append whose fate is unknown is looked for in the tail before it
//! is sent again; a second copy of a record is a repeat for every replay.

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

/// Entries read at once.
const MAX_PAGE_ENTRIES: usize = 256;
/// Time that a read waits for new entries.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed read, and the longest pause after many.
const MIN_READ_BACKOFF: Duration = Duration::from_millis(50);
const MAX_READ_BACKOFF: Duration = Duration::from_millis(500);
/// Records committed at once.
const MAX_BATCH_RECORDS: usize = 512;
/// Marks of when entries were written, in the time for which the log keeps them.
const TIME_INDEX_ENTRIES: u32 = 64;
/// Bytes of records committed at once; one larger record goes alone.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Reads that fail one behind the other before the log counts as silent.
const MAX_FAILED_READS: u32 = 2;
/// Time without an answered read after which the log counts as silent; more than one wait of a reader.
const READ_UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_200);
/// Time without an append that took effect, while records wait, after which the log counts as silent.
const APPEND_UNAVAILABLE_AFTER: Duration = Duration::from_millis(2_500);

/// What a book feeds its records to.
pub trait StreamReplay: Send + 'static {
    /// Applies the record at `place`, which stands there since `at_ms` on the log's clock.
    fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> ApplyResult;

    /// Tells that the log no longer keeps the entries before `start`, which were not read.
    fn reset(&mut self, start: Offset) {
        let _ = start;
    }
}

/// Errors of an append.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AppendError {
    /// Too many records wait for the log; the record was not queued.
    #[snafu(display("too much waits for the log; try again when it answers"))]
    Full,
    /// The book is closing.
    #[snafu(display("the host is stopping; ask another"))]
    Closed,
}

/// A record on the log and what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendedRecord {
    /// Where it stands.
    pub place: RecordPlace,
    /// What became of it there.
    pub verdict: ApplyResult,
}

/// How far a book has read.
#[derive(Clone, Debug)]
pub struct TailStatus {
    /// Next offset to read.
    pub next: Offset,
    /// Whether the book has once read to the head.
    pub caught_up: bool,
    /// When the log last answered a read.
    pub read_at: Instant,
    /// Reads that the log answered.
    pub reads: u64,
    /// Reads that have failed since.
    pub failed_reads: u32,
    /// Time on the log's clock at the last read, in milliseconds since the Unix epoch.
    pub log_ms: u64,
    /// Time for which the log keeps entries.
    pub retention: Duration,
    /// Oldest offset that the log keeps.
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
    /// Since when records have waited without any progress.
    stalled_since: Option<Instant>,
    waiters: SortedIndex<u64, Option<oneshot::Sender<AppendedRecord>>>,
}

/// One stream of the log.
pub struct StreamReplica<R> {
    stream: Arc<str>,
    context: HostContext,
    committer: Arc<RecordCommitter>,
    replay: Mutex<R>,
    queue: Mutex<AppendQueue>,
    queued: Notify,
    sequence: AtomicU64,
    status: watch::Sender<TailStatus>,
    /// Some offsets and their times on the log's clock, in milliseconds.
    time_index: Mutex<VecDeque<(Offset, u64)>>,
}

impl<R: StreamReplay> StreamReplica<R> {
    /// Creates the book of a stream and starts its tasks.
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

    /// Locks the replayed state. The lock is never held over an await.
    pub fn state(&self) -> MutexGuard<'_, R> {
        lock(&self.replay)
    }

    /// Returns how far the book has read; changes with every page.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<TailStatus> {
        self.status.subscribe()
    }

    /// Tells whether the log answered a read within `limit`.
    #[must_use]
    pub fn is_fresh(&self, limit: Duration) -> bool {
        let status = self.status.borrow();
        status.caught_up && status.read_at.elapsed() <= limit
    }

    /// Returns an offset before which all entries are older than `age`, by the log's clock.
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

    /// Tells whether the log answers reads and, if records wait, takes appends.
    #[must_use]
    pub fn is_log_available(&self) -> bool {
        let stalled = lock(&self.queue)
            .stalled_since
            .is_some_and(|since| since.elapsed() > APPEND_UNAVAILABLE_AFTER);
        let failed = self.status.borrow().failed_reads >= MAX_FAILED_READS;
        !stalled && !failed && self.is_fresh(READ_UNAVAILABLE_AFTER)
    }

    /// Returns the bytes of records that wait for the log.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        lock(&self.queue).bytes
    }

    /// Tells whether so much waits for the log that nothing more is queued.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.pending_bytes() > self.context.settings.tuning.pending_bytes
    }

    /// Queues a record; the receiver tells what became of it once it is read back.
    ///
    /// The record is written even if the receiver is dropped.
    ///
    /// # Errors
    /// [`AppendError::Full`] when too much waits for the log.
    pub fn append(
        &self,
        shard: ShardIndex,
        epoch: Epoch,
        body: RecordBody,
    ) -> Result<oneshot::Receiver<AppendedRecord>, AppendError> {
        let mut receivers = self.append_all(shard, epoch, vec![body])?;
        receivers.pop().ok_or(AppendError::Closed)
    }

    /// Queues records that go out in this order, with nothing of this book between them.
    ///
    /// # Errors
    /// [`AppendError::Full`] when too much waits for the log; then none is queued.
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

    /// Reads one record again by its place.
    ///
    /// # Errors
    /// [`LogError`] when the log does not answer or keeps the entry no longer.
    pub async fn read_record(&self, place: RecordPlace) -> Result<LogRecord, LogError> {
        let records = self.read_entry(place.offset).await?;
        let position = place.position as usize;
        records
            .into_iter()
            .nth(position)
            .ok_or_else(|| expired(&self.stream, place.offset))
    }

    /// Reads all records of one entry again.
    ///
    /// # Errors
    /// [`LogError`] when the log does not answer or keeps the entry no longer.
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
            let place = format!("{}:{next}", self.stream);
            let text = "entries before this one have expired unread";
            self.context.events.emit("start-over", &place, text);
        }
        for entry in &page.entries {
            next = entry.offset.next();
            self.index_time(entry.offset, entry.at_ms, page);
            match decode_frame(&entry.data) {
                Ok(records) => self.apply_entry(entry.offset, entry.at_ms, &records),
                Err(error) => {
                    let place = format!("{}:{}", self.stream, entry.offset);
                    self.context
                        .events
                        .emit("foreign-entry", &place, &error.to_string());
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

    /// Notes when an entry was written, for some entries only.
    fn index_time(&self, offset: Offset, at_ms: u64, page: &LogPage) {
        let retention_ms = millis(page.retention);
        let mut time_index = lock(&self.time_index);
        let step_ms = retention_ms / u64::from(TIME_INDEX_ENTRIES);
        // The last mark is always the newest entry; it is kept once the one before it is old enough.
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
            let verdict = self.state().apply(place, at_ms, record);
            if record.id.writer == self.context.identity {
                self.notify_writer(record.id.sequence, AppendedRecord { place, verdict });
            }
        }
    }

    /// Tells the writer of a record, on its first copy only.
    fn notify_writer(&self, sequence: u64, appended: AppendedRecord) {
        let waiter = lock(&self.queue).waiters.remove(&sequence);
        if let Some(Some(waiter)) = waiter {
            // The writer may have stopped waiting; the record counts all the same.
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

    /// Commits a batch, however often it takes. Later batches wait, so records of one writer that depend
    /// on each other stand on the log in their order.
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
        // The sender lives as long as the book, so the wait cannot fail.
        let _ = status.wait_for(|status| status.reads > reads).await;
    }
}

fn expired(stream: &str, offset: Offset) -> LogError {
    LogError::Unknown {
        cause: format!("{stream}:{offset} has expired").into(),
    }
}

/// Encodes records for an append.
pub(crate) fn encode_records(records: &[LogRecord]) -> Result<Bytes, LogError> {
    fulmarswitch_records::encode_frame(records)
        .map(Bytes::from)
        .map_err(|error| LogError::Unknown {
            cause: error.to_string().into(),
        })
}
