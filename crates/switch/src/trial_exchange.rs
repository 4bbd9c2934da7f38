//! Messages by which hosts settle which of them makes the trial of a quarantine, see [`crate::trial`].

use crate::crash_exchange;
use crate::gossip::send_trial_message;
use crate::members::MemberTable;
use crate::node::{SwitchNode, SwitchState, millis};
use crate::prompt::PromptParts;
use crate::quarantine::{QuarantineId, TrialGrant};
use crate::trial::{MAX_ARBITERS, TRIAL_TIMEOUT};
use serde::{Deserialize, Serialize};
use slog::{debug, info};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time for which a request waits for the answer of an arbiter: a few round trips within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Message about the trial that follows a term of a quarantine. Hosts of releases up to b14947a do not read it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct TrialMessage {
    quarantine: QuarantineId,
    term: u8,
    step: TrialStep,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum TrialStep {
    /// The sender has a request for the trial.
    Wanted,
    /// The receiver makes the trial.
    Granted,
    /// The next trial is due later: another host makes one, or the term is not over.
    Postponed { due_in_ms: u32 },
}

/// The host that decides on a trial, by its rank for the quarantine among the ready hosts.
fn find_arbiter<'a>(
    members: &'a MemberTable,
    own: &'a str,
    id: QuarantineId,
    rank: u32,
    now: Instant,
) -> &'a str {
    if rank >= MAX_ARBITERS {
        return own;
    }
    let ranked = members.ranked_hosts(id.hash(), own, MAX_ARBITERS as usize, now);
    ranked.get(rank as usize).copied().unwrap_or(own)
}

impl SwitchNode {
    /// Whether this host decides on the trial of a quarantine. One that does not hear most of the others does not, as they may decide as
    /// well.
    pub(crate) fn is_arbiter(
        &self,
        members: &MemberTable,
        id: QuarantineId,
        rank: u32,
        now: Instant,
    ) -> bool {
        let own = &*self.settings.descriptor.name;
        members.hears_most(now) && find_arbiter(members, own, id, rank, now) == own
    }

    /// Asks the arbiter for a trial that is due, unless its answer is still waited for.
    pub(crate) fn ask_for_trial(&self, state: &mut SwitchState, id: QuarantineId, now: Instant) {
        if !state.members.hears_most(now) {
            return;
        }
        let Some((term, rank)) = state.crashes.quarantine.ask_for_trial(id, now) else {
            return;
        };
        let own = &*self.settings.descriptor.name;
        let arbiter = find_arbiter(&state.members, own, id, rank, now);
        let Some(address) = state.members.peer_address(arbiter) else {
            return;
        };
        info!(self.deps.logger, "trial asked for"; "peer" => arbiter, "term" => term, "rank" => rank);
        let message = TrialMessage {
            quarantine: id,
            term,
            step: TrialStep::Wanted,
        };
        send_trial_message(self, message, address);
    }

    /// Asks the arbiter for the trial that is due for a request with these parts, and waits for the answer a short time.
    pub(crate) async fn await_trial(&self, parts: &PromptParts) {
        let received = {
            let now = Instant::now();
            let state = &mut *self.lock();
            let Some((id, rank)) = state.crashes.quarantine.due_trial(parts, now) else {
                return;
            };
            if self.is_arbiter(&state.members, id, rank, now) {
                return;
            }
            // The answer cannot arrive before the state is unlocked.
            let received = self.trial_settled.notified();
            self.ask_for_trial(state, id, now);
            received
        };
        // Without an answer the request is rejected, and the next one asks again.
        let _ = timeout(ANSWER_TIMEOUT, received).await;
    }

    /// Handles a message of the host at `from`.
    pub(crate) fn handle_trial_message(&self, message: TrialMessage, from: SocketAddr) {
        let now = Instant::now();
        let state = &mut *self.lock();
        let TrialMessage {
            quarantine: id,
            term,
            step,
        } = message;
        let table = &mut state.crashes.quarantine;
        match step {
            TrialStep::Wanted => {
                let step = match table.grant_trial(id, term, now) {
                    TrialGrant::Granted => TrialStep::Granted,
                    TrialGrant::Postponed(time) => TrialStep::Postponed {
                        due_in_ms: u32::try_from(millis(time)).unwrap_or(u32::MAX),
                    },
                    TrialGrant::Other => {
                        // One of both hosts does not know yet how the quarantine goes on.
                        crash_exchange::report_to(self, state, from);
                        return;
                    }
                };
                debug!(self.deps.logger, "trial settled"; "to" => %from, "step" => ?step);
                send_trial_message(self, TrialMessage { step, ..message }, from);
            }
            TrialStep::Granted => {
                if table.permit_trial(id, term, now) {
                    info!(self.deps.logger, "trial granted"; "peer" => %from, "term" => term);
                }
            }
            TrialStep::Postponed { due_in_ms } => {
                let time = Duration::from_millis(due_in_ms.into()).min(TRIAL_TIMEOUT);
                table.postpone_trial(id, term, time, now);
            }
        }
        self.trial_settled.notify_waiters();
        self.schedule_requested.notify_one();
    }
}
