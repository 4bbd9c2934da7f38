//! Load and faults of one run.

use std::time::Duration;

/// Endpoints, in failure domains of equal size.
pub const ENDPOINTS: usize = 12;
/// Failure domains.
pub const DOMAINS: usize = 3;
/// Entry hosts, each of which knows only what it sent itself.
pub const ENTRY_HOSTS: usize = 9;
/// Bytes of an online prompt.
pub const ONLINE_PROMPT_BYTES: usize = 1_024;
/// Different prefixes of online prompts.
pub const ONLINE_PREFIXES: u32 = 200;
/// Tokens of an online answer.
pub const ONLINE_TOKENS: u32 = 48;
/// Bytes of the prompt of a batch item; no two share a prefix.
pub const BATCH_PROMPT_BYTES: usize = 1_024;
/// Tokens of the answer to a batch item.
pub const BATCH_TOKENS: u32 = 128;
/// Promised time to the first token.
pub const FIRST_TOKEN_OBJECTIVE: Duration = Duration::from_millis(520);
/// Promised time between tokens.
pub const BETWEEN_TOKENS_OBJECTIVE: Duration = Duration::from_millis(26);
/// Online requests a second, fleet-wide, of the steady load.
pub const STEADY_RATE: f64 = 120.0;

/// What happens to endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Steps take this many times as long.
    Slow(f64),
    /// Running calls break off and new ones fail.
    Lost,
    /// The endpoint is marked as leaving.
    Leave,
}

/// A fault and when it strikes.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// Time from the start of the run.
    pub at: Duration,
    /// Endpoints that it strikes.
    pub endpoints: Vec<usize>,
    /// What happens.
    pub kind: FaultKind,
}

/// A time of higher online load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstPlan {
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
    /// Factor on the rate.
    pub factor: f64,
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunScenario {
    /// Name in tables.
    pub name: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time that is not counted, in which the policies learn.
    pub warmup: Duration,
    /// Whole time of the run.
    pub length: Duration,
    /// Online requests a second over all endpoints.
    pub rate: f64,
    /// Whether batch work is always on offer.
    pub batch: bool,
    /// Bursts.
    pub bursts: Vec<BurstPlan>,
    /// Faults.
    pub faults: Vec<FaultPlan>,
}

impl RunScenario {
    /// Creates a steady run.
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

    /// Returns the rate at a time.
    #[must_use]
    pub fn rate_at(&self, now: Duration) -> f64 {
        let burst = self
            .bursts
            .iter()
            .find(|burst| burst.from <= now && now < burst.to);
        self.rate * burst.map_or(1.0, |burst| burst.factor)
    }
}
