//! Whether a request that failed at one endpoint is tried at another.
//!
//! Retries are paid from a budget of the service that successes fill, so that they cannot multiply the load
//! when all endpoints fail or are slow. A call that may have run is repeated only if it is idempotent, and
//! nothing is repeated that cannot end before its deadline.

use std::time::Duration;

/// One token of the budget, in thousandths.
const WHOLE_TOKEN: u32 = 1_000;
/// What a success adds to the budget, in thousandths of a retry.
const SUCCESS_PAYS: u32 = 100;
/// Most retries that the budget holds, in thousandths.
const BUDGET_LIMIT: u32 = 20 * WHOLE_TOKEN;
/// Retries that a service with few requests always has, in thousandths a second.
const FLOOR_PER_SECOND: u32 = 200;
/// Retries in the budget of a service that has just been met, in thousandths.
const FIRST_BUDGET: u32 = 5 * WHOLE_TOKEN;

/// Retries that a service may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    thousandths: u32,
    filled_at: Duration,
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
    /// let failed = FailedAttempt {
    ///     idempotent: true,
    ///     may_have_run: true,
    ///     time_left: Duration::from_secs(2),
    ///     time_needed: Duration::from_secs(1),
    /// };
    /// assert_eq!(budget.decide(Duration::ZERO, failed), RetryDecision::Retry);
    /// ```
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            thousandths: FIRST_BUDGET,
            filled_at: now,
        }
    }

    /// Counts a request that was answered.
    pub fn record_success(&mut self) {
        self.fill(SUCCESS_PAYS);
    }

    /// Decides on a failed attempt, and pays for the retry.
    pub fn decide(&mut self, now: Duration, failed: FailedAttempt) -> RetryDecision {
        if failed.may_have_run && !failed.idempotent {
            return RetryDecision::MayHaveRun;
        }
        if failed.time_left <= failed.time_needed {
            return RetryDecision::InsufficientTime;
        }
        self.fill_floor(now);
        if self.thousandths < WHOLE_TOKEN {
            let lacking = WHOLE_TOKEN - self.thousandths;
            let retry_after = Duration::from_secs(1) * lacking / FLOOR_PER_SECOND;
            return RetryDecision::BudgetExhausted { retry_after };
        }
        self.thousandths -= WHOLE_TOKEN;
        RetryDecision::Retry
    }

    fn fill_floor(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at);
        let millis = u32::try_from(passed.as_millis()).unwrap_or(u32::MAX);
        let paid = millis.saturating_mul(FLOOR_PER_SECOND) / 1_000;
        if paid > 0 {
            self.fill(paid);
            self.filled_at = now;
        }
    }

    fn fill(&mut self, thousandths: u32) {
        self.thousandths = self
            .thousandths
            .saturating_add(thousandths)
            .min(BUDGET_LIMIT);
    }
}
