//! Data structures and parameters of the model.

use fulmarswitch_decide::balance::EndpointIndex;
use fulmarswitch_decide::load::EndpointLoad;
use fulmarswitch_decide::retry::RetryBudget;
use fulmarswitch_decide::suspicion::ServiceHealth;
use std::collections::VecDeque;
use std::time::Duration;

pub const ENDPOINTS: u32 = 12;
pub const OWNERS: usize = 12;
pub const ENDPOINT_SLOTS: usize = 16;
/// Number of queued requests at which a gate refuses.
pub const QUEUE_LIMIT: usize = 16;
/// Number of gates that are tried before a request is refused.
pub const MAX_REFUSALS: u32 = 3;
pub const PREFIXES: u32 = 400;
pub const PREFILL: Duration = Duration::from_millis(50);
pub const TOKEN_GAP: Duration = Duration::from_millis(20);
/// Number of tokens between two signals of an attempt.
pub const GAP_TOKENS: u32 = 4;
pub const DEADLINE: Duration = Duration::from_secs(5);
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(520);
pub const FAULT_AT: Duration = Duration::from_secs(10);
pub const FAULT_END: Duration = Duration::from_secs(40);
pub const END: Duration = Duration::from_mins(1);
/// Arrival rate at which two thirds of the slots are in use.
pub const ARRIVALS_PER_SECOND: f64 = 100.0;
pub const SEEDS: u64 = 5;

/// Fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Nothing,
    OneSlow,
    OneLost,
    OneFrozen,
    AllSlow(f64),
    /// The arrival rate is multiplied by this.
    Overload(f64),
}

/// Policy for attempts without a first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// No retries; a broken attempt ends the request.
    Nothing,
    /// Broken attempts are retried.
    Broken,
    /// In addition, an overdue attempt is cancelled and made at another endpoint.
    Overdue,
    /// In addition, attempts at an endpoint that becomes suspected are cancelled and made at
    /// another endpoint.
    Move,
    /// In addition, gates report their suspicions.
    Reports,
    /// Broken attempts are retried, and an attempt whose first token is later than the 95th
    /// percentile is hedged by a second one.
    Hedge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    FirstToken(usize),
    Tokens(usize),
    Check(usize),
    Deadline(usize),
    FaultStarts,
}

pub struct Request {
    pub owner: usize,
    pub prefix: u32,
    pub tokens: u32,
    pub arrived: Duration,
    pub first_token_at: Option<Duration>,
    pub finished: bool,
    pub ended: bool,
    pub tried: Vec<EndpointIndex>,
    pub active: Vec<usize>,
    pub hedged: bool,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The attempt is queued at the gate.
    Waiting,
    /// The attempt has a slot and no token yet.
    Running,
    /// The attempt has its first token.
    Streaming,
    /// The attempt has ended or was cancelled.
    Over,
}

impl Attempt {
    pub fn is_over(&self) -> bool {
        self.phase == AttemptPhase::Over
    }
}

pub struct Attempt {
    pub request: usize,
    pub endpoint: EndpointIndex,
    pub sent: Duration,
    pub tokens: u32,
    pub phase: AttemptPhase,
    /// Whether the owner suspected the endpoint when it sent the attempt.
    pub probe: bool,
}

#[derive(Default)]
pub struct Endpoint {
    pub running: usize,
    pub queue: VecDeque<usize>,
}

pub struct Owner {
    pub loads: Vec<EndpointLoad>,
    pub health: ServiceHealth,
    pub budget: RetryBudget,
    /// Estimated 95th percentile of the time to the first token.
    pub p95_first_token: Duration,
}

#[derive(Default)]
pub struct Counts {
    pub requests: u32,
    pub failed: u32,
    pub within_target: u32,
    pub attempts: u32,
    pub detection_times: Vec<Duration>,
    pub first_detection_time: Option<Duration>,
    pub wrong_suspicions: u32,
    pub first_token_times: Vec<Duration>,
}

/// Endpoint that the fault affects.
pub const FAULTY: EndpointIndex = EndpointIndex(5);
