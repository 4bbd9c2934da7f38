//! Chooses the endpoint for a request.
//!
//! Requests with the same prefix prefer the same endpoint, so that its prefix cache serves them. If
//! that endpoint holds more than its fair share of the load, they go to the next endpoint in the
//! order of that prefix. Requests without a prefix go to the cheapest of a few candidates.
//!
//! The endpoints of a small service are all ranked by rendezvous weights. A larger service uses
//! consistent hashing: a ring with one point per endpoint, sorted once per change of configuration.
//! A prefix is hashed several times, and each hash selects the next point on the ring. The endpoint
//! at the smallest distance is preferred, so the loss of an endpoint moves only its own prefixes,
//! and the cost of a choice does not grow with the service.

use crate::load::LoadShare;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Load, in percent of the fair share, up to which an endpoint keeps its prefixes.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Requests that an endpoint may hold above the bound, so that a small mean does not make the bound
/// too tight.
const LOAD_SLACK_REQUESTS: u64 = 2;
/// Largest service of which all endpoints are ranked, and the largest number of candidates in one
/// choice.
const MAX_CANDIDATES: usize = 16;
/// Number of hashes of a prefix that are looked up on the ring of a larger service.
const PREFIX_HASHES: u64 = 12;
/// Cost of sending a request to another failure domain, in microseconds.
const CROSS_DOMAIN_COST_US: u64 = 1_000;
/// Cost of sending a request to an endpoint that is at its limit, in microseconds.
const FULL_ENDPOINT_COST_US: u64 = 500_000;

/// Index of an endpoint in the table of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(pub u32);

impl EndpointIndex {
    /// Returns the index as a `usize`, for indexing slices.
    ///
    /// ```
    /// use fulmarswitch_decide::balance::EndpointIndex;
    /// assert_eq!(EndpointIndex(3).as_usize(), 3);
    /// ```
    #[must_use]
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Static properties of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Whether the endpoint is in the failure domain of the load balancer.
    pub same_domain: bool,
}

/// Whether an endpoint may be chosen, in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointEligibility {
    /// The endpoint is available.
    Ready,
    /// The endpoint is reserved for batch work; chosen only if none is ready.
    Reserved,
    /// The endpoint is suspected, or refuses because it has not loaded the model; chosen only if no
    /// endpoint is ready or reserved.
    Suspected,
    /// The endpoint is never chosen.
    Excluded,
}

/// State of an endpoint at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointView {
    /// Estimated load.
    pub load: LoadShare,
    /// Whether it may be chosen.
    pub eligibility: EndpointEligibility,
}

/// Affinity of a request to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAffinity {
    /// Requests with this prefix hash prefer the same endpoint.
    Prefix(u64),
    /// No affinity; the number is a seed that spreads the choices.
    Any(u64),
}

impl RequestAffinity {
    /// Returns the affinity of requests with this prefix.
    ///
    /// ```
    /// use fulmarswitch_decide::balance::RequestAffinity;
    /// assert_eq!(RequestAffinity::of_prefix("a"), RequestAffinity::of_prefix("a"));
    /// ```
    #[must_use]
    pub fn of_prefix(prefix: &str) -> Self {
        Self::Prefix(xxh3_64(prefix.as_bytes()))
    }

    fn seed(self) -> u64 {
        match self {
            Self::Prefix(seed) | Self::Any(seed) => seed,
        }
    }
}

/// Point of an endpoint on the hash ring.
#[derive(Clone, Copy, Debug)]
struct RingPoint {
    hash: u64,
    index: EndpointIndex,
}

/// Endpoint that is considered in a choice.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// Distance to the hash of the prefix; smallest for the preferred endpoint.
    distance: u64,
    index: EndpointIndex,
    view: EndpointView,
}

/// Candidates in order of preference, in a fixed-size array so that a choice does not allocate.
#[derive(Debug)]
struct CandidateList {
    slots: [Option<Candidate>; MAX_CANDIDATES],
    len: usize,
}

/// Endpoints of one service, indexed for fast choices.
///
/// The ring is sorted by hash. `hash >> shift` is the bucket of a hash, and `starts[b]` is the
/// index of the first point in bucket `b` or a later one.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    specs: Vec<EndpointSpec>,
    ring: Vec<RingPoint>,
    starts: Vec<u32>,
    shift: u32,
}

