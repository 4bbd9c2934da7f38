//! Workspaces: the organisations that share a fleet, told apart by the keys of their callers' requests.
//!
//! A configuration may name workspaces. Then a request on a route that is not public runs for the workspace that holds its key: the
//! endpoint gets the workspace's name, and never a key. A configuration without workspaces serves all callers alike.

pub mod account;
pub mod asks;
pub mod bucket;
pub mod counts;
pub(crate) mod exchange;
pub mod fair;
pub mod message;
pub mod pools;
mod scope;
pub mod share;

pub use scope::CallerScope;

use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

/// Cap on the requests of a workspace at all hosts together: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCap {
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond that which may come at once.
    pub burst: f64,
}

/// A workspace of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Unique name, which endpoints get.
    pub name: Arc<str>,
    /// Rank of its requests, 0 is the highest; `None` for that of the route.
    pub priority: Option<u32>,
    /// Cap on its requests; `None` for no limit.
    pub cap: Option<RequestCap>,
}

/// A key and the workspace that holds it.
#[derive(Clone)]
struct KeyEntry {
    hash: u64,
    key: Arc<str>,
    workspace: Arc<Workspace>,
}

/// The workspaces of a configuration and their keys.
#[derive(Clone)]
pub struct WorkspaceTable {
    /// Sorted by name.
    workspaces: Vec<Arc<Workspace>>,
    /// Sorted by hash.
    keys: Vec<KeyEntry>,
    /// Keyed hash, so that the time of a look-up tells nothing of the keys.
    hasher: RandomState,
}

impl WorkspaceTable {
    /// Creates a table of workspaces with their keys. Of workspaces with the same name, and of those with the same key, the first counts.
    #[must_use]
    pub fn new(entries: Vec<(Workspace, Vec<Arc<str>>)>) -> Self {
        let hasher = RandomState::new();
        let mut table = Self {
            workspaces: Vec::new(),
            keys: Vec::new(),
            hasher,
        };
        for (workspace, keys) in entries {
            let workspace = Arc::new(workspace);
            let found = table.search(&workspace.name);
            let Err(index) = found else {
                continue;
            };
            table.workspaces.insert(index, workspace.clone());
            for key in keys {
                table.keys.push(KeyEntry {
                    hash: table.hasher.hash_one(key.as_bytes()),
                    key,
                    workspace: workspace.clone(),
                });
            }
        }
        table.keys.sort_by_key(|entry| entry.hash);
        table
    }

    /// Returns the workspace that holds a key.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::{Workspace, WorkspaceTable};
    /// let workshop = Workspace { name: "workshop".into(), priority: None, cap: None };
    /// let table = WorkspaceTable::new(vec![(workshop, vec!["key-1".into(), "key-2".into()])]);
    /// assert_eq!(&*table.find_by_key(b"key-2").unwrap().name, "workshop");
    /// assert!(table.find_by_key(b"key-3").is_none());
    /// ```
    #[must_use]
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Arc<Workspace>> {
        let hash = self.hasher.hash_one(key);
        let start = self.keys.partition_point(|entry| entry.hash < hash);
        let mut same = self.keys[start..]
            .iter()
            .take_while(|entry| entry.hash == hash);
        let entry = same.find(|entry| entry.key.as_bytes() == key)?;
        Some(&entry.workspace)
    }

    /// Returns the workspace with a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Workspace>> {
        let index = self.search(name).ok()?;
        Some(&self.workspaces[index])
    }

    /// All workspaces, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter()
    }

    /// Number of workspaces.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.workspaces
            .binary_search_by(|workspace| (*workspace.name).cmp(name))
    }
}

impl std::fmt::Debug for WorkspaceTable {
    /// Leaves the keys out.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("WorkspaceTable")
            .field("workspaces", &self.workspaces)
            .field("keys", &self.keys.len())
            .finish_non_exhaustive()
    }
}
