//! Watches for endpoints that crash, and rejects requests whose prompts crash them.
//!
//! An answer that breaks off does not tell whether its endpoint has crashed. A crashed one refuses connections at once.

use crate::answer_progress::AnswerProgress;
use crate::crash_log::StoredQuarantine;
use crate::crash_loops::{CrashLoops, EndpointPlace};
use crate::crashes::{BREAK_OFF_TIME, BrokenRequest, CrashId, CrashRecords, EndpointCrash};
use crate::endpoint::ListedEndpoint;
use crate::node::{SwitchNode, SwitchState, millis};
use crate::prompt::{PartKey, PromptParts};
use crate::quarantine::{Admission, BEGIN_TIME, Quarantine, QuarantineTable, SETTLE_TIME};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Delay of the check whether an endpoint refuses connections, in which its process ends.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of endpoints that are checked at a time.
const MAX_CHECKS: usize = 32;
/// Maximum number of requests that wait for one check.
const MAX_CHECKED_REQUESTS: usize = 32;
/// Minimum time from a request to the end of its endpoint with which it may be the cause. An endpoint that ends sooner had no
/// time to begin an answer.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// What a host knows of crashes.
#[derive(Default)]
pub(crate) struct CrashState {
    pub(crate) records: CrashRecords,
    pub(crate) quarantine: QuarantineTable,
    pub(crate) loops: CrashLoops,
    /// Whether conclusions are still to be drawn from the records.
    pub(crate) has_news: bool,
    /// Whether this host has something new to report to the others.
    pub(crate) must_report: bool,
    checks: Vec<EndpointCheck>,
    /// What the record of this host in the log has of quarantines.
    pub(crate) stored: Vec<StoredQuarantine>,
    /// Whether this host has seen a crash since its record was last considered.
    pub(crate) has_unstored_crash: bool,
}

/// A check whether an endpoint has crashed, and the requests that ended there.
struct EndpointCheck {
    id: CrashId,
    /// In the order of time.
    ends: Vec<RequestEnd>,
}

impl EndpointCheck {
    /// When the endpoint is to be tried for the first request; `None` if there is none.
    fn due_at(&self) -> Option<Instant> {
        Some(self.ends.first()?.at + CHECK_DELAY)
    }

    /// Removes the requests that ended up to `until`.
    fn take_until(&mut self, until: Instant) -> Vec<RequestEnd> {
        let count = self.ends.partition_point(|end| end.at <= until);
        self.ends.drain(..count).collect()
    }
}

/// What an attempt to connect told of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckVerdict {
    /// It accepts connections.
    Serves,
    /// It has crashed.
    Crashed,
    /// This host has lost its links, so that nothing is known of it.
    Unknown,
}

/// The end of a request's answer, or of what there is of it.
struct RequestEnd {
    ended: EndedRequest,
    at: Instant,
}

/// A request whose answer may have ended with its endpoint.
pub(crate) struct EndedRequest {
    pub(crate) request: BrokenRequest,
    /// Whether the answer is complete if the endpoint has not crashed.
    pub(crate) may_be_complete: bool,
    /// When its answer was complete, if it is known to be.
    pub(crate) answered_at: Option<Instant>,
}

impl SwitchNode {
    /// Records that a call broke off, or that its body ended without a mark. If its endpoint has crashed, the request may
    /// be the cause.
    pub(crate) fn record_end(
        self: &Arc<Self>,
        endpoint: &Arc<ListedEndpoint>,
        ended: EndedRequest,
    ) {
        if ended.request.parts.is_empty() {
            return;
        }
        let id = CrashId::of(endpoint);
        let mut state = self.lock();
        let now = Instant::now();
        if let Some(seen_at) = state.crashes.records.crashed_at(id) {
            if now < seen_at + BREAK_OFF_TIME {
                self.record_crash(&mut state, endpoint, vec![ended.request], seen_at);
                return;
            }
            if ended.request.sent_at <= seen_at {
                return;
            }
        }
        // The end of an endpoint that leaves is no crash.
        if !state.endpoints.is_serving(&endpoint.id, now) {
            return;
        }
        let end = RequestEnd { ended, at: now };
        let checks = &mut state.crashes.checks;
        if let Some(check) = checks.iter_mut().find(|check| check.id == id) {
            if check.ends.len() < MAX_CHECKED_REQUESTS {
                check.ends.push(end);
            }
            return;
        }
        if checks.len() >= MAX_CHECKS {
            return;
        }
        let ends = vec![end];
        checks.push(EndpointCheck { id, ends });
        drop(state);
        tokio::spawn(check_endpoint(self.clone(), endpoint.clone()));
    }

