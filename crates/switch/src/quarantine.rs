//! Requests that are rejected since they crash the endpoints that begin to answer them: because of parts of their prompts, or by
//! themselves. The key of a request is taken for one more part of its prompt, which none but its repeats have.
//!
//! Parts that all these requests have cannot be told apart by the crashes, so a quarantine has a set of parts and concerns
//! the prompts with all of them. Prompts with some of them are served, and their answers show which parts are sound.

use crate::crash_loops::EndpointPlace;
use crate::crashes::{BrokenRequest, CrashRecords, EndpointCrash, SuccessiveCrashes};
use crate::prompt::{PartKey, PromptParts};
use crate::trial::{TRIAL_TIMEOUT, TrialSchedule};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of successive crashes after which a part is in quarantine, if no other part is in as many crashes and each endpoint
/// ended within [`BEGIN_TIME`] of the request.
const MIN_CRASHES: usize = 3;
/// Number of successive crashes after which one is in quarantine in any case.
const MAX_CRASHES: usize = 5;
/// Time in which a request that crashes the endpoint which begins to answer it does so, unless it waits for a slot. A sound one
/// may break off at any time of its run. An item that gives way after the endpoint has sent events of it for as long is sound.
pub(crate) const BEGIN_TIME: Duration = Duration::from_millis(250);
/// Time after this host has learned of a crash from which it counts. Before that the reports of some hosts may be missing, and
/// with them the request that caused it, or the answers that show which parts are sound.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Number of places at which endpoints must have crashed, or a quarantine begins with a short term: a part that crashes endpoints
/// does so wherever it is sent, and the endpoints of a few places may crash by themselves.
const MIN_PLACES: usize = 3;
/// Duration of that term, after which a trial tells which of the two it is. A quarantine of a single request is never short, since it holds
/// back nothing else.
const SHORT_TERM: Duration = Duration::from_secs(2);
/// Duration of the first term of other quarantines, after which one request is let through as a trial.
const FIRST_TERM: Duration = Duration::from_secs(20);
/// Factor by which a term is longer than the one before.
const TERM_GROWTH: u32 = 8;
/// Number of terms after which they grow no longer.
const MAX_TERM: u8 = 4;
/// Time after the end of a term for which a quarantine without a request is kept.
const RETENTION: Duration = Duration::from_hours(1);
/// Time for which the end of a quarantine is kept, so that reports which are still on their way do not renew it.
const END_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of quarantines.
const MAX_QUARANTINES: usize = 32;

/// Identifies the set of parts with which a quarantine began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QuarantineId(u64);

impl QuarantineId {
    /// Hash that distributes trials over hosts.
    #[must_use]
    pub fn hash(self) -> u64 {
        self.0
    }

    fn of(parts: &[PartKey]) -> Self {
        let bytes: Vec<u8> = parts
            .iter()
            .flat_map(|part| <[u8; 8]>::from(*part))
            .collect();
        Self(xxh3_64(&bytes))
    }
}

/// A set of parts whose prompts are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Identifies it at all hosts.
    pub id: QuarantineId,
    /// Number of the term, counted from 1; 0 for a short one before it.
    pub term: u8,
    /// When the term ends, after which a trial may be made.
    pub term_end: Instant,
    /// Parts that are not known to be sound, sorted. It has ended if there are none.
    pub parts: Vec<PartKey>,
}

impl Quarantine {
    fn covers(&self, parts: &PromptParts) -> bool {
        !self.parts.is_empty() && self.parts.iter().all(|part| parts.contains(*part))
    }
}

/// A quarantine with what only this host knows of it.
#[derive(Clone, Debug)]
struct QuarantineEntry {
    quarantine: Quarantine,
    /// Since when this host knows of the term.
    known_since: Instant,
    /// No trial is due before the end of the term.
    trial: TrialSchedule,
    /// When the quarantine is dropped.
    drop_at: Instant,
}

