//! Engines, gates and the tasks that use them.
//!
//! One run lives on one thread with a paused clock, so it repeats exactly. A gate's actions reach the task
//! of the request through a channel, as in the daemon.

mod callers;
mod items;

use crate::entry::EntryBook;
use crate::policy::{GatePolicy, PolicyKind};
use crate::scenario::{
    BETWEEN_TOKENS, ENDPOINTS, ENTRIES, FIRST_TOKEN, FaultKind, FaultPlan, RunScenario,
};
use crate::tally::RunTally;
use fulmarswitch_decide::gate::{GateAction, GateRequest, GateSettings, RequestClass, TicketId};
use fulmarswitch_decide::online_pool::MIN_ENDPOINTS_TO_SPLIT;
use fulmarswitch_standins::engine::{EngineFaults, MemoryEngine};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time between polls of a gate, as in the daemon.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Most requests that a gate may hold by its configuration; the default of the configuration.
const MAX_CONCURRENT: u32 = 256;
/// Settings of every gate in these runs.
#[must_use]
pub fn gate_settings() -> GateSettings {
    GateSettings {
        max_concurrent: MAX_CONCURRENT,
        first_token: FIRST_TOKEN,
        between_tokens: BETWEEN_TOKENS,
        mixed: ENDPOINTS < MIN_ENDPOINTS_TO_SPLIT,
    }
}

/// Locks a mutex whose holder never leaves broken state behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Channels of the requests at one gate, by ticket.
type OrderChannels = Vec<(TicketId, mpsc::UnboundedSender<GateAction>)>;

/// One endpoint with its gate.
struct GateSite {
    engine: Arc<MemoryEngine>,
    policy: Box<dyn GatePolicy>,
    channels: OrderChannels,
    next: u64,
    leaving: bool,
    pulling: bool,
}

/// The state of one run.
struct RunWorld {
    scenario: RunScenario,
    kind: PolicyKind,
    started: Instant,
    sites: Vec<Mutex<GateSite>>,
    entries: Vec<Mutex<EntryBook>>,
    tally: Mutex<RunTally>,
    /// Batch items that each of the jobs has handed out.
    handed: Mutex<Vec<u64>>,
}

/// A ticket at a gate; dropping it tells the gate that the request has ended.
struct HeldTicket {
    world: Arc<RunWorld>,
    site: usize,
    ticket: TicketId,
    orders: mpsc::UnboundedReceiver<GateAction>,
}

impl Drop for HeldTicket {
    fn drop(&mut self) {
        let (now, ticket) = (self.world.now(), self.ticket);
        let mut site = lock(&self.world.sites[self.site]);
        site.channels.retain(|channel| channel.0 != ticket);
        site.decide(|policy, actions| policy.end(now, ticket, actions));
        drop(site);
        if self.world.kind.pulls_at_end() {
            self.world.pull(self.site);
        }
    }
}

impl GateSite {
    fn decide(&mut self, event: impl FnOnce(&mut dyn GatePolicy, &mut Vec<GateAction>)) {
        let mut actions = Vec::new();
        event(&mut *self.policy, &mut actions);
        for action in actions {
            let (GateAction::Start(ticket)
            | GateAction::Cancel(ticket)
            | GateAction::Refuse { ticket, .. }) = action;
            if let Ok(at) = self.channels.binary_search_by_key(&ticket, |entry| entry.0) {
                // A request that has ended tells the gate when its ticket is dropped.
                let _ = self.channels[at].1.send(action);
            }
        }
    }
}

impl RunWorld {
    fn new(scenario: &RunScenario, kind: PolicyKind) -> Arc<Self> {
        let site = || {
            Mutex::new(GateSite {
                engine: MemoryEngine::new(EngineFaults::default(), &[]),
                policy: kind.gate(&gate_settings()),
                channels: Vec::new(),
                next: 0,
                leaving: false,
                pulling: false,
            })
        };
        Arc::new(Self {
            scenario: scenario.clone(),
            kind,
            started: Instant::now(),
            sites: (0..ENDPOINTS).map(|_| site()).collect(),
            entries: (0..ENTRIES)
                .map(|entry| Mutex::new(EntryBook::new(kind, entry)))
                .collect(),
            tally: Mutex::default(),
            handed: Mutex::new(vec![0; items::JOBS.len()]),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Tells whether what happens now counts.
    fn counts(&self) -> bool {
        self.now() >= self.scenario.warmup
    }

    fn enter(self: &Arc<Self>, site: usize, class: RequestClass, wait: Duration) -> HeldTicket {
        let (sender, orders) = mpsc::unbounded_channel();
        let now = self.now();
        let mut gate = lock(&self.sites[site]);
        let ticket = TicketId(gate.next);
        gate.next += 1;
        gate.channels.push((ticket, sender));
        let arrival = GateRequest {
            ticket,
            class,
            deadline: now + wait,
            resumable: class == RequestClass::Batch,
        };
        gate.decide(|policy, actions| policy.arrive(now, arrival, actions));
        drop(gate);
        let world = Arc::clone(self);
        HeldTicket {
            world,
            site,
            ticket,
            orders,
        }
    }

    fn note_token(&self, site: usize, ticket: TicketId) {
        let now = self.now();
        lock(&self.sites[site]).decide(|policy, actions| policy.token(now, ticket, actions));
    }

    async fn strike(self: Arc<Self>, fault: FaultPlan) {
        tokio::time::sleep(fault.at).await;
        for at in &fault.endpoints {
            let mut site = lock(&self.sites[*at]);
            match fault.kind {
                FaultKind::Slow(factor) => site.engine.set_faults(|f| f.slow_factor = factor),
                FaultKind::Lost => site.engine.set_faults(|f| f.lost = true),
                FaultKind::Leave => site.leaving = true,
            }
        }
    }

    async fn poll_gates(self: Arc<Self>) {
        loop {
            let now = self.now();
            for at in 0..ENDPOINTS {
                lock(&self.sites[at]).decide(|policy, actions| policy.poll(now, actions));
                self.pull(at);
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

/// Runs a scenario under a policy and returns what was counted after the warm-up.
///
/// # Panics
/// If the runtime cannot be created.
#[must_use]
pub fn run_scenario(scenario: &RunScenario, kind: PolicyKind) -> RunTally {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime needs memory only");
    let tally = runtime.block_on(async {
        let world = RunWorld::new(scenario, kind);
        for site in &world.sites {
            let engine = Arc::clone(&lock(site).engine);
            tokio::spawn(engine.run());
        }
        for fault in &scenario.faults {
            tokio::spawn(Arc::clone(&world).strike(fault.clone()));
        }
        tokio::spawn(Arc::clone(&world).poll_gates());
        tokio::spawn(Arc::clone(&world).send_requests());
        tokio::time::sleep(scenario.length).await;
        lock(&world.tally).clone()
    });
    runtime.shutdown_background();
    tally
}
