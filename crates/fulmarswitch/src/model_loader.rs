//! Orders to engines: each loads the model that its service wants.
//!
//! The holder of a gate compares what the endpoint reports with what is wanted, again and again. It claims
//! the endpoint in the `hosts` stream when an order is due, and orders only while its claim is the newest and
//! the log answers. The decisions are in [`fulmarswitch_decide::orders`].

use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use fulmarswitch_decide::orders::{
    LoadSlot, ORDER_TIMEOUT, OrderStep, OrderView, load_position, next_step,
};
use fulmarswitch_endpoint::{EndpointOrder, OrderAction};
use fulmarswitch_records::config::{EndpointProtocol, ServiceConfig};
use fulmarswitch_records::record::GateClaim;
use fulmarswitch_records::{Epoch, RecordBody, ShardIndex, SortedIndex};
use futures::future::join_all;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time between comparisons.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Time that an endpoint is given to report.
const REPORT_LIMIT: Duration = Duration::from_secs(1);
/// Time that a claim is waited for in one comparison.
const CLAIM_LIMIT: Duration = Duration::from_secs(2);
/// Time between questions for the weight store's rate.
const RATE_PERIOD: Duration = Duration::from_mins(1);

/// What is wanted of an endpoint whose gate is here.
#[derive(Clone, Debug)]
struct WantedModel {
    endpoint: Arc<str>,
    address: Arc<str>,
    checks_fencing: bool,
    /// Model, with the adapter behind a `+`.
    model: Arc<str>,
    bytes: u64,
    position: u32,
    count: u32,
}

/// What this host remembers of an endpoint.
#[derive(Clone, Debug, Default)]
struct OrderMemory {
    /// Since when this host's claim is the newest.
    claimed: Option<Duration>,
    model: Arc<str>,
    /// Since when the model is wanted.
    wanted: Duration,
}

/// Gives orders on one host.
pub struct ModelLoader {
    context: HostContext,
    fleet: Arc<FleetState>,
    memories: Mutex<SortedIndex<Arc<str>, OrderMemory>>,
    /// Bytes a second that the weight store gives out, and when it was asked; zero for no answer.
    rate: Mutex<(u64, Option<Instant>)>,
}

