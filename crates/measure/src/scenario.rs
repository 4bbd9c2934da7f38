//! Offered load and injected faults of one run.

use std::time::Duration;

/// Number of endpoints, spread evenly over the failure domains.
pub const ENDPOINTS: usize = 12;
/// Number of failure domains.
pub const DOMAINS: usize = 3;
/// Number of entry hosts. Each one counts only the requests that it sent itself.
pub const ENTRY_HOSTS: usize = 9;
/// Length of an online prompt, in bytes.
pub const ONLINE_PROMPT_BYTES: usize = 1_024;
/// Number of distinct prefixes of online prompts.
pub const ONLINE_PREFIXES: u32 = 200;
/// Length of an online answer, in tokens.
pub const ONLINE_TOKENS: u32 = 48;
/// Length of the prompt of a batch item, in bytes; no two items share a prefix.
pub const BATCH_PROMPT_BYTES: usize = 1_024;
/// Length of the answer to a batch item, in tokens.
pub const BATCH_TOKENS: u32 = 128;
/// Latency objective for the time to the first token.
pub const FIRST_TOKEN_OBJECTIVE: Duration = Duration::from_millis(520);
/// Latency objective for the time between tokens.
pub const BETWEEN_TOKENS_OBJECTIVE: Duration = Duration::from_millis(26);
/// Online requests per second over all endpoints at steady load.
pub const STEADY_RATE: f64 = 120.0;

/// The effect of a fault on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Each engine step takes this many times as long.
    Slow(f64),
    /// Running calls break off and new calls fail.
    Lost,
    /// The endpoint is marked as leaving; it gets no new online requests and pulls no batch items.
    Leave,
}

/// A fault that is injected during a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// Time of the injection, from the start of the run.
    pub at: Duration,
    /// Numbers of the affected endpoints.
    pub endpoints: Vec<usize>,
    /// Effect on these endpoints.
    pub kind: FaultKind,
}

/// A period of higher online load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstPlan {
    /// Start, from the start of the run.
    pub from: Duration,
    /// End (exclusive), from the start of the run.
    pub to: Duration,
    /// Factor by which the online rate is multiplied.
    pub factor: f64,
}

/// Load, faults and duration of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunScenario {
    /// Name in tables and CSV files.
    pub name: &'static str,
    /// Seed of the random arrivals and prompts.
    pub seed: u64,
    /// Time at the start that is left out of the statistics, in which adaptive policies converge.
    pub warmup: Duration,
    /// Duration of the run, including the warm-up.
    pub length: Duration,
    /// Online requests per second over all endpoints, outside bursts.
    pub rate: f64,
    /// Whether there is an unlimited backlog of batch items; otherwise there is none.
    pub batch: bool,
    /// Periods of higher online load.
    pub bursts: Vec<BurstPlan>,
    /// Injected faults.
    pub faults: Vec<FaultPlan>,
}

impl RunScenario {
    /// Creates a run at a constant rate without faults.
    ///
    /// ```
    /// use fulmarswitch_measure::scenario::RunScenario;
    /// assert!(!RunScenario::steady("steady", 1.0, false).batch);
    /// ```
    #[must_use]
    pub fn steady(name: &'static str, rate: f64, batch: bool) -> Self {
        Self {
            name,
            seed: 1,
            warmup: Duration::from_secs(15),
            length: Duration::from_secs(45),
            rate,
            batch,
            bursts: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Returns the online requests per second at a time from the start of the run.
    #[must_use]
    pub fn rate_at(&self, now: Duration) -> f64 {
        let burst = self
            .bursts
            .iter()
            .find(|burst| burst.from <= now && now < burst.to);
        self.rate * burst.map_or(1.0, |burst| burst.factor)
    }
}
