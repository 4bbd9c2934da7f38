//! Asks of this host that are not resolved: the answer is not in, or the request is not sent yet.

use super::grants::is_later;
use super::group::GroupId;
use super::message::SlotOutcome;
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
/// Maximum number of items that wait for an answer.
const MAX_ITEM_ASKS: usize = 4;

/// Who waits for an answer.
#[derive(Debug)]
enum Waiter {
    Request(Option<oneshot::Sender<SlotOutcome>>),
    Item {
        name: ItemName,
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

/// Asks of this host, and what it knows of the coordinators by their answers.
#[derive(Debug, Default)]
pub struct AskTable {
    last: u32,
    /// Asks that are not resolved, oldest first.
    open: Vec<OpenAsk>,
    /// Coordinators that did not answer, and until when they are not asked.
    silent: Vec<(Arc<str>, Instant)>,
    /// Until when no item is asked for, as there was no room.
    items_denied_until: Option<Instant>,
    /// The group where the next item is asked for, as the last coordinator said.
    elsewhere: Option<GroupId>,
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

    /// Whether to ask for an item: few others wait, it does not, and there was room a moment ago.
    #[must_use]
    pub fn may_ask_for(&self, name: &ItemName, now: Instant) -> bool {
        let is_denied = self.items_denied_until.is_some_and(|until| now < until);
        let waiting = self.open.iter().filter_map(|ask| match &ask.waiter {
            Waiter::Item { name, .. } => Some(name),
            Waiter::Request(_) => None,
        });
        let mut names = waiting.clone();
        !is_denied && waiting.count() < MAX_ITEM_ASKS && !names.any(|known| known == name)
    }

    /// Begins an ask for an item, and returns its number.
    pub fn begin_item(&mut self, name: &ItemName, coordinator: Arc<str>, now: Instant) -> u32 {
        let waiter = Waiter::Item {
            name: name.clone(),
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

    /// Takes the group where the next item is to be asked for, if a coordinator named one.
    pub fn take_elsewhere(&mut self) -> Option<GroupId> {
        self.elsewhere.take()
    }

    /// Records the answer to an ask. Returns whether a scheduling pass is due: an item may start, or is to be asked for elsewhere. Answers to asks that are resolved are ignored.
    pub fn record_answer(&mut self, number: u32, outcome: SlotOutcome, now: Instant) -> bool {
        let Some(index) = self.open.iter().position(|ask| ask.number == number) else {
            return false;
        };
        let ask = &mut self.open[index];
        self.silent.retain(|(name, _)| *name != ask.coordinator);
        match (&mut ask.waiter, outcome) {
            (Waiter::Request(sender), outcome) => {
                if let Some(sender) = sender.take() {
                    // The request is gone if its caller has left.
                    let _ = sender.send(outcome);
                }
                false
            }
            (Waiter::Item { granted, .. }, SlotOutcome::Granted { endpoint, .. }) => {
                *granted = Some(endpoint);
                true
            }
            (Waiter::Item { .. }, SlotOutcome::Full { retry_after_ms, .. }) => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                self.items_denied_until = Some(now + retry_after);
                self.open.remove(index);
                false
            }
            (Waiter::Item { .. }, SlotOutcome::Elsewhere(group)) => {
                self.elsewhere = Some(group);
                self.open.remove(index);
                true
            }
            (Waiter::Item { .. }, SlotOutcome::Missing) => {
                self.items_denied_until = Some(now + SILENCE_TIME);
                self.open.remove(index);
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
