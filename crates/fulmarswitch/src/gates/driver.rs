//! Drives the gate of one endpoint: feeds it events and carries out its actions.

use super::{gate_settings, refusal_frame};
use crate::balancer::{LoadBalancer, TrackedCall};
use crate::context::{HostContext, lock};
use fulmarswitch_decide::gate::{EndpointGate, GateAction, GateRequest, RequestClass, TicketId};
use fulmarswitch_endpoint::{AnswerPart, EndpointCall, EndpointError};
use fulmarswitch_peer::message::{GateStatus, Refusal, RunRequest, RunState};
use fulmarswitch_peer::{FrameStream, StreamFrame};
use fulmarswitch_records::config::{EndpointConfig, ServiceConfig};
use fulmarswitch_records::{ItemOutcome, SortedIndex};
use futures::StreamExt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// A command of the gate to a queued or running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GateCommand {
    /// Send the request to the endpoint.
    Start,
    /// Cancel the call and queue again.
    Cancel,
    /// Give up; the caller may retry after this time.
    Refuse(Duration),
}

/// Channels to the task of one request at the gate.
pub(super) struct TicketChannels {
    commands: mpsc::UnboundedSender<GateCommand>,
    job: Option<Arc<str>>,
    stop: Option<oneshot::Sender<()>>,
}

/// Ticket of a request, held by its task. Dropping it ends the request at the gate.
pub(super) struct TicketGuard {
    pub(super) ticket: TicketId,
    pub(super) commands: mpsc::UnboundedReceiver<GateCommand>,
    driver: Arc<GateDriver>,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        lock(&self.driver.tickets).remove(&self.ticket);
        let now = self.driver.context.now();
        let ticket = self.ticket;
        self.driver
            .apply_event(|gate, actions| gate.end(now, ticket, actions));
    }
}

/// How a call to the endpoint ended.
pub(super) enum CallEnd {
    /// The endpoint sent the whole answer.
    Done,
    /// The endpoint reported a failure.
    Failed(Arc<str>),
    /// Nothing was sent, or the endpoint refused without running.
    NotRun(Arc<str>),
    /// The call was interrupted and may have run.
    Interrupted(Arc<str>),
    /// The gate cancelled the call, or nobody receives its text any more.
    Cancelled,
}

/// Gate of one endpoint together with its requests and configuration.
pub(super) struct GateDriver {
    pub(super) context: HostContext,
    pub(super) name: Arc<str>,
    balancer: Arc<LoadBalancer>,
    config: Mutex<(EndpointConfig, ServiceConfig)>,
    gate: Mutex<EndpointGate>,
    tickets: Mutex<SortedIndex<TicketId, TicketChannels>>,
    next_ticket: AtomicU64,
    accepts_batch: AtomicBool,
    mixed: AtomicBool,
    pub(super) pull_in_flight: AtomicBool,
}

