//! Online requests: callers send them to entry hosts, which select an endpoint.

use super::{GateTicket, Simulation, lock};
use crate::scenario::{
    BETWEEN_TOKENS_OBJECTIVE, ENDPOINTS, ENTRY_HOSTS, FIRST_TOKEN_OBJECTIVE, ONLINE_PREFIXES,
    ONLINE_PROMPT_BYTES, ONLINE_TOKENS,
};
use crate::stats::RunStats;
use fulmarswitch_decide::gate::{GateAction, RequestClass};
use fulmarswitch_decide::suspicion::AttemptSignal;
use fulmarswitch_endpoint::{AnswerPart, EndpointCall};
use futures::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum attempts of an online request, including the first.
const MAX_ATTEMPTS: usize = 3;
/// Length of the prompt prefix that the engine caches, in bytes.
const PREFIX_BYTES: usize = 64;
/// Time from arrival within which a caller expects the complete answer.
const ANSWER_TIMEOUT: Duration =
    FIRST_TOKEN_OBJECTIVE.saturating_add(BETWEEN_TOKENS_OBJECTIVE.saturating_mul(ONLINE_TOKENS));
/// Tokens over which the time between tokens is averaged, as in the daemon.
const GAP_TOKENS: u32 = 4;

/// The outcome of one attempt.
enum AttemptOutcome {
    Done,
    Refused,
    Broken,
}

/// Derives the suspicion signals about an endpoint from the timing of one attempt.
struct AttemptMonitor {
    sent: Duration,
    overdue_at: Option<Instant>,
    awaiting_first: bool,
    gap_started_at: Duration,
    gap_tokens: u32,
}

/// An online request in flight.
struct OnlineCall {
    input: Arc<str>,
    entry: usize,
    arrived: Duration,
    counted: bool,
    first_token_at: Option<Duration>,
    last_token_at: Duration,
    tokens: u32,
}

/// Builds a prompt of `bytes` bytes whose cached prefix is made from `kind` and `prefix`.
pub(super) fn prompt(kind: &str, prefix: u64, body: u64, bytes: usize) -> Arc<str> {
    let width = PREFIX_BYTES - kind.len();
    let mut text = format!("{kind}{prefix:0>width$} {body:016x}");
    let missing = bytes.saturating_sub(text.len());
    text.extend(std::iter::repeat_n('x', missing));
    text.into()
}

impl Simulation {
    /// Sends online requests as a Poisson process until the runtime shuts down.
    pub(super) async fn send_requests(self: Arc<Self>) {
        let mut random = SmallRng::seed_from_u64(self.scenario.seed);
        // Each arrival is scheduled from the planned time of the previous one: the timer rounds every sleep up
        // to a millisecond, and these errors would add up.
        let mut next = self.started;
        loop {
            let rate = self.scenario.rate_at(self.now());
            let gap = -(1.0 - random.random::<f64>()).ln() / rate;
            next += Duration::from_secs_f64(gap);
            tokio::time::sleep_until(next).await;
            let draw: f64 = random.random();
            // Squaring the uniform draw makes low-numbered prefixes much more frequent than others.
            let scaled = draw * draw * f64::from(ONLINE_PREFIXES);
            let prefix = (0..ONLINE_PREFIXES)
                .find(|prefix| f64::from(*prefix) + 1.0 > scaled)
                .unwrap_or(0);
            let input = prompt(
                "online",
                u64::from(prefix),
                random.random(),
                ONLINE_PROMPT_BYTES,
            );
            let arrived = self.now();
            let call = OnlineCall {
                input,
                entry: random.random_range(0..ENTRY_HOSTS),
                arrived,
                counted: self.past_warmup(),
                first_token_at: None,
                last_token_at: arrived,
                tokens: 0,
            };
            tokio::spawn(Arc::clone(&self).serve(call));
        }
    }

