//! Whether a request that failed at one endpoint is tried at another.
//!
//! Retries are paid from a budget of the service that successes fill, so that they cannot multiply the load
//! when all endpoints fail or are slow. A call that may have run is repeated only if it is idempotent, and
//! nothing is repeated that cannot end before its deadline.

use std::time::Duration;

/// One token of the budget, in thousandths.
const RETRY_COST_MILLI: u32 = 1_000;
/// What a success adds to the budget, in thousandths of a retry.
const SUCCESS_CREDIT_MILLI: u32 = 100;
/// Most retries that the budget holds, in thousandths.
const MAX_BUDGET_MILLI: u32 = 20 * RETRY_COST_MILLI;
/// Retries that a service with few requests always has, in thousandths a second.
const REFILL_MILLI_PER_SECOND: u32 = 200;
/// Retries in the budget of a service that has just been met, in thousandths.
const INITIAL_BUDGET_MILLI: u32 = 5 * RETRY_COST_MILLI;

/// Retries that a service may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    milli_tokens: u32,
    refilled_at: Duration,
}

/// What a failed attempt leaves to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the attempt may have run.
    pub may_have_run: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Time that another attempt needs.
    pub time_needed: Duration,
}

/// What becomes of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is tried at another endpoint.
    Retry,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// Its deadline comes before another attempt could end.
    InsufficientTime,
    /// The service's budget is spent.
    BudgetExhausted {
        /// When the budget holds a retry again, without a success.
        retry_after: Duration,
    },
}

impl RetryBudget {
    /// Creates the budget of a service that has just been met.
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

    /// Counts a request that was answered.
    pub fn record_success(&mut self) {
        self.credit(SUCCESS_CREDIT_MILLI);
    }

    /// Decides on a failed attempt, and pays for the retry.
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
