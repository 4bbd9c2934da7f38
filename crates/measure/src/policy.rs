//! The policies that are compared.

use crate::baseline::FixedLimitGate;
use crate::previous::PreviousGate;
use fulmarswitch_decide::gate::{EndpointGate, GateAction, GateRequest, GateSettings, TicketId};
use fulmarswitch_decide::load::LoadShare;
use std::time::Duration;

/// Streams that the fixed cap of the compared baseline lets batch have on an endpoint.
pub const FIXED_CAP: usize = 16;
/// Streams that one engine batches, as an operator would configure it for the baselines.
const ENGINE_BATCH: usize = 64;

/// What decides at one endpoint.
pub trait GatePolicy: Send {
    /// Takes a request.
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>);
    /// Notes a token.
    fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>);
    /// Notes an end.
    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>);
    /// Decides anew.
    fn poll(&mut self, now: Duration, actions: &mut Vec<GateAction>);
    /// Returns the number of batch items to pull.
    fn batch_room(&self) -> usize;
    /// Returns the load that entries are told of, if the policy tells them.
    fn load(&self) -> Option<LoadShare> {
        None
    }
}

/// One of the policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Endpoints in turn, one queue without priorities.
    RoundRobin,
    /// The endpoint with the fewest requests outstanding, and a fixed cap on batch streams.
    FixedCap(usize),
    /// As the fixed cap, with one batch prompt at a time; tried at each cap to find the spare capacity.
    PacedCap(usize),
    /// The first version of this project's gate.
    Previous,
    /// The decisions in use.
    Current,
}

impl PolicyKind {
    /// Returns the name in tables.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::RoundRobin => "round-robin".into(),
            Self::FixedCap(cap) => format!("fixed-cap-{cap}"),
            Self::PacedCap(cap) => format!("paced-cap-{cap}"),
            Self::Previous => "previous".into(),
            Self::Current => "current".into(),
        }
    }

    /// Creates the gate of one endpoint.
    #[must_use]
    pub fn gate(self, settings: &GateSettings) -> Box<dyn GatePolicy> {
        match self {
            Self::RoundRobin => Box::new(FixedLimitGate::without_priorities(ENGINE_BATCH)),
            Self::FixedCap(cap) => Box::new(FixedLimitGate::with_cap(cap)),
            Self::PacedCap(cap) => Box::new(FixedLimitGate::with_paced_cap(cap)),
            Self::Previous => Box::new(PreviousGate::new(settings.max_concurrent as usize)),
            Self::Current => Box::new(EndpointGate::new(settings.clone())),
        }
    }

    /// Tells whether an item that ends is followed at once, not at the next poll.
    #[must_use]
    pub fn pulls_on_end(self) -> bool {
        self != Self::Previous
    }
}

impl GatePolicy for EndpointGate {
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>) {
        self.arrive(now, arrival, actions);
    }

    fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.token(now, ticket, actions);
    }

    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.end(now, ticket, actions);
    }

    fn poll(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        self.poll(now, actions);
    }

    fn batch_room(&self) -> usize {
        self.batch_room()
    }

    fn load(&self) -> Option<LoadShare> {
        Some(self.online_load())
    }
}
