//! One run of an item at an endpoint.

use super::outcomes::{ItemEnd, ItemFact, send_end};
use crate::backend::{CallError, CallOptions, EndpointCall};
use crate::endpoint::ListedEndpoint;
use crate::events::EventParser;
use crate::load::RequestClass;
use crate::node::{RunGuard, SwitchNode, SwitchState, millis};
use crate::progress::{ItemProgress, ProgressSegment, SharedProgress};
use crate::schedule::ItemName;
use futures::StreamExt;
use http::StatusCode;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Longest run of an item in one go.
const RUN_LIMIT: Duration = Duration::from_secs(30);
/// Time for the head of an answer after which an item goes on elsewhere: more than the silence, as the item may
/// wait in the endpoint's queue.
const FIRST_LIMIT: Duration = Duration::from_secs(4);
/// Silence of an endpoint after which an item goes on elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// How a run ended.
enum RunEnd {
    Completed,
    Cancelled,
    /// The endpoint did not run it.
    NotRun,
    /// The endpoint or the way to it failed.
    Broken(CallError),
    /// The endpoint says that the run failed.
    Failed,
    /// The endpoint says that the item can never be done.
    Impossible,
}

impl RunEnd {
    fn outcome(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Cancelled => "cancelled",
            Self::NotRun => "not run",
            Self::Broken(_) => "broken off",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
        }
    }
}

/// One run of an item.
pub(super) struct ItemRun {
    pub(super) node: Arc<SwitchNode>,
    pub(super) name: ItemName,
    pub(super) endpoint: Arc<ListedEndpoint>,
    /// Counts the run at its endpoint; none once it has ended.
    pub(super) guard: Option<RunGuard>,
    pub(super) call: EndpointCall,
    pub(super) progress: SharedProgress,
    /// Output that other hosts left on the log.
    pub(super) segments: Vec<ProgressSegment>,
}

impl ItemRun {
    /// Runs until the answer's end or until cancelled, and reports the end.
    pub(super) async fn run(
        mut self,
        cancelled: oneshot::Receiver<()>,
        ends: mpsc::UnboundedSender<ItemEnd>,
    ) {
        let begun = Instant::now();
        let end = tokio::select! {
            biased;
            _ = cancelled => RunEnd::Cancelled,
            end = self.read_answer() => end,
        };
        let cause = match &end {
            RunEnd::Broken(error) => Some(error.to_string()),
            _ => None,
        };
        info!(self.node.parts.logger, "item run ended"; "job" => &*self.name.job,
            "item" => self.name.item, "endpoint" => &*self.endpoint.id,
            "outcome" => end.outcome(), "cause" => cause,
            "last_event" => self.progress.lock().last_event(),
            "after_ms" => millis(begun.elapsed()));
        self.node.metrics.count_item(end.outcome());
        self.guard = None;
        let mut state = self.node.lock();
        state.running.retain(|running| running.name != self.name);
        let fact = self.judge(&mut state, &end, begun, &ends);
        match fact {
            Some(fact) => {
                state.histories.forget(&self.name);
                state.settling.push(self.name.clone());
                state.forget_progress(&self.name);
                let name = self.name;
                send_end(&ends, ItemEnd { name, fact });
            }
            None if self.progress.lock().is_empty() => state.forget_progress(&self.name),
            None => {}
        }
    }

