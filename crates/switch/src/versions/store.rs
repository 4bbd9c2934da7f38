//! Writes changes of the history of versions to the log, and applies what is read from there.

use super::history::{HistoryChange, VersionRecord};
use crate::backend::{KeyedRecord, LogEntry};
use crate::node::{SwitchNode, unix_time_ms};
use crate::origins::VersionKey;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// Beginning of the keys of these records. Hashes of the service and the version follow.
const KEY_PREFIX: &str = "versions/";
/// Interval at which a host compares the listings with the history. A version is in the log well before the streams that it began end.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Number of hosts that write a change.
const WRITERS: usize = 2;

/// Writes the changes that are due at this host.
pub(crate) async fn store_changes(node: Arc<SwitchNode>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        for change in own_changes(&node) {
            store_change(&node, change).await;
        }
    }
}

/// Changes of the history that this host writes.
fn own_changes(node: &SwitchNode) -> Vec<HistoryChange> {
    let now = Instant::now();
    let state = node.lock();
    let uptime = now.duration_since(node.started);
    let history = &state.versions.history;
    if !history.has_read() || !state.endpoints.is_current(now) {
        return Vec::new();
    }
    let listed = state.listed_versions();
    let is_first_start = node.settings.is_first_start;
    let mut changes = history.due_changes(&listed, is_first_start, unix_time_ms());
    let knows_hosts = state.members.knows_live_hosts(uptime);
    let own = &*node.settings.descriptor.name;
    changes.retain(|change| {
        let hash = u32::from(change.version()).into();
        knows_hosts && state.members.is_among_assigned(hash, own, WRITERS, now)
    });
    changes
}

async fn store_change(node: &SwitchNode, change: HistoryChange) {
    let key = format!(
        "{KEY_PREFIX}{:016x}/{:08x}",
        xxh3_64(change.service().as_bytes()),
        u32::from(change.version())
    );
    let value = match &change {
        HistoryChange::Set(record) => match postcard::to_stdvec(record) {
            Ok(value) => value,
            Err(error) => {
                warn!(node.deps.logger, "version not encoded"; "cause" => %error);
                return;
            }
        },
        HistoryChange::Remove { .. } => Vec::new(),
    };
    let record = KeyedRecord {
        key: key.into_bytes().into(),
        value: value.into(),
    };
    let partition = &node.settings.topics.hosts;
    match node.deps.log.append(partition, &[record]).await {
        Ok(offset) => {
            info!(node.deps.logger, "version recorded"; "change" => ?change, "offset" => offset);
            let history = &mut node.lock().versions.history;
            match change {
                HistoryChange::Set(record) => history.apply(record),
                HistoryChange::Remove { service, version } => history.remove(&service, version),
            }
        }
        // The next check repeats it.
        Err(error) => info!(node.deps.logger, "version not recorded"; "cause" => %error),
    }
}

/// Applies a record of the hosts' partition if it belongs to the history. Returns whether it does.
pub(crate) fn apply_record(node: &SwitchNode, entry: &LogEntry) -> bool {
    if !entry.record.key.starts_with(KEY_PREFIX.as_bytes()) {
        return false;
    }
    // A host keeps the record of a version that another removes until it removes it itself.
    if entry.record.value.is_empty() {
        return true;
    }
    match postcard::from_bytes::<VersionRecord>(&entry.record.value) {
        Ok(record) => node.lock().versions.history.apply(record),
        Err(error) => warn!(node.deps.logger, "recorded version ignored";
            "offset" => entry.offset, "cause" => %error),
    }
    true
}

impl HistoryChange {
    fn service(&self) -> &Arc<str> {
        match self {
            Self::Set(record) => &record.service,
            Self::Remove { service, .. } => service,
        }
    }

    fn version(&self) -> VersionKey {
        match self {
            Self::Set(record) => record.version,
            Self::Remove { version, .. } => *version,
        }
    }
}
