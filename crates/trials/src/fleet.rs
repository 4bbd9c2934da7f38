//! Starts, kills, pauses and drains the hosts of a fleet.

use crate::clients::{EmptyPlatform, HostEndpoints, HostLog};
use crate::control::{HostControl, HostMode};
use crate::history::TrialHistory;
use crate::http::HostHttp;
use crate::network::{MemoryLink, MemoryNetwork};
use fulmarswitch::context::{HostContext, lock};
use fulmarswitch::events::EventLog;
use fulmarswitch::host::HostNode;
use fulmarswitch::membership::next_incarnation;
use fulmarswitch::metrics::HostMetrics;
use fulmarswitch::settings::{HostSettings, LayoutSettings, PlatformSettings, TuningSettings};
use fulmarswitch_records::{HostIdentity, LogicalClock};
use fulmarswitch_standins::endpoints::MemoryEndpoints;
use fulmarswitch_standins::engine::{EngineFaults, MemoryEngine};
use fulmarswitch_standins::log::{LogFaults, MemoryLog};
use fulmarswitch_standins::plain::{MemoryPlainService, PlainFaults};
use slog::{Discard, Logger, o};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Names of the failure domains, which hosts and endpoints use in turn.
pub const DOMAINS: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Name of the service that the engines serve.
pub const CHAT_SERVICE: &str = "chat";
/// Name of the plain service, whose calls must run at most once.
pub const LEDGER_SERVICE: &str = "hours";
/// Name of the model that the engines serve.
pub const MODEL: &str = "m";
/// Name of the workspace of all callers.
pub const WORKSPACE: &str = "w";
/// Number of engines, one per failure domain.
pub const ENGINES: usize = 3;
/// Number of plain services.
pub const PLAIN_SERVICES: usize = 2;
/// Guarantee that a drained host interrupts no answer.
pub const STOP_CUTS_NOTHING: &str = "a planned stop cuts nothing";
/// Time for which callers cache an address.
const ADDRESS_TTL: Duration = Duration::from_secs(5);
/// Time for which a drained host waits for its open connections, as the daemon does.
const CONNECTIONS_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the number of open connections is checked.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One run of a host.
pub struct TrialHost {
    /// Name and incarnation.
    pub identity: HostIdentity,
    /// Node under test.
    pub node: Arc<HostNode>,
    /// HTTP frontend.
    pub http: HostHttp,
    /// Runs, pauses or kills the host.
    pub control: HostControl,
    /// Whether the host has joined the fleet.
    pub joined: watch::Sender<bool>,
    /// Time at which draining began; `None` if it has not.
    pub draining: watch::Sender<Option<Instant>>,
}

impl TrialHost {
    /// Returns whether the host is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.borrow().is_some()
    }

    /// Returns whether callers may still have the address of the host in their cache.
    #[must_use]
    pub fn is_address_cached(&self) -> bool {
        let since = *self.draining.borrow();
        since.is_none_or(|since| since.elapsed() < ADDRESS_TTL)
    }
}

/// State of a host across its runs.
struct HostSlot {
    name: Arc<str>,
    domain: Arc<str>,
    control: Mutex<HostControl>,
    host: watch::Sender<Option<Arc<TrialHost>>>,
}

/// The whole fleet with its log, network, endpoints and history.
pub struct TrialFleet {
    /// In-memory log, shared by all hosts.
    pub log: Arc<MemoryLog>,
    /// In-memory network between hosts.
    pub network: Arc<MemoryNetwork>,
    /// Engines, by index.
    pub engines: Vec<Arc<MemoryEngine>>,
    /// Plain services, by index.
    pub plain_services: Vec<Arc<MemoryPlainService>>,
    /// What callers, operators and endpoints observed.
    pub history: Arc<TrialHistory>,
    endpoints: MemoryEndpoints,
    slots: Vec<HostSlot>,
}

