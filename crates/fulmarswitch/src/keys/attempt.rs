//! Drives one request from acceptance through attempts at endpoints to its outcome.

use super::run::{RequestRun, RunOrigin};
use super::second_attempt::{SecondAttempt, SecondEvent, next_event};
use super::{
    DEFAULT_RETRY_AFTER, KeyOwner, LOG_CHECK_INTERVAL, LOG_OUTAGE_RETRY_AFTER, LOG_TIMEOUT,
    conflict, may_have_run_frame, millis, not_run_frame,
};
use crate::balancer::TrackedAttempt;
use crate::replica::{AppendError, AppendedRecord};
use fulmarswitch_decide::retry::RetryDecision;
use fulmarswitch_decide::shard::{ApplyResult, RejectReason};
use fulmarswitch_peer::message::{Refusal, RequestOutcome, RunRequest, RunState};
use fulmarswitch_peer::{
    FrameStream, PeerError, PeerMessage, PeerReply, StreamFrame, StreamRequest,
};
use fulmarswitch_records::ItemOutcome;
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Number of refusals by gates after which a request is given up.
const MAX_REFUSALS: u32 = 3;
/// Time that a gate has to acknowledge an idempotent request before the attempt counts as interrupted.
const GATE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that the outcome of a run without an owner waits for the next owner to take over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that an owner has to record an outcome before the current owner is looked up again.
const RECORD_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the recording of an outcome is tried again.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// State of the acceptance record of a request.
enum Acceptance {
    /// No record has been appended.
    NotWritten,
    /// The record has been appended and not read back.
    Pending(oneshot::Receiver<AppendedRecord>),
    /// The record is in the log.
    Recorded,
    /// The log is unavailable; the request is served without waiting for the record.
    Bypassed,
    /// The owner of the shard is unreachable; the acceptance is recorded together with the outcome.
    NoOwner,
}

/// Endpoints that were asked to run a request, and what is known from their replies.
struct AskedEndpoints {
    /// Names of the endpoints, none of which is asked again.
    names: Vec<Arc<str>>,
    refusals: u32,
    /// Retry delay that the last refusal gave.
    retry_after: Duration,
    may_have_run: bool,
}

impl AskedEndpoints {
    fn new(may_have_run: bool) -> Self {
        Self {
            names: Vec::new(),
            refusals: 0,
            retry_after: DEFAULT_RETRY_AFTER,
            may_have_run,
        }
    }

    fn record_refusal(&mut self, refusal: &Refusal) {
        self.refusals += 1;
        self.retry_after = Duration::from_millis(refusal.retry_after_ms);
    }
}

/// What follows from an event of an attempt.
enum AttemptStep {
    Continue,
    /// Another endpoint is asked as well, because this one is late or suspected.
    AskAnother,
    End(AttemptEnd),
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The endpoint returned an outcome.
    Done(ItemOutcome),
    /// The gate refused the request; nothing was sent to the endpoint.
    Refused(Refusal),
    /// The attempt was interrupted; the request may have run.
    Interrupted,
    /// The request must not continue; the frame is its last one.
    Aborted(StreamFrame),
}

impl KeyOwner {
    /// Drives a request to its end and publishes its last frame to all streams.
    ///
    /// An outcome that the log has not recorded in time is backed up at other hosts before the last
    /// frame is sent, and recorded in the background.
    pub(super) async fn drive(self: Arc<Self>, run: Arc<RequestRun>, origin: RunOrigin) {
        self.context
            .events
            .trace("start", &run.name, "online request");
        let last = if run.request.idempotent {
            self.drive_idempotent(&run, origin).await
        } else {
            self.drive_at_most_once(&run, origin == RunOrigin::Resumed)
                .await
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
            let number = self.backup.add(RequestOutcome {
                request: run.request.clone(),
                outcome: outcome.clone(),
            });
            let outcome = outcome.clone();
            let recording = Arc::clone(&self).record_deferred(Arc::clone(&run), outcome, number);
            tokio::spawn(recording);
            self.backup.wait_backed_up(number).await;
        } else {
            self.remove_run(&run);
        }
        self.context
            .events
            .trace("end", &run.name, frame_name(&last));
        run.publish(last);
    }

