//! Handles calls for online requests: relays a request to the owner of its key, and the answer to the
//! caller.

use super::limits::WorkspacePermit;
use super::reply::{CallError, unexpected_reply};
use super::{Frontend, OWNER_RETRY_INTERVAL, ProgressGuard};
use crate::keys::LOG_OUTAGE_RETRY_AFTER;
use crate::metrics::HostMetrics;
use bytes::Bytes;
use fulmarswitch_caller::wire::{AnswerEvent, OutcomeReply, RequestCall};
use fulmarswitch_http::lines::write_event;
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response, stream_body};
use fulmarswitch_peer::message::{KeyName, Refusal, RunState};
use fulmarswitch_peer::{FrameStream, PeerMessage, PeerReply, StreamFrame, StreamRequest};
use fulmarswitch_records::{OnlineRequest, ShardIndex};
use futures::StreamExt;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Time that the owner of a key has to acknowledge an idempotent request.
const OWNER_ADMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Retry delay in milliseconds when a workspace has too many requests in progress.
const WORKSPACE_LIMIT_RETRY_MS: u64 = 500;
/// Failed attempts to reach an owner after which a non-idempotent request is refused during an
/// outage of the log.
const MAX_UNREACHED_ATTEMPTS: u32 = 3;
/// Time after the deadline for which the front end waits for the owner's last frame.
const FINAL_FRAME_GRACE: Duration = Duration::from_secs(3);

impl Frontend {
    pub(super) async fn submit(
        self: &Arc<Self>,
        request: HttpRequest,
        guard: ProgressGuard,
    ) -> Result<HttpResponse, CallError> {
        let body = read_limited(request).await?;
        let call: RequestCall = parse_body(&body)?;
        self.check_call(&call)?;
        let permit = self.admit_to_workspace(&call.workspace)?;
        let (frames, mut stream) = mpsc::unbounded_channel();
        tokio::spawn(Arc::clone(self).relay(call.into(), frames));
        let first = loop {
            match stream.recv().await {
                Some(StreamFrame::Load(_) | StreamFrame::Admitted | StreamFrame::Reset) => {}
                Some(StreamFrame::Refused(refusal)) => {
                    HostMetrics::count(&self.context.metrics.requests, "refused");
                    return Err(CallError::Online { refusal });
                }
                Some(frame) => break frame,
                None => return Err(CallError::Unknown),
            }
        };
        let rest = UnboundedReceiverStream::new(stream);
        let metrics = self.context.metrics.clone();
        let events = futures::stream::once(std::future::ready(first))
            .chain(rest)
            .filter_map(move |frame| {
                // Held as long as the stream, so that draining and the workspace's limit count the
                // request until its end.
                let _in_progress = (&guard, &permit);
                if let StreamFrame::Done { .. } = &frame {
                    HostMetrics::count(&metrics.requests, "done");
                }
                std::future::ready(answer_event(frame))
            });
        let chunks = events.map(|event| Ok::<Bytes, io::Error>(write_event(&event)));
        let mut response = Response::new(stream_body(chunks));
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        Ok(response)
    }

    pub(super) async fn read_key(
        &self,
        workspace: &str,
        key: &str,
    ) -> Result<HttpResponse, CallError> {
        let key: Arc<str> = format!("{workspace}/{key}").into();
        match self
            .call_owner(
                &key,
                PeerMessage::ReadKey(KeyName {
                    key: Arc::clone(&key),
                }),
            )
            .await?
        {
            PeerReply::Outcome(outcome) => {
                let reply = outcome.map_or(OutcomeReply::Open, OutcomeReply::from);
                Ok(json_response(StatusCode::OK, &reply))
            }
            reply => Err(unexpected_reply(reply, "the request")),
        }
    }

    /// Acquires a permit of the workspace for one request.
    fn admit_to_workspace(&self, workspace: &Arc<str>) -> Result<WorkspacePermit, CallError> {
        let view = self.fleet.view();
        let limit = view
            .config
            .workspace(workspace)
            .map(|config| config.max_online);
        let limit = limit.unwrap_or(0);
        let permit = self.workspace_counts.try_acquire(workspace, limit);
        permit.ok_or_else(|| {
            HostMetrics::count(&self.context.metrics.requests, "refused");
            let reason = format!(
                "workspace {workspace} has {limit} requests in progress on this host, its max_online; \
                 try again later"
            );
            CallError::Refused {
                reason: reason.into(),
                retry_after_ms: WORKSPACE_LIMIT_RETRY_MS,
            }
        })
    }

    fn check_call(&self, call: &RequestCall) -> Result<(), CallError> {
        let bad_input = |reason: String| {
            Err(CallError::BadInput {
                reason: reason.into(),
            })
        };
        let names = [
            ("key", &call.key),
            ("workspace", &call.workspace),
            ("service", &call.service),
        ];
        for (field, value) in names {
            check_name(field, value)?;
        }
        if call.max_tokens == 0 {
            return bad_input("max_tokens is 0; ask for at least one token".into());
        }
        if call.deadline_ms == 0 || call.deadline_ms > MAX_DEADLINE_MS {
            return bad_input(format!("deadline_ms must be 1 to {MAX_DEADLINE_MS}"));
        }
        self.check_service(&call.service, &call.workspace)
    }

    pub(super) fn check_service(&self, service: &str, workspace: &str) -> Result<(), CallError> {
        let view = self.fleet.view();
        if view.config.service(service).is_none() {
            let reason = format!("service {service} is not configured; publish service/{service}");
            return Err(CallError::BadInput {
                reason: reason.into(),
            });
        }
        if view.config.workspace(workspace).is_none() {
            let reason =
                format!("workspace {workspace} is not configured; publish workspace/{workspace}");
            return Err(CallError::BadInput {
                reason: reason.into(),
            });
        }
        Ok(())
    }

