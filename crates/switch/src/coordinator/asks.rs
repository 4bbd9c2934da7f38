//! Asks of this host that are not resolved: the answer is not in, or the request is not sent yet.

use super::grants::is_later;
use super::group::{AskRoute, GroupId};
use super::message::SlotOutcome;
use super::scope::ItemScope;
use crate::report::EndpointKey;
use crate::schedule::ItemName;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time after which a coordinator that has not answered is taken for silent. Several round trips within a region, and the time for which a
/// host with a small share of a processor may wait for it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// The same for items, whose asks are sent once.
const ITEM_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which a silent coordinator is not asked.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Time after which items of a scope are asked for again where a group has no such endpoint: a few times that in which hosts read the listings.
const MISSING_TIME: Duration = Duration::from_millis(250);
/// Time after a denial for which a scope counts as without room: the next ask is answered within it.
const DENIAL_TIME: Duration = Duration::from_millis(300);
/// Maximum number of items of one scope that wait for an answer.
const MAX_SCOPE_ASKS: usize = 4;
/// Number of scopes without room up to which the time between asks grows with them, so that a host sends about as many asks whatever its services.
const MAX_SPREAD: u32 = 4;
/// Number of denials in a row after which the next group in turn is asked, near or not: a coordinator knows the room of only some of the others,
/// and not which endpoints this host leaves out.
const DENIALS_PER_TURN: u32 = 8;

/// Who waits for an answer.
#[derive(Debug)]
enum Waiter {
    Request(Option<oneshot::Sender<SlotOutcome>>),
    Item {
        name: ItemName,
        scope: ItemScope,
        granted: Option<EndpointKey>,
    },
}

#[derive(Debug)]
struct OpenAsk {
    number: u32,
    coordinator: Arc<str>,
    asked_at: Instant,
    waiter: Waiter,
}

/// What this host knows of the room for the items of a scope.
#[derive(Debug)]
struct ScopeRoom {
    scope: ItemScope,
    /// Until when no item is asked for, as there was no room.
    denied_until: Instant,
    /// Number of denials since the last grant or turn.
    denials: u32,
    /// Number of the last group that was asked in turn.
    turn: u32,
    /// The group where the next item is asked for, as the last coordinator said.
    elsewhere: Option<GroupId>,
}

/// Asks of this host, and what it knows of the coordinators by their answers.
#[derive(Debug, Default)]
pub struct AskTable {
    last: u32,
    /// Asks that are not resolved, oldest first.
    open: Vec<OpenAsk>,
    /// Coordinators that did not answer, and until when they are not asked.
    silent: Vec<(Arc<str>, Instant)>,
    /// Scopes without room a moment ago.
    rooms: Vec<ScopeRoom>,
}

impl AskTable {
    /// Begins an ask for a request. Returns its number and what receives the answer.
    pub fn begin_request(
        &mut self,
        coordinator: Arc<str>,
        now: Instant,
    ) -> (u32, oneshot::Receiver<SlotOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let number = self.begin(coordinator, Waiter::Request(Some(sender)), now);
        (number, receiver)
    }

    /// Whether to ask for an item: few others of its scope wait, it does not, and there was room for the scope a moment ago.
    #[must_use]
    pub fn may_ask_for(&self, name: &ItemName, scope: &ItemScope, now: Instant) -> bool {
        let mut rooms = self.rooms.iter();
        let is_denied = rooms.any(|room| room.scope == *scope && now < room.denied_until);
        if is_denied {
            return false;
        }
        let mut waiting = 0;
        for ask in &self.open {
            if let Waiter::Item {
                name: known,
                scope: known_scope,
                ..
            } = &ask.waiter
            {
                if known == name {
                    return false;
                }
                waiting += usize::from(known_scope == scope);
            }
        }
        waiting < MAX_SCOPE_ASKS
    }

    /// Whether coordinators had no room for the items of a scope a moment ago.
    #[must_use]
    pub fn was_denied(&self, scope: &ItemScope, now: Instant) -> bool {
        let mut rooms = self.rooms.iter();
        let room = rooms.find(|room| room.scope == *scope);
        room.is_some_and(|room| room.denials > 0 && now < room.denied_until + DENIAL_TIME)
    }

    /// Begins an ask for an item, and returns its number.
    pub fn begin_item(
        &mut self,
        name: &ItemName,
        scope: ItemScope,
        coordinator: Arc<str>,
        now: Instant,
    ) -> u32 {
        let waiter = Waiter::Item {
            name: name.clone(),
            scope,
            granted: None,
        };
        self.begin(coordinator, waiter, now)
    }