    async fn drive_idempotent(&self, run: &Arc<RequestRun>, origin: RunOrigin) -> StreamFrame {
        let mut acceptance = match origin {
            RunOrigin::New => Acceptance::NotWritten,
            RunOrigin::Resumed => Acceptance::Recorded,
            RunOrigin::NoOwner => Acceptance::NoOwner,
        };
        let full = self.shards.replica(run.shard).is_full() || self.backup.is_full();
        if origin != RunOrigin::Resumed && full {
            return not_run_frame(&AppendError::Full.to_string(), LOG_OUTAGE_RETRY_AFTER);
        }
        let mut asked = AskedEndpoints::new(origin == RunOrigin::Resumed);
        while !run.remaining().is_zero() {
            let Some(tracked) = self.choose_endpoint(run, &mut asked) else {
                break;
            };
            match self
                .attempt(run, tracked, &mut asked, &mut acceptance)
                .await
            {
                AttemptEnd::Done(outcome) => return self.finish(run, acceptance, outcome).await,
                AttemptEnd::Aborted(frame) => return frame,
                AttemptEnd::Refused(refusal) => {
                    asked.record_refusal(&refusal);
                    if asked.refusals >= MAX_REFUSALS {
                        break;
                    }
                }
                AttemptEnd::Interrupted => {
                    asked.may_have_run = true;
                    run.reset();
                    if let Some(wait) = self.caller_retry_after(run) {
                        asked.retry_after = wait;
                        break;
                    }
                    self.context.metrics.retries.inc();
                }
            }
        }
        let unaccepted = matches!(acceptance, Acceptance::NotWritten | Acceptance::NoOwner);
        if unaccepted && !asked.may_have_run {
            return not_run_frame("no endpoint of the service has room", asked.retry_after);
        }
        let outcome = if asked.may_have_run {
            ItemOutcome::Failed {
                reason: "no endpoint answered in time; try again".into(),
            }
        } else {
            ItemOutcome::NotRun {
                retry_after_ms: millis(asked.retry_after),
            }
        };
        self.finish(run, acceptance, outcome).await
    }

    /// Decides on a request whose attempt was interrupted. Returns `None` if it is retried, otherwise the
    /// retry delay for the caller.
    fn caller_retry_after(&self, run: &RequestRun) -> Option<Duration> {
        match self
            .balancer
            .decide_retry(&run.request, true, run.remaining())
        {
            RetryDecision::Retry => None,
            RetryDecision::BudgetExhausted { retry_after } => Some(retry_after),
            RetryDecision::InsufficientTime | RetryDecision::MayHaveRun => {
                Some(DEFAULT_RETRY_AFTER)
            }
        }
    }

    /// Chooses an endpoint that was not asked before.
    fn choose_endpoint(
        &self,
        run: &RequestRun,
        asked: &mut AskedEndpoints,
    ) -> Option<TrackedAttempt> {
        let tracked = self.balancer.choose(&run.request, &asked.names)?;
        asked.names.push(Arc::clone(&tracked.endpoint));
        Some(tracked)
    }

    /// Sends the request to another endpoint as well, if one is ready and the retry budget allows it.
    async fn ask_another(
        &self,
        run: &Arc<RequestRun>,
        asked: &mut AskedEndpoints,
    ) -> Option<SecondAttempt> {
        if !self.may_ask_another(run, asked) {
            return None;
        }
        self.open_second(run, asked).await
    }

    /// Decides whether another endpoint is asked because one is late or suspected. If so, the retry is charged to the
    /// retry budget.
    fn may_ask_another(&self, run: &RequestRun, asked: &AskedEndpoints) -> bool {
        let may_ask = asked.refusals < MAX_REFUSALS
            && self
                .balancer
                .may_reroute(&run.request, &asked.names, run.remaining());
        if may_ask {
            self.context.metrics.retries.inc();
        }
        may_ask
    }

    /// Sends the request to another endpoint while the first attempt goes on.
    ///
    /// Returns `None` if no gate was reached.
    async fn open_second(
        &self,
        run: &Arc<RequestRun>,
        asked: &mut AskedEndpoints,
    ) -> Option<SecondAttempt> {
        while asked.refusals < MAX_REFUSALS {
            let mut tracked = self.choose_endpoint(run, asked)?;
            match self.open_attempt(run, &mut tracked, GATE_TIMEOUT).await {
                Ok(frames) => {
                    asked.may_have_run = true;
                    return Some(SecondAttempt::new(tracked, frames));
                }
                Err(AttemptEnd::Refused(refusal)) => asked.record_refusal(&refusal),
                Err(_) => {
                    asked.may_have_run = true;
                    return None;
                }
            }
        }
        None
    }

