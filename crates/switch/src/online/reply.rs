//! Turns the response of an endpoint into the reply to its caller.

use super::{MIN_REMAINING, OnlineReply, OnlineRequest};
use crate::backend::EndpointResponse;
use crate::node::SwitchNode;
use crate::stop::AnswerDelivery;
use futures::stream::{self, StreamExt};
use slog::info;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Maximum size of a response that is passed on once it is complete.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// Maximum size of all such responses that a host keeps at a time.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Memory for responses that are passed on once they are complete.
pub(crate) struct HeldMemory(Arc<Semaphore>);

impl Default for HeldMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_HELD_BYTES)))
    }
}

impl HeldMemory {
    /// Takes memory until the permit is dropped; `None` if that much is not left.
    fn take(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        self.0.clone().try_acquire_many_owned(bytes).ok()
    }
}

/// Waits until a response can be passed on to its caller.
pub(super) async fn reply_with(
    node: &SwitchNode,
    request: &OnlineRequest,
    response: EndpointResponse,
    delivery: AnswerDelivery,
) -> OnlineReply {
    if delivery == AnswerDelivery::Streamed {
        return begin_reply(response, request.deadline).await;
    }
    info!(node.deps.logger, "answer held back"; "request" => &*request.call.id,
        "cause" => "this host stops, and may end before the answer does");
    whole_reply(node, request, response).await
}

/// Waits for the first chunk of a response. If it breaks off before that, the caller has received nothing, and gets a
/// failure instead of a connection that closes without a response.
async fn begin_reply(mut response: EndpointResponse, deadline: Instant) -> OnlineReply {
    match response.body.next().await {
        Some(Ok(chunk)) => {
            let rest = response.body;
            response.body = stream::iter([Ok(chunk)]).chain(rest).boxed();
            OnlineReply::Response(Box::new(response))
        }
        Some(Err(_)) => broken_reply(deadline),
        None => {
            // The finished body must not be polled again.
            response.body = stream::empty().boxed();
            OnlineReply::Response(Box::new(response))
        }
    }
}

/// Waits for the end of a response. If it breaks off before that, or is too large to be kept, the caller has received nothing, and gets a
/// failure.
async fn whole_reply(
    node: &SwitchNode,
    request: &OnlineRequest,
    mut response: EndpointResponse,
) -> OnlineReply {
    let mut chunks = Vec::new();
    let mut permits = Vec::new();
    let mut bytes = 0;
    while let Some(chunk) = response.body.next().await {
        let Ok(chunk) = chunk else {
            return broken_reply(request.deadline);
        };
        bytes += chunk.len();
        let permit = node.held_memory.take(chunk.len());
        let Some(permit) = permit.filter(|_| bytes <= MAX_WHOLE_BYTES) else {
            info!(node.deps.logger, "held answer given up"; "request" => &*request.call.id,
                "bytes" => bytes, "cause" => "it is too large to be held back");
            return OnlineReply::Failed;
        };
        permits.push(permit);
        chunks.push(Ok(chunk));
    }
    // Each permit is kept until its chunk has been passed on.
    let kept = stream::iter(chunks.into_iter().zip(permits));
    response.body = kept.map(|(chunk, _permit)| chunk).boxed();
    OnlineReply::Response(Box::new(response))
}

/// Reply to a request whose response broke off before the caller received any of it.
fn broken_reply(deadline: Instant) -> OnlineReply {
    if deadline <= Instant::now() + MIN_REMAINING {
        OnlineReply::TimedOut
    } else {
        OnlineReply::Failed
    }
}
