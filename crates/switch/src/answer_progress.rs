//! How long an answer has been in progress, by the data that has arrived.

use crate::quarantine::BEGIN_TIME;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time between two pieces of data that counts. This host may have stood still in a longer one, and then read what the
/// endpoint had written before it crashed.
const MAX_GAP: Duration = Duration::from_millis(100);

/// Progress of one answer of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerProgress {
    last_data_at: Option<Instant>,
    time: Duration,
    begun_at: Option<Instant>,
}

impl AnswerProgress {
    /// When the endpoint had gone on for [`BEGIN_TIME`]; `None` before.
    pub(crate) fn begun_at(&self) -> Option<Instant> {
        self.begun_at
    }

    /// Records data of the answer. Returns whether the endpoint has by that gone on for [`BEGIN_TIME`], so that the request does not
    /// crash it.
    pub(crate) fn record_data(&mut self, now: Instant) -> bool {
        let last = self.last_data_at.replace(now).unwrap_or(now);
        self.time += now.saturating_duration_since(last).min(MAX_GAP);
        let has_begun = self.begun_at.is_none() && self.time >= BEGIN_TIME;
        if has_begun {
            self.begun_at = Some(now);
        }
        has_begun
    }
}