    /// Makes one attempt at an endpoint, through its gate, and further ones while it is late or suspected.
    ///
    /// Text is buffered until the acceptance is in the log, or the log is found to be unavailable.
    async fn attempt(
        &self,
        run: &Arc<RequestRun>,
        mut tracked: TrackedAttempt,
        asked: &mut AskedEndpoints,
        acceptance: &mut Acceptance,
    ) -> AttemptEnd {
        let mut frames = match self.open_attempt(run, &mut tracked, GATE_TIMEOUT).await {
            Ok(frames) => frames,
            Err(end) => return end,
        };
        let mut second = None;
        let mut buffered = Vec::new();
        let mut next_log_check = Instant::now() + LOG_CHECK_INTERVAL;
        loop {
            let overdue_at = tracked.overdue_at();
            let step = tokio::select! {
                biased;
                stop = wait_accepted(acceptance) => {
                    if let Some(frame) = stop {
                        return AttemptEnd::Aborted(frame);
                    }
                    buffered.drain(..).for_each(|frame| run.publish(frame));
                    AttemptStep::Continue
                }
                frame = frames.next() => {
                    tracked.observe_frame(frame.as_ref());
                    match self.read_frame(run, acceptance, &mut buffered, frame).await {
                        Some(end) => AttemptStep::End(end),
                        None if tracked.take_failed_probe() => AttemptStep::AskAnother,
                        None => AttemptStep::Continue,
                    }
                }
                event = next_event(&mut second) => {
                    self.handle_second(run, asked, acceptance, &mut second, event).await
                }
                () = tokio::time::sleep_until(next_log_check) => {
                    next_log_check += LOG_CHECK_INTERVAL;
                    if self.is_acceptance_blocked(run, acceptance) {
                        *acceptance = Acceptance::Bypassed;
                        buffered.drain(..).for_each(|frame| run.publish(frame));
                    }
                    AttemptStep::Continue
                }
                () = wait_until(overdue_at) => {
                    tracked.observe_overdue();
                    AttemptStep::AskAnother
                }
                () = tracked.wait_suspected() => AttemptStep::AskAnother,
                () = tokio::time::sleep_until(run.deadline) => return AttemptEnd::Interrupted,
            };
            match step {
                AttemptStep::AskAnother if second.is_none() => {
                    second = self.ask_another(run, asked).await;
                }
                AttemptStep::Continue | AttemptStep::AskAnother => {}
                AttemptStep::End(end @ (AttemptEnd::Done(_) | AttemptEnd::Aborted(_))) => {
                    return end;
                }
                AttemptStep::End(end) => {
                    let Some(other) = second.take() else {
                        return end;
                    };
                    if let AttemptEnd::Refused(refusal) = &end {
                        asked.record_refusal(refusal);
                    }
                    buffered.clear();
                    run.reset();
                    (tracked, frames) = other.into_parts();
                }
            }
        }
    }

    /// Processes a frame of the attempt, `None` for its premature end. Returns how the attempt ended, or `None` if it
    /// goes on.
    async fn read_frame(
        &self,
        run: &Arc<RequestRun>,
        acceptance: &mut Acceptance,
        buffered: &mut Vec<StreamFrame>,
        frame: Option<StreamFrame>,
    ) -> Option<AttemptEnd> {
        match frame {
            Some(StreamFrame::Load(_)) => None,
            Some(StreamFrame::Admitted) => {
                let written = self.write_acceptance(run, acceptance);
                written.err().map(AttemptEnd::Aborted)
            }
            Some(frame @ StreamFrame::Text(_)) => {
                match acceptance {
                    Acceptance::NotWritten | Acceptance::Pending(_) => buffered.push(frame),
                    Acceptance::Recorded | Acceptance::Bypassed | Acceptance::NoOwner => {
                        run.publish(frame);
                    }
                }
                None
            }
            Some(StreamFrame::Done { outcome, .. }) => {
                let buffered = std::mem::take(buffered);
                let end = self.finish_attempt(run, acceptance, buffered, outcome);
                Some(end.await)
            }
            Some(StreamFrame::Refused(refusal)) if refusal.ran == RunState::NotRun => {
                Some(AttemptEnd::Refused(refusal))
            }
            _ => Some(AttemptEnd::Interrupted),
        }
    }

