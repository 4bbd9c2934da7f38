//! Checks whether this host reaches the endpoints, and what follows if it does not.

use crate::backend::ConnectOutcome;
use crate::batch;
use crate::endpoint::ListedEndpoint;
use crate::node::{SwitchNode, SwitchState, millis};
use crate::reach::{HOST_AVOID_TIME, ReachPhase, ReachReport};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Number of endpoints that are tried at once.
const CHECKED_AT_ONCE: usize = 4;
/// Number of other endpoints that are tried before the end of an answer is put down to the links of this host.
const MAX_OTHERS: usize = 8;
/// Time after an endpoint has accepted a connection in which others are waited for: a few round trips within a region.
const OTHERS_TIME: Duration = Duration::from_millis(10);
/// Time in which another host that reaches endpoints gets data from them and tells of it.
const DATA_TIME: Duration = Duration::from_millis(500);
/// Time from the attempt at the other endpoints to data that must have come after it, as heartbeats take some time.
const DATA_MARGIN: Duration = Duration::from_millis(100);
/// Time between two attempts of a host that is cut off, at first and at most.
const RETRY_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];

impl SwitchNode {
    /// What this host tells the others of its links.
    pub(crate) fn reach_report(&self, state: &SwitchState, now: Instant) -> ReachReport {
        let silence = now.saturating_duration_since(self.heard_at());
        let accepts_callers = state.routes.is_some() && !state.stopping;
        ReachReport {
            is_cut_off: state.reach.is_cut_off() && accepts_callers,
            heard_before_ms: u32::try_from(millis(silence)).unwrap_or(u32::MAX),
        }
    }

    /// Records that no connection to an endpoint came about, and checks whether other endpoints can be reached.
    pub(crate) fn record_unreached(self: &Arc<Self>, state: &mut SwitchState, id: &Arc<str>) {
        let now = Instant::now();
        if state.reach.begin_check(now) {
            self.reach_changes.send_replace(ReachPhase::Checking);
            self.apply_unreached(state, id);
            tokio::spawn(check_reach(self.clone()));
        }
    }

    /// Whether this host is cut off from the endpoints.
    pub(crate) fn is_cut_off(&self) -> bool {
        *self.reach_changes.borrow() == ReachPhase::CutOff
    }

    /// Waits until a check whether endpoints can be reached has told, if one is in progress. It takes no longer than connections do.
    pub(crate) async fn wait_for_check(&self) {
        let mut phases = self.reach_changes.subscribe();
        // The sender lives as long as this host.
        let _ = phases
            .wait_for(|phase| *phase != ReachPhase::Checking)
            .await;
    }

    /// Gives a host that could not be reached no request for a while.
    pub(crate) fn avoid_host(&self, state: &mut SwitchState, name: &Arc<str>) {
        state.reach.avoid_host(name, Instant::now());
        info!(self.deps.logger, "host avoided"; "peer" => &**name,
            "for_ms" => millis(HOST_AVOID_TIME));
    }

    /// Whether the end of answers of `endpoint`, which refuses connections, is that of this host's own links: it reaches no other
    /// endpoint either, though another host goes on getting data from endpoints. Data from before tell nothing if all have ended.
    pub(crate) async fn has_lost_links(&self, endpoint: &ListedEndpoint) -> bool {
        let is_other = |other: &ListedEndpoint| other.id != endpoint.id;
        let others = sample_endpoints(&mut self.lock(), MAX_OTHERS, is_other);
        let Some((first, rest)) = others.split_first() else {
            return false;
        };
        // Mostly the first one accepts, which spares the others a connection.
        if self.reaches_any(std::slice::from_ref(first)).await || self.reaches_any(rest).await {
            return false;
        }
        let tried_at = Instant::now();
        if !self.lock().members.others_have_data(tried_at) {
            return false;
        }
        sleep(DATA_TIME).await;
        let since = tried_at + DATA_MARGIN;
        self.lock()
            .members
            .others_have_data_since(since, Instant::now())
    }

