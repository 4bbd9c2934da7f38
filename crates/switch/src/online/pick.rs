//! Selects where a request goes, or rejects it.

use super::ask::{AskedPlace, CoordinatedPick};
use super::attempts::{MAX_OTHER_WAIT, RoutedTarget};
use super::target::AttemptTarget;
use super::{MIN_REMAINING, NO_ENDPOINT_RETRY_AFTER, OnlineExchange, OnlineReply};
use crate::coordinator::group::GroupId;
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::in_flight::InFlightGuard;
use crate::load::{EndpointPick, RequestClass};
use crate::node::{SwitchState, millis};
use crate::overload::{MAX_RETRY_FRACTION, Rejection};
use crate::quarantine::{Admission, retry_delay};
use crate::report::EndpointKey;
use crate::wait::max_wait;
use crate::workspace::fair::{ShareClaim, ShareLimit};
use crate::workspace::pools::SharePool;
use rand::Rng;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of endpoints tried for one request, including those that refused it.
pub(super) const MAX_SENDS: u32 = 4;
/// Maximum expected wait with which a stream is resumed. Well under the 2 s after which callers abandon a stream.
pub(super) const MAX_RESUME_WAIT: Duration = Duration::from_secs(1);

/// Expected wait of a request, and the longest with which it is sent.
#[derive(Clone, Copy)]
struct ExpectedWait {
    wait: Duration,
    max_wait: Duration,
    /// Limit by the share of its workspace.
    limit: ShareLimit,
}

impl OnlineExchange {
    /// Selects the service of the next attempt. A stream goes on at the service that began it.
    pub(super) fn pick_service(&self, state: &mut SwitchState, now: Instant) -> Option<Arc<str>> {
        let route = &self.request.route;
        let draw = state.rng.random::<f64>();
        let drawn = route.pick_service(draw);
        let Some(version) = self.version else {
            return drawn.cloned();
        };
        let table = &state.endpoints;
        let serving = table.service_with_version(route.services(), version, now);
        serving.or(drawn).cloned()
    }

    /// Selects where the request goes, and counts it there.
    pub(super) fn pick(&mut self) -> Result<RoutedTarget, OnlineReply> {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        if remaining < MIN_REMAINING {
            return Err(self.deadline_reply());
        }
        if self.sends >= MAX_SENDS {
            return Err(self.failure_reply(NO_ENDPOINT_RETRY_AFTER));
        }
        let node = self.node.clone();
        // Dropped after the lock is released.
        let asked = self.asked.take();
        let state = &mut *node.lock();
        let admission = node.admit(state, &self.request.call.id, &self.suspects, now);
        if let Admission::Rejected { trial_in, .. } = admission {
            return Err(self.reject_suspect(retry_delay(trial_in)));
        }
        self.is_trial = admission == Admission::Trial;
        let picked = self.pick_target(state, asked.as_ref(), remaining, now);
        if picked.is_err() {
            self.renew_trial(state, now);
        }
        picked
    }

    /// Makes a trial due again if the request was to be it and has reached no endpoint.
    pub(super) fn renew_trial(&mut self, state: &mut SwitchState, now: Instant) {
        if std::mem::take(&mut self.is_trial) {
            let quarantine = &mut state.crashes.quarantine;
            quarantine.renew_trial(&self.suspects, now);
        }
    }

