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
const BACKUP_HOSTS: usize = 2;
/// Hosts that are asked for a copy of a lost host's outcome.
const MAX_HOSTS_ASKED: usize = 4;
/// Time that an outcome waits for its copies before it is given without them.
const BACKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that one host is given to take a copy.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between looks at copies that have not been taken, or whose sender is lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Outcomes in one message.
const MAX_MESSAGE_OUTCOMES: usize = 256;
/// Bytes of an outcome beside its texts.
const OUTCOME_OVERHEAD_BYTES: usize = 64;
/// Time to come back for a sender whose copies find no room, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Outcomes given here that the log does not have.
#[derive(Default)]
struct PendingOutcomes {
    /// Number of the first.
    first: u32,
    notes: VecDeque<Option<OutcomeNote>>,
    bytes: usize,
    /// How far each host has them.
    acked: SortedIndex<HostIdentity, BackupProgress>,
}

#[derive(Clone, Copy, Default, PartialEq)]
struct BackupProgress {
    next: u32,
    kept_from: u32,
}

/// Copies kept for one sender.
struct ReceivedCopies {
    first: u32,
    notes: VecDeque<Option<OutcomeNote>>,
}

/// Copies of outcomes, own ones and those of others.
pub struct OutcomeBackup {
    context: HostContext,
    fleet: Arc<FleetState>,
    pending: Mutex<PendingOutcomes>,
    received: Mutex<SortedIndex<HostIdentity, ReceivedCopies>>,
    changed: Notify,
    /// Outcomes of smaller numbers have their copies.
    backed_up_to: watch::Sender<u32>,
}

impl OutcomeBackup {
    /// Creates the role.
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            pending: Mutex::default(),
            received: Mutex::default(),
            changed: Notify::new(),
            backed_up_to: watch::Sender::new(0),
        })
    }

    /// Adds an outcome that waits for the log, and returns its number.
    pub fn add(&self, note: OutcomeNote) -> u32 {
        let mut pending = lock(&self.pending);
        pending.bytes += outcome_bytes(&note);
        pending.notes.push_back(Some(note));
        let number = pending.end() - 1;
        drop(pending);
        self.changed.notify_one();
        number
    }

    /// Tells whether so many outcomes wait here that no more are to be given.
    #[must_use]
    pub fn is_full(&self) -> bool {
        lock(&self.pending).bytes > self.context.settings.tuning.pending_bytes
    }

    /// Notes that an outcome stands on the log.
    pub fn mark_logged(&self, number: u32) {
        let mut pending = lock(&self.pending);
        let first = pending.first;
        let note = pending.notes.get_mut((number - first) as usize);
        let bytes = note.and_then(Option::take).map_or(0, |n| outcome_bytes(&n));
        pending.bytes -= bytes;
        while pending.notes.front().is_some_and(Option::is_none) {
            pending.notes.pop_front();
            pending.first += 1;
        }
        drop(pending);
        self.changed.notify_one();
    }

    /// Returns once an outcome has its copies, or has waited long enough for them.
    pub async fn wait_backed_up(&self, number: u32) {
        if backup_hosts_for(&self.fleet.view(), &self.context.identity).is_empty() {
            return;
        }
        let mut backed_up_to = self.backed_up_to.subscribe();
        // The sender lives as long as the role, so only the time can end the wait early.
        let _ =
            tokio::time::timeout(BACKUP_TIMEOUT, backed_up_to.wait_for(|to| *to > number)).await;
    }

    /// Takes copies of another host's outcomes, and tells from which number on it needs them.
    pub fn store(&self, from: &HostIdentity, request: HoldRequest) -> PeerReply {
        let mut received = lock(&self.received);
        let bytes: usize = received.iter().map(|(_, copies)| copies.bytes()).sum();
        if !request.outcomes.is_empty() && bytes > self.context.settings.tuning.pending_bytes {
            return PeerReply::Refused {
                reason: "too many copies are kept here; ask another host".into(),
                retry_after_ms: FULL_RETRY_MS,
            };
        }
        if !received.contains(from) {
            let copies = ReceivedCopies {
                first: request.kept_from,
                notes: VecDeque::new(),
            };
            received.insert(from.clone(), copies);
        }
        let mut items = request.kept_from;
        if let Some(copies) = received.get_mut(from) {
            copies.merge(request);
            items = copies.first + u32::try_from(copies.notes.len()).unwrap_or(0);
        }
        received.retain(|_, copies| !copies.notes.is_empty());
        PeerReply::Received { items }
    }

    /// Looks for the outcome of a request among the copies kept here.
    #[must_use]
    pub fn find(&self, request: &OnlineRequest) -> PeerReply {
        let name = request.full_key();
        let received = lock(&self.received);
        let notes = received
            .iter()
            .flat_map(|(_, copies)| copies.notes.iter().flatten());
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
        let hosts = backup_hosts_for(&self.fleet.view(), lost);
        for target in hosts.into_iter().take(MAX_HOSTS_ASKED) {
            if target.host == self.context.identity {
                continue;
            }
            let message = PeerMessage::FindHeld(request.clone());
            let call = self.context.link.call(&target, message);
            if let Ok(Ok(PeerReply::Outcome(found))) =
                tokio::time::timeout(SEND_TIMEOUT, call).await
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
            let _ = tokio::time::timeout(RESEND_INTERVAL, self.changed.notified()).await;
            self.send_copies().await;
            self.record_copies_of_lost(&keys).await;
        }
    }

    async fn send_copies(&self) {
        let end = lock(&self.pending).end();
        let mut acked = 0;
        for target in backup_hosts_for(&self.fleet.view(), &self.context.identity) {
            if acked == BACKUP_HOSTS {
                break;
            }
            acked += usize::from(self.send_to(&target, end).await);
        }
        if acked > 0 {
            self.backed_up_to.send_replace(end);
        }
    }

    /// Brings one host up to date; tells whether it is.
    async fn send_to(&self, target: &PeerTarget, end: u32) -> bool {
        while let Some(request) = self.next_request(&target.host) {
            let kept_from = request.kept_from;
            let call = self.context.link.call(target, PeerMessage::Hold(request));
            let Ok(Ok(PeerReply::Received { items })) =
                tokio::time::timeout(SEND_TIMEOUT, call).await
            else {
                lock(&self.pending).acked.remove(&target.host);
                return false;
            };
            let next = items;
            let ack = BackupProgress { next, kept_from };
            lock(&self.pending).acked.insert(target.host.clone(), ack);
        }
        let pending = lock(&self.pending);
        let ack = pending.acked.get(&target.host).copied().unwrap_or_default();
        ack.next >= end || pending.notes.is_empty()
    }

    /// Returns what a host has yet to be told.
    fn next_request(&self, host: &HostIdentity) -> Option<HoldRequest> {
        let pending = lock(&self.pending);
        let ack = pending.acked.get(host).copied().unwrap_or_default();
        let first = ack.next.max(pending.first);
        let done = first == pending.end() && ack.kept_from == pending.first;
        let nothing = pending.notes.is_empty() && ack == BackupProgress::default();
        if done || nothing {
            return None;
        }
        let from = (first - pending.first) as usize;
        let outcomes = pending.notes.iter().skip(from).take(MAX_MESSAGE_OUTCOMES);
        Some(HoldRequest {
            kept_from: pending.first,
            first,
            outcomes: outcomes.cloned().collect(),
        })
    }

    /// Records the copies of senders that are lost.
    async fn record_copies_of_lost(&self, keys: &Arc<KeyOwner>) {
        if !self.fleet.hosts.is_log_available() {
            return;
        }
        let view = self.fleet.view();
        let lost: Vec<HostIdentity> = lock(&self.received)
            .iter()
            .filter(|(sender, _)| !view.hosts.is_reachable(sender))
            .map(|(sender, _)| sender.clone())
            .collect();
        for sender in lost {
            while let Some(note) = self.next_copy(&sender) {
                let name = note.request.full_key();
                if !keys.record_through_owner(note).await {
                    return;
                }
                let text = format!("given by {sender}, which is lost");
                self.context.events.emit("held-outcome", &name, &text);
                self.drop_next_copy(&sender);
            }
        }
    }

    fn next_copy(&self, sender: &HostIdentity) -> Option<OutcomeNote> {
        let mut received = lock(&self.received);
        let copies = received.get_mut(sender)?;
        while let Some(None) = copies.notes.front() {
            copies.drop_first();
        }
        let next = copies.notes.front().cloned().flatten();
        if next.is_none() {
            received.remove(sender);
        }
        next
    }

    fn drop_next_copy(&self, sender: &HostIdentity) {
        if let Some(copies) = lock(&self.received).get_mut(sender) {
            copies.drop_first();
        }
    }
}

