//! Endpoint affinity: which endpoints a host prefers.
//!
//! Hosts that all select the least loaded endpoint select the same one between two heartbeats. Each host therefore
//! prefers a subset of the endpoints and uses others only when these are full. Hosts and endpoints are each sorted by
//! failure domain and matched proportionally: preferred endpoints are mostly in the host's own domain, and each
//! endpoint is preferred by about the same number of hosts.

use crate::endpoint::ListedEndpoint;
use std::ops::Range;
use std::sync::Arc;

/// Number of hosts on each side that are neighbours, both in the order of all hosts and in the ring of the host's own
/// domain. Neighbours receive this host's load on each change, and not only with the heartbeats to all hosts.
const MAX_NEIGHBOURS_PER_SIDE: usize = 3;
/// Number of endpoints of the same domain on each side of a host's range that it prefers as well. Sharing a few
/// endpoints with hosts whose load is known promptly keeps a burst at one
/// host from filling its range.
const SHARED_PER_SIDE: usize = 1;

/// Preferred endpoints of a host, and the hosts that share them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostAffinity {
    /// Endpoint IDs, sorted.
    pub endpoints: Vec<Arc<str>>,
    /// Names of the adjacent hosts, sorted. Their preferred endpoints overlap with those of this host.
    pub neighbours: Vec<Arc<str>>,
}

/// Computes the affinity of the host `own`.
///
/// `hosts` holds the names and failure domains of the ready hosts, including `own`. The result is empty if `own` is
/// missing from it.
#[must_use]
pub fn compute_affinity(
    own: &str,
    hosts: &[(Arc<str>, Arc<str>)],
    endpoints: &[Arc<ListedEndpoint>],
) -> HostAffinity {
    let mut hosts: Vec<_> = hosts.iter().map(|(name, domain)| (domain, name)).collect();
    hosts.sort_unstable();
    let Some(host_index) = hosts.iter().position(|(_, name)| &***name == own) else {
        return HostAffinity::default();
    };
    let domain = hosts[host_index].0;
    let adjacent = host_index.saturating_sub(MAX_NEIGHBOURS_PER_SIDE)
        ..(host_index + MAX_NEIGHBOURS_PER_SIDE + 1).min(hosts.len());
    let mut neighbours: Vec<Arc<str>> = adjacent.map(|index| hosts[index].1.clone()).collect();
    // Hosts of one domain share endpoints in a ring.
    let same_domain: Vec<usize> = (0..hosts.len())
        .filter(|index| hosts[*index].0 == domain)
        .collect();
    let domain_index = same_domain.partition_point(|index| *index < host_index);
    neighbours.extend(
        ring_neighbours(
            &same_domain,
            domain_index..domain_index + 1,
            MAX_NEIGHBOURS_PER_SIDE,
        )
        .map(|index| hosts[*index].1.clone()),
    );
    neighbours.sort_unstable();
    neighbours.dedup();
    neighbours.retain(|name| **name != *own);
    let mut endpoints: Vec<&ListedEndpoint> =
        endpoints.iter().map(|endpoint| &**endpoint).collect();
    endpoints.sort_unstable_by_key(|endpoint| (&endpoint.service, &endpoint.domain, &endpoint.id));
    let mut preferred: Vec<_> = endpoints
        .chunk_by(|a, b| a.service == b.service)
        .flat_map(|of_service| preferred_of_service(of_service, domain, host_index, hosts.len()))
        .map(|endpoint| endpoint.id.clone())
        .collect();
    preferred.sort_unstable();
    HostAffinity {
        endpoints: preferred,
        neighbours,
    }
}

/// Host number `host_index` of `hosts` covers the fractions from `host_index / hosts` to `(host_index + 1) / hosts`
/// of the sorted endpoints. It also prefers the endpoints adjacent to this range on the ring of its own `domain`.
fn preferred_of_service<'a>(
    endpoints: &'a [&'a ListedEndpoint],
    domain: &str,
    host_index: usize,
    hosts: usize,
) -> Vec<&'a ListedEndpoint> {
    let first = host_index * endpoints.len() / hosts;
    let end = ((host_index + 1) * endpoints.len()).div_ceil(hosts);
    let range = first..end.min(endpoints.len());
    let mut preferred = endpoints[range.clone()].to_vec();
    let start = endpoints.partition_point(|endpoint| &*endpoint.domain < domain);
    let ring = endpoints[start..].partition_point(|endpoint| &*endpoint.domain == domain);
    let ring = &endpoints[start..start + ring];
    let inner = range.start.max(start)..range.end.min(start + ring.len());
    if inner.start < inner.end {
        let inner = inner.start - start..inner.end - start;
        preferred.extend(ring_neighbours(ring, inner, SHARED_PER_SIDE).copied());
    }
    preferred.sort_unstable_by_key(|endpoint| &endpoint.id);
    preferred.dedup_by_key(|endpoint| &endpoint.id);
    preferred
}

/// Returns up to `count` entries of a ring on each side of a range.
fn ring_neighbours<T>(ring: &[T], range: Range<usize>, count: usize) -> impl Iterator<Item = &T> {
    let len = ring.len();
    let after = (0..count).map(move |step| (range.end + step) % len);
    let before = (1..=count).map(move |step| (range.start + len * count - step) % len);
    after.chain(before).map(|index| &ring[index])
}