impl EndpointTable {
    /// Builds the table. The endpoints are sorted by name, and duplicates are removed.
    ///
    /// ```
    /// use fulmarswitch_decide::balance::{EndpointSpec, EndpointTable};
    /// let spec = |name: &str| EndpointSpec { name: name.into(), same_domain: true };
    /// let table = EndpointTable::new(vec![spec("b"), spec("a")]);
    /// assert_eq!(table.index_of("a").map(|index| index.0), Some(0));
    /// ```
    #[must_use]
    pub fn new(mut specs: Vec<EndpointSpec>) -> Self {
        specs.sort_by(|a, b| a.name.cmp(&b.name));
        specs.dedup_by(|a, b| a.name == b.name);
        let mut ring: Vec<RingPoint> = (0..)
            .zip(&specs)
            .map(|(position, spec)| RingPoint {
                hash: xxh3_64(spec.name.as_bytes()),
                index: EndpointIndex(position),
            })
            .collect();
        ring.sort_by_key(|point| point.hash);
        let buckets = specs.len().next_power_of_two().max(2);
        let shift = u64::BITS - buckets.trailing_zeros();
        let starts = bucket_starts(&ring, buckets, shift);
        Self {
            specs,
            ring,
            starts,
            shift,
        }
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Returns whether the service has no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Returns the endpoints, sorted by name.
    #[must_use]
    pub fn specs(&self) -> &[EndpointSpec] {
        &self.specs
    }

    /// Returns the index of an endpoint; `None` if it is not in the table.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<EndpointIndex> {
        let position = self
            .specs
            .binary_search_by(|spec| (*spec.name).cmp(name))
            .ok()?;
        u32::try_from(position).ok().map(EndpointIndex)
    }

    /// Chooses an endpoint; `None` if all are excluded. `view_of` returns the current state of an
    /// endpoint.
    ///
    /// ```
    /// use fulmarswitch_decide::balance::*;
    /// use fulmarswitch_decide::load::LoadShare;
    /// let spec = |name: &str| EndpointSpec { name: name.into(), same_domain: true };
    /// let table = EndpointTable::new(vec![spec("a"), spec("b")]);
    /// // Only the first endpoint has room.
    /// let view_of = |index: EndpointIndex| EndpointView {
    ///     load: LoadShare { held: 90 * index.0, limit: 100 },
    ///     eligibility: EndpointEligibility::Ready,
    /// };
    /// let chosen = table.choose(RequestAffinity::of_prefix("p"), view_of);
    /// assert_eq!(chosen, Some(EndpointIndex(0)));
    /// ```
    pub fn choose(
        &self,
        affinity: RequestAffinity,
        view_of: impl Fn(EndpointIndex) -> EndpointView,
    ) -> Option<EndpointIndex> {
        let list = self.candidates(affinity.seed(), &view_of);
        let best = list
            .iter()
            .map(|candidate| candidate.view.eligibility)
            .min();
        match best {
            Some(EndpointEligibility::Ready) => {}
            // None of the candidates is ready, but another endpoint may be.
            _ if self.len() > MAX_CANDIDATES => return self.scan(affinity.seed(), &view_of),
            None | Some(EndpointEligibility::Excluded) => return None,
            Some(_) => {}
        }
        let mut list = list;
        list.retain(|candidate| Some(candidate.view.eligibility) == best);
        let preferred = match affinity {
            RequestAffinity::Prefix(_) => list.first_within_bound(),
            RequestAffinity::Any(_) => None,
        };
        preferred.or_else(|| self.cheapest(&list))
    }

    fn candidates(
        &self,
        seed: u64,
        view_of: &impl Fn(EndpointIndex) -> EndpointView,
    ) -> CandidateList {
        let mut list = CandidateList::new();
        if self.len() <= MAX_CANDIDATES {
            for point in &self.ring {
                list.insert(mix(point.hash ^ seed), point.index, view_of);
            }
        } else {
            for hash_index in 0..PREFIX_HASHES {
                let hash = mix(seed.wrapping_add(hash_index));
                let point = self.next_point(hash);
                list.insert(point.hash.wrapping_sub(hash), point.index, view_of);
            }
        }
        list
    }

