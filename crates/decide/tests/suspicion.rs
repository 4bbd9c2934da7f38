//! Suspicion of endpoints, and retries of failed requests.

use fulmarswitch_decide::balance::EndpointIndex;
use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryDecision};
use fulmarswitch_decide::suspicion::{AttemptSignal, ServiceHealth};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

use AttemptSignal::{Broken, FirstToken, Overdue, Reported, TokenGap, Unreached};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a service whose endpoints all answer in 60 ms, with 20 ms between tokens.
fn healthy(endpoints: u32) -> ServiceHealth {
    let mut health = ServiceHealth::new(endpoints as usize);
    for round in 0..100 {
        let endpoint = EndpointIndex(round % endpoints);
        health.record_attempt(ms(0), endpoint, FirstToken(ms(60)));
        health.record_attempt(ms(0), endpoint, TokenGap(ms(20)));
    }
    health
}

/// Each case holds signals of endpoint 1 of four, with their times in milliseconds, and whether it
/// becomes suspected.
#[rstest]
#[case::two_refused(&[(0, Unreached), (1, Unreached)], true)]
#[case::one_refused(&[(0, Unreached)], false)]
#[case::refused_between_answers(&[(0, Unreached), (1, FirstToken(ms(60))), (2, FirstToken(ms(60))), (3, Unreached)], false)]
#[case::reported_by_the_gate(&[(0, Reported)], true)]
#[case::two_broken(&[(0, Broken), (500, Broken)], true)]
#[case::overdue_and_late(&[(0, Overdue), (200, FirstToken(ms(300))), (450, TokenGap(ms(100)))], true)]
#[case::slow_tokens(&[(0, TokenGap(ms(100))), (400, TokenGap(ms(100))), (800, TokenGap(ms(100))), (1_200, TokenGap(ms(100)))], true)]
#[case::one_pause_seen_by_many_streams(&[(0, TokenGap(ms(100))), (1, TokenGap(ms(100))), (2, TokenGap(ms(100))), (3, TokenGap(ms(100))), (4, TokenGap(ms(100)))], false)]
#[case::twice_as_slow(&[(0, TokenGap(ms(40))), (400, TokenGap(ms(40))), (800, TokenGap(ms(40))), (1_200, TokenGap(ms(40)))], false)]
fn suspicion_of_one_endpoint(#[case] signals: &[(u64, AttemptSignal)], #[case] expected: bool) {
    let mut health = healthy(4);
    for (at, signal) in signals {
        health.record_attempt(ms(*at), EndpointIndex(1), *signal);
    }
    assert_eq!(health.is_suspected(EndpointIndex(1)), expected);
}

#[rstest]
#[case::five_times_slower(300, 100)]
#[case::twenty_times_slower(1_200, 400)]
fn slowness_of_all_endpoints_is_overload(#[case] first_ms: u64, #[case] gap_ms: u64) {
    let mut health = healthy(12);
    let mut max_suspected = 0;
    for round in 0..2_000_u32 {
        let now = Duration::from_millis(5) * round;
        let endpoint = EndpointIndex(round % 12);
        health.record_attempt(now, endpoint, FirstToken(ms(first_ms)));
        health.record_attempt(now, endpoint, TokenGap(ms(gap_ms)));
        max_suspected = max_suspected.max(health.suspected().len());
        if health.probe_due(now, endpoint) {
            health.record_probe(now, endpoint);
        }
    }
    assert!(
        max_suspected <= 4,
        "{max_suspected} of 12 endpoints were suspected at the same time"
    );
    assert_eq!(health.suspected(), &[]);
}

/// A host observes at its gate almost only samples of the slow endpoint. They must not raise the
/// median, or the endpoint would no longer count as slow.
#[test]
fn observed_signals_do_not_change_the_median() {
    let mut health = healthy(4);
    for round in 0..200 {
        let now = ms(round * 10);
        health.record_observed(now, EndpointIndex(1), TokenGap(ms(100)));
    }
    assert!(health.is_suspected(EndpointIndex(1)));
    assert_eq!(
        health.record_attempt(ms(2_000), EndpointIndex(2), TokenGap(ms(20))),
        None
    );
}

#[rstest]
#[case::good(&[FirstToken(ms(60)), TokenGap(ms(20)), TokenGap(ms(20))], false)]
#[case::one_good_signal_is_not_enough(&[FirstToken(ms(60)), TokenGap(ms(20))], true)]
#[case::early_first_tokens_are_not_enough(&[FirstToken(ms(60)), FirstToken(ms(60)), FirstToken(ms(60))], true)]
#[case::early_token_and_slow_ones(&[FirstToken(ms(60)), TokenGap(ms(20)), TokenGap(ms(100)), TokenGap(ms(20))], true)]
#[case::refused_again(&[Unreached], true)]
fn probes_end_or_prolong_the_suspicion(#[case] signals: &[AttemptSignal], #[case] expected: bool) {
    let mut health = healthy(4);
    let suspect = EndpointIndex(1);
    health.record_attempt(ms(0), suspect, Unreached);
    health.record_attempt(ms(0), suspect, Unreached);
    assert!(!health.probe_due(ms(499), suspect));
    assert!(health.probe_due(ms(500), suspect));
    health.record_probe(ms(500), suspect);
    assert!(!health.probe_due(ms(1_499), suspect));
    assert!(health.probe_due(ms(1_500), suspect));
    for signal in signals {
        health.record_attempt(ms(600), suspect, *signal);
    }
    assert_eq!(health.is_suspected(suspect), expected);
}

