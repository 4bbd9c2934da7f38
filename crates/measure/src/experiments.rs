//! The runs, what they are compared by, and the targets.

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

/// Runs at a time.
const THREADS: usize = 4;
/// Caps that are tried to find the spare capacity.
const BATCH_CAPS: [usize; 12] = [1, 2, 3, 4, 6, 8, 10, 12, 16, 24, 32, 48];
/// Online rates that are tried to find the capacity for online requests.
const ONLINE_RATES: [f64; 12] = [
    300.0, 400.0, 500.0, 550.0, 600.0, 650.0, 700.0, 750.0, 800.0, 850.0, 900.0, 1_000.0,
];
/// Share of answers that must be in time.
const OBJECTIVE_QUANTILE: f64 = 0.95;
/// Load of the overload experiment over the capacity.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Rate of the second steady experiment over the first.
const HIGH_RATE_FACTOR: f64 = 2.0;
/// Time at which faults strike.
const FAULT_AT: Duration = Duration::from_secs(20);
/// Share of an endpoint's fair part of the requests below which a fault counts as noticed.
const DETECTED_SHARE: f64 = 0.25;

/// One run with its counts.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// What was run.
    pub scenario: RunScenario,
    /// Under which policy.
    pub policy: PolicyKind,
    /// What was counted.
    pub stats: RunStats,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// What is asked.
    pub target: String,
    /// What was measured.
    pub measured: String,
    /// Whether it is met.
    pub met: bool,
}

/// Everything that was measured on the paused clock.
#[derive(Clone, Debug)]
pub struct MeasureReport {
    /// Runs of all policies.
    pub runs: Vec<RunResult>,
    /// Runs that tried caps.
    pub sweep: Vec<RunResult>,
    /// Batch items a second that the engines can do besides the steady online load.
    pub spare_items: f64,
    /// Online answers a second that the engines can give in time.
    pub online_capacity: f64,
}

impl RunResult {
    /// Returns the time that is counted, in seconds.
    #[must_use]
    pub fn counted_seconds(&self) -> f64 {
        let counted = self.scenario.length.saturating_sub(self.scenario.warmup);
        counted.as_secs_f64()
    }

    /// Returns the batch items completed a second.
    #[must_use]
    pub fn items_per_second(&self) -> f64 {
        to_float(self.stats.items) / self.counted_seconds()
    }

    /// Returns the online answers in time a second.
    #[must_use]
    pub fn in_time_per_second(&self) -> f64 {
        to_float(self.stats.in_time) / self.counted_seconds()
    }

    /// Returns the share of online answers in time.
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

    /// Returns the time until refusals at a quantile, in milliseconds.
    #[must_use]
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.stats.refusal, quantile)
    }

    /// Tells whether 95 in 100 first tokens and times between tokens keep the promise.
    #[must_use]
    pub fn meets_objectives(&self) -> bool {
        self.first_token_ms(OBJECTIVE_QUANTILE) <= FIRST_TOKEN_OBJECTIVE.as_secs_f64() * 1_000.0
            && self.between_tokens_ms(OBJECTIVE_QUANTILE)
                <= BETWEEN_TOKENS_OBJECTIVE.as_secs_f64() * 1_000.0
    }

    /// Returns the time after a fault from which the struck endpoints got less than a quarter of their
    /// fair part of the requests, probes of suspected endpoints apart, in milliseconds.
    #[must_use]
    pub fn detection_ms(&self) -> Option<f64> {
        let fault = self.scenario.faults.first()?;
        let struck = to_float(fault.endpoints.len() as u64);
        let endpoints = to_float(ENDPOINTS as u64);
        let fair = self.scenario.rate * FAULT_SLOT.as_secs_f64() * struck / endpoints;
        // A second's worth of slots smooths the chance of single arrivals.
        let window = 10;
        let sent = &self.stats.sent_after_fault;
        let is_above_threshold = |slots: &[u64]| {
            to_float(slots.iter().sum()) > fair * DETECTED_SHARE * to_float(window as u64)
        };
        let last = (0..sent.len()).rev().find(|at| {
            sent[*at] > 0 && is_above_threshold(&sent[at.saturating_sub(window - 1)..=*at])
        });
        let slots = last.map_or(0, |last| last + 1);
        Some(to_float(slots as u64) * FAULT_SLOT.as_secs_f64() * 1_000.0)
    }
}

impl MeasureReport {
    /// Finds a run.
    ///
    /// # Panics
    /// If there is no such run.
    #[must_use]
    pub fn run(&self, name: &str, policy: PolicyKind) -> &RunResult {
        let found = |run: &&RunResult| run.scenario.name == name && run.policy == policy;
        self.runs.iter().find(found).expect("the run was made")
    }

    /// Returns p99 of the time to the first token with batch over that without.
    #[must_use]
    pub fn p99_first_token_ratio(&self, with: &str, without: &str, policy: PolicyKind) -> f64 {
        self.run(with, policy).first_token_ms(0.99) / self.run(without, policy).first_token_ms(0.99)
    }

    /// Returns the lowest p99 of the time to the first token of any policy without batch.
    #[must_use]
    pub fn best_online_only_p99_ms(&self, without: &str) -> f64 {
        let online_only = self.runs.iter().filter(|run| run.scenario.name == without);
        online_only
            .map(|run| run.first_token_ms(0.99))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns batch items a second as a share of the spare capacity.
    #[must_use]
    pub fn spare_capacity_share(&self, policy: PolicyKind) -> f64 {
        self.run("steady-batch", policy).items_per_second() / self.spare_items
    }

    /// Returns the share of the online capacity that is useful under overload.
    #[must_use]
    pub fn goodput_share(&self, policy: PolicyKind) -> f64 {
        self.run("overload", policy).in_time_per_second() / self.online_capacity
    }

    /// Judges the targets for a policy.
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

/// Returns a quantile in milliseconds: the lowest value of its slot, since all values are whole milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    let value = histogram.value_at_quantile(quantile);
    to_float(histogram.lowest_equivalent(value)) / 1_000.0
}

/// Runs everything.
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
    let spare_items = compliant
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
    let online_capacity = rates
        .iter()
        .filter(|run| run.meets_objectives())
        .map(RunResult::in_time_per_second)
        .fold(0.0, f64::max);
    let mut plan = Vec::new();
    for policy in policies() {
        plan.extend(
            scenarios(online_capacity)
                .into_iter()
                .map(|run| (run, policy)),
        );
    }
    MeasureReport {
        runs: run_all(&plan),
        sweep,
        spare_items,
        online_capacity,
    }
}

/// Returns the policies that are compared.
#[must_use]
pub fn policies() -> [PolicyKind; 4] {
    [
        PolicyKind::RoundRobin,
        PolicyKind::FixedCap(FIXED_CAP),
        PolicyKind::Previous,
        PolicyKind::Current,
    ]
}

fn scenarios(online_capacity: f64) -> Vec<RunScenario> {
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
    let struck = first_online_pool_endpoint() % DOMAINS;
    let domain = (0..ENDPOINTS).filter(|at| at % DOMAINS == struck).collect();
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
        RunScenario::steady("overload", online_capacity * OVERLOAD_FACTOR, true),
        fault("domain-lost", domain, FaultKind::Lost),
    ]
}

/// Runs a plan on a few threads; the order of the results is that of the plan.
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
