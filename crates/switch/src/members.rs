//! Membership: the other hosts as known from their heartbeats.

use crate::reach::ReachReport;
use crate::schedule::{ItemKey, ItemName};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum failure timeout: ten heartbeat intervals of a small fleet, so that lost datagrams do not matter.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);
/// Failure timeout of a large fleet, in heartbeat intervals.
const MISSED_HEARTBEATS: u32 = 4;
/// Time beyond the failure timeout that a starting host waits for heartbeats of the other hosts before it runs items.
const DISCOVERY_MARGIN: Duration = Duration::from_millis(300);
/// Time without a heartbeat after which a host is removed from the table.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a host that was never heard may be asked, from when it became known.
const UNHEARD_TIME: Duration = Duration::from_secs(2);

/// Time within which the first heartbeat of a host that became known is expected.
const FIRST_HEARTBEAT_TIME: Duration = Duration::from_secs(1);

/// Identity and addresses of a host, as sent in its heartbeats and published in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDescriptor {
    /// Host name.
    pub name: Arc<str>,
    /// Start time of the process in milliseconds since the Unix epoch; distinguishes restarts.
    pub incarnation: u64,
    /// Address for heartbeats.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Arc<str>,
}

/// Another host in the member table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Latest descriptor of the host.
    pub descriptor: HostDescriptor,
    /// Whether the host accepts callers and runs batch items.
    pub ready: bool,
    /// Time of the last heartbeat of this incarnation; `None` if the descriptor is only known from the log or from
    /// another host.
    pub last_heartbeat: Option<Instant>,
    /// When this incarnation was added to the table.
    pub added_at: Instant,
    /// Items that the host claims.
    pub claims: Vec<ItemKey>,
    /// Whether the host has access to the log.
    pub has_log: bool,
    /// What the host tells of its links to the endpoints; `None` for one of a version that does not.
    pub reach: Option<ReachReport>,
}

impl MemberEntry {
    /// Whether the host accepts callers, and is cut off from the endpoints as `is_cut_off` says. One that is does not call itself ready.
    #[must_use]
    pub fn accepts_callers(&self, is_cut_off: bool) -> bool {
        if is_cut_off {
            self.reach.is_some_and(|reach| reach.is_cut_off)
        } else {
            self.ready
        }
    }

    /// Whether the host got data from an endpoint a short time ago.
    #[must_use]
    pub fn has_recent_data(&self) -> bool {
        self.reach.is_some_and(ReachReport::has_recent_data)
    }

    /// When the host last got data from an endpoint, as its last heartbeat tells.
    fn heard_at(&self) -> Option<Instant> {
        let silence = Duration::from_millis(self.reach?.heard_before_ms.into());
        self.last_heartbeat?.checked_sub(silence)
    }
}

/// Change that a heartbeat made to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// No change.
    Same,
    /// The host is new, or had been lost.
    Joined,
    /// The host has a new incarnation.
    Restarted,
    /// The host became ready or is no longer ready.
    Readiness,
}

/// All known hosts except this one, sorted by name.
#[derive(Clone, Debug)]
pub struct MemberTable {
    entries: Vec<MemberEntry>,
    failure_timeout: Duration,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            failure_timeout: MIN_FAILURE_TIMEOUT,
        }
    }
}

impl MemberTable {
    /// Time without a heartbeat after which a host counts as lost.
    #[must_use]
    pub fn failure_timeout(&self) -> Duration {
        self.failure_timeout
    }

