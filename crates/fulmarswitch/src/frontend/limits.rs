//! Limits the online requests in progress by workspace.

use crate::context::lock;
use fulmarswitch_records::SortedIndex;
use std::sync::{Arc, Mutex};

/// Number of requests in progress on this host by workspace, without workspaces that have none.
#[derive(Debug, Default)]
pub(super) struct WorkspaceCounts {
    counts: Mutex<SortedIndex<Arc<str>, u32>>,
}

impl WorkspaceCounts {
    /// Acquires a permit for one request, or returns `None` if the workspace has `limit` in progress.
    pub(super) fn try_acquire(
        self: &Arc<Self>,
        workspace: &Arc<str>,
        limit: u32,
    ) -> Option<WorkspacePermit> {
        let mut counts = lock(&self.counts);
        let count = counts.get(&**workspace).copied().unwrap_or(0);
        if count >= limit {
            return None;
        }
        counts.insert(Arc::clone(workspace), count + 1);
        Some(WorkspacePermit {
            counts: Arc::clone(self),
            workspace: Arc::clone(workspace),
        })
    }

    fn release(&self, workspace: &str) {
        let mut counts = lock(&self.counts);
        match counts.get_mut(workspace) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(counts.remove(workspace)),
        }
    }
}

/// Permit of one request, released when it is dropped.
#[derive(Debug)]
pub(super) struct WorkspacePermit {
    counts: Arc<WorkspaceCounts>,
    workspace: Arc<str>,
}

impl Drop for WorkspacePermit {
    fn drop(&mut self) {
        self.counts.release(&self.workspace);
    }
}