impl GateDriver {
    pub(super) fn new(
        context: &HostContext,
        balancer: &Arc<LoadBalancer>,
        name: &str,
        endpoint: &EndpointConfig,
        service: &ServiceConfig,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            name: name.into(),
            balancer: Arc::clone(balancer),
            config: Mutex::new((endpoint.clone(), service.clone())),
            gate: Mutex::new(EndpointGate::new(gate_settings(endpoint, service, true))),
            mixed: AtomicBool::new(true),
            tickets: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            accepts_batch: AtomicBool::new(true),
            pull_in_flight: AtomicBool::new(false),
        })
    }

    pub(super) fn configure(&self, endpoint: &EndpointConfig, service: &ServiceConfig) {
        let mut config = lock(&self.config);
        if config.0 != *endpoint || config.1 != *service {
            *config = (endpoint.clone(), service.clone());
            self.reconfigure(&config);
        }
        drop(config);
        self.set_leaving(endpoint.leaving);
    }

    /// Sets whether the endpoint is leaving. While it is, nothing starts and queued requests are refused.
    pub(super) fn set_leaving(&self, leaving: bool) {
        lock(&self.gate).set_leaving(leaving);
        self.poll();
    }

    /// Sets whether the endpoint serves both online requests and batch items, as in a service with few
    /// endpoints.
    pub(super) fn set_mixed(&self, mixed: bool) {
        if self.mixed.swap(mixed, Ordering::Relaxed) != mixed {
            self.reconfigure(&lock(&self.config));
        }
    }

    fn reconfigure(&self, config: &(EndpointConfig, ServiceConfig)) {
        let mixed = self.mixed.load(Ordering::Relaxed);
        lock(&self.gate).configure(gate_settings(&config.0, &config.1, mixed));
    }

    /// Sets whether the gate may pull batch items.
    pub(super) fn set_accepts_batch(&self, accepts_batch: bool) {
        self.accepts_batch.store(accepts_batch, Ordering::Relaxed);
    }

    pub(super) fn request_count(&self) -> usize {
        lock(&self.tickets).len()
    }

    /// Returns the number of batch items at the gate by workspace.
    pub(super) fn batch_items_by_workspace(&self) -> SortedIndex<Arc<str>, u32> {
        let mut items_by_workspace: SortedIndex<Arc<str>, u32> = SortedIndex::new();
        for (_, channels) in lock(&self.tickets).iter() {
            let Some((workspace, _)) = channels.job.as_deref().and_then(|job| job.split_once('/'))
            else {
                continue;
            };
            match items_by_workspace.get_mut(workspace) {
                Some(items) => *items += 1,
                None => {
                    items_by_workspace.insert(workspace.into(), 1);
                }
            }
        }
        items_by_workspace
    }

    pub(super) fn config(&self) -> (EndpointConfig, ServiceConfig) {
        lock(&self.config).clone()
    }

    /// Returns the load and health of the endpoint, for load balancers.
    fn gate_status(&self, accepts_calls: bool) -> GateStatus {
        let share = lock(&self.gate).online_load();
        let (endpoint, _) = self.config();
        let suspected = self.balancer.is_suspected(&endpoint.service, &self.name);
        GateStatus {
            held: share.held,
            limit: share.limit,
            accepts_calls,
            suspected,
        }
    }

    /// Returns how many batch items the gate can pull now.
    pub(super) fn batch_room(&self) -> usize {
        let leaving = lock(&self.config).0.leaving;
        if leaving || !self.accepts_batch.load(Ordering::Relaxed) {
            return 0;
        }
        lock(&self.gate).batch_room()
    }

    pub(super) fn poll(&self) {
        let now = self.context.now();
        self.apply_event(|gate, actions| gate.poll(now, actions));
    }

    /// Runs an online request and returns the stream of its frames.
    pub(super) fn run_online(self: &Arc<Self>, request: RunRequest) -> FrameStream {
        let (frames, stream) = mpsc::unbounded_channel();
        tokio::spawn(Arc::clone(self).drive_online(request, frames));
        UnboundedReceiverStream::new(stream).boxed()
    }

    /// Returns the jobs that have items at the gate.
    pub(super) fn jobs(&self) -> Vec<Arc<str>> {
        let tickets = lock(&self.tickets);
        let mut jobs: Vec<_> = tickets
            .iter()
            .filter_map(|(_, channels)| channels.job.clone())
            .collect();
        jobs.sort();
        jobs.dedup();
        jobs
    }

    /// Stops the items of a job.
    pub(super) fn stop_job(&self, job: &str) {
        let mut tickets = lock(&self.tickets);
        for channels in tickets
            .values_mut()
            .filter(|channels| channels.job.as_deref() == Some(job))
        {
            if let Some(stop) = channels.stop.take() {
                // Fails if the item has just ended, which needs no signal.
                let _ = stop.send(());
            }
        }
    }

    /// Queues a request at the gate.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        class: RequestClass,
        wait: Duration,
        resumable: bool,
        job: Option<(Arc<str>, oneshot::Sender<()>)>,
    ) -> TicketGuard {
        let ticket = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, commands) = mpsc::unbounded_channel();
        let (job, stop) = job.unzip();
        lock(&self.tickets).insert(
            ticket,
            TicketChannels {
                commands: sender,
                job,
                stop,
            },
        );
        let guard = TicketGuard {
            ticket,
            commands,
            driver: Arc::clone(self),
        };
        let now = self.context.now();
        let request = GateRequest {
            ticket,
            class,
            deadline: now + wait,
            resumable,
        };
        self.apply_event(|gate, actions| gate.arrive(now, request, actions));
        guard
    }

    /// Applies an event to the gate, and passes the resulting actions on to the requests.
    fn apply_event(&self, event: impl FnOnce(&mut EndpointGate, &mut Vec<GateAction>)) {
        let mut actions = Vec::new();
        event(&mut lock(&self.gate), &mut actions);
        if actions.is_empty() {
            return;
        }
        let tickets = lock(&self.tickets);
        for action in actions {
            let (ticket, command) = match action {
                GateAction::Start(ticket) => (ticket, GateCommand::Start),
                GateAction::Cancel(ticket) => (ticket, GateCommand::Cancel),
                GateAction::Refuse {
                    ticket,
                    retry_after,
                } => (ticket, GateCommand::Refuse(retry_after)),
            };
            if let Some(channels) = tickets.get(&ticket) {
                // Fails if the request has ended; its dropped ticket guard ends it at the gate, too.
                let _ = channels.commands.send(command);
            }
        }
    }

    async fn drive_online(
        self: Arc<Self>,
        request: RunRequest,
        frames: mpsc::UnboundedSender<StreamFrame>,
    ) {
        let wait = Duration::from_millis(request.remaining_ms);
        let mut guard = self.enqueue(RequestClass::Online, wait, false, None);
        let mut first_command = guard.commands.try_recv().ok();
        // If the receiver is gone, `closed` below resolves.
        let _ = frames.send(StreamFrame::Load(self.gate_status(true)));
        if !matches!(first_command, Some(GateCommand::Refuse(_))) {
            // If the receiver is gone, `closed` below resolves.
            let _ = frames.send(StreamFrame::Admitted);
        }
        if first_command.is_none() {
            first_command = tokio::select! {
                command = guard.commands.recv() => command,
                () = frames.closed() => None,
            };
        }
        let last = match first_command {
            Some(GateCommand::Start) => {
                let call = self.call_of(&request);
                let mut text = String::new();
                let mut on_text = |part: &Arc<str>| {
                    text.push_str(part);
                    frames.send(StreamFrame::Text(Arc::clone(part))).is_ok()
                };
                let run = self.call_endpoint(&mut guard, call, &mut on_text);
                let end = tokio::select! {
                    end = run => end,
                    () = frames.closed() => return,
                };
                if matches!(end, CallEnd::NotRun(_)) {
                    let _ = frames.send(StreamFrame::Load(self.gate_status(false)));
                }
                final_frame(end, text)
            }
            Some(GateCommand::Refuse(retry_after)) => {
                refusal_frame("the endpoint has no room", retry_after)
            }
            Some(GateCommand::Cancel) | None => return,
        };
        // Fails if nobody waits for this attempt any more.
        let _ = frames.send(last);
    }

    fn call_of(&self, request: &RunRequest) -> EndpointCall {
        EndpointCall {
            id: Arc::clone(&request.attempt),
            model: self.model(),
            input: Arc::clone(&request.request.input),
            prior: "".into(),
            prior_tokens: 0,
            max_tokens: request.request.max_tokens,
        }
    }

    /// Returns the model name for calls: the model, and the adapter after a `+` if there is one.
    pub(super) fn model(&self) -> Arc<str> {
        let config = lock(&self.config);
        let service = &config.1;
        if service.adapter.is_empty() {
            Arc::clone(&service.model)
        } else {
            format!("{}+{}", service.model, service.adapter).into()
        }
    }

    /// Makes one call and passes its text on part by part, until it ends or the gate cancels it.
    pub(super) async fn call_endpoint(
        &self,
        guard: &mut TicketGuard,
        call: EndpointCall,
        on_text: &mut impl FnMut(&Arc<str>) -> bool,
    ) -> CallEnd {
        let (endpoint, service) = self.config();
        let mut tracked = self.balancer.track_call(&endpoint.service, &self.name);
        let starting = self
            .context
            .endpoints
            .start(&endpoint.address, service.protocol, call);
        let started = tokio::select! {
            started = starting => started,
            never = tracked.watch_first_token() => match never {},
        };
        let mut parts = match started {
            Ok(parts) => parts,
            Err(error) => return end_of_error(error, &tracked),
        };
        loop {
            let part = tokio::select! {
                part = parts.next() => part,
                never = tracked.watch_first_token() => match never {},
                command = guard.commands.recv() => match command {
                    Some(GateCommand::Cancel) => return CallEnd::Cancelled,
                    _ => continue,
                },
            };
            match part {
                Some(Ok(AnswerPart::Text(text))) => {
                    let (now, ticket) = (self.context.now(), guard.ticket);
                    self.apply_event(|gate, actions| gate.token(now, ticket, actions));
                    tracked.observe_token();
                    if !on_text(&text) {
                        return CallEnd::Cancelled;
                    }
                }
                Some(Ok(AnswerPart::End)) => return CallEnd::Done,
                Some(Err(error)) => return end_of_error(error, &tracked),
                None => {
                    tracked.observe_interrupted();
                    return CallEnd::Interrupted("the answer ended early".into());
                }
            }
        }
    }
}

