//! Runs the items of jobs in the capacity that online requests leave, and gives way to these at once.

use crate::endpoint::ListedEndpoint;
use crate::events::EventSplitter;
use crate::ledger::{ItemProgress, ItemState, LedgerJob};
use crate::link::{AppendError, CallError, CallTerms, EndpointCall, KeyedRecord, LogPart};
use crate::load::RunClass;
use crate::node::{JOB_PERIOD, RunGuard, RunningItem, SwitchNode, SwitchState, millis, wall_ms};
use crate::record::{ItemOutcome, JobRecord, TextPlace, split_frames, text_key};
use crate::route::{RouteKind, RouteTable, ServiceRoute};
use crate::schedule::{ItemName, WaitingItem, order_items, start_share};
use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use rand::Rng;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time between looks at what may start and what has to give way.
const PLAN_PERIOD: Duration = Duration::from_millis(50);
/// Time beyond the silence after which a host counts as lost until a started host has heard the others.
const HEAR_MARGIN: Duration = Duration::from_millis(300);
/// Longest run of an item in one go.
const RUN_LIMIT: Duration = Duration::from_secs(30);
/// Silence of an endpoint after which an item goes on elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time in which outcomes are gathered for one append.
const LINGER: Duration = Duration::from_millis(30);
/// Most outcomes of one append.
const MOST_OUTCOMES: usize = 32;
/// Most bytes of texts in one append; the log takes 2 MiB.
const MOST_TEXT_BYTES: usize = 1_500_000;
/// First pause after an append failed; doubles.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after an append failed.
const RETRY_LONGEST: Duration = Duration::from_secs(1);
/// Longest time that a host which stops spends on handing items on.
const HAND_ON_LIMIT: Duration = Duration::from_secs(2);
/// Longest time until cancelled runs have ended.
const CANCEL_LIMIT: Duration = Duration::from_millis(300);

/// An outcome to be recorded.
struct ItemEnd {
    name: ItemName,
    fact: ItemFact,
}

/// What is recorded of an item.
enum ItemFact {
    /// Its whole output.
    Completed(Bytes),
    /// It cannot be done.
    Dead,
    /// A run of it failed; it may run again.
    Failed,
}

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

/// Starts and cancels items for as long as the host runs.
pub(crate) async fn run_items(node: Arc<SwitchNode>) {
    let (ends, queue) = mpsc::unbounded_channel();
    tokio::spawn(record_ends(node.clone(), queue));
    loop {
        // The end of the wait matters, not whether it was asked for.
        let _ = timeout(PLAN_PERIOD, node.batch_now.notified()).await;
        let mut state = node.lock();
        let state = &mut *state;
        cancel_ended(state);
        give_way(&node, state);
        if !state.stopping {
            start_items(&node, state, &ends);
        }
    }
}

/// Cancels the runs of items that have ended.
fn cancel_ended(state: &mut SwitchState) {
    let ledger = &state.ledger;
    for running in &mut state.running {
        let job = ledger.get(&running.name.job);
        let is_open = job.is_some_and(|job| {
            !job.ended && job.items[running.name.item as usize].state == ItemState::Open
        });
        if !is_open && let Some(cancel) = running.cancel.take() {
            // A run that has just ended by itself no longer listens.
            let _ = cancel.send(());
        }
    }
    state.settling.retain(|name| {
        ledger
            .get(&name.job)
            .is_some_and(|job| !job.ended && job.items[name.item as usize].state == ItemState::Open)
    });
    state.progress.retain(|(name, _)| {
        ledger
            .get(&name.job)
            .is_some_and(|job| !job.ended && job.items[name.item as usize].state == ItemState::Open)
    });
}

