//! A second attempt at an idempotent request, made while the first one goes on.
//!
//! An endpoint that is late or suspected may still answer, and the other endpoints may refuse the request. So the
//! first attempt ends only when the second one has sent text or the outcome.

use super::attempt::wait_until;
use crate::balancer::TrackedAttempt;
use fulmarswitch_peer::message::{Refusal, RunState};
use fulmarswitch_peer::{FrameStream, StreamFrame};
use futures::StreamExt;

/// An attempt whose endpoint has sent neither text nor an outcome.
pub(super) struct SecondAttempt {
    tracked: TrackedAttempt,
    frames: FrameStream,
    /// Frame with which the endpoint began to answer.
    head: Option<StreamFrame>,
}

/// Result of [`next_event`].
pub(super) enum SecondEvent {
    /// The gate has admitted the request.
    Admitted,
    /// The endpoint has sent text or the outcome.
    Answering,
    /// The gate refused the request; nothing was sent to the endpoint.
    Refused(Refusal),
    /// The attempt was interrupted.
    Interrupted,
    /// The endpoint is late or suspected, too.
    Late,
}

impl SecondAttempt {
    pub(super) fn new(tracked: TrackedAttempt, frames: FrameStream) -> Self {
        Self {
            tracked,
            frames,
            head: None,
        }
    }

    /// Returns the attempt and all its frames that have not been observed.
    pub(super) fn into_parts(self) -> (TrackedAttempt, FrameStream) {
        let head = futures::stream::iter(self.head);
        (self.tracked, head.chain(self.frames).boxed())
    }

    fn read_frame(&mut self, frame: Option<StreamFrame>) -> Option<SecondEvent> {
        if let Some(StreamFrame::Text(_) | StreamFrame::Done { .. }) = frame {
            self.head = frame;
            return Some(SecondEvent::Answering);
        }
        self.tracked.observe_frame(frame.as_ref());
        match frame {
            Some(StreamFrame::Load(_)) => None,
            Some(StreamFrame::Admitted) => Some(SecondEvent::Admitted),
            Some(StreamFrame::Refused(refusal)) if refusal.ran == RunState::NotRun => {
                Some(SecondEvent::Refused(refusal))
            }
            _ => Some(SecondEvent::Interrupted),
        }
    }
}

/// Waits for the next event of a second attempt; never returns if there is none.
pub(super) async fn next_event(second: &mut Option<SecondAttempt>) -> SecondEvent {
    let Some(second) = second else {
        return std::future::pending().await;
    };
    loop {
        let overdue_at = second.tracked.overdue_at();
        tokio::select! {
            biased;
            frame = second.frames.next() => {
                if let Some(event) = second.read_frame(frame) {
                    return event;
                }
            }
            () = wait_until(overdue_at) => {
                second.tracked.observe_overdue();
                return SecondEvent::Late;
            }
            () = second.tracked.wait_suspected() => return SecondEvent::Late,
        }
    }
}
