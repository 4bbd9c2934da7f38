//! Simulation of one run: engines, gates, and the tasks of online requests and batch items.
//!
//! A run uses a single thread and a paused clock, so it is deterministic. The actions of a gate reach the task
//! of the request through a channel, as in the daemon.

mod callers;
mod items;

use crate::entry::EntryView;
use crate::policy::{GatePolicy, PolicyKind};
use crate::scenario::{
    BETWEEN_TOKENS_OBJECTIVE, ENDPOINTS, ENTRY_HOSTS, FIRST_TOKEN_OBJECTIVE, FaultKind, FaultPlan,
    RunScenario,
};
use crate::stats::RunStats;
use fulmarswitch_decide::gate::{GateAction, GateRequest, GateSettings, RequestClass, TicketId};
use fulmarswitch_decide::online_pool::MIN_ENDPOINTS_TO_SPLIT;
use fulmarswitch_standins::engine::{EngineFaults, MemoryEngine};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Interval between polls of a gate, as in the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit on concurrent requests at a gate; the default of the configuration.
const MAX_CONCURRENT: u32 = 256;
/// Returns the settings of every gate in the runs.
#[must_use]
pub fn gate_settings() -> GateSettings {
    GateSettings {
        max_concurrent: MAX_CONCURRENT,
        first_token: FIRST_TOKEN_OBJECTIVE,
        between_tokens: BETWEEN_TOKENS_OBJECTIVE,
        mixed: ENDPOINTS < MIN_ENDPOINTS_TO_SPLIT,
    }
}

/// Locks a mutex and ignores poisoning: no holder leaves inconsistent state behind when it panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Channels to the tasks of the requests at one gate, in ascending order of tickets for binary search.
type ActionChannels = Vec<(TicketId, mpsc::UnboundedSender<GateAction>)>;

/// An engine with its gate.
struct SimulatedEndpoint {
    engine: Arc<MemoryEngine>,
    policy: Box<dyn GatePolicy>,
    channels: ActionChannels,
    next_ticket: u64,
    leaving: bool,
    pulling: bool,
}

/// The state of one run.
struct Simulation {
    scenario: RunScenario,
    kind: PolicyKind,
    started: Instant,
    endpoints: Vec<Mutex<SimulatedEndpoint>>,
    entries: Vec<Mutex<EntryView>>,
    stats: Mutex<RunStats>,
    /// Number of batch items issued so far, by index of the job.
    items_issued: Mutex<Vec<u64>>,
}

/// A request's ticket at a gate. Dropping it reports the end of the request to the gate.
struct GateTicket {
    simulation: Arc<Simulation>,
    endpoint: usize,
    ticket: TicketId,
    gate_actions: mpsc::UnboundedReceiver<GateAction>,
}

impl Drop for GateTicket {
    fn drop(&mut self) {
        let (now, ticket) = (self.simulation.now(), self.ticket);
        let mut endpoint = lock(&self.simulation.endpoints[self.endpoint]);
        endpoint.channels.retain(|channel| channel.0 != ticket);
        endpoint.apply_event(|policy, actions| policy.end(now, ticket, actions));
        drop(endpoint);
        if self.simulation.kind.pulls_on_end() {
            self.simulation.pull_items(self.endpoint);
        }
    }
}

impl SimulatedEndpoint {
    fn apply_event(&mut self, event: impl FnOnce(&mut dyn GatePolicy, &mut Vec<GateAction>)) {
        let mut actions = Vec::new();
        event(&mut *self.policy, &mut actions);
        for action in actions {
            let (GateAction::Start(ticket)
            | GateAction::Cancel(ticket)
            | GateAction::Refuse { ticket, .. }) = action;
            if let Ok(at) = self.channels.binary_search_by_key(&ticket, |entry| entry.0) {
                // The task may have ended already; dropping its `GateTicket` reports that to the gate.
                let _ = self.channels[at].1.send(action);
            }
        }
    }
}

impl Simulation {
    fn new(scenario: &RunScenario, kind: PolicyKind) -> Arc<Self> {
        let endpoint = || {
            Mutex::new(SimulatedEndpoint {
                engine: MemoryEngine::new(EngineFaults::default(), &[]),
                policy: kind.gate(&gate_settings()),
                channels: Vec::new(),
                next_ticket: 0,
                leaving: false,
                pulling: false,
            })
        };
        Arc::new(Self {
            scenario: scenario.clone(),
            kind,
            started: Instant::now(),
            endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
            entries: (0..ENTRY_HOSTS)
                .map(|entry| Mutex::new(EntryView::new(kind, entry)))
                .collect(),
            stats: Mutex::default(),
            items_issued: Mutex::new(vec![0; items::JOBS.len()]),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the warm-up is over, so that events are counted.
    fn past_warmup(&self) -> bool {
        self.now() >= self.scenario.warmup
    }

    fn enqueue(
        self: &Arc<Self>,
        endpoint: usize,
        class: RequestClass,
        wait: Duration,
    ) -> GateTicket {
        let (sender, gate_actions) = mpsc::unbounded_channel();
        let now = self.now();
        let mut endpoint_state = lock(&self.endpoints[endpoint]);
        let ticket = TicketId(endpoint_state.next_ticket);
        endpoint_state.next_ticket += 1;
        endpoint_state.channels.push((ticket, sender));
        let arrival = GateRequest {
            ticket,
            class,
            deadline: now + wait,
            resumable: class == RequestClass::Batch,
        };
        endpoint_state.apply_event(|policy, actions| policy.arrive(now, arrival, actions));
        drop(endpoint_state);
        let simulation = Arc::clone(self);
        GateTicket {
            simulation,
            endpoint,
            ticket,
            gate_actions,
        }
    }

    fn record_token(&self, endpoint: usize, ticket: TicketId) {
        let now = self.now();
        lock(&self.endpoints[endpoint])
            .apply_event(|policy, actions| policy.token(now, ticket, actions));
    }

    async fn inject_fault(self: Arc<Self>, fault: FaultPlan) {
        tokio::time::sleep(fault.at).await;
        for at in &fault.endpoints {
            let mut endpoint = lock(&self.endpoints[*at]);
            match fault.kind {
                FaultKind::Slow(factor) => endpoint.engine.set_faults(|f| f.slow_factor = factor),
                FaultKind::Lost => endpoint.engine.set_faults(|f| f.lost = true),
                FaultKind::Leave => endpoint.leaving = true,
            }
        }
    }

    async fn poll_gates(self: Arc<Self>) {
        loop {
            let now = self.now();
            for at in 0..ENDPOINTS {
                lock(&self.endpoints[at]).apply_event(|policy, actions| policy.poll(now, actions));
                self.pull_items(at);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Runs a scenario under a policy and returns the statistics after the warm-up.
///
/// # Panics
/// If the runtime cannot be created.
#[must_use]
pub fn run_scenario(scenario: &RunScenario, kind: PolicyKind) -> RunStats {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime needs memory only");
    let stats = runtime.block_on(async {
        let simulation = Simulation::new(scenario, kind);
        for endpoint in &simulation.endpoints {
            let engine = Arc::clone(&lock(endpoint).engine);
            tokio::spawn(engine.run());
        }
        for fault in &scenario.faults {
            tokio::spawn(Arc::clone(&simulation).inject_fault(fault.clone()));
        }
        tokio::spawn(Arc::clone(&simulation).poll_gates());
        tokio::spawn(Arc::clone(&simulation).send_requests());
        tokio::time::sleep(scenario.length).await;
        lock(&simulation.stats).clone()
    });
    runtime.shutdown_background();
    stats
}
