//! Turns the response of an endpoint into the reply to its caller.

use super::{MIN_REMAINING, OnlineReply, OnlineRequest};
use crate::backend::EndpointResponse;
use crate::node::SwitchNode;
use crate::stop::AnswerDelivery;
use futures::stream::{self, StreamExt};
use slog::info;
use tokio::time::Instant;

/// Maximum size of a response that is passed on once it is complete.
const MAX_WHOLE_BYTES: usize = 1 << 20;

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
    whole_reply(response, request.deadline).await
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

/// Waits for the end of a response. If it breaks off before that, the caller has received nothing, and gets a failure.
async fn whole_reply(mut response: EndpointResponse, deadline: Instant) -> OnlineReply {
    let mut chunks = Vec::new();
    let mut bytes = 0;
    while let Some(chunk) = response.body.next().await {
        let Ok(chunk) = chunk else {
            return broken_reply(deadline);
        };
        bytes += chunk.len();
        if bytes > MAX_WHOLE_BYTES {
            return OnlineReply::Failed;
        }
        chunks.push(Ok(chunk));
    }
    response.body = stream::iter(chunks).boxed();
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
