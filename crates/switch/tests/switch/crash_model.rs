//! A model of a fleet whose endpoints crash, under deadly requests and for other causes, with what the hosts together conclude from it.
//!
//! Time is simulated, and all reports arrive at once: the model shows what the evidence tells, not how it travels.

use crate::support::listed;
use bytes::Bytes;
use fulmarswitch_switch::backend::EndpointCall;
use fulmarswitch_switch::crashes::{BrokenRequest, CrashId, CrashRecords};
use fulmarswitch_switch::endpoint::ListedEndpoint;
use fulmarswitch_switch::prompt::{PartKey, PromptParts};
use fulmarswitch_switch::quarantine::{Admission, QuarantineTable};
use http::{HeaderMap, Method};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use tokio::time::Instant;

/// Number of runs of each case, with consecutive seeds.
const RUNS: u64 = 25;
/// Time that is simulated.
const DAY: Duration = Duration::from_secs(30);
/// When the deadly request comes for the first time.
const DEADLY_START: Duration = Duration::from_secs(3);
/// Number of crashes under the deadly request after which it must no longer be sent, later than the stable window.
const ALLOWED_CRASHES: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Number of times that it may be sent after that.
const MAX_LATE: usize = 3;
/// Time from a crash until the host that sees it knows that its endpoint refuses connections.
const CHECK_TIME: Duration = Duration::from_millis(30);
/// Interval at which conclusions are drawn.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Numbers of first and of second parts of sound prompts.
const FIRST_PARTS: u32 = 44;
const SECOND_PARTS: u32 = 910;
/// Requests a second at one endpoint.
const REQUESTS_PER_ENDPOINT: f64 = 4.7;

/// A fleet and what goes wrong in it.
#[derive(Clone, Copy, Debug)]
struct ModelPlan {
    endpoints: u32,
    /// Whether one request crashes endpoints and its caller sends it again.
    has_deadly: bool,
    /// Attempts at each request of a caller.
    attempts: u32,
    /// Crashes of other causes a second.
    other_crashes: f64,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
struct ModelResult {
    deadly_crashes: usize,
    /// Deadly requests that were sent later than allowed.
    late: usize,
    sound: usize,
    /// Sound requests that were not sent because of crashes.
    turned_away: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    /// A new sound request, or one that its caller sends again.
    Sound {
        number: u64,
        attempt: u32,
    },
    /// The deadly request comes, for the attempt with this number.
    Deadly {
        attempt: u32,
    },
    /// The endpoint ends, unless it has been started again.
    Crash {
        endpoint: usize,
        start: u64,
        is_deadly: bool,
    },
    OtherCrash,
    Restart {
        endpoint: usize,
    },
    /// The hosts know of a crash.
    Learn {
        crash: usize,
    },
    /// An answer is complete, unless its endpoint has ended.
    Answer {
        number: u64,
        endpoint: usize,
        start: u64,
    },
    Update,
}

/// A request that an endpoint runs.
struct ModelRun {
    /// Number of the sound request; `None` for the deadly one.
    number: Option<u64>,
    attempt: u32,
    sent_at: Instant,
}

#[derive(Default)]
struct ModelEndpoint {
    start: u64,
    is_down: bool,
    runs: Vec<ModelRun>,
}

struct CrashModel {
    plan: ModelPlan,
    rng: SmallRng,
    origin: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64, ModelEvent)>>,
    queued: u64,
    endpoints: Vec<ModelEndpoint>,
    crashes: Vec<(CrashId, Instant, Vec<BrokenRequest>)>,
    records: CrashRecords,
    table: QuarantineTable,
    /// When the deadly request must no longer be sent.
    late_from: Option<Instant>,
    result: ModelResult,
}

/// What a request leaves when it breaks off. The deadly one has the parts of sound requests.
fn suspects(number: Option<u64>) -> PromptParts {
    let id = number.map_or_else(|| "deadly".to_owned(), |number| number.to_string());
    let mut rng = SmallRng::seed_from_u64(number.unwrap_or(7));
    let parts: PromptParts = [
        format!("1{:04}", rng.random_range(..FIRST_PARTS)),
        format!("2{:04}", rng.random_range(..SECOND_PARTS)),
    ]
    .iter()
    .map(|part| PartKey::of(part))
    .collect();
    parts.with_request(PartKey::of_request(&EndpointCall {
        id: "r".into(),
        method: Method::POST,
        host: "host".into(),
        target: "/stream/x".into(),
        headers: HeaderMap::new(),
        body: Bytes::from(id),
        workspace: None,
    }))
}

