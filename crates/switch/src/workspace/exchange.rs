//! Messages between this host and the accountants: what it asks, and what it answers as one.

use super::account::{AccountTable, CapChange, TokenNeed};
use super::asks::{CapAsks, CapDecision};
use super::bucket::CapBounds;
use super::message::{
    BucketLevel, CapAnswer, CapAsk, CapGrant, CapMessage, CapTerms, MAX_COUNT, MAX_LEVELS,
};
use super::share::{DeciderRole, HeardPart};
use super::{Workspace, counts::CapCounts};
use crate::gossip::send_cap_message;
use crate::members::MemberTable;
use crate::node::{SwitchNode, SwitchState};
use rand::Rng;
use slog::{debug, info};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Number of hosts that are asked in the order of their rank, and that are told what others of them grant.
const MAX_KEEPERS: usize = 3;
/// Interval at which other keepers are told levels, and unused tokens are returned.
const TICK: Duration = Duration::from_millis(50);
/// The same of a host without a cap in its configuration.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// What a host knows of caps.
#[derive(Debug)]
pub(crate) struct CapState {
    asks: CapAsks,
    accounts: AccountTable,
    pub(crate) counts: CapCounts,
    part: HeardPart,
    /// When the part was computed.
    part_at: Option<Instant>,
}

impl CapState {
    pub(crate) fn new(bounds: CapBounds, incarnation: u64, now: Instant) -> Self {
        Self {
            asks: CapAsks::default(),
            // Accounts are numbered from the start of the process, at most one each nanosecond.
            accounts: AccountTable::new(bounds, incarnation.saturating_mul(1_000_000), now),
            counts: CapCounts::default(),
            part: HeardPart::new(0, 0),
            part_at: None,
        }
    }

    /// Counts the hosts that are heard. A host that has been apart from most others does not know what they have granted.
    fn update_part(&mut self, members: &MemberTable, now: Instant) {
        let is_current = |at: Instant| now.saturating_duration_since(at) < TICK;
        if self.part_at.is_some_and(is_current) {
            return;
        }
        self.part_at = Some(now);
        let (heard, known) = members.count_heard(now);
        let before = std::mem::replace(&mut self.part, HeardPart::new(heard, known));
        if !before.is_majority() && self.part.is_majority() {
            self.accounts.forget_past(now);
        }
    }
}

/// Who decides on the requests that wait.
enum Decider {
    Own(DeciderRole),
    Other(Arc<str>, SocketAddr),
}

impl SwitchNode {
    /// Waits until it is decided whether a request of a workspace may run. `None` if it has no cap.
    pub(crate) async fn await_cap(&self, workspace: &Workspace) -> Option<CapDecision> {
        let cap = workspace.cap?;
        let name = &workspace.name;
        let mut decision = {
            let now = Instant::now();
            let state = &mut *self.lock();
            let version = state.routes.as_ref().map_or(0, |routes| routes.version);
            let terms = CapTerms::new(cap, version);
            let Some(decision) = state.caps.asks.begin(workspace, terms, now) else {
                return Some(CapDecision::Granted);
            };
            self.ask_tokens(state, name, now);
            decision
        };
        loop {
            let due_at = self.lock().caps.asks.due_at(name);
            let due_at = due_at.unwrap_or_else(|| Instant::now() + TICK);
            if let Ok(decision) = timeout_at(due_at, &mut decision).await {
                // Requests that wait are answered before they are forgotten.
                return decision.ok();
            }
            let now = Instant::now();
            let state = &mut *self.lock();
            if let Some(host) = state.caps.asks.give_up(name, now) {
                info!(self.deps.logger, "accountant silent"; "peer" => &*host, "workspace" => &**name);
            }
            self.ask_tokens(state, name, now);
        }
    }

    /// Takes back the token of a request that has not run and will not run.
    pub(crate) fn return_token(&self, workspace: &Workspace) {
        if workspace.cap.is_some() {
            let now = Instant::now();
            self.lock().caps.asks.give_back(&workspace.name, now);
        }
    }

    /// Asks for tokens for the requests of a workspace that wait, or decides on them.
    fn ask_tokens(&self, state: &mut SwitchState, workspace: &Arc<str>, now: Instant) {
        while let Some((count, terms)) = state.caps.asks.due(workspace) {
            match self.find_decider(state, workspace, now) {
                Decider::Own(role) => {
                    let need = TokenNeed {
                        workspace,
                        terms,
                        count,
                        share: state.caps.part.share(role),
                        is_told: role != DeciderRole::Alone,
                        draw: state.rng.random(),
                    };
                    let grant = self.grant_tokens(state, &need, now);
                    let own = &self.settings.descriptor.name;
                    let asks = &mut state.caps.asks;
                    if asks.settle(workspace, own, count, grant, now) {
                        info!(self.deps.logger, "accountant changed"; "workspace" => &**workspace,
                            "accountant" => &**own, "share" => need.share);
                    }
                }
                Decider::Other(host, address) => {
                    let number = state.caps.asks.open(workspace, count, host, now);
                    let ask = CapAsk {
                        number,
                        workspace: workspace.clone(),
                        terms,
                        count,
                    };
                    send_cap_message(self, CapMessage::Ask(ask), address);
                    return;
                }
            }
        }
    }