/// Cancels items at endpoints whose slots do not suffice; those with the least output first.
fn give_way(node: &SwitchNode, state: &mut SwitchState) {
    let mut endpoints: Vec<Arc<str>> = state
        .running
        .iter()
        .map(|running| running.endpoint.clone())
        .collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    for id in endpoints {
        let Some(endpoint) = state.endpoints.get(&id).cloned() else {
            continue;
        };
        let excess = state.load.batch_excess(&endpoint) as usize;
        if excess == 0 {
            continue;
        }
        state.load.note_gave_way(&id, Instant::now());
        let here = |running: &&mut RunningItem| running.endpoint == id;
        let cancelled = state
            .running
            .iter_mut()
            .filter(here)
            .filter(|running| running.cancel.is_none())
            .count();
        let mut runs: Vec<_> = state
            .running
            .iter_mut()
            .filter(here)
            .filter(|running| running.cancel.is_some())
            .collect();
        runs.sort_by_key(|running| running.bytes);
        for running in runs.into_iter().take(excess.saturating_sub(cancelled)) {
            info!(node.parts.logger, "item gives way"; "job" => &*running.name.job,
                "item" => running.name.item, "endpoint" => &*id, "excess" => excess);
            if let Some(cancel) = running.cancel.take() {
                let _ = cancel.send(());
            }
        }
    }
}

/// Starts items where slots are free.
fn start_items(
    node: &Arc<SwitchNode>,
    state: &mut SwitchState,
    ends: &mpsc::UnboundedSender<ItemEnd>,
) {
    let Some(routes) = state.routes.clone() else {
        return;
    };
    let now = Instant::now();
    let mut waiting = waiting_items(node, state, &routes, now, ends);
    order_items(&mut waiting);
    let hosts = u32::try_from(state.members.alive(now).count() + 1).unwrap_or(u32::MAX);
    let mut shares: Vec<(Arc<str>, u32)> = Vec::new();
    for item in waiting {
        let Some((call, route)) = prepare(state, &routes, &item.name) else {
            continue;
        };
        let draw = state.rng.random::<f64>();
        let Some(service) = route.pick_service(draw) else {
            continue;
        };
        let index = match shares.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let free = state.load.free_slots(&state.endpoints, service, now);
                shares.insert(index, (service.clone(), start_share(free, hosts)));
                index
            }
        };
        if shares[index].1 == 0 {
            continue;
        }
        let endpoints = &state.endpoints;
        let picked = state
            .load
            .pick_batch(endpoints, service, now, &mut state.rng);
        let Some(endpoint) = picked else {
            continue;
        };
        shares[index].1 -= 1;
        start_item(node, state, item.name, &endpoint, call, ends);
    }
}

/// Items that this host is to run and that do not run yet.
fn waiting_items(
    node: &SwitchNode,
    state: &mut SwitchState,
    routes: &RouteTable,
    now: Instant,
    ends: &mpsc::UnboundedSender<ItemEnd>,
) -> Vec<WaitingItem> {
    let own = &*node.settings.card.name;
    let wall = wall_ms();
    let mut waiting = Vec::new();
    let mut dead = Vec::new();
    // A host that has just started has not heard the others yet, and must not take all items for its own.
    if now.duration_since(node.started) < state.members.silence_limit() + HEAR_MARGIN {
        return waiting;
    }
    let own_claims = state.own_claims(usize::MAX);
    let claimed = state.members.claimed(own, &own_claims, now);
    for job in state.ledger.open_jobs() {
        let route = routes.find(&job.host, &job.path_prefix);
        let is_over = route.is_none_or(|route| wall > job.accepted_ms + millis(route.retention));
        for (index, item) in job.items.iter().enumerate() {
            if item.state != ItemState::Open {
                continue;
            }
            let name = item_name(job, index);
            let begun = state.progress.iter().any(|(begun, _)| *begun == name);
            if claimed.binary_search(&name.key()).is_ok()
                || !(begun || state.members.runner(&name, own, now) == own)
                || state.settling.contains(&name)
                || state.running.iter().any(|running| running.name == name)
            {
                continue;
            }
            if is_over {
                dead.push(name);
            } else if let Some(route) = route
                && state.histories.may_run(&name, now)
            {
                waiting.push(WaitingItem {
                    due_ms: job.accepted_ms + millis(route.completion_target),
                    begun,
                    name,
                });
            }
        }
    }
    for name in dead {
        info!(node.parts.logger, "item given up"; "job" => &*name.job, "item" => name.item,
            "cause" => "its time or its route is over");
        state.settling.push(name.clone());
        let fact = ItemFact::Dead;
        send_end(ends, ItemEnd { name, fact });
    }
    waiting
}

fn item_name(job: &LedgerJob, index: usize) -> ItemName {
    ItemName {
        job: job.id.clone(),
        item: u32::try_from(index).unwrap_or(u32::MAX),
    }
}

