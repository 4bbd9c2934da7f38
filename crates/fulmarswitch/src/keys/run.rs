//! One request in progress, and the streams subscribed to it.

use fulmarswitch_peer::{FrameStream, StreamFrame};
use fulmarswitch_records::{ItemOutcome, OnlineRequest, ShardIndex};
use futures::StreamExt;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::context::lock;

/// Why a run was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunOrigin {
    /// The request is new to this owner.
    New,
    /// The request was accepted earlier and has no outcome.
    Resumed,
    /// The owner of the shard is unreachable; the outcome is recorded once there is an owner.
    NoOwner,
}

/// A request in progress. Its frames are kept until it ends, so that a stream can subscribe at any
/// time and still receive all of them.
pub(super) struct RequestRun {
    pub(super) request: OnlineRequest,
    /// Full key: workspace and idempotency key.
    pub(super) name: Arc<str>,
    pub(super) shard: ShardIndex,
    /// Time at which the caller stops waiting.
    pub(super) deadline: Instant,
    frames: Mutex<Vec<StreamFrame>>,
    frame_count: watch::Sender<usize>,
}

impl RequestRun {
    pub(super) fn new(request: OnlineRequest, shard: ShardIndex) -> Self {
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
        let name = request.full_key();
        let frame_count = watch::Sender::new(0);
        Self {
            request,
            name,
            shard,
            deadline,
            frames: Mutex::default(),
            frame_count,
        }
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the outcome, or `None` while the run has not ended with one.
    pub(super) fn outcome(&self) -> Option<ItemOutcome> {
        match lock(&self.frames).last() {
            Some(StreamFrame::Done { outcome, .. }) => Some(outcome.clone()),
            _ => None,
        }
    }

    /// Appends a frame and wakes all streams.
    pub(super) fn publish(&self, frame: StreamFrame) {
        let mut frames = lock(&self.frames);
        frames.push(frame);
        self.frame_count.send_replace(frames.len());
    }

    /// Makes the streams discard the text sent so far, if there is any.
    pub(super) fn reset(&self) {
        let mut frames = lock(&self.frames);
        if frames
            .iter()
            .any(|frame| matches!(frame, StreamFrame::Text(_)))
        {
            frames.push(StreamFrame::Reset);
            self.frame_count.send_replace(frames.len());
        }
    }

    /// Returns a stream of all frames, starting with the first.
    pub(super) fn subscribe(self: &Arc<Self>) -> FrameStream {
        let state = (Arc::clone(self), 0, self.frame_count.subscribe(), false);
        futures::stream::unfold(
            state,
            |(run, position, mut frame_count, ended)| async move {
                if ended {
                    return None;
                }
                frame_count.wait_for(|count| *count > position).await.ok()?;
                let frame = lock(&run.frames).get(position).cloned()?;
                let last = frame.is_last();
                Some((frame, (run, position + 1, frame_count, last)))
            },
        )
        .boxed()
    }
}