    /// Who is to decide on the requests of a workspace: the first host by rank that is not silent, or this one if none is left.
    fn find_decider(&self, state: &mut SwitchState, workspace: &Arc<str>, now: Instant) -> Decider {
        let SwitchState { caps, members, .. } = &mut *state;
        caps.update_part(members, now);
        let own = &*self.settings.descriptor.name;
        let keepers = self.keepers(state, workspace, now);
        for host in &keepers {
            if **host == *own {
                return Decider::Own(self.own_role(state, &keepers, now));
            }
            if state.caps.asks.is_passed_over(workspace, host, now) {
                continue;
            }
            if let Some(address) = state.members.peer_address(host) {
                return Decider::Other(host.clone(), address);
            }
        }
        Decider::Own(DeciderRole::Alone)
    }

    /// The role of this host for a workspace with these keepers.
    fn own_role(&self, state: &SwitchState, keepers: &[Arc<str>], now: Instant) -> DeciderRole {
        let own = &*self.settings.descriptor.name;
        let mut higher = keepers.iter().take_while(|host| ***host != *own);
        if higher.any(|host| state.members.is_heard(host, now)) {
            DeciderRole::StandIn
        } else {
            DeciderRole::Accountant
        }
    }

    /// The hosts that may decide on the requests of a workspace, in the order in which they are asked.
    fn keepers(&self, state: &SwitchState, workspace: &str, now: Instant) -> Vec<Arc<str>> {
        let own = &*self.settings.descriptor.name;
        let is_ready = state.routes.is_some() && !state.stopping && !state.reach.is_cut_off();
        let own = is_ready.then_some(own);
        let hash = xxh3_64(workspace.as_bytes());
        state.members.ranked_ready(hash, own, MAX_KEEPERS, now)
    }

    /// Grants tokens, and tells the other keepers if they have to know at once.
    fn grant_tokens(
        &self,
        state: &mut SwitchState,
        need: &TokenNeed<'_>,
        now: Instant,
    ) -> CapGrant {
        let (grant, change) = state.caps.accounts.take(need, now);
        if let Some(CapChange::Reached) = change {
            info!(self.deps.logger, "cap reached"; "workspace" => &**need.workspace,
                "per_second" => need.terms.per_second, "burst" => need.terms.burst,
                "share" => need.share);
        }
        if state.caps.accounts.is_urgent(need.workspace) {
            self.tell_level(state, need.workspace, now);
        }
        grant
    }

    /// Tells the other keepers of a workspace its level, if that is due.
    fn tell_level(&self, state: &mut SwitchState, workspace: &Arc<str>, now: Instant) {
        for (address, levels) in self.due_levels(state, std::slice::from_ref(workspace), now) {
            self.send_levels(&levels, address);
        }
    }

    /// Levels of workspaces that are due, by the address of the keeper that is told.
    fn due_levels(
        &self,
        state: &mut SwitchState,
        workspaces: &[Arc<str>],
        now: Instant,
    ) -> Vec<(SocketAddr, Vec<BucketLevel>)> {
        let own = &*self.settings.descriptor.name;
        let mut due: Vec<(SocketAddr, Vec<BucketLevel>)> = Vec::new();
        for workspace in workspaces {
            let mut targets = self.keepers(state, workspace, now);
            targets.retain(|host| **host != *own);
            let level = state.caps.accounts.take_level(workspace, &targets, now);
            let Some(level) = level else {
                continue;
            };
            for host in targets {
                let Some(address) = state.members.peer_address(&host) else {
                    continue;
                };
                match due.iter_mut().find(|(known, _)| *known == address) {
                    Some((_, levels)) => levels.push(level.clone()),
                    None => due.push((address, vec![level.clone()])),
                }
            }
        }
        due
    }

    fn send_levels(&self, levels: &[BucketLevel], address: SocketAddr) {
        for levels in levels.chunks(MAX_LEVELS) {
            let message = CapMessage::Levels {
                host: self.settings.descriptor.name.clone(),
                levels: levels.to_vec(),
            };
            send_cap_message(self, message, address);
        }
    }

