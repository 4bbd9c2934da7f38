//! Rendezvous hashing of work over hosts.
//!
//! Losing a host moves only what it held, and every host that sees the same live hosts computes the same
//! placement without a message. [`PlacementTable`] keeps the holder of each piece of work: a host that
//! joins is compared once with each holder, and a host that leaves is replaced only where it held.

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

/// Returns the rendezvous weight of `host` for `work`; the host with the highest weight holds the work.
#[must_use]
pub fn weight(host: &str, work: &str) -> u64 {
    weight_of_hashes(xxh3_64(host.as_bytes()), xxh3_64(work.as_bytes()))
}

fn weight_of_hashes(host: u64, work: u64) -> u64 {
    xxh3_64_with_seed(&work.to_le_bytes(), host)
}

/// Returns the position of the host that holds `work`, or `None` when there are no hosts.
///
/// ```
/// use fulmarswitch_decide::placement::holder;
/// let hosts = ["a", "b", "c"];
/// let first = holder(hosts, "shard/7").unwrap();
/// // Losing another host does not move the work.
/// let rest: Vec<&str> = hosts.into_iter().filter(|h| *h == hosts[first]).collect();
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

/// A host among which work is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlacedHost {
    name: Arc<str>,
    hash: u64,
}

/// A piece of work and its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlacedWork {
    hash: u64,
    holder: Option<(u64, Arc<str>)>,
}

/// Holders of named pieces of work.
///
/// The holder of each piece is the host with the highest weight, as [`holder`] would find it.
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

    /// Adds a piece of work, if it is not there yet.
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

    /// Returns all pieces of work with their holders.
    pub fn placements(&self) -> impl Iterator<Item = (&Arc<str>, Option<&Arc<str>>)> {
        self.placed
            .iter()
            .map(|(name, work)| (name, work.holder.as_ref().map(|current| &current.1)))
    }

    /// Adds a host, if it is not there yet.
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

    /// Removes a host and places anew what it held.
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

    /// Returns the name of the host that holds a piece of work.
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
    /// Gives the work to a host whose weight is higher than its holder's.
    fn consider(&mut self, host: &PlacedHost) {
        let weight = weight_of_hashes(host.hash, self.hash);
        let current = self.holder.as_ref().map(|current| (current.0, &current.1));
        if current < Some((weight, &host.name)) {
            self.holder = Some((weight, Arc::clone(&host.name)));
        }
    }
}
