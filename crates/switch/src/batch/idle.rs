//! Items of a host that starts none, as it does not follow the job records and others do.

use super::items::request_id;
use crate::node::{SwitchNode, SwitchState};
use crate::schedule::ItemName;
use slog::info;
use tokio::time::Instant;

/// Leaves the items that this host has kept for long without running them to the other hosts. They go on after the last checkpoint.
pub(super) fn release_items(node: &SwitchNode, state: &mut SwitchState, now: Instant) {
    if node.has_log(now) || !state.members.others_have_log(now) {
        state.idle_items.clear();
        return;
    }
    let is_running = |name: &ItemName| state.running.iter().any(|running| running.name == *name);
    let in_progress = state.progress.iter().map(|(name, _)| name);
    let kept = in_progress.filter(|name| !is_running(name));
    let kept = kept.chain(&state.unrecorded).cloned().collect();
    state.idle_items.record(kept, now);
    let idle_items = &state.idle_items;
    // The output of an item that waits for its record is not used again.
    state.progress.retain(|(name, progress)| {
        let is_released = idle_items.is_released(name, now);
        if is_released {
            info!(node.deps.logger, "item released"; "job" => &*name.job, "item" => name.item,
                "id" => request_id(&state.ledger, name), "last_event" => progress.lock().last_event(),
                "cause" => "this host has not followed the job records for some time");
        }
        !is_released
    });
}
