//! Records outcomes and checkpoints of items in the log.

use crate::backend::{AppendError, KeyedRecord, LogPartition};
use crate::node::{JOB_POLL_INTERVAL, SwitchNode};
use crate::progress::{ProgressDelta, ProgressSegment, SharedProgress};
use crate::record::{ItemOutcome, JobRecord, TextLocation, split_frames, text_key};
use crate::schedule::ItemName;
use bytes::Bytes;
use rand::Rng;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Time for which outcomes are collected for one append. It is short compared with the seconds that an item takes.
/// Each further outcome in an append saves two calls to the log.
const LINGER: Duration = Duration::from_millis(80);
/// Maximum number of outcomes in one append.
const MAX_OUTCOMES_PER_APPEND: usize = 32;
/// Maximum size of the texts in one append; the log accepts up to 2 MiB.
const MAX_TEXT_BYTES_PER_APPEND: usize = 1_500_000;
/// Delay after a first failed append; doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the delay after failed appends.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between checkpoints: bounds the work that is lost with a host, at the cost of two appends each.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time that a stopping host spends on handing items over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait for cancelled runs to end.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time beyond the poll interval after which other hosts have read what was handed over.
const READ_MARGIN: Duration = Duration::from_millis(200);

/// An update of an item that has to be recorded.
pub(super) struct ItemUpdate {
    pub(super) name: ItemName,
    pub(super) kind: UpdateKind,
}

/// What is recorded of an item.
pub(super) enum UpdateKind {
    /// The item completed with this output.
    Completed(Bytes),
    /// The item will not complete.
    Abandoned,
    /// A run failed; the item may run again.
    Failed,
    /// The output so far is discarded; the item runs again from the beginning.
    Discarded,
}

pub(super) fn send_update(updates: &mpsc::UnboundedSender<ItemUpdate>, update: ItemUpdate) {
    // The receiver lives as long as the host.
    let _ = updates.send(update);
}

/// Records updates in batches.
pub(super) async fn record_updates(
    node: Arc<SwitchNode>,
    mut queue: mpsc::UnboundedReceiver<ItemUpdate>,
) {
    let mut held = None;
    loop {
        let first = match held.take() {
            Some(update) => update,
            None => match queue.recv().await {
                Some(update) => update,
                None => return,
            },
        };
        sleep(LINGER).await;
        let updates;
        (updates, held) = collect_updates(first, &mut queue);
        let outcomes = write_texts(&node, &updates).await;
        write_outcomes(&node, &outcomes).await;
    }
}

/// Returns the updates that are recorded together, and one that was received but is too large to be among them.
fn collect_updates(
    first: ItemUpdate,
    queue: &mut mpsc::UnboundedReceiver<ItemUpdate>,
) -> (Vec<ItemUpdate>, Option<ItemUpdate>) {
    let mut bytes = update_bytes(&first);
    let mut updates = vec![first];
    while updates.len() < MAX_OUTCOMES_PER_APPEND
        && let Ok(update) = queue.try_recv()
    {
        bytes += update_bytes(&update);
        if bytes > MAX_TEXT_BYTES_PER_APPEND {
            return (updates, Some(update));
        }
        updates.push(update);
    }
    (updates, None)
}

fn update_bytes(update: &ItemUpdate) -> usize {
    match &update.kind {
        UpdateKind::Completed(text) => text.len(),
        UpdateKind::Abandoned | UpdateKind::Failed | UpdateKind::Discarded => 0,
    }
}

/// Texts that are written in one append.
#[derive(Default)]
struct TextBatch {
    frames: Vec<KeyedRecord>,
}

impl TextBatch {
    /// Adds a text. The offset of the returned location is relative to the first frame of the batch.
    fn add(&mut self, node: &SwitchNode, text: &Bytes) -> TextLocation {
        let number = node.lock().numbers.next_number();
        let parts = split_frames(&text_key(number), text);
        let location = TextLocation {
            offset: self.frames.len() as u64,
            number,
            frames: u32::try_from(parts.len()).unwrap_or(u32::MAX),
            bytes: u32::try_from(text.len()).unwrap_or(u32::MAX),
        };
        self.frames.extend(parts);
        node.lock().texts.insert(number, text.clone());
        location
    }
}

/// A record to append.
struct PendingRecord {
    record: JobRecord,
    /// Number of the record's key in every append; `None` for an unused one in each.
    number: Option<u64>,
}

impl From<JobRecord> for PendingRecord {
    fn from(record: JobRecord) -> Self {
        let number = None;
        Self { record, number }
    }
}

/// Writes the texts of completed items, retrying until the append succeeds, and returns the records of the updates.
async fn write_texts(node: &SwitchNode, updates: &[ItemUpdate]) -> Vec<PendingRecord> {
    let mut texts = TextBatch::default();
    let mut records: Vec<PendingRecord> = Vec::new();
    for update in updates {
        let (job, item) = (update.name.job.clone(), update.name.item);
        let outcome = match &update.kind {
            UpdateKind::Failed => {
                let record = JobRecord::Failed { job, item };
                let number = Some(node.lock().numbers.next_failure_number());
                records.push(PendingRecord { record, number });
                continue;
            }
            UpdateKind::Discarded => {
                let writer = node.lock().numbers.writer();
                records.push(JobRecord::Discarded { job, item, writer }.into());
                continue;
            }
            UpdateKind::Abandoned => ItemOutcome::Abandoned,
            UpdateKind::Completed(text) => ItemOutcome::Completed(texts.add(node, text)),
        };
        records.push(JobRecord::Settled { job, item, outcome }.into());
    }
    if !texts.frames.is_empty() {
        let partition = &node.settings.topics.texts;
        let first = append_with_retry(node, partition, || texts.frames.clone()).await;
        for record in &mut records {
            if let JobRecord::Settled {
                outcome: ItemOutcome::Completed(location),
                ..
            } = &mut record.record
            {
                location.offset += first;
            }
        }
    }
    records
}

