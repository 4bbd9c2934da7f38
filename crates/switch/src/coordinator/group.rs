//! Groups of endpoints, and which host coordinates each.
//!
//! A group is a part of the endpoints of one failure domain. Every host computes the same groups and coordinators from the listings and the
//! membership, without a message. Two hosts whose views differ may ask two coordinators for the same group; either answers.

use crate::endpoint::ListedEndpoint;
use crate::report::EndpointKey;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of endpoints of a domain per group, at least. A group has about as many slots as a hundred callers, so that the groups of a
/// large fleet need no shared queue, and its coordinator has at most a few hundred datagrams a second.
const MIN_GROUP_ENDPOINTS: usize = 16;
/// Number of hosts that may coordinate a group, in the order in which they are asked.
const MAX_CANDIDATES: usize = 3;

/// Identifies a group of endpoints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupId {
    /// Failure domain of the endpoints.
    pub domain: Arc<str>,
    /// Number of groups of the domain.
    pub buckets: u16,
    /// Number of this group among them, from 0.
    pub bucket: u16,
}

impl GroupId {
    /// The group of an endpoint, in a domain with `buckets` groups.
    #[must_use]
    pub fn of(endpoint: &ListedEndpoint, buckets: u16) -> Self {
        let buckets = buckets.max(1);
        let bucket = EndpointKey::of(&endpoint.id).hash() % u64::from(buckets);
        Self {
            domain: endpoint.domain.clone(),
            buckets,
            bucket: u16::try_from(bucket).unwrap_or_default(),
        }
    }

    /// Whether an endpoint belongs to the group.
    #[must_use]
    pub fn contains(&self, endpoint: &ListedEndpoint) -> bool {
        let hash = EndpointKey::of(&endpoint.id).hash();
        endpoint.domain == self.domain
            && hash % u64::from(self.buckets.max(1)) == u64::from(self.bucket)
    }

    /// Hash that distributes groups over hosts.
    fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.domain.as_bytes(), self.bucket.into())
    }
}

/// A group and the hosts that may coordinate it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointGroup {
    /// The group.
    pub id: GroupId,
    /// Names of the hosts that may coordinate it, in the order in which they are asked.
    pub candidates: Vec<Arc<str>>,
}

/// Where a host asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskRoute {
    /// In a group near the host.
    Home,
    /// In the group that a coordinator named.
    Named(GroupId),
    /// In each group in turn, by this number.
    Turn(u32),
}

impl AskRoute {
    /// The group to ask, of those in `usable`, sorted, for a host of `domain`. Groups of that domain are near. One that was named and is
    /// not usable is replaced by a near one. `None` if none is usable.
    ///
    /// ```
    /// use fulmarswitch_switch::coordinator::group::{AskRoute, GroupId};
    /// use rand::{SeedableRng, rngs::SmallRng};
    /// let group = |domain: &str| GroupId { domain: domain.into(), buckets: 1, bucket: 0 };
    /// let usable = [group("a"), group("b")];
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// assert_eq!(AskRoute::Home.choose("b", &usable, &mut rng), Some(group("b")));
    /// assert_eq!(AskRoute::Named(group("a")).choose("b", &usable, &mut rng), Some(group("a")));
    /// ```
    #[must_use]
    pub fn choose(self, domain: &str, usable: &[GroupId], rng: &mut impl Rng) -> Option<GroupId> {
        match self {
            Self::Named(group) if usable.binary_search(&group).is_ok() => return Some(group),
            Self::Turn(number) if !usable.is_empty() => {
                return Some(usable[number as usize % usable.len()].clone());
            }
            Self::Turn(_) => {}
            Self::Home | Self::Named(_) => {
                let near = usable.iter().filter(|group| *group.domain == *domain);
                let near: Vec<&GroupId> = near.collect();
                if !near.is_empty() {
                    return Some(near[rng.random_range(..near.len())].clone());
                }
            }
        }
        (!usable.is_empty()).then(|| usable[rng.random_range(..usable.len())].clone())
    }
}

/// Computes the groups of the endpoints, sorted, with their candidates by rendezvous hashing over `hosts`, names with failure domains. Hosts
/// of the group's domain go before all others.
///
/// ```
/// use fulmarswitch_switch::coordinator::group::compute_groups;
/// assert!(compute_groups(&[], &[]).is_empty());
/// ```
#[must_use]
pub fn compute_groups(
    endpoints: &[Arc<ListedEndpoint>],
    hosts: &[(Arc<str>, Arc<str>)],
) -> Vec<EndpointGroup> {
    let mut domains: Vec<&Arc<str>> = endpoints.iter().map(|endpoint| &endpoint.domain).collect();
    domains.sort_unstable();
    let groups = domains.chunk_by(|a, b| a == b).flat_map(|of_domain| {
        let buckets = (of_domain.len() / MIN_GROUP_ENDPOINTS).next_power_of_two();
        let buckets = u16::try_from(buckets).unwrap_or(u16::MAX);
        (0..buckets).map(move |bucket| GroupId {
            domain: of_domain[0].clone(),
            buckets,
            bucket,
        })
    });
    groups
        .map(|id| EndpointGroup {
            candidates: rank_candidates(&id, hosts),
            id,
        })
        .collect()
}

fn rank_candidates(id: &GroupId, hosts: &[(Arc<str>, Arc<str>)]) -> Vec<Arc<str>> {
    let hash = id.hash();
    let mut ranked: Vec<_> = hosts
        .iter()
        .map(|(name, domain)| {
            let rank = xxh3_64(&[&hash.to_le_bytes()[..], name.as_bytes()].concat());
            (*domain != id.domain, Reverse(rank), name)
        })
        .collect();
    let count = MAX_CANDIDATES.min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked
        .into_iter()
        .map(|(_, _, name)| name.clone())
        .collect()
}
