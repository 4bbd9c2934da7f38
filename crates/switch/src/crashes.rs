//! Crashes of endpoints and the requests that broke off with them, from the reports of all hosts.
//!
//! A request may crash each endpoint that begins to answer it, by itself or because of a part of its prompt that other requests
//! have as well. One crash does not tell which of the requests caused it. A part is suspected the more, the more often a request
//! with it was sent after a crash under the same part and broke off with the next endpoint. So is a request as a whole, which its
//! caller or its host may send again; its key counts as one more part. Endpoints that crash at the same moment, for whatever
//! cause, count once. An answer that is complete, or has been in progress for long, shows that its parts are sound.

use crate::crash_loops::EndpointPlace;
use crate::endpoint::ListedEndpoint;
use crate::prompt::{PartKey, PromptParts};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a crash is remembered.
const RETENTION: Duration = Duration::from_mins(2);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Maximum number of requests of one host that are remembered for a crash.
const MAX_REQUESTS: usize = 32;
/// Time after a crash in which others may have the same cause. Requests that are sent again, as their endpoint has crashed, reach
/// other endpoints in it.
const REPEAT_TIME: Duration = Duration::from_millis(50);
/// Maximum number of parts whose soundness is remembered.
const MAX_SOUND_PARTS: usize = 256;

/// Time between two crashes of one listed start of an endpoint, from which they are two. Those that break off later than that after a
/// crash may have been sent to the successor, of which the listings may not tell yet.
pub(crate) const BREAK_OFF_TIME: Duration = Duration::from_secs(1);

/// Identifies one listed start of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the ID of the crash of this start of an endpoint.
    #[must_use]
    pub fn of(endpoint: &ListedEndpoint) -> Self {
        Self(xxh3_64_with_seed(
            endpoint.id.as_bytes(),
            endpoint.started_ms,
        ))
    }
}

/// A request that broke off with its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Parts of its prompt. The key of the request follows, unless it is an item of a job, which is never the cause by itself.
    pub parts: PromptParts,
    /// When it was sent to the endpoint.
    pub sent_at: Instant,
}

/// Requests that broke off with an endpoint at one host.
#[derive(Clone, Debug)]
struct HostReport {
    /// The host; `None` for this one.
    host: Option<Arc<str>>,
    requests: Vec<BrokenRequest>,
}

/// Crash of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCrash {
    id: CrashId,
    /// Where the endpoint served; `None` if this host does not know its listing.
    place: Option<EndpointPlace>,
    /// When a host first saw it.
    seen_at: Instant,
    /// When this host first learned of it.
    learned_at: Instant,
    reports: Vec<HostReport>,
}

impl EndpointCrash {
    /// Which listed start of an endpoint crashed.
    #[must_use]
    pub fn id(&self) -> CrashId {
        self.id
    }

    /// Tells this crash from all others.
    #[must_use]
    pub fn identity(&self) -> (CrashId, Instant) {
        (self.id, self.seen_at)
    }

    /// Where the endpoint served; `None` if this host does not know its listing.
    #[must_use]
    pub fn place(&self) -> Option<&EndpointPlace> {
        self.place.as_ref()
    }

    /// When a host first saw it.
    #[must_use]
    pub fn seen_at(&self) -> Instant {
        self.seen_at
    }

    /// When this host first learned of it.
    #[must_use]
    pub fn learned_at(&self) -> Instant {
        self.learned_at
    }

    /// Requests of all hosts that broke off with the endpoint.
    pub fn requests(&self) -> impl Iterator<Item = &BrokenRequest> {
        self.reports.iter().flat_map(|report| &report.requests)
    }

    /// Requests of this host that broke off with the endpoint.
    pub fn own_requests(&self) -> impl Iterator<Item = &BrokenRequest> {
        let own = self.reports.iter().filter(|report| report.host.is_none());
        own.flat_map(|report| &report.requests)
    }

    /// Whether a request with this part broke off with the endpoint.
    #[must_use]
    pub fn has_part(&self, part: PartKey) -> bool {
        self.requests().any(|request| request.parts.contains(part))
    }

    /// When the last request with this part was sent to the endpoint.
    fn last_sent(&self, part: PartKey) -> Option<Instant> {
        let requests = self.requests();
        let with_part = requests.filter(|request| request.parts.contains(part));
        with_part.map(|request| request.sent_at).max()
    }
}

/// A part that was seen to be sound.
#[derive(Clone, Copy, Debug)]
struct SoundPart {
    part: PartKey,
    seen_at: Instant,
    /// Whether this host saw it.
    is_own: bool,
}

/// Crashes that hosts have seen lately, in the order of time, and the parts that are sound.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    crashes: Vec<EndpointCrash>,
    /// Sorted by part.
    sound: Vec<SoundPart>,
}