impl QuarantineEntry {
    fn new(quarantine: Quarantine, now: Instant) -> Self {
        Self {
            known_since: now,
            trial: TrialSchedule::new(quarantine.term_end),
            drop_at: quarantine.term_end + RETENTION,
            quarantine,
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Sent,
    /// It may, as the trial of a quarantine.
    Trial,
    /// It must not.
    Rejected {
        /// The quarantine whose trial comes last.
        id: QuarantineId,
        /// Time until that trial is due; zero if another host has to grant it.
        trial_in: Duration,
    },
}

/// Delay after which the caller of a rejected request should retry: by then the next trial has a result, or is due again.
#[must_use]
pub fn retry_delay(trial_in: Duration) -> Duration {
    trial_in.max(TRIAL_TIMEOUT)
}

/// Answer of an arbiter to a host that asks for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialGrant {
    /// The host makes the trial.
    Granted,
    /// The next trial is due after this time.
    Postponed(Duration),
    /// This host does not know the quarantine in this term, or it has ended.
    Other,
}

/// All quarantines.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    entries: Vec<QuarantineEntry>,
}

impl QuarantineTable {
    /// Decides whether a request with these parts may be sent. `is_arbiter` tells whether this host is the one with this rank
    /// that decides on a trial.
    pub fn admit(
        &mut self,
        parts: &PromptParts,
        now: Instant,
        is_arbiter: impl FnOnce(QuarantineId, u32) -> bool,
    ) -> Admission {
        let Some(entry) = self.last_covering(parts, now) else {
            return Admission::Sent;
        };
        let id = entry.quarantine.id;
        let trial_in = entry.trial.due_in(now);
        let begins = trial_in.is_zero()
            && (entry.trial.is_permitted(now) || is_arbiter(id, entry.trial.arbiter_rank(now)));
        if !begins {
            return Admission::Rejected { id, trial_in };
        }
        for entry in &mut self.entries {
            if entry.quarantine.covers(parts) {
                entry.trial.postpone(TRIAL_TIMEOUT, now);
            }
        }
        Admission::Trial
    }

    /// Of the quarantines that cover these parts, the one whose trial is due last.
    fn last_covering(&self, parts: &PromptParts, now: Instant) -> Option<&QuarantineEntry> {
        let entries = self.entries.iter();
        let covering = entries.filter(|entry| entry.quarantine.covers(parts));
        covering.max_by_key(|entry| entry.trial.due_in(now))
    }

    /// The quarantine whose trial is due for a request with these parts and not granted to this host yet, and the rank of the
    /// arbiter.
    #[must_use]
    pub fn due_trial(&self, parts: &PromptParts, now: Instant) -> Option<(QuarantineId, u32)> {
        let entry = self.last_covering(parts, now)?;
        let is_wanted = entry.trial.due_in(now).is_zero() && !entry.trial.is_permitted(now);
        is_wanted.then(|| (entry.quarantine.id, entry.trial.arbiter_rank(now)))
    }

    /// Records that this host asks for a trial. Returns the term and the rank of the arbiter; `None` if none is due or the answer
    /// to the last ask is still waited for.
    pub fn ask_for_trial(&mut self, id: QuarantineId, now: Instant) -> Option<(u8, u32)> {
        let index = self.position(id)?;
        let entry = &mut self.entries[index];
        let is_due = entry.trial.due_in(now).is_zero();
        (is_due && entry.trial.ask(now))
            .then(|| (entry.quarantine.term, entry.trial.arbiter_rank(now)))
    }

    /// Records that a request which this host sent as a trial has reached no endpoint.
    pub fn renew_trial(&mut self, parts: &PromptParts, now: Instant) {
        // Another host's trial may have begun the next term meanwhile.
        let is_over = |entry: &&mut QuarantineEntry| entry.quarantine.term_end <= now;
        let entries = self.entries.iter_mut().filter(is_over);
        for entry in entries.filter(|entry| entry.quarantine.covers(parts)) {
            entry.trial.renew(now);
        }
    }

    /// Decides on the trial after a term, for a host that asks for it.
    pub fn grant_trial(&mut self, id: QuarantineId, term: u8, now: Instant) -> TrialGrant {
        let Some(entry) = self.entry_in_term(id, term) else {
            return TrialGrant::Other;
        };
        let due_in = entry.trial.due_in(now);
        if !due_in.is_zero() {
            return TrialGrant::Postponed(due_in);
        }
        entry.trial.postpone(TRIAL_TIMEOUT, now);
        TrialGrant::Granted
    }

