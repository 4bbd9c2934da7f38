//! Messages between this host and the coordinators: what it asks, and what it answers as a coordinator.

use super::asks::ANSWER_TIMEOUT;
use super::decide::ITEM_RETRY;
use super::group::{AskRoute, GroupId};
use super::message::{
    CoordinatorMessage, LoadMessage, MAX_EXCLUDED, MAX_ROOM_SERVICES, MAX_SAMPLES, ServiceRoom,
    SlotAnswer, SlotAsk, SlotNeed, SlotOutcome,
};
use super::scope::ItemScope;
use super::{SentRoom, SlotCandidates};
use crate::gossip::{send_coordinator_message, send_extended_message};
use crate::node::{SwitchNode, SwitchState};
use crate::origins::VersionKey;
use crate::report::EndpointKey;
use crate::schedule::ItemName;
use crate::workspace::fair::ShareClaim;
use slog::{debug, info};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Number of coordinators that a request asks before its host chooses.
const MAX_ASKED: usize = 3;
/// Number of times that an ask is sent, as datagrams may be lost.
const ASK_SENDS: u32 = 2;
/// Minimum time between two messages about the room of a group.
const MIN_ROOM_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two messages about the room of a group that does not change.
const MAX_ROOM_INTERVAL: Duration = Duration::from_millis(500);
/// Number of other coordinators that are told the room of a group.
const MAX_ROOM_TARGETS: usize = 8;

/// What an endpoint is asked for.
pub(crate) struct SlotRequest {
    pub(crate) service: Arc<str>,
    pub(crate) version: Option<VersionKey>,
    pub(crate) candidates: SlotCandidates,
    pub(crate) need: SlotNeed,
    /// For whom it is; `None` without workspaces.
    pub(crate) claim: Option<ShareClaim>,
}

/// Which group is asked, and how.
struct OpenAsk {
    /// The group that another coordinator named.
    group: Option<GroupId>,
    is_final: bool,
}

/// An ask whose answer is in use. It is resolved when this is dropped, which must not be while the state is locked.
pub(crate) struct AskGuard {
    node: Arc<SwitchNode>,
    number: u32,
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        let own = &self.node.settings.descriptor.name;
        let mut state = self.node.lock();
        state.coordination.asks.resolve(self.number);
        state.resolve_own_grants(own);
    }
}

impl SwitchNode {
    /// Asks the coordinators for an endpoint for a request. `None` if this host is to choose: the fleet is small, or no coordinator
    /// answers.
    pub(crate) async fn ask_slot(
        self: &Arc<Self>,
        request: &SlotRequest,
    ) -> Option<(AskGuard, SlotOutcome)> {
        let mut elsewhere = None;
        let mut is_final = false;
        for _ in 0..MAX_ASKED {
            let target = elsewhere.take();
            is_final |= target.is_some();
            let ask = OpenAsk {
                group: target,
                is_final,
            };
            match self.ask_once(request, ask).await? {
                Some((guard, SlotOutcome::Elsewhere(group))) => {
                    drop(guard);
                    elsewhere = Some(group);
                }
                Some(answered) => return Some(answered),
                None => {}
            }
        }
        None
    }

    /// Asks one coordinator, twice if the first datagram or its answer is lost. `None` if there is no coordinator to ask, and `Some(None)`
    /// if it does not answer.
    async fn ask_once(
        self: &Arc<Self>,
        request: &SlotRequest,
        open: OpenAsk,
    ) -> Option<Option<(AskGuard, SlotOutcome)>> {
        let (guard, sent, mut answer) = {
            let state = &mut *self.lock();
            let now = Instant::now();
            let route = open.group.map_or(AskRoute::Home, AskRoute::Named);
            let (group, coordinator) =
                self.find_coordinator(state, route, &request.candidates, now)?;
            let asks = &mut state.coordination.asks;
            let (number, answer) = asks.begin_request(coordinator.clone(), now);
            let ask = self.slot_ask(group, number, open.is_final, request);
            self.send_ask(state, &coordinator, ask.clone(), request.claim);
            let guard = AskGuard {
                node: self.clone(),
                number,
            };
            (guard, (coordinator, ask), answer)
        };
        let (coordinator, ask) = sent;
        for _ in 0..ASK_SENDS {
            if let Ok(outcome) = timeout(ANSWER_TIMEOUT / ASK_SENDS, &mut answer).await {
                return Some(outcome.ok().map(|outcome| (guard, outcome)));
            }
            let state = &mut *self.lock();
            self.send_ask(state, &coordinator, ask.clone(), request.claim);
        }
        drop(guard);
        self.record_silence(&mut self.lock(), &coordinator);
        Some(None)
    }

