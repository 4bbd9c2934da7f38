//! Follows partitions of the log.

use crate::backend::{LogEntry, LogPartition, ReadError};
use crate::node::SwitchNode;
use rand::Rng;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// First pause after a read that failed; doubles.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after a read that failed.
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// The same for a reader that knows nothing yet: a host that has just started serves nobody until it does.
const RETRY_STARTING: Duration = Duration::from_millis(200);

/// How a partition is followed.
pub(crate) struct FollowTerms {
    /// The partition.
    pub(crate) partition: LogPartition,
    /// Longest wait of a read for the next record.
    pub(crate) wait: Duration,
    /// Pause between reads.
    pub(crate) period: Duration,
}

/// What following a partition brought.
#[derive(Clone, Copy)]
pub(crate) enum FollowBatch<'a> {
    /// The log does not answer.
    Lost,
    /// The newest record of every key.
    Whole(&'a [LogEntry]),
    /// The next records.
    Next(&'a [LogEntry]),
}

impl<'a> FollowBatch<'a> {
    /// The records.
    pub(crate) fn records(self) -> &'a [LogEntry] {
        match self {
            Self::Lost => &[],
            Self::Whole(records) | Self::Next(records) => records,
        }
    }
}

/// Follows a partition: the newest record of each key first, then its tail. Starts again with the newest
/// records where the tail has expired.
pub(crate) async fn follow<F>(node: Arc<SwitchNode>, terms: FollowTerms, mut take: F)
where
    F: FnMut(&SwitchNode, FollowBatch<'_>) + Send,
{
    let is_jobs = terms.partition == node.settings.topics.jobs;
    let mut next = None;
    let mut pause = RETRY_FIRST;
    let mut lost = false;
    loop {
        let begun = Instant::now();
        let page = match next {
            None => node.parts.log.read_snapshot(&terms.partition).await,
            Some(from) => {
                node.parts
                    .log
                    .read(&terms.partition, from, terms.wait)
                    .await
            }
        };
        match page {
            Ok(page) => {
                node.metrics.count_log_call("read");
                if lost {
                    info!(node.parts.logger, "log regained"; "topic" => &*terms.partition.topic);
                }
                (lost, pause) = (false, RETRY_FIRST);
                match next {
                    None => take(&node, FollowBatch::Whole(&page.records)),
                    Some(_) => take(&node, FollowBatch::Next(&page.records)),
                }
                next = Some(page.next);
                if page.next < page.end {
                    continue;
                }
                if is_jobs {
                    node.synced.send_replace(Some(begun));
                    // A reader that waits for a newer state asks for the next read.
                    let _ = timeout(terms.period, node.tail_now.notified()).await;
                } else if !terms.period.is_zero() {
                    sleep(terms.period).await;
                }
            }
            Err(ReadError::Expired { first }) => {
                node.metrics.count_log_call("expired");
                info!(node.parts.logger, "tail expired"; "topic" => &*terms.partition.topic,
                    "from" => next, "first" => first);
                next = None;
            }
            Err(ReadError::Unavailable { cause }) => {
                node.metrics.count_log_call("not read");
                if !lost {
                    warn!(node.parts.logger, "log lost"; "topic" => &*terms.partition.topic,
                        "cause" => &*cause);
                }
                lost = true;
                take(&node, FollowBatch::Lost);
                let jitter = node.lock().rng.random_range(0.5..1.0);
                sleep(pause.mul_f64(jitter)).await;
                let longest = if next.is_none() {
                    RETRY_STARTING
                } else {
                    RETRY_LONGEST
                };
                pause = (pause * 2).min(longest);
            }
        }
    }
}