impl CrashModel {
    fn new(plan: ModelPlan, seed: u64) -> Self {
        let origin = Instant::now();
        let mut model = Self {
            plan,
            rng: SmallRng::seed_from_u64(seed),
            origin,
            now: origin,
            queue: BinaryHeap::new(),
            queued: 0,
            endpoints: (0..plan.endpoints)
                .map(|_| ModelEndpoint::default())
                .collect(),
            crashes: Vec::new(),
            records: CrashRecords::default(),
            table: QuarantineTable::default(),
            late_from: None,
            result: ModelResult::default(),
        };
        model.push(
            Duration::ZERO,
            ModelEvent::Sound {
                number: 0,
                attempt: 1,
            },
        );
        model.push(UPDATE_INTERVAL, ModelEvent::Update);
        if plan.has_deadly {
            model.push(DEADLY_START, ModelEvent::Deadly { attempt: 1 });
        }
        if plan.other_crashes > 0.0 {
            model.push(DEADLY_START, ModelEvent::OtherCrash);
        }
        model
    }

    fn push(&mut self, after: Duration, event: ModelEvent) {
        self.queued += 1;
        self.queue
            .push(Reverse((self.now + after, self.queued, event)));
    }

    fn run(mut self) -> ModelResult {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > self.origin + DAY {
                break;
            }
            self.now = at;
            self.apply(event);
        }
        self.result
    }

    /// Time between two events that come at random, `rate` of them a second.
    fn interval(&mut self, rate: f64) -> Duration {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        Duration::from_secs_f64(-draw.ln() / rate)
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn apply(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Sound { number, attempt } => self.begin_sound(number, attempt),
            ModelEvent::Deadly { attempt } => self.begin_deadly(attempt),
            ModelEvent::Crash {
                endpoint,
                start,
                is_deadly,
            } => {
                self.crash(endpoint, start, is_deadly);
            }
            ModelEvent::OtherCrash => {
                let endpoint = self.rng.random_range(..self.endpoints.len());
                let start = self.endpoints[endpoint].start;
                self.crash(endpoint, start, false);
                let pause = self.interval(self.plan.other_crashes);
                self.push(pause, ModelEvent::OtherCrash);
            }
            ModelEvent::Restart { endpoint } => {
                self.endpoints[endpoint].start += 1;
                self.endpoints[endpoint].is_down = false;
            }
            ModelEvent::Learn { crash } => {
                let (id, at, requests) = self.crashes[crash].clone();
                self.records.record(id, None, at, requests, self.now);
            }
            ModelEvent::Answer {
                number,
                endpoint,
                start,
            } => self.answer(number, endpoint, start),
            ModelEvent::Update => {
                self.table.update(&self.records, |_| false, self.now);
                self.push(UPDATE_INTERVAL, ModelEvent::Update);
            }
        }
    }

    /// The endpoint with the fewest requests, and a random one of several.
    fn pick(&mut self) -> Option<usize> {
        let up = (0..self.endpoints.len()).filter(|index| !self.endpoints[*index].is_down);
        let up: Vec<usize> = up.collect();
        let draws: Vec<u32> = up.iter().map(|_| self.rng.random()).collect();
        let best = up.iter().zip(draws);
        let best = best.min_by_key(|(index, draw)| (self.endpoints[**index].runs.len(), *draw));
        best.map(|(index, _)| *index)
    }

    fn is_admitted(&mut self, number: Option<u64>) -> bool {
        let admission = self.table.admit(&suspects(number), self.now, |_, _| true);
        !matches!(admission, Admission::Rejected { .. })
    }

    fn begin_sound(&mut self, number: u64, attempt: u32) {
        if attempt == 1 {
            let rate = REQUESTS_PER_ENDPOINT * f64::from(self.plan.endpoints);
            let pause = self.interval(rate);
            let next = ModelEvent::Sound {
                number: number + 1,
                attempt: 1,
            };
            self.push(pause, next);
            self.result.sound += 1;
        }
        if !self.is_admitted(Some(number)) {
            self.result.turned_away += 1;
            return;
        }
        let Some(endpoint) = self.pick() else {
            return;
        };
        let start = self.endpoints[endpoint].start;
        self.begin_run(endpoint, Some(number), attempt);
        let run = self.millis(250..1100);
        self.push(
            run,
            ModelEvent::Answer {
                number,
                endpoint,
                start,
            },
        );
    }

    fn begin_deadly(&mut self, attempt: u32) {
        if attempt == 1 {
            let pause = self.millis(150..2000);
            self.push(pause, ModelEvent::Deadly { attempt: 1 });
        }
        if !self.is_admitted(None) {
            return;
        }
        let Some(endpoint) = self.pick() else {
            return;
        };
        if self.late_from.is_some_and(|from| self.now > from) {
            self.result.late += 1;
        }
        let start = self.endpoints[endpoint].start;
        self.begin_run(endpoint, None, attempt);
        let run = self.millis(30..150);
        self.push(
            run,
            ModelEvent::Crash {
                endpoint,
                start,
                is_deadly: true,
            },
        );
    }

    fn begin_run(&mut self, endpoint: usize, number: Option<u64>, attempt: u32) {
        let run = ModelRun {
            number,
            attempt,
            sent_at: self.now,
        };
        self.endpoints[endpoint].runs.push(run);
    }

    fn crash(&mut self, endpoint: usize, start: u64, is_deadly: bool) {
        let ended = &mut self.endpoints[endpoint];
        if ended.is_down || ended.start != start {
            return;
        }
        ended.is_down = true;
        let runs = std::mem::take(&mut ended.runs);
        let restart = self.millis(1000..4000);
        self.push(restart, ModelEvent::Restart { endpoint });
        if is_deadly {
            self.result.deadly_crashes += 1;
            if self.result.deadly_crashes == ALLOWED_CRASHES {
                self.late_from = Some(self.now + STABLE_WINDOW);
            }
        }
        let listed = ListedEndpoint {
            started_ms: start,
            ..listed(&endpoint.to_string(), 8, false)
        };
        let broken = runs.iter().map(|run| BrokenRequest {
            parts: suspects(run.number),
            sent_at: run.sent_at,
        });
        let crash = (CrashId::of(&listed), self.now, broken.collect());
        self.crashes.push(crash);
        self.push(
            CHECK_TIME,
            ModelEvent::Learn {
                crash: self.crashes.len() - 1,
            },
        );
        for run in runs {
            self.send_again(&run);
        }
    }

    /// The host sends a request again at once, as often as it may, and after that the caller does.
    fn send_again(&mut self, run: &ModelRun) {
        let attempt = run.attempt + 1;
        let is_host = attempt <= self.plan.attempts;
        let after = if is_host {
            self.millis(1..6)
        } else {
            self.millis(20..900)
        };
        match run.number {
            Some(number) if is_host || attempt <= self.plan.attempts * 2 => {
                self.push(after, ModelEvent::Sound { number, attempt });
            }
            None if is_host => self.push(after, ModelEvent::Deadly { attempt }),
            _ => {}
        }
    }

    fn answer(&mut self, number: u64, endpoint: usize, start: u64) {
        let endpoint = &mut self.endpoints[endpoint];
        let runs = &mut endpoint.runs;
        let found = runs.iter().position(|run| run.number == Some(number));
        let Some(index) = found.filter(|_| endpoint.start == start) else {
            return;
        };
        let run = runs.swap_remove(index);
        let table = &self.table;
        let since = |part| table.suspected_since(part);
        let parts = suspects(Some(number));
        let shown = self
            .records
            .record_sound(&parts, run.sent_at, self.now, since);
        for part in shown {
            self.table.remove_sound(part, self.now, self.now);
        }
    }
}