    /// Asks a coordinator for an endpoint for an item. The answer comes with a later scheduling pass.
    pub(crate) fn ask_for_item(
        &self,
        state: &mut SwitchState,
        name: &ItemName,
        request: &SlotRequest,
    ) {
        let now = Instant::now();
        let scope = ItemScope {
            service: request.service.clone(),
            version: request.version,
        };
        let route = state.coordination.asks.take_route(&scope);
        let is_final = matches!(route, AskRoute::Named(_));
        let found = self.find_coordinator(state, route, &request.candidates, now);
        let asks = &mut state.coordination.asks;
        let Some((group, coordinator)) = found else {
            asks.deny(&scope, ITEM_RETRY, now);
            return;
        };
        let number = asks.begin_item(name, scope, coordinator.clone(), now);
        let ask = self.slot_ask(group, number, is_final, request);
        self.send_ask(state, &coordinator, ask, request.claim);
    }

    /// The group to ask, out of those with endpoints for the ask, and its coordinator.
    fn find_coordinator(
        &self,
        state: &mut SwitchState,
        route: AskRoute,
        candidates: &SlotCandidates,
        now: Instant,
    ) -> Option<(GroupId, Arc<str>)> {
        let domain = &self.settings.descriptor.domain;
        let coordination = &state.coordination;
        let route = match route {
            AskRoute::Named(group) if coordination.coordinator_of(&group, now).is_none() => {
                AskRoute::Home
            }
            route => route,
        };
        let group = route.choose(domain, &candidates.groups, &mut state.rng)?;
        let coordinator = coordination.coordinator_of(&group, now)?.clone();
        Some((group, coordinator))
    }

    fn slot_ask(
        &self,
        group: GroupId,
        number: u32,
        is_final: bool,
        request: &SlotRequest,
    ) -> SlotAsk {
        let excluded = request.candidates.excluded.iter();
        let excluded = excluded
            .filter(|endpoint| group.contains(endpoint))
            .map(|endpoint| EndpointKey::of(&endpoint.id))
            .take(MAX_EXCLUDED)
            .collect();
        SlotAsk {
            host: self.settings.descriptor.name.clone(),
            number,
            group,
            service: request.service.clone(),
            version: request.version,
            excluded,
            need: request.need,
            is_final,
        }
    }

    fn send_ask(
        &self,
        state: &mut SwitchState,
        coordinator: &Arc<str>,
        ask: SlotAsk,
        claim: Option<ShareClaim>,
    ) {
        let own = &self.settings.descriptor;
        if **coordinator == *own.name {
            self.answer_ask(state, &ask, claim, own.peer_address);
        } else if let Some(address) = state.members.peer_address(coordinator) {
            let message = CoordinatorMessage::Ask(ask);
            match claim {
                Some(claim) => send_extended_message(self, message, &claim, &[address]),
                None => send_coordinator_message(self, message, &[address]),
            }
        }
    }

    fn record_silence(&self, state: &mut SwitchState, coordinator: &Arc<str>) {
        info!(self.deps.logger, "coordinator silent"; "peer" => &**coordinator);
        let asks = &mut state.coordination.asks;
        asks.mark_silent(coordinator, Instant::now());
        // The next one has to know the load of this host.
        state.load.mark_all_changed();
        self.neighbour_heartbeat_requested.notify_one();
    }

