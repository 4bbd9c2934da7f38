//! Online requests: sent by callers to entry hosts, which choose an endpoint.

use super::{HeldTicket, RunWorld, lock};
use crate::scenario::{
    BETWEEN_TOKENS, ENDPOINTS, ENTRIES, FIRST_TOKEN, ONLINE_BYTES, ONLINE_PREFIXES, ONLINE_TOKENS,
};
use crate::tally::RunTally;
use fulmarswitch_decide::balance::EndpointView;
use fulmarswitch_decide::gate::{GateAction, RequestClass};
use fulmarswitch_endpoint::{AnswerPart, EndpointCall};
use futures::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// Attempts of an online request, the first included.
const ATTEMPTS: usize = 3;
/// Bytes of a prompt that are its cached prefix in the engine.
const PREFIX_BYTES: usize = 64;
/// Names of the endpoints.
const NAMES: [&str; ENDPOINTS] = [
    "e00", "e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08", "e09", "e10", "e11",
];

/// How one attempt ended.
enum AttemptEnd {
    Done,
    Refused,
    Broken,
}

/// One online request on its way.
struct OnlineCall {
    input: Arc<str>,
    entry: usize,
    turn: usize,
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
        for turn in 0.. {
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
                turn,
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
        let mut excluded = Vec::new();
        let mut end = AttemptEnd::Refused;
        while excluded.len() < ATTEMPTS {
            let Some(site) = self.choose(&call, &excluded) else {
                break;
            };
            self.note_sent(site);
            lock(&self.sent)[call.entry][site] += 1;
            end = self.attempt(site, &mut call).await;
            lock(&self.sent)[call.entry][site] -= 1;
            match end {
                AttemptEnd::Done => break,
                // What the caller has seen is not taken back.
                AttemptEnd::Broken if call.first.is_some() => break,
                AttemptEnd::Broken => lock(&self.tally).retried += u64::from(call.counted),
                AttemptEnd::Refused => {}
            }
            excluded.push(site);
        }
        if call.counted {
            self.note_end(&call, &end);
        }
    }

    fn choose(&self, call: &OnlineCall, excluded: &[usize]) -> Option<usize> {
        let sent = lock(&self.sent);
        let sites: Vec<usize> = (0..ENDPOINTS)
            .filter(|at| !excluded.contains(at) && !lock(&self.sites[*at]).leaving)
            .collect();
        let views: Vec<EndpointView<'_>> = sites
            .iter()
            .map(|at| EndpointView {
                name: NAMES[*at],
                held: sent[call.entry][*at],
                near: false,
            })
            .collect();
        let at = self
            .kind
            .choose(&views, &call.input[..PREFIX_BYTES], call.turn)?;
        Some(sites[at])
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
        let wait = FIRST_TOKEN + BETWEEN_TOKENS * ONLINE_TOKENS;
        let left = (call.arrived + wait).saturating_sub(self.now());
        let mut held = self.enter(site, RequestClass::Online, left);
        match held.orders.recv().await {
            Some(GateAction::Start(_)) => {}
            _ => return AttemptEnd::Refused,
        }
        self.read(&mut held, call).await
    }

    async fn read(&self, held: &mut HeldTicket, call: &mut OnlineCall) -> AttemptEnd {
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
            return AttemptEnd::Broken;
        };
        loop {
            match parts.next().await {
                Some(Ok(AnswerPart::Text(_))) => {
                    self.note_token(held.site, held.ticket);
                    self.note_part(call);
                }
                Some(Ok(AnswerPart::End)) => return AttemptEnd::Done,
                _ => return AttemptEnd::Broken,
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
