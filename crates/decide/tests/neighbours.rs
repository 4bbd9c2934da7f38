//! The choice of the hosts that watch each host.

use fulmarswitch_decide::neighbours::{RingHost, watched_by, watchers_of};
use proptest::prelude::*;
use rstest::rstest;

fn ring(domains: &[u16]) -> Vec<RingHost> {
    (0..)
        .zip(domains)
        .map(|(position, domain)| RingHost {
            position,
            failure_domain: *domain,
        })
        .collect()
}

/// Each case holds the failure domains of the hosts on the ring and the watchers of the first host.
#[rstest]
#[case::single_host(&[0], &[])]
#[case::one_domain(&[0, 0, 0, 0, 0], &[1, 2, 3])]
#[case::fewer_hosts_than_watchers(&[0, 1], &[1])]
#[case::two_domains(&[0, 0, 1, 1, 0], &[2, 3, 1])]
#[case::three_domains(&[0, 0, 1, 1, 2, 2], &[2, 4, 1])]
#[case::many_domains(&[0, 1, 1, 2, 3, 4], &[1, 3, 4])]
#[case::no_other_host_in_the_domain(&[0, 1, 1, 2, 2], &[1, 3, 2])]
fn watchers_of_one_host(#[case] domains: &[u16], #[case] expected: &[usize]) {
    assert_eq!(watchers_of(&ring(domains), 0, 3), expected);
}

proptest! {
    #[test]
    fn a_lost_domain_leaves_two_watchers(
        domains in proptest::collection::vec(0_u16..4, 1..40),
    ) {
        let ring = ring(&domains);
        for watched in 0..ring.len() {
            let watchers = watchers_of(&ring, watched, 3);
            let outside = |index: &&usize| ring[**index].failure_domain != ring[watched].failure_domain;
            let available = ring.iter().filter(|host| host.failure_domain != ring[watched].failure_domain);
            prop_assert!(!watchers.contains(&watched));
            prop_assert_eq!(watchers.len(), 3.min(ring.len() - 1));
            prop_assert!(watchers.iter().filter(outside).count() >= 2.min(available.count()));
        }
    }

    #[test]
    fn watched_by_inverts_watchers_of(domains in proptest::collection::vec(0_u16..4, 1..20)) {
        let ring = ring(&domains);
        for watcher in 0..ring.len() {
            for watched in watched_by(&ring, watcher, 3) {
                prop_assert!(watchers_of(&ring, watched, 3).contains(&watcher));
            }
        }
    }
}
