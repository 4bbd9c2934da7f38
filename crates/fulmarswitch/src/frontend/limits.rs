//! Online requests in progress by workspace.

use crate::context::lock;
use fulmarswitch_records::SortedIndex;
use std::sync::{Arc, Mutex};

/// Counts of the requests that are in progress on this host; workspaces without any are left out.
#[derive(Debug, Default)]
pub(super) struct WorkspaceCounts {
    counts: Mutex<SortedIndex<Arc<str>, u32>>,
}

impl WorkspaceCounts {
    /// Takes a place for one request, or returns `None` where the workspace has `limit` in progress.
    pub(super) fn enter(
        self: &Arc<Self>,
        workspace: &Arc<str>,
        limit: u32,
    ) -> Option<WorkspaceGuard> {
        let mut counts = lock(&self.counts);
        let count = counts.get(&**workspace).copied().unwrap_or(0);
        if count >= limit {
            return None;
        }
        counts.insert(Arc::clone(workspace), count + 1);
        Some(WorkspaceGuard {
            counts: Arc::clone(self),
            workspace: Arc::clone(workspace),
        })
    }

    fn leave(&self, workspace: &str) {
        let mut counts = lock(&self.counts);
        match counts.get_mut(workspace) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(counts.remove(workspace)),
        }
    }
}

/// The place of one request, given back when it is dropped.
#[derive(Debug)]
pub(super) struct WorkspaceGuard {
    counts: Arc<WorkspaceCounts>,
    workspace: Arc<str>,
}

impl Drop for WorkspaceGuard {
    fn drop(&mut self) {
        self.counts.leave(&self.workspace);
    }
}