/// A plain service returns a single answer per call, so no token gaps follow the first token.
#[test]
fn early_answers_of_a_plain_service_end_the_suspicion() {
    let mut health = ServiceHealth::new(3);
    for round in 0..30 {
        health.record_attempt(ms(0), EndpointIndex(round % 3), FirstToken(ms(30)));
    }
    let suspect = EndpointIndex(1);
    health.record_attempt(ms(0), suspect, Unreached);
    health.record_attempt(ms(0), suspect, Unreached);
    health.record_attempt(ms(600), suspect, FirstToken(ms(30)));
    assert!(health.is_suspected(suspect));
    health.record_attempt(ms(700), suspect, FirstToken(ms(30)));
    assert!(!health.is_suspected(suspect));
}

#[rstest]
#[case::the_suspected_stays(&[Some(1), Some(0)], &[0])]
#[case::the_suspected_has_left(&[Some(0), None], &[])]
#[case::only_the_suspected_stays(&[Some(1)], &[])]
fn suspicion_survives_a_change_of_endpoints(
    #[case] old_indices: &[Option<u32>],
    #[case] expected: &[u32],
) {
    let mut health = healthy(3);
    health.record_attempt(ms(0), EndpointIndex(1), Unreached);
    health.record_attempt(ms(0), EndpointIndex(1), Unreached);
    let old_indices: Vec<_> = old_indices
        .iter()
        .map(|old| old.map(EndpointIndex))
        .collect();
    let next = health.remapped(&old_indices);
    let expected: Vec<_> = expected.iter().copied().map(EndpointIndex).collect();
    assert_eq!(next.suspected(), expected);
}

fn any_signal() -> impl Strategy<Value = AttemptSignal> {
    prop_oneof![
        Just(Unreached),
        Just(Broken),
        Just(Overdue),
        Just(Reported),
        (1_u64..5_000).prop_map(|time| FirstToken(ms(time))),
        (1_u64..500).prop_map(|time| TokenGap(ms(time))),
    ]
}

proptest! {
    #[test]
    fn at_least_one_endpoint_stays_trusted(
        endpoints in 1_u32..8,
        signals in proptest::collection::vec((0_u32..8, any_signal()), 0..300),
    ) {
        let mut health = ServiceHealth::new(endpoints as usize);
        for (at, (endpoint, signal)) in (0..).zip(signals) {
            let now = ms(at * 100);
            health.record_attempt(now, EndpointIndex(endpoint % endpoints), signal);
            prop_assert!(health.suspected().len() < endpoints as usize);
            for probe in (0..endpoints).map(EndpointIndex) {
                prop_assert!(!health.probe_due(now, probe) || health.is_suspected(probe));
            }
        }
    }
}

const IDEMPOTENT: FailedAttempt = FailedAttempt {
    idempotent: true,
    may_have_run: true,
    time_left: ms(2_000),
    time_needed: ms(60),
};

#[rstest]
#[case::idempotent(IDEMPOTENT, RetryDecision::Retry)]
#[case::may_have_run_once(FailedAttempt { idempotent: false, ..IDEMPOTENT }, RetryDecision::MayHaveRun)]
#[case::has_not_run(FailedAttempt { idempotent: false, may_have_run: false, ..IDEMPOTENT }, RetryDecision::Retry)]
#[case::no_time_left(FailedAttempt { time_left: ms(60), ..IDEMPOTENT }, RetryDecision::InsufficientTime)]
fn decision_on_one_failed_attempt(#[case] failed: FailedAttempt, #[case] expected: RetryDecision) {
    let mut budget = RetryBudget::new(ms(0));
    assert_eq!(budget.decide(ms(0), failed), expected);
}

#[rstest]
#[case::nothing_succeeds(1_000, 0, 5)]
#[case::all_succeed(0, 1_000, 20)]
#[case::half_succeed(500, 500, 55)]
fn successes_pay_for_retries(#[case] failed: u32, #[case] succeeded: u32, #[case] expected: usize) {
    let mut budget = RetryBudget::new(ms(0));
    let mut retries = 0;
    for round in 0..failed.max(succeeded) {
        if round < succeeded {
            budget.record_success();
        }
        if round < failed {
            retries += usize::from(budget.decide(ms(0), IDEMPOTENT) == RetryDecision::Retry);
        }
    }
    if failed == 0 {
        while budget.decide(ms(0), IDEMPOTENT) == RetryDecision::Retry {
            retries += 1;
        }
    }
    assert_eq!(retries, expected);
}

#[rstest]
#[case::at_once(0, RetryDecision::BudgetExhausted { retry_after: ms(5_000) })]
#[case::before_the_refill_pays(4_000, RetryDecision::BudgetExhausted { retry_after: ms(1_000) })]
#[case::once_the_refill_has_paid(5_000, RetryDecision::Retry)]
fn an_exhausted_budget_refills_slowly(#[case] at_ms: u64, #[case] expected: RetryDecision) {
    let mut budget = RetryBudget::new(ms(0));
    while budget.decide(ms(0), IDEMPOTENT) == RetryDecision::Retry {}
    assert_eq!(budget.decide(ms(at_ms), IDEMPOTENT), expected);
}