    /// Selects where an admitted request goes, and counts it there.
    fn pick_target(
        &mut self,
        state: &mut SwitchState,
        asked: Option<&AskedPlace>,
        remaining: Duration,
        now: Instant,
    ) -> Result<RoutedTarget, OnlineReply> {
        if state.reach.is_cut_off() {
            if self.request.passed_on.is_some() && self.runs == 0 {
                return Err(OnlineReply::OutOfReach);
            }
            if let Some(routed) = self.route_to_host(state) {
                return Ok(routed);
            }
        }
        let coordinated = asked.and_then(|asked| {
            let pick = self.coordinated_pick(state, asked)?;
            Some((asked.service.clone(), pick))
        });
        if let Some((service, pick)) = coordinated {
            return self.apply_coordinated(state, &service, pick);
        }
        let Some(service) = self.pick_service(state, now) else {
            return Err(self.failure_reply(NO_ENDPOINT_RETRY_AFTER));
        };
        let max_wait = self.max_wait(state, remaining);
        // No other host can help one that is cut off, so the endpoints may have ended.
        let excluded = if state.reach.is_cut_off() {
            [&self.tried, state.reach.unreached()].concat()
        } else {
            self.tried.clone()
        };
        let claim = self.share_claim(state);
        let pool = own_pool(&service);
        let interval = own_interval(state, &service, now);
        let shares = &mut state.coordination.shares;
        let limit = shares.limit(&pool, claim, interval, now);
        let own_max_wait = max_wait.mul_f64(limit.wait_fraction);
        let mut pick = self.select(state, &service, &excluded, own_max_wait);
        if pick == EndpointPick::Missing && self.runs > 0 {
            // An endpoint that has failed this request is better than none.
            pick = self.select(state, &service, &[], own_max_wait);
        }
        let shares = &mut state.coordination.shares;
        match pick {
            EndpointPick::Use(_) => shares.record_grant(&pool, claim, now),
            EndpointPick::Full { wait } => {
                shares.record_rejection(&pool, claim, wait <= max_wait, now);
            }
            EndpointPick::Missing => {}
        }
        match pick {
            EndpointPick::Use(endpoint) => Ok(self.route(state, &service, endpoint)),
            EndpointPick::Full { wait } => {
                let expected = ExpectedWait {
                    wait,
                    max_wait,
                    limit,
                };
                let retry_after = self.reject_full(state, &service, expected, remaining);
                Err(self.failure_reply(retry_after))
            }
            EndpointPick::Missing => {
                info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
                    "service" => &*service, "cause" => "no endpoint is left",
                    "resumes" => self.request.resumes.as_deref(),
                    "tried" => self.tried.len(), "listed" => state.endpoints.len());
                Err(self.failure_reply(NO_ENDPOINT_RETRY_AFTER))
            }
        }
    }

    /// Routes or rejects the request as a coordinator decided.
    fn apply_coordinated(
        &mut self,
        state: &mut SwitchState,
        service: &str,
        pick: CoordinatedPick,
    ) -> Result<RoutedTarget, OnlineReply> {
        match pick {
            CoordinatedPick::Use {
                endpoint,
                has_free_slot,
            } => {
                let routed = self.route(state, service, endpoint);
                self.had_free_slot = self.sends == 1 && has_free_slot;
                Ok(routed)
            }
            CoordinatedPick::Full { retry_after, wait } => {
                info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
                    "service" => service, "cause" => "a coordinator says that all endpoints have queues",
                    "wait_ms" => millis(wait));
                Err(self.failure_reply(retry_after))
            }
        }
    }

    /// Selects where the request goes beside the silent target that has it, and counts it there. `None` if none can take the request
    /// now.
    pub(super) fn pick_other(&mut self, silent: &Arc<str>) -> Option<RoutedTarget> {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        if remaining < MIN_REMAINING {
            return None;
        }
        let node = self.node.clone();
        let state = &mut *node.lock();
        if state.crashes.quarantine.covers(&self.suspects) {
            return None;
        }
        if state.reach.is_cut_off() {
            return self.route_to_host(state);
        }
        let service = self.pick_service(state, now)?;
        let max_wait = self.max_wait(state, remaining).min(MAX_OTHER_WAIT);
        let excluded = [&self.tried[..], std::slice::from_ref(silent)].concat();
        match self.select(state, &service, &excluded, max_wait) {
            EndpointPick::Use(endpoint) => Some(self.route(state, &service, endpoint)),
            EndpointPick::Full { .. } | EndpointPick::Missing => None,
        }
    }

    /// Selects an endpoint that is not among the `excluded`.
    fn select(
        &self,
        state: &mut SwitchState,
        service: &str,
        excluded: &[Arc<str>],
        max_wait: Duration,
    ) -> EndpointPick {
        let filter = EndpointFilter {
            service,
            version: self.version,
        };
        let now = Instant::now();
        let (endpoints, limits) = (&state.endpoints, &state.limits);
        if limits.is_empty() {
            let (load, rng) = (&state.load, &mut state.rng);
            return load.pick_online(endpoints, filter, excluded, max_wait, now, rng);
        }
        let serving = endpoints.serving(filter, now);
        let usable = serving.filter(|endpoint| !excluded.contains(&endpoint.id));
        let limited = usable.filter(|endpoint| !limits.admits(&endpoint.id, now));
        let limited: Vec<Arc<str>> = limited.map(|endpoint| endpoint.id.clone()).collect();
        let all_excluded = [excluded, &limited].concat();
        let rng = &mut state.rng;
        let pick = state
            .load
            .pick_online(endpoints, filter, &all_excluded, max_wait, now, rng);
        if pick != EndpointPick::Missing {
            return pick;
        }
        // Endpoints whose limit is used up are not missing.
        let waits = limited.iter().map(|id| limits.wait(id, now));
        waits
            .min()
            .map_or(EndpointPick::Missing, |wait| EndpointPick::Full { wait })
    }

    /// Counts the request at the endpoint that was selected for it.
    fn route(
        &mut self,
        state: &mut SwitchState,
        service: &str,
        endpoint: Arc<ListedEndpoint>,
    ) -> RoutedTarget {
        let now = Instant::now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        let load = state.load.total(&endpoint.id);
        info!(self.node.deps.logger, "request routed"; "request" => &*self.request.call.id,
            "service" => service, "key" => %self.key, "parts" => %self.parts,
            "body_bytes" => self.request.call.body.len(), "endpoint" => &*endpoint.id,
            "version" => &*endpoint.version, "send" => self.sends + 1,
            "resumes" => self.request.resumes.as_deref(),
            "resume_after" => self.request.resume_after,
            "online" => load.online, "batch" => load.batch, "slots" => endpoint.slots,
            "report_age_ms" => millis(state.members.oldest_heartbeat_age(now)),
            "config" => state.routes.as_ref().map(|routes| routes.version),
            "listing" => state.endpoints.read_until(),
            "listing_age_ms" => state.endpoints.read_age(now).map(millis),
            "overdue_after_ms" => state.load.overdue_after(EndpointKey::of(&endpoint.id), now).map(millis),
            "held_back" => state.endpoints.removal_due(&endpoint.id).is_some(),
            "left_ms" => millis(remaining));
        let guard = InFlightGuard::begin(&self.node, state, &endpoint, RequestClass::Online);
        self.sends += 1;
        self.sent.push((endpoint.id.clone(), now));
        state.limits.take(&endpoint.id, now);
        self.had_free_slot = self.sends == 1 && load.total() < endpoint.slots;
        self.endpoint = Some(endpoint.id.clone());
        (AttemptTarget::Endpoint(endpoint), Some(guard))
    }

    /// Rejects a request that takes up a stream at once if endpoints crash under it. It is not used as a trial, since it would have to wait for the version that began the stream.
    pub(super) fn check_suspects(&self) -> Result<(), OnlineReply> {
        let is_resumed = self.request.resume_after.is_some();
        if is_resumed && self.node.lock().crashes.quarantine.covers(&self.suspects) {
            return Err(self.reject_suspect(NO_ENDPOINT_RETRY_AFTER));
        }
        Ok(())
    }

    /// Logs that the request is not sent since endpoints crash under it, and returns the reply.
    fn reject_suspect(&self, retry_after: Duration) -> OnlineReply {
        info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
            "cause" => "endpoints crash under it or under parts of its prompt", "key" => %self.key,
            "parts" => %self.parts);
        self.failure_reply(retry_after)
    }

    /// For whom the request is, where there are workspaces. A stream that goes on uses no new share.
    pub(super) fn share_claim(&self, state: &SwitchState) -> Option<ShareClaim> {
        let routes = state.routes.as_ref()?;
        let workspaces = routes.workspaces()?;
        let priority = self.request.route.priority;
        if self.version.is_some() {
            return None;
        }
        if let Some(workspace) = &self.request.workspace {
            return Some(ShareClaim::new(workspace, priority));
        }
        // The name goes with a request that another host has passed on.
        let name = self.request.call.workspace.as_deref();
        let workspace = name.and_then(|name| workspaces.get(name));
        Some(match workspace {
            Some(workspace) => ShareClaim::new(workspace, priority),
            None => ShareClaim::public(priority),
        })
    }

    /// Longest expected wait with which the request is sent.
    fn max_wait(&self, state: &SwitchState, remaining: Duration) -> Duration {
        if self.version.is_some() {
            // The latency target concerns the first event, which the caller has.
            return MAX_RESUME_WAIT.min(remaining);
        }
        let first_byte = state.load.response_times().first_byte();
        max_wait(self.request.route.latency_target, first_byte, remaining)
    }

    /// Records that the request is rejected since it would wait too long, and returns the retry-after value.
    fn reject_full(
        &self,
        state: &mut SwitchState,
        service: &str,
        expected: ExpectedWait,
        remaining: Duration,
    ) -> Duration {
        let now = Instant::now();
        let times = state.load.response_times();
        info!(self.node.deps.logger, "request not routed"; "request" => &*self.request.call.id,
            "service" => service, "cause" => "all endpoints have queues",
            "report_age_ms" => millis(state.members.oldest_heartbeat_age(now)),
            "wait_ms" => millis(expected.wait), "max_wait_ms" => millis(expected.max_wait),
            "wait_fraction" => expected.limit.wait_fraction,
            "first_byte_ms" => millis(times.first_byte()), "mean_run_ms" => millis(times.run()),
            "overdue" => state.load.overdue());
        let rejection = Rejection {
            wait: expected.wait.max(expected.limit.back_in),
            limit: remaining.mul_f64(MAX_RETRY_FRACTION),
            service_interval: own_interval(state, service, now),
        };
        let draw = state.rng.random::<f64>();
        state.overload.record_rejection(rejection, now, draw)
    }
}

/// The slots that this host chooses from itself.
fn own_pool(service: &Arc<str>) -> SharePool<GroupId> {
    SharePool {
        service: service.clone(),
        group: None,
        is_batch: false,
    }
}

/// Mean time between two requests of this host that the endpoints complete while all hosts use them alike.
fn own_interval(state: &SwitchState, service: &str, now: Instant) -> Duration {
    let hosts = u32::try_from(state.members.live(now).count() + 1).unwrap_or(u32::MAX);
    state.load.service_interval(&state.endpoints, service, now) * hosts
}
