//! Admission of all work to endpoints.
//!
//! The host that holds the gate of an endpoint queues its online requests, pulls batch items into
//! its spare capacity, and tracks every call in flight there. The decisions are in
//! [`fulmarswitch_decide::gate`]; this module carries them out.

mod batch;
mod driver;

use crate::balancer::LoadBalancer;
use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use crate::shards::ShardReplicas;
use driver::GateDriver;
use fulmarswitch_decide::gate::GateSettings;
use fulmarswitch_decide::online_pool::MIN_ENDPOINTS_TO_SPLIT;
use fulmarswitch_peer::message::{ItemReport, JobName, OfferList, Refusal, RunRequest, RunState};
use fulmarswitch_peer::{FrameStream, PeerReply, StreamFrame};
use fulmarswitch_records::config::{EndpointConfig, ServiceConfig};
use fulmarswitch_records::{HostIdentity, SortedIndex};
use futures::StreamExt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which gates are reconciled with the configuration and polled.
const GATE_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay when an endpoint is leaving, is not configured, or did not run the call.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The gates that one host holds.
pub struct GateManager {
    context: HostContext,
    fleet: Arc<FleetState>,
    shards: Arc<ShardReplicas>,
    balancer: Arc<LoadBalancer>,
    gates: Mutex<SortedIndex<Arc<str>, Arc<GateDriver>>>,
    offers: Mutex<SortedIndex<HostIdentity, OfferList>>,
    /// Results that have not been sent yet, by job.
    pending_reports: Mutex<SortedIndex<Arc<str>, ItemReport>>,
    /// Number of reports that are being sent.
    reports_in_flight: AtomicUsize,
    attempt_counter: AtomicU64,
    draining: AtomicBool,
    /// Fleet view that the gates were last reconciled with.
    applied_view: Mutex<Arc<FleetView>>,
}

