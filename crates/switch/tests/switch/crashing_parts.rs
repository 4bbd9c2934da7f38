//! Parts of prompts that crash each endpoint which begins to answer a request with them, at several hosts; and what hosts remember of
//! deadly requests when some or all of them are lost.

use crate::crashing_fleet::{
    CALM_TIME, CRASH_AFTER, CrashingFleet, DEADLY_INTERVAL, MAX_LATE, RequestMaker, SIZE,
    STABLE_WINDOW,
};
use crate::support::{
    CallScript, CallerOutcome, DeadlyCalls, DeadlyCause, TestFleet, read_response, request,
    request_with_parts, submission,
};
use fulmarswitch_switch::jobs::SubmitReply;
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::OnlineRequest;
use fulmarswitch_switch::prompt::PartKey;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep, sleep_until};

/// Number of crashes after which requests with a part must stop.
const CRASHES: usize = 5;
/// Number of crashes that suffice if each endpoint ended within [`BEGIN_TIME`] of the request.
const MIN_CRASHES: usize = 3;
const BEGIN_TIME: Duration = Duration::from_millis(250);
/// The part that crashes endpoints.
const DEADLY: &str = "dead";
/// First part that sound requests have.
const FIRST: &str = "f0";

fn deadly_part() -> DeadlyCause {
    DeadlyCause::Part(PartKey::of(DEADLY))
}

/// Position of the part in the prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Before parts of sound requests.
    First,
    /// After the first part that sound requests have.
    SecondAfterSame,
    /// After different first parts, which other sound requests have.
    SecondAfterAny,
}

impl Position {
    /// Prompt of the request with the part that has this number.
    fn deadly_prompt(self, number: usize) -> Vec<String> {
        match self {
            Self::First => vec![DEADLY.to_owned(), format!("5{}", number % 4)],
            Self::SecondAfterSame => vec![FIRST.to_owned(), DEADLY.to_owned()],
            Self::SecondAfterAny => vec![format!("f{}", number % 4), DEADLY.to_owned()],
        }
    }

    /// Makes requests with the part.
    fn deadly_requests(self, path: &'static str) -> RequestMaker {
        Arc::new(move |host, number| {
            let prompt = self.deadly_prompt(number);
            request_with_parts(host, path, &format!("deadly-{number}"), &prompt)
        })
    }
}

/// Makes sound requests, whose parts many others have.
fn sound_requests() -> RequestMaker {
    Arc::new(|host, number| {
        let prompt = [FIRST.to_owned(), format!("5{}", number % 4)];
        request_with_parts(host, "/stream/x", &format!("sound-{number}"), &prompt)
    })
}

/// Guards against requests that go on being sent to endpoints after a part of their prompts has crashed five of them
/// (BUDGET), and against sound requests that are turned away because they share another part with these (LOST).
#[rstest]
#[case::stream_first("/stream/x", Position::First)]
#[case::stream_second("/stream/x", Position::SecondAfterSame)]
#[case::stream_second_after_any("/stream/x", Position::SecondAfterAny)]
#[case::retried("/safe/x", Position::SecondAfterSame)]
#[case::resumed("/resume/x", Position::SecondAfterSame)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_that_crashes_endpoints_is_no_longer_sent(
    #[case] path: &'static str,
    #[case] position: Position,
) {
    let mut fleet = CrashingFleet::start(sound_requests()).await;
    let calm_until = Instant::now();
    fleet.send_deadly(deadly_part(), position.deadly_requests(path));
    let limit = DEADLY_INTERVAL * 40;
    let last_crash = fleet.wait_for_crashes(CRASHES, limit).await;
    sleep_until(last_crash + STABLE_WINDOW * 2).await;
    let sound_from = Instant::now();
    sleep(Duration::from_secs(3)).await;
    let late = fleet.calls_since(deadly_part(), last_crash + STABLE_WINDOW);
    assert!(late <= MAX_LATE, "{late} requests reached endpoints");
    let calm = fleet.sound_share(calm_until - CALM_TIME, calm_until);
    let sound = fleet.sound_share(sound_from, Instant::now() - Duration::from_secs(1));
    assert!(sound >= calm / 2.0, "{sound} answered, {calm} before");
}

/// Guards against items that go on being sent to endpoints after a part of their prompts has crashed five of them (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_whose_part_crashes_endpoints_are_no_longer_sent() {
    let mut fleet = CrashingFleet::start(sound_requests()).await;
    fleet.send_deadly(deadly_part(), Position::First.deadly_requests("/stream/x"));
    let mut job = submission("deadly", 4);
    for item in &mut job.items {
        item.headers.push(("parts".into(), DEADLY.into()));
    }
    assert_eq!(fleet.hosts[0].submit_job(job).await, SubmitReply::Done);
    let last_crash = fleet.wait_for_crashes(CRASHES, DEADLY_INTERVAL * 40).await;
    sleep_until(last_crash + STABLE_WINDOW * 2).await;
    let late = fleet.calls_since(deadly_part(), last_crash + STABLE_WINDOW);
    assert!(late <= MAX_LATE, "{late} requests reached endpoints");
}

