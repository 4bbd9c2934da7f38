//! Failure detectors on short scripts of heartbeats.

use fulmarswitch_decide::detector::{
    AdaptiveDetector, AdaptiveSettings, DetectorChange, FailureDetector, FixedDetector,
    HeartbeatIndex, SelfConfiguringDetector, SelfConfiguringSettings,
};
use rstest::rstest;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn fixed() -> Box<dyn FailureDetector> {
    Box::new(FixedDetector::new(ms(400), ms(1_400)))
}

fn adaptive() -> Box<dyn FailureDetector> {
    Box::new(AdaptiveDetector::new(AdaptiveSettings {
        period: ms(400),
        min_timeout: ms(350),
        max_timeout: ms(1_500),
        tolerated_losses: 2,
    }))
}

fn self_configuring() -> Box<dyn FailureDetector> {
    Box::new(SelfConfiguringDetector::new(SelfConfiguringSettings {
        max_detection_time: ms(1_500),
        max_mistake_duration: ms(500),
        min_mistake_recurrence: Duration::from_hours(24),
        target_utilization: 0.5,
        min_period: ms(200),
    }))
}

/// Sends heartbeats for `count` periods of 400 ms. Those before number `silent_from` are answered
/// after `delay`. Returns the time of the last answered heartbeat and the times of suspicion, in
/// milliseconds.
fn run(
    detector: &mut dyn FailureDetector,
    count: u64,
    silent_from: u64,
    delay: Duration,
) -> (u64, Vec<u64>) {
    let mut suspected = Vec::new();
    let mut last_answered_ms = 0;
    let mut answers: Vec<(Duration, HeartbeatIndex)> = Vec::new();
    let mut next_send = Duration::ZERO;
    let mut heartbeat = 0;
    for tick in 0..count * 40 {
        let now = ms(tick * 10);
        while answers.first().is_some_and(|(at, _)| *at <= now) {
            let (at, answered) = answers.remove(0);
            detector.record_answer(at, answered);
        }
        if detector.poll(now) == Some(DetectorChange::Suspect) {
            suspected.push(tick * 10);
        }
        if now >= next_send {
            detector.record_sent(now, HeartbeatIndex(heartbeat));
            if heartbeat < silent_from {
                answers.push((now + delay, HeartbeatIndex(heartbeat)));
                last_answered_ms = tick * 10;
            }
            next_send = now + detector.period();
            heartbeat += 1;
        }
    }
    (last_answered_ms, suspected)
}

#[rstest]
#[case::fixed(fixed())]
#[case::adaptive(adaptive())]
#[case::self_configuring(self_configuring())]
fn a_responsive_neighbour_is_trusted(#[case] mut detector: Box<dyn FailureDetector>) {
    let (_, suspected) = run(&mut *detector, 500, u64::MAX, ms(3));
    assert_eq!(suspected, Vec::<u64>::new());
}

#[rstest]
#[case::fixed(fixed())]
#[case::adaptive(adaptive())]
fn slow_answers_raise_no_suspicion(#[case] mut detector: Box<dyn FailureDetector>) {
    let (_, suspected) = run(&mut *detector, 500, u64::MAX, ms(300));
    assert_eq!(suspected, Vec::<u64>::new());
}

#[rstest]
#[case::fixed(fixed(), 1_410)]
#[case::adaptive(adaptive(), 1_560)]
#[case::self_configuring(self_configuring(), 1_510)]
fn a_lost_neighbour_is_suspected_once(
    #[case] mut detector: Box<dyn FailureDetector>,
    #[case] within_ms: u64,
) {
    let (last_answered_ms, suspected) = run(&mut *detector, 100, 20, ms(3));
    assert_eq!(suspected.len(), 1, "{suspected:?}");
    assert!(detector.is_suspected());
    let elapsed = suspected[0] - last_answered_ms;
    assert!(elapsed <= within_ms, "suspected after {elapsed} ms");
}

#[rstest]
#[case::fixed(fixed())]
#[case::adaptive(adaptive())]
#[case::self_configuring(self_configuring())]
fn an_answer_ends_the_suspicion(#[case] mut detector: Box<dyn FailureDetector>) {
    run(&mut *detector, 100, 20, ms(3));
    let now = ms(60_000);
    detector.record_sent(now, HeartbeatIndex(1_000_000));
    assert_eq!(
        detector.record_answer(now + ms(3), HeartbeatIndex(1_000_000)),
        Some(DetectorChange::Trust)
    );
    assert!(!detector.is_suspected());
}

#[rstest]
#[case::fixed(fixed())]
#[case::adaptive(adaptive())]
#[case::self_configuring(self_configuring())]
fn a_reset_discards_older_heartbeats(#[case] mut detector: Box<dyn FailureDetector>) {
    run(&mut *detector, 50, u64::MAX, ms(3));
    let now = ms(300_000);
    detector.reset(now);
    detector.record_sent(now, HeartbeatIndex(1_000_000));
    assert_eq!(detector.poll(now + ms(1)), None);
    assert!(!detector.is_suspected());
}