    /// Answers an ask of the host at `from`.
    fn answer_ask(
        &self,
        state: &mut SwitchState,
        ask: &SlotAsk,
        claim: Option<ShareClaim>,
        from: SocketAddr,
    ) {
        let own = &self.settings.descriptor;
        let now = Instant::now();
        let outcome = state.decide(ask, claim, now);
        debug!(self.deps.logger, "slot asked for"; "peer" => &*ask.host, "number" => ask.number,
            "domain" => &*ask.group.domain, "need" => ?ask.need, "claim" => ?claim, "outcome" => ?outcome);
        let is_online = matches!(ask.need, SlotNeed::Online { .. });
        let is_granted = matches!(outcome, SlotOutcome::Granted { .. });
        let answer = SlotAnswer {
            number: ask.number,
            outcome,
        };
        if *ask.host == *own.name {
            self.apply_answer(state, answer, now);
        } else if let Some(speed) = state.granted_speed(&answer.outcome, now) {
            send_extended_message(self, CoordinatorMessage::Answer(answer), &speed, &[from]);
        } else {
            send_coordinator_message(self, CoordinatorMessage::Answer(answer), &[from]);
        }
        if is_online && is_granted {
            self.order_preemptions(state, &ask.group, now);
        }
    }

    fn apply_answer(&self, state: &mut SwitchState, answer: SlotAnswer, now: Instant) {
        let asks = &mut state.coordination.asks;
        if asks.record_answer(answer.number, answer.outcome, now) {
            self.schedule_requested.notify_one();
        }
    }

    /// Tells hosts to preempt items where online requests of a group need their slots.
    fn order_preemptions(&self, state: &mut SwitchState, group: &GroupId, now: Instant) {
        let own = &self.settings.descriptor.name;
        for order in state.preemption_orders(own, group, now) {
            if *order.host == **own {
                state.coordination.add_order(order.endpoint, 1);
                self.schedule_requested.notify_one();
            } else if let Some(address) = state.members.peer_address(&order.host) {
                let message = CoordinatorMessage::Preempt {
                    endpoint: order.endpoint,
                    count: 1,
                };
                send_coordinator_message(self, message, &[address]);
            }
        }
    }

    /// Handles a message of the host at `from`. `rest` follows it in its datagram; a host of an earlier version sends none.
    pub(crate) fn handle_coordinator_message(
        &self,
        message: CoordinatorMessage,
        rest: &[u8],
        from: SocketAddr,
    ) {
        let now = Instant::now();
        let state = &mut *self.lock();
        match message {
            CoordinatorMessage::Ask(ask) if ask.excluded.len() <= MAX_EXCLUDED => {
                // Hosts that know workspaces send one.
                let claim = postcard::from_bytes(rest).ok();
                self.answer_ask(state, &ask, claim, from);
            }
            CoordinatorMessage::Load(message) if message.samples.len() <= MAX_SAMPLES => {
                state.apply_load(message, now);
                state.apply_speeds(rest, now);
            }
            CoordinatorMessage::Answer(answer) => {
                state.apply_granted_speed(&answer.outcome, rest);
                self.apply_answer(state, answer, now);
            }
            CoordinatorMessage::Preempt { endpoint, count } => {
                state.coordination.add_order(endpoint, count);
                self.schedule_requested.notify_one();
            }
            CoordinatorMessage::Room(room) => {
                let services = postcard::from_bytes::<Vec<ServiceRoom>>(rest).ok();
                let services = services.filter(|services| services.len() <= MAX_ROOM_SERVICES);
                state.coordination.rooms.set(room, services, now);
            }
            CoordinatorMessage::Ask(_) | CoordinatorMessage::Load(_) => {
                info!(self.deps.logger, "message of a host ignored"; "from" => %from,
                    "cause" => "a list in it is too long");
            }
        }
    }

    /// Sends the load of this host to the coordinators of the endpoints where it has changed. Returns whether the fleet has coordinators.
    pub(crate) fn send_load_changes(&self) -> bool {
        let now = Instant::now();
        let (message, speeds, targets) = {
            let state = &mut *self.lock();
            if !state.coordination.is_active() {
                return false;
            }
            let targets = self.changed_coordinators(state, now);
            let message = LoadMessage {
                host: self.settings.descriptor.name.clone(),
                resolved: state.coordination.asks.resolved(),
                load: state.load.own_report(now, self.heard_at()),
                samples: std::mem::take(&mut state.coordination.samples),
            };
            let speeds = std::mem::take(&mut state.coordination.speed_samples);
            (message, speeds, targets)
        };
        if !targets.is_empty() {
            send_extended_message(self, CoordinatorMessage::Load(message), &speeds, &targets);
        }
        true
    }

