//! One run of an item at an endpoint.

use super::outcomes::{ItemUpdate, UpdateKind, send_update};
use crate::answer_progress::AnswerProgress;
use crate::backend::{BodyFraming, CallError, CallOptions, EndpointCall};
use crate::crash_watch::EndedRequest;
use crate::crashes::BrokenRequest;
use crate::endpoint::ListedEndpoint;
use crate::events::{EventParser, has_event_stream};
use crate::in_flight::InFlightGuard;
use crate::load::RequestClass;
use crate::node::{SwitchNode, SwitchState, millis};
use crate::progress::{ItemProgress, MAX_OUTPUT_BYTES, ProgressSegment, SharedProgress};
use crate::prompt::PromptParts;
use crate::route::RouteKind;
use crate::schedule::ItemName;
use crate::starts::StartCheck;
use futures::{FutureExt, StreamExt};
use http::StatusCode;
use slog::{error, info, warn};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Maximum duration of one run.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum wait for the head of a response in the first run of an item. It is longer than the stall timeout, as the item
/// may wait in the endpoint's queue. It doubles with each run that it ends, since all endpoints may be slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Upper bound of that wait.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(16);
/// Time without an event from an endpoint after which the run ends and the item continues elsewhere. Other data does not
/// extend it.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to load output of earlier runs, in which the run holds a slot and no endpoint works on it.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the listings must be read for the output of a run.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of a run.
enum RunOutcome {
    Completed,
    /// The connection closed between two events, which may be the end of the output or not.
    UnmarkedEnd,
    Cancelled,
    /// The endpoint left before the item was sent to it, or the item's prompt is rejected since then.
    NotSent,
    /// The endpoint did not run the item.
    NotRun,
    /// The endpoint or the connection to it failed.
    Interrupted(CallError),
    /// The run resumed at the end of an output that is not complete by the runs before, and had no event. The last event has to be
    /// shown again.
    Unproven,
    /// The endpoint does not have the last event, so that the output has events beyond its end.
    Surplus,
    /// The output exceeds its maximum size, so the endpoint does not end it properly.
    Oversized,
    /// The endpoint reports that the run failed.
    Failed,
    /// The endpoint reports that the item can never complete.
    Impossible,
}

impl RunOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::UnmarkedEnd => "unmarked end",
            Self::Cancelled => "cancelled",
            Self::NotSent => "not sent",
            Self::NotRun => "not run",
            Self::Interrupted(_) => "broken off",
            Self::Unproven => "end to be proved",
            Self::Surplus => "surplus events",
            Self::Oversized => "oversized",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
        }
    }
}

/// A run of an item with the state it needs.
pub(super) struct ItemRun {
    pub(super) node: Arc<SwitchNode>,
    pub(super) name: ItemName,
    pub(super) endpoint: Arc<ListedEndpoint>,
    /// Counts the run as in flight at its endpoint; `None` once it has ended.
    pub(super) guard: Option<InFlightGuard>,
    pub(super) call: EndpointCall,
    /// Parts of the prompt that other requests may share.
    pub(super) parts: PromptParts,
    /// Whether it is the trial of a quarantine.
    pub(super) is_trial: bool,
    /// When the run was admitted.
    pub(super) admitted_at: Instant,
    /// When the item was sent to the endpoint.
    pub(super) sent_at: Option<Instant>,
    pub(super) progress: SharedProgress,
    /// Output in the log, from checkpoints of earlier runs.
    pub(super) segments: Vec<ProgressSegment>,
    /// Last event before this run.
    pub(super) resumed_after: Option<u64>,
    /// When the endpoint sent the first event of this run.
    pub(super) first_event_at: Option<Instant>,
    /// Progress of the answer, by its events.
    pub(super) answer: AnswerProgress,
    /// Framing of the response's body; `None` before its head.
    pub(super) framing: Option<BodyFraming>,
}

