//! Which endpoints a host uses first.
//!
//! Hosts that all pick the least loaded endpoint pick the same one between two beats. So each host has some
//! endpoints of its own, its homes, and goes elsewhere when these are full. Hosts and endpoints are laid side by
//! side in order of their failure domains: homes mostly stand in the host's own domain, and every endpoint is
//! home to about as many hosts as any other.

use crate::endpoint::ListedEndpoint;
use std::ops::Range;
use std::sync::Arc;

/// Most hosts on each side that are neighbours.
const NEIGHBOURS: usize = 3;
/// Endpoints of its domain on each side of a host's part that are homes as well: a few hosts that know each
/// other's load well share a few endpoints, so that one host's burst does not fill its part.
const SHARED: usize = 1;

/// What a host uses first, and with whom it shares it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostAffinity {
    /// Identities of the endpoints, sorted.
    pub endpoints: Vec<Arc<str>>,
    /// Names of the hosts beside this one, whose homes overlap with its own.
    pub neighbours: Vec<Arc<str>>,
}

/// Returns the homes of `own`.
///
/// `hosts` are the names and failure domains of the hosts that take work, `own` among them.
#[must_use]
pub fn compute_affinity(
    own: &str,
    hosts: &[(Arc<str>, Arc<str>)],
    endpoints: &[Arc<ListedEndpoint>],
) -> HostAffinity {
    let mut hosts: Vec<_> = hosts.iter().map(|(name, domain)| (domain, name)).collect();
    hosts.sort_unstable();
    let Some(place) = hosts.iter().position(|(_, name)| &***name == own) else {
        return HostAffinity::default();
    };
    let domain = hosts[place].0;
    let near = place.saturating_sub(NEIGHBOURS)..(place + NEIGHBOURS + 1).min(hosts.len());
    let mut neighbours: Vec<Arc<str>> = near.map(|index| hosts[index].1.clone()).collect();
    // The hosts of one domain share endpoints in a ring.
    let alike: Vec<usize> = (0..hosts.len())
        .filter(|index| hosts[*index].0 == domain)
        .collect();
    let at = alike.partition_point(|index| *index < place);
    neighbours.extend(beside(&alike, at..at + 1, NEIGHBOURS).map(|index| hosts[*index].1.clone()));
    neighbours.sort_unstable();
    neighbours.dedup();
    neighbours.retain(|name| **name != *own);
    let mut endpoints: Vec<&ListedEndpoint> =
        endpoints.iter().map(|endpoint| &**endpoint).collect();
    endpoints.sort_unstable_by_key(|endpoint| (&endpoint.service, &endpoint.domain, &endpoint.id));
    let mut preferred: Vec<_> = endpoints
        .chunk_by(|a, b| a.service == b.service)
        .flat_map(|of_service| covered(of_service, domain, place, hosts.len()))
        .map(|endpoint| endpoint.id.clone())
        .collect();
    preferred.sort_unstable();
    HostAffinity {
        endpoints: preferred,
        neighbours,
    }
}

/// Host number `place` of `hosts` covers the part from `place / hosts` to `(place + 1) / hosts`; endpoints cover
/// theirs alike. It shares what stands beside its part on the ring of the endpoints of `domain`, its own.
fn covered<'a>(
    endpoints: &'a [&'a ListedEndpoint],
    domain: &str,
    place: usize,
    hosts: usize,
) -> Vec<&'a ListedEndpoint> {
    let first = place * endpoints.len() / hosts;
    let end = ((place + 1) * endpoints.len()).div_ceil(hosts);
    let part = first..end.min(endpoints.len());
    let mut preferred = endpoints[part.clone()].to_vec();
    let start = endpoints.partition_point(|endpoint| &*endpoint.domain < domain);
    let ring = endpoints[start..].partition_point(|endpoint| &*endpoint.domain == domain);
    let ring = &endpoints[start..start + ring];
    let inner = part.start.max(start)..part.end.min(start + ring.len());
    if inner.start < inner.end {
        let inner = inner.start - start..inner.end - start;
        preferred.extend(beside(ring, inner, SHARED).copied());
    }
    preferred.sort_unstable_by_key(|endpoint| &endpoint.id);
    preferred.dedup_by_key(|endpoint| &endpoint.id);
    preferred
}

/// Returns up to `most` entries of a ring on each side of a part of it.
fn beside<T>(ring: &[T], part: Range<usize>, most: usize) -> impl Iterator<Item = &T> {
    let len = ring.len();
    let behind = (0..most).map(move |step| (part.end + step) % len);
    let before = (1..=most).map(move |step| (part.start + len * most - step) % len);
    behind.chain(before).map(|index| &ring[index])
}
