//! Speeds of endpoints in the messages between hosts and coordinators.

use super::message::{GrantedSpeed, MAX_SAMPLES, SlotOutcome};
use crate::node::SwitchState;
use crate::speed::SpeedSample;
use std::time::Duration;
use tokio::time::Instant;

impl SwitchState {
    /// What the host that is granted an endpoint has to know of its speed.
    pub(super) fn granted_speed(
        &self,
        outcome: &SlotOutcome,
        now: Instant,
    ) -> Option<GrantedSpeed> {
        let SlotOutcome::Granted { endpoint, .. } = outcome else {
            return None;
        };
        let limit = self.load.overdue_after(*endpoint, now)?;
        Some(GrantedSpeed {
            overdue_after_ms: u16::try_from(limit.as_millis()).unwrap_or(u16::MAX),
        })
    }

    /// Applies what follows an answer.
    pub(super) fn apply_granted_speed(&mut self, outcome: &SlotOutcome, rest: &[u8]) {
        if let SlotOutcome::Granted { endpoint, .. } = outcome
            && let Ok(speed) = postcard::from_bytes::<GrantedSpeed>(rest)
        {
            let limit = Duration::from_millis(speed.overdue_after_ms.into());
            self.load.set_overdue_after(*endpoint, limit);
        }
    }

    /// Applies the samples that follow the load of another host.
    pub(super) fn apply_speeds(&mut self, rest: &[u8], now: Instant) {
        let samples = postcard::from_bytes::<Vec<SpeedSample>>(rest).unwrap_or_default();
        if samples.len() > MAX_SAMPLES {
            return;
        }
        for sample in samples {
            if self
                .endpoints
                .serving_with_key(sample.endpoint, now)
                .is_some()
            {
                self.load.record_speed(sample, now);
            }
        }
    }
}