impl ItemRun {
    /// Runs the item. If the run panics, the item counts as one that was broken off, or no host would run it again.
    pub(super) async fn run_contained(
        self,
        cancelled: oneshot::Receiver<()>,
        updates: mpsc::UnboundedSender<ItemUpdate>,
    ) {
        let (node, name) = (self.node.clone(), self.name.clone());
        let run = AssertUnwindSafe(self.run(cancelled, updates));
        if run.catch_unwind().await.is_err() {
            node.metrics.count_contained_panic();
            error!(node.deps.logger, "panic contained"; "step" => "run an item",
                "job" => &*name.job, "item" => name.item);
            let mut state = node.lock();
            state.running.retain(|running| running.name != name);
            state.histories.record_interruption(&name, Instant::now());
        }
    }

    /// Runs until the response ends or the run is cancelled, and reports the outcome.
    pub(super) async fn run(
        mut self,
        cancelled: oneshot::Receiver<()>,
        updates: mpsc::UnboundedSender<ItemUpdate>,
    ) {
        let started = Instant::now();
        let outcome = tokio::select! {
            biased;
            _ = cancelled => RunOutcome::Cancelled,
            outcome = self.read_response() => outcome,
        };
        let cause = match &outcome {
            RunOutcome::Interrupted(error) => Some(error.to_string()),
            _ => None,
        };
        info!(self.node.deps.logger, "item run ended"; "job" => &*self.name.job,
            "item" => self.name.item, "id" => &*self.call.id, "endpoint" => &*self.endpoint.id,
            "outcome" => outcome.label(), "cause" => cause,
            "last_event" => self.progress.lock().last_event(),
            "framing" => self.framing.map(BodyFraming::as_str),
            "after_ms" => millis(started.elapsed()));
        self.node.metrics.count_item(outcome.label());
        self.guard = None;
        self.record_end(&outcome);
        let outcome = self.confirm_output(outcome).await;
        let mut state = self.node.lock();
        state.running.retain(|running| running.name != self.name);
        if self.first_event_at.is_some() {
            state.version_holds.remove(&self.name);
        }
        let kind = self.apply_outcome(&mut state, &outcome, started, &updates);
        match kind {
            Some(kind) => {
                state.histories.remove(&self.name);
                state.unrecorded.push(self.name.clone());
                state.remove_progress(&self.name);
                let name = self.name;
                send_update(&updates, ItemUpdate { name, kind });
            }
            None if self.progress.lock().is_empty() => state.remove_progress(&self.name),
            None => {}
        }
    }

