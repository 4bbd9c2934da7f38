//! Origins of streams in the log, while several versions of a service serve or did lately.
//!
//! Few hosts write them, in batches, so that the calls to the log do not grow with the streams. They are kept in a topic whose records
//! expire, and read by a host that is asked to take a stream up and finds no other host that knows its origin.

use crate::backend::{KeyedRecord, LogPage, ReadError};
use crate::members::MemberTable;
use crate::node::{SwitchNode, SwitchState, unix_time_ms};
use crate::origins::{RETENTION, StreamOrigin};
use serde::{Deserialize, Serialize};
use slog::{debug, info};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Minimum time between two appends of a host. What is lost with all hosts is the origins of this time.
const APPEND_INTERVAL: Duration = Duration::from_millis(25);
/// Number of hosts per host that writes origins.
const HOSTS_PER_WRITER: usize = 64;
/// Maximum number of origins that wait to be written, and that one record holds.
const MAX_QUEUED: usize = 4096;
/// Time in which a read of the origins must end. A caller waits for it.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Key of the records. They do not replace each other, as the topic is not keyed.
const RECORD_KEY: &str = "origins";

/// Origins that wait to be written.
#[derive(Debug, Default)]
pub(crate) struct OriginQueue(Vec<StreamOrigin>);

/// Value of a record.
#[derive(Debug, Serialize, Deserialize)]
struct StoredOrigins {
    /// Time of the append in milliseconds since the Unix epoch.
    written_ms: u64,
    origins: Vec<StreamOrigin>,
}

/// Name of the host that writes an origin to the log.
pub(crate) fn writer_of<'a>(
    members: &'a MemberTable,
    origin: &StreamOrigin,
    own: &'a str,
    now: Instant,
) -> &'a str {
    let hosts = members.live(now).count() + 1;
    let writers = hosts.div_ceil(HOSTS_PER_WRITER) as u64;
    members.assigned_to(origin.stream.hash() % writers, own, now)
}

impl SwitchState {
    /// Queues an origin that this host has to write to the log.
    pub(crate) fn queue_origin(&mut self, origin: StreamOrigin) {
        let queue = &mut self.versions.unstored.0;
        if queue.len() < MAX_QUEUED {
            queue.push(origin);
        }
    }
}

/// Appends the origins that this host has to write.
pub(crate) async fn store_origins(node: Arc<SwitchNode>) {
    loop {
        node.origins_queued.notified().await;
        let origins = std::mem::take(&mut node.lock().versions.unstored.0);
        if origins.is_empty() {
            continue;
        }
        let count = origins.len();
        let stored = StoredOrigins {
            written_ms: unix_time_ms(),
            origins,
        };
        let Ok(value) = postcard::to_stdvec(&stored) else {
            continue;
        };
        let record = KeyedRecord {
            key: RECORD_KEY.as_bytes().to_vec().into(),
            value: value.into(),
        };
        let partition = &node.settings.topics.origins;
        match node.deps.log.append(partition, &[record]).await {
            Ok(offset) => {
                debug!(node.deps.logger, "origins stored"; "offset" => offset, "count" => count);
            }
            // The hosts that have them in memory are asked first.
            Err(error) => {
                info!(node.deps.logger, "origins not stored"; "count" => count, "cause" => %error);
            }
        }
        sleep(APPEND_INTERVAL).await;
    }
}

/// Reads the origins that were appended since the last read of this host.
pub(crate) async fn read_origins(node: &SwitchNode) {
    let reading = async {
        let mut next = node.origins_read_until.lock().await;
        loop {
            match node
                .deps
                .log
                .read(&node.settings.topics.origins, *next, Duration::ZERO)
                .await
            {
                Ok(page) => {
                    apply_page(node, &page);
                    *next = page.next;
                    if page.next >= page.end {
                        return;
                    }
                }
                Err(ReadError::Expired { first }) if first > *next => *next = first,
                Err(error) => {
                    info!(node.deps.logger, "origins not read"; "from" => *next, "cause" => %error);
                    return;
                }
            }
        }
    };
    if timeout(READ_TIMEOUT, reading).await.is_err() {
        info!(node.deps.logger, "origins not read"; "cause" => "the log did not answer in time");
    }
}

fn apply_page(node: &SwitchNode, page: &LogPage) {
    let (now, now_ms) = (Instant::now(), unix_time_ms());
    let retention_ms = crate::node::millis(RETENTION);
    let mut state = node.lock();
    for entry in &page.records {
        let Ok(stored) = postcard::from_bytes::<StoredOrigins>(&entry.record.value) else {
            info!(node.deps.logger, "stored origins ignored"; "offset" => entry.offset);
            continue;
        };
        if now_ms.saturating_sub(stored.written_ms) < retention_ms {
            for origin in stored.origins {
                state.origins.record(origin, now);
            }
        }
    }
}
