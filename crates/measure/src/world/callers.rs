//! Online requests: sent by callers to entry hosts, which choose an endpoint.

use super::{HeldTicket, RunWorld, lock};
use crate::scenario::{
    BETWEEN_TOKENS, ENDPOINTS, ENTRIES, FIRST_TOKEN, ONLINE_BYTES, ONLINE_PREFIXES, ONLINE_TOKENS,
};
use crate::tally::RunTally;
use fulmarswitch_decide::gate::{GateAction, RequestClass};
use fulmarswitch_decide::suspicion::AttemptSignal;
use fulmarswitch_endpoint::{AnswerPart, EndpointCall};
use futures::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Attempts of an online request, the first included.
const ATTEMPTS: usize = 3;
/// Bytes of a prompt that are its cached prefix in the engine.
const PREFIX_BYTES: usize = 64;
/// Time that a caller waits for the whole answer.
const ANSWER_TIME: Duration =
    FIRST_TOKEN.saturating_add(BETWEEN_TOKENS.saturating_mul(ONLINE_TOKENS));
/// Tokens over which the time between them is averaged, as in the daemon.
const GAP_TOKENS: u32 = 4;

/// How one attempt ended.
enum AttemptEnd {
    Done,
    Refused,
    Broken,
}

/// What an attempt has told of its endpoint so far.
struct AttemptWatch {
    sent: Duration,
    overdue_at: Option<Instant>,
    first: bool,
    gap_from: Duration,
    gap_tokens: u32,
}

/// One online request on its way.
struct OnlineCall {
    input: Arc<str>,
    entry: usize,
    arrived: Duration,
    counted: bool,
    first: Option<Duration>,
    last: Duration,
    tokens: u32,
}

/// Writes a prompt of a given length that starts with a given prefix number.
pub(super) fn prompt(kind: &str, prefix: u64, body: u64, bytes: usize) -> Arc<str> {
    let width = PREFIX_BYTES - kind.len();
    let mut text = format!("{kind}{prefix:0>width$} {body:016x}");
    let missing = bytes.saturating_sub(text.len());
    text.extend(std::iter::repeat_n('x', missing));
    text.into()
}

impl RunWorld {
    /// Sends online requests at random times for as long as the runtime lives.
    pub(super) async fn send_requests(self: Arc<Self>) {
        let mut random = SmallRng::seed_from_u64(self.scenario.seed);
        // Arrivals are planned from the one before, as the clock rounds each sleep up to a millisecond.
        let mut next = self.started;
        loop {
            let rate = self.scenario.rate_at(self.now());
            let gap = -(1.0 - random.random::<f64>()).ln() / rate;
            next += Duration::from_secs_f64(gap);
            tokio::time::sleep_until(next).await;
            let spread: f64 = random.random();
            // The square makes some prefixes much more frequent than others.
            let scaled = spread * spread * f64::from(ONLINE_PREFIXES);
            let prefix = (0..ONLINE_PREFIXES)
                .find(|prefix| f64::from(*prefix) + 1.0 > scaled)
                .unwrap_or(0);
            let input = prompt("online", u64::from(prefix), random.random(), ONLINE_BYTES);
            let arrived = self.now();
            let call = OnlineCall {
                input,
                entry: random.random_range(0..ENTRIES),
                arrived,
                counted: self.counts(),
                first: None,
                last: arrived,
                tokens: 0,
            };
            tokio::spawn(Arc::clone(&self).serve(call));
        }
    }

    async fn serve(self: Arc<Self>, mut call: OnlineCall) {
        let mut excluded: Vec<usize> = (0..ENDPOINTS)
            .filter(|at| lock(&self.sites[*at]).leaving)
            .collect();
        let mut end = AttemptEnd::Refused;
        for _ in 0..ATTEMPTS {
            let Some(site) = self.choose(&call, &excluded) else {
                break;
            };
            end = self.attempt(site, &mut call).await;
            lock(&self.entries[call.entry]).end(site);
            match end {
                AttemptEnd::Done => {
                    lock(&self.entries[call.entry]).succeed();
                    break;
                }
                AttemptEnd::Broken if !self.retries(&mut call) => break,
                AttemptEnd::Broken | AttemptEnd::Refused => {}
            }
            excluded.push(site);
        }
        if call.counted {
            self.note_end(&call, &end);
        }
    }

    /// Decides on a request whose attempt broke off; what was received is thrown away.
    fn retries(&self, call: &mut OnlineCall) -> bool {
        let now = self.now();
        let left = (call.arrived + ANSWER_TIME).saturating_sub(now);
        let retries = lock(&self.entries[call.entry]).may_retry(now, left);
        if call.counted && retries {
            let mut tally = lock(&self.tally);
            tally.retried += 1;
            tally.wasted_tokens += u64::from(call.tokens);
            call.tokens = 0;
        }
        retries
    }

    fn note_sign(&self, call: &OnlineCall, site: usize, sign: AttemptSignal) {
        lock(&self.entries[call.entry]).note(self.now(), site, sign);
    }

