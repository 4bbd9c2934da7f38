//! How a request ended, in the log and the metrics.

use super::{BodyEnd, OnlineExchange, OnlineReply};
use crate::node::millis;
use slog::info;
use std::time::Duration;

impl OnlineExchange {
    pub(super) fn log_reply(&mut self, reply: &OnlineReply) {
        match reply {
            OnlineReply::Response(_) => self.log_end("answered", None),
            OnlineReply::Rejected { retry_after } => self.log_end("rejected", Some(*retry_after)),
            OnlineReply::OverCap { retry_after } => self.log_end("over cap", Some(*retry_after)),
            OnlineReply::OutOfReach => self.log_end("out of reach", None),
            OnlineReply::Failed => self.log_end("failed", None),
            OnlineReply::TimedOut => self.log_end("timed out", None),
        }
    }

    /// Logs and counts how the request ended. Called once per request.
    pub(super) fn log_end(&mut self, outcome: &'static str, retry_after: Option<Duration>) {
        self.ended = true;
        self.return_unused_token(outcome);
        let elapsed = self.started.elapsed();
        self.node.metrics.count_request(outcome, elapsed);
        if let Some(BodyEnd {
            framing,
            within_event,
        }) = self.body_end
        {
            self.node.metrics.count_body(framing, within_event);
        }
        info!(self.node.deps.logger, "request ended"; "request" => &*self.request.call.id,
            "workspace" => self.request.workspace.as_ref().map(|workspace| workspace.name.to_string()),
            "outcome" => outcome, "retry_ms" => retry_after.map(millis), "sends" => self.sends,
            "runs" => self.runs, "first_ms" => self.time_to_first_byte.map(millis),
            "framing" => self.body_end.map(|end| end.framing.as_str()),
            "within_event" => self.body_end.map(|end| end.within_event),
            "endpoint" => self.endpoint.as_deref(), "after_ms" => millis(elapsed));
    }
}
