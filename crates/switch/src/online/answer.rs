//! What a complete answer tells of its endpoint.

use super::OnlineExchange;
use crate::answer_progress::AnswerProgress;
use crate::backend::BodyFraming;
use crate::endpoint::ListedEndpoint;
use crate::report::EndpointKey;
use crate::speed::SpeedSample;
use http::StatusCode;
use std::sync::Arc;
use tokio::time::Instant;

/// How the body of a complete answer ended.
#[derive(Clone, Copy)]
pub(super) struct AnswerEnd {
    pub(super) status: StatusCode,
    pub(super) framing: BodyFraming,
    pub(super) progress: AnswerProgress,
    /// Number of its events.
    pub(super) events: u32,
}

impl OnlineExchange {
    /// Records what a complete answer tells of its endpoint.
    pub(super) fn record_answer(&self, endpoint: &Arc<ListedEndpoint>, end: AnswerEnd) {
        {
            let state = &mut *self.node.lock();
            let waited = self.time_to_first_byte.unwrap_or_default();
            let now = Instant::now();
            let time = now.duration_since(self.started);
            let run = time.saturating_sub(waited);
            state.answer_times.record(time, now);
            let unqueued = self.time_to_first_byte.filter(|_| self.had_free_slot);
            state.load.record_response(unqueued, run);
            state.coordination.record_sample(unqueued, run);
            if self.sends == 1 && end.status.is_success() {
                let key = EndpointKey::of(&endpoint.id);
                let sample = SpeedSample::of(key, unqueued, run, end.events);
                state.load.record_speed(sample, now);
                state.coordination.record_speed(sample);
            }
            let health = state.load.health(&endpoint.id);
            health.record_success(self.started);
        }
        match end.framing {
            _ if !end.status.is_success() => {}
            BodyFraming::Delimited => {
                let request = self.sent_request(endpoint);
                self.node.record_complete(endpoint, request, end.progress);
            }
            BodyFraming::UntilClose => self.record_end(endpoint, true),
        }
    }
}