    /// Records that this host may make the trial after a term. Returns whether it is due.
    pub fn permit_trial(&mut self, id: QuarantineId, term: u8, now: Instant) -> bool {
        let entry = self.entry_in_term(id, term);
        let due = entry.filter(|entry| entry.trial.due_in(now).is_zero());
        due.is_some_and(|entry| {
            entry.trial.permit(now);
            true
        })
    }

    /// Records that the next trial after a term is due later.
    pub fn postpone_trial(&mut self, id: QuarantineId, term: u8, time: Duration, now: Instant) {
        if let Some(entry) = self.entry_in_term(id, term) {
            entry.trial.postpone(time, now);
        }
    }

    /// The quarantine with this ID if it is in force, in this term.
    fn entry_in_term(&mut self, id: QuarantineId, term: u8) -> Option<&mut QuarantineEntry> {
        let index = self.position(id)?;
        let entry = &mut self.entries[index];
        let is_same = entry.quarantine.term == term && !entry.quarantine.parts.is_empty();
        is_same.then_some(entry)
    }

    /// Whether a request with these parts is rejected, without making it a trial.
    #[must_use]
    pub fn covers(&self, parts: &PromptParts) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.quarantine.covers(parts))
    }

    /// Whether a quarantine that rejects a request with these parts became known after `time`.
    #[must_use]
    pub fn began_after(&self, parts: &PromptParts, time: Instant) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.known_since > time && entry.quarantine.covers(parts))
    }

    /// Since when a part is in a quarantine; `None` if it is in none.
    #[must_use]
    pub fn suspected_since(&self, part: PartKey) -> Option<Instant> {
        let entries = self.entries.iter();
        let with_part = entries.filter(|entry| entry.quarantine.parts.contains(&part));
        with_part.map(|entry| entry.known_since).min()
    }

    /// Draws the conclusions from the crashes. `has_others` tells whether endpoints of the same services serve at other places. Returns
    /// the quarantines that began or were prolonged by that.
    pub fn update(
        &mut self,
        records: &CrashRecords,
        has_others: impl Fn(&[EndpointPlace]) -> bool,
        now: Instant,
    ) -> Vec<Quarantine> {
        let mut changed = self.prolong(records, now);
        while let Some((parts, crashes)) = self.find_suspects(records, now) {
            // One request, sent again, is no reason to hold anything else back.
            let is_shared = !parts.iter().any(|part| part.is_request());
            let places = records.few_places(&crashes, MIN_PLACES);
            let is_local = is_shared && places.is_some_and(|places| has_others(&places));
            changed.push(self.begin(parts, is_local, now));
        }
        changed
    }

    /// Prolongs the quarantines of which a trial crashed its endpoint.
    fn prolong(&mut self, records: &CrashRecords, now: Instant) -> Vec<Quarantine> {
        let mut prolonged = Vec::new();
        for entry in &mut self.entries {
            let quarantine = &entry.quarantine;
            let mut requests = records.iter().flat_map(EndpointCrash::requests);
            let has_failed = requests.any(|request| {
                request.sent_at >= quarantine.term_end && quarantine.covers(&request.parts)
            });
            if has_failed {
                let term = quarantine.term.saturating_add(1);
                *entry = QuarantineEntry::new(
                    Quarantine {
                        term,
                        term_end: now + term_duration(term),
                        ..quarantine.clone()
                    },
                    now,
                );
                prolonged.push(entry.quarantine.clone());
            }
        }
        prolonged
    }

    /// Finds the parts under which most endpoints crashed one after the other, if they are to be quarantined, and these crashes. Crashes
    /// under a quarantine are explained by it.
    fn find_suspects(
        &self,
        records: &CrashRecords,
        now: Instant,
    ) -> Option<(Vec<PartKey>, SuccessiveCrashes)> {
        let is_left_out = |crash: &EndpointCrash| {
            let mut requests = crash.requests();
            let is_settled = now.saturating_duration_since(crash.learned_at()) >= SETTLE_TIME;
            !is_settled || requests.any(|request| self.covers(&request.parts))
        };
        let unexplained = records.iter().filter(|crash| !is_left_out(crash));
        let requests: Vec<&BrokenRequest> = unexplained.flat_map(EndpointCrash::requests).collect();
        let unexplained = records.iter().filter(|crash| !is_left_out(crash));
        let candidates: Vec<Suspect> = frequent_parts(unexplained)
            .into_iter()
            .map(|part| Suspect {
                part,
                successive: records.successive(part, is_left_out),
                presence: records.presence(part, is_left_out),
                carriers: carriers(&requests, part),
            })
            .collect();
        let suspects = candidates
            .iter()
            .filter(|candidate| candidate.count() >= MIN_CRASHES);
        let mut specific: Vec<&Suspect> = suspects
            .filter(|suspect| {
                let mut others = candidates.iter();
                !others.any(|other| other.explains(suspect, records))
            })
            .collect();
        // The request that crashes an endpoint is one of many there, and was sent a short time before.
        specific.sort_by_key(|suspect| {
            (
                Reverse(suspect.count()),
                Reverse(suspect.presence),
                suspect.carriers.len(),
                suspect.successive.age,
            )
        });
        let first = specific.first()?;
        let mut together = first.parts_together(&requests);
        let count = first.count();
        // A part in as many crashes, whenever its requests were sent, may be the cause as well.
        let is_rival =
            |other: &Suspect| other.presence >= first.presence && !together.contains(&other.part);
        let is_clear = !candidates.iter().any(is_rival);
        together.retain(|part| *part == first.part || !records.is_sound(*part));
        let is_clear = is_clear && first.successive.longest_age <= BEGIN_TIME;
        (is_clear || count >= MAX_CRASHES).then(|| (together, first.successive.clone()))
    }

    /// Begins a quarantine. `is_local` tells whether endpoints crashed at a few places only and others serve.
    fn begin(&mut self, parts: Vec<PartKey>, is_local: bool, now: Instant) -> Quarantine {
        let id = QuarantineId::of(&parts);
        let index = self.position(id);
        let last_term = index.map(|index| self.entries[index].quarantine.term);
        let term = last_term.map_or(u8::from(!is_local), |term| term.saturating_add(1));
        let quarantine = Quarantine {
            id,
            term,
            term_end: now + term_duration(term),
            parts,
        };
        self.put(index, quarantine.clone(), now);
        quarantine
    }

    /// Applies the report of another host on a quarantine. Returns whether it was not known or is shorter or longer by it.
    pub fn apply(&mut self, mut reported: Quarantine, now: Instant) -> bool {
        reported.parts.sort_unstable();
        let Some(index) = self.position(reported.id) else {
            // The end of a quarantine that this host does not know tells it nothing.
            let is_new = !reported.parts.is_empty();
            if is_new {
                self.put(None, reported, now);
            }
            return is_new;
        };
        let known = &mut self.entries[index].quarantine;
        if reported.term > known.term {
            self.put(Some(index), reported, now);
            return true;
        }
        let before = known.parts.len();
        if reported.term == known.term {
            known.parts.retain(|part| reported.parts.contains(part));
        }
        let has_changed = known.parts.len() < before;
        if has_changed && known.parts.is_empty() {
            self.entries[index].drop_at = now + END_RETENTION;
        }
        has_changed
    }

    /// Removes a part that was seen at `seen_at` to be sound from the quarantines that were known before. Returns those
    /// that had it.
    pub fn remove_sound(
        &mut self,
        part: PartKey,
        seen_at: Instant,
        now: Instant,
    ) -> Vec<Quarantine> {
        let mut changed = Vec::new();
        let entries = self.entries.iter_mut();
        for entry in entries.filter(|entry| entry.known_since < seen_at) {
            let parts = &mut entry.quarantine.parts;
            let before = parts.len();
            parts.retain(|suspect| *suspect != part);
            if parts.len() == before {
                continue;
            }
            if parts.is_empty() {
                entry.drop_at = now + END_RETENTION;
            }
            changed.push(entry.quarantine.clone());
        }
        changed
    }

    /// All quarantines, also those that have ended lately.
    pub fn iter(&self) -> impl Iterator<Item = &Quarantine> {
        self.entries.iter().map(|entry| &entry.quarantine)
    }

    /// Number of quarantines that are in force.
    #[must_use]
    pub fn in_force(&self) -> usize {
        self.iter()
            .filter(|quarantine| !quarantine.parts.is_empty())
            .count()
    }

    /// Drops the quarantines that are kept no longer.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|entry| entry.drop_at > now);
    }

    fn position(&self, id: QuarantineId) -> Option<usize> {
        let mut entries = self.entries.iter();
        entries.position(|entry| entry.quarantine.id == id)
    }

    /// Replaces the entry at `index`, or adds one. Drops the one that ends first if there are too many.
    fn put(&mut self, index: Option<usize>, quarantine: Quarantine, now: Instant) {
        let entry = QuarantineEntry::new(quarantine, now);
        match index {
            Some(index) => self.entries[index] = entry,
            None => self.entries.push(entry),
        }
        if self.entries.len() > MAX_QUARANTINES {
            let first = (0..self.entries.len()).min_by_key(|index| self.entries[*index].drop_at);
            self.entries.remove(first.unwrap_or_default());
        }
    }
}