    /// Processes an event of the second attempt, and replaces it if it has ended.
    async fn handle_second(
        &self,
        run: &Arc<RequestRun>,
        asked: &mut AskedEndpoints,
        acceptance: &mut Acceptance,
        second: &mut Option<SecondAttempt>,
        event: SecondEvent,
    ) -> AttemptStep {
        match event {
            SecondEvent::Admitted => {
                if let Err(frame) = self.write_acceptance(run, acceptance) {
                    return AttemptStep::End(AttemptEnd::Aborted(frame));
                }
            }
            // The first attempt is given up for the second one.
            SecondEvent::Answering => return AttemptStep::End(AttemptEnd::Interrupted),
            SecondEvent::Refused(refusal) => {
                *second = None;
                asked.record_refusal(&refusal);
                *second = self.open_second(run, asked).await;
            }
            SecondEvent::Interrupted => {
                *second = None;
                return AttemptStep::AskAnother;
            }
            SecondEvent::Late => {
                if self.may_ask_another(run, asked) {
                    *second = None;
                    *second = self.open_second(run, asked).await;
                }
            }
        }
        AttemptStep::Continue
    }

    async fn finish_attempt(
        &self,
        run: &Arc<RequestRun>,
        acceptance: &mut Acceptance,
        buffered: Vec<StreamFrame>,
        outcome: ItemOutcome,
    ) -> AttemptEnd {
        while matches!(acceptance, Acceptance::Pending(_)) {
            tokio::select! {
                biased;
                stop = wait_accepted(acceptance) => {
                    if let Some(frame) = stop {
                        return AttemptEnd::Aborted(frame);
                    }
                }
                () = tokio::time::sleep(LOG_CHECK_INTERVAL) => {
                    if self.is_acceptance_blocked(run, acceptance) {
                        *acceptance = Acceptance::Bypassed;
                    }
                }
            }
        }
        for frame in buffered {
            run.publish(frame);
        }
        AttemptEnd::Done(outcome)
    }

    pub(super) async fn open_attempt(
        &self,
        run: &Arc<RequestRun>,
        tracked: &mut TrackedAttempt,
        gate_timeout: Duration,
    ) -> Result<FrameStream, AttemptEnd> {
        let endpoint = &tracked.endpoint;
        let Some(target) = self.fleet.view().gate_holder(endpoint) else {
            return Err(gate_unreachable());
        };
        let number = self.gates.next_attempt();
        let request = RunRequest {
            endpoint: Arc::clone(endpoint),
            attempt: format!("{}-{number}", self.context.identity).into(),
            request: run.request.clone(),
            remaining_ms: millis(run.remaining()),
        };
        self.context.events.trace("attempt", &run.name, endpoint);
        if target.host == self.context.identity {
            return Ok(self.gates.run(request));
        }
        let run = StreamRequest::Run(request);
        let link = self.context.link.as_ref();
        match self
            .fleet
            .open_stream(link, &target, run, gate_timeout)
            .await
        {
            Ok(frames) => Ok(frames),
            Err(PeerError::NotReached { .. }) => {
                tracked.observe_unreachable();
                Err(gate_unreachable())
            }
            Err(PeerError::NoReply { .. }) => {
                tracked.observe_interrupted();
                Err(AttemptEnd::Interrupted)
            }
        }
    }

    fn write_acceptance(
        &self,
        run: &RequestRun,
        acceptance: &mut Acceptance,
    ) -> Result<(), StreamFrame> {
        if !matches!(acceptance, Acceptance::NotWritten) {
            return Ok(());
        }
        let bodies = self.acceptance_records(run.shard, &run.request);
        match self.shards.append_all(run.shard, bodies) {
            Ok(mut receivers) => {
                let Some(receiver) = receivers.pop() else {
                    return Err(StreamFrame::NotOwner);
                };
                *acceptance = Acceptance::Pending(receiver);
                if self.is_acceptance_blocked(run, acceptance) {
                    *acceptance = Acceptance::Bypassed;
                }
                Ok(())
            }
            Err(AppendError::Closed) => Err(StreamFrame::NotOwner),
            // The endpoint may have started the request by now.
            Err(error @ AppendError::Full) => Err(may_have_run_frame(&error.to_string())),
        }
    }

