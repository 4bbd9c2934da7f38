//! Copies, on other hosts, of outcomes that are not in the log yet.
//!
//! An outcome that is returned while the log is unavailable is kept in the memory of its host. Before the
//! caller gets it, the host sends copies to two hosts of other failure domains. These keep the copies until
//! the sender reports that the outcomes are in the log. If the sender is lost (declared down, or replaced by
//! a newer incarnation), they record the outcomes through the owners of the keys once the log is available
//! again; the first record of an outcome takes effect, whichever host wrote it. Until then they answer
//! lookups of the keys from their copies.

use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use crate::keys::KeyOwner;
use fulmarswitch_decide::placement::weight;
use fulmarswitch_peer::message::{BackupRequest, RequestOutcome};
use fulmarswitch_peer::{PeerMessage, PeerReply, PeerTarget};
use fulmarswitch_records::{HostIdentity, ItemOutcome, OnlineRequest, SortedIndex};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Number of hosts that keep a copy of each outcome.
const BACKUP_HOSTS: usize = 2;
/// Number of hosts that are asked for a copy when the host of an outcome is lost. More than
/// [`BACKUP_HOSTS`], since the sender skips hosts that do not accept a copy.
const MAX_HOSTS_ASKED: usize = 4;
/// Time that an outcome waits for its copies before it is returned without them.
const BACKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of one message to a backup host.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which unacknowledged copies are sent again and copies of lost senders are recorded.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of outcomes in one message to a backup host.
const MAX_MESSAGE_OUTCOMES: usize = 256;
/// Estimated size of an outcome without its texts, in bytes.
const OUTCOME_OVERHEAD_BYTES: usize = 64;
/// Retry delay for a sender whose copies exceed the byte limit of this host, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Outcomes returned by this host that are not in the log yet, numbered consecutively.
#[derive(Default)]
struct PendingOutcomes {
    /// Number of the first outcome in `outcomes`.
    first: u32,
    /// The outcomes in the order of their numbers; `None` for one that is in the log already.
    outcomes: VecDeque<Option<RequestOutcome>>,
    bytes: usize,
    /// What each backup host has acknowledged.
    acked: SortedIndex<HostIdentity, BackupProgress>,
}

/// What one backup host has acknowledged.
#[derive(Clone, Copy, Default, PartialEq)]
struct BackupProgress {
    /// Number of the next outcome to send.
    next: u32,
    /// Number before which the host may drop its copies.
    first_pending: u32,
}

/// Copies that one sender has stored here.
struct ReceivedCopies {
    /// Number of the first outcome in `outcomes`, as its sender counts.
    first: u32,
    outcomes: VecDeque<Option<RequestOutcome>>,
}

/// Sends copies of this host's outcomes to other hosts and keeps copies for other hosts.
pub struct OutcomeBackup {
    context: HostContext,
    fleet: Arc<FleetState>,
    pending: Mutex<PendingOutcomes>,
    received: Mutex<SortedIndex<HostIdentity, ReceivedCopies>>,
    changed: Notify,
    /// Outcomes with smaller numbers have been copied.
    backed_up_to: watch::Sender<u32>,
}

impl OutcomeBackup {
    /// Creates the role without any outcomes; [`Self::run`] sends the copies.
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

    /// Adds an outcome that is not in the log yet, and returns its number.
    pub fn add(&self, request_outcome: RequestOutcome) -> u32 {
        let mut pending = lock(&self.pending);
        pending.bytes += outcome_bytes(&request_outcome);
        pending.outcomes.push_back(Some(request_outcome));
        let number = pending.end() - 1;
        drop(pending);
        self.changed.notify_one();
        number
    }

    /// Returns whether the outcomes that wait for the log exceed the byte limit, so that no further ones may
    /// be returned to callers.
    #[must_use]
    pub fn is_full(&self) -> bool {
        lock(&self.pending).bytes > self.context.settings.tuning.pending_bytes
    }

    /// Marks an outcome as being in the log, so that its copies can be dropped.
    pub fn mark_logged(&self, number: u32) {
        let mut pending = lock(&self.pending);
        let first = pending.first;
        let request_outcome = pending.outcomes.get_mut((number - first) as usize);
        let bytes = request_outcome
            .and_then(Option::take)
            .map_or(0, |n| outcome_bytes(&n));
        pending.bytes -= bytes;
        while pending.outcomes.front().is_some_and(Option::is_none) {
            pending.outcomes.pop_front();
            pending.first += 1;
        }
        drop(pending);
        self.changed.notify_one();
    }

    /// Returns once an outcome has its copies, or after a timeout, or at once if there is no other host.
    pub async fn wait_backed_up(&self, number: u32) {
        if backup_hosts_for(&self.fleet.view(), &self.context.identity).is_empty() {
            return;
        }
        let mut backed_up_to = self.backed_up_to.subscribe();
        // The sender lives as long as the role, so only the timeout can end the wait early.
        let _ =
            tokio::time::timeout(BACKUP_TIMEOUT, backed_up_to.wait_for(|to| *to > number)).await;
    }

