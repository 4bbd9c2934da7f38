//! Chooses endpoints for online requests, and learns from what becomes of them.
//!
//! Each service has a prepared table of its endpoints, their load as far as known here, the trust in them
//! and a budget of retries. The decisions are in [`fulmarswitch_decide::balance`],
//! [`fulmarswitch_decide::suspicion`] and [`fulmarswitch_decide::retry`]. The table is prepared anew on the
//! first choice after a change of configuration; load and trust are carried over by name.

use crate::fleet::{FleetBooks, FleetView};
use crate::parts::{HostParts, lock};
use fulmarswitch_decide::balance::{
    EndpointIndex, EndpointSpec, EndpointStanding, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryVerdict};
use fulmarswitch_decide::suspicion::{AttemptSign, ServiceHealth, TrustChange};
use fulmarswitch_peer::StreamFrame;
use fulmarswitch_peer::message::{LoadNote, RunState};
use fulmarswitch_records::{Offset, OnlineRequest, SortedIndex};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of an input that are taken for its prefix.
const PREFIX_BYTES: usize = 64;
/// Tokens over which the time between them is averaged.
const GAP_TOKENS: u32 = 4;
/// Time that another attempt is taken to need while the service's typical time is not known.
const UNKNOWN_NEED: Duration = Duration::from_millis(50);

/// One service's endpoints as known here.
struct ServiceBook {
    /// Configuration that the table was prepared from.
    prepared: Option<Offset>,
    table: EndpointTable,
    affine: bool,
    loads: Vec<EndpointLoad>,
    /// Endpoints whose gate says that they have not loaded the model.
    cold: Vec<bool>,
    health: ServiceHealth,
    budget: RetryBudget,
    choices: u64,
}

/// Chooses endpoints on one host.
pub struct EndpointChooser {
    parts: HostParts,
    fleet: Arc<FleetBooks>,
    services: Mutex<SortedIndex<Arc<str>, ServiceBook>>,
}

impl EndpointChooser {
    /// Creates a chooser that knows no load yet.
    #[must_use]
    pub fn new(parts: &HostParts, fleet: &Arc<FleetBooks>) -> Arc<Self> {
        Arc::new(Self {
            parts: parts.clone(),
            fleet: Arc::clone(fleet),
            services: Mutex::default(),
        })
    }

    /// Chooses an endpoint for a request and counts the request as sent to it.
    pub(crate) fn choose(
        self: &Arc<Self>,
        request: &OnlineRequest,
        excluded: &[Arc<str>],
    ) -> Option<SentAttempt> {
        let now = self.parts.now();
        let endpoint = self.with_service(&request.service, |service| {
            let probe = excluded.is_empty() && request.idempotent;
            let index = service.choose(now, &request.input, excluded, probe)?;
            service.loads[index.at()].send();
            Some(Arc::clone(&service.table.specs()[index.at()].name))
        })?;
        Some(SentAttempt {
            chooser: Arc::clone(self),
            service: Arc::clone(&request.service),
            endpoint,
            sent_at: Instant::now(),
            first_at: None,
            gap_from: Instant::now(),
            gap_tokens: 0,
            overdue: false,
        })
    }

    /// Decides whether a request that failed at one endpoint is tried at another.
    pub(crate) fn judge_retry(
        &self,
        request: &OnlineRequest,
        may_have_run: bool,
        left: Duration,
    ) -> RetryVerdict {
        let now = self.parts.now();
        self.with_service(&request.service, |service| {
            let needed = service.health.typical_first_token();
            let failed = FailedAttempt {
                idempotent: request.idempotent,
                may_have_run,
                left,
                needed: needed.unwrap_or(UNKNOWN_NEED),
            };
            service.budget.judge(now, failed)
        })
    }

    /// Returns the time after which an attempt's first token is overdue, once that is known.
    fn patience(&self, service: &str) -> Option<Duration> {
        self.with_service(service, |service| service.health.patience())
    }

    fn note(&self, service: &Arc<str>, endpoint: &str, sign: AttemptSign) {
        let now = self.parts.now();
        let change = self.with_service(service, |service| {
            let index = service.table.index_of(endpoint)?;
            service.health.note(now, index, sign)
        });
        match change {
            Some(TrustChange::Suspected(_)) => {
                self.parts.metrics.suspicions.inc();
                self.parts
                    .events
                    .note("suspect-endpoint", endpoint, &format!("{sign:?}"));
            }
            Some(TrustChange::Trusted(_)) => {
                self.parts
                    .events
                    .note("trust-endpoint", endpoint, "it answers well again");
            }
            None => {}
        }
    }

    fn take_load(&self, service: &str, endpoint: &str, note: &LoadNote) {
        let now = self.parts.now();
        self.with_service(service, |service| {
            if let Some(index) = service.table.index_of(endpoint) {
                let share = LoadShare {
                    held: note.held,
                    limit: note.limit,
                };
                service.loads[index.at()].note(now, share);
                service.cold[index.at()] = !note.loaded;
            }
        });
    }

    fn end(&self, service: &str, endpoint: &str) {
        self.with_service(service, |service| {
            if let Some(index) = service.table.index_of(endpoint) {
                service.loads[index.at()].end();
            }
        });
    }

    fn succeed(&self, service: &str) {
        self.with_service(service, |service| service.budget.succeed());
    }

