//! Copies of outcomes that wait for the log, at two other hosts.
//!
//! An outcome that is given while the log does not answer waits in its host's memory. Before the caller has
//! it, copies go to two hosts of other failure domains. They keep them until the sender says that the log
//! has the outcomes. If the sender is lost, they record the outcomes through the owners of the keys once
//! the log is back; the first record of an outcome stands, whoever wrote it. Meanwhile they answer those
//! who ask for one of the keys.

use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use crate::keys::KeyOwner;
use fulmarswitch_decide::placement::weight;
use fulmarswitch_peer::message::{HoldRequest, OutcomeNote};
use fulmarswitch_peer::{PeerMessage, PeerReply, PeerTarget};
use fulmarswitch_records::{HostIdentity, ItemOutcome, OnlineRequest, SortedIndex};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Hosts that keep a copy.
const HOLDERS: usize = 2;
/// Hosts that are asked for a copy of a lost host's outcome.
const ASKED: usize = 4;
/// Time that an outcome waits for its copies before it is given without them.
const HOLD_LIMIT: Duration = Duration::from_millis(300);
/// Time that one host is given to take a copy.
const SEND_LIMIT: Duration = Duration::from_millis(200);
/// Time between looks at copies that have not been taken, or whose sender is lost.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Outcomes in one message.
const SEND_COUNT: usize = 256;
/// Bytes of an outcome beside its texts.
const NOTE_BYTES: usize = 64;
/// Time to come back for a sender whose copies find no room, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Outcomes given here that the log does not have.
#[derive(Default)]
struct OwnOutcomes {
    /// Number of the first.
    first: u32,
    notes: VecDeque<Option<OutcomeNote>>,
    bytes: usize,
    /// How far each host has them.
    taken: SortedIndex<HostIdentity, TakenMark>,
}

#[derive(Clone, Copy, Default, PartialEq)]
struct TakenMark {
    next: u32,
    kept_from: u32,
}

/// Copies kept for one sender.
struct KeptOutcomes {
    first: u32,
    notes: VecDeque<Option<OutcomeNote>>,
}

/// Copies of outcomes, own ones and those of others.
pub struct OutcomeBackup {
    context: HostContext,
    fleet: Arc<FleetState>,
    own: Mutex<OwnOutcomes>,
    kept: Mutex<SortedIndex<HostIdentity, KeptOutcomes>>,
    changed: Notify,
    /// Outcomes of smaller numbers have their copies.
    held_to: watch::Sender<u32>,
}