impl PendingOutcomes {
    fn end(&self) -> u32 {
        self.first + u32::try_from(self.notes.len()).unwrap_or(0)
    }
}

impl ReceivedCopies {
    fn bytes(&self) -> usize {
        self.notes.iter().flatten().map(outcome_bytes).sum()
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

fn outcome_bytes(note: &OutcomeNote) -> usize {
    let text = match &note.outcome {
        ItemOutcome::Done { text } => text.len(),
        ItemOutcome::Failed { reason } => reason.len(),
        _ => 0,
    };
    OUTCOME_OVERHEAD_BYTES + note.request.input.len() + text
}

/// Returns the hosts that keep copies for a host, in the order in which they are asked: the first ones
/// stand in failure domains other than its own and each other's.
fn backup_hosts_for(view: &FleetView, host: &HostIdentity) -> Vec<PeerTarget> {
    let placement_key = format!("hold/{}", host.name);
    let own_domain = view.hosts.get(&host.name);
    let own_domain = own_domain.map(|entry| Arc::clone(&entry.join.failure_domain));
    let mut others: Vec<_> = view
        .hosts
        .live()
        .map(|entry| &entry.join)
        .filter(|join| join.host.name != host.name)
        .collect();
    others.sort_by_key(|join| std::cmp::Reverse(weight(&join.host.name, &placement_key)));
    let mut used_domains: Vec<Arc<str>> = own_domain.into_iter().collect();
    let mut distinct_domains = Vec::new();
    let mut shared_domains = Vec::new();
    for join in others {
        if used_domains.contains(&join.failure_domain) {
            shared_domains.push(join);
        } else {
            used_domains.push(Arc::clone(&join.failure_domain));
            distinct_domains.push(join);
        }
    }
    let hosts = distinct_domains.into_iter().chain(shared_domains);
    hosts.filter_map(|join| view.target(&join.host)).collect()
}
