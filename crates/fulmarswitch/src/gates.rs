//! Everything that goes to an endpoint.
//!
//! The host that holds an endpoint's gate queues its online requests, pulls batch items into what is spare,
//! and knows exactly what the endpoint holds. The decisions are in [`fulmarswitch_decide::gate`]; this
//! module carries them out.

mod batch;
mod unit;

use crate::balancer::LoadBalancer;
use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use crate::shards::ShardReplicas;
use fulmarswitch_decide::gate::GateSettings;
use fulmarswitch_decide::online_pool::MIN_ENDPOINTS_TO_SPLIT;
use fulmarswitch_peer::message::{
    ItemReport, JobName, OfferList, RefusalNote, RunRequest, RunState,
};
use fulmarswitch_peer::{FrameStream, PeerReply, StreamFrame};
use fulmarswitch_records::config::{EndpointConfig, ServiceConfig};
use fulmarswitch_records::{HostIdentity, SortedIndex};
use futures::StreamExt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use unit::GateUnit;

/// Time between looks at the configuration, and between polls of each gate.
const GATE_PERIOD: Duration = Duration::from_millis(20);
/// Time to come back after a refusal of a gate that has moved.
const MOVED_RETRY: Duration = Duration::from_millis(200);

/// The gates on one host.
pub struct GateManager {
    context: HostContext,
    fleet: Arc<FleetState>,
    shards: Arc<ShardReplicas>,
    balancer: Arc<LoadBalancer>,
    units: Mutex<SortedIndex<Arc<str>, Arc<GateUnit>>>,
    offers: Mutex<SortedIndex<HostIdentity, OfferList>>,
    /// Results that are not sent yet, by job.
    reports: Mutex<SortedIndex<Arc<str>, ItemReport>>,
    /// Reports on their way.
    sending: AtomicUsize,
    attempts: AtomicU64,
    leaving: AtomicBool,
    /// The view that the units follow.
    followed: Mutex<Arc<FleetView>>,
}