    async fn read_response(&mut self) -> RunOutcome {
        self.load_segments().await;
        if !self.may_be_sent() {
            return RunOutcome::NotSent;
        }
        if self.progress.lock().is_empty() {
            *self.progress.lock() = ItemProgress::new(self.endpoint.version_key());
        }
        let deadline = Instant::now() + RUN_TIMEOUT;
        self.resumed_after = self.progress.lock().last_event();
        let options = CallOptions {
            remaining: RUN_TIMEOUT,
            resume_after: self.progress.lock().resume_point(),
        };
        let mut is_proven = self.resumed_after.is_none();
        let sent_at = Instant::now();
        self.sent_at = Some(sent_at);
        self.progress.lock().set_confirmed(false);
        let mut is_confirmed = false;
        let call = self.node.call_endpoint(&self.endpoint, &self.call, options);
        let response_deadline = Instant::now() + self.response_timeout();
        let mut response = match timeout_at(response_deadline, call).await {
            Ok(Ok(response)) => response,
            Ok(Err(CallError::NotRun { .. })) => return RunOutcome::NotRun,
            Ok(Err(error)) => return RunOutcome::Interrupted(error),
            Err(_) => {
                let histories = &mut self.node.lock().histories;
                histories.record_late_response(&self.name);
                return interrupted("no response within the timeout");
            }
        };
        self.framing = Some(response.framing);
        match response.status {
            StatusCode::OK => {}
            StatusCode::UNPROCESSABLE_ENTITY => return RunOutcome::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return RunOutcome::Failed,
            status => return interrupted(&format!("the endpoint returned status {status}")),
        }
        if !has_event_stream(&response.headers, RouteKind::Stream) {
            return interrupted("the endpoint returned no stream of events");
        }
        let mut parser = EventParser::default();
        let mut stall_deadline = deadline.min(Instant::now() + STALL_TIMEOUT);
        loop {
            // `timeout_at` alone returns a chunk that is ready, even after the deadline.
            if Instant::now() >= stall_deadline {
                return interrupted(late_cause(deadline));
            }
            match timeout_at(stall_deadline, response.body.next()).await {
                Ok(Some(Ok(chunk))) => {
                    self.node.record_heard();
                    if !parser.push(&chunk) {
                        return interrupted("an event exceeds 1 MiB");
                    }
                }
                Ok(None) if parser.has_partial_event() => {
                    return interrupted("the last event is incomplete");
                }
                Ok(None) if self.progress.lock().is_empty() => {
                    return interrupted("the response has no events");
                }
                Ok(None) => return self.end_output(response.framing, is_proven),
                Ok(Some(Err(error))) => return RunOutcome::Interrupted(error),
                Err(_) => return interrupted(late_cause(deadline)),
            }
            match self.take_events(&mut parser) {
                Ok(false) => {}
                Ok(true) => {
                    is_proven = true;
                    self.record_event();
                    stall_deadline = deadline.min(Instant::now() + STALL_TIMEOUT);
                }
                Err(outcome) => return outcome,
            }
            if !is_confirmed {
                match self.node.check_start(&self.endpoint, sent_at) {
                    StartCheck::Unknown => {}
                    StartCheck::Same => {
                        is_confirmed = true;
                        self.progress.lock().set_confirmed(true);
                    }
                    StartCheck::Other => {
                        return interrupted("another start of the endpoint has answered");
                    }
                }
            }
        }
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        self.first_event_at.get_or_insert(now);
        if self.answer.record_data(now) {
            self.record_sound();
        }
    }

    /// Adds the complete events to the output. Returns whether there were any, or the outcome of a run that ends with them.
    fn take_events(&self, parser: &mut EventParser) -> Result<bool, RunOutcome> {
        let mut has_events = false;
        while let Some(event) = parser.next_event() {
            if !event.is_sound() {
                return Err(interrupted("the body has bytes that belong to no event"));
            }
            let Some(id) = event.id else {
                continue;
            };
            let data = event.data();
            let mut progress = self.progress.lock();
            has_events = true;
            if progress.needs_proof() {
                if !progress.prove(id, &data) {
                    return Err(RunOutcome::Surplus);
                }
                continue;
            }
            if progress.len() + data.len() >= MAX_OUTPUT_BYTES {
                return Err(RunOutcome::Oversized);
            }
            if !progress.push_event(id, &data) {
                return Err(interrupted("event IDs are not consecutive"));
            }
        }
        Ok(has_events)
    }

    /// Outcome of a run whose body has ended. `is_proven` tells whether the run had an event, or began the output.
    fn end_output(&self, framing: BodyFraming, is_proven: bool) -> RunOutcome {
        let mut progress = self.progress.lock();
        if progress.needs_proof() {
            return RunOutcome::Surplus;
        }
        if framing != BodyFraming::Delimited && !progress.confirm_end() {
            return RunOutcome::UnmarkedEnd;
        }
        if is_proven {
            return RunOutcome::Completed;
        }
        progress.require_proof();
        RunOutcome::Unproven
    }