    /// Stores copies of another host's outcomes. The reply has the number of the next outcome that is needed
    /// here.
    pub fn store(&self, from: &HostIdentity, request: BackupRequest) -> PeerReply {
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
                first: request.first_pending,
                outcomes: VecDeque::new(),
            };
            received.insert(from.clone(), copies);
        }
        let mut items = request.first_pending;
        if let Some(copies) = received.get_mut(from) {
            copies.merge(request);
            items = copies.first + u32::try_from(copies.outcomes.len()).unwrap_or(0);
        }
        received.retain(|_, copies| !copies.outcomes.is_empty());
        PeerReply::Received { items }
    }

    /// Looks up the outcome of a request among the copies that other hosts have stored here.
    #[must_use]
    pub fn find(&self, request: &OnlineRequest) -> PeerReply {
        let name = request.full_key();
        let received = lock(&self.received);
        let outcomes = received
            .iter()
            .flat_map(|(_, copies)| copies.outcomes.iter().flatten());
        let mut outcomes =
            outcomes.filter(|request_outcome| request_outcome.request.full_key() == name);
        match outcomes.next() {
            Some(request_outcome) if request_outcome.request.digest() == request.digest() => {
                PeerReply::Outcome(Some(request_outcome.outcome.clone()))
            }
            Some(_) => PeerReply::Conflict {
                reason: "the key stands for another request; choose a new key".into(),
            },
            None => PeerReply::NotFound,
        }
    }

    /// Looks up the outcome of a lost host's request among the copies here and on its likely backup hosts.
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
            let message = PeerMessage::FindBackup(request.clone());
            let call = self.context.link.call(&target, message);
            if let Ok(Ok(PeerReply::Outcome(found))) =
                tokio::time::timeout(SEND_TIMEOUT, call).await
            {
                return found;
            }
        }
        None
    }

    /// Sends copies to backup hosts and records the copies of lost senders; never returns.
    pub async fn run(self: Arc<Self>, keys: Arc<KeyOwner>) {
        loop {
            // Without a change, copies that were not acknowledged are sent again after the interval.
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

    /// Sends one host the copies that it lacks; returns whether it has all up to `end`.
    async fn send_to(&self, target: &PeerTarget, end: u32) -> bool {
        while let Some(request) = self.next_request(&target.host) {
            let first_pending = request.first_pending;
            let call = self
                .context
                .link
                .call(target, PeerMessage::StoreBackups(request));
            let Ok(Ok(PeerReply::Received { items })) =
                tokio::time::timeout(SEND_TIMEOUT, call).await
            else {
                lock(&self.pending).acked.remove(&target.host);
                return false;
            };
            let next = items;
            let ack = BackupProgress {
                next,
                first_pending,
            };
            lock(&self.pending).acked.insert(target.host.clone(), ack);
        }
        let pending = lock(&self.pending);
        let ack = pending.acked.get(&target.host).copied().unwrap_or_default();
        ack.next >= end || pending.outcomes.is_empty()
    }

    /// Returns the next message for a backup host; `None` when the host is up to date.
    fn next_request(&self, host: &HostIdentity) -> Option<BackupRequest> {
        let pending = lock(&self.pending);
        let ack = pending.acked.get(host).copied().unwrap_or_default();
        let first = ack.next.max(pending.first);
        let up_to_date = first == pending.end() && ack.first_pending == pending.first;
        let nothing_to_send = pending.outcomes.is_empty() && ack == BackupProgress::default();
        if up_to_date || nothing_to_send {
            return None;
        }
        let from = (first - pending.first) as usize;
        let outcomes = pending
            .outcomes
            .iter()
            .skip(from)
            .take(MAX_MESSAGE_OUTCOMES);
        Some(BackupRequest {
            first_pending: pending.first,
            first,
            outcomes: outcomes.cloned().collect(),
        })
    }

    /// Records the copies of lost senders through the owners of the keys, once the log is available.
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
            while let Some(request_outcome) = self.next_copy(&sender) {
                let name = request_outcome.request.full_key();
                if !keys.record_through_owner(request_outcome).await {
                    return;
                }
                let detail = format!("returned by {sender}, which is lost");
                self.context.events.emit("held-outcome", &name, &detail);
                self.drop_next_copy(&sender);
            }
        }
    }

    fn next_copy(&self, sender: &HostIdentity) -> Option<RequestOutcome> {
        let mut received = lock(&self.received);
        let copies = received.get_mut(sender)?;
        while let Some(None) = copies.outcomes.front() {
            copies.drop_first();
        }
        let next = copies.outcomes.front().cloned().flatten();
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
        self.first + u32::try_from(self.outcomes.len()).unwrap_or(0)
    }
}

impl ReceivedCopies {
    fn bytes(&self) -> usize {
        self.outcomes.iter().flatten().map(outcome_bytes).sum()
    }

    fn drop_first(&mut self) {
        if self.outcomes.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Appends the outcomes that follow the ones stored here, and drops those that are in the log.
    fn merge(&mut self, request: BackupRequest) {
        for (number, request_outcome) in (request.first..).zip(request.outcomes) {
            let next = self.first + u32::try_from(self.outcomes.len()).unwrap_or(0);
            if number == next {
                self.outcomes.push_back(request_outcome);
            }
        }
        while self.first < request.first_pending && !self.outcomes.is_empty() {
            self.drop_first();
        }
        if self.outcomes.is_empty() {
            self.first = self.first.max(request.first_pending);
        }
    }
}

fn outcome_bytes(request_outcome: &RequestOutcome) -> usize {
    let text = match &request_outcome.outcome {
        ItemOutcome::Done { text } => text.len(),
        ItemOutcome::Failed { reason } => reason.len(),
        _ => 0,
    };
    OUTCOME_OVERHEAD_BYTES + request_outcome.request.input.len() + text
}

/// Returns the candidate backup hosts of a host in order of preference: first hosts of failure domains that
/// differ from its own and from each other, then the rest.
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
