//! Servers in need, which name a limit in their answers, while batch jobs come.

use crate::daemon::{Daemon, DaemonPlan, Places};
use crate::jobs::{HOST, Job};
use crate::restart_volume::wait_ready;
use crate::server::{Server, ServerPlan, record_runs, whole_text};
use crate::store::Store;
use crate::{Case, CaseResult};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/reports/";
const DAEMONS: u8 = 4;
const SERVERS: u8 = 2;
/// Requests a second that a server in need takes.
const LIMIT: u32 = 3;
const EVENTS: u64 = 20;
const EVENT_TIME: Duration = Duration::from_millis(20);
const JOBS: usize = 16;
const ITEMS: usize = 10;
const INTERVAL: Duration = Duration::from_secs(2);
/// `finish_s` of the pages.
const FINISH: Duration = Duration::from_secs(18);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-reports\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\"type\":\"batch\",\
         \"timeout_ms\":15000,\"target_latency_ms\":400,\"completion_target_ms\":18000,\"retention_s\":600,\"attempts\":3,\
         \"priority\":2,\"service\":\"reports\",\"max_count\":2000000,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"reports\",\"health_path\":\"/healthz\",\"max_conns\":290}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn run(case: &mut Case) -> CaseResult {
    let text = |error: std::io::Error| error.to_string();
    let places = Places::claim();
    let store = Store::default();
    let address = store.serve(places.store()).map_err(text)?;
    store.put("keyed.op", "config", &config());
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let plan = ServerPlan {
            id: format!("i-{number:04x}"),
            service: "reports".into(),
            zone: "hall-a".into(),
            slots: 8,
            queue: 24,
            events: EVENTS,
            event_time: EVENT_TIME,
        };
        servers.push(Server::start(plan, places.server(number), &store).map_err(text)?);
    }
    let mut daemons = Vec::new();
    for host in 1..=DAEMONS {
        let plan = DaemonPlan {
            name: format!("edge-{host}"),
            host,
            zone: "hall-a".into(),
            memory_mb: 300,
            store: address,
        };
        let mut daemon = Daemon::prepare(plan, &places, &case.folder).map_err(text)?;
        daemon.start().map_err(text)?;
        daemons.push(daemon);
    }
    wait_ready(&daemons)?;
    sleep(Duration::from_secs(3));
    if case.trouble {
        for server in &servers {
            server.set_limit(LIMIT);
            case.record.write(&format!(
                "server {} names Server-Limit: {LIMIT} from now on",
                server.plan.id
            ));
        }
    }
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let job = Job::new(PREFIX, number, ITEMS, 1500, (350, 237));
        let daemon = &daemons[number % daemons.len()];
        let status = job.submit(daemon.frontend, PREFIX).unwrap_or(0);
        case.record.write(&format!(
            "job {} of {ITEMS} items handed in at {}: {status}",
            job.id, daemon.plan.name
        ));
        if status != 202 {
            return Err("a job was not accepted".to_owned());
        }
        jobs.push(job);
        sleep(INTERVAL);
    }
    case.record.write("the last job was handed in");
    let until = Instant::now() + FINISH;
    let mut open = usize::MAX;
    while Instant::now() < until && open > 0 {
        sleep(Duration::from_millis(500));
        open = count_open(case, &jobs, &daemons, false);
    }
    open = count_open(case, &jobs, &daemons, true);
    let now = Instant::now();
    let (mut recent, mut finished) = (0, 0);
    for server in &servers {
        let runs = server.runs();
        let since = |time: u64| now.checked_sub(Duration::from_secs(time));
        let at_work = runs
            .iter()
            .filter(|run| run.ended.is_none_or(|ended| Some(ended) > since(5)));
        recent += at_work.count();
        finished += runs
            .iter()
            .filter(|run| run.is_complete && run.ended > since(3))
            .count();
        case.record.write(&format!(
            "server {}: {} runs in all, most in 4 s: {}, {} at work",
            server.plan.id,
            runs.len(),
            most_in(
                &runs.iter().map(|run| run.began).collect::<Vec<_>>(),
                Duration::from_secs(4)
            ),
            server.active()
        ));
    }
    case.record.write(&format!("{open} items are neither completed nor dead; {recent} runs in the last 5 s, {finished} finished in the last 3 s"));
    for daemon in &mut daemons {
        let started = daemon.log_lines("\"item started\"").len();
        case.record.write(&format!(
            "{} has started {started} runs of items",
            daemon.plan.name
        ));
        if daemon.has_ended() {
            return Err(format!("{} has ended", daemon.plan.name));
        }
    }
    record_runs(&mut case.record, &servers);
    match open {
        0 => Ok(true),
        _ if recent == 0 && finished == 0 => Ok(false),
        _ => Err("items are open, but servers were at work lately".to_owned()),
    }
}

/// Number of items that are listed neither as completed nor as dead.
fn count_open(case: &mut Case, jobs: &[Job], daemons: &[Daemon], is_last: bool) -> usize {
    let mut open = 0;
    for (index, job) in jobs.iter().enumerate() {
        let listed = job
            .read_all(daemons[index % daemons.len()].frontend)
            .map(|page| {
                let results = page.results.iter();
                results
                    .filter(|(id, state, output)| {
                        state == "dead" || *output == whole_text(id, EVENTS)
                    })
                    .count()
            });
        if is_last {
            case.record.write(&format!(
                "job {}: {listed:?} of {ITEMS} items are listed",
                job.id
            ));
        }
        open += ITEMS - listed.unwrap_or(0);
    }
    open
}

/// Most times within a span.
fn most_in(times: &[Instant], span: Duration) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let counts = times.iter().enumerate().map(|(index, first)| {
        times[index..]
            .iter()
            .take_while(|time| **time < *first + span)
            .count()
    });
    counts.max().unwrap_or(0)
}