/// What the requests that crash endpoints have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Common {
    /// A part of their prompts, and nothing else.
    Part,
    /// All but their IDs. They have no parts.
    Request,
}

/// Number of calls to endpoints.
fn calls(fleet: &TestFleet) -> usize {
    fleet.client.calls().len()
}

/// Sends a deadly request to a host.
async fn send_deadly_to(host: &Arc<SwitchNode>, common: Common) -> CallerOutcome {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let id = format!("deadly-{number}");
    let mut request = match common {
        Common::Part => {
            let prompt = Position::SecondAfterSame.deadly_prompt(0);
            request_with_parts(host, "/stream/x", &id, &prompt)
        }
        Common::Request => request(host, "/stream/x", &id),
    };
    if common == Common::Part {
        request.call.body = id.into();
    }
    read_response(host, request).await
}

/// Starts hosts on a runtime of their own, whose end loses them all at once.
fn spawn_hosts(fleet: &TestFleet, names: &[&'static str]) -> (Runtime, Vec<Arc<SwitchNode>>) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let hosts = names.iter().copied().map(|name| {
        let fleet = fleet.clone();
        let (sender, receiver) = std::sync::mpsc::channel();
        runtime.spawn(async move {
            let _ = sender.send(fleet.spawn(name).await);
        });
        receiver.recv().unwrap()
    });
    let hosts = hosts.collect();
    (runtime, hosts)
}

/// Lets endpoints crash under deadly requests until they suffice, and waits until the hosts reject them. Returns the number of crashes: three,
/// and as many more as came too late on a busy machine.
async fn crash_until_rejected(
    fleet: &TestFleet,
    hosts: &[Arc<SwitchNode>],
    common: Common,
) -> usize {
    fleet.client.set_deadly(Some(DeadlyCalls {
        cause: DeadlyCause::Any,
        crash_after: CRASH_AFTER,
    }));
    let (mut crashes, mut in_time) = (0, 0);
    for host in hosts.iter().cycle().take(CRASHES) {
        let sent_at = Instant::now();
        let is_rejected = send_deadly_to(host, common).await == CallerOutcome::Rejected;
        // The caller sees a crash later than the host.
        let may_suffice = crashes >= MIN_CRASHES;
        assert!(!is_rejected || may_suffice, "after {crashes} crashes");
        if is_rejected {
            break;
        }
        crashes += 1;
        in_time += usize::from(sent_at.elapsed() < BEGIN_TIME);
        sleep(Duration::from_millis(250)).await;
        if in_time == MIN_CRASHES {
            break;
        }
    }
    sleep(Duration::from_millis(400)).await;
    for host in hosts {
        assert_eq!(send_deadly_to(host, common).await, CallerOutcome::Rejected);
    }
    crashes
}

/// Guards against endpoints that crash again under a part or a request after all hosts, which knew of it, were lost at once.
#[rstest]
#[case::part(Common::Part)]
#[case::request(Common::Request)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cause_is_rejected_after_the_loss_of_all_hosts(#[case] common: Common) {
    let fleet = TestFleet::new(SIZE);
    let (runtime, hosts) = spawn_hosts(&fleet, &["a", "b", "c"]);
    sleep(Duration::from_secs(1)).await;
    let crashes = crash_until_rejected(&fleet, &hosts, common).await;
    sleep(Duration::from_secs(1)).await;
    runtime.shutdown_background();
    let restarted = fleet.start("a").await;
    assert_eq!(
        send_deadly_to(&restarted, common).await,
        CallerOutcome::Rejected
    );
    assert_eq!(calls(&fleet), crashes);
}

/// Guards against a host that goes on sending deadly requests since the others cannot tell it of the crashes, also if it is the one that
/// is to keep the cause in the log, as the others hear it.
#[rstest]
#[case::first("d")]
#[case::second("e")]
#[case::third("f")]
#[case::fourth("g")]
#[case::fifth("h")]
#[case::sixth("i")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cause_is_rejected_by_a_host_that_hears_no_other(
    #[case] isolated: &str,
    #[values(Common::Part, Common::Request)] common: Common,
) {
    let fleet = TestFleet::new(SIZE);
    let hosts = [
        fleet.spawn("a").await,
        fleet.spawn("b").await,
        fleet.spawn("c").await,
    ];
    let (isolated, _unread) = fleet.spawn_isolated(isolated).await;
    sleep(Duration::from_secs(2)).await;
    let crashes = crash_until_rejected(&fleet, &hosts, common).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        send_deadly_to(&isolated, common).await,
        CallerOutcome::Rejected
    );
    assert_eq!(calls(&fleet), crashes);
}

/// Guards against hosts that do not learn of the crashes at the others while none of them reaches the log.
#[rstest]
#[case::part(Common::Part)]
#[case::request(Common::Request)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cause_is_rejected_by_all_hosts_while_the_log_is_out_of_reach(#[case] common: Common) {
    let fleet = TestFleet::new(SIZE);
    let hosts = [
        fleet.spawn("a").await,
        fleet.spawn("b").await,
        fleet.spawn("c").await,
    ];
    sleep(Duration::from_secs(1)).await;
    fleet.log.set_down(true);
    let crashes = crash_until_rejected(&fleet, &hosts, common).await;
    assert_eq!(calls(&fleet), crashes);
}

