//! How long answers are expected to take by those lately.

use fulmarswitch_switch::answer_times::{AnswerSize, AnswerTimes};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

fn size(tokens: u64) -> AnswerSize {
    AnswerSize::of_tokens(tokens)
}

/// Guards against requests that are taken for short or long ones because of answers of other sizes.
#[rstest]
#[case::of_its_size(Some(100), None, 4)]
#[case::smaller_than_any(Some(4), None, 1)]
#[case::next_larger_size(Some(40), None, 4)]
#[case::larger_than_any(Some(400), None, 16)]
#[case::of_unknown_size(None, None, 4)]
#[case::beside_answers_of_unknown_size(Some(8), Some(2), 2)]
fn answers_take_as_long_as_those_of_their_size(
    #[case] tokens: Option<u64>,
    #[case] of_unknown_size: Option<u64>,
    #[case] expected: u64,
) {
    let (asked, now) = (tokens.map(size), Instant::now());
    let mut times = AnswerTimes::default();
    times.record(Some(size(100)), Duration::from_secs(4), now);
    times.record(Some(size(8)), Duration::from_secs(1), now);
    if let Some(seconds) = of_unknown_size {
        times.record(None, Duration::from_secs(seconds), now);
    }
    assert_eq!(
        times.longest(asked, now),
        Some(Duration::from_secs(expected))
    );
    assert_eq!(times.longest(asked, now + Duration::from_mins(1)), None);
}
