//! Group commit to the log.
//!
//! One host, the appender, commits the records of all hosts to a stream: it collects what arrives within the
//! linger time and appends it as one entry. So the rate of appends grows with the number of streams, not with
//! hosts or items. If the appender cannot be reached or does not answer, a host appends its records itself.
//! This is safe because only the order in the log counts, not which host appended a record.

use crate::context::{HostContext, lock};
use crate::fleet::FleetView;
use crate::metrics::HostMetrics;
use crate::replica::encode_records;
use crate::unresponsive::UnresponsiveHosts;
use fulmarswitch_peer::message::CommitRequest;
use fulmarswitch_peer::{PeerError, PeerMessage, PeerReply, PeerTarget};
use fulmarswitch_platform::LogError;
use fulmarswitch_records::{LogRecord, SortedIndex, decode_frame};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};

/// Maximum size of the records in one append, in estimated bytes; a larger commit is appended alone.
const MAX_APPEND_BYTES: usize = 900 << 10;
/// Retry delay after the appender has refused records.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which an appender that failed to answer is bypassed.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(5);

struct PendingCommit {
    records: Vec<LogRecord>,
    done: oneshot::Sender<Result<(), LogError>>,
}

#[derive(Default)]
struct StreamQueue {
    commits: Mutex<Vec<PendingCommit>>,
    queued: Notify,
}

/// Commits records through the appender of their stream, or by itself if this host is the appender or the
/// appender is unavailable.
pub struct RecordCommitter {
    context: HostContext,
    fleet: watch::Receiver<Arc<FleetView>>,
    queues: Mutex<SortedIndex<Arc<str>, Arc<StreamQueue>>>,
    /// Appenders that failed to answer. They are bypassed without waiting until they are reported down, since
    /// that report may itself have to go through the same appender.
    unresponsive: UnresponsiveHosts,
}