    /// Records that an answer is complete. One that took less than [`BEGIN_TIME`] may be so although the request crashes the endpoint. It
    /// acquits a part in quarantine only if the endpoint still serves after that time; others are acquitted at once, as the endpoint may
    /// crash for another cause meanwhile.
    pub(crate) fn record_complete(
        self: &Arc<Self>,
        endpoint: &Arc<ListedEndpoint>,
        request: BrokenRequest,
        progress: AnswerProgress,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(begun_at) = progress.begun_at() {
            self.record_sound(&mut state, &request.parts, request.sent_at, begun_at);
            return;
        }
        let quarantine = &state.crashes.quarantine;
        let is_suspected = |part| quarantine.suspected_since(part).is_some();
        if !request.parts.iter().any(is_suspected) {
            self.record_sound(&mut state, &request.parts, request.sent_at, now);
            return;
        }
        drop(state);
        let (node, endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(async move {
            sleep_until(now + BEGIN_TIME).await;
            let ended = EndedRequest {
                request,
                may_be_complete: true,
                answered_at: Some(now),
            };
            node.record_end(&endpoint, ended);
        });
    }

    /// Records that a request with these parts, sent at `sent_at`, was seen at `seen_at` not to crash its endpoint.
    pub(crate) fn record_sound(
        &self,
        state: &mut SwitchState,
        parts: &PromptParts,
        sent_at: Instant,
        seen_at: Instant,
    ) {
        let now = Instant::now();
        let CrashState {
            records,
            quarantine,
            ..
        } = &mut state.crashes;
        let suspected_since = |part| quarantine.suspected_since(part);
        let shown = records.record_sound(parts, sent_at, seen_at, suspected_since);
        for part in &shown {
            self.release(state, *part, seen_at, now);
        }
        if !shown.is_empty() {
            state.crashes.must_report = true;
            self.crash_report_requested.notify_one();
        }
    }

    /// Removes a part that was seen at `seen_at` to be sound from the quarantines.
    pub(crate) fn release(
        &self,
        state: &mut SwitchState,
        part: PartKey,
        seen_at: Instant,
        now: Instant,
    ) {
        let quarantine = &mut state.crashes.quarantine;
        let changed = quarantine.remove_sound(part, seen_at, now);
        for quarantine in &changed {
            info!(self.deps.logger, "part is sound"; "part" => %part,
                "still_rejected" => part_list(&quarantine.parts));
        }
        if changed.iter().any(|quarantine| quarantine.parts.is_empty()) {
            self.release_items(state);
        }
    }

    /// Looks again at the items that are held back, as a quarantine has ended.
    pub(crate) fn release_items(&self, state: &mut SwitchState) {
        state.histories.release_held();
        self.schedule_requested.notify_one();
    }

    /// Decides whether a request with these parts may be sent. Asks for a trial that is due if another host decides on it.
    pub(crate) fn admit(
        &self,
        state: &mut SwitchState,
        request: &str,
        parts: &PromptParts,
        now: Instant,
    ) -> Admission {
        let members = &state.members;
        let is_arbiter = |id, rank| self.is_arbiter(members, id, rank, now);
        let admission = state.crashes.quarantine.admit(parts, now, is_arbiter);
        match admission {
            Admission::Sent => {}
            Admission::Trial => {
                info!(self.deps.logger, "request is sent as a trial"; "request" => request, "parts" => %parts,
                    "cause" => "the term of a quarantine is over");
            }
            Admission::Rejected { id, trial_in } => {
                self.metrics.count_quarantined_request();
                if trial_in.is_zero() {
                    self.ask_for_trial(state, id, now);
                }
            }
        }
        admission
    }

    /// Records requests of this host that broke off with an endpoint that crashed at `crashed_at`.
    fn record_crash(
        &self,
        state: &mut SwitchState,
        endpoint: &ListedEndpoint,
        requests: Vec<BrokenRequest>,
        crashed_at: Instant,
    ) {
        let id = CrashId::of(endpoint);
        if state.crashes.records.crashed_at(id) != Some(crashed_at) {
            self.metrics.count_endpoint_crash();
        }
        let place = EndpointPlace::from(endpoint);
        state.crashes.loops.record(place.clone(), crashed_at);
        let had_time = |request: &BrokenRequest| request.sent_at + MIN_RUN_TIME <= crashed_at;
        for request in requests.into_iter().filter(had_time) {
            info!(self.deps.logger, "endpoint crashed"; "endpoint" => &*endpoint.id,
                "parts" => %request.parts,
                "sent_before_ms" => millis(crashed_at.saturating_duration_since(request.sent_at)));
            let records = &mut state.crashes.records;
            state.crashes.has_news |= records.add_own_request(id, request, crashed_at);
        }
        state.crashes.records.set_place(id, place, crashed_at);
        state.crashes.must_report = true;
        state.crashes.has_unstored_crash = true;
        self.crash_report_requested.notify_one();
    }

    /// Gives a start of an endpoint that is newly listed no work for a while if others have crashed at its place again and again.
    pub(crate) fn hold_crash_loop(
        &self,
        state: &mut SwitchState,
        endpoint: &ListedEndpoint,
        now: Instant,
    ) {
        if let Some(until) = state.crashes.loops.held_until(&endpoint.into(), now) {
            state.load.health(&endpoint.id).hold_until(until, now);
            info!(self.deps.logger, "endpoint avoided"; "endpoint" => &*endpoint.id,
                "for_ms" => millis(until.saturating_duration_since(now)),
                "cause" => "endpoints at its address crash again and again");
        }
    }

    /// Records that an endpoint has crashed, with the requests that ended there since it was last found to be in reach.
    fn record_crashed(
        &self,
        state: &mut SwitchState,
        endpoint: &ListedEndpoint,
        ends: Vec<RequestEnd>,
    ) {
        // An answer that may be complete may have ended before the crash.
        let broken_at = ends.iter().find(|end| !end.ended.may_be_complete);
        let Some(crashed_at) = broken_at.or(ends.last()).map(|end| end.at) else {
            return;
        };
        let requests = ends.into_iter().map(|end| end.ended.request).collect();
        self.record_crash(state, endpoint, requests, crashed_at);
    }

    /// Applies the verdict of an attempt to connect, which began and ended at these times.
    fn apply_verdict(
        &self,
        endpoint: &ListedEndpoint,
        verdict: CheckVerdict,
        [tried_at, ended_at]: [Instant; 2],
    ) {
        let id = CrashId::of(endpoint);
        let mut state = self.lock();
        let checks = &mut state.crashes.checks;
        let Some(check) = checks.iter_mut().find(|check| check.id == id) else {
            return;
        };
        let until = match verdict {
            // The endpoint may be about to close its listener since a later end.
            CheckVerdict::Serves => tried_at.checked_sub(CHECK_DELAY).unwrap_or(tried_at),
            CheckVerdict::Crashed | CheckVerdict::Unknown => ended_at,
        };
        let ends = check.take_until(until);
        match verdict {
            CheckVerdict::Crashed => self.record_crashed(&mut state, endpoint, ends),
            CheckVerdict::Unknown => {
                info!(self.deps.logger, "crash not recorded"; "endpoint" => &*endpoint.id,
                    "requests" => ends.len(), "cause" => "no endpoint is in reach, but another host gets data");
            }
            CheckVerdict::Serves => {
                for RequestEnd { ended, at } in ends {
                    let EndedRequest { request, .. } = ended;
                    if ended.may_be_complete {
                        let seen_at = ended.answered_at.unwrap_or(at);
                        self.record_sound(&mut state, &request.parts, request.sent_at, seen_at);
                    }
                }
            }
        }
    }

    /// When an endpoint is to be tried next; `None` if no request waits for that, and the check is over.
    fn next_check(&self, id: CrashId) -> Option<Instant> {
        let checks = &mut self.lock().crashes.checks;
        let index = checks.iter().position(|check| check.id == id)?;
        let due_at = checks[index].due_at();
        if due_at.is_none() {
            checks.swap_remove(index);
        }
        due_at
    }

    /// Draws the conclusions from the crashes that were recorded.
    pub(crate) fn update_quarantine(&self, state: &mut SwitchState, now: Instant) {
        if !state.crashes.has_news {
            return;
        }
        let SwitchState {
            crashes, endpoints, ..
        } = state;
        let CrashState {
            records,
            quarantine,
            has_news,
            must_report,
            ..
        } = crashes;
        let has_others = |places: &[EndpointPlace]| {
            let services = places.iter().map(|place| &place.service);
            let mut serving = services.flat_map(|service| endpoints.serving(&**service, now));
            serving.any(|endpoint| !places.contains(&EndpointPlace::from(&**endpoint)))
        };
        let is_unsettled =
            |crash: &EndpointCrash| now.saturating_duration_since(crash.learned_at()) < SETTLE_TIME;
        *has_news = records.iter().any(is_unsettled);
        for begun in quarantine.update(records, has_others, now) {
            self.log_quarantine(&begun, None, now);
            self.log_crashes(&begun, records, now);
            *must_report = true;
        }
    }

    /// Logs the crashes from which a quarantine follows.
    fn log_crashes(&self, quarantine: &Quarantine, records: &CrashRecords, now: Instant) {
        let has_parts = |crash: &&EndpointCrash| {
            let mut parts = quarantine.parts.iter();
            parts.all(|part| crash.has_part(*part))
        };
        for crash in records.iter().filter(has_parts) {
            info!(self.deps.logger, "crash under rejected parts"; "parts" => part_list(&quarantine.parts),
                "address" => crash.place().map(|place| place.address),
                "before_ms" => millis(now.saturating_duration_since(crash.seen_at())));
        }
    }

    /// Logs a quarantine that began or changed; by the report of `peer`, if there is one.
    pub(crate) fn log_quarantine(&self, quarantine: &Quarantine, peer: Option<&str>, now: Instant) {
        if quarantine.parts.is_empty() {
            info!(self.deps.logger, "part is sound"; "peer" => peer);
            return;
        }
        let left = quarantine.term_end.saturating_duration_since(now);
        info!(self.deps.logger, "requests are rejected"; "parts" => part_list(&quarantine.parts),
            "term" => quarantine.term, "left_ms" => millis(left), "peer" => peer,
            "cause" => "endpoints crashed one after the other under these parts of prompts");
    }
}

/// Checks whether an endpoint has crashed, until that is known of all requests that ended there.
async fn check_endpoint(node: Arc<SwitchNode>, endpoint: Arc<ListedEndpoint>) {
    let id = CrashId::of(&endpoint);
    while let Some(due_at) = node.next_check(id) {
        sleep_until(due_at).await;
        let tried_at = Instant::now();
        let refuses = node.deps.client.refuses_connections(&endpoint).await;
        let refused_at = Instant::now();
        let verdict = if !refuses {
            CheckVerdict::Serves
        } else if node.has_lost_links(&endpoint).await {
            CheckVerdict::Unknown
        } else {
            CheckVerdict::Crashed
        };
        node.apply_verdict(&endpoint, verdict, [tried_at, refused_at]);
    }
}

fn part_list(parts: &[PartKey]) -> String {
    parts.iter().copied().collect::<PromptParts>().to_string()
}
