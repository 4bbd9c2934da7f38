//! The gate of one endpoint: carries out what the decisions say.

use super::{refusal, settings_of};
use crate::balancer::{LoadBalancer, TrackedCall};
use crate::context::{HostContext, lock};
use fulmarswitch_decide::gate::{EndpointGate, GateAction, GateRequest, RequestClass, TicketId};
use fulmarswitch_endpoint::{AnswerPart, EndpointCall, EndpointError};
use fulmarswitch_peer::message::{LoadNote, RefusalNote, RunRequest, RunState};
use fulmarswitch_peer::{FrameStream, StreamFrame};
use fulmarswitch_records::config::{EndpointConfig, ServiceConfig};
use fulmarswitch_records::{ItemOutcome, SortedIndex};
use futures::StreamExt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// What the gate tells a request that waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GateOrder {
    /// Go to the endpoint now.
    Start,
    /// Break off and wait again.
    Cancel,
    /// Give up.
    Refuse(Duration),
}

/// A request's side of the gate.
pub(super) struct TicketPost {
    orders: mpsc::UnboundedSender<GateOrder>,
    job: Option<Arc<str>>,
    stop: Option<oneshot::Sender<()>>,
}

/// One ticket as its task holds it; dropping it tells the gate that the request has ended.
pub(super) struct HeldTicket {
    pub(super) ticket: TicketId,
    pub(super) orders: mpsc::UnboundedReceiver<GateOrder>,
    unit: Arc<GateUnit>,
}

impl Drop for HeldTicket {
    fn drop(&mut self) {
        lock(&self.unit.posts).remove(&self.ticket);
        let now = self.unit.context.now();
        let ticket = self.ticket;
        self.unit
            .decide(|gate, actions| gate.end(now, ticket, actions));
    }
}

/// How one run at the endpoint ended.
pub(super) enum CallEnd {
    /// The endpoint answered in full.
    Done,
    /// The endpoint reports a failure.
    Failed(Arc<str>),
    /// No byte went out, or the endpoint refused without running.
    NotRun(Arc<str>),
    /// The call broke off and may have run.
    Broken(Arc<str>),
    /// The gate cancelled the run.
    Cancelled,
}

/// The gate of one endpoint.
pub(super) struct GateUnit {
    pub(super) context: HostContext,
    pub(super) name: Arc<str>,
    balancer: Arc<LoadBalancer>,
    config: Mutex<(EndpointConfig, ServiceConfig)>,
    gate: Mutex<EndpointGate>,
    posts: Mutex<SortedIndex<TicketId, TicketPost>>,
    tickets: AtomicU64,
    open: AtomicBool,
    mixed: AtomicBool,
    pub(super) pulling: AtomicBool,
}