/// Makes the call of an item.
fn prepare(
    state: &SwitchState,
    routes: &RouteTable,
    name: &ItemName,
) -> Option<(EndpointCall, Arc<ServiceRoute>)> {
    let job = state.ledger.get(&name.job)?;
    let item = &job.items[name.item as usize].accepted;
    let route = routes.find(&job.host, &item.path)?;
    if route.kind != RouteKind::Batch {
        return None;
    }
    let mut headers = HeaderMap::new();
    for (header, value) in &item.headers {
        let parsed = (
            HeaderName::from_bytes(header.as_bytes()),
            HeaderValue::from_str(value),
        );
        if let (Ok(header), Ok(value)) = parsed {
            headers.append(header, value);
        }
    }
    let call = EndpointCall {
        id: item.id.clone(),
        method: Method::POST,
        host: job.host.clone(),
        target: item.path.clone(),
        headers,
        body: item.body.clone(),
    };
    Some((call, route.clone()))
}

fn start_item(
    node: &Arc<SwitchNode>,
    state: &mut SwitchState,
    name: ItemName,
    endpoint: &Arc<ListedEndpoint>,
    call: EndpointCall,
    ends: &mpsc::UnboundedSender<ItemEnd>,
) {
    let progress = take_progress(state, &name);
    let (cancel, cancelled) = oneshot::channel();
    info!(node.parts.logger, "item started"; "job" => &*name.job, "item" => name.item,
        "id" => &*call.id, "endpoint" => &*endpoint.id, "after_event" => progress.last_event,
        "load" => state.load.total(&endpoint.id).total());
    state.running.push(RunningItem {
        name: name.clone(),
        endpoint: endpoint.id.clone(),
        bytes: progress.text.len(),
        cancel: Some(cancel),
    });
    let run = ItemRun {
        guard: RunGuard::begin(node, state, endpoint, RunClass::Batch),
        node: node.clone(),
        name,
        endpoint: endpoint.clone(),
        call,
        progress,
    };
    tokio::spawn(run.run(cancelled, ends.clone()));
}

fn take_progress(state: &mut SwitchState, name: &ItemName) -> ItemProgress {
    if let Some(index) = state.progress.iter().position(|(begun, _)| begun == name) {
        return state.progress.swap_remove(index).1;
    }
    let job = state.ledger.get(&name.job);
    let left = job.and_then(|job| job.items[name.item as usize].progress.clone());
    left.unwrap_or_default()
}

/// One run of an item.
struct ItemRun {
    node: Arc<SwitchNode>,
    name: ItemName,
    endpoint: Arc<ListedEndpoint>,
    guard: RunGuard,
    call: EndpointCall,
    progress: ItemProgress,
}

impl ItemRun {
    async fn run(mut self, cancelled: oneshot::Receiver<()>, ends: mpsc::UnboundedSender<ItemEnd>) {
        let begun = Instant::now();
        let end = tokio::select! {
            biased;
            _ = cancelled => RunEnd::Cancelled,
            end = self.read_events() => end,
        };
        let Self {
            node,
            name,
            endpoint,
            guard,
            progress,
            ..
        } = self;
        drop(guard);
        let mut state = node.lock();
        let state = &mut *state;
        state.running.retain(|running| running.name != name);
        let now = Instant::now();
        let outcome = match &end {
            RunEnd::Completed => "completed",
            RunEnd::Cancelled => "cancelled",
            RunEnd::NotRun => "not run",
            RunEnd::Broken(_) => "broken off",
            RunEnd::Failed => "failed",
            RunEnd::Impossible => "impossible",
        };
        node.metrics.count_item(outcome);
        let cause = match &end {
            RunEnd::Broken(error) => Some(error.to_string()),
            _ => None,
        };
        info!(node.parts.logger, "item run ended"; "job" => &*name.job, "item" => name.item,
            "endpoint" => &*endpoint.id, "outcome" => outcome, "cause" => cause,
            "last_event" => progress.last_event, "after_ms" => millis(begun.elapsed()));
        let is_dead = match end {
            RunEnd::Completed => {
                state.load.note_success(&endpoint.id);
                state.histories.forget(&name);
                state.settling.push(name.clone());
                let fact = ItemFact::Completed(progress.text.into());
                send_end(&ends, ItemEnd { name, fact });
                return;
            }
            RunEnd::Cancelled => false,
            RunEnd::NotRun => {
                state.load.note_full(&endpoint.id, now);
                false
            }
            RunEnd::Broken(_) => {
                state.load.note_failure(&endpoint.id, now);
                state.histories.note_break(&name, now);
                false
            }
            RunEnd::Failed => {
                let fact = ItemFact::Failed;
                send_end(
                    &ends,
                    ItemEnd {
                        name: name.clone(),
                        fact,
                    },
                );
                let failures = state.histories.note_failure(&name, now);
                failures.max(recorded_failures(state, &name) + 1) >= item_attempts(state, &name)
            }
            RunEnd::Impossible => true,
        };
        if is_dead {
            state.histories.forget(&name);
            state.settling.push(name.clone());
            let fact = ItemFact::Dead;
            send_end(&ends, ItemEnd { name, fact });
        } else if progress.last_event.is_some() {
            state.progress.push((name, progress));
        }
    }

