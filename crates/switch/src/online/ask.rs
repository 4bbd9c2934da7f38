//! Asks a coordinator where a request goes, in a large fleet.

use super::pick::MAX_RESUME_WAIT;
use super::{MIN_REMAINING, OnlineExchange};
use crate::coordinator::AskGuard;
use crate::coordinator::message::{SlotNeed, SlotOutcome, message_millis};
use crate::coordinator::{SlotRequest, slot_candidates};
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::node::SwitchState;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Where a coordinator says that the request goes.
pub(super) struct AskedPlace {
    pub(super) service: Arc<str>,
    pub(super) outcome: SlotOutcome,
    /// Keeps the grant until the request is counted at the endpoint.
    _guard: AskGuard,
}

/// Decision of a coordinator on a request.
pub(super) enum CoordinatedPick {
    /// The request goes to this endpoint.
    Use {
        endpoint: Arc<ListedEndpoint>,
        has_free_slot: bool,
    },
    /// No endpoint has room.
    Full {
        retry_after: Duration,
        wait: Duration,
    },
}

impl OnlineExchange {
    /// Asks a coordinator for the endpoint of the next attempt, if the fleet has any.
    pub(super) async fn ask_coordinator(&mut self) {
        self.asked = None;
        let Some(request) = self.slot_request() else {
            return;
        };
        let answer = self.node.ask_slot(&request).await;
        self.asked = answer.map(|(guard, outcome)| AskedPlace {
            service: request.service,
            outcome,
            _guard: guard,
        });
    }

    fn slot_request(&self) -> Option<SlotRequest> {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        let state = &mut *self.node.lock();
        let is_coordinated = state.coordination.is_active() && !state.reach.is_cut_off();
        if !is_coordinated || remaining < MIN_REMAINING {
            return None;
        }
        let service = self.pick_service(state, now)?;
        let need = match self.version {
            // The latency target concerns the first event, which the caller has.
            Some(_) => SlotNeed::Online {
                target_ms: 0,
                remaining_ms: message_millis(MAX_RESUME_WAIT.min(remaining)),
            },
            None => SlotNeed::Online {
                target_ms: message_millis(self.request.route.latency_target),
                remaining_ms: message_millis(remaining),
            },
        };
        let filter = EndpointFilter {
            service: &service,
            version: self.version,
        };
        Some(SlotRequest {
            candidates: slot_candidates(state, filter, &self.tried, |limits, id| {
                limits.admits(id, now)
            }),
            version: self.version,
            need,
            claim: self.share_claim(state),
            service,
        })
    }

    /// What a coordinator decided on the request. `None` if this host is to choose, also where it knows better than the coordinator.
    pub(super) fn coordinated_pick(
        &self,
        state: &SwitchState,
        asked: &AskedPlace,
    ) -> Option<CoordinatedPick> {
        let now = Instant::now();
        match &asked.outcome {
            SlotOutcome::Granted {
                endpoint,
                has_free_slot,
            } => {
                let endpoint = state.endpoints.serving_with_key(*endpoint, now)?;
                let has_version = self
                    .version
                    .is_none_or(|version| endpoint.version_key() == version);
                let is_usable = has_version
                    && endpoint.service == asked.service
                    && !self.tried.contains(&endpoint.id)
                    && state.limits.admits(&endpoint.id, now);
                is_usable.then(|| CoordinatedPick::Use {
                    endpoint: endpoint.clone(),
                    has_free_slot: *has_free_slot,
                })
            }
            SlotOutcome::Full {
                wait_ms,
                retry_after_ms,
            } => Some(CoordinatedPick::Full {
                retry_after: Duration::from_millis((*retry_after_ms).into()),
                wait: Duration::from_millis((*wait_ms).into()),
            }),
            SlotOutcome::Missing | SlotOutcome::Elsewhere(_) => None,
        }
    }
}