impl GateUnit {
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
            gate: Mutex::new(EndpointGate::new(settings_of(endpoint, service, true))),
            mixed: AtomicBool::new(true),
            posts: Mutex::default(),
            tickets: AtomicU64::new(0),
            open: AtomicBool::new(true),
            pulling: AtomicBool::new(false),
        })
    }

    pub(super) fn configure(&self, endpoint: &EndpointConfig, service: &ServiceConfig) {
        let mut config = lock(&self.config);
        if config.0 != *endpoint || config.1 != *service {
            *config = (endpoint.clone(), service.clone());
            self.apply(&config);
        }
        drop(config);
        self.set_leaving(endpoint.leaving);
    }

    /// Says whether the endpoint is leaving; then nothing that waits here starts any more.
    pub(super) fn set_leaving(&self, leaving: bool) {
        lock(&self.gate).set_leaving(leaving);
        self.poll();
    }

    /// Says whether batch runs beside online requests; it does where the service has few endpoints.
    pub(super) fn set_mixed(&self, mixed: bool) {
        if self.mixed.swap(mixed, Ordering::Relaxed) != mixed {
            self.apply(&lock(&self.config));
        }
    }

    fn apply(&self, config: &(EndpointConfig, ServiceConfig)) {
        let mixed = self.mixed.load(Ordering::Relaxed);
        lock(&self.gate).configure(settings_of(&config.0, &config.1, mixed));
    }

    /// Says whether the gate may pull batch items.
    pub(super) fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::Relaxed);
    }

    pub(super) fn held(&self) -> usize {
        lock(&self.posts).len()
    }

    /// Returns the number of batch items held of each workspace.
    pub(super) fn held_by_workspace(&self) -> SortedIndex<Arc<str>, u32> {
        let mut held: SortedIndex<Arc<str>, u32> = SortedIndex::new();
        for (_, post) in lock(&self.posts).iter() {
            let Some((workspace, _)) = post.job.as_deref().and_then(|job| job.split_once('/'))
            else {
                continue;
            };
            match held.get_mut(workspace) {
                Some(items) => *items += 1,
                None => {
                    held.insert(workspace.into(), 1);
                }
            }
        }
        held
    }

    pub(super) fn config(&self) -> (EndpointConfig, ServiceConfig) {
        lock(&self.config).clone()
    }

    /// Says what the endpoint holds, for those who choose endpoints.
    fn load_note(&self, takes_calls: bool) -> LoadNote {
        let share = lock(&self.gate).online_load();
        let (endpoint, _) = self.config();
        let suspected = self.balancer.is_suspected(&endpoint.service, &self.name);
        LoadNote {
            held: share.held,
            limit: share.limit,
            takes_calls,
            suspected,
        }
    }

    /// Returns how many batch items to pull now.
    pub(super) fn batch_room(&self) -> usize {
        let leaving = lock(&self.config).0.leaving;
        if leaving || !self.open.load(Ordering::Relaxed) {
            return 0;
        }
        lock(&self.gate).batch_room()
    }

    pub(super) fn poll(&self) {
        let now = self.context.now();
        self.decide(|gate, actions| gate.poll(now, actions));
    }

    /// Runs an online request; the stream carries its frames.
    pub(super) fn run_online(self: &Arc<Self>, request: RunRequest) -> FrameStream {
        let (frames, stream) = mpsc::unbounded_channel();
        tokio::spawn(Arc::clone(self).drive_online(request, frames));
        UnboundedReceiverStream::new(stream).boxed()
    }

    /// Returns the jobs that have items here.
    pub(super) fn jobs(&self) -> Vec<Arc<str>> {
        let posts = lock(&self.posts);
        let mut jobs: Vec<_> = posts
            .iter()
            .filter_map(|(_, post)| post.job.clone())
            .collect();
        jobs.sort();
        jobs.dedup();
        jobs
    }

    /// Stops the items of a job.
    pub(super) fn stop_job(&self, job: &str) {
        let mut posts = lock(&self.posts);
        for post in posts
            .values_mut()
            .filter(|post| post.job.as_deref() == Some(job))
        {
            if let Some(stop) = post.stop.take() {
                // The item may have ended just now.
                let _ = stop.send(());
            }
        }
    }

    /// Queues a request at the gate.
    pub(super) fn enter(
        self: &Arc<Self>,
        class: RequestClass,
        wait: Duration,
        resumable: bool,
        job: Option<(Arc<str>, oneshot::Sender<()>)>,
    ) -> HeldTicket {
        let ticket = TicketId(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (sender, orders) = mpsc::unbounded_channel();
        let (job, stop) = job.unzip();
        lock(&self.posts).insert(
            ticket,
            TicketPost {
                orders: sender,
                job,
                stop,
            },
        );
        let held = HeldTicket {
            ticket,
            orders,
            unit: Arc::clone(self),
        };
        let now = self.context.now();
        let request = GateRequest {
            ticket,
            class,
            deadline: now + wait,
            resumable,
        };
        self.decide(|gate, actions| gate.arrive(now, request, actions));
        held
    }

    /// Lets the gate decide, and passes its actions on to the requests.
    fn decide(&self, event: impl FnOnce(&mut EndpointGate, &mut Vec<GateAction>)) {
        let mut actions = Vec::new();
        event(&mut lock(&self.gate), &mut actions);
        if actions.is_empty() {
            return;
        }
        let posts = lock(&self.posts);
        for action in actions {
            let (ticket, order) = match action {
                GateAction::Start(ticket) => (ticket, GateOrder::Start),
                GateAction::Cancel(ticket) => (ticket, GateOrder::Cancel),
                GateAction::Refuse {
                    ticket,
                    retry_after,
                } => (ticket, GateOrder::Refuse(retry_after)),
            };
            if let Some(post) = posts.get(&ticket) {
                // A request that has ended tells the gate when its ticket is dropped.
                let _ = post.orders.send(order);
            }
        }
    }

    async fn drive_online(
        self: Arc<Self>,
        request: RunRequest,
        frames: mpsc::UnboundedSender<StreamFrame>,
    ) {
        let wait = Duration::from_millis(request.left_ms);
        let mut held = self.enter(RequestClass::Online, wait, false, None);
        let mut first = held.orders.try_recv().ok();
        // A stream that is gone shows itself in `closed` below.
        let _ = frames.send(StreamFrame::Load(self.load_note(true)));
        if !matches!(first, Some(GateOrder::Refuse(_))) {
            // A stream that is gone shows itself in `closed` below.
            let _ = frames.send(StreamFrame::Admitted);
        }
        if first.is_none() {
            first = tokio::select! {
                order = held.orders.recv() => order,
                () = frames.closed() => None,
            };
        }
        let last = match first {
            Some(GateOrder::Start) => {
                let call = self.call_of(&request);
                let mut text = String::new();
                let mut show = |part: &Arc<str>| {
                    text.push_str(part);
                    frames.send(StreamFrame::Text(Arc::clone(part))).is_ok()
                };
                let run = self.call_endpoint(&mut held, call, &mut show);
                let end = tokio::select! {
                    end = run => end,
                    () = frames.closed() => return,
                };
                if matches!(end, CallEnd::NotRun(_)) {
                    let _ = frames.send(StreamFrame::Load(self.load_note(false)));
                }
                last_frame(end, text)
            }
            Some(GateOrder::Refuse(retry_after)) => {
                refusal("the endpoint has no room", retry_after)
            }
            Some(GateOrder::Cancel) | None => return,
        };
        // Nobody listens if this fails; the outcome is then found by key.
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

    /// Returns the model that calls name, with the adapter behind a `+`.
    pub(super) fn model(&self) -> Arc<str> {
        let config = lock(&self.config);
        let service = &config.1;
        if service.adapter.is_empty() {
            Arc::clone(&service.model)
        } else {
            format!("{}+{}", service.model, service.adapter).into()
        }
    }

    /// Makes one call and shows its text part by part, until it ends or the gate cancels it.
    pub(super) async fn call_endpoint(
        &self,
        held: &mut HeldTicket,
        call: EndpointCall,
        show: &mut impl FnMut(&Arc<str>) -> bool,
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
            Err(error) => return error_end(error, &tracked),
        };
        loop {
            let part = tokio::select! {
                part = parts.next() => part,
                never = tracked.watch_first_token() => match never {},
                order = held.orders.recv() => match order {
                    Some(GateOrder::Cancel) => return CallEnd::Cancelled,
                    _ => continue,
                },
            };
            match part {
                Some(Ok(AnswerPart::Text(text))) => {
                    let (now, ticket) = (self.context.now(), held.ticket);
                    self.decide(|gate, actions| gate.token(now, ticket, actions));
                    tracked.observe_token();
                    if !show(&text) {
                        return CallEnd::Cancelled;
                    }
                }
                Some(Ok(AnswerPart::End)) => return CallEnd::Done,
                Some(Err(error)) => return error_end(error, &tracked),
                None => {
                    tracked.observe_interrupted();
                    return CallEnd::Broken("the answer ended early".into());
                }
            }
        }
    }
}

