//! Processor time of the decisions, measured in real time.

use crate::simulation::gate_settings;
use crate::stats::to_float;
use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::gate::{EndpointGate, GateRequest, RequestClass, TicketId};
use fulmarswitch_decide::load::EndpointLoad;
use fulmarswitch_decide::suspicion::ServiceHealth;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Numbers of endpoints at which selection is timed.
const ENDPOINT_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];
/// Timed repetitions of each decision.
const ROUNDS: u32 = 2_000;
/// Requests in the gate while it is timed.
const HELD_REQUESTS: u64 = 64;

/// Mean cost of a decision at one number of endpoints.
#[derive(Clone, Copy, Debug)]
pub struct DecisionCost {
    /// Number of endpoints of the service.
    pub endpoints: usize,
    /// Time to select an endpoint, in microseconds.
    pub choose_us: f64,
    /// Time that the gate needs for the arrival, one token and the end of a request, in microseconds.
    pub gate_us: f64,
}

impl DecisionCost {
    /// Returns the time of endpoint selection and gate together, in microseconds.
    #[must_use]
    pub fn total_us(&self) -> f64 {
        self.choose_us + self.gate_us
    }
}

/// Times the decisions at each number of endpoints; the gate does not depend on it and is timed once.
#[must_use]
pub fn measure_costs() -> Vec<DecisionCost> {
    let gate_us = time_gate();
    ENDPOINT_COUNTS
        .iter()
        .map(|endpoints| DecisionCost {
            endpoints: *endpoints,
            choose_us: time_choose(*endpoints),
            gate_us,
        })
        .collect()
}

fn time_choose(endpoints: usize) -> f64 {
    let spec = |at| EndpointSpec {
        name: format!("endpoint-{at}").into(),
        same_domain: at % 3 == 0,
    };
    let table = EndpointTable::new((0..endpoints).map(spec).collect());
    let loads = vec![EndpointLoad::default(); endpoints];
    let health = ServiceHealth::new(endpoints);
    let view = |index: EndpointIndex| EndpointView {
        load: loads[index.as_usize()].estimate(Duration::ZERO),
        eligibility: if health.is_suspected(index) {
            EndpointEligibility::Suspected
        } else {
            EndpointEligibility::Ready
        },
    };
    let prefixes: Vec<String> = (0..ROUNDS).map(|round| format!("prefix {round}")).collect();
    let started = Instant::now();
    for prefix in &prefixes {
        let affinity = RequestAffinity::of_prefix(black_box(prefix));
        black_box(table.choose(affinity, view));
    }
    micros_per_round(started.elapsed(), ROUNDS)
}

fn time_gate() -> f64 {
    let mut gate = EndpointGate::new(gate_settings());
    let mut actions = Vec::new();
    let timeout = Duration::from_secs(2);
    for ticket in 0..HELD_REQUESTS {
        let class = if ticket % 2 == 0 {
            RequestClass::Online
        } else {
            RequestClass::Batch
        };
        gate.arrive(
            Duration::ZERO,
            request(ticket, class, timeout),
            &mut actions,
        );
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round) * 100);
        let ticket = HELD_REQUESTS + u64::from(round);
        let online = request(ticket, RequestClass::Online, now + timeout);
        gate.arrive(now, online, &mut actions);
        gate.token(now, TicketId(ticket), &mut actions);
        gate.end(now, TicketId(ticket), &mut actions);
        black_box(&actions);
        actions.clear();
    }
    micros_per_round(started.elapsed(), ROUNDS)
}

fn request(ticket: u64, class: RequestClass, deadline: Duration) -> GateRequest {
    GateRequest {
        ticket: TicketId(ticket),
        class,
        deadline,
        resumable: true,
    }
}

fn micros_per_round(time: Duration, rounds: u32) -> f64 {
    let nanos = u64::try_from(time.as_nanos() / u128::from(rounds)).unwrap_or(u64::MAX);
    to_float(nanos) / 1_000.0
}
