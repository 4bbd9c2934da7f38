//! The faults and their schedule: one to three at a time, determined by the seed.

use crate::fleet::{DOMAINS, TrialFleet, WORKSPACE};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time for which a fault waits for an acknowledgement or call that selects its target.
const TARGET_TIMEOUT: Duration = Duration::from_secs(3);
/// Latency of a slow log.
const SLOW_LOG_MS: u64 = 700;

/// Kinds of faults; their names are the arguments of `--kind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A host is killed right after an acknowledgement or the start of a call to an endpoint, and is
    /// restarted later.
    HostLost,
    /// A host pauses, possibly for longer than the timeout after which other hosts consider it lost.
    HostPaused,
    /// The log rejects every call.
    LogDown,
    /// Each log call takes longer.
    LogSlow,
    /// Appends take effect and their acknowledgements are lost.
    AckLost,
    /// One host alone is disconnected from the log.
    LogCut,
    /// Two failure domains are partitioned from each other.
    DomainsCut,
    /// Messages between hosts are lost, delayed and duplicated, and replies are lost and delayed.
    NetworkLossy,
    /// An engine aborts all its runs and is unreachable for a while.
    EngineLost,
    /// Calls to a plain service run, but their answers are lost.
    AnswerLost,
    /// A host is drained and stopped, and is restarted later.
    HostStopped,
}

impl FaultKind {
    /// All kinds, in the order of declaration.
    pub const ALL: [Self; 11] = [
        Self::HostLost,
        Self::HostPaused,
        Self::LogDown,
        Self::LogSlow,
        Self::AckLost,
        Self::LogCut,
        Self::DomainsCut,
        Self::NetworkLossy,
        Self::EngineLost,
        Self::AnswerLost,
        Self::HostStopped,
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let kind = Self::ALL.into_iter().find(|kind| kind.to_string() == name);
        kind.ok_or_else(|| {
            let known: Vec<String> = Self::ALL.iter().map(Self::to_string).collect();
            format!(
                "unknown kind of fault {name}; choose from {}",
                known.join(", ")
            )
        })
    }
}

/// One fault that was injected.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, since the start of the run.
    pub from: Duration,
    /// End of the fault, since the start of the run.
    pub until: Duration,
}

impl fmt::Display for InjectedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (self.from.as_secs_f64(), self.until.as_secs_f64());
        write!(f, "{} {from:.1}-{until:.1} s", self.kind)
    }
}

