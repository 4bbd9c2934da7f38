//! Places work on hosts by rendezvous hashing.
//!
//! The loss of a host moves only the work that it held, and all hosts with the same view of live
//! hosts compute the same placement without exchanging messages. [`PlacementTable`] caches the
//! holder of each piece of work: a joining host is compared once with each holder, and a leaving
//! host is replaced only where it was the holder.

use fulmarswitch_records::{GroupIndex, ShardIndex, SortedIndex};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the shard that a key or job belongs to.
///
/// ```
/// use fulmarswitch_decide::placement::shard_of;
/// assert_eq!(shard_of("w/k", 64), shard_of("w/k", 64));
/// ```
#[must_use]
pub fn shard_of(name: &str, shards: u16) -> ShardIndex {
    let shard = xxh3_64(name.as_bytes()) % u64::from(shards.max(1));
    ShardIndex(u16::try_from(shard).unwrap_or(0))
}

/// Returns the group whose stream holds the records of `shard`.
///
/// ```
/// use fulmarswitch_decide::placement::group_of;
/// use fulmarswitch_records::{GroupIndex, ShardIndex};
/// assert_eq!(group_of(ShardIndex(5), 4), GroupIndex(1));
/// ```
#[must_use]
pub fn group_of(shard: ShardIndex, groups: u16) -> GroupIndex {
    GroupIndex(shard.0 % groups.max(1))
}

/// Returns the rendezvous weight of `host` for `work`. The host with the highest weight holds the
/// work.
#[must_use]
pub fn weight(host: &str, work: &str) -> u64 {
    weight_of_hashes(xxh3_64(host.as_bytes()), xxh3_64(work.as_bytes()))
}

fn weight_of_hashes(host: u64, work: u64) -> u64 {
    xxh3_64_with_seed(&work.to_le_bytes(), host)
}

/// Returns the index of the host that holds `work`; `None` if there are no hosts.
///
/// ```
/// use fulmarswitch_decide::placement::holder;
/// let hosts = ["a", "b", "c"];
/// let owner = holder(hosts, "shard/7").unwrap();
/// // The loss of another host does not move the work.
/// let rest: Vec<&str> = hosts.into_iter().filter(|h| *h == hosts[owner]).collect();
/// assert_eq!(holder(rest, "shard/7"), Some(0));
/// ```
pub fn holder<'a>(hosts: impl IntoIterator<Item = &'a str>, work: &str) -> Option<usize> {
    let work = xxh3_64(work.as_bytes());
    hosts
        .into_iter()
        .enumerate()
        .max_by_key(|(_, host)| (weight_of_hashes(xxh3_64(host.as_bytes()), work), *host))
        .map(|(index, _)| index)
}

/// Host in the placement table.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlacedHost {
    name: Arc<str>,
    hash: u64,
}

/// Piece of work with the weight and name of its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlacedWork {
    hash: u64,
    holder: Option<(u64, Arc<str>)>,
}

/// Table of named pieces of work and their holders.
///
/// The holder is the host with the highest weight, the same that [`holder`] returns.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    hosts: Vec<PlacedHost>,
    placed: SortedIndex<Arc<str>, PlacedWork>,
}

impl PlacementTable {
    /// Creates a table without hosts and work.
    ///
    /// ```
    /// use fulmarswitch_decide::placement::PlacementTable;
    /// let mut table = PlacementTable::new();
    /// table.add_work("gate/e1");
    /// assert_eq!(table.holder("gate/e1"), None);
    /// table.add_host("a");
    /// assert_eq!(table.holder("gate/e1").map(|host| &**host), Some("a"));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece of work if it is not in the table yet.
    pub fn add_work(&mut self, name: &str) {
        if self.placed.contains(name) {
            return;
        }
        let mut work = PlacedWork {
            hash: xxh3_64(name.as_bytes()),
            holder: None,
        };
        self.hosts.iter().for_each(|host| work.consider(host));
        self.placed.insert(name.into(), work);
    }

    /// Removes a piece of work.
    pub fn remove_work(&mut self, name: &str) {
        self.placed.remove(name);
    }

    /// Returns all pieces of work with their holders; the holder is `None` if there are no hosts.
    pub fn placements(&self) -> impl Iterator<Item = (&Arc<str>, Option<&Arc<str>>)> {
        self.placed
            .iter()
            .map(|(name, work)| (name, work.holder.as_ref().map(|current| &current.1)))
    }

    /// Adds a host if it is not in the table yet.
    pub fn add_host(&mut self, name: &str) {
        let Err(index) = self.position(name) else {
            return;
        };
        let host = PlacedHost {
            name: name.into(),
            hash: xxh3_64(name.as_bytes()),
        };
        self.placed
            .values_mut()
            .for_each(|work| work.consider(&host));
        self.hosts.insert(index, host);
    }

    /// Removes a host and places the work that it held on the remaining hosts.
    pub fn remove_host(&mut self, name: &str) {
        let Ok(index) = self.position(name) else {
            return;
        };
        self.hosts.remove(index);
        for work in self.placed.values_mut() {
            if work
                .holder
                .as_ref()
                .is_some_and(|current| *current.1 == *name)
            {
                work.holder = None;
                self.hosts.iter().for_each(|host| work.consider(host));
            }
        }
    }

    /// Returns the holder of a piece of work; `None` if the work is unknown or there are no hosts.
    #[must_use]
    pub fn holder(&self, work: &str) -> Option<&Arc<str>> {
        self.placed
            .get(work)?
            .holder
            .as_ref()
            .map(|current| &current.1)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.hosts.binary_search_by(|host| (*host.name).cmp(name))
    }
}

impl PlacedWork {
    /// Makes `host` the holder if its weight is higher than that of the current holder.
    fn consider(&mut self, host: &PlacedHost) {
        let weight = weight_of_hashes(host.hash, self.hash);
        let current = self.holder.as_ref().map(|current| (current.0, &current.1));
        if current < Some((weight, &host.name)) {
            self.holder = Some((weight, Arc::clone(&host.name)));
        }
    }
}
