//! Rendezvous hashing of work over hosts.
//!
//! Losing a host moves only what it held, and every host that sees the same live hosts computes the same
//! placement without a message.

use fulmarswitch_records::{GroupIndex, ShardIndex};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the shard that a key or job belongs to.
///
/// ```
/// use fulmarswitch_decide::placement::shard_of;
/// assert_eq!(shard_of("w/k", 64), shard_of("w/k", 64));
/// ```
#[must_use]
pub fn shard_of(name: &str, shards: u16) -> ShardIndex {
    let slot = xxh3_64(name.as_bytes()) % u64::from(shards.max(1));
    ShardIndex(u16::try_from(slot).unwrap_or(0))
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
    xxh3_64_with_seed(work.as_bytes(), xxh3_64(host.as_bytes()))
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
    hosts
        .into_iter()
        .enumerate()
        .max_by_key(|(_, host)| (weight(host, work), *host))
        .map(|(at, _)| at)
}