    fn choose(&self, call: &OnlineCall, excluded: &[usize]) -> Option<usize> {
        let prefix = &call.input[..PREFIX_BYTES];
        let mut entry = lock(&self.entries[call.entry]);
        let site = entry.choose(self.now(), prefix, excluded)?;
        if !entry.probed() {
            self.note_sent(site);
        }
        Some(site)
    }

    fn note_sent(&self, site: usize) {
        let now = self.now();
        let struck = |fault: &&crate::scenario::FaultPlan| {
            fault.at <= now && fault.endpoints.contains(&site)
        };
        if let Some(fault) = self.scenario.faults.iter().find(struck) {
            lock(&self.tally).note_sent(now.saturating_sub(fault.at));
        }
    }

    async fn attempt(self: &Arc<Self>, site: usize, call: &mut OnlineCall) -> AttemptEnd {
        let left = (call.arrived + ANSWER_TIME).saturating_sub(self.now());
        let sent = self.now();
        let mut held = self.enter(site, RequestClass::Online, left);
        if let Some(share) = lock(&self.sites[site]).policy.load() {
            lock(&self.entries[call.entry]).take_load(sent, site, share);
        }
        match held.orders.recv().await {
            Some(GateAction::Start(_)) => {}
            _ => return AttemptEnd::Refused,
        }
        let patience = lock(&self.entries[call.entry]).patience();
        let overdue_at = patience.map(|patience| self.started + sent + patience);
        let mut watch = AttemptWatch {
            sent,
            overdue_at,
            first: true,
            gap_from: sent,
            gap_tokens: 0,
        };
        self.read(&mut held, call, &mut watch).await
    }

    async fn read(
        &self,
        held: &mut HeldTicket,
        call: &mut OnlineCall,
        watch: &mut AttemptWatch,
    ) -> AttemptEnd {
        let request = EndpointCall {
            id: "".into(),
            model: "".into(),
            input: Arc::clone(&call.input),
            prior: "".into(),
            prior_tokens: 0,
            max_tokens: ONLINE_TOKENS,
        };
        let engine = Arc::clone(&lock(&self.sites[held.site]).engine);
        let Ok(mut parts) = engine.start(&request) else {
            self.note_sign(call, held.site, AttemptSignal::Unreached);
            return AttemptEnd::Broken;
        };
        loop {
            let part = if let Some(at) = watch.overdue_at {
                let Ok(part) = tokio::time::timeout_at(at, parts.next()).await else {
                    watch.overdue_at = None;
                    self.note_sign(call, held.site, AttemptSignal::Overdue);
                    continue;
                };
                part
            } else {
                parts.next().await
            };
            match part {
                Some(Ok(AnswerPart::Text(_))) => {
                    self.note_token(held.site, held.ticket);
                    if let Some(sign) = watch.see_token(self.now()) {
                        self.note_sign(call, held.site, sign);
                    }
                    self.note_part(call);
                }
                Some(Ok(AnswerPart::End)) => return AttemptEnd::Done,
                _ => {
                    self.note_sign(call, held.site, AttemptSignal::Broken);
                    return AttemptEnd::Broken;
                }
            }
        }
    }

    fn note_part(&self, call: &mut OnlineCall) {
        let now = self.now();
        let mut tally = lock(&self.tally);
        if call.counted {
            let since = now.saturating_sub(call.last);
            if call.first.is_none() {
                RunTally::note(&mut tally.first_token, since);
            } else {
                RunTally::note(&mut tally.between, since);
            }
        }
        call.first.get_or_insert(now);
        call.last = now;
        call.tokens += 1;
    }

    fn note_end(&self, call: &OnlineCall, end: &AttemptEnd) {
        let mut tally = lock(&self.tally);
        tally.online += 1;
        match end {
            AttemptEnd::Done => {
                tally.done += 1;
                tally.useful_tokens += u64::from(call.tokens);
                tally.in_time += u64::from(call.in_time());
            }
            AttemptEnd::Refused => {
                tally.refused += 1;
                let time = self.now().saturating_sub(call.arrived);
                RunTally::note(&mut tally.refusal, time);
            }
            AttemptEnd::Broken => {
                tally.failed += 1;
                tally.wasted_tokens += u64::from(call.tokens);
            }
        }
    }
}

impl AttemptWatch {
    /// Notes a token and returns what it tells of the endpoint, as the daemon's chooser does.
    fn see_token(&mut self, now: Duration) -> Option<AttemptSignal> {
        if std::mem::take(&mut self.first) {
            self.overdue_at = None;
            self.gap_from = now;
            return Some(AttemptSignal::FirstToken(now.saturating_sub(self.sent)));
        }
        self.gap_tokens += 1;
        if self.gap_tokens < GAP_TOKENS {
            return None;
        }
        let gap = now.saturating_sub(self.gap_from) / GAP_TOKENS;
        self.gap_from = now;
        self.gap_tokens = 0;
        Some(AttemptSignal::TokenGap(gap))
    }
}

impl OnlineCall {
    /// Tells whether the first token and the mean time between tokens kept the promise.
    fn in_time(&self) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let streaming = self.last.saturating_sub(first);
        let allowed = BETWEEN_TOKENS * self.tokens.saturating_sub(1);
        first.saturating_sub(self.arrived) <= FIRST_TOKEN && streaming <= allowed
    }
}
