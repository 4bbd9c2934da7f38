//! Reconciles the models that engines have loaded with the configuration of their services.
//!
//! The holder of an endpoint's gate periodically compares the models that the endpoint reports with the
//! desired one. When an order is due it claims the gate in the `hosts` stream, and it sends orders only
//! while its claim is the newest and the log is available. The decisions are made in
//! [`fulmarswitch_decide::orders`].

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

/// Interval of the reconciliation.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of an endpoint's report, and of the weight store's response.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that one reconciliation waits for the result of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the weight store is asked for its rate.
const RATE_REFRESH_INTERVAL: Duration = Duration::from_mins(1);

/// The desired model of an endpoint whose gate this host holds.
#[derive(Clone, Debug)]
struct DesiredModel {
    endpoint: Arc<str>,
    address: Arc<str>,
    checks_fencing: bool,
    /// Name of the model, followed by `+` and the adapter if there is one.
    model: Arc<str>,
    bytes: u64,
    /// Index of the endpoint in the order in which endpoints that share the service load the model.
    position: u32,
    /// Number of endpoints that share the service.
    count: u32,
}

/// Progress of an endpoint towards its desired model.
#[derive(Clone, Debug, Default)]
struct LoadProgress {
    /// Time since which this host's claim has been the newest; `None` without such a claim.
    claimed_since: Option<Duration>,
    model: Arc<str>,
    /// Time since which the model has been desired.
    desired_since: Duration,
}

/// Orders the endpoints whose gates this host holds to load their models.
pub struct ModelLoader {
    context: HostContext,
    fleet: Arc<FleetState>,
    progress: Mutex<SortedIndex<Arc<str>, LoadProgress>>,
    /// Bytes per second that the weight store serves, 0 while unknown, and the time of the last query.
    rate: Mutex<(u64, Option<Instant>)>,
}