fn end_of_error(error: EndpointError, tracked: &TrackedCall) -> CallEnd {
    match &error {
        EndpointError::NotSent { .. } | EndpointError::Refused { .. } => {
            tracked.observe_unreachable();
        }
        EndpointError::Broken { .. } => tracked.observe_interrupted(),
        EndpointError::Failed { .. } => {}
    }
    match error {
        EndpointError::NotSent { cause } | EndpointError::Refused { cause, .. } => {
            CallEnd::NotRun(cause)
        }
        EndpointError::Broken { cause } => CallEnd::Interrupted(cause),
        EndpointError::Failed { cause } => CallEnd::Failed(cause),
    }
}

fn final_frame(end: CallEnd, text: String) -> StreamFrame {
    let done = |outcome| StreamFrame::Done {
        outcome,
        recorded: false,
    };
    match end {
        CallEnd::Done => done(ItemOutcome::Done { text: text.into() }),
        CallEnd::Failed(reason) => done(ItemOutcome::Failed { reason }),
        CallEnd::NotRun(cause) => refusal_frame(&cause, super::UNAVAILABLE_RETRY_AFTER),
        CallEnd::Interrupted(cause) => StreamFrame::Refused(Refusal {
            reason: cause,
            ran: RunState::MayHaveRun,
            retry_after_ms: 0,
        }),
        CallEnd::Cancelled => StreamFrame::Refused(Refusal {
            reason: "the run was cancelled".into(),
            ran: RunState::MayHaveRun,
            retry_after_ms: 0,
        }),
    }
}
