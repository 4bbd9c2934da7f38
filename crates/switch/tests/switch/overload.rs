//! Online requests at several times the capacity of the endpoints: accepted requests must get their first byte in time.

use crate::support::listed;
use fulmarswitch_switch::endpoint::EndpointTable;
use fulmarswitch_switch::load::{EndpointPick, LoadView, RequestClass};
use fulmarswitch_switch::overload::{OverloadTracker, Rejection};
use fulmarswitch_switch::report::{EndpointKey, EndpointReport, RequestCounts};
use fulmarswitch_switch::wait::{ResponseTimes, RunAges, RunStarts};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const ENDPOINTS: usize = 9;
const SLOTS: u32 = 8;
/// Time to the first byte of a request that gets a slot at once.
const FIRST_BYTE: Duration = Duration::from_millis(70);
/// Latency target, measured to the first byte.
const TARGET: Duration = Duration::from_millis(300);
const MEAN_RUN_MS: f64 = 720.0;
/// Arrivals per millisecond: about three times what the endpoints complete.
const ARRIVALS_PER_MS: f64 = 0.3;
const BURST: Duration = Duration::from_millis(2400);

/// A request at an endpoint of the model.
#[derive(Clone, Copy)]
struct ModelRequest {
    sent: Duration,
    run: Duration,
}

/// An endpoint with slots and a queue in order of arrival.
#[derive(Clone, Default)]
struct ModelEndpoint {
    /// Request in each slot with the time at which it got the slot.
    slots: Vec<(ModelRequest, Duration)>,
    queue: VecDeque<ModelRequest>,
}

/// Endpoints, and the view of the only host.
struct OverloadModel {
    table: EndpointTable,
    view: LoadView,
    origin: Instant,
    endpoints: Vec<ModelEndpoint>,
    rng: SmallRng,
    /// Times to the first byte of accepted requests.
    first_bytes: Vec<Duration>,
}

fn id(endpoint: usize) -> String {
    format!("e{endpoint}")
}