    /// Handles a message of the host at `from`.
    pub(crate) fn handle_cap_message(&self, message: CapMessage, from: SocketAddr) {
        let now = Instant::now();
        let state = &mut *self.lock();
        match message {
            CapMessage::Ask(ask) if ask.terms.is_valid() && ask.count <= MAX_COUNT => {
                self.answer_cap_ask(state, &ask, from, now);
            }
            CapMessage::Answer(answer) if answer.grant.granted <= MAX_COUNT => {
                let effect = state.caps.asks.record_answer(&answer, now);
                if effect.is_new_accountant {
                    info!(self.deps.logger, "accountant changed"; "workspace" => &*answer.workspace,
                        "accountant" => %from);
                }
                if effect.void > 0 {
                    let message = CapMessage::Return {
                        workspace: answer.workspace.clone(),
                        count: effect.void,
                    };
                    send_cap_message(self, message, from);
                }
                self.ask_tokens(state, &answer.workspace, now);
            }
            CapMessage::Return { workspace, count } if count <= MAX_COUNT => {
                let caps = &mut state.caps;
                caps.accounts.give_back(&workspace, count, now);
            }
            CapMessage::Levels { host, levels } if levels.len() <= MAX_LEVELS => {
                let valid = levels.iter().filter(|level| {
                    let is_valid = level.terms.is_valid() && level.level.is_finite();
                    is_valid && *host != *self.settings.descriptor.name
                });
                for level in valid {
                    let share = state.caps.part.heard;
                    state.caps.accounts.apply_level(&host, level, share, now);
                }
            }
            _ => info!(self.deps.logger, "message of a host ignored"; "from" => %from,
                "cause" => "a number in it is out of range"),
        }
    }

    fn answer_cap_ask(
        &self,
        state: &mut SwitchState,
        ask: &CapAsk,
        from: SocketAddr,
        now: Instant,
    ) {
        let own = &*self.settings.descriptor.name;
        let SwitchState { caps, members, .. } = &mut *state;
        caps.update_part(members, now);
        let keepers = self.keepers(state, &ask.workspace, now);
        let is_told = keepers.iter().any(|host| **host == *own);
        let role = self.own_role(state, &keepers, now);
        let need = TokenNeed {
            workspace: &ask.workspace,
            terms: ask.terms,
            count: ask.count,
            share: state.caps.part.share(role),
            is_told,
            draw: state.rng.random(),
        };
        let grant = self.grant_tokens(state, &need, now);
        debug!(self.deps.logger, "tokens asked for"; "from" => %from, "workspace" => &*ask.workspace,
            "count" => ask.count, "granted" => grant.granted, "wait_ms" => grant.wait_ms);
        let answer = CapAnswer {
            number: ask.number,
            workspace: ask.workspace.clone(),
            grant,
        };
        send_cap_message(self, CapMessage::Answer(answer), from);
    }

    /// Takes the steps that are due: tells other keepers what this host has granted, and returns tokens that nobody has used.
    fn step_caps(&self, state: &mut SwitchState, now: Instant) {
        let SwitchState { caps, members, .. } = &mut *state;
        caps.update_part(members, now);
        if caps.accounts.step(now) && !caps.accounts.is_empty() {
            info!(self.deps.logger, "levels of caps forgotten"; "accounts" => caps.accounts.len(),
                "cause" => "this host stood still");
        }
        for workspace in caps.accounts.expire(now) {
            info!(self.deps.logger, "cap no longer reached"; "workspace" => &*workspace);
        }
        let own = &*self.settings.descriptor.name;
        for (workspace, count, host) in state.caps.asks.take_unused(now) {
            if *host == *own {
                let caps = &mut state.caps;
                caps.accounts.give_back(&workspace, count, now);
            } else if let Some(address) = state.members.peer_address(&host) {
                send_cap_message(self, CapMessage::Return { workspace, count }, address);
            }
        }
        let granting = state.caps.accounts.granting();
        for (address, levels) in self.due_levels(state, &granting, now) {
            self.send_levels(&levels, address);
        }
    }

    fn has_caps(&self) -> bool {
        let state = self.lock();
        let workspaces = state.routes.as_ref().and_then(|routes| routes.workspaces());
        let mut workspaces = workspaces.into_iter().flat_map(|table| table.iter());
        !state.caps.accounts.is_empty() || workspaces.any(|workspace| workspace.cap.is_some())
    }
}

/// Takes the steps of the caps that are due, at an interval.
pub(crate) async fn run_caps(node: Arc<SwitchNode>) {
    loop {
        if node.has_caps() {
            node.step_caps(&mut node.lock(), Instant::now());
            sleep(TICK).await;
        } else {
            sleep(IDLE_TICK).await;
        }
    }
}