impl ModelLoader {
    /// Creates the role.
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            memories: Mutex::default(),
            rate: Mutex::default(),
        })
    }

    /// Compares and orders, for as long as the runtime lives.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(COMPARE_PERIOD).await;
            let wanted = self.wanted();
            self.follow(&wanted);
            if !wanted.is_empty() {
                self.ask_rate().await;
            }
            join_all(wanted.iter().map(|wanted| self.compare(wanted))).await;
        }
    }

    /// Returns what is wanted of the endpoints whose gates are here.
    fn wanted(&self) -> Vec<WantedModel> {
        let view = self.fleet.view();
        let here = |name: &str| {
            let gate = view.gate_of(name);
            gate.is_some_and(|gate| gate.host == self.context.identity)
        };
        let mut wanted = Vec::new();
        for (name, endpoint) in view.config.endpoints().filter(|(name, _)| here(name)) {
            let Some(model) = view.config.service(&endpoint.service).and_then(model_of) else {
                continue;
            };
            let sharing = view
                .config
                .endpoints()
                .filter(|(_, other)| other.service == endpoint.service)
                .map(|(name, _)| name);
            let (position, count) = load_position(name, &model, sharing);
            wanted.push(WantedModel {
                endpoint: name.into(),
                address: Arc::clone(&endpoint.address),
                checks_fencing: endpoint.checks_fencing,
                bytes: bytes_of(&view, &endpoint.service),
                model,
                position,
                count,
            });
        }
        wanted
    }

    /// Notes since when models are wanted and claims stand.
    fn follow(&self, wanted: &[WantedModel]) {
        let view = self.fleet.view();
        let now = self.context.now();
        let mut memories = lock(&self.memories);
        memories.retain(|name, _| wanted.iter().any(|wanted| wanted.endpoint == *name));
        for wanted in wanted {
            let mut memory = memories.remove(&wanted.endpoint).unwrap_or_default();
            if memory.model != wanted.model {
                memory.model = Arc::clone(&wanted.model);
                memory.wanted = now;
            }
            let holder = view.hosts.gate_claim_holder(&wanted.endpoint);
            let mine = holder.is_some_and(|holder| holder.host == self.context.identity);
            memory.claimed = mine.then(|| memory.claimed.unwrap_or(now));
            memories.insert(Arc::clone(&wanted.endpoint), memory);
        }
    }

    async fn compare(&self, wanted: &WantedModel) {
        let reporting = self.context.endpoints.report(&wanted.address);
        let Ok(Ok(report)) = tokio::time::timeout(REPORT_LIMIT, reporting).await else {
            return;
        };
        let loaded = report.models.contains(&wanted.model);
        let Some(view) = self.view_of(wanted, loaded) else {
            return;
        };
        match next_step(&view) {
            OrderStep::Done | OrderStep::Wait => {}
            OrderStep::Claim => self.claim(wanted).await,
            OrderStep::Load { fencing } => self.load(wanted, fencing).await,
        }
    }

    /// Returns what is known of an endpoint; none while the log does not answer, since another host may
    /// have claimed the endpoint.
    fn view_of(&self, wanted: &WantedModel, loaded: bool) -> Option<OrderView> {
        if !self.fleet.hosts.is_log_available() {
            return None;
        }
        let view = self.fleet.view();
        let memories = lock(&self.memories);
        let memory = memories.get(&wanted.endpoint)?;
        let holder = view.hosts.gate_claim_holder(&wanted.endpoint);
        let holder = holder.filter(|holder| holder.host == self.context.identity);
        let claim = holder.and_then(|holder| Some((holder.fencing.0, memory.claimed?)));
        let slot = LoadSlot {
            since: memory.wanted,
            length: self.load_time(wanted.bytes),
            position: wanted.position,
            count: wanted.count,
        };
        Some(OrderView {
            now: self.context.now(),
            loaded,
            checks_fencing: wanted.checks_fencing,
            claim,
            slot,
        })
    }

    async fn claim(&self, wanted: &WantedModel) {
        let body = RecordBody::GateClaim(GateClaim {
            host: self.context.identity.clone(),
            endpoint: Arc::clone(&wanted.endpoint),
        });
        let Ok(standing) = self.fleet.hosts.append(ShardIndex(0), Epoch(0), body) else {
            return;
        };
        // Whether the claim stands, and is still the newest, shows in the next comparison.
        let _ = tokio::time::timeout(CLAIM_LIMIT, standing).await;
    }

    async fn load(&self, wanted: &WantedModel, fencing: u64) {
        let order = EndpointOrder {
            fencing,
            action: OrderAction::Load {
                model: Arc::clone(&wanted.model),
            },
        };
        let text = format!("load {} under {fencing}", wanted.model);
        self.context.events.emit("order", &wanted.endpoint, &text);
        let ordering = self.context.endpoints.order(&wanted.address, order);
        let ordered = tokio::time::timeout(ORDER_TIMEOUT, ordering).await;
        if let Ok(Err(error)) = ordered {
            let text = error.to_string();
            self.context
                .events
                .emit("order-failed", &wanted.endpoint, &text);
        }
    }

    async fn ask_rate(&self) {
        let due = lock(&self.rate)
            .1
            .is_none_or(|at| at.elapsed() >= RATE_PERIOD);
        if !due {
            return;
        }
        let asking = self.context.store.bytes_per_second();
        let answer = tokio::time::timeout(REPORT_LIMIT, asking).await;
        let mut rate = lock(&self.rate);
        rate.1 = Some(Instant::now());
        if let Ok(Ok(bytes)) = answer {
            rate.0 = bytes;
        }
    }

    /// Returns the time that the weight store takes for so many bytes; zero while its rate is unknown.
    fn load_time(&self, bytes: u64) -> Duration {
        let rate = lock(&self.rate).0;
        let millis = u128::from(bytes) * 1_000 / u128::from(rate.max(1));
        if rate == 0 {
            return Duration::ZERO;
        }
        Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Returns the model that a service wants of its endpoints, with the adapter behind a `+`.
fn model_of(service: &ServiceConfig) -> Option<Arc<str>> {
    if service.protocol != EndpointProtocol::Engine || service.model.is_empty() {
        return None;
    }
    if service.adapter.is_empty() {
        return Some(Arc::clone(&service.model));
    }
    Some(format!("{}+{}", service.model, service.adapter).into())
}

fn bytes_of(view: &FleetView, service: &str) -> u64 {
    let service = view.config.service(service);
    let model = service.and_then(|service| view.config.model(&service.model));
    model.map_or(0, |model| model.bytes)
}
