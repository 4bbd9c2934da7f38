//! Driving one request to its end: attempts at endpoints, acceptance and outcome.

use super::run::{KeyRun, RunOrigin};
use super::{
    KeyOwner, LOG_PATIENCE, LOG_SILENCE, OUTAGE_RETRY, RETRY_AFTER, conflict, millis,
    not_run_frame, unknown_frame,
};
use crate::balancer::SentAttempt;
use crate::replica::{AppendError, AppendedRecord};
use fulmarswitch_decide::retry::RetryDecision;
use fulmarswitch_decide::shard::{ApplyResult, RejectReason};
use fulmarswitch_peer::message::{OutcomeNote, RefusalNote, RunRequest, RunState};
use fulmarswitch_peer::{
    FrameStream, PeerError, PeerMessage, PeerReply, StreamFrame, StreamRequest,
};
use fulmarswitch_records::ItemOutcome;
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Endpoints that are asked before a request is refused.
const MAX_REFUSALS: u32 = 3;
/// Time that a gate may take to answer that it has a request which may be run twice.
const GATE_PATIENCE: Duration = Duration::from_millis(200);
/// Time for which the outcome of a run without an owner waits for the next owner.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(5);
/// Time that an owner may take to record an outcome before the owner is looked for again.
const RECORD_LIMIT: Duration = Duration::from_secs(1);
/// Pause before the new owner of a shard is asked again to record an outcome.
const RECORD_PAUSE: Duration = Duration::from_millis(100);

/// How far the acceptance of a request has come.
enum Acceptance {
    /// No record is out.
    Open,
    /// The record is out and not read back.
    Pending(oneshot::Receiver<AppendedRecord>),
    /// The record stands on the log.
    Standing,
    /// The log is silent; the request is served without waiting for it.
    Unrecorded,
    /// The shard has no owner that is reached; the acceptance is recorded with the outcome.
    OwnerAbsent,
}

/// Why an attempt ended.
pub(super) enum AttemptEnd {
    /// The endpoint answered.
    Done(ItemOutcome),
    /// The gate refused; no byte went out.
    Refused(RefusalNote),
    /// The attempt broke off; it may have run.
    Lost,
    /// The endpoint was too slow; the request is tried at another, which the budget has paid for.
    Moved,
    /// The attempt must not go on; the frame says why.
    Stop(StreamFrame),
}

impl KeyOwner {
    /// Drives a request to its end and gives its last frame to all streams.
    pub(super) async fn drive(self: Arc<Self>, run: Arc<KeyRun>, origin: RunOrigin) {
        self.context
            .events
            .trace("start", &run.name, "online request");
        let last = if run.request.idempotent {
            self.drive_idempotent(&run, origin).await
        } else {
            self.drive_once(&run, origin == RunOrigin::Resumed).await
        };
        let recorded = !matches!(
            last,
            StreamFrame::Done {
                recorded: false,
                ..
            }
        );
        if let StreamFrame::Done { outcome, .. } = &last
            && !recorded
        {
            let number = self.backup.add(OutcomeNote {
                request: run.request.clone(),
                outcome: outcome.clone(),
            });
            let outcome = outcome.clone();
            let recording = Arc::clone(&self).record_late(Arc::clone(&run), outcome, number);
            tokio::spawn(recording);
            self.backup.wait_backed_up(number).await;
        } else {
            self.end_run(&run);
        }
        self.context
            .events
            .trace("end", &run.name, frame_name(&last));
        run.push(last);
    }