    /// Relays a request to the owner of its key, and the frames to the caller up to the last one.
    async fn relay(
        self: Arc<Self>,
        request: OnlineRequest,
        caller: mpsc::UnboundedSender<StreamFrame>,
    ) {
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
        let shard = self.fleet.view().shard_of(&request.full_key());
        let mut text_sent = false;
        let mut unreached_attempts = 0;
        while Instant::now() < deadline {
            let mut frames = if let Some(frames) = self.open_owner_stream(shard, &request).await {
                frames
            } else {
                unreached_attempts += 1;
                if let Some(last) = self
                    .answer_during_outage(shard, &request, unreached_attempts)
                    .await
                {
                    if text_sent {
                        // The text so far may come from another run; the outcome contains the
                        // whole answer.
                        let _ = caller.send(StreamFrame::Reset);
                    }
                    let _ = caller.send(last);
                    return;
                }
                if !request.idempotent {
                    tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
                    continue;
                }
                // Until the next owner has taken over, idempotent requests run on this host.
                self.keys.submit_without_owner(request.clone()).await
            };
            if text_sent {
                // Sending fails if the caller is gone; the owner continues the request anyway.
                let _ = caller.send(StreamFrame::Reset);
                text_sent = false;
            }
            let end = deadline + FINAL_FRAME_GRACE;
            while let Ok(Some(frame)) = tokio::time::timeout_at(end, frames.next()).await {
                if matches!(frame, StreamFrame::NotOwner) {
                    break;
                }
                text_sent |= matches!(frame, StreamFrame::Text(_));
                let last = frame.is_last();
                let _ = caller.send(frame);
                if last {
                    return;
                }
            }
            tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
        }
        let reason = "the owner of the key was not reached in time; ask for the result by key";
        let refusal = Refusal {
            reason: reason.into(),
            // The unreachable owner may have run an earlier submission under the key.
            ran: RunState::MayHaveRun,
            retry_after_ms: 1_000,
        };
        let _ = caller.send(StreamFrame::Refused(refusal));
    }

    /// Answers for an unreachable owner during an outage of the log, when no other host can take over
    /// the shard.
    ///
    /// If another host has a backup of the outcome, the answer is that outcome. `None` means that the
    /// request is tried again, or run by this host if it is idempotent.
    async fn answer_during_outage(
        &self,
        shard: ShardIndex,
        request: &OnlineRequest,
        unreached_attempts: u32,
    ) -> Option<StreamFrame> {
        if self.shards.replica(shard).is_log_available() {
            return None;
        }
        let owner = self.shards.owner(shard)?;
        if let Some(outcome) = self.keys.backup().ask_backup_hosts(&owner, request).await {
            let recorded = false;
            return Some(StreamFrame::Done { outcome, recorded });
        }
        if request.idempotent || unreached_attempts < MAX_UNREACHED_ATTEMPTS {
            return None;
        }
        Some(StreamFrame::Refused(Refusal {
            reason: "the owner of the key is not reached and the log does not answer".into(),
            // The owner may have run an earlier submission under the key.
            ran: RunState::MayHaveRun,
            retry_after_ms: u64::try_from(LOG_OUTAGE_RETRY_AFTER.as_millis()).unwrap_or(u64::MAX),
        }))
    }

    async fn open_owner_stream(
        &self,
        shard: ShardIndex,
        request: &OnlineRequest,
    ) -> Option<FrameStream> {
        let target = self.shards.owner_target(shard)?;
        if target.host == self.context.identity {
            return Some(self.keys.submit(request.clone()).await);
        }
        // Only the owner may run a non-idempotent request, so giving up on it early gains nothing.
        let admit_timeout = if request.idempotent {
            OWNER_ADMIT_TIMEOUT
        } else {
            Duration::from_millis(request.deadline_ms)
        };
        let submit = StreamRequest::Submit(request.clone());
        let link = self.context.link.as_ref();
        let opened = self
            .fleet
            .open_stream(link, &target, submit, admit_timeout)
            .await;
        opened.ok()
    }
}

/// Reads a body of at most [`MAX_BODY_BYTES`].
pub(super) async fn read_limited(request: HttpRequest) -> Result<Bytes, CallError> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => {
            let reason = format!("the body cannot be read ({error}); send at most 1 MiB");
            Err(CallError::BadInput {
                reason: reason.into(),
            })
        }
    }
}

/// Parses a JSON body. The error names the first problem in it.
pub(super) fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|error| {
        let reason = format!("the body is not what the call takes ({error}); see docs/API.md");
        CallError::BadInput {
            reason: reason.into(),
        }
    })
}

/// Checks that a name from a caller has 1 to 200 characters of the allowed set.
pub(super) fn check_name(field: &str, value: &str) -> Result<(), CallError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if !value.is_empty() && value.len() <= 200 && value.bytes().all(is_allowed) {
        return Ok(());
    }
    let reason =
        format!("{field} must be 1 to 200 letters, digits, dots, colons, dashes or underscores");
    Err(CallError::BadInput {
        reason: reason.into(),
    })
}

fn answer_event(frame: StreamFrame) -> Option<AnswerEvent> {
    match frame {
        StreamFrame::Load(_) | StreamFrame::Admitted | StreamFrame::NotOwner => None,
        StreamFrame::Text(text) => Some(AnswerEvent::Text { text }),
        StreamFrame::Reset => Some(AnswerEvent::Reset),
        StreamFrame::Done { outcome, recorded } => Some(AnswerEvent::Done {
            outcome: outcome.into(),
            recorded,
        }),
        StreamFrame::Refused(refusal) => {
            Some(AnswerEvent::Error(CallError::Online { refusal }.reply()))
        }
    }
}
