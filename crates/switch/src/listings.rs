//! Endpoint listings: applies what is read from the log to the endpoint table of this host.

use crate::backend::LogEntry;
use crate::endpoint::ListedEndpoint;
use crate::follow::FollowBatch;
use crate::node::{SwitchNode, SwitchState, millis};
use slog::{info, warn};
use tokio::time::Instant;

/// Applies a read of the listings.
pub(crate) fn apply_listings(node: &SwitchNode, batch: FollowBatch<'_>) {
    let now = Instant::now();
    let mut state = node.lock();
    match batch {
        FollowBatch::Unavailable => state.endpoints.mark_log_unavailable(),
        FollowBatch::Snapshot(page) => {
            state.endpoints.record_read(page.next, now);
            let entries = page.records.iter();
            let listed = entries.filter_map(|entry| decode_listing(node, entry));
            for id in state.endpoints.replace(listed.collect(), page.next, now) {
                log_removal(node, &state, &id, page.next, now);
            }
        }
        FollowBatch::Tail(page) => {
            state.endpoints.record_read(page.next, now);
            for entry in &page.records {
                apply_listing(node, &mut state, entry, now);
            }
        }
    }
    for id in state.endpoints.expire(now) {
        info!(node.deps.logger, "endpoint gone"; "endpoint" => &*id,
            "cause" => "its listing was removed and not renewed after the outage of the log");
        state.load.remove(&id);
    }
}

/// Applies a heartbeat of a host that confirms all removals of listings before `offset`.
pub(crate) fn confirm_removals(
    node: &SwitchNode,
    state: &mut SwitchState,
    host: &str,
    offset: u64,
) {
    for id in state.endpoints.confirm_removals(offset) {
        info!(node.deps.logger, "endpoint gone"; "endpoint" => &*id, "peer" => host,
            "offset" => offset, "cause" => "a host without an outage of the log confirms its removal");
        state.load.remove(&id);
    }
}

fn apply_listing(node: &SwitchNode, state: &mut SwitchState, entry: &LogEntry, now: Instant) {
    if entry.record.value.is_empty() {
        let id = String::from_utf8_lossy(&entry.record.key);
        if state.endpoints.remove(&id, entry.offset, now) {
            log_removal(node, state, &id, entry.offset, now);
        }
        return;
    }
    let Some(endpoint) = decode_listing(node, entry) else {
        return;
    };
    let (id, draining) = (endpoint.id.clone(), endpoint.draining);
    let restarted = state
        .endpoints
        .get(&id)
        .is_some_and(|old| old.started_ms != endpoint.started_ms && endpoint.started_ms != 0);
    if state.endpoints.set(endpoint) {
        if restarted {
            // Failures of the previous process do not count against the new one.
            state.load.health(&id).record_success(now);
        }
        info!(node.deps.logger, "endpoint listed"; "endpoint" => &*id,
            "draining" => draining, "restarted" => restarted, "offset" => entry.offset);
    }
}

/// Logs that the listing of an endpoint was removed, and for how long the endpoint remains in use.
fn log_removal(node: &SwitchNode, state: &SwitchState, id: &str, offset: u64, now: Instant) {
    let due_at = state.endpoints.removal_due(id);
    info!(node.deps.logger, "endpoint unlisted"; "endpoint" => id, "offset" => offset,
        "held_back_ms" => due_at.map(|due_at| millis(due_at.saturating_duration_since(now))));
}

fn decode_listing(node: &SwitchNode, entry: &LogEntry) -> Option<ListedEndpoint> {
    let record = &entry.record;
    match node.deps.decoder.endpoint(&record.key, &record.value) {
        Ok(endpoint) => Some(endpoint),
        Err(cause) => {
            warn!(node.deps.logger, "listing left out";
                "key" => &*String::from_utf8_lossy(&record.key),
                "offset" => entry.offset, "cause" => %cause);
            None
        }
    }
}
