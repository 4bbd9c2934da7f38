//! What the model is made of.

use fulmarswitch_decide::balance::EndpointIndex;
use fulmarswitch_decide::load::EndpointLoad;
use fulmarswitch_decide::retry::RetryBudget;
use fulmarswitch_decide::suspicion::ServiceHealth;
use std::collections::VecDeque;
use std::time::Duration;

pub const ENDPOINTS: u32 = 12;
pub const OWNERS: usize = 12;
pub const SLOTS: usize = 16;
/// Requests that wait at one gate before it refuses.
pub const QUEUE_LIMIT: usize = 16;
/// Gates that are asked before a request is refused.
pub const MAX_REFUSALS: u32 = 3;
pub const PREFIXES: u32 = 400;
pub const PREFILL: Duration = Duration::from_millis(50);
pub const TOKEN_GAP: Duration = Duration::from_millis(20);
/// Tokens between two signs of an attempt.
pub const GAP_TOKENS: u32 = 4;
pub const DEADLINE: Duration = Duration::from_secs(5);
pub const PROMISED_FIRST: Duration = Duration::from_millis(520);
pub const FAULT_AT: Duration = Duration::from_secs(10);
pub const FAULT_END: Duration = Duration::from_secs(40);
pub const END: Duration = Duration::from_mins(1);
/// Arrivals a second at which two thirds of the slots are taken.
pub const ARRIVALS: f64 = 100.0;
pub const SEEDS: u64 = 5;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Nothing,
    OneSlow,
    OneLost,
    OneFrozen,
    AllSlow(f64),
    /// Arrivals times this.
    Overload(f64),
}

/// What is done about an attempt without a first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Nothing; a broken attempt ends the request.
    Nothing,
    /// Broken attempts are retried.
    Broken,
    /// Also, an attempt that is overdue is cancelled and made elsewhere.
    Overdue,
    /// Also, attempts at an endpoint that becomes suspected are cancelled and made elsewhere.
    Move,
    /// Also, gates report what they see.
    Reports,
    /// Broken attempts are retried; a second attempt is made beside one that is later than 95 in 100.
    Hedge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    First(usize),
    Tokens(usize),
    Check(usize),
    Deadline(usize),
    FaultBegins,
}

pub struct Request {
    pub owner: usize,
    pub prefix: u32,
    pub tokens: u32,
    pub arrived: Duration,
    pub first: Option<Duration>,
    pub finished: bool,
    pub ended: bool,
    pub tried: Vec<EndpointIndex>,
    pub live: Vec<usize>,
    pub hedged: bool,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// It waits at the gate.
    Waiting,
    /// It has a slot and no token.
    Running,
    /// It has its first token.
    Streaming,
    /// It has ended or was cancelled.
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
    /// Whether the owner suspected the endpoint before.
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
    /// Time to the first token that 95 in 100 attempts keep.
    pub late: Duration,
}

#[derive(Default)]
pub struct Counts {
    pub requests: u32,
    pub failed: u32,
    pub in_promise: u32,
    pub attempts: u32,
    pub noticed: Vec<Duration>,
    pub first_noticed: Option<Duration>,
    pub wrong: u32,
    pub firsts: Vec<Duration>,
}

/// The endpoint that goes wrong.
pub const BAD: EndpointIndex = EndpointIndex(5);