    fn is_acceptance_blocked(&self, run: &RequestRun, acceptance: &Acceptance) -> bool {
        matches!(acceptance, Acceptance::Pending(_))
            && !self.shards.replica(run.shard).is_log_available()
    }

    /// Records the outcome, here or at the new owner of the shard, and returns the last frame. After a
    /// timeout the frame marks the outcome as not recorded.
    async fn finish(
        &self,
        run: &Arc<RequestRun>,
        acceptance: Acceptance,
        outcome: ItemOutcome,
    ) -> StreamFrame {
        if matches!(acceptance, Acceptance::Bypassed) {
            return StreamFrame::Done {
                outcome,
                recorded: false,
            };
        }
        let recording = self.record_outcome(run, outcome.clone());
        let limit = match acceptance {
            Acceptance::NoOwner if self.shards.replica(run.shard).is_log_available() => {
                TAKEOVER_TIMEOUT
            }
            _ => LOG_TIMEOUT,
        };
        match tokio::time::timeout(limit, recording).await {
            Ok(frame) => frame,
            Err(_) => StreamFrame::Done {
                outcome,
                recorded: false,
            },
        }
    }

    /// Records an outcome that the caller received before it was in the log.
    async fn record_deferred(
        self: Arc<Self>,
        run: Arc<RequestRun>,
        outcome: ItemOutcome,
        number: u32,
    ) {
        self.record_outcome(&run, outcome).await;
        self.backup.mark_logged(number);
        self.remove_run(&run);
    }

    /// Records an outcome, retrying without limit, and returns the outcome that is in the log.
    pub(super) async fn record_outcome(
        &self,
        run: &Arc<RequestRun>,
        outcome: ItemOutcome,
    ) -> StreamFrame {
        loop {
            if let Some(frame) = self.record_as_owner(run, &outcome).await {
                return frame;
            }
            if let Some(frame) = self.record_at_owner(run, &outcome).await {
                return frame;
            }
            tokio::time::sleep(RECORD_RETRY_INTERVAL).await;
        }
    }

    async fn record_as_owner(
        &self,
        run: &Arc<RequestRun>,
        outcome: &ItemOutcome,
    ) -> Option<StreamFrame> {
        self.shards.owned_epoch(run.shard)?;
        let Some(bodies) = self.outcome_records(run.shard, &run.request, outcome.clone()) else {
            return Some(conflict());
        };
        let appended = self.shards.append_all(run.shard, bodies).ok()?.pop()?;
        let appended = appended.await.ok()?;
        match appended.result {
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

    async fn record_at_owner(
        &self,
        run: &Arc<RequestRun>,
        outcome: &ItemOutcome,
    ) -> Option<StreamFrame> {
        let target = self.shards.owner_target(run.shard)?;
        if target.host == self.context.identity {
            return None;
        }
        let request_outcome = RequestOutcome {
            request: run.request.clone(),
            outcome: outcome.clone(),
        };
        let message = PeerMessage::RecordOutcome(request_outcome);
        let call = self.context.link.call(&target, message);
        // A paused host does not answer; the shard may have a new owner by the time of the retry.
        let reply = tokio::time::timeout(RECORD_CALL_TIMEOUT, call).await.ok()?;
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

/// Waits until a pending acceptance has been read back; never returns in other states.
///
/// Returns the last frame of the request if it must stop.
async fn wait_accepted(acceptance: &mut Acceptance) -> Option<StreamFrame> {
    let Acceptance::Pending(receiver) = acceptance else {
        return std::future::pending().await;
    };
    let result = receiver.await.map(|appended| appended.result);
    *acceptance = Acceptance::Recorded;
    match result {
        Ok(ApplyResult::Applied | ApplyResult::Duplicate) => None,
        Ok(ApplyResult::Rejected(RejectReason::NameConflict)) => Some(conflict()),
        Ok(ApplyResult::Rejected(_)) => Some(StreamFrame::NotOwner),
        Err(_) => Some(may_have_run_frame("the host is stopping; ask by key")),
    }
}

/// Waits until `at`; never returns if it is `None`.
pub(super) async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn gate_unreachable() -> AttemptEnd {
    AttemptEnd::Refused(Refusal {
        reason: "the gate of the endpoint was not reached".into(),
        ran: RunState::NotRun,
        retry_after_ms: millis(DEFAULT_RETRY_AFTER),
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
