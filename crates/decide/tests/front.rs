//! The part of a service's endpoints that online requests go to.

use fulmarswitch_decide::balance::EndpointIndex;
use fulmarswitch_decide::load::LoadShare;
use fulmarswitch_decide::online_pool::OnlinePool;
use rstest::rstest;
use std::time::Duration;

const DOMAINS: [&str; 3] = ["x", "y", "z"];

fn front_of(count: usize) -> OnlinePool {
    let names: Vec<String> = (0..count).map(|at| format!("e{at:03}")).collect();
    let endpoints: Vec<(&str, &str)> = (0..)
        .zip(&names)
        .map(|(at, name): (usize, &String)| (name.as_str(), DOMAINS[at % 3]))
        .collect();
    OnlinePool::new(&endpoints)
}

/// Reports the load of `streams` spread over the front for some seconds, fifty notes a second.
fn settle(front: &mut OnlinePool, count: u32, streams: u32, from: u64, seconds: u64) -> usize {
    for step in 0..seconds * 50 {
        let now = Duration::from_secs(from) + Duration::from_millis(step * 20);
        let size = u32::try_from(front.size()).expect("the front is small");
        let share = LoadShare {
            held: streams / size,
            limit: 64,
        };
        let mut members = (0..count)
            .map(EndpointIndex)
            .filter(|at| front.contains(*at));
        let member = members.next_back().expect("the front has an endpoint");
        front.record_load(now, member, share);
    }
    front.size()
}

#[rstest]
#[case::no_load(12, 0, 1)]
#[case::light_load(12, 50, 6)]
#[case::load_that_leaves_one(12, 200, 11)]
#[case::overload_takes_all(12, 700, 12)]
#[case::large_service(800, 16_000, 700)]
fn size_follows_the_load(#[case] count: u32, #[case] streams: u32, #[case] expected: usize) {
    let mut front = front_of(count as usize);
    assert_eq!(settle(&mut front, count, streams, 0, 1_000), expected);
}

#[test]
fn burst_grows_the_front_within_a_second() {
    let mut front = front_of(12);
    let before = settle(&mut front, 12, 50, 0, 60);
    let after = settle(&mut front, 12, 600, 60, 1);
    assert!(after > before + 5, "from {before} to {after}");
}

#[rstest]
#[case::one(1)]
#[case::three(3)]
fn small_services_share_all_endpoints(#[case] count: u32) {
    let mut front = front_of(count as usize);
    settle(&mut front, count, 0, 0, 60);
    assert!((0..count).all(|at| front.contains(EndpointIndex(at))));
}

#[test]
fn front_stands_in_all_failure_domains() {
    let mut front = front_of(12);
    settle(&mut front, 12, 40, 0, 60);
    assert!(front.size() < 8);
    let members: Vec<usize> = (0..12)
        .filter(|at| front.contains(EndpointIndex(*at)))
        .map(|at| at as usize % 3)
        .collect();
    assert!(
        (0..3).all(|domain| members.contains(&domain)),
        "{members:?}"
    );
}