/// Guards against a host that starts while the others reject a part or a request, and sends it.
#[rstest]
#[case::part(Common::Part)]
#[case::request(Common::Request)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cause_is_rejected_by_a_host_that_starts_later(#[case] common: Common) {
    let fleet = TestFleet::new(SIZE);
    let hosts = [fleet.spawn("a").await, fleet.spawn("b").await];
    sleep(Duration::from_secs(1)).await;
    let crashes = crash_until_rejected(&fleet, &hosts, common).await;
    let late = fleet.start("c").await;
    assert_eq!(send_deadly_to(&late, common).await, CallerOutcome::Rejected);
    assert_eq!(calls(&fleet), crashes);
}

/// Guards against a host that starts after crashes of other causes, learns of them and not of the answers in between, and makes
/// all hosts reject a sound part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_that_starts_after_crashes_of_other_causes_rejects_nothing() {
    let fleet = TestFleet::new(8);
    fleet.client.set_default(CallScript::Stream { events: 3 });
    let hosts = [fleet.spawn("a").await, fleet.spawn("b").await];
    sleep(Duration::from_secs(1)).await;
    let prompt = [FIRST.to_owned()];
    let answer = async |host: &Arc<SwitchNode>| {
        read_response(host, request_with_parts(host, "/stream/x", "r", &prompt)).await
    };
    for _ in 0..5 {
        fleet.client.script(&[CallScript::Stream { events: 100 }]);
        let calls = fleet.client.calls().len();
        let host = hosts[0].clone();
        let prompt = prompt.clone();
        let broken = tokio::spawn(async move {
            read_response(
                &host,
                request_with_parts(&host, "/stream/x", "long", &prompt),
            )
            .await
        });
        sleep(Duration::from_millis(100)).await;
        let endpoint = fleet.client.calls()[calls].endpoint.clone();
        fleet.client.end_endpoint(&endpoint);
        assert!(matches!(broken.await.unwrap(), CallerOutcome::Truncated(_)));
        sleep(Duration::from_millis(100)).await;
        fleet.log.put("endpoints", &endpoint, "");
        sleep(Duration::from_millis(700)).await;
        let outcome = answer(&hosts[1]).await;
        assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
    }
    // Reports repeat for some seconds which parts are sound.
    sleep(Duration::from_secs(6)).await;
    let late = fleet.start("c").await;
    sleep(Duration::from_secs(1)).await;
    for host in [&late, &hosts[0], &hosts[1]] {
        let outcome = answer(host).await;
        assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
    }
}

/// Guards against a sound part that is rejected after crashes of other causes since the items with it, whose answers go on for some time, all
/// give way to other requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn item_that_gives_way_shows_that_its_part_is_sound() {
    let fleet = TestFleet::new(3);
    let host = fleet.start("a").await;
    fleet.client.set_default(CallScript::Stream { events: 150 });
    crash_under_part(&fleet, &host, "first").await;
    crash_under_part(&fleet, &host, "second").await;
    let mut job = submission("j", 1);
    job.items[0].headers.push(("parts".into(), DEADLY.into()));
    assert_eq!(host.submit_job(job).await, SubmitReply::Done);
    sleep(BEGIN_TIME * 3).await;
    for number in 0..4 {
        let host = host.clone();
        let online = request(&host, "/stream/x", &format!("online-{number}"));
        tokio::spawn(async move { read_response(&host, online).await });
    }
    sleep(Duration::from_millis(100)).await;
    let metrics = host.write_metrics().unwrap();
    assert!(metrics.contains("outcome=\"cancelled\"} 1"), "{metrics}");
    for id in ["e3", "e4"] {
        fleet.log.put("endpoints", id, "ready");
    }
    sleep(Duration::from_millis(300)).await;
    crash_under_part(&fleet, &host, "third").await;
    sleep(Duration::from_millis(400)).await;
    let outcome = read_response(&host, part_request(&host, "sound")).await;
    assert!(matches!(outcome, CallerOutcome::Complete(_)), "{outcome:?}");
}

/// Lets an endpoint crash of a cause of its own while it begins a request with the part.
async fn crash_under_part(fleet: &TestFleet, host: &Arc<SwitchNode>, id: &'static str) {
    fleet.client.set_deadly(Some(DeadlyCalls {
        cause: DeadlyCause::Part(PartKey::of(DEADLY)),
        crash_after: CRASH_AFTER,
    }));
    let outcome = read_response(host, part_request(host, id)).await;
    assert!(
        matches!(outcome, CallerOutcome::Truncated(_)),
        "{outcome:?}"
    );
    fleet.client.set_deadly(None);
    sleep(BEGIN_TIME).await;
}

/// A request with the part alone, unlike all others.
fn part_request(host: &SwitchNode, id: &'static str) -> OnlineRequest {
    let mut request = request_with_parts(host, "/stream/x", id, &[DEADLY.to_owned()]);
    request.call.body = id.into();
    request
}
