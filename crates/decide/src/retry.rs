//! Decides whether a request that failed at one endpoint is retried at another.
//!
//! Each retry costs one token from the budget of the service. Successful requests refill the
//! budget, so retries cannot multiply the load when all endpoints fail or are slow. A call that may
//! have run is retried only if it is idempotent, and no request is retried that cannot complete
//! before its deadline.

use std::time::Duration;

/// Cost of a retry, in thousandths of a token.
const RETRY_COST_MILLI: u32 = 1_000;
/// Credit for a successful request, in thousandths of a token.
const SUCCESS_CREDIT_MILLI: u32 = 100;
/// Largest balance of the budget, in thousandths of a token.
const MAX_BUDGET_MILLI: u32 = 20 * RETRY_COST_MILLI;
/// Refill that does not depend on successes, in thousandths of a token per second, so that a
/// service with few requests can always retry.
const REFILL_MILLI_PER_SECOND: u32 = 200;
/// Initial balance of the budget, in thousandths of a token.
const INITIAL_BUDGET_MILLI: u32 = 5 * RETRY_COST_MILLI;

/// Retry budget of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    milli_tokens: u32,
    refilled_at: Duration,
}

/// A failed attempt, as input to the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether the endpoint may have executed the attempt.
    pub may_have_run: bool,
    /// Time remaining until the caller's deadline.
    pub time_left: Duration,
    /// Expected duration of another attempt.
    pub time_needed: Duration,
}

/// Decision on a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another endpoint; the budget has been charged.
    Retry,
    /// Give up: the request may have run and is not idempotent.
    MayHaveRun,
    /// Give up: another attempt could not complete before the deadline.
    InsufficientTime,
    /// Give up: the budget of the service is exhausted.
    BudgetExhausted {
        /// Time until the refill by time alone suffices for a retry.
        retry_after: Duration,
    },
}

impl RetryBudget {
    /// Creates the budget of a service with its initial balance.
    ///
    /// ```
    /// use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryDecision};
    /// use std::time::Duration;
    /// let mut budget = RetryBudget::new(Duration::ZERO);
    /// let attempt = FailedAttempt {
    ///     idempotent: true,
    ///     may_have_run: true,
    ///     time_left: Duration::from_secs(2),
    ///     time_needed: Duration::from_secs(1),
    /// };
    /// assert_eq!(budget.decide(Duration::ZERO, attempt), RetryDecision::Retry);
    /// ```
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            milli_tokens: INITIAL_BUDGET_MILLI,
            refilled_at: now,
        }
    }

    /// Credits the budget for a successful request.
    pub fn record_success(&mut self) {
        self.credit(SUCCESS_CREDIT_MILLI);
    }

    /// Decides on a failed attempt and charges the budget if it is retried.
    pub fn decide(&mut self, now: Duration, attempt: FailedAttempt) -> RetryDecision {
        if attempt.may_have_run && !attempt.idempotent {
            return RetryDecision::MayHaveRun;
        }
        if attempt.time_left <= attempt.time_needed {
            return RetryDecision::InsufficientTime;
        }
        self.refill(now);
        if self.milli_tokens < RETRY_COST_MILLI {
            let shortfall = RETRY_COST_MILLI - self.milli_tokens;
            let retry_after = Duration::from_secs(1) * shortfall / REFILL_MILLI_PER_SECOND;
            return RetryDecision::BudgetExhausted { retry_after };
        }
        self.milli_tokens -= RETRY_COST_MILLI;
        RetryDecision::Retry
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let accrued = millis.saturating_mul(REFILL_MILLI_PER_SECOND) / 1_000;
        if accrued > 0 {
            self.credit(accrued);
            self.refilled_at = now;
        }
    }

    fn credit(&mut self, milli_tokens: u32) {
        self.milli_tokens = self
            .milli_tokens
            .saturating_add(milli_tokens)
            .min(MAX_BUDGET_MILLI);
    }
}