    fn begin(&mut self, coordinator: Arc<str>, waiter: Waiter, now: Instant) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.open.push(OpenAsk {
            number: self.last,
            coordinator,
            asked_at: now,
            waiter,
        });
        self.last
    }

    /// Takes where the next item of a scope is to be asked for.
    pub fn take_route(&mut self, scope: &ItemScope) -> AskRoute {
        let mut rooms = self.rooms.iter_mut();
        let Some(room) = rooms.find(|room| room.scope == *scope) else {
            return AskRoute::Home;
        };
        match room.elsewhere.take() {
            Some(group) => AskRoute::Named(group),
            None if room.denials >= DENIALS_PER_TURN => {
                room.denials = 0;
                room.turn = room.turn.wrapping_add(1);
                AskRoute::Turn(room.turn)
            }
            None => AskRoute::Home,
        }
    }

    /// Records that there is no room for the items of a scope. The time until it is asked for again grows with the number of scopes without
    /// room.
    pub fn deny(&mut self, scope: &ItemScope, retry_after: Duration, now: Instant) {
        let others = self
            .rooms
            .iter()
            .filter(|room| room.scope != *scope && now < room.denied_until);
        let denied = u32::try_from(others.count() + 1).unwrap_or(u32::MAX);
        let room = self.room(scope, now);
        room.denied_until = now + retry_after * denied.min(MAX_SPREAD);
        room.denials += 1;
    }

    fn room(&mut self, scope: &ItemScope, now: Instant) -> &mut ScopeRoom {
        self.rooms
            .retain(|room| room.scope == *scope || now < room.denied_until + SILENCE_TIME);
        let mut rooms = self.rooms.iter();
        let index = rooms.position(|room| room.scope == *scope);
        let index = index.unwrap_or_else(|| {
            self.rooms.push(ScopeRoom {
                scope: scope.clone(),
                denied_until: now,
                denials: 0,
                turn: 0,
                elsewhere: None,
            });
            self.rooms.len() - 1
        });
        &mut self.rooms[index]
    }

    /// Records the answer to an ask. Returns whether a scheduling pass is due: an item may start, or is to be asked for elsewhere. Answers to asks that are resolved are ignored.
    pub fn record_answer(&mut self, number: u32, outcome: SlotOutcome, now: Instant) -> bool {
        let Some(index) = self.open.iter().position(|ask| ask.number == number) else {
            return false;
        };
        let ask = &mut self.open[index];
        self.silent.retain(|(name, _)| *name != ask.coordinator);
        let scope = match &mut ask.waiter {
            Waiter::Request(sender) => {
                if let Some(sender) = sender.take() {
                    // The request is gone if its caller has left.
                    let _ = sender.send(outcome);
                }
                return false;
            }
            Waiter::Item { scope, granted, .. } => {
                if let SlotOutcome::Granted { endpoint, .. } = outcome {
                    *granted = Some(endpoint);
                    let mut rooms = self.rooms.iter_mut();
                    if let Some(room) = rooms.find(|room| room.scope == *scope) {
                        room.denials = 0;
                    }
                    return true;
                }
                scope.clone()
            }
        };
        self.open.remove(index);
        match outcome {
            SlotOutcome::Granted { .. } => true,
            SlotOutcome::Elsewhere(group) => {
                self.room(&scope, now).elsewhere = Some(group);
                true
            }
            SlotOutcome::Full { retry_after_ms, .. } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                self.deny(&scope, retry_after, now);
                false
            }
            SlotOutcome::Missing => {
                self.deny(&scope, MISSING_TIME, now);
                false
            }
        }
    }

    /// Resolves an ask: its request was sent, or is not sent there.
    pub fn resolve(&mut self, number: u32) {
        self.open.retain(|ask| ask.number != number);
    }

    /// The endpoint that was granted for an item, with the number of the ask.
    #[must_use]
    pub fn granted(&self, name: &ItemName) -> Option<(u32, EndpointKey)> {
        self.open.iter().find_map(|ask| match &ask.waiter {
            Waiter::Item {
                name: known,
                granted: Some(endpoint),
                ..
            } if known == name => Some((ask.number, *endpoint)),
            _ => None,
        })
    }

    /// Resolves the grants for items. Those that the last pass has not used are for items that do not run here any more.
    pub fn resolve_granted(&mut self) {
        self.open.retain(|ask| {
            !matches!(
                &ask.waiter,
                Waiter::Item {
                    granted: Some(_),
                    ..
                }
            )
        });
    }

    /// Records that a coordinator has not answered in time.
    pub fn mark_silent(&mut self, coordinator: &Arc<str>, now: Instant) {
        self.silent.retain(|(_, until)| now < *until);
        if !self.is_silent(coordinator, now) {
            self.silent.push((coordinator.clone(), now + SILENCE_TIME));
        }
    }

    /// Gives up the asks for items that were not answered in time. Returns the coordinators that did not answer.
    pub fn expire_items(&mut self, now: Instant) -> Vec<Arc<str>> {
        let is_late = |ask: &OpenAsk| {
            let waits = matches!(&ask.waiter, Waiter::Item { granted: None, .. });
            waits && now.saturating_duration_since(ask.asked_at) >= ITEM_TIMEOUT
        };
        let late: Vec<OpenAsk> = self.open.extract_if(.., |ask| is_late(ask)).collect();
        for ask in &late {
            self.mark_silent(&ask.coordinator, now);
        }
        late.into_iter().map(|ask| ask.coordinator).collect()
    }

    /// Whether a coordinator did not answer a short time ago.
    #[must_use]
    pub fn is_silent(&self, coordinator: &str, now: Instant) -> bool {
        let mut silent = self.silent.iter();
        silent.any(|(name, until)| **name == *coordinator && now < *until)
    }

    /// The number up to which all asks are resolved.
    #[must_use]
    pub fn resolved(&self) -> u32 {
        let oldest = self.open.iter().map(|ask| ask.number);
        let oldest = oldest.reduce(|a, b| if is_later(a, b) { b } else { a });
        oldest.map_or(self.last, |number| number.wrapping_sub(1))
    }
}