    /// Gives access to a service's book, prepared from the configuration in force.
    fn with_service<T>(&self, name: &str, act: impl FnOnce(&mut ServiceBook) -> T) -> T {
        let view = self.fleet.view();
        let now = self.parts.now();
        let mut services = lock(&self.services);
        if !services.contains(name) {
            services.insert(name.into(), ServiceBook::new(now));
        }
        let Some(service) = services.get_mut(name) else {
            unreachable!("the service has just been put in");
        };
        if service.prepared != view.config.applied() {
            let domain = &self.parts.settings.failure_domain;
            service.prepare(&view, name, domain);
        }
        act(service)
    }
}

impl ServiceBook {
    fn new(now: Duration) -> Self {
        Self {
            prepared: None,
            table: EndpointTable::default(),
            affine: true,
            loads: Vec::new(),
            cold: Vec::new(),
            health: ServiceHealth::default(),
            budget: RetryBudget::new(now),
            choices: 0,
        }
    }

    fn prepare(&mut self, view: &FleetView, name: &str, domain: &str) {
        let specs: Vec<EndpointSpec> = view
            .config
            .endpoints()
            .filter(|(_, endpoint)| *endpoint.service == *name && !endpoint.leaving)
            .map(|(name, endpoint)| EndpointSpec {
                name: name.into(),
                near: *endpoint.failure_domain == *domain,
            })
            .collect();
        let table = EndpointTable::new(specs);
        let old_places: Vec<Option<EndpointIndex>> = table
            .specs()
            .iter()
            .map(|spec| self.table.index_of(&spec.name))
            .collect();
        let old_loads = std::mem::take(&mut self.loads);
        let old_cold = std::mem::take(&mut self.cold);
        for old in &old_places {
            let load = old.map(|old| old_loads[old.at()].clone());
            self.loads.push(load.unwrap_or_default());
            self.cold.push(old.is_some_and(|old| old_cold[old.at()]));
        }
        self.health = self.health.remapped(&old_places);
        self.table = table;
        self.affine = view
            .config
            .service(name)
            .is_some_and(|service| service.prefix_affinity);
        self.prepared = view.config.applied();
    }

    fn choose(
        &mut self,
        now: Duration,
        input: &str,
        excluded: &[Arc<str>],
        probe: bool,
    ) -> Option<EndpointIndex> {
        if probe && let Some(index) = self.health.take_probe(now) {
            return Some(index);
        }
        self.choices += 1;
        let affinity = if self.affine {
            RequestAffinity::of_prefix(prefix_of(input))
        } else {
            RequestAffinity::Any(self.choices)
        };
        let is_excluded = |index: EndpointIndex| {
            let name = &self.table.specs()[index.at()].name;
            excluded.contains(name)
        };
        self.table.choose(affinity, |index| {
            let standing = if is_excluded(index) {
                EndpointStanding::Excluded
            } else if self.health.is_suspected(index) {
                EndpointStanding::Suspected
            } else if self.cold[index.at()] {
                EndpointStanding::Cold
            } else {
                EndpointStanding::Ready
            };
            EndpointView {
                load: self.loads[index.at()].share(now),
                standing,
            }
        })
    }
}

/// A request on its way to an endpoint; dropping it counts the request as ended.
pub(crate) struct SentAttempt {
    chooser: Arc<EndpointChooser>,
    service: Arc<str>,
    /// The endpoint.
    pub(crate) endpoint: Arc<str>,
    sent_at: Instant,
    first_at: Option<Instant>,
    gap_from: Instant,
    gap_tokens: u32,
    overdue: bool,
}

impl SentAttempt {
    /// Learns from a frame of the answer.
    pub(crate) fn see(&mut self, frame: &StreamFrame) {
        match frame {
            StreamFrame::Load(note) => self.see_load(note),
            StreamFrame::Text(_) => self.see_token(),
            StreamFrame::Done { .. } => self.chooser.succeed(&self.service),
            StreamFrame::Refused(note) if note.ran == RunState::MayHaveRun => self.see_broken(),
            _ => {}
        }
    }

    /// Learns that the gate or the endpoint was not reached.
    pub(crate) fn see_unreached(&self) {
        self.note(AttemptSign::Unreached);
    }

    /// Learns that the answer broke off.
    pub(crate) fn see_broken(&self) {
        self.note(AttemptSign::Broken);
    }

    /// Learns that no token has come for [`Self::overdue_at`].
    pub(crate) fn see_overdue(&mut self) {
        self.overdue = true;
        self.note(AttemptSign::Overdue);
    }

    /// Returns when the first token is overdue; nothing when it has come or its time is not known.
    pub(crate) fn overdue_at(&self) -> Option<Instant> {
        if self.overdue || self.first_at.is_some() {
            return None;
        }
        Some(self.sent_at + self.chooser.patience(&self.service)?)
    }

    fn see_load(&self, note: &LoadNote) {
        self.chooser.take_load(&self.service, &self.endpoint, note);
        if !note.reached {
            self.see_unreached();
        }
    }

    fn see_token(&mut self) {
        let now = Instant::now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            self.gap_from = now;
            self.note(AttemptSign::FirstToken(now - self.sent_at));
            return;
        }
        self.gap_tokens += 1;
        if self.gap_tokens == GAP_TOKENS {
            self.note(AttemptSign::TokenGap((now - self.gap_from) / GAP_TOKENS));
            self.gap_from = now;
            self.gap_tokens = 0;
        }
    }

    fn note(&self, sign: AttemptSign) {
        self.chooser.note(&self.service, &self.endpoint, sign);
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        self.chooser.end(&self.service, &self.endpoint);
    }
}

fn prefix_of(input: &str) -> &str {
    let end = (0..=PREFIX_BYTES.min(input.len()))
        .rev()
        .find(|end| input.is_char_boundary(*end));
    &input[..end.unwrap_or(0)]
}
