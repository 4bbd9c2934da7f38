//! Compares failure detectors for hosts on a model of heartbeats in virtual time.
//!
//! Three neighbours watch one host. The network is quiet most of the time, has bursts of load and
//! loses messages; the host pauses now and then. One part counts wrong suspicions of a host that
//! never fails, the other measures the time to suspect a host that does. In the variant with long
//! pauses, one pause in ten lasts three times as long. The seeds are fixed.

use fulmarswitch_decide::detector::{
    AdaptiveDetector, AdaptiveSettings, FailureDetector, FixedDetector, HeartbeatIndex,
    SelfConfiguringDetector, SelfConfiguringSettings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Step of the virtual clock.
const TICK: Duration = Duration::from_millis(5);
/// Number of neighbours that watch a host, whatever the number of hosts.
const WATCHERS: usize = 3;
/// Number of watchers that must suspect a host at the same time before it is declared lost.
const SUSPICION_QUORUM: usize = 2;
/// Largest size on the wire of a heartbeat and its answer: envelopes of 65 and 7 bytes with host
/// names of twenty letters, 12 bytes of framing each, and 52 bytes of TCP and IP headers for each
/// of the two messages and their acknowledgements.
const EXCHANGE_BYTES: f64 = 320.0;
/// Length of the run without failures, in virtual hours.
const STEADY_HOURS: u32 = 200;
/// Number of failures whose detection time is measured.
const FAILURES: u32 = 1_000;
/// Virtual time before each failure.
const WARM_UP: Duration = Duration::from_mins(2);
/// Virtual time after which a failure counts as undetected.
const DETECTION_DEADLINE: Duration = Duration::from_secs(10);
/// Length of a pause of the host.
const PAUSE: Duration = Duration::from_millis(300);
/// Length of a long pause, which is one in [`LONG_PAUSE_EVERY`].
const LONG_PAUSE: Duration = Duration::from_millis(900);
/// Number of pauses of which one is long.
const LONG_PAUSE_EVERY: u32 = 10;
/// Number of rows that are computed in parallel.
const THREADS: usize = 4;
/// Mean time between pauses of the host.
const BETWEEN_PAUSES: Duration = Duration::from_mins(2);
/// Mean length of a burst of load.
const BURST: Duration = Duration::from_secs(5);
/// Mean time between bursts of load.
const BETWEEN_BURSTS: Duration = Duration::from_mins(1);

/// Model of the network and the watched host.
struct HostModel {
    rng: SmallRng,
    burst: bool,
    paused_until: Duration,
    crashed: bool,
    long_pauses: bool,
}

impl HostModel {
    fn new(seed: u64, long_pauses: bool) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            burst: false,
            paused_until: Duration::ZERO,
            crashed: false,
            long_pauses,
        }
    }

    fn tick(&mut self, now: Duration) {
        let mean = if self.burst { BURST } else { BETWEEN_BURSTS };
        if self.occurs(mean) {
            self.burst = !self.burst;
        }
        if self.occurs(BETWEEN_PAUSES) {
            let long = self.long_pauses && self.rng.random_ratio(1, LONG_PAUSE_EVERY);
            self.paused_until = now + if long { LONG_PAUSE } else { PAUSE };
        }
    }

    fn occurs(&mut self, mean: Duration) -> bool {
        self.rng.random::<f64>() < TICK.as_secs_f64() / mean.as_secs_f64()
    }

    /// Returns the delivery time of one message; `None` if it is lost.
    fn delivery_time(&mut self) -> Option<Duration> {
        let (loss, spread_s) = if self.burst {
            (0.02, 0.030)
        } else {
            (0.001, 0.000_2)
        };
        if self.rng.random::<f64>() < loss {
            return None;
        }
        let spread = -(1.0 - self.rng.random::<f64>()).ln() * spread_s;
        Some(Duration::from_millis(1) + Duration::from_secs_f64(spread))
    }

    /// Returns when the answer to a heartbeat sent now arrives; `None` if it does not.
    fn answer_at(&mut self, now: Duration) -> Option<Duration> {
        let reached = now + self.delivery_time()?;
        if self.crashed {
            return None;
        }
        let answered = reached.max(self.paused_until);
        Some(answered + self.delivery_time()?)
    }
}

/// Model of a watcher: a detector and the answers in flight to it.
struct WatcherModel {
    detector: Box<dyn FailureDetector>,
    answers: Vec<(Duration, HeartbeatIndex)>,
    next_send: Duration,
    heartbeats: u64,
    suspected_at: Duration,
    mistakes: u32,
    mistaken: Duration,
}