impl GateManager {
    /// Creates a manager without gates; [`Self::run_gates`] opens them.
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
            gates: Mutex::default(),
            offers: Mutex::default(),
            pending_reports: Mutex::default(),
            reports_in_flight: AtomicUsize::new(0),
            attempt_counter: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            applied_view: Mutex::default(),
        })
    }

    /// Returns a number for an attempt, unique within this incarnation of the host.
    pub fn next_attempt(&self) -> u64 {
        self.attempt_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Stops pulling batch items; requests that are already queued or running go on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of gates, and the number of requests in them plus reports not delivered yet.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let gates = lock(&self.gates);
        let requests: usize = gates.iter().map(|(_, gate)| gate.request_count()).sum();
        let unsent =
            lock(&self.pending_reports).len() + self.reports_in_flight.load(Ordering::Acquire);
        (gates.len(), requests + unsent)
    }

    /// Runs a request on an endpoint whose gate this host holds.
    ///
    /// If the endpoint is unknown or leaving, the stream contains a refusal only.
    pub fn run(self: &Arc<Self>, request: RunRequest) -> FrameStream {
        let view = self.fleet.view();
        let Some((endpoint, service)) = endpoint_with_service(&view, &request.endpoint) else {
            return refused_stream("the endpoint is not configured");
        };
        if endpoint.leaving {
            return refused_stream("the endpoint is leaving");
        }
        let gate = self.ensure_gate(&request.endpoint, endpoint, service);
        gate.run_online(request)
    }

    /// Replaces the offers of an owner by its latest list.
    pub fn receive_offers(&self, offers: OfferList) -> PeerReply {
        lock(&self.offers).insert(offers.owner.clone(), offers);
        PeerReply::Accepted
    }

    /// Stops the items of a cancelled job at all gates of this host.
    pub fn stop_job(&self, job: &JobName) -> PeerReply {
        for (_, gate) in lock(&self.gates).iter() {
            gate.stop_job(&job.job);
        }
        PeerReply::Accepted
    }

    /// Periodically opens and closes gates, polls them and pulls batch items; never returns.
    pub async fn run_gates(self: Arc<Self>) {
        loop {
            self.reconcile_gates();
            let gates: Vec<Arc<GateDriver>> = lock(&self.gates)
                .iter()
                .map(|(_, gate)| Arc::clone(gate))
                .collect();
            for gate in gates {
                gate.poll();
                self.stop_cancelled(&gate);
                self.pull_batch(&gate);
            }
            tokio::time::sleep(GATE_INTERVAL).await;
        }
    }

    /// Opens the gates that this host should hold, and closes idle ones that it should not.
    fn reconcile_gates(self: &Arc<Self>) {
        let view = self.fleet.view();
        if self.is_new_view(&view) {
            self.apply_view(&view);
        }
        let draining = self.draining.load(Ordering::Relaxed);
        lock(&self.gates).retain(|name, gate| {
            let is_held = self.holds_gate(&view, name);
            gate.set_accepts_batch(is_held && !draining);
            is_held || gate.request_count() > 0
        });
    }

    fn is_new_view(&self, view: &Arc<FleetView>) -> bool {
        let mut applied_view = lock(&self.applied_view);
        let new = !Arc::ptr_eq(&applied_view, view);
        *applied_view = Arc::clone(view);
        new
    }

    fn apply_view(self: &Arc<Self>, view: &FleetView) {
        for name in view.gates_held_by(&self.context.identity.name) {
            if let Some((endpoint, service)) = endpoint_with_service(view, name)
                && self.holds_gate(view, name)
            {
                self.ensure_gate(name, endpoint, service);
            }
        }
        let counts = endpoint_counts(view);
        for (name, gate) in lock(&self.gates).iter() {
            let service = gate.config().0.service;
            gate.set_mixed(counts.get(&*service).copied().unwrap_or(0) < MIN_ENDPOINTS_TO_SPLIT);
            match endpoint_with_service(view, name) {
                Some((endpoint, service)) => gate.configure(endpoint, service),
                None => gate.set_leaving(true),
            }
        }
    }

    fn holds_gate(&self, view: &FleetView, endpoint: &str) -> bool {
        let gate = view.gate_holder(endpoint);
        gate.is_some_and(|gate| gate.host == self.context.identity)
    }

    fn ensure_gate(
        self: &Arc<Self>,
        name: &str,
        endpoint: &EndpointConfig,
        service: &ServiceConfig,
    ) -> Arc<GateDriver> {
        let mut gates = lock(&self.gates);
        if let Some(gate) = gates.get(name) {
            gate.configure(endpoint, service);
            return Arc::clone(gate);
        }
        let gate = GateDriver::new(&self.context, &self.balancer, name, endpoint, service);
        gates.insert(name.into(), Arc::clone(&gate));
        self.context
            .events
            .emit("gate-open", name, "this host holds the gate");
        gate
    }
}

/// Returns the number of endpoints of each service that are not leaving.
fn endpoint_counts(view: &FleetView) -> SortedIndex<Arc<str>, usize> {
    let mut counts: SortedIndex<Arc<str>, usize> = SortedIndex::new();
    let serving = view
        .config
        .endpoints()
        .filter(|(_, endpoint)| !endpoint.leaving);
    for (_, endpoint) in serving {
        let count = counts.get(&*endpoint.service).copied().unwrap_or(0);
        counts.insert(Arc::clone(&endpoint.service), count + 1);
    }
    counts
}

fn endpoint_with_service<'a>(
    view: &'a FleetView,
    name: &str,
) -> Option<(&'a EndpointConfig, &'a ServiceConfig)> {
    let endpoint = view.config.endpoint(name)?;
    Some((endpoint, view.config.service(&endpoint.service)?))
}

fn gate_settings(endpoint: &EndpointConfig, service: &ServiceConfig, mixed: bool) -> GateSettings {
    GateSettings {
        max_concurrent: endpoint.max_concurrent,
        first_token: Duration::from_millis(service.first_token_ms),
        between_tokens: Duration::from_millis(service.between_tokens_ms),
        mixed,
    }
}

fn refused_stream(reason: &str) -> FrameStream {
    let frame = refusal_frame(reason, UNAVAILABLE_RETRY_AFTER);
    futures::stream::once(std::future::ready(frame)).boxed()
}

fn refusal_frame(reason: &str, retry_after: Duration) -> StreamFrame {
    StreamFrame::Refused(Refusal {
        reason: reason.into(),
        ran: RunState::NotRun,
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
    })
}
