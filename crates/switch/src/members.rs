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
const SILENCE_LEAST: Duration = Duration::from_secs(1);
/// Beats of a large fleet that may be lost before a host counts as lost.
const SILENCE_BEATS: u32 = 4;
/// Silence after which a host is forgotten.
const FORGET_LIMIT: Duration = Duration::from_secs(30);

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCard {
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
    pub card: HostCard,
    /// Whether it takes callers.
    pub ready: bool,
    /// When it was last heard; `None` when it is only known from a list.
    pub heard: Option<Instant>,
    /// When it became known.
    pub known: Instant,
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
    silence_limit: Duration,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            silence_limit: SILENCE_LEAST,
        }
    }
}

impl MemberTable {
    /// Silence after which a host counts as lost.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.silence_limit
    }

    /// Notes a beat.
    pub fn heard(&mut self, card: HostCard, ready: bool, now: Instant) -> MemberChange {
        let index = match self.search(&card.name) {
            Ok(index) => index,
            Err(index) => {
                let entry = MemberEntry {
                    card,
                    ready,
                    heard: Some(now),
                    known: now,
                    claims: Vec::new(),
                    has_log: false,
                };
                self.entries.insert(index, entry);
                return MemberChange::Joined;
            }
        };
        let entry = &mut self.entries[index];
        if card.incarnation < entry.card.incarnation {
            return MemberChange::Same;
        }
        let change = if card.incarnation > entry.card.incarnation {
            MemberChange::Restarted
        } else if !is_heard(entry, self.silence_limit, now) {
            MemberChange::Joined
        } else if entry.ready != ready {
            MemberChange::Readiness
        } else {
            MemberChange::Same
        };
        entry.card = card;
        entry.ready = ready;
        entry.heard = Some(now);
        change
    }

    /// Notes a host that a list or another host names.
    pub fn introduce(&mut self, card: HostCard, now: Instant) {
        match self.search(&card.name) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if card.incarnation > entry.card.incarnation {
                    entry.card = card;
                    entry.heard = None;
                    entry.known = now;
                }
            }
            Err(index) => {
                let entry = MemberEntry {
                    card,
                    ready: false,
                    heard: None,
                    known: now,
                    claims: Vec::new(),
                    has_log: false,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Forgets hosts that have been silent for long, and returns those that were lost just now.
    pub fn sweep(&mut self, now: Instant, period: Duration) -> Vec<Arc<str>> {
        self.silence_limit = SILENCE_LEAST.max(period * SILENCE_BEATS);
        let limit = self.silence_limit;
        let lost = self
            .entries
            .iter()
            .filter(|entry| {
                entry.heard.is_some_and(|heard| {
                    let silence = now.duration_since(heard);
                    silence > limit && silence <= limit + period
                })
            })
            .map(|entry| entry.card.name.clone())
            .collect();
        self.entries
            .retain(|entry| now.duration_since(entry.heard.unwrap_or(entry.known)) < FORGET_LIMIT);
        lost
    }

    /// All known hosts.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// Hosts that were heard lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &MemberEntry> {
        self.entries
            .iter()
            .filter(move |entry| is_heard(entry, self.silence_limit, now))
    }

    /// Whether a host was heard lately and takes work.
    #[must_use]
    pub fn takes_work(&self, name: &str, now: Instant) -> bool {
        self.search(name).is_ok_and(|index| {
            let entry = &self.entries[index];
            entry.ready && is_heard(entry, self.silence_limit, now)
        })
    }

    /// Age of the oldest report of a host that was heard lately.
    #[must_use]
    pub fn oldest_report(&self, now: Instant) -> Duration {
        let ages = self.alive(now).filter_map(|entry| entry.heard);
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
    pub fn set_log(&mut self, name: &str, has_log: bool) {
        if let Ok(index) = self.search(name) {
            self.entries[index].has_log = has_log;
        }
    }

    /// Whether another host that takes callers reads the log.
    #[must_use]
    pub fn others_have_log(&self, now: Instant) -> bool {
        self.alive(now).any(|entry| entry.ready && entry.has_log)
    }

    /// Items that other hosts have begun and this one leaves to them, sorted. Of two hosts that have begun the
    /// same item, the one whose name comes first goes on. `own_claims` is sorted.
    #[must_use]
    pub fn claimed(&self, own: &str, own_claims: &[ItemKey], now: Instant) -> Vec<ItemKey> {
        let mut claimed: Vec<ItemKey> = self
            .alive(now)
            .flat_map(|entry| {
                let goes_first = &*entry.card.name < own;
                let claims = entry.claims.iter().copied();
                claims.filter(move |key| goes_first || own_claims.binary_search(key).is_err())
            })
            .collect();
        claimed.sort_unstable();
        claimed
    }

    /// Returns the host that runs an item: the one with the highest hash over the hosts that take work, `own`
    /// among them.
    #[must_use]
    pub fn runner<'a>(&'a self, item: &ItemName, own: &'a str, now: Instant) -> &'a str {
        let hash = item.hash();
        let others = self
            .alive(now)
            .filter(|entry| entry.ready)
            .map(|entry| &*entry.card.name);
        others
            .chain([own])
            .max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), hash))
            .unwrap_or(own)
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.card.name).cmp(name))
    }
}

fn is_heard(entry: &MemberEntry, limit: Duration, now: Instant) -> bool {
    entry
        .heard
        .is_some_and(|heard| now.duration_since(heard) <= limit)
}
