//! Starts, kills, freezes and drains hosts.

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

/// Failure domains.
pub const DOMAINS: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Service of model engines.
pub const CHAT_SERVICE: &str = "chat";
/// Plain service whose calls may not be repeated.
pub const LEDGER_SERVICE: &str = "hours";
/// Model of the engines.
pub const MODEL: &str = "m";
/// Workspace of all callers.
pub const WORKSPACE: &str = "w";
/// Engines, one a failure domain.
pub const ENGINES: usize = 3;
/// Plain endpoints.
pub const PLAIN_SERVICES: usize = 2;
/// Promise of a planned stop.
pub const STOP_CUTS_NOTHING: &str = "a planned stop cuts nothing";
/// Time for which callers keep an address.
const ADDRESS_TTL: Duration = Duration::from_secs(5);
/// Time that a stopped process still waits for its open connections.
const CONNECTIONS_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between looks at open connections.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One run of a host.
pub struct TrialHost {
    /// Which run it is.
    pub identity: HostIdentity,
    /// The host itself.
    pub node: Arc<HostNode>,
    /// Its HTTP entry.
    pub http: HostHttp,
    /// Its switch.
    pub control: HostControl,
    /// Whether it has joined.
    pub joined: watch::Sender<bool>,
    /// When it was asked to leave, if it was.
    pub draining: watch::Sender<Option<Instant>>,
}

impl TrialHost {
    /// Tells whether the host was asked to leave.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.borrow().is_some()
    }

    /// Tells whether callers may still hold the address of the host.
    #[must_use]
    pub fn is_address_cached(&self) -> bool {
        let since = *self.draining.borrow();
        since.is_none_or(|since| since.elapsed() < ADDRESS_TTL)
    }
}

/// Place of a host, which one run after the other may take.
struct HostSlot {
    name: Arc<str>,
    domain: Arc<str>,
    control: Mutex<HostControl>,
    host: watch::Sender<Option<Arc<TrialHost>>>,
}

/// The whole fleet with its surroundings.
pub struct TrialFleet {
    /// The log.
    pub log: Arc<MemoryLog>,
    /// The network between hosts.
    pub network: Arc<MemoryNetwork>,
    /// The engines, by number.
    pub engines: Vec<Arc<MemoryEngine>>,
    /// The plain services, by number.
    pub plain_services: Vec<Arc<MemoryPlainService>>,
    /// What everybody saw.
    pub history: Arc<TrialHistory>,
    endpoints: MemoryEndpoints,
    slots: Vec<HostSlot>,
}

impl TrialFleet {
    /// Creates a fleet of which no host runs yet.
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

    /// Returns the number of places for hosts.
    #[must_use]
    pub fn size(&self) -> usize {
        self.slots.len()
    }

    /// Returns the host in a place, if one runs there.
    #[must_use]
    pub fn host(&self, at: usize) -> Option<Arc<TrialHost>> {
        let host = self.slots[at].host.borrow().clone()?;
        (host.control.mode() != HostMode::Killed).then_some(host)
    }

    /// Returns all hosts that run and have joined.
    #[must_use]
    pub fn joined(&self) -> Vec<Arc<TrialHost>> {
        let hosts = (0..self.size()).filter_map(|at| self.host(at));
        hosts.filter(|host| *host.joined.borrow()).collect()
    }

    /// Starts a new run of a host; it takes part once it has joined.
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

    /// Returns once all hosts have joined.
    pub async fn wait_joined(&self) {
        for slot in &self.slots {
            let mut host = slot.host.subscribe();
            // The senders live as long as the fleet, so the waits cannot fail.
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

    /// Kills the host in a place, whether it has joined or not.
    pub fn kill(&self, at: usize) {
        let slot = &self.slots[at];
        lock(&slot.control).set(HostMode::Killed);
        slot.host.send_replace(None);
    }

    /// Freezes the host in a place, or lets it go on.
    pub fn set_paused(&self, at: usize, frozen: bool) {
        let mode = if frozen {
            HostMode::Paused
        } else {
            HostMode::Running
        };
        lock(&self.slots[at].control).set(mode);
    }

    /// Cuts the host in a place off from the log, or ends the cut.
    pub fn set_log_cut(&self, at: usize, cut: bool) {
        lock(&self.slots[at].control).set_log_cut(cut);
    }

    /// Returns the name of the host in a place.
    #[must_use]
    pub fn name(&self, at: usize) -> &Arc<str> {
        &self.slots[at].name
    }

    /// Stops the host in a place as planned, as its daemon does, and returns once it is gone.
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

    /// Tells whether anything runs, or is about to, in a place.
    #[must_use]
    pub fn is_started(&self, at: usize) -> bool {
        let slot = &self.slots[at];
        let mode = lock(&slot.control).mode();
        mode != HostMode::Killed
    }

    /// Returns how often each input ran, over all plain services.
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
            // The daemon would exit and be started again.
            control.set(HostMode::Killed);
            return;
        }
        host.joined.send_replace(true);
        slot.host.send_replace(Some(host));
        node.wait_leave_requested().await;
    }
}

/// Returns the address of an engine.
#[must_use]
pub fn engine_address(at: usize) -> String {
    format!("127.0.1.1:{at}")
}

/// Returns the address of a plain service.
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