    async fn serve(self: Arc<Self>, mut call: OnlineCall) {
        let mut excluded: Vec<usize> = (0..ENDPOINTS)
            .filter(|at| lock(&self.endpoints[*at]).leaving)
            .collect();
        let mut outcome = AttemptOutcome::Refused;
        for _ in 0..MAX_ATTEMPTS {
            let Some(endpoint) = self.choose(&call, &excluded) else {
                break;
            };
            outcome = self.attempt(endpoint, &mut call).await;
            lock(&self.entries[call.entry]).record_end(endpoint);
            match outcome {
                AttemptOutcome::Done => {
                    lock(&self.entries[call.entry]).record_success();
                    break;
                }
                AttemptOutcome::Broken if !self.should_retry(&mut call) => break,
                AttemptOutcome::Broken | AttemptOutcome::Refused => {}
            }
            excluded.push(endpoint);
        }
        if call.counted {
            self.record_outcome(&call, &outcome);
        }
    }

    /// Decides whether to retry a request whose attempt broke off. A retry discards the tokens received.
    fn should_retry(&self, call: &mut OnlineCall) -> bool {
        let now = self.now();
        let time_left = (call.arrived + ANSWER_TIMEOUT).saturating_sub(now);
        let should_retry = lock(&self.entries[call.entry]).may_retry(now, time_left);
        if call.counted && should_retry {
            let mut stats = lock(&self.stats);
            stats.retried += 1;
            stats.wasted_tokens += u64::from(call.tokens);
            call.tokens = 0;
        }
        should_retry
    }

    fn record_signal(&self, call: &OnlineCall, endpoint: usize, signal: AttemptSignal) {
        lock(&self.entries[call.entry]).record_attempt(self.now(), endpoint, signal);
    }

    fn choose(&self, call: &OnlineCall, excluded: &[usize]) -> Option<usize> {
        let prefix = &call.input[..PREFIX_BYTES];
        let mut entry = lock(&self.entries[call.entry]);
        let endpoint = entry.choose(self.now(), prefix, excluded)?;
        if !entry.last_was_probe() {
            self.record_sent(endpoint);
        }
        Some(endpoint)
    }

    fn record_sent(&self, endpoint: usize) {
        let now = self.now();
        let is_affecting = |fault: &&crate::scenario::FaultPlan| {
            fault.at <= now && fault.endpoints.contains(&endpoint)
        };
        if let Some(fault) = self.scenario.faults.iter().find(is_affecting) {
            lock(&self.stats).record_sent_after_fault(now.saturating_sub(fault.at));
        }
    }

    async fn attempt(self: &Arc<Self>, endpoint: usize, call: &mut OnlineCall) -> AttemptOutcome {
        let time_left = (call.arrived + ANSWER_TIMEOUT).saturating_sub(self.now());
        let sent = self.now();
        let mut gate_ticket = self.enqueue(endpoint, RequestClass::Online, time_left);
        if let Some(share) = lock(&self.endpoints[endpoint]).policy.load() {
            lock(&self.entries[call.entry]).record_load(sent, endpoint, share);
        }
        match gate_ticket.gate_actions.recv().await {
            Some(GateAction::Start(_)) => {}
            _ => return AttemptOutcome::Refused,
        }
        let first_token_timeout = lock(&self.entries[call.entry]).first_token_timeout();
        let overdue_at = first_token_timeout.map(|timeout| self.started + sent + timeout);
        let mut monitor = AttemptMonitor {
            sent,
            overdue_at,
            awaiting_first: true,
            gap_started_at: sent,
            gap_tokens: 0,
        };
        self.read(&mut gate_ticket, call, &mut monitor).await
    }

