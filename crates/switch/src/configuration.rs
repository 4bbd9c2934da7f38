//! Configurations: puts the newest one that the log holds in force.

use crate::follow::FollowBatch;
use crate::node::SwitchNode;
use crate::route::RouteTable;
use slog::{info, warn};
use std::sync::Arc;

impl SwitchNode {
    /// Applies a read of the configuration's partition.
    pub(crate) fn apply_config(&self, batch: FollowBatch<'_>) {
        for entry in batch.records() {
            let record = &entry.record;
            let decoder = &self.deps.decoder;
            let table = self.contain("decode a configuration", || {
                decoder.routes(&record.key, &record.value)
            });
            let Some(table) = table.flatten() else {
                continue;
            };
            match table {
                Ok(table) => self.apply_routes(table, entry.offset),
                Err(cause) => {
                    warn!(self.deps.logger, "configuration left out";
                        "offset" => entry.offset, "cause" => %cause);
                }
            }
        }
    }

    fn apply_routes(&self, table: RouteTable, offset: u64) {
        let mut state = self.lock();
        let old = state.routes.as_ref().map(|routes| routes.version);
        if old.is_some_and(|old| old >= table.version) {
            return;
        }
        info!(self.deps.logger, "configuration in force"; "version" => table.version,
            "old" => old, "offset" => offset, "routes" => table.route_count(),
            "workspaces" => table.workspaces().map(|workspaces| workspaces.workspace_count()));
        for left_out in table.left_out() {
            warn!(self.deps.logger, "part of the configuration left out"; "cause" => &**left_out);
        }
        state.routes = Some(Arc::new(table));
    }
}