/// A part under which endpoints crashed one after the other.
struct Suspect {
    part: PartKey,
    successive: SuccessiveCrashes,
    /// Number of crashes under the part, successive or not, since it was last seen to be sound.
    presence: usize,
    /// Indexes of the broken requests with the part.
    carriers: Vec<usize>,
}

impl Suspect {
    /// Number of successive crashes.
    fn count(&self) -> usize {
        self.successive.crashes.len()
    }

    /// Whether this part explains the crashes under the other one: all requests with it, and fewer, have the other one too, and
    /// it is suspected itself or in all these crashes.
    fn explains(&self, other: &Self, records: &CrashRecords) -> bool {
        let is_carrier = |index: &usize| other.carriers.binary_search(index).is_ok();
        let is_within =
            self.carriers.len() < other.carriers.len() && self.carriers.iter().all(is_carrier);
        is_within && (self.count() >= MIN_CRASHES || self.is_in_all(&other.successive, records))
    }

    /// Whether requests with this part broke off in all these crashes.
    fn is_in_all(&self, successive: &SuccessiveCrashes, records: &CrashRecords) -> bool {
        let crashes = records
            .iter()
            .filter(|crash| successive.crashes.contains(&crash.identity()));
        let mut without = crashes.filter(|crash| !crash.has_part(self.part));
        without.next().is_none()
    }