impl OverloadModel {
    fn new(seed: u64) -> Self {
        let mut table = EndpointTable::default();
        for endpoint in 0..ENDPOINTS {
            table.set(listed(&id(endpoint), SLOTS, false));
        }
        let mut view = LoadView::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        // Before the burst the host has served runs of the usual length, and one in five that took no time.
        for _ in 0..200 {
            let run = run_time(&mut rng);
            view.record_response(Some(FIRST_BYTE), run);
            if rng.random_bool(0.2) {
                view.record_response(Some(Duration::from_millis(2)), Duration::ZERO);
            }
        }
        Self {
            table,
            view,
            origin: Instant::now(),
            endpoints: vec![ModelEndpoint::default(); ENDPOINTS],
            rng,
            first_bytes: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut now = Duration::ZERO;
        while now < BURST * 2 {
            self.advance(now);
            if now < BURST && self.rng.random_bool(ARRIVALS_PER_MS) {
                self.arrive(now);
            }
            now += Duration::from_millis(1);
        }
    }

    /// Ends the runs that are over, and gives their slots to waiting requests.
    fn advance(&mut self, now: Duration) {
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let ended =
                |(request, started): &(ModelRequest, Duration)| *started + request.run <= now;
            for (_, started) in endpoint.slots.iter().filter(|slot| ended(slot)) {
                self.view.finish(&id(index), RequestClass::Online);
                self.view.finish_run(&id(index), self.origin + *started);
            }
            endpoint.slots.retain(|slot| !ended(slot));
            while endpoint.slots.len() < SLOTS as usize
                && let Some(request) = endpoint.queue.pop_front()
            {
                endpoint.slots.push((request, now));
                self.view.begin_run(&id(index), self.origin + now);
                self.first_bytes
                    .push(now.saturating_sub(request.sent) + FIRST_BYTE);
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        let max_wait = TARGET.saturating_sub(FIRST_BYTE).mul_f64(0.75);
        let at = self.origin + now;
        let pick = self
            .view
            .pick_online(&self.table, "service", &[], max_wait, at, &mut self.rng);
        if let EndpointPick::Use(endpoint) = pick {
            let run = run_time(&mut self.rng);
            let index: usize = endpoint.id[1..].parse().unwrap();
            self.view.begin(&endpoint.id, RequestClass::Online);
            self.endpoints[index]
                .queue
                .push_back(ModelRequest { sent: now, run });
        }
    }
}

fn run_time(rng: &mut SmallRng) -> Duration {
    Duration::from_secs_f64(MEAN_RUN_MS / 1000.0 * rng.random_range(0.6..1.4))
}

/// A burst of three times the capacity. Slots fill within 0.3 s, and none frees for another 0.3 s; requests that are
/// accepted in between would all be late.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(start_paused = true)]
async fn accepted_requests_are_in_time_in_a_burst(#[case] seed: u64) {
    let mut model = OverloadModel::new(seed);
    model.run();
    let accepted = model.first_bytes.len();
    let in_time = model.first_bytes.iter().filter(|time| **time <= TARGET);
    let in_time = in_time.count();
    assert!(in_time * 10 >= accepted * 9, "{in_time} of {accepted}");
    // As many are accepted as the endpoints complete in the burst.
    let completed = ENDPOINTS * SLOTS as usize * 2_400 / 720;
    assert!(accepted >= completed, "{accepted} of {completed}");
}

/// The next slot frees after a fraction of a run if the ages of the runs are spread, and after most of a run if all
/// have just started.
#[rstest]
#[case::free_slot(0, 0, 0)]
#[case::spread_ages(1, 400, 100)]
#[case::all_young(1, 40, 730)]
#[case::second_in_the_queue(2, 400, 200)]
fn wait_depends_on_the_ages_of_runs(
    #[case] position: u32,
    #[case] mean_age_ms: u16,
    #[case] expected_ms: u64,
) {
    let mut times = ResponseTimes::default();
    for _ in 0..200 {
        times.record(None, Duration::from_millis(800));
    }
    let ages = RunAges {
        runs: 8,
        mean_ms: mean_age_ms,
    };
    let wait = times.wait(position, 8, ages);
    let difference = wait.abs_diff(Duration::from_millis(expected_ms));
    assert!(difference <= Duration::from_millis(5), "{wait:?}");
}

#[test]
fn runs_are_added_and_removed() {
    let mut starts = RunStarts::default();
    let seconds = Duration::from_secs;
    starts.add(seconds(1));
    starts.add(seconds(3));
    let ages = starts.ages(seconds(4));
    assert_eq!((ages.runs, ages.mean_ms), (2, 2_000));
    starts.remove(seconds(1));
    assert_eq!(starts.ages(seconds(4)).mean_ms, 1_000);
    starts.remove(seconds(3));
    assert_eq!(starts, RunStarts::default());
}

/// A burst that rejects callers faster than the endpoints can serve them on their return: they must not all return
/// at once. The endpoints serve one caller each 100 ms, so of 20 callers at most eight may return within 0.4 s, twice
/// what is served meanwhile.
#[tokio::test(start_paused = true)]
async fn rejected_callers_return_at_the_rate_of_service() {
    let mut tracker = OverloadTracker::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::now();
    let rejection = Rejection {
        wait: Duration::from_millis(250),
        limit: Duration::from_secs(5),
        service_interval: Duration::from_millis(100),
    };
    let mut returns: Vec<Duration> = (0..20)
        .map(|_| tracker.record_rejection(rejection, now, rng.random()))
        .collect();
    returns.sort_unstable();
    let most = returns.iter().map(|first| {
        let window = *first..*first + Duration::from_millis(400);
        returns.iter().filter(|time| window.contains(*time)).count()
    });
    assert!(most.max() <= Some(8), "{returns:?}");
}

/// An overload that lasts longer than any before is not expected to be over at once.
#[tokio::test(start_paused = true)]
async fn long_overload_is_expected_to_go_on() {
    let mut tracker = OverloadTracker::default();
    let started = Instant::now();
    let rejection = Rejection {
        wait: Duration::from_millis(250),
        limit: Duration::from_millis(1500),
        service_interval: Duration::from_millis(100),
    };
    // Overloads are assumed to last for 1 s before one has been observed.
    for step in 0..50_u32 {
        let elapsed = Duration::from_millis(50) * step;
        let retry_after = tracker.record_rejection(rejection, started + elapsed, 0.0);
        let is_longer = elapsed > Duration::from_secs(1);
        assert!(
            !is_longer || retry_after >= elapsed / 2,
            "{retry_after:?} after {elapsed:?}"
        );
    }
}

/// The view of a host that has one online request and two batch items at `e0`, and has measured the usual first byte.
fn view_with_batch(sent: Instant) -> LoadView {
    let mut view = LoadView::default();
    view.record_response(Some(FIRST_BYTE), Duration::from_millis(700));
    view.begin("e0", RequestClass::Online);
    view.begin_wait("e0", sent);
    for _ in 0..2 {
        view.begin("e0", RequestClass::Batch);
    }
    view
}

/// Hosts that are cut off from each other fill the slots of an endpoint without knowing it. A request that gets no first
/// byte shows it: batch items give way to it, no item starts, and later requests expect a wait.
#[tokio::test(start_paused = true)]
async fn batch_gives_way_to_a_request_that_waits_without_a_reason() {
    let sent = Instant::now();
    let mut view = view_with_batch(sent);
    let mut table = EndpointTable::default();
    table.set(listed("e0", SLOTS, false));
    let mut rng = SmallRng::seed_from_u64(1);
    let endpoint = listed("e0", SLOTS, false);
    assert!(!view.update_overdue(sent + FIRST_BYTE));
    assert_eq!(
        view.batch_preemptions("own", &endpoint, sent + FIRST_BYTE),
        0
    );

    let later = sent + FIRST_BYTE * 2;
    assert!(view.update_overdue(later), "one more request is overdue");
    assert!(!view.update_overdue(later));
    assert_eq!(view.batch_preemptions("own", &endpoint, later), 1);
    assert_eq!(
        view.pick_batch(&table, "service", |_| true, later, &mut rng),
        None
    );
    let pick = view.pick_online(&table, "service", &[], Duration::ZERO, later, &mut rng);
    assert!(matches!(pick, EndpointPick::Full { .. }), "{pick:?}");

    view.record_preemption("e0", later);
    assert_eq!(
        view.batch_preemptions("own", &endpoint, later),
        0,
        "one is enough"
    );
    view.finish_wait("e0", sent);
    view.update_overdue(later);
    let next = later + Duration::from_secs(1);
    assert_eq!(view.batch_preemptions("own", &endpoint, next), 0);
}

/// A host preempts its batch items for an overdue request of another host.
#[tokio::test(start_paused = true)]
async fn batch_gives_way_to_an_overdue_request_of_another_host() {
    let now = Instant::now();
    let mut view = view_with_batch(now);
    let report = EndpointReport {
        counts: RequestCounts {
            online: 1,
            batch: 0,
        },
        overdue: 1,
        ..EndpointReport::default()
    };
    let load = vec![(EndpointKey::of("e0"), report)];
    view.update_report(&"peer".into(), load, now);
    let endpoint = listed("e0", SLOTS, false);
    assert_eq!(view.batch_preemptions("own", &endpoint, now), 1);
    view.remove_host(&"peer".into());
    assert_eq!(view.batch_preemptions("own", &endpoint, now), 0);
}