impl TrialFleet {
    /// Creates a fleet whose hosts are not started yet.
    #[must_use]
    pub fn new(seed: u64, hosts: usize) -> Arc<Self> {
        let mut endpoints = MemoryEndpoints::new();
        let engine_faults = EngineFaults {
            step_us: 5_000,
            ..EngineFaults::default()
        };
        let engines: Vec<_> = (0..ENGINES)
            .map(|_| MemoryEngine::new(engine_faults.clone(), &[MODEL]))
            .collect();
        let plain_faults = PlainFaults {
            call_ms: 30,
            ..PlainFaults::default()
        };
        let plain_services: Vec<_> = (0..PLAIN_SERVICES)
            .map(|_| MemoryPlainService::new(plain_faults.clone()))
            .collect();
        for (at, engine) in engines.iter().enumerate() {
            tokio::spawn(Arc::clone(engine).run());
            endpoints.add_engine(&engine_address(at), Arc::clone(engine));
        }
        for (at, plain) in plain_services.iter().enumerate() {
            endpoints.add_plain_service(&plain_address(at), Arc::clone(plain));
        }
        let slot = |at: usize| HostSlot {
            name: format!("host-{at}").into(),
            domain: DOMAINS[at % DOMAINS.len()].into(),
            control: Mutex::default(),
            host: watch::Sender::new(None),
        };
        Arc::new(Self {
            log: Arc::new(MemoryLog::new(LogFaults::default())),
            network: MemoryNetwork::new(seed),
            engines,
            plain_services,
            history: Arc::new(TrialHistory::new()),
            endpoints,
            slots: (0..hosts).map(slot).collect(),
        })
    }

    /// Returns the number of hosts, running or not.
    #[must_use]
    pub fn size(&self) -> usize {
        self.slots.len()
    }

    /// Returns the current run of host `at`; `None` if it has not joined or was killed.
    #[must_use]
    pub fn host(&self, at: usize) -> Option<Arc<TrialHost>> {
        let host = self.slots[at].host.borrow().clone()?;
        (host.control.mode() != HostMode::Killed).then_some(host)
    }

    /// Returns all hosts that have joined and are not killed; they may be paused.
    #[must_use]
    pub fn joined(&self) -> Vec<Arc<TrialHost>> {
        let hosts = (0..self.size()).filter_map(|at| self.host(at));
        hosts.filter(|host| *host.joined.borrow()).collect()
    }

    /// Starts a new run of host `at`, which joins in the background.
    pub fn start(self: &Arc<Self>, at: usize) {
        let control = HostControl::new();
        *lock(&self.slots[at].control) = control.clone();
        let fleet = Arc::clone(self);
        tokio::spawn(async move {
            let kill_signal = control.clone();
            tokio::select! {
                () = fleet.run_host(at, control) => {}
                () = kill_signal.wait_killed() => {}
            }
        });
    }

    /// Waits until all hosts have joined.
    pub async fn wait_joined(&self) {
        for slot in &self.slots {
            let mut host = slot.host.subscribe();
            // The fleet holds the senders, so the waits cannot fail.
            let Ok(Some(host)) = host
                .wait_for(Option::is_some)
                .await
                .map(|host| host.clone())
            else {
                continue;
            };
            let _ = host.joined.subscribe().wait_for(|joined| *joined).await;
        }
    }

    /// Kills host `at`, whether it has joined or not.
    pub fn kill(&self, at: usize) {
        let slot = &self.slots[at];
        lock(&slot.control).set(HostMode::Killed);
        slot.host.send_replace(None);
    }

    /// Pauses host `at` or resumes it.
    pub fn set_paused(&self, at: usize, paused: bool) {
        let mode = if paused {
            HostMode::Paused
        } else {
            HostMode::Running
        };
        lock(&self.slots[at].control).set(mode);
    }

    /// Disconnects host `at` from the log, or reconnects it.
    pub fn set_log_cut(&self, at: usize, cut: bool) {
        lock(&self.slots[at].control).set_log_cut(cut);
    }

    /// Returns the name of host `at`.
    #[must_use]
    pub fn name(&self, at: usize) -> &Arc<str> {
        &self.slots[at].name
    }