/// Guards against a request that goes on being sent after it has crashed three endpoints (BUDGET), and against sound requests that are
/// turned away beside it or after crashes of other causes.
#[rstest]
#[case::one_attempt(12, true, 1, 0.0)]
#[case::two_attempts(12, true, 2, 0.0)]
#[case::three_attempts(12, true, 3, 0.0)]
#[case::beside_other_crashes(12, true, 2, 0.5)]
#[case::few_endpoints(4, true, 2, 0.0)]
#[case::many_endpoints(100, true, 2, 0.5)]
#[case::other_crashes_alone(12, false, 2, 1.0)]
fn deadly_request_is_told_from_sound_ones(
    #[case] endpoints: u32,
    #[case] has_deadly: bool,
    #[case] attempts: u32,
    #[case] other_crashes: f64,
) {
    let plan = ModelPlan {
        endpoints,
        has_deadly,
        attempts,
        other_crashes,
    };
    // More runs by hand.
    let runs = std::env::var("CRASH_MODEL_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(RUNS);
    let results: Vec<ModelResult> = (0..runs)
        .map(|seed| CrashModel::new(plan, seed).run())
        .collect();
    let sum = |count: fn(&ModelResult) -> usize| results.iter().map(count).sum::<usize>();
    println!(
        "{plan:?}: {} runs, {} crashes under the deadly request, {} sent late, at most {}; {} of {} sound requests turned away in {} runs",
        results.len(),
        sum(|result| result.deadly_crashes),
        sum(|result| result.late),
        results.iter().map(|result| result.late).max().unwrap_or(0),
        sum(|result| result.turned_away),
        sum(|result| result.sound),
        results
            .iter()
            .filter(|result| result.turned_away > 0)
            .count(),
    );
    assert!(results.iter().all(|result| result.late <= MAX_LATE));
    assert_eq!(sum(|result| result.turned_away), 0);
}
