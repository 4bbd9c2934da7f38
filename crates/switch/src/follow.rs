//! Tasks that follow a partition of the log.

use crate::backend::{LogEntry, LogPage, LogPartition, ReadError, ReadSize};
use crate::job_snapshot::read_job_snapshot;
use crate::node::SwitchNode;
use rand::Rng;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Delay after a first failed read, before jitter; doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the delay after failed reads.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Upper bound of the delay until the first successful read: a starting host serves no requests before it.
const MAX_INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Minimum pause between reads of the listings, which requests may ask for at any rate.
const MIN_LISTINGS_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between reads of the hosts' partition by a host that does not hear most of the others.
const ISOLATED_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How a partition is followed.
pub(crate) struct FollowOptions {
    /// Partition to follow.
    pub(crate) partition: LogPartition,
    /// Maximum wait of a read for the next record.
    pub(crate) wait: Duration,
    /// Pause between reads that reached the end of the partition; zero for none.
    pub(crate) poll_interval: Duration,
}

/// Result of one read.
#[derive(Clone, Copy)]
pub(crate) enum FollowBatch<'a> {
    /// The log is unavailable.
    Unavailable,
    /// The latest record of every key.
    Snapshot(&'a LogPage),
    /// The job records are read anew: their latest ones follow in parts.
    JobsBegin,
    /// The latest records of some jobs, each with all of its records.
    Jobs(&'a [LogEntry]),
    /// The latest records of all jobs have been given.
    JobsEnd,
    /// Records that follow those of the previous read.
    Tail(&'a LogPage),
}

impl<'a> FollowBatch<'a> {
    pub(crate) fn records(self) -> &'a [LogEntry] {
        match self {
            Self::Unavailable | Self::JobsBegin | Self::JobsEnd => &[],
            Self::Snapshot(page) | Self::Tail(page) => &page.records,
            Self::Jobs(records) => records,
        }
    }
}

/// Follows a partition: reads a snapshot of the latest record of each key, then the tail. Reads a new snapshot if the
/// tail has expired.
pub(crate) async fn follow<F>(node: Arc<SwitchNode>, options: FollowOptions, mut apply: F)
where
    F: FnMut(&SwitchNode, FollowBatch<'_>) + Send,
{
    let is_jobs = options.partition == node.settings.topics.jobs;
    let mut next = None;
    // End of the partition at an earlier read that has not been reached yet, and when that read began. While records are appended
    // faster than pages are read, no page reaches the end of its own read.
    let mut target: Option<(u64, Instant)> = None;
    let mut delay = MIN_RETRY_DELAY;
    let mut unavailable = false;
    loop {
        let started = Instant::now();
        let log = &node.deps.log;
        let mut size = ReadSize::default();
        let read = match next {
            None if is_jobs => {
                read_job_snapshot(&node, &options.partition, &mut size, &mut apply).await
            }
            None => log.read_snapshot(&options.partition).await,
            Some(from) => log.read(&options.partition, from, options.wait).await,
        };
        match read {
            Ok(page) => {
                node.metrics.count_log_call("read");
                if unavailable {
                    info!(node.deps.logger, "log regained"; "topic" => &*options.partition.topic);
                }
                (unavailable, delay) = (false, MIN_RETRY_DELAY);
                match next {
                    None if is_jobs => apply(&node, FollowBatch::JobsEnd),
                    None => apply(&node, FollowBatch::Snapshot(&page)),
                    Some(_) => {
                        if is_jobs {
                            size = ReadSize::of(&page.records);
                            node.metrics.record_job_read(started.elapsed(), size);
                        }
                        apply(&node, FollowBatch::Tail(&page));
                    }
                }
                let advanced = next != Some(page.next);
                next = Some(page.next);
                let (end, began) = *target.get_or_insert((page.end, started));
                let current_at = if page.next >= page.end {
                    target = None;
                    Some(started)
                } else if page.next >= end {
                    target = Some((page.end, started));
                    Some(began)
                } else {
                    None
                };
                if let Some(current_at) = current_at.filter(|_| is_jobs) {
                    node.record_complete_job_read(current_at, size);
                }
                if page.next < page.end {
                    if !advanced {
                        // A faulty store says that records follow, and sends none.
                        sleep(MIN_RETRY_DELAY).await;
                    }
                    continue;
                }
                pause_at_end(&node, &options, started).await;
            }
            Err(ReadError::Expired { first }) => {
                node.metrics.count_log_call("expired");
                info!(node.deps.logger, "tail expired"; "topic" => &*options.partition.topic,
                    "from" => next, "first" => first);
                next = None;
                target = None;
            }
            Err(ReadError::Unavailable { cause }) => {
                node.metrics.count_log_call("not read");
                if !unavailable {
                    warn!(node.deps.logger, "log lost"; "topic" => &*options.partition.topic,
                        "cause" => &*cause);
                }
                unavailable = true;
                apply(&node, FollowBatch::Unavailable);
                let jitter = node.lock().rng.random_range(0.5..1.0);
                sleep(delay.mul_f64(jitter)).await;
                let max_delay = if next.is_none() {
                    MAX_INITIAL_RETRY_DELAY
                } else {
                    MAX_RETRY_DELAY
                };
                delay = (delay * 2).min(max_delay);
            }
        }
    }
}

/// Records that a read which began at `started` has reached the end of the partition, and waits until the next one.
async fn pause_at_end(node: &SwitchNode, options: &FollowOptions, started: Instant) {
    let topics = &node.settings.topics;
    let partition = &options.partition;
    if *partition == topics.config {
        node.lock().config_read_at = Some(started);
    }
    if *partition == topics.jobs {
        // A task that needs newer state requests the next read early.
        let _ = timeout(options.poll_interval, node.read_requested.notified()).await;
    } else if *partition == topics.endpoints {
        node.lock().endpoints.complete_read(started);
        node.listings_read_at.send_replace(Some(started));
        sleep(MIN_LISTINGS_INTERVAL).await;
        // A request that needs newer listings requests the next read early.
        let pause = options.poll_interval.saturating_sub(MIN_LISTINGS_INTERVAL);
        let _ = timeout(pause, node.listings_requested.notified()).await;
    } else if *partition == topics.hosts {
        pause_or_isolation(node, options.poll_interval).await;
    } else if !options.poll_interval.is_zero() {
        sleep(options.poll_interval).await;
    }
}

/// Waits for the interval between two reads, or for [`ISOLATED_POLL_INTERVAL`] if this host does not hear most of the others:
/// what they would tell it is in the log only.
async fn pause_or_isolation(node: &SwitchNode, interval: Duration) {
    let until = Instant::now() + interval;
    loop {
        sleep(ISOLATED_POLL_INTERVAL.min(interval)).await;
        let now = Instant::now();
        if now >= until || !node.lock().members.hears_most(now) {
            return;
        }
    }
}
