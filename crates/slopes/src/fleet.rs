//! Messages, log appends, delays and resource use of a whole fleet, by hosts.
//!
//! The production code of the hosts runs in one process on a paused clock, over the simulated network and log
//! of the randomised tests. Delays are therefore in virtual time. Processor time and memory are real but do
//! not include sockets.

use crate::ALLOCATOR;
use crate::fit::{SlopeTable, as_float};
use fulmarswitch_decide::shard::ShardState;
use fulmarswitch_trials::callers::{TrialCaller, make_job, make_request, submit_request};
use fulmarswitch_trials::control::HostMode;
use fulmarswitch_trials::fleet::TrialFleet;
use fulmarswitch_trials::operators::publish;
use fulmarswitch_trials::run::start_fleet;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use stats_alloc::Region;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

/// Numbers of hosts for most slopes.
const HOST_COUNTS: [usize; 4] = [6, 12, 24, 48];
/// Numbers of hosts for the propagation of configuration changes.
const WIDE_HOST_COUNTS: [usize; 4] = [12, 48, 96, 192];
/// Virtual time over which rates are measured.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// Virtual time for which the fleet runs before a measurement starts.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Interval at which an awaited condition is checked; the resolution of the measured delays.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Online requests per second and host in the slopes under load.
const REQUESTS_PER_HOST_SECOND: u64 = 5;
/// Rate limit of the simulated log, high enough that it refuses no append.
const LOG_APPENDS_PER_SECOND: u32 = 1_000_000;
/// Seed of all random decisions.
const SEED: u64 = 1;

/// Measures the slopes over the number of hosts, and over completed items for the restart.
pub fn measure(table: &mut SlopeTable) {
    table.add(
        "control messages a second of all idle hosts",
        "messages",
        &HOST_COUNTS,
        |hosts| {
            idle_growth_per_second(hosts, |fleet| {
                count_as_float(fleet.network.counts().messages)
            })
        },
    );
    table.add(
        "control bytes a second of all idle hosts",
        "bytes",
        &HOST_COUNTS,
        |hosts| idle_growth_per_second(hosts, |fleet| count_as_float(fleet.network.counts().bytes)),
    );
    table.add(
        "processor milliseconds a second of all idle hosts",
        "ms",
        &HOST_COUNTS,
        idle_processor_ms,
    );
    table.add("memory of all idle hosts", "bytes", &HOST_COUNTS, |hosts| {
        let runtime = paused_runtime();
        let region = Region::new(ALLOCATOR);
        let fleet = runtime.block_on(start(hosts));
        let change = region.change();
        fleet.network.close();
        as_float(
            change
                .bytes_allocated
                .saturating_sub(change.bytes_deallocated),
        )
    });
    table.add(
        "appends a second under load, group commit",
        "appends",
        &HOST_COUNTS,
        |hosts| appends_under_load(hosts, false),
    );
    table.add(
        "appends a second under load, each host for itself",
        "appends",
        &HOST_COUNTS,
        |hosts| appends_under_load(hosts, true),
    );
    table.add(
        "time until a change is in force everywhere",
        "ms",
        &WIDE_HOST_COUNTS,
        config_propagation_ms,
    );
    table.add(
        "time until a lost host's shards are owned again",
        "ms",
        &HOST_COUNTS,
        takeover_ms,
    );
    table.add(
        "time until a restarted host takes part, by completed items",
        "ms",
        &[0, 2_000, 8_000],
        restart_ms,
    );
}

fn paused_runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime of the current thread needs no resources")
}

async fn start(hosts: usize) -> Arc<TrialFleet> {
    let fleet = start_fleet(SEED, hosts).await;
    fleet
        .log
        .set_faults(|faults| faults.appends_per_second = LOG_APPENDS_PER_SECOND);
    tokio::time::sleep(SETTLE_TIME).await;
    fleet
}

/// Returns the growth of a counter per second of virtual time in an idle fleet.
fn idle_growth_per_second(hosts: usize, count: impl Fn(&TrialFleet) -> f64) -> f64 {
    paused_runtime().block_on(async {
        let fleet = start(hosts).await;
        let before = count(&fleet);
        tokio::time::sleep(OBSERVATION_TIME).await;
        let growth = count(&fleet) - before;
        fleet.network.close();
        growth / OBSERVATION_TIME.as_secs_f64()
    })
}

