//! The set of runs, the figures derived from them, and the targets.

use crate::entry::first_online_pool_endpoint;
use crate::policy::{FIXED_CAP, PolicyKind};
use crate::scenario::{
    BETWEEN_TOKENS_OBJECTIVE, BurstPlan, DOMAINS, ENDPOINTS, FIRST_TOKEN_OBJECTIVE, FaultKind,
    FaultPlan, RunScenario, STEADY_RATE,
};
use crate::simulation::run_scenario;
use crate::stats::{FAULT_SLOT, RunStats, to_float};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Runs that are executed in parallel.
const THREADS: usize = 4;
/// Caps on batch streams that are swept to find the spare capacity.
const BATCH_CAPS: [usize; 12] = [1, 2, 3, 4, 6, 8, 10, 12, 16, 24, 32, 48];
/// Online requests per second that are swept to find the online capacity.
const ONLINE_RATES: [f64; 12] = [
    300.0, 400.0, 500.0, 550.0, 600.0, 650.0, 700.0, 750.0, 800.0, 850.0, 900.0, 1_000.0,
];
/// Quantile of the latencies at which the objectives must be met.
const OBJECTIVE_QUANTILE: f64 = 0.95;
/// Load of the overload scenario relative to the online capacity.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Rate of the high-load scenarios relative to the steady rate.
const HIGH_RATE_FACTOR: f64 = 2.0;
/// Time of fault injection, from the start of the run.
const FAULT_AT: Duration = Duration::from_secs(20);
/// A fault counts as detected once the faulty endpoints get less than this fraction of their fair share of
/// requests.
const DETECTED_SHARE: f64 = 0.25;

/// The statistics of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// The scenario that was run.
    pub scenario: RunScenario,
    /// The policy under which it ran.
    pub policy: PolicyKind,
    /// Statistics after the warm-up.
    pub stats: RunStats,
}

/// The result of checking one target.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// Description of the target and its bound.
    pub target: String,
    /// The measured value.
    pub measured: String,
    /// Whether the measured value is within the bound.
    pub met: bool,
}

/// All results in virtual time.
#[derive(Clone, Debug)]
pub struct MeasureReport {
    /// Every scenario under every policy of [`policies`].
    pub runs: Vec<RunResult>,
    /// Runs of the sweep over caps on batch streams.
    pub sweep: Vec<RunResult>,
    /// Most batch items per second of the sweep with the latency objectives of the steady online load met.
    pub spare_items_per_second: f64,
    /// Most online answers in time per second, without batch, at a rate that meets the latency objectives.
    pub online_capacity_per_second: f64,
}

impl RunResult {
    /// Returns the duration of the run after the warm-up, in seconds.
    #[must_use]
    pub fn counted_seconds(&self) -> f64 {
        let counted = self.scenario.length.saturating_sub(self.scenario.warmup);
        counted.as_secs_f64()
    }

    /// Returns the batch items completed per second.
    #[must_use]
    pub fn items_per_second(&self) -> f64 {
        to_float(self.stats.items) / self.counted_seconds()
    }

    /// Returns the online answers per second that met the latency objectives.
    #[must_use]
    pub fn in_time_per_second(&self) -> f64 {
        to_float(self.stats.in_time) / self.counted_seconds()
    }

    /// Returns the share of online requests whose answer met the latency objectives.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        RunStats::share(self.stats.in_time, self.stats.online)
    }

    /// Returns the time to the first token at a quantile, in milliseconds.
    #[must_use]
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.stats.first_token, quantile)
    }

    /// Returns the time between tokens at a quantile, in milliseconds.
    #[must_use]
    pub fn between_tokens_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.stats.between_tokens, quantile)
    }

    /// Returns the time from arrival to refusal at a quantile, in milliseconds.
    #[must_use]
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.stats.refusal, quantile)
    }

    /// Returns whether the p95 of the time to the first token and of the time between tokens meet the latency
    /// objectives.
    #[must_use]
    pub fn meets_objectives(&self) -> bool {
        self.first_token_ms(OBJECTIVE_QUANTILE) <= FIRST_TOKEN_OBJECTIVE.as_secs_f64() * 1_000.0
            && self.between_tokens_ms(OBJECTIVE_QUANTILE)
                <= BETWEEN_TOKENS_OBJECTIVE.as_secs_f64() * 1_000.0
    }

    /// Returns the time from the fault until the faulty endpoints got less than a quarter of their fair share
    /// of requests for good, in milliseconds, or `None` without a fault.
    ///
    /// Probes of suspected endpoints are not counted.
    #[must_use]
    pub fn detection_ms(&self) -> Option<f64> {
        let fault = self.scenario.faults.first()?;
        let faulty = to_float(fault.endpoints.len() as u64);
        let endpoints = to_float(ENDPOINTS as u64);
        let fair_share = self.scenario.rate * FAULT_SLOT.as_secs_f64() * faulty / endpoints;
        // A moving window of one second (10 slots) smooths random variation of single arrivals.
        let window = 10;
        let sent = &self.stats.sent_after_fault;
        let is_above_threshold = |slots: &[u64]| {
            to_float(slots.iter().sum()) > fair_share * DETECTED_SHARE * to_float(window as u64)
        };
        let last_slot = (0..sent.len()).rev().find(|at| {
            sent[*at] > 0 && is_above_threshold(&sent[at.saturating_sub(window - 1)..=*at])
        });
        let slots = last_slot.map_or(0, |slot| slot + 1);
        Some(to_float(slots as u64) * FAULT_SLOT.as_secs_f64() * 1_000.0)
    }
}