impl RecordCommitter {
    /// Creates a committer that finds appenders in `fleet`.
    #[must_use]
    pub fn new(context: &HostContext, fleet: watch::Receiver<Arc<FleetView>>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet,
            queues: Mutex::default(),
            unresponsive: UnresponsiveHosts::new(UNRESPONSIVE_TTL),
        })
    }

    /// Commits records of one stream, all in one entry.
    ///
    /// # Errors
    /// [`LogError::Refused`] when the records are not in the log, [`LogError::Unknown`] when they may be.
    pub async fn commit(
        self: &Arc<Self>,
        stream: &Arc<str>,
        records: Vec<LogRecord>,
    ) -> Result<(), LogError> {
        let appender = self.fleet.borrow().appender_of(stream);
        if let Some(target) = appender
            && target.host != self.context.identity
            && !self.unresponsive.contains(&target.host)
            && let Some(outcome) = self.commit_via(&target, stream, &records).await
        {
            return outcome;
        }
        self.commit_locally(stream, records).await
    }

    /// Commits records through an appender; `None` when it could not be reached.
    async fn commit_via(
        &self,
        target: &PeerTarget,
        stream: &Arc<str>,
        records: &[LogRecord],
    ) -> Option<Result<(), LogError>> {
        let frame = match encode_records(records) {
            Ok(frame) => frame.to_vec(),
            Err(error) => return Some(Err(error)),
        };
        let request = CommitRequest {
            stream: Arc::clone(stream),
            frame,
        };
        self.context.metrics.peer_messages.inc();
        let call = self.context.link.call(target, PeerMessage::Commit(request));
        let timeout = self.context.settings.tuning.suspect_timeout();
        match tokio::time::timeout(timeout, call).await {
            Ok(Ok(PeerReply::Accepted)) => Some(Ok(())),
            Ok(Ok(PeerReply::Refused { .. })) => Some(Err(LogError::Refused {
                retry_after: REFUSED_RETRY_DELAY,
            })),
            Ok(Err(PeerError::NotReached { .. })) => None,
            Ok(Ok(_)) => Some(Err(unknown_outcome(
                "the appender does not know whether the records are in the log",
            ))),
            Ok(Err(PeerError::NoReply { .. })) | Err(_) => {
                self.unresponsive.insert(&target.host);
                Some(Err(unknown_outcome("the appender did not answer in time")))
            }
        }
    }

    /// Commits the records of another host, for which this host is the appender of the stream.
    pub async fn handle(self: &Arc<Self>, request: CommitRequest) -> PeerReply {
        let Ok(records) = decode_frame(&request.frame) else {
            return PeerReply::Unsupported;
        };
        match self.commit_locally(&request.stream, records).await {
            Ok(()) => PeerReply::Accepted,
            Err(LogError::Refused { retry_after }) => PeerReply::Refused {
                reason: "the log refuses appends".into(),
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(0),
            },
            Err(LogError::Unknown { .. }) => PeerReply::Unknown,
        }
    }

    async fn commit_locally(
        self: &Arc<Self>,
        stream: &Arc<str>,
        records: Vec<LogRecord>,
    ) -> Result<(), LogError> {
        let (done, outcome) = oneshot::channel();
        let queue = self.queue(stream);
        lock(&queue.commits).push(PendingCommit { records, done });
        queue.queued.notify_one();
        outcome.await.unwrap_or_else(|_| {
            Err(unknown_outcome(
                "the task that appends to the stream stopped",
            ))
        })
    }

    fn queue(self: &Arc<Self>, stream: &Arc<str>) -> Arc<StreamQueue> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.get(&**stream) {
            return Arc::clone(queue);
        }
        let queue = Arc::new(StreamQueue::default());
        queues.insert(Arc::clone(stream), Arc::clone(&queue));
        tokio::spawn(Arc::clone(self).run(Arc::clone(stream), Arc::clone(&queue)));
        queue
    }

    async fn run(self: Arc<Self>, stream: Arc<str>, queue: Arc<StreamQueue>) {
        loop {
            queue.queued.notified().await;
            tokio::time::sleep(self.context.settings.tuning.linger()).await;
            loop {
                let commits = take_batch(&queue);
                if commits.is_empty() {
                    break;
                }
                self.append(&stream, commits).await;
            }
        }
    }

    async fn append(&self, stream: &str, commits: Vec<PendingCommit>) {
        let mut records = Vec::new();
        let mut senders = Vec::new();
        for commit in commits {
            records.extend(commit.records);
            senders.push(commit.done);
        }
        let outcome = match encode_records(&records) {
            Ok(frame) => {
                self.context.metrics.append_bytes.inc_by(frame.len() as u64);
                self.context
                    .metrics
                    .append_records
                    .inc_by(records.len() as u64);
                self.context.log.append(stream, frame).await.map(|_| ())
            }
            Err(error) => Err(error),
        };
        let end = match &outcome {
            Ok(()) => "appended",
            Err(LogError::Refused { .. }) => "refused",
            Err(LogError::Unknown { .. }) => "unknown",
        };
        HostMetrics::count(&self.context.metrics.appends, end);
        for done in senders {
            // A writer that stopped waiting finds its records in the tail of the stream.
            let _ = done.send(outcome.clone());
        }
    }
}

fn unknown_outcome(cause: &str) -> LogError {
    LogError::Unknown {
        cause: cause.into(),
    }
}

/// Removes commits from the queue, up to the size of one append.
fn take_batch(queue: &StreamQueue) -> Vec<PendingCommit> {
    let mut commits = lock(&queue.commits);
    let mut bytes = 0;
    let mut count = 0;
    for commit in commits.iter() {
        bytes += commit
            .records
            .iter()
            .map(LogRecord::size_hint)
            .sum::<usize>();
        if count > 0 && bytes > MAX_APPEND_BYTES {
            break;
        }
        count += 1;
    }
    commits.drain(..count).collect()
}