impl WatcherModel {
    fn new(detector: Box<dyn FailureDetector>, offset: Duration) -> Self {
        Self {
            detector,
            answers: Vec::new(),
            next_send: offset,
            heartbeats: 0,
            suspected_at: Duration::ZERO,
            mistakes: 0,
            mistaken: Duration::ZERO,
        }
    }

    fn tick(&mut self, now: Duration, model: &mut HostModel) {
        self.answers.sort_unstable();
        while self.answers.first().is_some_and(|(at, _)| *at <= now) {
            let (at, heartbeat) = self.answers.remove(0);
            if self.detector.record_answer(at, heartbeat).is_some() {
                self.mistaken += at.saturating_sub(self.suspected_at);
            }
        }
        if self.detector.poll(now).is_some() {
            self.mistakes += 1;
            self.suspected_at = now;
        }
        if now >= self.next_send {
            let heartbeat = HeartbeatIndex(self.heartbeats);
            self.heartbeats += 1;
            self.detector.record_sent(now, heartbeat);
            self.answers
                .extend(model.answer_at(now).map(|at| (at, heartbeat)));
            self.next_send = now + self.detector.period();
        }
    }
}

type DetectorFactory = fn() -> Box<dyn FailureDetector>;

fn watchers(make_detector: DetectorFactory, rng: &mut SmallRng) -> Vec<WatcherModel> {
    (0..WATCHERS)
        .map(|_| {
            WatcherModel::new(
                make_detector(),
                Duration::from_millis(rng.random_range(0..250)),
            )
        })
        .collect()
}

fn is_down_by_quorum(watchers: &[WatcherModel]) -> bool {
    let suspecting = watchers.iter().filter(|w| w.detector.is_suspected());
    suspecting.count() >= SUSPICION_QUORUM
}

/// Results of the run without failures. A false down is a quorum of suspicions of the live host.
struct SteadyResult {
    mistakes_per_hour: f64,
    mistake_ms: f64,
    availability: f64,
    false_downs_per_hour: f64,
    bytes_per_second: f64,
}

fn run_steady(make_detector: DetectorFactory, long_pauses: bool, seed: u64) -> SteadyResult {
    let mut model = HostModel::new(seed, long_pauses);
    let mut rng = SmallRng::seed_from_u64(seed + 1);
    let mut watchers = watchers(make_detector, &mut rng);
    let end = Duration::from_hours(1) * STEADY_HOURS;
    let mut now = Duration::ZERO;
    let mut was_down = false;
    let mut false_downs = 0_u32;
    while now < end {
        model.tick(now);
        for watcher in &mut watchers {
            watcher.tick(now, &mut model);
        }
        let is_down = is_down_by_quorum(&watchers);
        false_downs += u32::from(is_down && !was_down);
        was_down = is_down;
        now += TICK;
    }
    let mistakes: u32 = watchers.iter().map(|w| w.mistakes).sum();
    let mistaken_time: Duration = watchers.iter().map(|w| w.mistaken).sum();
    let heartbeats: f64 = watchers
        .iter()
        .map(|w| f64::from(u32::try_from(w.heartbeats).unwrap_or(u32::MAX)))
        .sum();
    let watched_hours = f64::from(STEADY_HOURS) * 3.0;
    SteadyResult {
        mistakes_per_hour: f64::from(mistakes) / watched_hours,
        mistake_ms: mistaken_time.as_secs_f64() * 1_000.0 / f64::from(mistakes.max(1)),
        availability: 1.0 - mistaken_time.as_secs_f64() / (watched_hours * 3_600.0),
        false_downs_per_hour: f64::from(false_downs) / f64::from(STEADY_HOURS),
        // A host pays for the exchanges that it starts and for as many that its watchers start.
        bytes_per_second: 2.0 * heartbeats * EXCHANGE_BYTES / end.as_secs_f64(),
    }
}

/// Returns the times until two watchers suspect the host, sorted.
fn run_failures(make_detector: DetectorFactory, seed: u64) -> Vec<Duration> {
    let mut times: Vec<Duration> = (0..FAILURES)
        .map(|at| time_failure(make_detector, seed + u64::from(at)))
        .collect();
    times.sort_unstable();
    times
}

fn time_failure(make_detector: DetectorFactory, seed: u64) -> Duration {
    let mut model = HostModel::new(seed, false);
    let mut rng = SmallRng::seed_from_u64(seed + 1_000_000);
    let mut watchers = watchers(make_detector, &mut rng);
    let failure = WARM_UP + Duration::from_millis(rng.random_range(0..2_000));
    let mut now = Duration::ZERO;
    while now < failure + DETECTION_DEADLINE {
        model.tick(now);
        model.crashed = now >= failure;
        for watcher in &mut watchers {
            watcher.tick(now, &mut model);
        }
        if model.crashed && is_down_by_quorum(&watchers) {
            return now.saturating_sub(failure);
        }
        now += TICK;
    }
    DETECTION_DEADLINE
}

