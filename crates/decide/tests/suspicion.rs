//! Which endpoints are suspected and trusted again, and which failed requests are tried again.

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

/// A service whose endpoints have all answered in 60 ms, with 20 ms between tokens.
fn healthy(endpoints: u32) -> ServiceHealth {
    let mut health = ServiceHealth::new(endpoints as usize);
    for round in 0..100 {
        let endpoint = EndpointIndex(round % endpoints);
        health.record_attempt(ms(0), endpoint, FirstToken(ms(60)));
        health.record_attempt(ms(0), endpoint, TokenGap(ms(20)));
    }
    health
}

/// Signs of endpoint 1 of four, with their times in milliseconds.
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
fn suspicion_of_one_endpoint(#[case] signs: &[(u64, AttemptSignal)], #[case] expected: bool) {
    let mut health = healthy(4);
    for (at, sign) in signs {
        health.record_attempt(ms(*at), EndpointIndex(1), *sign);
    }
    assert_eq!(health.is_suspected(EndpointIndex(1)), expected);
}

#[rstest]
#[case::five_times_slower(300, 100)]
#[case::twenty_times_slower(1_200, 400)]
fn all_slow_is_overload(#[case] first_ms: u64, #[case] gap_ms: u64) {
    let mut health = healthy(12);
    let mut most = 0;
    for round in 0..2_000_u32 {
        let now = Duration::from_millis(5) * round;
        let endpoint = EndpointIndex(round % 12);
        health.record_attempt(now, endpoint, FirstToken(ms(first_ms)));
        health.record_attempt(now, endpoint, TokenGap(ms(gap_ms)));
        most = most.max(health.suspected().len());
        if health.probe_due(now, endpoint) {
            health.record_probe(now, endpoint);
        }
    }
    assert!(most <= 4, "{most} of 12 were suspected at once");
    assert_eq!(health.suspected(), &[]);
}

/// All samples of a host are of the slow endpoint's gate, but for the few of its own.
#[test]
fn what_a_gate_sees_does_not_change_what_is_typical() {
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
#[case::one_good_sign_is_not_enough(&[FirstToken(ms(60)), TokenGap(ms(20))], true)]
#[case::early_first_tokens_are_not_enough(&[FirstToken(ms(60)), FirstToken(ms(60)), FirstToken(ms(60))], true)]
#[case::early_token_and_slow_ones(&[FirstToken(ms(60)), TokenGap(ms(20)), TokenGap(ms(100)), TokenGap(ms(20))], true)]
#[case::refused_again(&[Unreached], true)]
fn a_probe_decides(#[case] signs: &[AttemptSignal], #[case] expected: bool) {
    let mut health = healthy(4);
    let lost = EndpointIndex(1);
    health.record_attempt(ms(0), lost, Unreached);
    health.record_attempt(ms(0), lost, Unreached);
    assert!(!health.probe_due(ms(499), lost));
    assert!(health.probe_due(ms(500), lost));
    health.record_probe(ms(500), lost);
    assert!(!health.probe_due(ms(1_499), lost));
    assert!(health.probe_due(ms(1_500), lost));
    for sign in signs {
        health.record_attempt(ms(600), lost, *sign);
    }
    assert_eq!(health.is_suspected(lost), expected);
}

/// A plain service gives one answer a call, so nothing follows the first token.
#[test]
fn early_answers_of_a_plain_service_bring_trust_back() {
    let mut health = ServiceHealth::new(3);
    for round in 0..30 {
        health.record_attempt(ms(0), EndpointIndex(round % 3), FirstToken(ms(30)));
    }
    let lost = EndpointIndex(1);
    health.record_attempt(ms(0), lost, Unreached);
    health.record_attempt(ms(0), lost, Unreached);
    health.record_attempt(ms(600), lost, FirstToken(ms(30)));
    assert!(health.is_suspected(lost));
    health.record_attempt(ms(700), lost, FirstToken(ms(30)));
    assert!(!health.is_suspected(lost));
}

#[rstest]
#[case::the_suspected_stays(&[Some(1), Some(0)], &[0])]
#[case::the_suspected_has_left(&[Some(0), None], &[])]
#[case::only_the_suspected_stays(&[Some(1)], &[])]
fn trust_is_carried_over(#[case] old_places: &[Option<u32>], #[case] expected: &[u32]) {
    let mut health = healthy(3);
    health.record_attempt(ms(0), EndpointIndex(1), Unreached);
    health.record_attempt(ms(0), EndpointIndex(1), Unreached);
    let old_places: Vec<_> = old_places
        .iter()
        .map(|old| old.map(EndpointIndex))
        .collect();
    let next = health.remapped(&old_places);
    let expected: Vec<_> = expected.iter().copied().map(EndpointIndex).collect();
    assert_eq!(next.suspected(), expected);
}

fn any_sign() -> impl Strategy<Value = AttemptSignal> {
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
    fn never_all_are_suspected(
        endpoints in 1_u32..8,
        signs in proptest::collection::vec((0_u32..8, any_sign()), 0..300),
    ) {
        let mut health = ServiceHealth::new(endpoints as usize);
        for (at, (endpoint, sign)) in (0..).zip(signs) {
            let now = ms(at * 100);
            health.record_attempt(now, EndpointIndex(endpoint % endpoints), sign);
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
fn one_failed_attempt(#[case] failed: FailedAttempt, #[case] expected: RetryDecision) {
    let mut budget = RetryBudget::new(ms(0));
    assert_eq!(budget.decide(ms(0), failed), expected);
}

#[rstest]
#[case::nothing_succeeds(1_000, 0, 5)]
#[case::all_succeed(0, 1_000, 20)]
#[case::half_succeed(500, 500, 55)]
fn retries_of_a_service(#[case] failed: u32, #[case] succeeded: u32, #[case] expected: usize) {
    let mut budget = RetryBudget::new(ms(0));
    let mut retries = 0;
    for at in 0..failed.max(succeeded) {
        if at < succeeded {
            budget.record_success();
        }
        if at < failed {
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
#[case::before_the_floor_pays(4_000, RetryDecision::BudgetExhausted { retry_after: ms(1_000) })]
#[case::once_the_floor_has_paid(5_000, RetryDecision::Retry)]
fn a_spent_budget_fills_slowly(#[case] at_ms: u64, #[case] expected: RetryDecision) {
    let mut budget = RetryBudget::new(ms(0));
    while budget.decide(ms(0), IDEMPOTENT) == RetryDecision::Retry {}
    assert_eq!(budget.decide(ms(at_ms), IDEMPOTENT), expected);
}
