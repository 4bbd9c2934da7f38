//! The others take over from a host that falls silent, whatever it held.

use fulmarswitch_trials::run::start_fleet;
use fulmarswitch_trials::switch::HostMode;
use rstest::rstest;
use std::time::Duration;

/// Time in which the others take over everything.
const TAKEOVER: Duration = Duration::from_secs(6);

/// A paused host keeps its connections and answers nothing; one of the cases pauses the appender of joins.
#[rstest]
#[case::host_0(0)]
#[case::host_1(1)]
#[case::host_2(2)]
#[case::host_3(3)]
#[tokio::test(start_paused = true)]
async fn a_paused_host_holds_nothing_up(#[case] paused: usize) {
    let fleet = start_fleet(1, 4).await;
    fleet.set_frozen(paused, true);
    tokio::time::sleep(TAKEOVER).await;
    let running = |host: &&std::sync::Arc<_>| is_running(host);
    let hosts = fleet.joined();
    for host in hosts.iter().filter(running) {
        let live = host.node.fleet().view().hosts.live().count();
        assert_eq!(live, 3, "at {}", host.identity);
        for book in host.node.shards().books() {
            let state = book.state();
            for shard in state.shards() {
                let owner = shard.owner().expect("every shard is owned");
                assert_ne!(owner.name, *fleet.name(paused), "at {}", host.identity);
            }
        }
    }
    fleet.network.close();
}

fn is_running(host: &fulmarswitch_trials::fleet::TrialHost) -> bool {
    host.switch.mode() == HostMode::Running
}