    async fn read_answer(&mut self) -> RunEnd {
        self.load_pieces().await;
        let deadline = Instant::now() + RUN_LIMIT;
        let terms = CallOptions {
            remaining: RUN_LIMIT,
            resume_after: self.progress.lock().last_event(),
        };
        let call = self
            .node
            .parts
            .client
            .call(&self.endpoint, &self.call, terms);
        let first = Instant::now() + FIRST_LIMIT;
        let mut answer = match timeout_at(first, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(CallError::NotRun { .. })) => return RunEnd::NotRun,
            Ok(Err(error)) => return RunEnd::Broken(error),
            Err(_) => return broken("no answer in time"),
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
            status => return broken(&format!("answered {status}")),
        }
        let mut splitter = EventParser::default();
        loop {
            let limit = deadline.min(Instant::now() + SILENCE_LIMIT);
            match timeout_at(limit, answer.body.next()).await {
                Ok(Some(Ok(chunk))) => {
                    if !splitter.push(&chunk) {
                        return broken("an event is over 1 MiB");
                    }
                }
                Ok(None) if splitter.has_partial_event() => {
                    return broken("the last event is not whole");
                }
                Ok(None) if self.progress.lock().is_empty() => return broken("no event came"),
                Ok(None) => return RunEnd::Completed,
                Ok(Some(Err(error))) => return RunEnd::Broken(error),
                Err(_) => return broken("the endpoint fell silent"),
            }
            while let Some(event) = splitter.next_event() {
                if let Some(id) = event.id
                    && !self.progress.lock().push_event(id, &event.data())
                {
                    return broken("events are missing");
                }
            }
        }
    }

    /// Takes up the output that other hosts left; without it the item runs from its start.
    async fn load_pieces(&mut self) {
        if self.segments.is_empty() || !self.progress.lock().is_empty() {
            return;
        }
        let mut texts = Vec::new();
        for segment in &self.segments {
            match self.node.fetch_text(&segment.location).await {
                Ok(text) => texts.push(text),
                Err(error) => {
                    warn!(self.node.parts.logger, "output so far not read";
                        "job" => &*self.name.job, "item" => self.name.item, "cause" => %error);
                    break;
                }
            }
        }
        let read = &self.segments[..texts.len()];
        *self.progress.lock() = ItemProgress::from_segments(read, &texts);
    }

    /// Notes what the end of a run that began at `begun` says of its endpoint and its item; returns what is
    /// final of the item.
    fn judge(
        &self,
        state: &mut SwitchState,
        end: &RunEnd,
        begun: Instant,
        ends: &mpsc::UnboundedSender<ItemEnd>,
    ) -> Option<ItemFact> {
        let now = Instant::now();
        let (node, name, endpoint) = (&self.node, &self.name, &*self.endpoint.id);
        match end {
            RunEnd::Completed => {
                state.load.health(endpoint).record_success(begun);
                let text = self.progress.lock().text().to_vec();
                Some(ItemFact::Completed(text.into()))
            }
            RunEnd::Cancelled => None,
            RunEnd::NotRun => {
                state.load.mark_full(endpoint, now);
                None
            }
            RunEnd::Broken(_) => {
                node.avoid_endpoint(state, endpoint, now);
                state.histories.record_break(name, now);
                None
            }
            RunEnd::Failed => {
                node.record_failure_response(state, endpoint, RequestClass::Batch);
                let failures = state.histories.note_failure(name, now);
                let known = failures.max(recorded_failures(state, name) + 1);
                let is_dead = known >= item_attempts(state, name);
                let (name, fact) = (name.clone(), ItemFact::Failed);
                send_end(ends, ItemEnd { name, fact });
                is_dead.then_some(ItemFact::Abandoned)
            }
            RunEnd::Impossible => Some(ItemFact::Abandoned),
        }
    }
}

/// Failed runs of an item at all hosts, as far as the log tells.
fn recorded_failures(state: &SwitchState, name: &ItemName) -> u32 {
    let job = state.ledger.get(&name.job);
    job.map_or(0, |job| job.items[name.item as usize].failures)
}

fn item_attempts(state: &SwitchState, name: &ItemName) -> u32 {
    let job = state.ledger.get(&name.job);
    let route = job.and_then(|job| state.routes.as_ref()?.find(&job.host, &job.path_prefix));
    // A job whose route is gone is given up as a whole; this item has failed once at least.
    route.map_or(1, |route| route.attempts)
}

fn broken(cause: &str) -> RunEnd {
    RunEnd::Broken(CallError::Broken {
        cause: cause.into(),
    })
}