    /// Parts that all broken requests with this one have, this one included. Sorted.
    fn parts_together(&self, requests: &[&BrokenRequest]) -> Vec<PartKey> {
        let carriers = || self.carriers.iter().map(|index| requests[*index]);
        let first = carriers().next().into_iter();
        let parts = first.flat_map(|request| request.parts.iter());
        let is_together = |part: &PartKey| carriers().all(|request| request.parts.contains(*part));
        let mut together: Vec<PartKey> = parts.filter(is_together).collect();
        together.sort_unstable();
        together.dedup();
        together
    }
}

/// Parts in at least [`MIN_CRASHES`] of the crashes. Other parts are not suspected, nor do they explain the crashes under one.
fn frequent_parts<'a>(crashes: impl Iterator<Item = &'a EndpointCrash>) -> Vec<PartKey> {
    let mut seen: Vec<_> = crashes
        .flat_map(|crash| {
            let parts = crash.requests().flat_map(|request| request.parts.iter());
            parts.map(|part| (part, crash.identity()))
        })
        .collect();
    seen.sort_unstable();
    seen.dedup();
    let by_part = seen.chunk_by(|(part, _), (other, _)| part == other);
    let frequent = by_part.filter(|crashes| crashes.len() >= MIN_CRASHES);
    frequent.map(|crashes| crashes[0].0).collect()
}

/// Indexes of the requests with a part.
fn carriers(requests: &[&BrokenRequest], part: PartKey) -> Vec<usize> {
    let indexed = requests.iter().enumerate();
    let with_part = indexed.filter(|(_, request)| request.parts.contains(part));
    with_part.map(|(index, _)| index).collect()
}

fn term_duration(term: u8) -> Duration {
    if term == 0 {
        return SHORT_TERM;
    }
    FIRST_TERM * TERM_GROWTH.pow(u32::from(term.min(MAX_TERM)).saturating_sub(1))
}