    /// Checks that the output of the run is of the software version of which it seems to be. The endpoint may have started again under its
    /// ID at another one; then the output that this host has is dropped, and the item continues from its checkpoints. A run that
    /// completes from the beginning is of one start in any case.
    async fn confirm_output(&self, outcome: RunOutcome) -> RunOutcome {
        let last_event = self.progress.lock().last_event();
        let has_output = last_event != self.resumed_after;
        let is_whole = matches!(outcome, RunOutcome::Completed) && self.resumed_after.is_none();
        let Some(sent_at) = self.sent_at.filter(|_| has_output && !is_whole) else {
            self.progress.lock().set_confirmed(true);
            return outcome;
        };
        let confirmed = self
            .node
            .confirm_start(&self.endpoint, sent_at, CONFIRM_TIMEOUT);
        if confirmed.await {
            self.progress.lock().set_confirmed(true);
            return outcome;
        }
        self.node.lock().remove_progress(&self.name);
        interrupted("another start of the endpoint has answered")
    }

    /// Records what the end of the run tells of the item's prompt.
    fn record_end(&self, outcome: &RunOutcome) {
        let is_marked = self.framing == Some(BodyFraming::Delimited);
        let has_reached = !matches!(
            outcome,
            RunOutcome::NotSent
                | RunOutcome::NotRun
                | RunOutcome::Interrupted(CallError::NotSent { .. })
        );
        if self.is_trial && !has_reached {
            let quarantine = &mut self.node.lock().crashes.quarantine;
            quarantine.renew_trial(&self.parts, Instant::now());
        }
        let may_be_complete = match outcome {
            RunOutcome::Completed | RunOutcome::UnmarkedEnd => true,
            RunOutcome::Interrupted(CallError::Interrupted { .. }) => false,
            _ => return,
        };
        let Some(sent_at) = self.sent_at else {
            return;
        };
        let request = BrokenRequest {
            parts: self.parts.clone(),
            sent_at,
        };
        if matches!(outcome, RunOutcome::Completed) && is_marked {
            self.node
                .record_complete(&self.endpoint, request, self.answer);
            return;
        }
        let ended = EndedRequest {
            request,
            may_be_complete,
            answered_at: None,
        };
        self.node.record_end(&self.endpoint, ended);
    }

    /// Records that the run shows that the item's prompt does not crash the endpoint.
    fn record_sound(&self) {
        if let Some(sent_at) = self.sent_at {
            let state = &mut self.node.lock();
            let now = Instant::now();
            self.node.record_sound(state, &self.parts, sent_at, now);
        }
    }

    /// Maximum wait for the head of the response.
    fn response_timeout(&self) -> Duration {
        let late = self.node.lock().histories.late_responses(&self.name);
        (RESPONSE_TIMEOUT * 2_u32.pow(late.min(8))).min(MAX_RESPONSE_TIMEOUT)
    }

    /// Whether the item may still be sent to the endpoint, which may have left while the output was loaded.
    fn may_be_sent(&self) -> bool {
        let state = self.node.lock();
        let is_rejected = state
            .crashes
            .quarantine
            .began_after(&self.parts, self.admitted_at);
        !is_rejected
            && state
                .endpoints
                .is_serving(&self.endpoint.id, Instant::now())
    }