impl ModelLoader {
    /// Creates the role; [`Self::run`] does the work.
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            progress: Mutex::default(),
            rate: Mutex::default(),
        })
    }

    /// Reconciles all endpoints at a fixed interval; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(RECONCILE_INTERVAL).await;
            let desired = self.desired();
            self.update_progress(&desired);
            if !desired.is_empty() {
                self.refresh_rate().await;
            }
            join_all(desired.iter().map(|desired| self.reconcile(desired))).await;
        }
    }

    /// Returns the desired models of the endpoints whose gates this host holds.
    fn desired(&self) -> Vec<DesiredModel> {
        let view = self.fleet.view();
        let holds_gate = |name: &str| {
            let gate = view.gate_holder(name);
            gate.is_some_and(|gate| gate.host == self.context.identity)
        };
        let mut desired = Vec::new();
        for (name, endpoint) in view.config.endpoints().filter(|(name, _)| holds_gate(name)) {
            let Some(model) = view
                .config
                .service(&endpoint.service)
                .and_then(desired_model_name)
            else {
                continue;
            };
            let sharing = view
                .config
                .endpoints()
                .filter(|(_, other)| other.service == endpoint.service)
                .map(|(name, _)| name);
            let (position, count) = load_position(name, &model, sharing);
            desired.push(DesiredModel {
                endpoint: name.into(),
                address: Arc::clone(&endpoint.address),
                checks_fencing: endpoint.checks_fencing,
                bytes: model_bytes(&view, &endpoint.service),
                model,
                position,
                count,
            });
        }
        desired
    }

    /// Updates since when models have been desired and claims have been the newest.
    fn update_progress(&self, desired: &[DesiredModel]) {
        let view = self.fleet.view();
        let now = self.context.now();
        let mut progress = lock(&self.progress);
        progress.retain(|name, _| desired.iter().any(|desired| desired.endpoint == *name));
        for desired in desired {
            let mut entry = progress.remove(&desired.endpoint).unwrap_or_default();
            if entry.model != desired.model {
                entry.model = Arc::clone(&desired.model);
                entry.desired_since = now;
            }
            let holder = view.hosts.gate_claim_holder(&desired.endpoint);
            let claimed_here = holder.is_some_and(|holder| holder.host == self.context.identity);
            entry.claimed_since = claimed_here.then(|| entry.claimed_since.unwrap_or(now));
            progress.insert(Arc::clone(&desired.endpoint), entry);
        }
    }

    async fn reconcile(&self, desired: &DesiredModel) {
        let report_call = self.context.endpoints.report(&desired.address);
        let Ok(Ok(report)) = tokio::time::timeout(REPORT_TIMEOUT, report_call).await else {
            return;
        };
        let loaded = report.models.contains(&desired.model);
        let Some(view) = self.order_view(desired, loaded) else {
            return;
        };
        match next_step(&view) {
            OrderStep::Done | OrderStep::Wait => {}
            OrderStep::Claim => self.claim(desired).await,
            OrderStep::Load { fencing } => self.load(desired, fencing).await,
        }
    }

    /// Returns the input of the decision about an endpoint; `None` while the log is unavailable, since another
    /// host may have claimed the gate meanwhile.
    fn order_view(&self, desired: &DesiredModel, loaded: bool) -> Option<OrderView> {
        if !self.fleet.hosts.is_log_available() {
            return None;
        }
        let view = self.fleet.view();
        let progress = lock(&self.progress);
        let entry = progress.get(&desired.endpoint)?;
        let holder = view.hosts.gate_claim_holder(&desired.endpoint);
        let holder = holder.filter(|holder| holder.host == self.context.identity);
        let claim = holder.and_then(|holder| Some((holder.fencing.0, entry.claimed_since?)));
        let slot = LoadSlot {
            since: entry.desired_since,
            length: self.load_time(desired.bytes),
            position: desired.position,
            count: desired.count,
        };
        Some(OrderView {
            now: self.context.now(),
            loaded,
            checks_fencing: desired.checks_fencing,
            claim,
            slot,
        })
    }

    async fn claim(&self, desired: &DesiredModel) {
        let body = RecordBody::GateClaim(GateClaim {
            host: self.context.identity.clone(),
            endpoint: Arc::clone(&desired.endpoint),
        });
        let Ok(claimed) = self.fleet.hosts.append(ShardIndex(0), Epoch(0), body) else {
            return;
        };
        // The next reconciliation checks whether the claim is in the log and still the newest.
        let _ = tokio::time::timeout(CLAIM_TIMEOUT, claimed).await;
    }

    async fn load(&self, desired: &DesiredModel, fencing: u64) {
        let order = EndpointOrder {
            fencing,
            action: OrderAction::Load {
                model: Arc::clone(&desired.model),
            },
        };
        let detail = format!("load {} with fencing token {fencing}", desired.model);
        self.context
            .events
            .emit("order", &desired.endpoint, &detail);
        let order_call = self.context.endpoints.order(&desired.address, order);
        let outcome = tokio::time::timeout(ORDER_TIMEOUT, order_call).await;
        if let Ok(Err(error)) = outcome {
            let detail = error.to_string();
            self.context
                .events
                .emit("order-failed", &desired.endpoint, &detail);
        }
    }

    async fn refresh_rate(&self) {
        let due = lock(&self.rate)
            .1
            .is_none_or(|at| at.elapsed() >= RATE_REFRESH_INTERVAL);
        if !due {
            return;
        }
        let rate_call = self.context.store.bytes_per_second();
        let answer = tokio::time::timeout(REPORT_TIMEOUT, rate_call).await;
        let mut rate = lock(&self.rate);
        rate.1 = Some(Instant::now());
        if let Ok(Ok(bytes)) = answer {
            rate.0 = bytes;
        }
    }

    /// Returns the time that the weight store needs to serve `bytes`; zero while its rate is unknown.
    fn load_time(&self, bytes: u64) -> Duration {
        let rate = lock(&self.rate).0;
        let millis = u128::from(bytes) * 1_000 / u128::from(rate.max(1));
        if rate == 0 {
            return Duration::ZERO;
        }
        Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// Returns the model that the endpoints of a service must load, followed by `+` and the adapter if there is
/// one; `None` if the service needs no model.
fn desired_model_name(service: &ServiceConfig) -> Option<Arc<str>> {
    if service.protocol != EndpointProtocol::Engine || service.model.is_empty() {
        return None;
    }
    if service.adapter.is_empty() {
        return Some(Arc::clone(&service.model));
    }
    Some(format!("{}+{}", service.model, service.adapter).into())
}

fn model_bytes(view: &FleetView, service: &str) -> u64 {
    let service = view.config.service(service);
    let model = service.and_then(|service| view.config.model(&service.model));
    model.map_or(0, |model| model.bytes)
}