    /// Returns the first point at or after `hash`, wrapping around at the end of the ring.
    fn next_point(&self, hash: u64) -> RingPoint {
        let bucket = usize::try_from(hash >> self.shift).unwrap_or(0);
        let start = self.starts[bucket] as usize;
        self.ring[start..]
            .iter()
            .find(|point| point.hash >= hash)
            .copied()
            .unwrap_or(self.ring[0])
    }

    /// Returns the candidate with the lowest cost of its load and of leaving the failure domain.
    fn cheapest(&self, list: &CandidateList) -> Option<EndpointIndex> {
        let cost = |candidate: &&Candidate| {
            let is_remote = !self.specs[candidate.index.as_usize()].same_domain;
            let wait = candidate.view.load.scaled_to(FULL_ENDPOINT_COST_US);
            (
                wait + u64::from(is_remote) * CROSS_DOMAIN_COST_US,
                candidate.distance,
            )
        };
        list.iter()
            .min_by_key(cost)
            .map(|candidate| candidate.index)
    }

    /// Scans all endpoints, starting at an index derived from the seed, and returns the first that
    /// is ready or else the best of the others.
    fn scan(
        &self,
        seed: u64,
        view_of: &impl Fn(EndpointIndex) -> EndpointView,
    ) -> Option<EndpointIndex> {
        let first = self.next_point(mix(seed)).index.as_usize();
        let mut best: Option<(EndpointEligibility, EndpointIndex)> = None;
        let positions = (first..self.len()).chain(0..first);
        for index in
            positions.filter_map(|position| u32::try_from(position).ok().map(EndpointIndex))
        {
            let eligibility = view_of(index).eligibility;
            if eligibility == EndpointEligibility::Ready {
                return Some(index);
            }
            if eligibility != EndpointEligibility::Excluded
                && best.is_none_or(|(other, _)| eligibility < other)
            {
                best = Some((eligibility, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

impl CandidateList {
    fn new() -> Self {
        Self {
            slots: [None; MAX_CANDIDATES],
            len: 0,
        }
    }

    fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.slots[..self.len].iter().flatten()
    }

    /// Inserts an endpoint in order of distance, unless the list already holds it at a smaller
    /// distance.
    fn insert(
        &mut self,
        distance: u64,
        index: EndpointIndex,
        view_of: &impl Fn(EndpointIndex) -> EndpointView,
    ) {
        let other = self.iter().position(|other| other.index == index);
        let view = match other {
            Some(position) => match self.slots[position] {
                Some(other) if other.distance > distance => {
                    self.slots.copy_within(position + 1..self.len, position);
                    self.len -= 1;
                    other.view
                }
                _ => return,
            },
            None => view_of(index),
        };
        let position = self
            .iter()
            .take_while(|other| other.distance <= distance)
            .count();
        self.slots.copy_within(position..self.len, position + 1);
        self.slots[position] = Some(Candidate {
            distance,
            index,
            view,
        });
        self.len += 1;
    }

    fn retain(&mut self, predicate: impl Fn(&Candidate) -> bool) {
        let mut kept = 0;
        for position in 0..self.len {
            if self.slots[position].as_ref().is_some_and(&predicate) {
                self.slots[kept] = self.slots[position];
                kept += 1;
            }
        }
        self.len = kept;
    }

    /// Returns the most preferred candidate whose load does not exceed the bound on its fair share.
    fn first_within_bound(&self) -> Option<EndpointIndex> {
        let held: u64 = self.iter().map(|c| u64::from(c.view.load.held)).sum();
        let limit: u64 = self.iter().map(|c| u64::from(c.view.load.limit)).sum();
        let within = |candidate: &&Candidate| {
            let load = candidate.view.load;
            let share = held * u64::from(load.limit) / limit.max(1);
            u64::from(load.held) <= share * LOAD_BOUND_PERCENT / 100 + LOAD_SLACK_REQUESTS
        };
        self.iter().find(within).map(|candidate| candidate.index)
    }
}

fn bucket_starts(ring: &[RingPoint], buckets: usize, shift: u32) -> Vec<u32> {
    let mut starts = Vec::with_capacity(buckets);
    let mut position = 0;
    for bucket in (0..).take(buckets) {
        while ring
            .get(position as usize)
            .is_some_and(|point| point.hash >> shift < bucket)
        {
            position += 1;
        }
        starts.push(position);
    }
    starts
}

/// Mixes the bits of a number (the finaliser of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