    /// Loads checkpointed output of earlier runs, as far as it can be read, unless this host has output of the item.
    /// Without any output the item runs from the beginning.
    async fn load_segments(&mut self) {
        if self.segments.is_empty() || !self.progress.lock().is_empty() {
            return;
        }
        let mut texts = Vec::new();
        let deadline = Instant::now() + LOAD_TIMEOUT;
        for segment in &self.segments {
            let cause = match timeout_at(deadline, self.node.fetch_text(&segment.location)).await {
                Ok(Ok(text)) => {
                    texts.push(text);
                    continue;
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => format!("not read within {LOAD_TIMEOUT:?}"),
            };
            warn!(self.node.deps.logger, "checkpointed output not read";
                "job" => &*self.name.job, "item" => self.name.item, "cause" => cause);
            break;
        }
        let read = &self.segments[..texts.len()];
        *self.progress.lock() = ItemProgress::from_segments(read, &texts);
    }

    /// Applies the outcome of a run that began at `started` to the state of its endpoint and item. Returns the final
    /// update of the item, if there is one.
    fn apply_outcome(
        &self,
        state: &mut SwitchState,
        outcome: &RunOutcome,
        started: Instant,
        updates: &mpsc::UnboundedSender<ItemUpdate>,
    ) -> Option<UpdateKind> {
        let now = Instant::now();
        let (node, name, endpoint) = (&self.node, &self.name, &*self.endpoint.id);
        match outcome {
            RunOutcome::Completed => {
                state.load.health(endpoint).record_success(started);
                let (events, text) = {
                    let progress = self.progress.lock();
                    (progress.last_event().unwrap_or(0), progress.text().to_vec())
                };
                let run_events = events.saturating_sub(self.resumed_after.unwrap_or(0));
                state
                    .item_times
                    .record(events, run_events, started.elapsed());
                Some(UpdateKind::Completed(text.into()))
            }
            RunOutcome::UnmarkedEnd
            | RunOutcome::Unproven
            | RunOutcome::Cancelled
            | RunOutcome::NotSent => None,
            RunOutcome::NotRun => {
                state.load.mark_full(endpoint, now);
                None
            }
            RunOutcome::Interrupted(error) => {
                node.avoid_endpoint(state, endpoint, now);
                if let CallError::NotSent { .. } = error {
                    node.record_unreached(state, &self.endpoint.id);
                }
                state.histories.record_interruption(name, now);
                None
            }
            RunOutcome::Surplus | RunOutcome::Oversized => {
                if let RunOutcome::Oversized = outcome {
                    node.avoid_endpoint(state, endpoint, now);
                }
                state.histories.record_interruption(name, now);
                // This host claims the item, and does not run it until the record is read back.
                state.remove_progress(name);
                state.start_progress(name);
                state.unrecorded.push(name.clone());
                let (name, kind) = (name.clone(), UpdateKind::Discarded);
                send_update(updates, ItemUpdate { name, kind });
                None
            }
            RunOutcome::Failed => {
                node.record_error_response(state, endpoint, RequestClass::Batch);
                let own = state.histories.record_failure(name, now);
                let recorded = recorded_failures(state, name);
                let attempts = item_attempts(state, name);
                let is_exhausted = own.max(recorded + 1) >= attempts;
                info!(node.deps.logger, "item failed"; "job" => &*name.job, "item" => name.item,
                    "id" => &*self.call.id, "endpoint" => endpoint, "own_failures" => own,
                    "recorded_failures" => recorded, "attempts" => attempts,
                    "given_up" => is_exhausted);
                let (name, kind) = (name.clone(), UpdateKind::Failed);
                send_update(updates, ItemUpdate { name, kind });
                is_exhausted.then_some(UpdateKind::Abandoned)
            }
            RunOutcome::Impossible => Some(UpdateKind::Abandoned),
        }
    }
}

/// Number of failed runs of an item at all hosts, as recorded in the log.
fn recorded_failures(state: &SwitchState, name: &ItemName) -> u32 {
    let job = state.ledger.get(&name.job);
    let failures = job.map_or(0, |job| job.items[name.item as usize].failures.len());
    u32::try_from(failures).unwrap_or(u32::MAX)
}

fn item_attempts(state: &SwitchState, name: &ItemName) -> u32 {
    let job = state.ledger.get(&name.job);
    let routes = state.routes.as_ref();
    let route = job.and_then(|job| routes?.find_for_job(&job.host, &job.path_prefix));
    // A job without a route is abandoned as a whole, so this item gets no further attempt.
    route.map_or(1, |route| route.attempts)
}

/// Cause of the end of a run that has no further event in time.
fn late_cause(deadline: Instant) -> &'static str {
    if Instant::now() >= deadline {
        "the run takes too long"
    } else {
        "the endpoint stopped sending events"
    }
}

fn interrupted(cause: &str) -> RunOutcome {
    RunOutcome::Interrupted(CallError::Interrupted {
        cause: cause.into(),
    })
}
