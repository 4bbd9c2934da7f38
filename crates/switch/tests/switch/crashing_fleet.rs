//! Hosts and endpoints under a load of sound requests, while other requests crash the endpoints.
//!
//! Heartbeats are real datagrams on loopback, so these tests run in real time.

use crate::support::{
    CallScript, CallerOutcome, DeadlyCalls, DeadlyCause, TestFleet, read_response,
};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::OnlineRequest;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after the last crash that is allowed from which deadly requests must no longer reach endpoints; after twice this time sound
/// requests must be served.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Number of deadly requests that may reach endpoints after that.
pub const MAX_LATE: usize = 3;
/// Number of hosts and of endpoints.
pub const SIZE: usize = 5;
/// Time from a deadly request to the crash of its endpoint.
pub const CRASH_AFTER: Duration = Duration::from_millis(60);
/// Interval between two deadly requests in the whole fleet.
pub const DEADLY_INTERVAL: Duration = Duration::from_millis(210);
/// Time in which sound requests are counted before the first deadly request.
pub const CALM_TIME: Duration = Duration::from_secs(2);
/// Time after which an ended endpoint is back under another ID.
const RESTART_TIME: Duration = Duration::from_millis(1500);
/// Interval between two sound requests at each host.
const SOUND_INTERVAL: Duration = Duration::from_millis(120);

/// Makes the request with this number for a host.
pub type RequestMaker = Arc<dyn Fn(&SwitchNode, usize) -> OnlineRequest + Send + Sync>;

/// Outcomes of sound requests, with the times at which they were sent.
type SoundOutcomes = Arc<Mutex<Vec<(Instant, CallerOutcome)>>>;

/// Hosts and endpoints that come back under other IDs after they have ended.
pub struct CrashingFleet {
    pub fleet: TestFleet,
    pub hosts: Vec<Arc<SwitchNode>>,
    sound: SoundOutcomes,
    tasks: JoinSet<()>,
}

impl CrashingFleet {
    /// Starts the fleet, and sends sound requests to all hosts until it is dropped.
    pub async fn start(sound_request: RequestMaker) -> Self {
        let fleet = TestFleet::new(SIZE);
        fleet.client.set_default(CallScript::Stream { events: 12 });
        let mut hosts = Vec::new();
        for index in 0..SIZE {
            hosts.push(fleet.spawn(&format!("h{index}")).await);
        }
        sleep(Duration::from_secs(1)).await;
        let mut tasks = JoinSet::new();
        tasks.spawn(restart_endpoints(fleet.clone()));
        let sound = SoundOutcomes::default();
        for (index, host) in hosts.iter().enumerate() {
            let request = sound_request.clone();
            tasks.spawn(send_sound_requests(
                host.clone(),
                index,
                request,
                sound.clone(),
            ));
        }
        sleep(CALM_TIME).await;
        Self {
            fleet,
            hosts,
            sound,
            tasks,
        }
    }

    /// Lets requests crash endpoints, and sends such requests to all hosts until the fleet is dropped.
    pub fn send_deadly(&mut self, cause: DeadlyCause, deadly_request: RequestMaker) {
        self.fleet.client.set_deadly(Some(DeadlyCalls {
            cause,
            crash_after: CRASH_AFTER,
        }));
        let hosts = self.hosts.clone();
        self.tasks.spawn(async move {
            let mut sent = JoinSet::new();
            for number in 0.. {
                let host = hosts[number % hosts.len()].clone();
                let request = deadly_request(&host, number);
                sent.spawn(async move { read_response(&host, request).await });
                sleep(DEADLY_INTERVAL).await;
            }
        });
    }

    /// Waits until this many endpoints have ended, or for `limit`. Returns when the last of them did.
    pub async fn wait_for_crashes(&self, count: usize, limit: Duration) -> Instant {
        let mut ended = self.fleet.client.ended();
        let until = Instant::now() + limit;
        let mut last = Instant::now();
        while ended.borrow_and_update().len() < count {
            tokio::select! {
                _ = ended.changed() => last = Instant::now(),
                () = sleep_until(until) => break,
            }
        }
        last
    }

    /// Number of calls with this cause that reached endpoints after `since`.
    pub fn calls_since(&self, cause: DeadlyCause, since: Instant) -> usize {
        let calls = self.fleet.client.calls();
        let late = calls.iter().filter(|call| call.at > since);
        late.filter(|call| cause.is_in(call)).count()
    }

    /// Share of the sound requests from `from` to `to` that were answered at the first attempt.
    pub fn sound_share(&self, from: Instant, to: Instant) -> f64 {
        let outcomes = self.sound.lock().unwrap();
        let sent = outcomes.iter().filter(|(at, _)| (from..to).contains(at));
        let (mut count, mut answered) = (0_u32, 0_u32);
        for (_, outcome) in sent {
            count += 1;
            answered += u32::from(matches!(outcome, CallerOutcome::Complete(_)));
        }
        assert!(count >= 20, "{count} sound requests");
        f64::from(answered) / f64::from(count)
    }
}

impl CrashingFleet {
    /// Number of sound requests from `from` on that were rejected.
    pub fn rejected_since(&self, from: Instant) -> usize {
        let outcomes = self.sound.lock().unwrap();
        let sent = outcomes.iter().filter(|(at, _)| *at >= from);
        sent.filter(|(_, outcome)| *outcome == CallerOutcome::Rejected)
            .count()
    }
}

/// Lists a successor of each endpoint that has ended, after a while.
async fn restart_endpoints(fleet: TestFleet) {
    let mut ended = fleet.client.ended();
    let mut handled = 0;
    let mut restarts = JoinSet::new();
    while ended.changed().await.is_ok() {
        let ids = ended.borrow_and_update().clone();
        for (number, id) in ids.into_iter().enumerate().skip(handled) {
            let fleet = fleet.clone();
            restarts.spawn(async move {
                sleep(RESTART_TIME).await;
                fleet.log.put("endpoints", &id, "");
                let successor = format!("successor-{number}");
                fleet.log.put("endpoints", &successor, "ready");
            });
            handled = number + 1;
        }
    }
}

/// Sends sound requests to the host with this index.
async fn send_sound_requests(
    host: Arc<SwitchNode>,
    index: usize,
    sound_request: RequestMaker,
    outcomes: SoundOutcomes,
) {
    let mut sent = JoinSet::new();
    for count in 0.. {
        let (host, outcomes) = (host.clone(), outcomes.clone());
        let request = sound_request(&host, index + count * SIZE);
        sent.spawn(async move {
            let at = Instant::now();
            let outcome = read_response(&host, request).await;
            outcomes.lock().unwrap().push((at, outcome));
        });
        sleep(SOUND_INTERVAL).await;
    }
}