    async fn drive_idempotent(&self, run: &Arc<KeyRun>, origin: RunOrigin) -> StreamFrame {
        let mut acceptance = match origin {
            RunOrigin::New => Acceptance::Open,
            RunOrigin::Resumed => Acceptance::Standing,
            RunOrigin::OwnerAbsent => Acceptance::OwnerAbsent,
        };
        let full = self.shards.replica(run.shard).is_full() || self.backup.is_full();
        if origin != RunOrigin::Resumed && full {
            return not_run_frame(&AppendError::Full.to_string(), OUTAGE_RETRY);
        }
        let mut excluded = Vec::new();
        let mut retry_after = RETRY_AFTER;
        let mut refusals = 0;
        let mut may_have_run = origin == RunOrigin::Resumed;
        while !run.left().is_zero() {
            let Some(mut sent) = self.chooser.choose(&run.request, &excluded) else {
                break;
            };
            excluded.push(Arc::clone(&sent.endpoint));
            match self
                .attempt(run, &mut sent, &excluded, &mut acceptance)
                .await
            {
                AttemptEnd::Done(outcome) => return self.finish(run, acceptance, outcome).await,
                AttemptEnd::Stop(frame) => return frame,
                AttemptEnd::Refused(note) => {
                    refusals += 1;
                    retry_after = Duration::from_millis(note.retry_after_ms);
                    if refusals == MAX_REFUSALS {
                        break;
                    }
                }
                AttemptEnd::Lost => {
                    may_have_run = true;
                    run.reset();
                    if let Some(wait) = self.wait_to_come_back(run) {
                        retry_after = wait;
                        break;
                    }
                    self.context.metrics.retries.inc();
                }
                AttemptEnd::Moved => {
                    may_have_run = true;
                    run.reset();
                    self.context.metrics.retries.inc();
                }
            }
        }
        let unaccepted = matches!(acceptance, Acceptance::Open | Acceptance::OwnerAbsent);
        if unaccepted && !may_have_run {
            return not_run_frame("no endpoint of the service has room", retry_after);
        }
        let outcome = if may_have_run {
            ItemOutcome::Failed {
                reason: "no endpoint answered in time; try again".into(),
            }
        } else {
            ItemOutcome::NotRun {
                retry_after_ms: millis(retry_after),
            }
        };
        self.finish(run, acceptance, outcome).await
    }

    /// Decides on a request whose attempt broke off: returns nothing when it is tried again, and otherwise
    /// when the caller may come back.
    fn wait_to_come_back(&self, run: &KeyRun) -> Option<Duration> {
        match self.chooser.judge_retry(&run.request, true, run.left()) {
            RetryDecision::Retry => None,
            RetryDecision::BudgetExhausted { retry_after } => Some(retry_after),
            RetryDecision::InsufficientTime | RetryDecision::MayHaveRun => Some(RETRY_AFTER),
        }
    }

    /// Makes one attempt at an endpoint, through its gate.
    async fn attempt(
        &self,
        run: &Arc<KeyRun>,
        sent: &mut SentAttempt,
        tried: &[Arc<str>],
        acceptance: &mut Acceptance,
    ) -> AttemptEnd {
        let mut frames = match self.open_attempt(run, sent, GATE_PATIENCE).await {
            Ok(frames) => frames,
            Err(end) => return end,
        };
        let mut held = Vec::new();
        let mut patience = Instant::now() + LOG_PATIENCE;
        loop {
            let overdue_at = sent.overdue_at();
            tokio::select! {
                biased;
                stop = settle(acceptance) => {
                    if let Some(frame) = stop {
                        return AttemptEnd::Stop(frame);
                    }
                    held.drain(..).for_each(|frame| run.push(frame));
                }
                frame = frames.next() => {
                    sent.see(frame.as_ref());
                    match frame {
                        Some(StreamFrame::Load(_)) => {}
                        Some(StreamFrame::Admitted) => {
                            if let Err(frame) = self.begin_acceptance(run, acceptance) {
                                return AttemptEnd::Stop(frame);
                            }
                        }
                        Some(frame @ StreamFrame::Text(_)) => match acceptance {
                            Acceptance::Open | Acceptance::Pending(_) => held.push(frame),
                            Acceptance::Standing | Acceptance::Unrecorded | Acceptance::OwnerAbsent => {
                                run.push(frame);
                            }
                        },
                        Some(StreamFrame::Done { outcome, .. }) => {
                            return self.end_accepted(run, acceptance, held, outcome).await;
                        }
                        Some(StreamFrame::Refused(note)) if note.ran == RunState::NotRun => {
                            return AttemptEnd::Refused(note);
                        }
                        _ => return AttemptEnd::Lost,
                    }
                    if sent.take_failed_probe()
                        && self.chooser.judge_move(&run.request, tried, run.left())
                    {
                        return AttemptEnd::Moved;
                    }
                }
                () = tokio::time::sleep_until(patience) => {
                    patience += LOG_PATIENCE;
                    if self.log_is_silent(run, acceptance) {
                        *acceptance = Acceptance::Unrecorded;
                        held.drain(..).for_each(|frame| run.push(frame));
                    }
                }
                () = wait_until(overdue_at) => {
                    sent.see_overdue();
                    if self.chooser.judge_move(&run.request, tried, run.left()) {
                        return AttemptEnd::Moved;
                    }
                }
                () = sent.wait_suspected() => {
                    if self.chooser.judge_move(&run.request, tried, run.left()) {
                        return AttemptEnd::Moved;
                    }
                }
                () = tokio::time::sleep_until(run.deadline) => return AttemptEnd::Lost,
            }
        }
    }

