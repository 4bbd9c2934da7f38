//! What is told of the shares of workspaces: a line when one begins or ends to be held to its share, none for a request.

use crate::node::{SwitchNode, SwitchState};
use crate::workspace::fair::WorkspaceKey;
use slog::info;
use tokio::time::Instant;

impl SwitchNode {
    /// Logs and counts what has changed since the last call.
    pub(super) fn log_share_changes(&self, state: &mut SwitchState) {
        let changes = state.coordination.shares.take_changes(Instant::now());
        self.metrics.count_share_rejections(changes.rejected);
        for key in changes.began {
            info!(self.deps.logger, "workspace held to its share"; "workspace" => name_of(state, key),
                "cause" => "more is asked for than the endpoints complete, and it has had more than the others");
        }
        for key in changes.ended {
            info!(self.deps.logger, "workspace no longer held to its share";
                "workspace" => name_of(state, key));
        }
    }
}

/// Name of a workspace; empty for the requests on public routes, and if the configuration in force does not have it.
fn name_of(state: &SwitchState, key: WorkspaceKey) -> String {
    let workspaces = state.routes.as_ref().and_then(|routes| routes.workspaces());
    let mut all = workspaces.into_iter().flat_map(|table| table.iter());
    let found = all.find(|workspace| WorkspaceKey::of(&workspace.name) == key);
    found.map_or_else(String::new, |workspace| workspace.name.to_string())
}