impl MeasureReport {
    /// Returns the run of a scenario under a policy.
    ///
    /// # Panics
    /// Panics if there is no such run.
    #[must_use]
    pub fn run(&self, name: &str, policy: PolicyKind) -> &RunResult {
        let is_match = |run: &&RunResult| run.scenario.name == name && run.policy == policy;
        self.runs
            .iter()
            .find(is_match)
            .expect("the report has a run of this scenario under this policy")
    }

    /// Returns the p99 time to the first token in scenario `with` (batch) relative to `without` (no batch).
    #[must_use]
    pub fn p99_first_token_ratio(&self, with: &str, without: &str, policy: PolicyKind) -> f64 {
        self.run(with, policy).first_token_ms(0.99) / self.run(without, policy).first_token_ms(0.99)
    }

    /// Returns the lowest p99 time to the first token over all policies in the scenario `without` batch, in
    /// milliseconds.
    #[must_use]
    pub fn best_online_only_p99_ms(&self, without: &str) -> f64 {
        let online_only = self.runs.iter().filter(|run| run.scenario.name == without);
        online_only
            .map(|run| run.first_token_ms(0.99))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the batch items per second at steady load as a share of the spare capacity.
    #[must_use]
    pub fn spare_capacity_share(&self, policy: PolicyKind) -> f64 {
        self.run("steady-batch", policy).items_per_second() / self.spare_items_per_second
    }

    /// Returns the online answers in time per second under overload as a share of the online capacity.
    #[must_use]
    pub fn goodput_share(&self, policy: PolicyKind) -> f64 {
        self.run("overload", policy).in_time_per_second() / self.online_capacity_per_second
    }

    /// Checks the targets for a policy.
    #[must_use]
    pub fn targets(&self, policy: PolicyKind) -> Vec<TargetResult> {
        let at_most = |target: &str, measured: f64, bound: f64| TargetResult {
            target: format!("{target} at most {bound}"),
            measured: format!("{measured:.2}"),
            met: measured <= bound,
        };
        let at_least = |target: &str, measured: f64, bound: f64| TargetResult {
            target: format!("{target} at least {bound}"),
            measured: format!("{measured:.3}"),
            met: measured >= bound,
        };
        let mut targets = vec![
            at_most(
                "(1) p99 first token with batch over without",
                self.p99_first_token_ratio("steady-batch", "steady-alone", policy),
                1.10,
            ),
            at_most(
                "(2) p99 first token with batch over without",
                self.p99_first_token_ratio("burst-batch", "burst-alone", policy),
                1.25,
            ),
            at_least(
                "(1) batch over spare capacity",
                self.spare_capacity_share(policy),
                0.85,
            ),
            at_least(
                "(4) useful share of capacity",
                self.goodput_share(policy),
                0.9,
            ),
            at_most(
                "(4) p99 time until a refusal, ms",
                self.run("overload", policy).refusal_ms(0.99),
                50.0,
            ),
        ];
        for name in ["steady-batch", "burst-batch", "slow", "lost", "leave"] {
            let run = self.run(name, policy);
            targets.push(at_most(
                &format!("{name}: p95 first token, ms"),
                run.first_token_ms(0.95),
                520.0,
            ));
            targets.push(at_most(
                &format!("{name}: p95 between tokens, ms"),
                run.between_tokens_ms(0.95),
                26.0,
            ));
        }
        for name in ["slow", "lost", "domain-lost"] {
            let run = self.run(name, policy);
            let detection_ms = run.detection_ms().unwrap_or(f64::INFINITY);
            targets.push(at_most(
                &format!("{name}: time until noticed, ms"),
                detection_ms,
                2_000.0,
            ));
            let failed = RunStats::share(run.stats.failed, run.stats.online) * 1_000.0;
            targets.push(at_most(&format!("{name}: failed in 1,000"), failed, 1.0));
        }
        targets
    }
}

/// Returns a quantile in milliseconds.
///
/// All recorded values are whole milliseconds, so the lowest value of the histogram bucket is the exact one.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    let value = histogram.value_at_quantile(quantile);
    to_float(histogram.lowest_equivalent(value)) / 1_000.0
}