fn fixed(period_ms: u64, timeout_ms: u64) -> Box<dyn FailureDetector> {
    let period = Duration::from_millis(period_ms);
    Box::new(FixedDetector::new(
        period,
        Duration::from_millis(timeout_ms),
    ))
}

fn adaptive(
    period_ms: u64,
    min_timeout_ms: u64,
    tolerated_losses: u32,
) -> Box<dyn FailureDetector> {
    Box::new(AdaptiveDetector::new(AdaptiveSettings {
        period: Duration::from_millis(period_ms),
        min_timeout: Duration::from_millis(min_timeout_ms),
        max_timeout: Duration::from_millis(1_500),
        tolerated_losses,
    }))
}

fn self_configuring(detection_ms: u64, target_utilization: f64) -> Box<dyn FailureDetector> {
    Box::new(SelfConfiguringDetector::new(SelfConfiguringSettings {
        max_detection_time: Duration::from_millis(detection_ms),
        max_mistake_duration: Duration::from_millis(500),
        min_mistake_recurrence: Duration::from_hours(24),
        target_utilization,
        min_period: Duration::from_millis(213),
    }))
}

fn main() {
    let rows: Vec<(&str, DetectorFactory)> = vec![
        ("fixed 250/1200 ms", || fixed(250, 1_200)),
        ("fixed 500/1200 ms", || fixed(500, 1_200)),
        ("fixed 400/1000 ms", || fixed(400, 1_000)),
        ("fixed 400/1200 ms", || fixed(400, 1_200)),
        ("fixed 400/1400 ms", || fixed(400, 1_400)),
        ("adaptive 250, floor 0, no loss", || adaptive(250, 0, 0)),
        ("adaptive 250, floor 350, 1 loss", || adaptive(250, 350, 1)),
        ("adaptive 400, floor 350, 1 loss", || adaptive(400, 350, 1)),
        ("adaptive 400, floor 700, 1 loss", || adaptive(400, 700, 1)),
        ("adaptive 400, floor 350, 2 losses", || {
            adaptive(400, 350, 2)
        }),
        ("self-configuring 1500 ms, rc 0.5", || {
            self_configuring(1_500, 0.5)
        }),
        ("self-configuring 1000 ms, rc 0.8", || {
            self_configuring(1_000, 0.8)
        }),
    ];
    println!(
        "{:<34} {:>7} {:>7} {:>7} {:>10} {:>8} {:>9} {:>10} {:>12} {:>11} {:>7}",
        "detector",
        "p50 ms",
        "p99 ms",
        "max ms",
        "mistakes/h",
        "dur ms",
        "avail",
        "downs/d 12",
        "downs/d 2300",
        "long pauses",
        "B/s"
    );
    for part in rows.chunks(THREADS) {
        let lines: Vec<String> = std::thread::scope(|scope| {
            let running: Vec<_> = part
                .iter()
                .map(|(name, make_detector)| scope.spawn(|| run_row(name, *make_detector)))
                .collect();
            running
                .into_iter()
                .filter_map(|row| row.join().ok())
                .collect()
        });
        for line in lines {
            println!("{line}");
        }
    }
    println!("{STEADY_HOURS} hours of one host and {FAILURES} failures a row");
}

fn run_row(name: &str, make_detector: DetectorFactory) -> String {
    let steady = run_steady(make_detector, false, 11);
    let paused = run_steady(make_detector, true, 12);
    let times = run_failures(make_detector, 1_000);
    let percentile = |part: usize| times[(times.len() - 1) * part / 100].as_millis();
    // False downs a day are scaled to systems of 12 and of 2,300 hosts.
    let false_downs_per_day = steady.false_downs_per_hour * 24.0;
    format!(
        "{name:<34} {:>7} {:>7} {:>7} {:>10.3} {:>8.0} {:>9.6} {:>10.1} {:>12.0} {:>11.0} {:>7.0}",
        percentile(50),
        percentile(99),
        percentile(100),
        steady.mistakes_per_hour,
        steady.mistake_ms,
        steady.availability,
        false_downs_per_day * 12.0,
        false_downs_per_day * 2_300.0,
        paused.false_downs_per_hour * 24.0 * 2_300.0,
        steady.bytes_per_second,
    )
}
