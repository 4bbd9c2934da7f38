//! Jobs end at all hosts but one that keeps a fault, after random faults of the log, the links, the endpoints and the hosts.

use crate::support::{
    AppendFault, CallScript, LinkMode, MemoryClient, MemoryLog, TestFleet, full_text, submission,
};
use fulmarswitch_switch::backend::BodyFraming;
use fulmarswitch_switch::jobs::{JobReply, SubmitReply};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::workspace::CallerScope;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const EVENTS: u64 = 40;
const ITEMS: u32 = 24;
const ENDPOINTS: usize = 4;
/// Longer than the longest run and its backoff.
const SETTLE_TIME: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

const SCRIPTS: [CallScript; 13] = [
    CallScript::BreakAfter { event: 10 },
    CallScript::BreakAfter { event: EVENTS + 30 },
    CallScript::StallAfter { event: 20 },
    CallScript::Full,
    CallScript::Disconnect,
    CallScript::Silent,
    CallScript::Unreachable,
    CallScript::StreamUntilClose { events: EVENTS },
    CallScript::StreamUntilClose { events: 15 },
    CallScript::EndWithin {
        after: 12,
        body: BodyFraming::Delimited,
    },
    CallScript::Pause {
        after: 5,
        silence: Duration::from_millis(1900),
        events: EVENTS,
    },
    CallScript::BreakAfterSilence {
        after: 0,
        silence: Duration::from_secs(1),
    },
    CallScript::EndlessComments,
];

fn pick<T: Copy>(rng: &mut SmallRng, list: &[T]) -> T {
    *list.choose(rng).unwrap()
}

/// A random time below this one.
fn below(rng: &mut SmallRng, max: Duration) -> Duration {
    max.mul_f64(rng.random())
}

/// A host with its own access to the log and its own links to the endpoints.
struct FaultyHost {
    name: &'static str,
    node: Arc<SwitchNode>,
    log: MemoryLog,
    client: MemoryClient,
}

impl FaultyHost {
    async fn spawn(fleet: &TestFleet, name: &'static str) -> Self {
        let fleet = fleet.with_other_log_access().with_other_links();
        let node = fleet.spawn(name).await;
        let (log, client) = (fleet.log, fleet.client);
        Self {
            name,
            node,
            log,
            client,
        }
    }

    fn heal(&self) {
        self.log.set_cut(false);
        self.log.cut_topic(None);
        self.log.slow_topic("jobs", Duration::ZERO);
        self.client.set_links(LinkMode::Up);
    }

    fn disturb(&self, rng: &mut SmallRng) {
        let topics = ["jobs", "texts", "endpoints", "config", "hosts"];
        let modes = [LinkMode::Silent, LinkMode::Refusing, LinkMode::Reset];
        match rng.random_range(0..5) {
            0 => self.log.set_cut(true),
            1 | 2 => self.log.cut_topic(Some(pick(rng, &topics))),
            3 => {
                let delay = below(rng, Duration::from_secs(5));
                self.log.slow_topic(pick(rng, &topics), delay);
            }
            _ => self.client.set_links(pick(rng, &modes)),
        }
    }
}

fn refuse_appends(log: &MemoryLog, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(1..6) {
        let late = AppendFault::AppendLate(below(rng, Duration::from_secs(6)));
        let fault = pick(rng, &[AppendFault::Refuse, AppendFault::LoseResponse, late]);
        log.inject_fault(pick(rng, &["jobs", "texts"]), fault);
    }
}

async fn replace_host(fleet: &TestFleet, host: &mut FaultyHost, rng: &mut SmallRng) {
    let stopping = host.node.clone();
    tokio::spawn(async move { stopping.stop(Instant::now()).await });
    sleep(below(rng, Duration::from_secs(4))).await;
    host.log.set_cut(true);
    host.client.set_links(LinkMode::Reset);
    *host = FaultyHost::spawn(fleet, host.name).await;
}

async fn disturb(fleet: &TestFleet, hosts: &mut [FaultyHost], rng: &mut SmallRng) {
    let host = rng.random_range(0..hosts.len());
    let endpoint = format!("e{}", rng.random_range(0..ENDPOINTS));
    match rng.random_range(0..12) {
        0..4 => hosts[host].disturb(rng),
        4 | 5 => refuse_appends(&fleet.log, rng),
        6 => {
            fleet.log.put("jobs", "of another writer", "");
            fleet.log.expire("jobs");
        }
        7 => fleet.client.end_endpoint(&endpoint.into()),
        8 => {
            let (version, start) = (rng.random_range(1..3), rng.random_range(1..1000));
            let listing = format!("ready {version} {start} service domain 4");
            fleet.log.put("endpoints", &endpoint, &listing);
            fleet.client.revive_endpoint(&endpoint);
        }
        9 => replace_host(fleet, &mut hosts[host], rng).await,
        10 => {
            fleet.log.set_down(true);
            sleep(below(rng, Duration::from_secs(4))).await;
            fleet.log.set_down(false);
        }
        _ => {
            let count = rng.random_range(1..8);
            let scripts = (0..count).map(|_| pick(rng, &SCRIPTS));
            fleet.client.script(&scripts.collect::<Vec<_>>());
        }
    }
}

async fn submit(hosts: &[FaultyHost], job: String, rng: &mut SmallRng, jobs: &mut Vec<String>) {
    let host = hosts.choose(rng).unwrap();
    if host.node.submit_job(submission(&job, ITEMS)).await == SubmitReply::Done {
        jobs.push(job);
    }
}

async fn wait_for_end(host: &FaultyHost, job: &str, deadline: Instant) {
    loop {
        let reply = host
            .node
            .job_results(job, 0, Duration::ZERO, &CallerScope::Everyone);
        let reply = reply.await;
        if let JobReply::Found(page) = &reply
            && page.results.len() == ITEMS as usize
        {
            let mut texts = page
                .results
                .iter()
                .filter_map(|result| result.text.as_ref());
            assert!(texts.all(|text| *text == full_text(EVENTS)));
            return;
        }
        let is_late = Instant::now() > deadline;
        assert!(!is_late, "{job} at {}: {reply:?}", host.name);
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against items that stay open although no host runs them (LOST), and against joined outputs.
#[rstest]
#[tokio::test(start_paused = true)]
async fn jobs_end_after_faults(
    #[values(1, 2, 3, 12, 18, 77, 111, 126, 127, 129, 138, 152)] seed: u64,
) {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let fleet = TestFleet::new(ENDPOINTS);
    fleet
        .client
        .set_default(CallScript::Stream { events: EVENTS });
    let mut hosts = Vec::new();
    for name in ["a", "b", "c"] {
        hosts.push(FaultyHost::spawn(&fleet, name).await);
    }
    sleep(Duration::from_secs(2)).await;
    let mut jobs = Vec::new();
    for step in 0..rng.random_range(3..16) {
        if step % 4 == 0 {
            submit(&hosts, format!("j{step}"), rng, &mut jobs).await;
        }
        disturb(&fleet, &mut hosts, rng).await;
        sleep(below(rng, Duration::from_millis(2500))).await;
        if rng.random_bool(0.3) {
            hosts.choose(rng).unwrap().heal();
        }
    }
    for host in &hosts {
        host.heal();
    }
    for index in 0..ENDPOINTS {
        fleet.client.revive_endpoint(&format!("e{index}"));
    }
    hosts
        .swap_remove(rng.random_range(0..hosts.len()))
        .disturb(rng);
    let deadline = Instant::now() + SETTLE_TIME;
    for host in &hosts {
        for job in &jobs {
            wait_for_end(host, job, deadline).await;
        }
    }
}