    async fn end_accepted(
        &self,
        run: &Arc<KeyRun>,
        acceptance: &mut Acceptance,
        held: Vec<StreamFrame>,
        outcome: ItemOutcome,
    ) -> AttemptEnd {
        while matches!(acceptance, Acceptance::Pending(_)) {
            tokio::select! {
                biased;
                stop = settle(acceptance) => {
                    if let Some(frame) = stop {
                        return AttemptEnd::Stop(frame);
                    }
                }
                () = tokio::time::sleep(LOG_PATIENCE) => {
                    if self.log_is_silent(run, acceptance) {
                        *acceptance = Acceptance::Unrecorded;
                    }
                }
            }
        }
        for frame in held {
            run.push(frame);
        }
        AttemptEnd::Done(outcome)
    }

    pub(super) async fn open_attempt(
        &self,
        run: &Arc<KeyRun>,
        sent: &mut SentAttempt,
        patience: Duration,
    ) -> Result<FrameStream, AttemptEnd> {
        let endpoint = &sent.endpoint;
        let Some(target) = self.fleet.view().gate_holder(endpoint) else {
            return Err(not_reached());
        };
        let number = self.gates.next_attempt();
        let request = RunRequest {
            endpoint: Arc::clone(endpoint),
            attempt: format!("{}-{number}", self.context.identity).into(),
            request: run.request.clone(),
            left_ms: millis(run.left()),
        };
        self.context.events.trace("attempt", &run.name, endpoint);
        if target.host == self.context.identity {
            return Ok(self.gates.run(request));
        }
        let run = StreamRequest::Run(request);
        let link = self.context.link.as_ref();
        match self.fleet.open_stream(link, &target, run, patience).await {
            Ok(frames) => Ok(frames),
            Err(PeerError::NotReached { .. }) => {
                sent.see_unreached();
                Err(not_reached())
            }
            Err(PeerError::NoAnswer { .. }) => {
                sent.see_broken();
                Err(AttemptEnd::Lost)
            }
        }
    }

    fn begin_acceptance(
        &self,
        run: &KeyRun,
        acceptance: &mut Acceptance,
    ) -> Result<(), StreamFrame> {
        if !matches!(acceptance, Acceptance::Open) {
            return Ok(());
        }
        let bodies = self.acceptance_of(run.shard, &run.request);
        match self.shards.append_all(run.shard, bodies) {
            Ok(mut receivers) => {
                let Some(receiver) = receivers.pop() else {
                    return Err(StreamFrame::NotOwner);
                };
                *acceptance = Acceptance::Pending(receiver);
                if self.log_is_silent(run, acceptance) {
                    *acceptance = Acceptance::Unrecorded;
                }
                Ok(())
            }
            Err(AppendError::Closed) => Err(StreamFrame::NotOwner),
            // The endpoint may have begun by now.
            Err(error @ AppendError::Full) => Err(unknown_frame(&error.to_string())),
        }
    }

    fn log_is_silent(&self, run: &KeyRun, acceptance: &Acceptance) -> bool {
        matches!(acceptance, Acceptance::Pending(_))
            && !self.shards.replica(run.shard).is_log_available()
    }

    /// Records the outcome, here or at the new owner of the shard, and returns the last frame.
    async fn finish(
        &self,
        run: &Arc<KeyRun>,
        acceptance: Acceptance,
        outcome: ItemOutcome,
    ) -> StreamFrame {
        if matches!(acceptance, Acceptance::Unrecorded) {
            return StreamFrame::Done {
                outcome,
                recorded: false,
            };
        }
        let recording = self.record(run, outcome.clone());
        let limit = match acceptance {
            Acceptance::OwnerAbsent if self.shards.replica(run.shard).is_log_available() => {
                TAKEOVER_LIMIT
            }
            _ => LOG_SILENCE,
        };
        match tokio::time::timeout(limit, recording).await {
            Ok(frame) => frame,
            Err(_) => StreamFrame::Done {
                outcome,
                recorded: false,
            },
        }
    }