    /// Records a heartbeat. Heartbeats of earlier incarnations are ignored.
    pub fn record_heartbeat(
        &mut self,
        descriptor: HostDescriptor,
        ready: bool,
        now: Instant,
    ) -> MemberChange {
        let index = match self.search(&descriptor.name) {
            Ok(index) => index,
            Err(index) => {
                let entry = MemberEntry {
                    descriptor,
                    ready,
                    last_heartbeat: Some(now),
                    added_at: now,
                    claims: Vec::new(),
                    has_log: false,
                    reach: None,
                };
                self.entries.insert(index, entry);
                return MemberChange::Joined;
            }
        };
        let entry = &mut self.entries[index];
        if descriptor.incarnation < entry.descriptor.incarnation {
            return MemberChange::Same;
        }
        let change = if descriptor.incarnation > entry.descriptor.incarnation {
            MemberChange::Restarted
        } else if !is_live(entry, self.failure_timeout, now) {
            MemberChange::Joined
        } else if entry.ready != ready {
            MemberChange::Readiness
        } else {
            MemberChange::Same
        };
        entry.descriptor = descriptor;
        entry.ready = ready;
        entry.last_heartbeat = Some(now);
        change
    }

    /// Adds a host whose descriptor was read from the log or received from another host, or updates it to a later
    /// incarnation. The host counts as live only after its first heartbeat.
    pub fn add_host(&mut self, descriptor: HostDescriptor, now: Instant) {
        match self.search(&descriptor.name) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if descriptor.incarnation > entry.descriptor.incarnation {
                    entry.descriptor = descriptor;
                    entry.last_heartbeat = None;
                    entry.added_at = now;
                }
            }
            Err(index) => {
                let entry = MemberEntry {
                    descriptor,
                    ready: false,
                    last_heartbeat: None,
                    added_at: now,
                    claims: Vec::new(),
                    has_log: false,
                    reach: None,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Sets the failure timeout for the heartbeat interval `interval`, and removes hosts without a heartbeat for 30 s.
    pub fn update_timeout(&mut self, now: Instant, interval: Duration) {
        self.failure_timeout = MIN_FAILURE_TIMEOUT.max(interval * MISSED_HEARTBEATS);
        self.entries.retain(|entry| {
            now.duration_since(entry.last_heartbeat.unwrap_or(entry.added_at)) < EVICTION_TIMEOUT
        });
    }

    /// All known hosts, live or not.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// Whether a host that started `uptime` ago knows which other hosts run items: it has heard all those in the log, or
    /// they would count as lost by now. Until then it would take all items to be its own.
    #[must_use]
    pub fn knows_live_hosts(&self, uptime: Duration) -> bool {
        let mut entries = self.entries.iter();
        let all_heard =
            !self.entries.is_empty() && entries.all(|entry| entry.last_heartbeat.is_some());
        all_heard || uptime >= self.failure_timeout + DISCOVERY_MARGIN
    }

    /// Hosts whose last heartbeat is within the failure timeout.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberEntry> {
        self.entries
            .iter()
            .filter(move |entry| is_live(entry, self.failure_timeout, now))
    }

    /// Whether a host is live and ready.
    #[must_use]
    pub fn is_available(&self, name: &str, now: Instant) -> bool {
        self.search(name).is_ok_and(|index| {
            let entry = &self.entries[index];
            entry.ready && is_live(entry, self.failure_timeout, now)
        })
    }

    /// Age of the oldest heartbeat among live hosts; zero if there are none.
    #[must_use]
    pub fn oldest_heartbeat_age(&self, now: Instant) -> Duration {
        let ages = self.live(now).filter_map(|entry| entry.last_heartbeat);
        ages.map(|received_at| now.duration_since(received_at))
            .max()
            .unwrap_or_default()
    }

    /// Whether `own` is among the `count` hosts with the highest rank for `hash` by rendezvous hashing over the ready hosts and
    /// `own`.
    #[must_use]
    pub fn is_among_assigned(&self, hash: u64, own: &str, count: usize, now: Instant) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), hash);
        let own_rank = rank(own);
        let others = self.live(now).filter(|entry| entry.ready);
        let higher = others.filter(|entry| rank(&entry.descriptor.name) > own_rank);
        higher.count() < count
    }

    /// Whether at least half of the known hosts are live.
    #[must_use]
    pub fn hears_most(&self, now: Instant) -> bool {
        self.live(now).count() * 2 >= self.entries.len()
    }

    /// Sets the items that a host claims.
    pub fn set_claims(&mut self, name: &str, claims: Vec<ItemKey>) {
        if let Ok(index) = self.search(name) {
            self.entries[index].claims = claims;
        }
    }

    /// Sets whether a host has access to the log.
    pub fn set_has_log(&mut self, name: &str, has_log: bool) {
        if let Ok(index) = self.search(name) {
            self.entries[index].has_log = has_log;
        }
    }

    /// Sets what a host tells of its links to the endpoints.
    pub fn set_reach(&mut self, name: &str, reach: Option<ReachReport>) {
        if let Ok(index) = self.search(name) {
            self.entries[index].reach = reach;
        }
    }

    /// Whether another host that is live got data from an endpoint a short time ago.
    #[must_use]
    pub fn others_have_data(&self, now: Instant) -> bool {
        self.live(now).any(MemberEntry::has_recent_data)
    }

    /// Whether another host that is live got data from an endpoint after `since`, as far as heartbeats tell by `now`.
    #[must_use]
    pub fn others_have_data_since(&self, since: Instant, now: Instant) -> bool {
        let mut live = self.live(now);
        live.any(|entry| entry.heard_at().is_some_and(|heard_at| heard_at > since))
    }

    /// Whether another host that is live is ready.
    #[must_use]
    pub fn others_are_ready(&self, now: Instant) -> bool {
        self.live(now).any(|entry| entry.ready)
    }

    /// Whether another host that is live and ready has access to the log.
    #[must_use]
    pub fn others_have_log(&self, now: Instant) -> bool {
        self.live(now).any(|entry| entry.ready && entry.has_log)
    }

    /// Items that this host must not run because other hosts claim them, sorted. If two hosts claim the same item, the
    /// one whose name sorts first keeps it. `own_claims` must be sorted.
    #[must_use]
    pub fn claimed_by_others(
        &self,
        own: &str,
        own_claims: &[ItemKey],
        now: Instant,
    ) -> Vec<ItemKey> {
        let mut claimed_items: Vec<ItemKey> = self
            .live(now)
            .flat_map(|entry| {
                let has_precedence = &*entry.descriptor.name < own;
                let claims = entry.claims.iter().copied();
                claims.filter(move |key| has_precedence || own_claims.binary_search(key).is_err())
            })
            .collect();
        claimed_items.sort_unstable();
        claimed_items
    }

    /// Live hosts that claim an item, sorted by name.
    pub fn claimants(&self, item: ItemKey, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let claimants = self
            .live(now)
            .filter(move |entry| entry.claims.contains(&item));
        claimants.map(|entry| &entry.descriptor.name)
    }

    /// Returns the host that is assigned an item by rendezvous hashing over the ready hosts and `own`.
    #[must_use]
    pub fn assigned_host<'a>(&'a self, item: &ItemName, own: &'a str, now: Instant) -> &'a str {
        self.assigned_to(item.hash(), own, now)
    }

    /// The host that runs an item: among those that have access to the log, if any has. The others may not know that the item
    /// exists, or that it has ended. Of these it is one that `may_run` selects, if any is.
    #[must_use]
    pub fn runner_of<'a>(
        &'a self,
        item: &ItemName,
        own: &'a str,
        own_has_log: bool,
        may_run: impl Fn(&str) -> bool,
        now: Instant,
    ) -> &'a str {
        let others = self.live(now).filter(|entry| entry.ready && entry.has_log);
        let names = others.map(|entry| &*entry.descriptor.name);
        let hash = item.hash();
        names
            .chain(own_has_log.then_some(own))
            .max_by_key(|name| (may_run(name), xxh3_64_with_seed(name.as_bytes(), hash)))
            .unwrap_or_else(|| self.assigned_to(hash, own, now))
    }

    /// Returns the host with the highest rank for `hash` by rendezvous hashing over the ready hosts and `own`.
    #[must_use]
    pub fn assigned_to<'a>(&'a self, hash: u64, own: &'a str, now: Instant) -> &'a str {
        let others = self
            .live(now)
            .filter(|entry| entry.ready)
            .map(|entry| &*entry.descriptor.name);
        others
            .chain([own])
            .max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), hash))
            .unwrap_or(own)
    }

    /// The `count` hosts with the highest rank for `hash` by rendezvous hashing over the ready hosts and `own`, highest first.
    #[must_use]
    pub fn ranked_hosts<'a>(
        &'a self,
        hash: u64,
        own: &'a str,
        count: usize,
        now: Instant,
    ) -> Vec<&'a str> {
        let others = self.live(now).filter(|entry| entry.ready);
        let names = others.map(|entry| &*entry.descriptor.name).chain([own]);
        let mut ranked: Vec<_> = names
            .map(|name| (xxh3_64_with_seed(name.as_bytes(), hash), name))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, name)| name).collect()
    }

    /// The `count` hosts with the highest rank for `hash` by rendezvous hashing, highest first: `own`, the ready hosts, and those that
    /// became known a moment ago and are not heard yet.
    #[must_use]
    pub fn ranked_ready(
        &self,
        hash: u64,
        own: Option<&str>,
        count: usize,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let others = self.entries.iter().filter(|entry| {
            let age = now.saturating_duration_since(entry.added_at);
            let is_unheard = entry.last_heartbeat.is_none() && age < UNHEARD_TIME;
            is_unheard || (entry.ready && is_live(entry, self.failure_timeout, now))
        });
        let names = others.map(|entry| &*entry.descriptor.name).chain(own);
        let ranks = names.map(|name| (Reverse(xxh3_64_with_seed(name.as_bytes(), hash)), name));
        let mut ranked: Vec<_> = ranks.collect();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, name)| name.into()).collect()
    }

    /// Number of other hosts that were heard lately, and of all that are known. One that became known a moment ago counts as heard: after
    /// a start of all hosts, their first heartbeats are on the way.
    #[must_use]
    pub fn count_heard(&self, now: Instant) -> (usize, usize) {
        let heard = self.entries.iter().filter(|entry| {
            let age = now.saturating_duration_since(entry.added_at);
            let is_expected = entry.last_heartbeat.is_none() && age < FIRST_HEARTBEAT_TIME;
            is_expected || is_live(entry, self.recent_time(), now)
        });
        (heard.count(), self.entries.len())
    }

    /// Whether a host was heard lately. One that is lost or cut off is not, some time before it counts as lost.
    #[must_use]
    pub fn is_heard(&self, name: &str, now: Instant) -> bool {
        let index = self.search(name);
        index.is_ok_and(|index| is_live(&self.entries[index], self.recent_time(), now))
    }

    /// Age of the last heartbeat up to which a host was heard lately: three of eight parts of the failure timeout, which is longer than an
    /// interval between heartbeats.
    fn recent_time(&self) -> Duration {
        self.failure_timeout * 3 / 8
    }

    /// Address for messages to a host.
    #[must_use]
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let index = self.search(name).ok()?;
        Some(self.entries[index].descriptor.peer_address)
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.descriptor.name).cmp(name))
    }
}

fn is_live(entry: &MemberEntry, timeout: Duration, now: Instant) -> bool {
    entry
        .last_heartbeat
        .is_some_and(|received_at| now.duration_since(received_at) <= timeout)
}

/// Returns the `count` hosts with the highest rank for `hash` by rendezvous hashing.
pub fn highest_ranked<'a>(
    hosts: impl Iterator<Item = &'a MemberEntry>,
    hash: u64,
    count: usize,
) -> Vec<&'a HostDescriptor> {
    let mut ranked: Vec<_> = hosts
        .map(|entry| &entry.descriptor)
        .map(|host| (xxh3_64_with_seed(host.name.as_bytes(), hash), host))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, host)| host).collect()
}