    async fn read_events(&mut self) -> RunEnd {
        let deadline = Instant::now() + RUN_LIMIT;
        let terms = CallTerms {
            remaining: RUN_LIMIT,
            resume_after: self.progress.last_event,
        };
        let call = self.node.parts.link.call(&self.endpoint, &self.call, terms);
        let mut answer = match timeout_at(deadline, call).await {
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
        let mut splitter = EventSplitter::default();
        loop {
            let limit = deadline.min(Instant::now() + SILENCE_LIMIT);
            match timeout_at(limit, answer.body.next()).await {
                Ok(Some(Ok(chunk))) => {
                    if !splitter.push(&chunk) {
                        return broken("an event is over 1 MiB");
                    }
                }
                Ok(None) if splitter.has_rest() => return broken("the last event is not whole"),
                Ok(None) if self.progress.last_event.is_none() => return broken("no event came"),
                Ok(None) => return RunEnd::Completed,
                Ok(Some(Err(error))) => return RunEnd::Broken(error),
                Err(_) => return broken("the endpoint fell silent"),
            }
            while let Some(event) = splitter.next_event() {
                let Some(id) = event.id else {
                    continue;
                };
                if self.progress.last_event.is_some_and(|last| id != last + 1) {
                    return broken("events are missing");
                }
                if self.progress.last_event.is_some() {
                    self.progress.text.push(b'\n');
                }
                self.progress.text.extend(event.data());
                self.progress.last_event = Some(id);
            }
        }
    }
}

fn broken(cause: &str) -> RunEnd {
    RunEnd::Broken(CallError::Broken {
        cause: cause.into(),
    })
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

fn send_end(ends: &mpsc::UnboundedSender<ItemEnd>, end: ItemEnd) {
    // The receiver lives as long as the host.
    let _ = ends.send(end);
}

/// Records outcomes, several with one append.
async fn record_ends(node: Arc<SwitchNode>, mut queue: mpsc::UnboundedReceiver<ItemEnd>) {
    let mut ends = Vec::new();
    while queue.recv_many(&mut ends, 1).await > 0 {
        sleep(LINGER).await;
        let mut bytes: usize = ends.iter().map(end_bytes).sum();
        while ends.len() < MOST_OUTCOMES && bytes < MOST_TEXT_BYTES {
            let Ok(end) = queue.try_recv() else {
                break;
            };
            bytes += end_bytes(&end);
            ends.push(end);
        }
        let outcomes = write_texts(&node, &ends).await;
        write_outcomes(&node, &outcomes).await;
        ends.clear();
    }
}

fn end_bytes(end: &ItemEnd) -> usize {
    match &end.fact {
        ItemFact::Completed(text) => text.len(),
        ItemFact::Dead | ItemFact::Failed => 0,
    }
}

/// Writes the texts of completed items until the log takes them, and returns the records of their outcomes.
async fn write_texts(node: &SwitchNode, ends: &[ItemEnd]) -> Vec<JobRecord> {
    let mut frames: Vec<KeyedRecord> = Vec::new();
    let mut records = Vec::new();
    for end in ends {
        let (job, item) = (end.name.job.clone(), end.name.item);
        let outcome = match &end.fact {
            ItemFact::Failed => {
                records.push(JobRecord::Failed { job, item });
                continue;
            }
            ItemFact::Dead => ItemOutcome::Dead,
            ItemFact::Completed(text) => {
                let number = node.lock().numbers.next_number();
                let parts = split_frames(&text_key(number), text);
                let place = TextPlace {
                    offset: frames.len() as u64,
                    number,
                    frames: u32::try_from(parts.len()).unwrap_or(u32::MAX),
                    bytes: u32::try_from(text.len()).unwrap_or(u32::MAX),
                };
                frames.extend(parts);
                node.lock().texts.put(number, text.clone());
                ItemOutcome::Completed(place)
            }
        };
        records.push(JobRecord::Settled { job, item, outcome });
    }
    if !frames.is_empty() {
        let topic = &node.settings.topics.texts;
        let first = append_until_taken(node, topic, || frames.clone()).await;
        for record in &mut records {
            if let JobRecord::Settled {
                outcome: ItemOutcome::Completed(place),
                ..
            } = record
            {
                place.offset += first;
            }
        }
    }
    records
}

/// Writes outcomes until the log takes them. Each try has keys of its own: a repeated key would move the
/// outcome to another place for readers that start from the newest records.
async fn write_outcomes(node: &SwitchNode, records: &[JobRecord]) {
    let topic = &node.settings.topics.jobs;
    append_until_taken(node, topic, || encode_all(node, records)).await;
    node.tail_now.notify_one();
}

fn encode_all(node: &SwitchNode, records: &[JobRecord]) -> Vec<KeyedRecord> {
    let mut frames = Vec::new();
    for record in records {
        let number = node.lock().numbers.next_number();
        match record.encode(number) {
            Ok(parts) => frames.extend(parts),
            Err(error) => warn!(node.parts.logger, "record not encoded";
                "job" => &**record.job(), "cause" => %error),
        }
    }
    frames
}

/// Appends until the log says that it took the records. They may stand there twice; readers take the first.
async fn append_until_taken(
    node: &SwitchNode,
    part: &LogPart,
    frames: impl Fn() -> Vec<KeyedRecord>,
) -> u64 {
    let mut pause = RETRY_FIRST;
    loop {
        match node.parts.log.append(part, &frames()).await {
            Ok(first) => {
                node.metrics.count_log_call("appended");
                return first;
            }
            Err(error) => {
                node.metrics.count_log_call("not appended");
                warn!(node.parts.logger, "outcome not recorded yet"; "cause" => %error);
                let jitter = node.lock().rng.random_range(0.5..1.0);
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(RETRY_LONGEST);
            }
        }
    }
}

/// Cancels all runs and leaves their output so far on the log for the hosts that go on with them.
pub(crate) async fn hand_on(node: &Arc<SwitchNode>) {
    let begun = Instant::now();
    for running in &mut node.lock().running {
        if let Some(cancel) = running.cancel.take() {
            let _ = cancel.send(());
        }
    }
    while !node.lock().running.is_empty() && begun.elapsed() < CANCEL_LIMIT {
        sleep(Duration::from_millis(5)).await;
    }
    let records: Vec<JobRecord> = {
        let mut state = node.lock();
        let state = &mut *state;
        state.handing = state
            .progress
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        state
            .progress
            .drain(..)
            .filter_map(|(name, progress)| {
                Some(JobRecord::Progress {
                    job: name.job,
                    item: name.item,
                    last_event: progress.last_event?,
                    text: progress.text.into(),
                })
            })
            .collect()
    };
    let frames = encode_all(node, &records);
    let mut outcome = "nothing to hand on";
    if !frames.is_empty() {
        outcome = match timeout(HAND_ON_LIMIT, node.append_frames(&frames)).await {
            Ok(Ok(_)) => "handed on",
            // The items run again from their start at another host.
            Ok(Err(AppendError::Refused { .. } | AppendError::Unknown { .. })) | Err(_) => "lost",
        };
    }
    while !node.lock().settling.is_empty() && begun.elapsed() < HAND_ON_LIMIT {
        sleep(Duration::from_millis(20)).await;
    }
    // Other hosts leave the items alone until they have read what was handed on.
    sleep(JOB_PERIOD + HEAR_MARGIN).await;
    node.lock().handing.clear();
    info!(node.parts.logger, "items handed on"; "count" => records.len(), "outcome" => outcome);
}