impl CrashRecords {
    /// Records the requests of a host that broke off with an endpoint; `host` is `None` for this host. A later report of
    /// the same host on the same crash replaces its earlier one. Returns whether anything is new.
    pub fn record(
        &mut self,
        id: CrashId,
        host: Option<&Arc<str>>,
        seen_at: Instant,
        mut requests: Vec<BrokenRequest>,
        now: Instant,
    ) -> bool {
        requests.truncate(MAX_REQUESTS);
        let Some(index) = self.position(id, seen_at) else {
            self.insert(EndpointCrash {
                id,
                place: None,
                seen_at,
                learned_at: now,
                reports: vec![HostReport {
                    host: host.cloned(),
                    requests,
                }],
            });
            return true;
        };
        let mut crash = self.crashes.remove(index);
        crash.seen_at = crash.seen_at.min(seen_at);
        let known = crash
            .reports
            .iter_mut()
            .find(|report| report.host.as_ref() == host);
        let is_new = match known {
            Some(report) if report.requests.len() >= requests.len() => false,
            Some(report) => {
                report.requests = requests;
                true
            }
            None => {
                crash.reports.push(HostReport {
                    host: host.cloned(),
                    requests,
                });
                true
            }
        };
        self.insert(crash);
        is_new
    }

    /// Records where an endpoint served that crashed at `seen_at`.
    pub fn set_place(&mut self, id: CrashId, place: EndpointPlace, seen_at: Instant) {
        if let Some(index) = self.position(id, seen_at) {
            self.crashes[index].place = Some(place);
        }
    }

    /// Crashes of endpoints that served at an unknown place.
    #[must_use]
    pub fn unlocated(&self) -> Vec<(CrashId, Instant)> {
        let unlocated = self.iter().filter(|crash| crash.place.is_none());
        unlocated.map(EndpointCrash::identity).collect()
    }

    /// Places at which these crashes were, sorted, if there are fewer than `count` of them; `None` if there are as many, or one is not
    /// known.
    #[must_use]
    pub fn few_places(
        &self,
        crashes: &SuccessiveCrashes,
        count: usize,
    ) -> Option<Vec<EndpointPlace>> {
        let with_identity = |identity| self.iter().find(|crash| crash.identity() == identity);
        let found = crashes
            .crashes
            .iter()
            .map(|identity| with_identity(*identity));
        let mut places: Vec<EndpointPlace> = found
            .map(|crash| crash?.place.clone())
            .collect::<Option<_>>()?;
        places.sort_unstable();
        places.dedup();
        (places.len() < count).then_some(places)
    }

    /// Adds a request of this host to a crash, seen at `seen_at`.
    pub fn add_own_request(
        &mut self,
        id: CrashId,
        request: BrokenRequest,
        seen_at: Instant,
    ) -> bool {
        let known = self.position(id, seen_at);
        let known = known.map(|index| &self.crashes[index]);
        let mut requests: Vec<_> = known
            .into_iter()
            .flat_map(|crash| crash.own_requests().cloned())
            .collect();
        if requests.contains(&request) {
            return false;
        }
        requests.push(request);
        self.record(id, None, seen_at, requests, Instant::now())
    }

    /// Records that an answer to a request with these parts, sent at `sent_at`, shows that they do not crash its endpoint.
    /// Only a request that was sent after the suspicion tells anything: after the first crash under a part, or after the time
    /// that `suspected_since` returns for it. Returns the parts that were under suspicion.
    pub fn record_sound(
        &mut self,
        parts: &PromptParts,
        sent_at: Instant,
        now: Instant,
        suspected_since: impl Fn(PartKey) -> Option<Instant>,
    ) -> Vec<PartKey> {
        let is_shown = |part: &PartKey| {
            let first = self.suspicious(*part).next().map(|crash| crash.seen_at);
            let since = first.or_else(|| suspected_since(*part));
            since.is_some_and(|since| sent_at > since)
        };
        let shown: Vec<PartKey> = parts.iter().filter(is_shown).collect();
        for part in &shown {
            self.set_sound(*part, now, true);
        }
        shown
    }

    /// Records that another host has seen at `seen_at` that a part is sound. Returns whether that is new.
    pub fn apply_sound(&mut self, part: PartKey, seen_at: Instant) -> bool {
        let is_new = self.suspicious(part).next().is_some();
        self.set_sound(part, seen_at, false);
        is_new && self.suspicious(part).next().is_none()
    }

