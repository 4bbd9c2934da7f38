//! The size and membership of the pool of endpoints for online requests.

use fulmarswitch_decide::balance::EndpointIndex;
use fulmarswitch_decide::load::LoadShare;
use fulmarswitch_decide::online_pool::OnlinePool;
use rstest::rstest;
use std::time::Duration;

const DOMAINS: [&str; 3] = ["x", "y", "z"];

fn pool_of(count: usize) -> OnlinePool {
    let names: Vec<String> = (0..count).map(|index| format!("e{index:03}")).collect();
    let endpoints: Vec<(&str, &str)> = (0..)
        .zip(&names)
        .map(|(index, name): (usize, &String)| (name.as_str(), DOMAINS[index % 3]))
        .collect();
    OnlinePool::new(&endpoints)
}

/// Reports the load of `streams` online streams, spread over the pool, 50 times a second for
/// `duration_s` seconds, and returns the final size of the pool.
fn run_load(
    pool: &mut OnlinePool,
    count: u32,
    streams: u32,
    start_s: u64,
    duration_s: u64,
) -> usize {
    for report in 0..duration_s * 50 {
        let now = Duration::from_secs(start_s) + Duration::from_millis(report * 20);
        let size = u32::try_from(pool.size()).expect("the pool is small");
        let share = LoadShare {
            held: streams / size,
            limit: 64,
        };
        let mut members = (0..count)
            .map(EndpointIndex)
            .filter(|index| pool.contains(*index));
        let member = members.next_back().expect("the pool is not empty");
        pool.record_load(now, member, share);
    }
    pool.size()
}

#[rstest]
#[case::no_load(12, 0, 1)]
#[case::light_load(12, 50, 6)]
#[case::load_that_leaves_one(12, 200, 11)]
#[case::overload_takes_all(12, 700, 12)]
#[case::large_service(800, 16_000, 700)]
fn size_follows_the_load(#[case] count: u32, #[case] streams: u32, #[case] expected: usize) {
    let mut pool = pool_of(count as usize);
    assert_eq!(run_load(&mut pool, count, streams, 0, 1_000), expected);
}

#[test]
fn a_burst_grows_the_pool_within_a_second() {
    let mut pool = pool_of(12);
    let before = run_load(&mut pool, 12, 50, 0, 60);
    let after = run_load(&mut pool, 12, 600, 60, 1);
    assert!(after > before + 5, "from {before} to {after}");
}

#[rstest]
#[case::one(1)]
#[case::three(3)]
fn small_services_share_all_endpoints(#[case] count: u32) {
    let mut pool = pool_of(count as usize);
    run_load(&mut pool, count, 0, 0, 60);
    assert!((0..count).all(|index| pool.contains(EndpointIndex(index))));
}

#[test]
fn the_pool_spans_all_failure_domains() {
    let mut pool = pool_of(12);
    run_load(&mut pool, 12, 40, 0, 60);
    assert!(pool.size() < 8);
    let members: Vec<usize> = (0..12)
        .filter(|index| pool.contains(EndpointIndex(*index)))
        .map(|index| index as usize % 3)
        .collect();
    assert!(
        (0..3).all(|domain| members.contains(&domain)),
        "{members:?}"
    );
}