    /// Tries to open connections to these endpoints at once. Returns whether one accepts. New requests avoid those that do not, as far as
    /// that is known shortly after.
    async fn reaches_any(&self, endpoints: &[Arc<ListedEndpoint>]) -> bool {
        let attempts = endpoints
            .iter()
            .map(async |endpoint| (endpoint, self.deps.client.try_connect(endpoint).await));
        let mut attempts: FuturesUnordered<_> = attempts.collect();
        let mut accepted_at: Option<Instant> = None;
        loop {
            let next = match accepted_at {
                None => attempts.next().await,
                Some(accepted_at) => timeout_at(accepted_at + OTHERS_TIME, attempts.next())
                    .await
                    .ok()
                    .flatten(),
            };
            let Some((endpoint, outcome)) = next else {
                return accepted_at.is_some();
            };
            if outcome == ConnectOutcome::Accepted {
                accepted_at = accepted_at.or_else(|| Some(Instant::now()));
            } else {
                self.avoid_endpoint(&mut self.lock(), &endpoint.id, Instant::now());
            }
        }
    }

    fn apply_unreached(self: &Arc<Self>, state: &mut SwitchState, id: &Arc<str>) {
        let serving = state.endpoints.all_serving(Instant::now()).into_iter();
        let serving: Vec<Arc<str>> = serving.map(|endpoint| endpoint.id.clone()).collect();
        state.reach.forget_others(&serving);
        if !state.reach.record_unreached(id, serving.len()) {
            return;
        }
        warn!(self.deps.logger, "endpoints out of reach"; "endpoints" => serving.len(),
            "unreached" => state.reach.unreached().len(),
            "action" => "requests are passed on to other hosts, and callers sent there");
        self.reach_changes.send_replace(state.reach.phase());
        self.heartbeat_requested.notify_one();
        if !state.stopping && state.reach.set_handing_over(true) {
            tokio::spawn(hand_items_over(self.clone()));
        }
    }
}

/// Gives the items of a host that is cut off to other hosts.
async fn hand_items_over(node: Arc<SwitchNode>) {
    batch::hand_over(&node).await;
    node.lock().reach.set_handing_over(false);
}

/// Tries endpoints until one can be reached.
async fn check_reach(node: Arc<SwitchNode>) {
    let [mut pause, max_pause] = RETRY_INTERVALS;
    loop {
        let endpoints = {
            let state = &mut *node.lock();
            let reach = state.reach.clone();
            let is_new = |endpoint: &ListedEndpoint| !reach.is_unreached(&endpoint.id);
            let new = sample_endpoints(state, CHECKED_AT_ONCE, is_new);
            if new.is_empty() {
                sample_endpoints(state, CHECKED_AT_ONCE, |_| true)
            } else {
                new
            }
        };
        // Without endpoints, nothing is out of reach.
        if endpoints.is_empty() || node.reaches_any(&endpoints).await {
            break;
        }
        let is_cut_off = {
            let state = &mut *node.lock();
            for endpoint in &endpoints {
                node.apply_unreached(state, &endpoint.id);
            }
            state.reach.is_cut_off()
        };
        if is_cut_off {
            sleep(pause).await;
            pause = (pause * 2).min(max_pause);
        }
    }
    let state = &mut *node.lock();
    state.reach.end_check();
    let was_cut_off = state.reach.record_reached(Instant::now());
    node.reach_changes.send_replace(state.reach.phase());
    if was_cut_off {
        state.load.forget_connection_failures();
        info!(node.deps.logger, "endpoints in reach again");
        node.heartbeat_requested.notify_one();
        node.schedule_requested.notify_one();
    }
}

/// Draws serving endpoints that `is_wanted` selects.
fn sample_endpoints(
    state: &mut SwitchState,
    count: usize,
    is_wanted: impl Fn(&ListedEndpoint) -> bool,
) -> Vec<Arc<ListedEndpoint>> {
    let serving = state.endpoints.all_serving(Instant::now());
    let wanted = serving.into_iter().filter(|endpoint| is_wanted(endpoint));
    let wanted: Vec<Arc<ListedEndpoint>> = wanted.collect();
    let sample = wanted.choose_multiple(&mut state.rng, count);
    sample.cloned().collect()
}