    async fn read(
        &self,
        gate_ticket: &mut GateTicket,
        call: &mut OnlineCall,
        monitor: &mut AttemptMonitor,
    ) -> AttemptOutcome {
        let request = EndpointCall {
            id: "".into(),
            model: "".into(),
            input: Arc::clone(&call.input),
            prior: "".into(),
            prior_tokens: 0,
            max_tokens: ONLINE_TOKENS,
        };
        let engine = Arc::clone(&lock(&self.endpoints[gate_ticket.endpoint]).engine);
        let Ok(mut parts) = engine.start(&request) else {
            self.record_signal(call, gate_ticket.endpoint, AttemptSignal::Unreached);
            return AttemptOutcome::Broken;
        };
        loop {
            let part = if let Some(at) = monitor.overdue_at {
                let Ok(part) = tokio::time::timeout_at(at, parts.next()).await else {
                    monitor.overdue_at = None;
                    self.record_signal(call, gate_ticket.endpoint, AttemptSignal::Overdue);
                    continue;
                };
                part
            } else {
                parts.next().await
            };
            match part {
                Some(Ok(AnswerPart::Text(_))) => {
                    self.record_token(gate_ticket.endpoint, gate_ticket.ticket);
                    if let Some(signal) = monitor.observe_token(self.now()) {
                        self.record_signal(call, gate_ticket.endpoint, signal);
                    }
                    self.record_part(call);
                }
                Some(Ok(AnswerPart::End)) => return AttemptOutcome::Done,
                _ => {
                    self.record_signal(call, gate_ticket.endpoint, AttemptSignal::Broken);
                    return AttemptOutcome::Broken;
                }
            }
        }
    }

    fn record_part(&self, call: &mut OnlineCall) {
        let now = self.now();
        let mut stats = lock(&self.stats);
        if call.counted {
            let since = now.saturating_sub(call.last_token_at);
            if call.first_token_at.is_none() {
                RunStats::record_time(&mut stats.first_token, since);
            } else {
                RunStats::record_time(&mut stats.between_tokens, since);
            }
        }
        call.first_token_at.get_or_insert(now);
        call.last_token_at = now;
        call.tokens += 1;
    }

    fn record_outcome(&self, call: &OnlineCall, outcome: &AttemptOutcome) {
        let mut stats = lock(&self.stats);
        stats.online += 1;
        match outcome {
            AttemptOutcome::Done => {
                stats.done += 1;
                stats.useful_tokens += u64::from(call.tokens);
                stats.in_time += u64::from(call.in_time());
            }
            AttemptOutcome::Refused => {
                stats.refused += 1;
                let time = self.now().saturating_sub(call.arrived);
                RunStats::record_time(&mut stats.refusal, time);
            }
            AttemptOutcome::Broken => {
                stats.failed += 1;
                stats.wasted_tokens += u64::from(call.tokens);
            }
        }
    }
}

impl AttemptMonitor {
    /// Records a token and returns the resulting signal about the endpoint, if any, as the daemon does.
    fn observe_token(&mut self, now: Duration) -> Option<AttemptSignal> {
        if std::mem::take(&mut self.awaiting_first) {
            self.overdue_at = None;
            self.gap_started_at = now;
            return Some(AttemptSignal::FirstToken(now.saturating_sub(self.sent)));
        }
        self.gap_tokens += 1;
        if self.gap_tokens < GAP_TOKENS {
            return None;
        }
        let gap = now.saturating_sub(self.gap_started_at) / GAP_TOKENS;
        self.gap_started_at = now;
        self.gap_tokens = 0;
        Some(AttemptSignal::TokenGap(gap))
    }
}

impl OnlineCall {
    /// Returns whether the first token and the mean time between tokens met the latency objectives.
    fn in_time(&self) -> bool {
        let Some(first) = self.first_token_at else {
            return false;
        };
        let streaming = self.last_token_at.saturating_sub(first);
        let allowed = BETWEEN_TOKENS_OBJECTIVE * self.tokens.saturating_sub(1);
        first.saturating_sub(self.arrived) <= FIRST_TOKEN_OBJECTIVE && streaming <= allowed
    }
}
