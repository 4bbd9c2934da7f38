//! Chooses which hosts watch which, that is, send heartbeats to which.
//!
//! The hosts form a ring, ordered by a hash of their names. A host is watched by a few hosts that
//! follow it on the ring, from as many other failure domains as possible. If a host is lost with
//! its entire domain, two watchers outside the domain remain (if it has that many hosts outside),
//! as many as must report the host before it is declared down (see [`crate::hosts`]). Where there
//! are at least three domains, a partition between two of them cuts off at most one watcher.

/// Number of watchers that must be outside the failure domain of the watched host, if there are
/// hosts outside it.
const MIN_EXTERNAL_WATCHERS: usize = 2;

/// Host on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingHost {
    /// Position on the ring.
    pub position: u64,
    /// Number of the host's failure domain.
    pub failure_domain: u16,
}

/// Returns the indices in `ring` of the hosts that watch the host at index `watched`, at most
/// `count`.
///
/// The ring must be sorted by position.
///
/// ```
/// use fulmarswitch_decide::neighbours::{RingHost, watchers_of};
/// let host = |position, failure_domain| RingHost { position, failure_domain };
/// let ring = [host(1, 0), host(2, 0), host(3, 1), host(4, 1), host(5, 2)];
/// assert_eq!(watchers_of(&ring, 0, 2), [2, 4]);
/// ```
#[must_use]
pub fn watchers_of(ring: &[RingHost], watched: usize, count: usize) -> Vec<usize> {
    let own_domain = ring[watched].failure_domain;
    let is_external = |candidate: usize| ring[candidate].failure_domain != own_domain;
    let mut chosen: Vec<usize> = Vec::with_capacity(count);
    let mut select = |limit: usize, accepts: &dyn Fn(&[usize], usize) -> bool| {
        let following = (watched + 1..ring.len()).chain(0..watched);
        for candidate in following {
            if chosen.len() >= limit.min(count) {
                return;
            }
            if !chosen.contains(&candidate) && accepts(&chosen, candidate) {
                chosen.push(candidate);
            }
        }
    };
    select(count, &|chosen, candidate| {
        let other_domain =
            |other: &usize| ring[*other].failure_domain != ring[candidate].failure_domain;
        is_external(candidate) && chosen.iter().all(other_domain)
    });
    select(MIN_EXTERNAL_WATCHERS, &|_, candidate| {
        is_external(candidate)
    });
    select(count, &|_, candidate| !is_external(candidate));
    select(count, &|_, _| true);
    chosen
}

/// Returns the indices in `ring` of the hosts that the host at index `watcher` watches, in
/// ascending order.
///
/// ```
/// use fulmarswitch_decide::neighbours::{RingHost, watched_by};
/// let host = |position| RingHost { position, failure_domain: 0 };
/// let ring = [host(1), host(2), host(3)];
/// assert_eq!(watched_by(&ring, 0, 1), [2]);
/// ```
#[must_use]
pub fn watched_by(ring: &[RingHost], watcher: usize, count: usize) -> Vec<usize> {
    (0..ring.len())
        .filter(|watched| watchers_of(ring, *watched, count).contains(&watcher))
        .collect()
}
