//! One run from its seed to its report.

use crate::callers::TrialCaller;
use crate::faults::{FaultKind, InjectedFault, run_faults};
use crate::fleet::TrialFleet;
use crate::guarantees::{check_end, monitor_hosts};
use crate::history::{AttemptResult, Violation};
use crate::operators::{publish_initial_config, run_leaving_operator, run_racing_operator};
use fulmarswitch_caller::wire::OutcomeReply;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Duration of one step of a run, in virtual time.
const STEP: Duration = Duration::from_secs(1);
/// Time within which all hosts must join once no fault is active.
const JOIN_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for which callers may continue after the last step.
const CALLERS_TIMEOUT: Duration = Duration::from_mins(1);
/// Guarantee that a started host joins the fleet.
const HOSTS_JOIN: &str = "a host that starts takes part once nothing fails";

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of steps of one second for which callers, operators and faults are active.
    pub steps: u32,
    /// Kinds of faults to choose from; without any no faults are injected.
    pub kinds: Vec<FaultKind>,
    /// Number of concurrent callers of online requests.
    pub online_callers: usize,
    /// Number of batch jobs.
    pub jobs: usize,
    /// Whether operators change the configuration.
    pub operators: bool,
    /// Retention period of the log; `None` keeps the default of the in-memory log.
    pub retention: Option<Duration>,
}

impl RunPlan {
    /// Creates a plan with all kinds of faults.
    ///
    /// ```
    /// assert_eq!(fulmarswitch_trials::run::RunPlan::new(7, 10).seed, 7);
    /// ```
    #[must_use]
    pub fn new(seed: u64, steps: u32) -> Self {
        Self {
            seed,
            steps,
            kinds: FaultKind::ALL.to_vec(),
            online_callers: 5,
            jobs: 3,
            operators: true,
            retention: None,
        }
    }
}

/// Summary of a run and the violations that it found.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: Vec<InjectedFault>,
    /// Online requests submitted.
    pub requests: usize,
    /// Online requests whose caller received an answer.
    pub answered: usize,
    /// Online requests whose caller was told that they may have run.
    pub unknown: usize,
    /// Items of the accepted jobs.
    pub items: usize,
    /// Items of the accepted jobs that were read as done.
    pub items_done: usize,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} of {} requests answered, {} of {} items",
            self.seed, self.answered, self.requests, self.items_done, self.items
        )?;
        for fault in &self.faults {
            writeln!(f, "  fault {fault}")?;
        }
        for violation in &self.violations {
            writeln!(f, "  BROKEN {violation}")?;
        }
        Ok(())
    }
}

/// Executes one run in its own runtime with a paused clock.
///
/// # Panics
/// Panics if the runtime cannot be built, or if an assertion inside the system fails.
#[must_use]
pub fn run_plan(plan: &RunPlan) -> RunReport {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a current-thread runtime can be built")
        .block_on(run_in_runtime(plan))
}

/// Starts a fleet, waits until all hosts have joined and publishes the initial configuration.
pub async fn start_fleet(seed: u64, hosts: usize) -> Arc<TrialFleet> {
    let fleet = TrialFleet::new(seed, hosts);
    for at in 0..hosts {
        fleet.start(at);
    }
    wait_joined(&fleet).await;
    publish_initial_config(&fleet).await;
    tokio::time::sleep(STEP).await;
    fleet
}

async fn run_in_runtime(plan: &RunPlan) -> RunReport {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let hosts = rng.random_range(3..=5);
    let fleet = start_fleet(rng.random(), hosts).await;
    draw_call_durations(&fleet, &mut rng);
    if let Some(retention) = plan.retention {
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        fleet
            .log
            .set_faults(|faults| faults.retention_ms = retention_ms);
    }
    let monitor = tokio::spawn(monitor_hosts(Arc::clone(&fleet)));
    let end = Instant::now() + STEP * plan.steps;
    let mut workload = spawn_workload(plan, &fleet, &mut rng, end);
    let faults_rng = SmallRng::seed_from_u64(rng.random());
    let faults = run_faults(Arc::clone(&fleet), faults_rng, plan.kinds.clone(), end).await;
    tokio::time::sleep_until(end).await;
    // Callers stop on their own; a caller that waits for a lost host must not block the run.
    let remaining = async { while workload.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(CALLERS_TIMEOUT, remaining).await;
    workload.abort_all();
    for at in 0..hosts {
        if !fleet.is_started(at) {
            fleet.start(at);
        }
    }
    wait_joined(&fleet).await;
    check_end(&fleet).await;
    monitor.abort();
    fleet.network.close();
    report(plan, &fleet, faults)
}

/// Chooses how long calls take, so that faults occur before, during and after calls.
fn draw_call_durations(fleet: &TrialFleet, rng: &mut SmallRng) {
    let call_ms = [30, 300, 1_500][rng.random_range(0..3)];
    let step_us = [5_000, 40_000][rng.random_range(0..2)];
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.call_ms = call_ms);
    }
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.step_us = step_us);
    }
}

async fn wait_joined(fleet: &TrialFleet) {
    let joining = fleet.wait_joined();
    if tokio::time::timeout(JOIN_TIMEOUT, joining).await.is_err() {
        let detail = format!("{} of {} joined", fleet.joined().len(), fleet.size());
        fleet.history.record_violation(HOSTS_JOIN, detail);
    }
}

fn spawn_workload(
    plan: &RunPlan,
    fleet: &Arc<TrialFleet>,
    rng: &mut SmallRng,
    end: Instant,
) -> JoinSet<()> {
    let mut workload = JoinSet::new();
    let mut fork_rng = || SmallRng::seed_from_u64(rng.random());
    for number in 0..plan.online_callers {
        let caller = TrialCaller::new(Arc::clone(fleet), fork_rng(), number);
        workload.spawn(caller.run_online(end));
    }
    for number in 0..plan.jobs {
        let caller = TrialCaller::new(Arc::clone(fleet), fork_rng(), number);
        workload.spawn(caller.run_job(end));
    }
    if plan.operators {
        for number in 0..2 {
            workload.spawn(run_racing_operator(
                Arc::clone(fleet),
                fork_rng(),
                number,
                end,
            ));
        }
        workload.spawn(run_leaving_operator(Arc::clone(fleet), fork_rng(), end));
    }
    workload
}

fn report(plan: &RunPlan, fleet: &TrialFleet, faults: Vec<InjectedFault>) -> RunReport {
    let observations = fleet.history.observations();
    let count_requests = |wanted: fn(&AttemptResult) -> bool| {
        let keys = observations.keys.iter();
        keys.filter(|(_, observed)| observed.attempts.iter().any(wanted))
            .count()
    };
    let accepted = || observations.jobs.iter().filter(|(_, job)| job.accepted);
    let is_done = |outcome: &OutcomeReply| matches!(outcome, OutcomeReply::Done { .. });
    RunReport {
        seed: plan.seed,
        faults,
        requests: observations.keys.len(),
        answered: count_requests(|attempt| {
            matches!(
                attempt,
                AttemptResult::Done {
                    outcome: OutcomeReply::Done { .. },
                    ..
                }
            )
        }),
        unknown: count_requests(|attempt| {
            matches!(
                attempt,
                AttemptResult::Done {
                    outcome: OutcomeReply::MayHaveRun,
                    ..
                }
            )
        }),
        items: accepted().map(|(_, job)| job.inputs.len()).sum(),
        items_done: accepted()
            .map(|(_, job)| job.reads.iter().filter(|(_, read)| is_done(read)).count())
            .sum(),
        violations: observations.violations.clone(),
    }
}