fn idle_processor_ms(hosts: usize) -> f64 {
    paused_runtime().block_on(async {
        let fleet = start(hosts).await;
        let started = std::time::Instant::now();
        tokio::time::sleep(OBSERVATION_TIME).await;
        // Everything runs on one thread and the paused clock skips idle time, so wall time is processor time.
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        fleet.network.close();
        elapsed_ms / OBSERVATION_TIME.as_secs_f64()
    })
}

/// Returns the log appends per second while every host receives [`REQUESTS_PER_HOST_SECOND`]
/// online requests per second.
fn appends_under_load(hosts: usize, without_group_commit: bool) -> f64 {
    paused_runtime().block_on(async {
        let fleet = start(hosts).await;
        fleet
            .network
            .set_faults(|faults| faults.no_appenders = without_group_commit);
        let before = fleet.log.counts().appends;
        let end = Instant::now() + OBSERVATION_TIME;
        let mut number = 0;
        while Instant::now() < end {
            for host in fleet.joined() {
                let request = make_request(&format!("load-{number}"), 2, true);
                number += 1;
                tokio::spawn(async move { submit_request(&host, &request).await });
                let gap = Duration::from_secs(1) / u32::try_from(hosts).unwrap_or(1);
                tokio::time::sleep(gap / u32::try_from(REQUESTS_PER_HOST_SECOND).unwrap_or(1))
                    .await;
            }
        }
        let appends = fleet.log.counts().appends - before;
        fleet.network.close();
        count_as_float(appends) / OBSERVATION_TIME.as_secs_f64()
    })
}

fn config_propagation_ms(hosts: usize) -> f64 {
    paused_runtime().block_on(async {
        let fleet = start(hosts).await;
        let host = fleet.host(0).expect("the host runs");
        let started = Instant::now();
        let published = publish(&fleet, &host, "workspace/new", 0, json!({"max_online": 7})).await;
        assert!(published, "nothing fails, so the change is accepted");
        while !fleet
            .joined()
            .iter()
            .all(|host| host.node.fleet().view().config.workspace("new").is_some())
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        fleet.network.close();
        elapsed_ms
    })
}

fn takeover_ms(hosts: usize) -> f64 {
    paused_runtime().block_on(async {
        let fleet = start(hosts).await;
        let owned = |at: usize| {
            fleet
                .host(at)
                .map_or(0, |host| host.node.shards().owned().len())
        };
        let lost_at = (0..hosts).max_by_key(|at| owned(*at)).unwrap_or(0);
        let lost = fleet.host(lost_at).expect("the host runs").identity.clone();
        let observer = fleet.host((lost_at + 1) % hosts).expect("the host runs");
        let started = Instant::now();
        fleet.kill(lost_at);
        loop {
            let still_owned = observer.node.shards().replicas().iter().any(|replica| {
                let state = replica.state();
                let owned_by_lost_host = |shard: &ShardState| shard.owner() == Some(&lost);
                state.shards().iter().any(owned_by_lost_host)
            });
            if !still_owned {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        fleet.network.close();
        elapsed_ms
    })
}

/// Returns the real time, in milliseconds, that a restarted host needs to replay the log and join the fleet.
fn restart_ms(items: usize) -> f64 {
    paused_runtime().block_on(async {
        let fleet = start(4).await;
        let mut caller = TrialCaller::new(Arc::clone(&fleet), SmallRng::seed_from_u64(SEED), 0);
        if items > 0 {
            let job = make_job("restart", items, 2, true);
            caller.record_job(&job);
            assert!(
                caller.submit_job(&job).await,
                "nothing fails, so the job is accepted"
            );
            let last = u32::try_from(items - 1).unwrap_or(u32::MAX);
            while !is_job_finished(&fleet, last) {
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        }
        fleet.kill(3);
        tokio::time::sleep(SETTLE_TIME).await;
        let started = std::time::Instant::now();
        fleet.start(3);
        fleet.wait_joined().await;
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        fleet.network.close();
        elapsed_ms
    })
}

fn is_job_finished(fleet: &TrialFleet, item: u32) -> bool {
    let host = fleet
        .host(0)
        .filter(|host| host.control.mode() == HostMode::Running);
    host.is_some_and(|host| {
        host.node.shards().replicas().iter().any(|replica| {
            let state = replica.state();
            state.shards().iter().any(|shard| {
                shard
                    .jobs()
                    .any(|(_, job)| job.is_finished() && job.states().len() > item as usize)
            })
        })
    })
}

fn count_as_float(count: u64) -> f64 {
    as_float(usize::try_from(count).unwrap_or(usize::MAX))
}
