//! Attempts on their way, from which the chooser learns.

use super::LoadBalancer;
use fulmarswitch_decide::suspicion::AttemptSignal;
use fulmarswitch_peer::StreamFrame;
use fulmarswitch_peer::message::{LoadNote, RunState};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Tokens over which the time between them is averaged.
const GAP_WINDOW_TOKENS: u32 = 4;

/// When the tokens of one answer came.
struct TokenTimer {
    sent_at: Instant,
    first_token_at: Option<Instant>,
    gap_started_at: Instant,
    gap_tokens: u32,
    overdue: bool,
}

impl TokenTimer {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            sent_at: now,
            first_token_at: None,
            gap_started_at: now,
            gap_tokens: 0,
            overdue: false,
        }
    }

    /// Counts a token and returns the sign that it completes.
    fn record_token(&mut self) -> Option<AttemptSignal> {
        let now = Instant::now();
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.gap_started_at = now;
            return Some(AttemptSignal::FirstToken(now - self.sent_at));
        }
        self.gap_tokens += 1;
        if self.gap_tokens < GAP_WINDOW_TOKENS {
            return None;
        }
        let gap = (now - self.gap_started_at) / GAP_WINDOW_TOKENS;
        self.gap_started_at = now;
        self.gap_tokens = 0;
        Some(AttemptSignal::TokenGap(gap))
    }

    /// Returns when the first token is overdue; nothing when it has come or was overdue before.
    fn overdue_at(&self, timeout: impl Fn() -> Option<Duration>) -> Option<Instant> {
        if self.overdue || self.first_token_at.is_some() {
            return None;
        }
        Some(self.sent_at + timeout()?)
    }
}

/// A request on its way to an endpoint; dropping it counts the request as ended.
pub(crate) struct TrackedAttempt {
    balancer: Arc<LoadBalancer>,
    service: Arc<str>,
    /// The endpoint.
    pub(crate) endpoint: Arc<str>,
    tokens: TokenTimer,
    suspicions: watch::Receiver<u64>,
    probe: bool,
    /// Whether the attempt is a probe that has shown the endpoint to be bad.
    failed_probe: bool,
}

impl TrackedAttempt {
    pub(super) fn new(
        balancer: &Arc<LoadBalancer>,
        service: &Arc<str>,
        endpoint: Arc<str>,
        probe: bool,
    ) -> Self {
        Self {
            balancer: Arc::clone(balancer),
            service: Arc::clone(service),
            endpoint,
            tokens: TokenTimer::new(),
            suspicions: balancer.suspicions.subscribe(),
            probe,
            failed_probe: false,
        }
    }

    /// Learns from the next frame of the answer, or from its end.
    pub(crate) fn observe_frame(&mut self, frame: Option<&StreamFrame>) {
        match frame {
            Some(StreamFrame::Load(note)) => self.observe_load(note),
            Some(StreamFrame::Text(_)) => {
                if let Some(signal) = self.tokens.record_token() {
                    self.record(signal);
                }
            }
            Some(StreamFrame::Done { .. }) => self.balancer.record_success(&self.service),
            Some(StreamFrame::Refused(note)) if note.ran == RunState::MayHaveRun => {
                self.observe_interrupted();
            }
            Some(_) => {}
            None => self.observe_interrupted(),
        }
    }

    /// Learns that the gate was not reached, or the endpoint does not take calls.
    pub(crate) fn observe_unreachable(&mut self) {
        self.record(AttemptSignal::Unreached);
    }

    /// Learns that the answer broke off.
    pub(crate) fn observe_interrupted(&mut self) {
        self.record(AttemptSignal::Broken);
    }

    /// Learns that no token has come until [`Self::overdue_at`].
    pub(crate) fn observe_overdue(&mut self) {
        self.tokens.overdue = true;
        self.record(AttemptSignal::Overdue);
    }

    /// Returns when the first token is overdue; nothing when it has come or its time is not known.
    pub(crate) fn overdue_at(&self) -> Option<Instant> {
        self.tokens
            .overdue_at(|| self.balancer.first_token_timeout(&self.service))
    }

    /// Tells, once, that the attempt is a probe that has shown the endpoint to be bad.
    pub(crate) fn take_failed_probe(&mut self) -> bool {
        std::mem::take(&mut self.failed_probe)
    }

    /// Waits until the endpoint becomes suspected; never returns for a probe.
    pub(crate) async fn wait_suspected(&mut self) {
        loop {
            if self.probe || self.suspicions.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            if self.balancer.is_suspected(&self.service, &self.endpoint) {
                return;
            }
        }
    }

    fn observe_load(&mut self, note: &LoadNote) {
        self.balancer
            .update_load(&self.service, &self.endpoint, note);
        if note.suspected {
            self.record(AttemptSignal::Reported);
        } else if !note.takes_calls {
            self.observe_unreachable();
        }
    }

    fn record(&mut self, signal: AttemptSignal) {
        let bad = self.balancer.observe(&self.service, &self.endpoint, signal);
        // A probe is there to find out whether the report still holds.
        self.failed_probe |= self.probe && bad && signal != AttemptSignal::Reported;
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        self.balancer.release(&self.service, &self.endpoint);
    }
}

/// A call that a gate on this host makes to its endpoint.
pub(crate) struct TrackedCall {
    balancer: Arc<LoadBalancer>,
    service: Arc<str>,
    endpoint: Arc<str>,
    tokens: TokenTimer,
}

impl TrackedCall {
    pub(super) fn new(
        balancer: &Arc<LoadBalancer>,
        service: &Arc<str>,
        endpoint: &Arc<str>,
    ) -> Self {
        Self {
            balancer: Arc::clone(balancer),
            service: Arc::clone(service),
            endpoint: Arc::clone(endpoint),
            tokens: TokenTimer::new(),
        }
    }

    /// Learns that a token has come.
    pub(crate) fn observe_token(&mut self) {
        if let Some(signal) = self.tokens.record_token() {
            self.record(signal);
        }
    }

    /// Learns that the endpoint was not reached or refused the call.
    pub(crate) fn observe_unreachable(&self) {
        self.record(AttemptSignal::Unreached);
    }

    /// Learns that the answer broke off.
    pub(crate) fn observe_interrupted(&self) {
        self.record(AttemptSignal::Broken);
    }

    /// Waits until the first token is overdue and learns from it; never returns.
    pub(crate) async fn watch_first_token(&mut self) -> Infallible {
        let timeout = || self.balancer.first_token_timeout(&self.service);
        if let Some(at) = self.tokens.overdue_at(timeout) {
            tokio::time::sleep_until(at).await;
            self.tokens.overdue = true;
            self.record(AttemptSignal::Overdue);
        }
        std::future::pending().await
    }

    fn record(&self, signal: AttemptSignal) {
        self.balancer
            .observe_from_gate(&self.service, &self.endpoint, signal);
    }
}
