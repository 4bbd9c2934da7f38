//! Runs a request that must not run more than once.
//!
//! Before the first byte is sent to an endpoint, an announcement must be in the log: the first one
//! for the key, written under this owner's epoch. An owner that finds an announcement without an
//! outcome never sends the request again.

use super::attempt::AttemptEnd;
use super::run::RequestRun;
use super::{
    DEFAULT_RETRY_AFTER, KeyOwner, LOG_OUTAGE_RETRY_AFTER, LOG_TIMEOUT, may_have_run_frame,
    not_run_frame,
};
use crate::balancer::TrackedAttempt;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_peer::StreamFrame;
use fulmarswitch_peer::message::RunState;
use fulmarswitch_records::record::CallAnnounced;
use fulmarswitch_records::{ItemOutcome, RecordBody};
use futures::StreamExt;
use std::sync::Arc;

impl KeyOwner {
    pub(super) async fn drive_at_most_once(
        &self,
        run: &Arc<RequestRun>,
        resumed: bool,
    ) -> StreamFrame {
        let replica = self.shards.replica(run.shard);
        if !resumed && (!replica.is_log_available() || replica.is_full()) {
            return not_run_frame("the log does not answer", LOG_OUTAGE_RETRY_AFTER);
        }
        if let Err(frame) = self.announce(run, resumed).await {
            return frame;
        }
        let mut excluded = Vec::new();
        let mut outcome = ItemOutcome::NotRun {
            retry_after_ms: crate::context::millis(DEFAULT_RETRY_AFTER),
        };
        while !run.remaining().is_zero() {
            let Some(mut tracked) = self.balancer.choose(&run.request, &excluded) else {
                break;
            };
            match self.attempt_at_most_once(run, &mut tracked).await {
                AttemptEnd::Refused(_) => excluded.push(Arc::clone(&tracked.endpoint)),
                AttemptEnd::Done(done) => {
                    outcome = done;
                    break;
                }
                AttemptEnd::Interrupted | AttemptEnd::Aborted(_) => {
                    outcome = ItemOutcome::MayHaveRun;
                    break;
                }
            }
        }
        let recording = self.record_outcome(run, outcome.clone());
        match tokio::time::timeout(LOG_TIMEOUT, recording).await {
            Ok(frame) => frame,
            Err(_) => StreamFrame::Done {
                outcome,
                recorded: false,
            },
        }
    }

    /// Appends the announcement and waits until it has taken effect.
    async fn announce(&self, run: &Arc<RequestRun>, resumed: bool) -> Result<(), StreamFrame> {
        let announcement = RecordBody::CallAnnounced(CallAnnounced {
            key: Arc::clone(&run.name),
        });
        let mut bodies = if resumed {
            Vec::new()
        } else {
            self.acceptance_records(run.shard, &run.request)
        };
        bodies.push(announcement);
        let not_owner = |_| StreamFrame::NotOwner;
        let mut receivers = self
            .shards
            .append_all(run.shard, bodies)
            .map_err(not_owner)?;
        let Some(last) = receivers.pop() else {
            return Err(StreamFrame::NotOwner);
        };
        match tokio::time::timeout_at(run.deadline, last).await {
            Ok(Ok(appended)) if appended.result == ApplyResult::Applied => Ok(()),
            Ok(Ok(_)) => Err(StreamFrame::NotOwner),
            // The announcement may still take effect, but no host sends the request because of it.
            Ok(Err(_)) | Err(_) => Err(may_have_run_frame(
                "the log did not answer in time; ask for the result by key",
            )),
        }
    }

    async fn attempt_at_most_once(
        &self,
        run: &Arc<RequestRun>,
        tracked: &mut TrackedAttempt,
    ) -> AttemptEnd {
        let mut frames = match self.open_attempt(run, tracked, run.remaining()).await {
            Ok(frames) => frames,
            Err(end) => return end,
        };
        loop {
            let frame = tokio::time::timeout_at(run.deadline, frames.next()).await;
            let Ok(frame) = frame else {
                return AttemptEnd::Interrupted;
            };
            tracked.observe_frame(frame.as_ref());
            match frame {
                Some(StreamFrame::Load(_) | StreamFrame::Admitted) => {}
                Some(frame @ StreamFrame::Text(_)) => run.publish(frame),
                Some(StreamFrame::Done { outcome, .. }) => return AttemptEnd::Done(outcome),
                Some(StreamFrame::Refused(refusal)) if refusal.ran == RunState::NotRun => {
                    return AttemptEnd::Refused(refusal);
                }
                _ => return AttemptEnd::Interrupted,
            }
        }
    }
}