    /// Addresses of the coordinators of the endpoints where the load of this host has changed.
    fn changed_coordinators(&self, state: &mut SwitchState, now: Instant) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        for key in state.load.take_changed() {
            let coordination = &state.coordination;
            let endpoint = state.endpoints.serving_with_key(key, now);
            let group = endpoint.and_then(|endpoint| coordination.group_of(endpoint));
            let name = group.and_then(|group| coordination.coordinator_of(&group.id, now));
            let name = name.filter(|name| ***name != *self.settings.descriptor.name);
            targets.extend(name.and_then(|name| state.members.peer_address(name)));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Takes the steps that are due: gives up asks without an answer, and as a coordinator preempts items and tells the other
    /// coordinators the room of the group.
    pub(crate) fn coordinate(&self, state: &mut SwitchState) {
        self.log_share_changes(state);
        if !state.coordination.is_active() {
            return;
        }
        let now = Instant::now();
        for coordinator in state.coordination.asks.expire_items(now) {
            self.record_silence(state, &coordinator);
        }
        let own = &self.settings.descriptor.name;
        for group in state.coordination.own_groups(own, now) {
            self.order_preemptions(state, &group, now);
            self.send_room(state, &group, now);
        }
    }

    fn send_room(&self, state: &mut SwitchState, group: &GroupId, now: Instant) {
        let (total, services) = state.room_of(group, now);
        let sent = &mut state.coordination.sent_rooms;
        if let Some(last) = sent.iter().find(|last| last.total.group == *group) {
            let age = now.saturating_duration_since(last.sent_at);
            let is_same = last.total == total && last.services == services;
            if age < MIN_ROOM_INTERVAL || (is_same && age < MAX_ROOM_INTERVAL) {
                return;
            }
        }
        sent.retain(|last| last.total.group != *group);
        sent.push(SentRoom {
            total: total.clone(),
            services: services.clone(),
            sent_at: now,
        });
        let targets = self.room_targets(state, now);
        send_extended_message(self, CoordinatorMessage::Room(total), &services, &targets);
    }

    /// Coordinators of the groups after the own ones in the order of all, so that each is told of a few.
    fn room_targets(&self, state: &SwitchState, now: Instant) -> Vec<SocketAddr> {
        let coordination = &state.coordination;
        let own = &*self.settings.descriptor.name;
        let names: Vec<&Arc<str>> = coordination
            .groups
            .iter()
            .filter_map(|group| coordination.coordinator_of(&group.id, now))
            .collect();
        let start = names.iter().position(|name| ***name == *own).unwrap_or(0);
        let (before, after) = names.split_at(start);
        let ring = after.iter().chain(before);
        let others = ring.filter(|name| ****name != *own);
        let mut targets: Vec<SocketAddr> = others
            .filter_map(|name| state.members.peer_address(name))
            .take(MAX_ROOM_TARGETS)
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }
}

impl SwitchState {
    /// Removes the grants of this host to itself that its load has.
    pub(crate) fn resolve_own_grants(&mut self, own: &str) {
        let resolved = self.coordination.asks.resolved();
        self.resolve_grants(own, resolved);
    }

    /// Applies the load of another host, which holds what it was granted.
    fn apply_load(&mut self, message: LoadMessage, now: Instant) {
        let LoadMessage {
            host,
            resolved,
            load,
            samples,
        } = message;
        self.resolve_grants(&host, resolved);
        let mut keys: Vec<EndpointKey> = Vec::new();
        let pending = &self.coordination.preempting;
        keys.extend(
            pending
                .iter()
                .filter(|pending| *pending.host == *host)
                .map(|p| p.endpoint),
        );
        keys.sort_unstable();
        keys.dedup();
        let counts = |state: &Self| -> Vec<u16> {
            keys.iter()
                .map(|key| state.load.reports().items_of(&host, *key))
                .collect()
        };
        let before = counts(self);
        self.load.update_report(&host, load, now);
        let after = counts(self);
        for (key, (before, after)) in keys.iter().zip(before.into_iter().zip(after)) {
            let mut left = usize::from(before.saturating_sub(after));
            self.coordination.preempting.retain(|pending| {
                let has_left = left > 0 && pending.host == host && pending.endpoint == *key;
                left -= usize::from(has_left);
                !has_left
            });
        }
        for (first_byte, run) in samples {
            let millis = |value: u16| Duration::from_millis(value.into());
            self.load
                .record_response(Some(millis(first_byte)), millis(run));
        }
    }
}
