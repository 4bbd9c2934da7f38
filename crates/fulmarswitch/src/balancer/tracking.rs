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
const GAP_TOKENS: u32 = 4;

/// When the tokens of one answer came.
struct TokenWatch {
    sent_at: Instant,
    first_at: Option<Instant>,
    gap_from: Instant,
    gap_tokens: u32,
    overdue: bool,
}

impl TokenWatch {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            sent_at: now,
            first_at: None,
            gap_from: now,
            gap_tokens: 0,
            overdue: false,
        }
    }

    /// Counts a token and returns the sign that it completes.
    fn take_token(&mut self) -> Option<AttemptSignal> {
        let now = Instant::now();
        if self.first_at.is_none() {
            self.first_at = Some(now);
            self.gap_from = now;
            return Some(AttemptSignal::FirstToken(now - self.sent_at));
        }
        self.gap_tokens += 1;
        if self.gap_tokens < GAP_TOKENS {
            return None;
        }
        let gap = (now - self.gap_from) / GAP_TOKENS;
        self.gap_from = now;
        self.gap_tokens = 0;
        Some(AttemptSignal::TokenGap(gap))
    }

    /// Returns when the first token is overdue; nothing when it has come or was overdue before.
    fn overdue_at(&self, patience: impl Fn() -> Option<Duration>) -> Option<Instant> {
        if self.overdue || self.first_at.is_some() {
            return None;
        }
        Some(self.sent_at + patience()?)
    }
}

/// A request on its way to an endpoint; dropping it counts the request as ended.
pub(crate) struct SentAttempt {
    chooser: Arc<LoadBalancer>,
    service: Arc<str>,
    /// The endpoint.
    pub(crate) endpoint: Arc<str>,
    tokens: TokenWatch,
    suspicions: watch::Receiver<u64>,
    probe: bool,
    /// Whether the attempt is a probe that has shown the endpoint to be bad.
    failed_probe: bool,
}

impl SentAttempt {
    pub(super) fn new(
        chooser: &Arc<LoadBalancer>,
        service: &Arc<str>,
        endpoint: Arc<str>,
        probe: bool,
    ) -> Self {
        Self {
            chooser: Arc::clone(chooser),
            service: Arc::clone(service),
            endpoint,
            tokens: TokenWatch::new(),
            suspicions: chooser.suspicions.subscribe(),
            probe,
            failed_probe: false,
        }
    }

    /// Learns from the next frame of the answer, or from its end.
    pub(crate) fn see(&mut self, frame: Option<&StreamFrame>) {
        match frame {
            Some(StreamFrame::Load(note)) => self.see_load(note),
            Some(StreamFrame::Text(_)) => {
                if let Some(sign) = self.tokens.take_token() {
                    self.note(sign);
                }
            }
            Some(StreamFrame::Done { .. }) => self.chooser.succeed(&self.service),
            Some(StreamFrame::Refused(note)) if note.ran == RunState::MayHaveRun => {
                self.see_broken();
            }
            Some(_) => {}
            None => self.see_broken(),
        }
    }

    /// Learns that the gate was not reached, or the endpoint does not take calls.
    pub(crate) fn see_unreached(&mut self) {
        self.note(AttemptSignal::Unreached);
    }

    /// Learns that the answer broke off.
    pub(crate) fn see_broken(&mut self) {
        self.note(AttemptSignal::Broken);
    }

    /// Learns that no token has come until [`Self::overdue_at`].
    pub(crate) fn see_overdue(&mut self) {
        self.tokens.overdue = true;
        self.note(AttemptSignal::Overdue);
    }

    /// Returns when the first token is overdue; nothing when it has come or its time is not known.
    pub(crate) fn overdue_at(&self) -> Option<Instant> {
        self.tokens
            .overdue_at(|| self.chooser.patience(&self.service))
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
            if self.chooser.is_suspected(&self.service, &self.endpoint) {
                return;
            }
        }
    }

    fn see_load(&mut self, note: &LoadNote) {
        self.chooser.take_load(&self.service, &self.endpoint, note);
        if note.suspected {
            self.note(AttemptSignal::Reported);
        } else if !note.takes_calls {
            self.see_unreached();
        }
    }

    fn note(&mut self, sign: AttemptSignal) {
        let bad = self.chooser.note(&self.service, &self.endpoint, sign);
        // A probe is there to find out whether the report still holds.
        self.failed_probe |= self.probe && bad && sign != AttemptSignal::Reported;
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        self.chooser.end(&self.service, &self.endpoint);
    }
}

/// A call that a gate on this host makes to its endpoint.
pub(crate) struct WatchedCall {
    chooser: Arc<LoadBalancer>,
    service: Arc<str>,
    endpoint: Arc<str>,
    tokens: TokenWatch,
}

impl WatchedCall {
    pub(super) fn new(
        chooser: &Arc<LoadBalancer>,
        service: &Arc<str>,
        endpoint: &Arc<str>,
    ) -> Self {
        Self {
            chooser: Arc::clone(chooser),
            service: Arc::clone(service),
            endpoint: Arc::clone(endpoint),
            tokens: TokenWatch::new(),
        }
    }

    /// Learns that a token has come.
    pub(crate) fn see_token(&mut self) {
        if let Some(sign) = self.tokens.take_token() {
            self.note(sign);
        }
    }

    /// Learns that the endpoint was not reached or refused the call.
    pub(crate) fn see_unreached(&self) {
        self.note(AttemptSignal::Unreached);
    }

    /// Learns that the answer broke off.
    pub(crate) fn see_broken(&self) {
        self.note(AttemptSignal::Broken);
    }

    /// Waits until the first token is overdue and learns from it; never returns.
    pub(crate) async fn watch_overdue(&mut self) -> Infallible {
        let patience = || self.chooser.patience(&self.service);
        if let Some(at) = self.tokens.overdue_at(patience) {
            tokio::time::sleep_until(at).await;
            self.tokens.overdue = true;
            self.note(AttemptSignal::Overdue);
        }
        std::future::pending().await
    }

    fn note(&self, sign: AttemptSignal) {
        self.chooser.note_seen(&self.service, &self.endpoint, sign);
    }
}