    /// Records an outcome that was given before the log had it.
    async fn record_late(self: Arc<Self>, run: Arc<KeyRun>, outcome: ItemOutcome, number: u32) {
        self.record(&run, outcome).await;
        self.backup.mark_logged(number);
        self.end_run(&run);
    }

    /// Records an outcome, however long it takes, and returns the outcome that stands.
    pub(super) async fn record(&self, run: &Arc<KeyRun>, outcome: ItemOutcome) -> StreamFrame {
        loop {
            if let Some(frame) = self.record_here(run, &outcome).await {
                return frame;
            }
            if let Some(frame) = self.record_elsewhere(run, &outcome).await {
                return frame;
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
    }

    async fn record_here(&self, run: &Arc<KeyRun>, outcome: &ItemOutcome) -> Option<StreamFrame> {
        self.shards.owned_epoch(run.shard)?;
        let Some(bodies) = self.outcome_bodies(run.shard, &run.request, outcome.clone()) else {
            return Some(conflict());
        };
        let appended = self.shards.append_all(run.shard, bodies).ok()?.pop()?;
        let appended = appended.await.ok()?;
        match appended.verdict {
            ApplyResult::Applied => Some(StreamFrame::Done {
                outcome: outcome.clone(),
                recorded: true,
            }),
            ApplyResult::Duplicate => {
                let place = self.shards.with_shard(run.shard, |state| {
                    Some(state.key(&run.name)?.outcome?.place)
                })?;
                Some(self.recorded_frame(run.shard, place).await)
            }
            ApplyResult::Rejected(_) => None,
        }
    }

    async fn record_elsewhere(
        &self,
        run: &Arc<KeyRun>,
        outcome: &ItemOutcome,
    ) -> Option<StreamFrame> {
        let target = self.shards.owner_target(run.shard)?;
        if target.host == self.context.identity {
            return None;
        }
        let note = OutcomeNote {
            request: run.request.clone(),
            outcome: outcome.clone(),
        };
        let message = PeerMessage::RecordOutcome(note);
        let call = self.context.link.call(&target, message);
        // A host that is paused answers nothing; the next owner may be asked by then.
        let reply = tokio::time::timeout(RECORD_LIMIT, call).await.ok()?;
        match reply {
            Ok(PeerReply::Outcome(Some(outcome))) => Some(StreamFrame::Done {
                outcome,
                recorded: true,
            }),
            Ok(PeerReply::Conflict { .. }) => Some(conflict()),
            _ => None,
        }
    }
}

/// Waits until a pending acceptance is settled; never returns for others. A frame says that the request
/// must stop.
async fn settle(acceptance: &mut Acceptance) -> Option<StreamFrame> {
    let Acceptance::Pending(receiver) = acceptance else {
        return std::future::pending().await;
    };
    let verdict = receiver.await.map(|appended| appended.verdict);
    *acceptance = Acceptance::Standing;
    match verdict {
        Ok(ApplyResult::Applied | ApplyResult::Duplicate) => None,
        Ok(ApplyResult::Rejected(RejectReason::NameConflict)) => Some(conflict()),
        Ok(ApplyResult::Rejected(_)) => Some(StreamFrame::NotOwner),
        Err(_) => Some(unknown_frame("the host is stopping; ask by key")),
    }
}

/// Waits until a time; never returns when there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn not_reached() -> AttemptEnd {
    AttemptEnd::Refused(RefusalNote {
        reason: "the gate of the endpoint was not reached".into(),
        ran: RunState::NotRun,
        retry_after_ms: millis(RETRY_AFTER),
    })
}

fn frame_name(frame: &StreamFrame) -> &'static str {
    match frame {
        StreamFrame::Done { recorded: true, .. } => "recorded",
        StreamFrame::Done {
            recorded: false, ..
        } => "waits for the log",
        StreamFrame::Refused(_) => "refused",
        StreamFrame::NotOwner => "moved",
        _ => "open",
    }
}