    fn set_sound(&mut self, part: PartKey, seen_at: Instant, is_own: bool) {
        let sound = SoundPart {
            part,
            seen_at,
            is_own,
        };
        match self.sound.binary_search_by_key(&part, |sound| sound.part) {
            Ok(index) if self.sound[index].seen_at >= seen_at => {}
            Ok(index) => self.sound[index] = sound,
            Err(index) => self.sound.insert(index, sound),
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            let oldest = self.sound.iter().map(|sound| sound.seen_at).min();
            self.sound.retain(|sound| Some(sound.seen_at) != oldest);
        }
    }

    /// Crashes under a part since it was last seen to be sound.
    fn suspicious(&self, part: PartKey) -> impl Iterator<Item = &EndpointCrash> {
        let found = self.sound.binary_search_by_key(&part, |sound| sound.part);
        let sound_at = found.ok().map(|index| self.sound[index].seen_at);
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| {
            sound_at.is_none_or(|sound_at| crash.seen_at > sound_at) && crash.has_part(part)
        })
    }

    /// Crashes under a part that followed each other, without those that `is_left_out` selects. Each has a request with the part
    /// that was sent some time after the crash before. A request that is sent again at once is the same one, of which that cannot be
    /// expected: its endpoint must have crashed some time after the one before.
    pub fn successive(
        &self,
        part: PartKey,
        is_left_out: impl Fn(&EndpointCrash) -> bool,
    ) -> SuccessiveCrashes {
        let mut found = SuccessiveCrashes::default();
        let mut last: Option<Instant> = None;
        for crash in self.suspicious(part).filter(|crash| !is_left_out(crash)) {
            let Some(sent_at) = crash.last_sent(part) else {
                continue;
            };
            let is_successive = last.is_none_or(|last| {
                if part.is_request() {
                    sent_at >= last && crash.seen_at >= last + REPEAT_TIME
                } else {
                    sent_at > last + REPEAT_TIME
                }
            });
            if is_successive {
                found.crashes.push(crash.identity());
                let age = crash.seen_at.saturating_duration_since(sent_at);
                found.age += age;
                found.longest_age = found.longest_age.max(age);
            }
            if is_successive || part.is_request() {
                last = Some(crash.seen_at);
            }
        }
        found
    }

    /// Number of crashes under a part since it was last seen to be sound, without those that `is_left_out` selects.
    pub fn presence(&self, part: PartKey, is_left_out: impl Fn(&EndpointCrash) -> bool) -> usize {
        self.suspicious(part)
            .filter(|crash| !is_left_out(crash))
            .count()
    }

    /// Whether a part was seen to be sound lately.
    #[must_use]
    pub fn is_sound(&self, part: PartKey) -> bool {
        let found = self.sound.binary_search_by_key(&part, |sound| sound.part);
        found.is_ok()
    }

    /// All crashes, in the order of time.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointCrash> {
        self.crashes.iter()
    }

    /// When this start of an endpoint last crashed; `None` if it is not known to have.
    #[must_use]
    pub fn crashed_at(&self, id: CrashId) -> Option<Instant> {
        let mut crashes = self.crashes.iter().rev();
        Some(crashes.find(|crash| crash.id == id)?.seen_at)
    }

    /// Index of the crash of this start that was seen at about this time.
    fn position(&self, id: CrashId, seen_at: Instant) -> Option<usize> {
        let is_same = |crash: &EndpointCrash| {
            let (first, last) = (crash.seen_at.min(seen_at), crash.seen_at.max(seen_at));
            crash.id == id && last < first + BREAK_OFF_TIME
        };
        self.crashes.iter().position(is_same)
    }

    /// Parts that this host saw to be sound after `since`, or at any time, and when.
    pub fn own_sound(
        &self,
        since: Option<Instant>,
    ) -> impl Iterator<Item = (PartKey, Instant)> + '_ {
        let own = self.sound.iter();
        let is_later = move |seen_at: Instant| since.is_none_or(|since| seen_at >= since);
        let own = own.filter(move |sound| sound.is_own && is_later(sound.seen_at));
        own.map(|sound| (sound.part, sound.seen_at))
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }

    /// Number of crashes that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |seen_at: Instant| now.saturating_duration_since(seen_at) < RETENTION;
        self.crashes.retain(|crash| is_recent(crash.seen_at));
        self.sound.retain(|sound| is_recent(sound.seen_at));
    }

    /// Inserts a crash in the order of time, and drops the oldest one if there are too many.
    fn insert(&mut self, crash: EndpointCrash) {
        let index = self
            .crashes
            .partition_point(|other| other.seen_at <= crash.seen_at);
        self.crashes.insert(index, crash);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
    }
}

/// Crashes under one part that followed each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuccessiveCrashes {
    /// The crashes, in the order of time.
    pub crashes: Vec<(CrashId, Instant)>,
    /// Sum of the times from the requests with the part to the crashes.
    pub age: Duration,
    /// Longest of these times.
    pub longest_age: Duration,
}
