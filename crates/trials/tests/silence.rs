//! Failure detection: when the fleet considers an unresponsive host lost.

use fulmarswitch_decide::hosts::HostPhase;
use fulmarswitch_trials::fleet::{DOMAINS, TrialFleet};
use fulmarswitch_trials::run::start_fleet;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which all hosts must have detected a loss.
const DETECTION_LIMIT: Duration = Duration::from_secs(2);
/// Interval at which the views of the hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of hosts in the fleet; the last one fails.
const HOSTS: usize = 5;

/// Returns whether all other hosts consider the last one lost.
fn is_down(fleet: &TrialFleet) -> bool {
    (0..HOSTS - 1).filter_map(|at| fleet.host(at)).all(|host| {
        let view = host.node.fleet().view();
        let entry = view.hosts.get(fleet.name(HOSTS - 1));
        entry.is_some_and(|entry| entry.phase == HostPhase::Down)
    })
}

#[rstest]
#[case::at_once(0)]
#[case::between_two_heartbeats(130)]
#[case::just_before_a_heartbeat(390)]
#[tokio::test(start_paused = true)]
async fn a_lost_host_is_noticed(#[case] after_ms: u64) {
    let fleet = start_fleet(5, HOSTS).await;
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    fleet.kill(HOSTS - 1);
    let lost_at = Instant::now();
    while !is_down(&fleet) {
        assert!(
            lost_at.elapsed() < DETECTION_LIMIT,
            "loss not detected within 2 s"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("detected after {:?}", lost_at.elapsed());
    fleet.network.close();
}

#[rstest]
#[case::as_usual(300)]
#[case::long(900)]
#[tokio::test(start_paused = true)]
async fn a_short_pause_is_not_detected_as_a_loss(#[case] pause_ms: u64) {
    let fleet = start_fleet(5, HOSTS).await;
    for _ in 0..5 {
        fleet.set_paused(HOSTS - 1, true);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        fleet.set_paused(HOSTS - 1, false);
        for _ in 0..300 {
            let down = (0..HOSTS - 1).filter_map(|at| fleet.host(at)).any(|host| {
                let view = host.node.fleet().view();
                let entry = view.hosts.get(fleet.name(HOSTS - 1));
                entry.is_none_or(|entry| entry.phase != HostPhase::Live)
            });
            assert!(!down, "a pause of {pause_ms} ms was detected as a loss");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    fleet.network.close();
}

/// All hosts of one of three equally large failure domains are lost at once.
#[rstest]
#[case::first_of_nine_hosts(0, 9)]
#[case::second_of_nine_hosts(1, 9)]
#[case::third_of_nine_hosts(2, 9)]
#[case::first_of_twelve_hosts(0, 12)]
#[case::second_of_twelve_hosts(1, 12)]
#[case::third_of_twelve_hosts(2, 12)]
#[tokio::test(start_paused = true)]
async fn a_lost_failure_domain_is_noticed(#[case] domain: usize, #[case] hosts: usize) {
    let fleet = start_fleet(5, hosts).await;
    let lost: Vec<usize> = (domain..hosts).step_by(DOMAINS.len()).collect();
    for at in &lost {
        fleet.kill(*at);
    }
    let lost_at = Instant::now();
    let is_detected = |at: usize| {
        let view = fleet.host(at).map(|host| host.node.fleet().view());
        view.is_some_and(|view| {
            lost.iter().all(|lost| {
                let entry = view.hosts.get(fleet.name(*lost));
                entry.is_some_and(|entry| entry.phase == HostPhase::Down)
            })
        })
    };
    while !(0..hosts).filter(|at| !lost.contains(at)).all(is_detected) {
        assert!(
            lost_at.elapsed() < DETECTION_LIMIT,
            "loss not detected within 2 s"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!(
        "loss of a failure domain detected after {:?}",
        lost_at.elapsed()
    );
    fleet.network.close();
}
