//! Hosts of the fleet, as their beats show them.

use crate::schedule::{ItemKey, ItemName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Least silence after which a host counts as lost: ten beats of a small fleet, so that lost datagrams do not
/// matter.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);
/// Beats of a large fleet that may be lost before a host counts as lost.
const MISSED_HEARTBEATS: u32 = 4;
/// Silence after which a host is forgotten.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDescriptor {
    /// Name of the host.
    pub name: Arc<str>,
    /// Number of its run: the time of its start in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Where it takes beats.
    pub peer_address: SocketAddr,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: Arc<str>,
}

/// A known host.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// What it says of itself.
    pub descriptor: HostDescriptor,
    /// Whether it takes callers.
    pub ready: bool,
    /// When it was last heard; `None` when it is only known from a list.
    pub last_heard: Option<Instant>,
    /// When it became known.
    pub first_known: Instant,
    /// Items that it has begun.
    pub claims: Vec<ItemKey>,
    /// Whether it reads the log.
    pub has_log: bool,
}

/// What a notice about a host changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Nothing.
    Same,
    /// The host is new, or was lost before.
    Joined,
    /// The host runs anew.
    Restarted,
    /// The host takes callers now, or no longer does.
    Readiness,
}

/// All known hosts but this one.
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
    /// Silence after which a host counts as lost.
    #[must_use]
    pub fn failure_timeout(&self) -> Duration {
        self.failure_timeout
    }

    /// Notes a beat.
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
                    last_heard: Some(now),
                    first_known: now,
                    claims: Vec::new(),
                    has_log: false,
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
        entry.last_heard = Some(now);
        change
    }

    /// Notes a host that a list or another host names.
    pub fn add_known(&mut self, descriptor: HostDescriptor, now: Instant) {
        match self.search(&descriptor.name) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if descriptor.incarnation > entry.descriptor.incarnation {
                    entry.descriptor = descriptor;
                    entry.last_heard = None;
                    entry.first_known = now;
                }
            }
            Err(index) => {
                let entry = MemberEntry {
                    descriptor,
                    ready: false,
                    last_heard: None,
                    first_known: now,
                    claims: Vec::new(),
                    has_log: false,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Forgets hosts that have been silent for long, and returns those that were lost just now.
    pub fn expire_silent(&mut self, now: Instant, period: Duration) -> Vec<Arc<str>> {
        self.failure_timeout = MIN_FAILURE_TIMEOUT.max(period * MISSED_HEARTBEATS);
        let timeout = self.failure_timeout;
        let lost = self
            .entries
            .iter()
            .filter(|entry| {
                entry.last_heard.is_some_and(|heard| {
                    let silence = now.duration_since(heard);
                    silence > timeout && silence <= timeout + period
                })
            })
            .map(|entry| entry.descriptor.name.clone())
            .collect();
        self.entries.retain(|entry| {
            now.duration_since(entry.last_heard.unwrap_or(entry.first_known)) < EVICTION_TIMEOUT
        });
        lost
    }

    /// All known hosts.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// Hosts that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &MemberEntry> {
        self.entries
            .iter()
            .filter(move |entry| is_live(entry, self.failure_timeout, now))
    }

    /// Whether a host was heard lately and takes work.
    #[must_use]
    pub fn is_available(&self, name: &str, now: Instant) -> bool {
        self.search(name).is_ok_and(|index| {
            let entry = &self.entries[index];
            entry.ready && is_live(entry, self.failure_timeout, now)
        })
    }

    /// Age of the oldest report of a host that was heard lately.
    #[must_use]
    pub fn oldest_heartbeat_age(&self, now: Instant) -> Duration {
        let ages = self.live(now).filter_map(|entry| entry.last_heard);
        ages.map(|heard| now.duration_since(heard))
            .max()
            .unwrap_or_default()
    }

    /// Notes which items a host has begun.
    pub fn set_claims(&mut self, name: &str, claims: Vec<ItemKey>) {
        if let Ok(index) = self.search(name) {
            self.entries[index].claims = claims;
        }
    }

    /// Notes whether a host reads the log.
    pub fn set_has_log(&mut self, name: &str, has_log: bool) {
        if let Ok(index) = self.search(name) {
            self.entries[index].has_log = has_log;
        }
    }

    /// Whether another host that takes callers reads the log.
    #[must_use]
    pub fn others_have_log(&self, now: Instant) -> bool {
        self.live(now).any(|entry| entry.ready && entry.has_log)
    }

    /// Items that other hosts have begun and this one leaves to them, sorted. Of two hosts that have begun the
    /// same item, the one whose name comes first goes on. `own_claims` is sorted.
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

    /// Returns the host that runs an item: the one with the highest hash over the hosts that take work, `own`
    /// among them.
    #[must_use]
    pub fn assigned_host<'a>(&'a self, item: &ItemName, own: &'a str, now: Instant) -> &'a str {
        let hash = item.hash();
        let others = self
            .live(now)
            .filter(|entry| entry.ready)
            .map(|entry| &*entry.descriptor.name);
        others
            .chain([own])
            .max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), hash))
            .unwrap_or(own)
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.descriptor.name).cmp(name))
    }
}

fn is_live(entry: &MemberEntry, timeout: Duration, now: Instant) -> bool {
    entry
        .last_heard
        .is_some_and(|heard| now.duration_since(heard) <= timeout)
}