impl OutcomeBackup {
    /// Creates the role.
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            own: Mutex::default(),
            kept: Mutex::default(),
            changed: Notify::new(),
            held_to: watch::Sender::new(0),
        })
    }

    /// Adds an outcome that waits for the log, and returns its number.
    pub fn add(&self, note: OutcomeNote) -> u32 {
        let mut own = lock(&self.own);
        own.bytes += note_bytes(&note);
        own.notes.push_back(Some(note));
        let number = own.end() - 1;
        drop(own);
        self.changed.notify_one();
        number
    }

    /// Tells whether so many outcomes wait here that no more are to be given.
    #[must_use]
    pub fn is_full(&self) -> bool {
        lock(&self.own).bytes > self.context.settings.tuning.pending_bytes
    }

    /// Notes that an outcome stands on the log.
    pub fn mark_logged(&self, number: u32) {
        let mut own = lock(&self.own);
        let first = own.first;
        let note = own.notes.get_mut((number - first) as usize);
        let bytes = note.and_then(Option::take).map_or(0, |n| note_bytes(&n));
        own.bytes -= bytes;
        while own.notes.front().is_some_and(Option::is_none) {
            own.notes.pop_front();
            own.first += 1;
        }
        drop(own);
        self.changed.notify_one();
    }

    /// Returns once an outcome has its copies, or has waited long enough for them.
    pub async fn wait_backed_up(&self, number: u32) {
        if holders_of(&self.fleet.view(), &self.context.identity).is_empty() {
            return;
        }
        let mut held_to = self.held_to.subscribe();
        // The sender lives as long as the role, so only the time can end the wait early.
        let _ = tokio::time::timeout(HOLD_LIMIT, held_to.wait_for(|to| *to > number)).await;
    }

    /// Takes copies of another host's outcomes, and tells from which number on it needs them.
    pub fn store(&self, from: &HostIdentity, request: HoldRequest) -> PeerReply {
        let mut kept = lock(&self.kept);
        let bytes: usize = kept.iter().map(|(_, list)| list.bytes()).sum();
        if !request.outcomes.is_empty() && bytes > self.context.settings.tuning.pending_bytes {
            return PeerReply::Refused {
                reason: "too many copies are kept here; ask another host".into(),
                retry_after_ms: FULL_RETRY_MS,
            };
        }
        if !kept.contains(from) {
            let list = KeptOutcomes {
                first: request.kept_from,
                notes: VecDeque::new(),
            };
            kept.insert(from.clone(), list);
        }
        let mut items = request.kept_from;
        if let Some(list) = kept.get_mut(from) {
            list.merge(request);
            items = list.first + u32::try_from(list.notes.len()).unwrap_or(0);
        }
        kept.retain(|_, list| !list.notes.is_empty());
        PeerReply::Received { items }
    }

    /// Looks for the outcome of a request among the copies kept here.
    #[must_use]
    pub fn find(&self, request: &OnlineRequest) -> PeerReply {
        let name = request.full_key();
        let kept = lock(&self.kept);
        let notes = kept
            .iter()
            .flat_map(|(_, list)| list.notes.iter().flatten());
        let mut notes = notes.filter(|note| note.request.full_key() == name);
        match notes.next() {
            Some(note) if note.request.digest() == request.digest() => {
                PeerReply::Outcome(Some(note.outcome.clone()))
            }
            Some(_) => PeerReply::Conflict {
                reason: "the key stands for another request; choose a new key".into(),
            },
            None => PeerReply::NotFound,
        }
    }

    /// Asks the hosts that would keep a lost host's copies for the outcome of a request.
    pub async fn ask_backup_hosts(
        &self,
        lost: &HostIdentity,
        request: &OnlineRequest,
    ) -> Option<ItemOutcome> {
        if let PeerReply::Outcome(found) = self.find(request) {
            return found;
        }
        let holders = holders_of(&self.fleet.view(), lost);
        for target in holders.into_iter().take(ASKED) {
            if target.host == self.context.identity {
                continue;
            }
            let message = PeerMessage::FindHeld(request.clone());
            let call = self.context.link.call(&target, message);
            if let Ok(Ok(PeerReply::Outcome(found))) = tokio::time::timeout(SEND_LIMIT, call).await
            {
                return found;
            }
        }
        None
    }

    /// Sends copies, and records those of lost senders, for as long as the runtime lives.
    pub async fn run(self: Arc<Self>, keys: Arc<KeyOwner>) {
        loop {
            // Without a change, copies that were not taken are sent again after a while.
            let _ = tokio::time::timeout(LOOK_PERIOD, self.changed.notified()).await;
            self.send_copies().await;
            self.record_lost(&keys).await;
        }
    }

    async fn send_copies(&self) {
        let end = lock(&self.own).end();
        let mut taken = 0;
        for target in holders_of(&self.fleet.view(), &self.context.identity) {
            if taken == HOLDERS {
                break;
            }
            taken += usize::from(self.send_to(&target, end).await);
        }
        if taken > 0 {
            self.held_to.send_replace(end);
        }
    }

    /// Brings one host up to date; tells whether it is.
    async fn send_to(&self, target: &PeerTarget, end: u32) -> bool {
        while let Some(request) = self.request_for(&target.host) {
            let kept_from = request.kept_from;
            let call = self.context.link.call(target, PeerMessage::Hold(request));
            let Ok(Ok(PeerReply::Received { items })) =
                tokio::time::timeout(SEND_LIMIT, call).await
            else {
                lock(&self.own).taken.remove(&target.host);
                return false;
            };
            let next = items;
            let mark = TakenMark { next, kept_from };
            lock(&self.own).taken.insert(target.host.clone(), mark);
        }
        let own = lock(&self.own);
        let mark = own.taken.get(&target.host).copied().unwrap_or_default();
        mark.next >= end || own.notes.is_empty()
    }

    /// Returns what a host has yet to be told.
    fn request_for(&self, host: &HostIdentity) -> Option<HoldRequest> {
        let own = lock(&self.own);
        let mark = own.taken.get(host).copied().unwrap_or_default();
        let first = mark.next.max(own.first);
        let done = first == own.end() && mark.kept_from == own.first;
        let nothing = own.notes.is_empty() && mark == TakenMark::default();
        if done || nothing {
            return None;
        }
        let from = (first - own.first) as usize;
        let outcomes = own.notes.iter().skip(from).take(SEND_COUNT);
        Some(HoldRequest {
            kept_from: own.first,
            first,
            outcomes: outcomes.cloned().collect(),
        })
    }

    /// Records the copies of senders that are lost.
    async fn record_lost(&self, keys: &Arc<KeyOwner>) {
        if !self.fleet.hosts.is_log_available() {
            return;
        }
        let view = self.fleet.view();
        let lost: Vec<HostIdentity> = lock(&self.kept)
            .iter()
            .filter(|(sender, _)| !view.hosts.is_reachable(sender))
            .map(|(sender, _)| sender.clone())
            .collect();
        for sender in lost {
            while let Some(note) = self.next_of(&sender) {
                let name = note.request.full_key();
                if !keys.record_through_owner(note).await {
                    return;
                }
                let text = format!("given by {sender}, which is lost");
                self.context.events.emit("held-outcome", &name, &text);
                self.drop_next(&sender);
            }
        }
    }

    fn next_of(&self, sender: &HostIdentity) -> Option<OutcomeNote> {
        let mut kept = lock(&self.kept);
        let list = kept.get_mut(sender)?;
        while let Some(None) = list.notes.front() {
            list.drop_first();
        }
        let next = list.notes.front().cloned().flatten();
        if next.is_none() {
            kept.remove(sender);
        }
        next
    }

    fn drop_next(&self, sender: &HostIdentity) {
        if let Some(list) = lock(&self.kept).get_mut(sender) {
            list.drop_first();
        }
    }
}