    /// Drains host `at` and stops it in the same steps as the daemon; returns once it has stopped.
    pub async fn drain(&self, at: usize) {
        let Some(host) = self.host(at) else { return };
        host.draining.send_replace(Some(Instant::now()));
        let control = host.control.clone();
        tokio::select! {
            () = host.node.leave() => {}
            () = control.wait_killed() => return,
        }
        host.http.close();
        let deadline = Instant::now() + CONNECTIONS_TIMEOUT;
        while host.http.connections() > 0 && Instant::now() < deadline {
            tokio::time::sleep(CONNECTIONS_POLL_INTERVAL).await;
        }
        let open = host.http.connections();
        if open > 0 && host.control.mode() == HostMode::Running {
            let detail = format!("{open} connections of {} were open", host.identity);
            self.history.record_violation(STOP_CUTS_NOTHING, detail);
        }
        host.control.set(HostMode::Killed);
        self.slots[at].host.send_if_modified(|current| {
            let is_same_run = current
                .as_ref()
                .is_some_and(|current_host| current_host.identity == host.identity);
            if is_same_run {
                *current = None;
            }
            is_same_run
        });
    }

    /// Returns whether host `at` runs or is joining; also true before its first start.
    #[must_use]
    pub fn is_started(&self, at: usize) -> bool {
        let slot = &self.slots[at];
        let mode = lock(&slot.control).mode();
        mode != HostMode::Killed
    }

    /// Returns how often the input ran on all plain services together.
    #[must_use]
    pub fn plain_run_count(&self, input: &str) -> u32 {
        let runs = self.plain_services.iter().flat_map(|plain| plain.runs());
        runs.filter(|(ran, _)| **ran == *input)
            .map(|(_, count)| count)
            .sum()
    }

    async fn run_host(self: &Arc<Self>, at: usize, control: HostControl) {
        let slot = &self.slots[at];
        let log = Arc::new(HostLog::new(Arc::clone(&self.log), control.clone()));
        let incarnation = next_incarnation(log.as_ref(), &slot.name).await;
        let identity = HostIdentity {
            name: Arc::clone(&slot.name),
            incarnation,
        };
        let clock = LogicalClock::new();
        let link = MemoryLink::new(
            Arc::clone(&self.network),
            identity.clone(),
            Arc::clone(&slot.domain),
            control.clone(),
        );
        let endpoints = HostEndpoints::new(
            self.endpoints.clone(),
            identity.clone(),
            control.clone(),
            Arc::clone(&self.history),
        );
        let logger = Logger::root(Discard, o!());
        let context = HostContext {
            settings: Arc::new(settings(slot)),
            identity: identity.clone(),
            log,
            list: Arc::new(EmptyPlatform),
            store: Arc::new(EmptyPlatform),
            link: Arc::new(link),
            endpoints: Arc::new(endpoints),
            events: EventLog::new(Arc::clone(&slot.name), clock, logger),
            metrics: HostMetrics::new(),
            started: Instant::now(),
        };
        let node = HostNode::new(&context);
        let handler = Arc::clone(&node);
        self.network
            .attach(&identity, &slot.domain, &control, handler);
        let http = HostHttp::new(Arc::clone(node.frontend()), control.clone());
        let host = Arc::new(TrialHost {
            identity,
            node: Arc::clone(&node),
            http,
            control: control.clone(),
            joined: watch::Sender::new(false),
            draining: watch::Sender::new(None),
        });
        if node.join().await.is_err() {
            // Here the daemon would exit and be restarted.
            control.set(HostMode::Killed);
            return;
        }
        host.joined.send_replace(true);
        slot.host.send_replace(Some(host));
        node.wait_leave_requested().await;
    }
}

/// Returns the address of engine `at`.
#[must_use]
pub fn engine_address(at: usize) -> String {
    format!("127.0.1.1:{at}")
}

/// Returns the address of plain service `at`.
#[must_use]
pub fn plain_address(at: usize) -> String {
    format!("127.0.2.1:{at}")
}

fn settings(slot: &HostSlot) -> HostSettings {
    let address: Arc<str> = "127.0.0.1:1".into();
    HostSettings {
        host: Arc::clone(&slot.name),
        failure_domain: Arc::clone(&slot.domain),
        caller_address: Arc::clone(&address),
        message_address: Arc::clone(&address),
        stream_address: Arc::clone(&address),
        platform: PlatformSettings {
            log_address: Arc::clone(&address),
            list_address: Arc::clone(&address),
            store_address: address,
        },
        layout: LayoutSettings {
            shards: 8,
            groups: 2,
        },
        tuning: TuningSettings {
            linger_ms: 10,
            item_lease_ms: 8_000,
            drain_ms: 20_000,
            ..TuningSettings::default()
        },
    }
}
