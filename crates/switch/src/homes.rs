//! Which endpoints a host uses first.
//!
//! Hosts that all pick the least loaded endpoint pick the same one between two beats. So each host has some
//! endpoints of its own, its homes, and goes elsewhere when these are full. Hosts and endpoints are laid side by
//! side in order of their failure domains: homes mostly stand in the host's own domain, and every endpoint is
//! home to about as many hosts as any other.

use crate::endpoint::ListedEndpoint;
use std::sync::Arc;

/// Most hosts on each side that are neighbours.
const NEIGHBOURS: usize = 3;

/// What a host uses first, and with whom it shares it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostHomes {
    /// Identities of the endpoints, sorted.
    pub endpoints: Vec<Arc<str>>,
    /// Names of the hosts beside this one, whose homes overlap with its own.
    pub neighbours: Vec<Arc<str>>,
}

/// Returns the homes of `own`.
///
/// `hosts` are the names and failure domains of the hosts that take work, `own` among them.
#[must_use]
pub fn pick_homes(
    own: &str,
    hosts: &[(Arc<str>, Arc<str>)],
    endpoints: &[Arc<ListedEndpoint>],
) -> HostHomes {
    let mut hosts: Vec<_> = hosts.iter().map(|(name, domain)| (domain, name)).collect();
    hosts.sort_unstable();
    let Some(place) = hosts.iter().position(|(_, name)| &***name == own) else {
        return HostHomes::default();
    };
    let near = place.saturating_sub(NEIGHBOURS)..(place + NEIGHBOURS + 1).min(hosts.len());
    let neighbours = near
        .filter(|index| *index != place)
        .map(|index| hosts[index].1.clone())
        .collect();
    let mut endpoints: Vec<&ListedEndpoint> =
        endpoints.iter().map(|endpoint| &**endpoint).collect();
    endpoints.sort_unstable_by_key(|endpoint| (&endpoint.service, &endpoint.domain, &endpoint.id));
    let mut homes: Vec<_> = endpoints
        .chunk_by(|a, b| a.service == b.service)
        .flat_map(|of_service| covered(of_service, place, hosts.len()))
        .map(|endpoint| endpoint.id.clone())
        .collect();
    homes.sort_unstable();
    HostHomes {
        endpoints: homes,
        neighbours,
    }
}

/// Host number `place` of `hosts` covers the part from `place / hosts` to `(place + 1) / hosts`; endpoints cover
/// theirs alike.
fn covered<'a>(
    endpoints: &'a [&'a ListedEndpoint],
    place: usize,
    hosts: usize,
) -> &'a [&'a ListedEndpoint] {
    let first = place * endpoints.len() / hosts;
    let end = ((place + 1) * endpoints.len()).div_ceil(hosts);
    &endpoints[first..end.min(endpoints.len())]
}