impl OwnOutcomes {
    fn end(&self) -> u32 {
        self.first + u32::try_from(self.notes.len()).unwrap_or(0)
    }
}

impl KeptOutcomes {
    fn bytes(&self) -> usize {
        self.notes.iter().flatten().map(note_bytes).sum()
    }

    fn drop_first(&mut self) {
        if self.notes.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Adds what follows on what is here, and drops what the log has.
    fn merge(&mut self, request: HoldRequest) {
        for (number, note) in (request.first..).zip(request.outcomes) {
            let next = self.first + u32::try_from(self.notes.len()).unwrap_or(0);
            if number == next {
                self.notes.push_back(note);
            }
        }
        while self.first < request.kept_from && !self.notes.is_empty() {
            self.drop_first();
        }
        if self.notes.is_empty() {
            self.first = self.first.max(request.kept_from);
        }
    }
}

fn note_bytes(note: &OutcomeNote) -> usize {
    let text = match &note.outcome {
        ItemOutcome::Done { text } => text.len(),
        ItemOutcome::Failed { reason } => reason.len(),
        _ => 0,
    };
    NOTE_BYTES + note.request.input.len() + text
}

/// Returns the hosts that keep copies for a host, in the order in which they are asked: the first ones
/// stand in failure domains other than its own and each other's.
fn holders_of(view: &FleetView, host: &HostIdentity) -> Vec<PeerTarget> {
    let work = format!("hold/{}", host.name);
    let own_domain = view.hosts.get(&host.name);
    let own_domain = own_domain.map(|entry| Arc::clone(&entry.join.failure_domain));
    let mut others: Vec<_> = view
        .hosts
        .live()
        .map(|entry| &entry.join)
        .filter(|join| join.host.name != host.name)
        .collect();
    others.sort_by_key(|join| std::cmp::Reverse(weight(&join.host.name, &work)));
    let mut seen: Vec<Arc<str>> = own_domain.into_iter().collect();
    let mut far = Vec::new();
    let mut near = Vec::new();
    for join in others {
        if seen.contains(&join.failure_domain) {
            near.push(join);
        } else {
            seen.push(Arc::clone(&join.failure_domain));
            far.push(join);
        }
    }
    let hosts = far.into_iter().chain(near);
    hosts.filter_map(|join| view.target(&join.host)).collect()
}