/// Injects random faults until `end` and returns them.
pub async fn run_faults(
    fleet: Arc<TrialFleet>,
    mut rng: SmallRng,
    kinds: Vec<FaultKind>,
    end: Instant,
) -> Vec<InjectedFault> {
    let mut injected = Vec::new();
    while Instant::now() < end && !kinds.is_empty() {
        let count = rng.random_range(1..=3);
        let mut faults = JoinSet::new();
        for _ in 0..count {
            let Some(kind) = kinds.choose(&mut rng).copied() else {
                continue;
            };
            let rng = SmallRng::seed_from_u64(rng.random());
            faults.spawn(run_fault(Arc::clone(&fleet), rng, kind));
        }
        injected.extend(faults.join_all().await);
        let pause = rng.random_range(0..2_500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    injected
}

/// Injects one fault after a short random delay and returns once it has ended.
pub async fn run_fault(
    fleet: Arc<TrialFleet>,
    mut rng: SmallRng,
    kind: FaultKind,
) -> InjectedFault {
    let wait = Duration::from_millis(rng.random_range(0..1_000));
    tokio::time::sleep(wait).await;
    let from = fleet.history.now();
    let duration = Duration::from_millis(rng.random_range(300..7_000));
    let at = rng.random_range(0..fleet.size());
    match kind {
        FaultKind::HostLost => lose_host(&fleet, &mut rng, duration).await,
        FaultKind::HostPaused => pause_host(&fleet, &mut rng, duration).await,
        FaultKind::LogDown => {
            fleet.history.record_lag(&"*".into(), duration);
            fleet.log.set_faults(|faults| faults.down = true);
            tokio::time::sleep(duration).await;
            fleet.log.set_faults(|faults| faults.down = false);
        }
        FaultKind::LogSlow => {
            fleet.history.record_lag(&"*".into(), duration);
            fleet.log.set_faults(|faults| faults.slow_ms = SLOW_LOG_MS);
            tokio::time::sleep(duration).await;
            fleet.log.set_faults(|faults| faults.slow_ms = 2);
        }
        FaultKind::AckLost => {
            let count = rng.random_range(1..12);
            fleet.log.set_faults(|faults| faults.lose_acks = count);
            tokio::time::sleep(duration).await;
            fleet.log.set_faults(|faults| faults.lose_acks = 0);
        }
        FaultKind::LogCut => {
            fleet.history.record_lag(fleet.name(at), duration);
            fleet.set_log_cut(at, true);
            tokio::time::sleep(duration).await;
            fleet.set_log_cut(at, false);
        }
        FaultKind::DomainsCut => cut_domains(&fleet, &mut rng, duration).await,
        FaultKind::NetworkLossy => {
            fleet.network.set_faults(|faults| {
                faults.delay_ms = 60;
                faults.lost = 30;
                faults.lost_replies = 30;
                faults.duplicates = 60;
            });
            tokio::time::sleep(duration).await;
            fleet.network.set_faults(|faults| {
                faults.delay_ms = 3;
                faults.lost = 0;
                faults.lost_replies = 0;
                faults.duplicates = 0;
            });
        }
        FaultKind::EngineLost => {
            let engine = Arc::clone(&fleet.engines[at % fleet.engines.len()]);
            engine.set_faults(|faults| faults.lost = true);
            tokio::time::sleep(duration).await;
            engine.set_faults(|faults| faults.lost = false);
        }
        FaultKind::AnswerLost => {
            let count = rng.random_range(1..5);
            let plain = &fleet.plain_services[at % fleet.plain_services.len()];
            plain.set_faults(|faults| faults.lose_answers = count);
            tokio::time::sleep(duration).await;
        }
        FaultKind::HostStopped => {
            fleet.drain(at).await;
            tokio::time::sleep(duration).await;
            restart(&fleet, at);
        }
    }
    let until = fleet.history.now();
    InjectedFault { kind, from, until }
}

/// Kills a host on which a caller or an endpoint call has just come to depend, and restarts it later.
async fn lose_host(fleet: &Arc<TrialFleet>, rng: &mut SmallRng, duration: Duration) {
    let at = next_target_host(fleet, rng).await;
    fleet.kill(at);
    tokio::time::sleep(duration).await;
    restart(fleet, at);
}

/// Waits for an acknowledgement to a caller or the start of a call to an endpoint, and returns the index of
/// a host that is involved: the owner, the host that the caller is connected to, or the host of the gate.
/// Without such an event, or if that host is not found, any host is chosen.
async fn next_target_host(fleet: &Arc<TrialFleet>, rng: &mut SmallRng) -> usize {
    let (name, host) = if rng.random_bool(0.5) {
        let ack = tokio::time::timeout(TARGET_TIMEOUT, fleet.history.next_ack()).await;
        ack.ok().flatten().map(|ack| (ack.name, ack.host)).unzip()
    } else {
        let start = tokio::time::timeout(TARGET_TIMEOUT, fleet.history.next_start()).await;
        let start = start.ok().flatten();
        start
            .map(|start| (name_from_input(&start.input), start.host.name))
            .unzip()
    };
    let owner = name.and_then(|name| owner_of(fleet, &name));
    let wanted = owner.filter(|_| rng.random_bool(0.6)).or(host);
    let found = (0..fleet.size()).find(|at| Some(fleet.name(*at)) == wanted.as_ref());
    found.unwrap_or_else(|| rng.random_range(0..fleet.size()))
}

/// Returns the name of the key or job, which is the last word of an input.
fn name_from_input(input: &str) -> Arc<str> {
    let word = input.rsplit(' ').next().unwrap_or_default();
    format!("{WORKSPACE}/{word}").into()
}

fn owner_of(fleet: &TrialFleet, name: &str) -> Option<Arc<str>> {
    let host = fleet.joined().into_iter().next()?;
    let shard = host.node.fleet().view().shard_of(name);
    host.node.shards().owner(shard).map(|owner| owner.name)
}

async fn pause_host(fleet: &Arc<TrialFleet>, rng: &mut SmallRng, duration: Duration) {
    let at = next_target_host(fleet, rng).await;
    fleet.history.record_lag(fleet.name(at), duration);
    fleet.set_paused(at, true);
    tokio::time::sleep(duration).await;
    fleet.set_paused(at, false);
}

async fn cut_domains(fleet: &Arc<TrialFleet>, rng: &mut SmallRng, duration: Duration) {
    let first = rng.random_range(0..DOMAINS.len());
    let second = (first + 1) % DOMAINS.len();
    let cut: (Arc<str>, Arc<str>) = (DOMAINS[first].into(), DOMAINS[second].into());
    fleet
        .network
        .set_faults(|faults| faults.partitions.push(cut.clone()));
    tokio::time::sleep(duration).await;
    fleet.network.set_faults(|faults| {
        if let Some(at) = faults.partitions.iter().position(|other| *other == cut) {
            faults.partitions.remove(at);
        }
    });
}

fn restart(fleet: &Arc<TrialFleet>, at: usize) {
    if !fleet.is_started(at) {
        fleet.start(at);
    }
}