/// Runs the sweeps and then all scenarios under all policies.
///
/// The load of the overload scenario depends on the online capacity found by the sweep over rates.
#[must_use]
pub fn measure_all() -> MeasureReport {
    let sweep_plan: Vec<_> = BATCH_CAPS
        .iter()
        .map(|cap| {
            (
                RunScenario::steady("sweep", STEADY_RATE, true),
                PolicyKind::PacedCap(*cap),
            )
        })
        .collect();
    let sweep = run_all(&sweep_plan);
    let compliant = sweep.iter().filter(|run| run.meets_objectives());
    let spare_items_per_second = compliant
        .map(RunResult::items_per_second)
        .fold(0.0, f64::max);
    let rate_plan: Vec<_> = ONLINE_RATES
        .iter()
        .map(|rate| {
            (
                RunScenario::steady("capacity", *rate, false),
                PolicyKind::Previous,
            )
        })
        .collect();
    let rates = run_all(&rate_plan);
    let online_capacity_per_second = rates
        .iter()
        .filter(|run| run.meets_objectives())
        .map(RunResult::in_time_per_second)
        .fold(0.0, f64::max);
    let mut plan = Vec::new();
    for policy in policies() {
        plan.extend(
            scenarios(online_capacity_per_second)
                .into_iter()
                .map(|run| (run, policy)),
        );
    }
    MeasureReport {
        runs: run_all(&plan),
        sweep,
        spare_items_per_second,
        online_capacity_per_second,
    }
}

/// Returns the compared policies.
#[must_use]
pub fn policies() -> [PolicyKind; 4] {
    [
        PolicyKind::RoundRobin,
        PolicyKind::FixedCap(FIXED_CAP),
        PolicyKind::Previous,
        PolicyKind::Current,
    ]
}

fn scenarios(online_capacity_per_second: f64) -> Vec<RunScenario> {
    let steady = |name, batch| RunScenario::steady(name, STEADY_RATE, batch);
    let fault = |name, endpoints: Vec<usize>, kind| {
        let fault = FaultPlan {
            at: FAULT_AT,
            endpoints,
            kind,
        };
        RunScenario {
            faults: vec![fault],
            ..steady(name, true)
        }
    };
    let burst = |name, batch| RunScenario {
        bursts: [(18, 23), (28, 38)]
            .map(|(from, to)| BurstPlan {
                from: Duration::from_secs(from),
                to: Duration::from_secs(to),
                factor: 3.0,
            })
            .into(),
        ..steady(name, batch)
    };
    let faulty_domain = first_online_pool_endpoint() % DOMAINS;
    let domain = (0..ENDPOINTS)
        .filter(|at| at % DOMAINS == faulty_domain)
        .collect();
    vec![
        steady("steady-alone", false),
        steady("steady-batch", true),
        RunScenario::steady("high-alone", STEADY_RATE * HIGH_RATE_FACTOR, false),
        RunScenario::steady("high-batch", STEADY_RATE * HIGH_RATE_FACTOR, true),
        burst("burst-alone", false),
        burst("burst-batch", true),
        fault(
            "slow",
            vec![first_online_pool_endpoint()],
            FaultKind::Slow(5.0),
        ),
        fault("lost", vec![first_online_pool_endpoint()], FaultKind::Lost),
        fault(
            "leave",
            vec![first_online_pool_endpoint()],
            FaultKind::Leave,
        ),
        RunScenario::steady(
            "overload",
            online_capacity_per_second * OVERLOAD_FACTOR,
            true,
        ),
        fault("domain-lost", domain, FaultKind::Lost),
    ]
}

/// Executes a plan on [`THREADS`] threads and returns the results in the order of the plan.
fn run_all(plan: &[(RunScenario, PolicyKind)]) -> Vec<RunResult> {
    let mut results = Vec::with_capacity(plan.len());
    for chunk in plan.chunks(THREADS) {
        let chunk_results = std::thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|(scenario, policy)| {
                    scope.spawn(|| RunResult {
                        stats: run_scenario(scenario, *policy),
                        scenario: scenario.clone(),
                        policy: *policy,
                    })
                })
                .collect();
            let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
            joined.collect::<Result<Vec<_>, _>>()
        });
        results.extend(chunk_results.expect("a run does not panic"));
    }
    results
}