/// Writes outcomes, retrying until the append succeeds. Each attempt uses new keys: with the same keys, compaction
/// would keep the later copy, and readers that start from a snapshot would see the outcome at another position. A failed
/// run has no position, and keeps its key: each key counts as a failure of its own.
async fn write_outcomes(node: &SwitchNode, records: &[PendingRecord]) {
    let partition = &node.settings.topics.jobs;
    append_with_retry(node, partition, || encode_all(node, records)).await;
    node.read_requested.notify_one();
}

fn encode_all(node: &SwitchNode, records: &[PendingRecord]) -> Vec<KeyedRecord> {
    let mut frames = Vec::new();
    for PendingRecord { record, number } in records {
        let number = number.unwrap_or_else(|| node.lock().numbers.next_number());
        match record.encode(number) {
            Ok(parts) => frames.extend(parts),
            Err(error) => warn!(node.deps.logger, "record not encoded";
                "job" => &**record.job(), "cause" => %error),
        }
    }
    frames
}

/// Appends with retries until the log acknowledges the records. They may be in the log twice; readers use the first
/// copy of an outcome, and count a failed run once.
async fn append_with_retry(
    node: &SwitchNode,
    partition: &LogPartition,
    frames: impl Fn() -> Vec<KeyedRecord>,
) -> u64 {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        match node.append_to(partition, &frames()).await {
            Ok(first) => return first,
            Err(error) => {
                warn!(node.deps.logger, "outcome not recorded yet"; "cause" => %error);
                let jitter = node.lock().rng.random_range(0.5..1.0);
                sleep(delay.mul_f64(jitter)).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Writes checkpoints periodically, so that items of a lost host need not run again from the beginning.
pub(super) async fn run_checkpoints(node: Arc<SwitchNode>) {
    loop {
        sleep(CHECKPOINT_INTERVAL).await;
        write_checkpoint(&node).await;
    }
}

/// Records the output that is not in the log yet. Returns the number of items recorded.
async fn write_checkpoint(node: &SwitchNode) -> usize {
    let in_progress: Vec<(ItemName, SharedProgress)> = node.lock().progress.clone();
    let mut texts = TextBatch::default();
    let mut deltas: Vec<(ItemName, SharedProgress, ProgressDelta, TextLocation)> = Vec::new();
    let mut bytes = 0;
    for (name, progress) in in_progress {
        let Some(delta) = progress.lock().delta() else {
            continue;
        };
        bytes += delta.text.len();
        if bytes > MAX_TEXT_BYTES_PER_APPEND {
            break;
        }
        let location = texts.add(node, &Bytes::from(delta.text.clone()));
        deltas.push((name, progress, delta, location));
    }
    if deltas.is_empty() {
        return 0;
    }
    let partition = &node.settings.topics.texts;
    let Ok(first) = node.append_to(partition, &texts.frames).await else {
        // No record refers to the texts, so they are harmless; the next checkpoint writes them again.
        return 0;
    };
    let records: Vec<PendingRecord> = deltas
        .iter()
        .map(|(name, _, delta, location)| JobRecord::Checkpoint {
            job: name.job.clone(),
            item: name.item,
            segment: ProgressSegment {
                version: delta.version,
                after: delta.after,
                last_event: delta.last_event,
                location: TextLocation {
                    offset: location.offset + first,
                    ..location.clone()
                },
            },
        })
        .map(PendingRecord::from)
        .collect();
    let frames = encode_all(node, &records);
    let appended = node.append_to(&node.settings.topics.jobs, &frames).await;
    for (_, progress, delta, _) in &deltas {
        match &appended {
            Ok(_) => progress.lock().mark_recorded(delta),
            Err(AppendError::Refused { .. }) => {}
            Err(AppendError::Unknown { .. }) => progress.lock().mark_unknown(),
        }
    }
    if appended.is_ok() { deltas.len() } else { 0 }
}

/// Cancels all runs and checkpoints their output, so that other hosts can continue them.
pub(crate) async fn hand_over(node: &Arc<SwitchNode>) {
    let started = Instant::now();
    for running in &mut node.lock().running {
        if let Some(cancel) = running.cancel.take() {
            // The send fails if the run has just ended.
            let _ = cancel.send(());
        }
    }
    while !node.lock().running.is_empty() && started.elapsed() < CANCEL_TIMEOUT {
        sleep(Duration::from_millis(5)).await;
    }
    let count = node.lock().progress.len();
    // If this times out, the items continue from their last checkpoint.
    let recorded = timeout(HANDOVER_TIMEOUT, write_checkpoint(node)).await;
    while !node.lock().unrecorded.is_empty() && started.elapsed() < HANDOVER_TIMEOUT {
        sleep(Duration::from_millis(20)).await;
    }
    // This host claims the items until the other hosts have read the checkpoint.
    sleep(JOB_POLL_INTERVAL + READ_MARGIN).await;
    node.lock().progress.clear();
    info!(node.deps.logger, "items handed on"; "items" => count,
        "recorded" => recorded.unwrap_or(0));
}