fn error_end(error: EndpointError, tracked: &TrackedCall) -> CallEnd {
    match &error {
        EndpointError::NotSent { .. } | EndpointError::Refused { .. } => {
            tracked.observe_unreachable()
        }
        EndpointError::Broken { .. } => tracked.observe_interrupted(),
        EndpointError::Failed { .. } => {}
    }
    match error {
        EndpointError::NotSent { cause } | EndpointError::Refused { cause, .. } => {
            CallEnd::NotRun(cause)
        }
        EndpointError::Broken { cause } => CallEnd::Broken(cause),
        EndpointError::Failed { cause } => CallEnd::Failed(cause),
    }
}

fn last_frame(end: CallEnd, text: String) -> StreamFrame {
    let done = |outcome| StreamFrame::Done {
        outcome,
        recorded: false,
    };
    match end {
        CallEnd::Done => done(ItemOutcome::Done { text: text.into() }),
        CallEnd::Failed(reason) => done(ItemOutcome::Failed { reason }),
        CallEnd::NotRun(cause) => refusal(&cause, super::MOVED_RETRY),
        CallEnd::Broken(cause) => StreamFrame::Refused(RefusalNote {
            reason: cause,
            ran: RunState::MayHaveRun,
            retry_after_ms: 0,
        }),
        CallEnd::Cancelled => StreamFrame::Refused(RefusalNote {
            reason: "the run was cancelled".into(),
            ran: RunState::MayHaveRun,
            retry_after_ms: 0,
        }),
    }
}
