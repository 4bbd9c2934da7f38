//! What must always hold in a gate.

use super::EndpointGate;
use super::queue::HeldRequest;
use snafu::Snafu;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum GateFault {
    /// A ticket stands in more than one place.
    #[snafu(display("ticket {ticket} is held twice; the gate must hold each ticket in one place"))]
    HeldTwice {
        /// Number of the ticket.
        ticket: u64,
    },
    /// A counter differs from what the tables hold.
    #[snafu(display("a counter differs from the tables; each change must go through `count`"))]
    WrongCount,
    /// More requests run than the configuration allows.
    #[snafu(display("{running} requests run; start no more than {most}"))]
    OverLimit {
        /// Requests that run.
        running: usize,
        /// The most that the configuration allows.
        most: usize,
    },
    /// Online requests wait although there is room.
    #[snafu(display("online requests wait beside free room; start them first"))]
    IdleRoom,
    /// Online requests wait while batch streams that could be cancelled run.
    #[snafu(display("online requests wait behind batch; cancel the batch streams first"))]
    BatchBefore,
}

/// Returns the invariants that do not hold after a decision.
///
/// ```
/// use fulmarswitch_decide::gate::{EndpointGate, GateSettings, verify::verify_gate};
/// use std::time::Duration;
/// let gate = EndpointGate::new(GateSettings {
///     max_concurrent: 8,
///     first_token: Duration::from_millis(520),
///     between_tokens: Duration::from_millis(26),
///     mixed: true,
/// });
/// assert_eq!(verify_gate(&gate), vec![]);
/// ```
#[must_use]
pub fn verify_gate(gate: &EndpointGate) -> Vec<GateFault> {
    let mut faults = Vec::new();
    check_tickets(gate, &mut faults);
    check_counts(gate, &mut faults);
    let most = gate.settings.max_concurrent.max(1) as usize;
    let running = gate.running.len();
    if running > most && gate.running.batch() > 0 {
        faults.push(GateFault::OverLimit { running, most });
    }
    if gate.waiting.online_len() > 0 {
        if running < gate.limits.limit() {
            faults.push(GateFault::IdleRoom);
        }
        let cancellable = |held: &HeldRequest| !held.is_online() && held.request.resumable;
        if gate.running.iter().any(cancellable) {
            faults.push(GateFault::BatchBefore);
        }
    }
    faults
}

fn check_tickets(gate: &EndpointGate, faults: &mut Vec<GateFault>) {
    let held = gate.waiting.iter().chain(gate.running.iter());
    let mut tickets: Vec<u64> = held.map(|held| held.request.ticket.0).collect();
    tickets.sort_unstable();
    for pair in tickets.windows(2).filter(|pair| pair[0] == pair[1]) {
        faults.push(GateFault::HeldTwice { ticket: pair[0] });
    }
}

fn check_counts(gate: &EndpointGate, faults: &mut Vec<GateFault>) {
    let running = &gate.running;
    let count =
        |wanted: fn(&HeldRequest) -> bool| running.iter().filter(|held| wanted(held)).count();
    let unread_online = count(|held| held.is_online() && held.run_tokens == 0);
    let unread_batch = count(|held| !held.is_online() && held.run_tokens == 0);
    let holds = running.online() == count(HeldRequest::is_online)
        && running.unread_online() == unread_online
        && running.unread_batch() == unread_batch;
    if !holds {
        faults.push(GateFault::WrongCount);
    }
}
