//! Tracks attempts and calls in flight and records signals of their endpoints' health.

use super::LoadBalancer;
use fulmarswitch_decide::suspicion::AttemptSignal;
use fulmarswitch_peer::StreamFrame;
use fulmarswitch_peer::message::{GateStatus, RunState};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of tokens over which the gap between tokens is averaged.
const GAP_WINDOW_TOKENS: u32 = 4;

/// Times at which the tokens of one answer arrived.
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

    /// Counts a token, and returns the signal that it completes.
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

    /// Returns when the first token is overdue, or `None` if it has arrived, was already overdue, or the
    /// timeout is not known.
    fn overdue_at(&self, timeout: impl Fn() -> Option<Duration>) -> Option<Instant> {
        if self.overdue || self.first_token_at.is_some() {
            return None;
        }
        Some(self.sent_at + timeout()?)
    }
}

/// An attempt in flight at an endpoint. Dropping it ends the attempt in the endpoint's load.
pub(crate) struct TrackedAttempt {
    balancer: Arc<LoadBalancer>,
    service: Arc<str>,
    /// Name of the endpoint.
    pub(crate) endpoint: Arc<str>,
    tokens: TokenTimer,
    suspicions: watch::Receiver<u64>,
    probe: bool,
    /// Whether the attempt is a probe that found the endpoint unhealthy.
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

    /// Records the next frame of the answer, or its premature end if `None`.
    pub(crate) fn observe_frame(&mut self, frame: Option<&StreamFrame>) {
        match frame {
            Some(StreamFrame::Load(status)) => self.observe_load(status),
            Some(StreamFrame::Text(_)) => {
                if let Some(signal) = self.tokens.record_token() {
                    self.record(signal);
                }
            }
            Some(StreamFrame::Done { .. }) => self.balancer.record_success(&self.service),
            Some(StreamFrame::Refused(refusal)) if refusal.ran == RunState::MayHaveRun => {
                self.observe_interrupted();
            }
            Some(_) => {}
            None => self.observe_interrupted(),
        }
    }

    /// Records that the gate was unreachable, or that the endpoint does not accept calls.
    pub(crate) fn observe_unreachable(&mut self) {
        self.record(AttemptSignal::Unreached);
    }

    /// Records that the answer was interrupted.
    pub(crate) fn observe_interrupted(&mut self) {
        self.record(AttemptSignal::Broken);
    }

    /// Records that no token arrived before [`Self::overdue_at`].
    pub(crate) fn observe_overdue(&mut self) {
        self.tokens.overdue = true;
        self.record(AttemptSignal::Overdue);
    }

    /// Returns when the first token is overdue, or `None` if it has arrived, was already overdue, or the
    /// timeout is not known.
    pub(crate) fn overdue_at(&self) -> Option<Instant> {
        self.tokens
            .overdue_at(|| self.balancer.first_token_timeout(&self.service))
    }

    /// Returns whether the attempt is a probe that found the endpoint unhealthy; `true` only once.
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

    fn observe_load(&mut self, status: &GateStatus) {
        self.balancer
            .update_load(&self.service, &self.endpoint, status);
        if status.suspected {
            self.record(AttemptSignal::Reported);
        } else if !status.accepts_calls {
            self.observe_unreachable();
        }
    }

    fn record(&mut self, signal: AttemptSignal) {
        let adverse = self.balancer.observe(&self.service, &self.endpoint, signal);
        // A probe checks whether such a report still holds, so the report itself does not fail it.
        self.failed_probe |= self.probe && adverse && signal != AttemptSignal::Reported;
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        self.balancer.record_end(&self.service, &self.endpoint);
    }
}

/// A call in flight from a gate on this host to its endpoint.
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

    /// Records that a token arrived.
    pub(crate) fn observe_token(&mut self) {
        if let Some(signal) = self.tokens.record_token() {
            self.record(signal);
        }
    }

    /// Records that the endpoint was unreachable or refused the call.
    pub(crate) fn observe_unreachable(&self) {
        self.record(AttemptSignal::Unreached);
    }

    /// Records that the answer was interrupted.
    pub(crate) fn observe_interrupted(&self) {
        self.record(AttemptSignal::Broken);
    }

    /// Records a signal once the first token is overdue; never returns.
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
