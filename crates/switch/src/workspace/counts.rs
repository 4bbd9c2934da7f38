//! Counts of the requests of workspaces with caps, for the metrics.

use std::sync::Arc;

/// Maximum number of workspaces that are counted: those with the latest requests at this host.
pub const MAX_COUNTED: usize = 128;

/// Requests of a workspace at this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapCount {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Requests inside the cap.
    pub granted: u64,
    /// Requests beyond the cap.
    pub refused: u64,
    /// Number of the last request among all of this host.
    last_request: u64,
}

/// Counts by workspace.
#[derive(Clone, Debug, Default)]
pub struct CapCounts {
    /// Sorted by workspace.
    counts: Vec<CapCount>,
    requests: u64,
}

impl CapCounts {
    /// Counts a request. The workspace whose last request is the oldest makes room for a new one.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::counts::CapCounts;
    /// let mut counts = CapCounts::default();
    /// counts.record(&"workshop".into(), true);
    /// counts.record(&"workshop".into(), false);
    /// let count = counts.iter().next().unwrap();
    /// assert_eq!((count.granted, count.refused), (1, 1));
    /// ```
    pub fn record(&mut self, workspace: &Arc<str>, is_granted: bool) {
        self.requests += 1;
        let found = self.search(workspace);
        let index = found.unwrap_or_else(|_| self.insert(workspace));
        let count = &mut self.counts[index];
        count.last_request = self.requests;
        if is_granted {
            count.granted += 1;
        } else {
            count.refused += 1;
        }
    }

    /// All counts, sorted by workspace.
    pub fn iter(&self) -> impl Iterator<Item = &CapCount> {
        self.counts.iter()
    }

    fn insert(&mut self, workspace: &Arc<str>) -> usize {
        if self.counts.len() >= MAX_COUNTED {
            let oldest = self.counts.iter().map(|count| count.last_request).min();
            self.counts
                .retain(|count| Some(count.last_request) != oldest);
        }
        let index = self.counts.partition_point(|c| *c.workspace < **workspace);
        let count = CapCount {
            workspace: workspace.clone(),
            granted: 0,
            refused: 0,
            last_request: 0,
        };
        self.counts.insert(index, count);
        index
    }

    fn search(&self, workspace: &str) -> Result<usize, usize> {
        self.counts
            .binary_search_by(|count| (*count.workspace).cmp(workspace))
    }
}