impl GateManager {
    /// Creates the role.
    #[must_use]
    pub fn new(
        context: &HostContext,
        fleet: &Arc<FleetState>,
        shards: &Arc<ShardReplicas>,
        balancer: &Arc<LoadBalancer>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            shards: Arc::clone(shards),
            balancer: Arc::clone(balancer),
            units: Mutex::default(),
            offers: Mutex::default(),
            reports: Mutex::default(),
            sending: AtomicUsize::new(0),
            attempts: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            followed: Mutex::default(),
        })
    }

    /// Returns a number for an attempt, unique within this run.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes no more batch items from now on.
    pub fn start_draining(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of gates held, and of requests in them and reports to be sent.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let units = lock(&self.units);
        let held: usize = units.iter().map(|(_, unit)| unit.held()).sum();
        let unsent = lock(&self.reports).len() + self.sending.load(Ordering::Acquire);
        (units.len(), held + unsent)
    }

    /// Runs a request on an endpoint whose gate is here.
    pub fn run(self: &Arc<Self>, request: RunRequest) -> FrameStream {
        let view = self.fleet.view();
        let Some((endpoint, service)) = endpoint_of(&view, &request.endpoint) else {
            return refuse("the endpoint is not configured");
        };
        if endpoint.leaving {
            return refuse("the endpoint is leaving");
        }
        let unit = self.unit(&request.endpoint, endpoint, service);
        unit.run_online(request)
    }

    /// Takes an owner's offers, which replace those it sent before.
    pub fn receive_offers(&self, offers: OfferList) -> PeerReply {
        lock(&self.offers).insert(offers.owner.clone(), offers);
        PeerReply::Accepted
    }

    /// Stops the items of a cancelled job.
    pub fn stop_job(&self, job: &JobName) -> PeerReply {
        for (_, unit) in lock(&self.units).iter() {
            unit.stop_job(&job.job);
        }
        PeerReply::Accepted
    }

    /// Keeps a gate for each endpoint that this host holds, for as long as the runtime lives.
    pub async fn run_gates(self: Arc<Self>) {
        loop {
            self.adjust_units();
            let units: Vec<Arc<GateUnit>> = lock(&self.units)
                .iter()
                .map(|(_, unit)| Arc::clone(unit))
                .collect();
            for unit in units {
                unit.poll();
                self.stop_cancelled(&unit);
                self.pull_batch(&unit);
            }
            tokio::time::sleep(GATE_PERIOD).await;
        }
    }

    /// Opens the gates that belong here and closes idle ones that do not.
    fn adjust_units(self: &Arc<Self>) {
        let view = self.fleet.view();
        if self.is_new_view(&view) {
            self.follow_view(&view);
        }
        let leaving = self.leaving.load(Ordering::Relaxed);
        lock(&self.units).retain(|name, unit| {
            let kept = self.holds_gate(&view, name);
            unit.set_open(kept && !leaving);
            kept || unit.held() > 0
        });
    }

    fn is_new_view(&self, view: &Arc<FleetView>) -> bool {
        let mut followed = lock(&self.followed);
        let new = !Arc::ptr_eq(&followed, view);
        *followed = Arc::clone(view);
        new
    }

    fn follow_view(self: &Arc<Self>, view: &FleetView) {
        for name in view.gates_held_by(&self.context.identity.name) {
            if let Some((endpoint, service)) = endpoint_of(view, name)
                && self.holds_gate(view, name)
            {
                self.unit(name, endpoint, service);
            }
        }
        let sizes = service_sizes(view);
        for (name, unit) in lock(&self.units).iter() {
            let service = unit.config().0.service;
            unit.set_mixed(sizes.get(&*service).copied().unwrap_or(0) < MIN_ENDPOINTS_TO_SPLIT);
            match endpoint_of(view, name) {
                Some((endpoint, service)) => unit.configure(endpoint, service),
                None => unit.set_leaving(true),
            }
        }
    }

    fn holds_gate(&self, view: &FleetView, endpoint: &str) -> bool {
        let gate = view.gate_holder(endpoint);
        gate.is_some_and(|gate| gate.host == self.context.identity)
    }

    fn unit(
        self: &Arc<Self>,
        name: &str,
        endpoint: &EndpointConfig,
        service: &ServiceConfig,
    ) -> Arc<GateUnit> {
        let mut units = lock(&self.units);
        if let Some(unit) = units.get(name) {
            unit.configure(endpoint, service);
            return Arc::clone(unit);
        }
        let unit = GateUnit::new(&self.context, &self.balancer, name, endpoint, service);
        units.insert(name.into(), Arc::clone(&unit));
        self.context
            .events
            .emit("gate-open", name, "this host holds the gate");
        unit
    }
}

/// Counts the endpoints of each service that online requests may go to.
fn service_sizes(view: &FleetView) -> SortedIndex<Arc<str>, usize> {
    let mut sizes: SortedIndex<Arc<str>, usize> = SortedIndex::new();
    let staying = view
        .config
        .endpoints()
        .filter(|(_, endpoint)| !endpoint.leaving);
    for (_, endpoint) in staying {
        let size = sizes.get(&*endpoint.service).copied().unwrap_or(0);
        sizes.insert(Arc::clone(&endpoint.service), size + 1);
    }
    sizes
}

fn endpoint_of<'a>(
    view: &'a FleetView,
    name: &str,
) -> Option<(&'a EndpointConfig, &'a ServiceConfig)> {
    let endpoint = view.config.endpoint(name)?;
    Some((endpoint, view.config.service(&endpoint.service)?))
}

fn settings_of(endpoint: &EndpointConfig, service: &ServiceConfig, mixed: bool) -> GateSettings {
    GateSettings {
        max_concurrent: endpoint.max_concurrent,
        first_token: Duration::from_millis(service.first_token_ms),
        between_tokens: Duration::from_millis(service.between_tokens_ms),
        mixed,
    }
}

fn refuse(reason: &str) -> FrameStream {
    let frame = refusal(reason, MOVED_RETRY);
    futures::stream::once(std::future::ready(frame)).boxed()
}

fn refusal(reason: &str, retry_after: Duration) -> StreamFrame {
    StreamFrame::Refused(RefusalNote {
        reason: reason.into(),
        ran: RunState::NotRun,
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
    })
}
