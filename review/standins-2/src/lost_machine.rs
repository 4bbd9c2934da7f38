//! A machine that is lost for good while all servers have queues, and batch jobs afterwards.

use crate::daemon::{Daemon, DaemonPlan, Places};
use crate::jobs::{HOST, Job};
use crate::restart_volume::wait_ready;
use crate::server::{Server, ServerPlan, record_runs, whole_text};
use crate::store::Store;
use crate::{Case, CaseResult, wire};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CHAT: &str = "/chat/";
const REPORTS: &str = "/reports/";
const DAEMONS: u8 = 3;
const SERVERS: u8 = 2;
const EVENTS: u64 = 60;
const EVENT_TIME: Duration = Duration::from_millis(10);
/// Time between two online requests, which keep nine tenths of the servers' places busy, and in a burst of 1.5 times as many.
const USUAL_INTERVAL: Duration = Duration::from_millis(42);
const BURST_INTERVAL: Duration = Duration::from_millis(28);
const BURST: Duration = Duration::from_secs(4);
/// Time for which another machine stands still.
const FREEZE: Duration = Duration::from_secs(4);
const JOBS: usize = 12;
const ITEMS: usize = 10;
/// `stable_window_ms` and `finish_s` of the pages.
const STABLE: Duration = Duration::from_secs(4);
const FINISH: Duration = Duration::from_secs(18);

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":5000,\
             \"target_latency_ms\":2000,\"completion_target_ms\":18000,\"retention_s\":600,\"attempts\":3,\"priority\":2,\
             \"service\":\"assist\",\"max_count\":2000000,\"resumable\":false,\"itl_target_ms\":300}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"assist\",\"health_path\":\"/healthz\",\"max_conns\":290}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-chat", CHAT, "stream"),
        route("r-reports", REPORTS, "batch")
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
            service: "assist".into(),
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
            name: format!("edge-{host:02}"),
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
    // Clients of the usual kind, then more than the servers can take at once.
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let frontends: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.frontend).collect();
    let mut number = 0;
    send_online(
        &frontends,
        &counts,
        &mut number,
        USUAL_INTERVAL,
        Duration::from_secs(5),
    );
    send_online(&frontends, &counts, &mut number, BURST_INTERVAL, BURST);
    let mut rest = frontends.clone();
    if case.trouble {
        let last = daemons.last_mut().ok_or("no daemon")?;
        last.kill();
        case.record
            .write(&format!("{} is lost for good", last.plan.name));
        sleep(Duration::from_millis(300));
        daemons[0].signal("STOP");
        case.record
            .write(&format!("{} stands still", daemons[0].plan.name));
        // Clients ask the other machines.
        rest.pop();
        rest.remove(0);
    }
    send_online(&rest, &counts, &mut number, USUAL_INTERVAL, FREEZE);
    if case.trouble {
        daemons[0].signal("CONT");
        case.record
            .write(&format!("{} goes on", daemons[0].plan.name));
    }
    send_online(
        &rest,
        &counts,
        &mut number,
        USUAL_INTERVAL,
        Duration::from_secs(2),
    );
    let [answered, refused, failed] = [0, 1, 2].map(|index| counts[index].load(Ordering::SeqCst));
    case.record.write(&format!("online traffic is over; online requests answered: {answered}, refused: {refused}, failed: {failed}"));
    if case.trouble {
        daemons.pop();
    }
    sleep(Duration::from_secs(5) + STABLE);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let job = Job::new(REPORTS, number, ITEMS, 1500, (350, 237));
        let status = job
            .submit(daemons[number % daemons.len()].frontend, REPORTS)
            .unwrap_or(0);
        case.record.write(&format!(
            "job {} handed in at {}: {status}",
            job.id,
            daemons[number % daemons.len()].plan.name
        ));
        if status != 202 {
            return Err("a job was not accepted".to_owned());
        }
        jobs.push(job);
        sleep(Duration::from_millis(500));
    }
    let until = Instant::now() + FINISH;
    let mut open = list_open(&jobs, &daemons);
    while !open.is_empty() && Instant::now() < until {
        sleep(Duration::from_millis(500));
        open = list_open(&jobs, &daemons);
    }
    let now = Instant::now();
    let since = |time: u64| now.checked_sub(Duration::from_secs(time));
    let (mut finished, mut active, mut slots, mut had) = (0, 0, 0, Vec::new());
    for server in &servers {
        let runs = server.runs();
        finished += runs
            .iter()
            .filter(|run| run.is_complete && run.ended > since(3))
            .count();
        let recent = runs
            .iter()
            .filter(|run| run.ended.is_none_or(|ended| Some(ended) > since(5)));
        had.extend(recent.map(|run| run.id.clone()));
        active += server.active();
        slots += server.plan.slots;
    }
    let lost: Vec<&str> = open
        .iter()
        .filter(|(job, _)| !job.items.iter().any(|item| had.contains(item)))
        .map(|(job, _)| job.id.as_str())
        .collect();
    case.record.write(&format!(
        "jobs with open items: {:?}; of these, no server had an item in the last 5 s of: {lost:?}; {active} of {slots} places \
         taken; {finished} items finished in the last 3 s",
        open.iter().map(|(job, open)| (job.id.as_str(), *open)).collect::<Vec<_>>()
    ));
    for daemon in &mut daemons {
        let lost = daemon.log_lines("\"host lost\"").len();
        let started = daemon.log_lines("\"item started\"").len();
        case.record.write(&format!(
            "{}: {lost} hosts logged as lost, {started} runs of items",
            daemon.plan.name
        ));
        if daemon.has_ended() {
            return Err(format!("{} has ended", daemon.plan.name));
        }
    }
    record_runs(&mut case.record, &servers);
    if open.is_empty() {
        return Ok(true);
    }
    if finished > 0 || active * 2 >= slots || lost.is_empty() {
        return Err("items are open, but servers were at work lately".to_owned());
    }
    Ok(false)
}

/// Sends online requests to the daemons in turn, each on a channel of its own.
fn send_online(
    frontends: &[SocketAddr],
    counts: &Arc<[AtomicU64; 3]>,
    number: &mut usize,
    interval: Duration,
    length: Duration,
) {
    let until = Instant::now() + length;
    while Instant::now() < until {
        *number += 1;
        let (frontend, id, counts) = (
            frontends[*number % frontends.len()],
            format!("{:016x}", *number),
            counts.clone(),
        );
        thread::spawn(move || {
            let prefix = format!("5c1e07a2:200,{id}:250");
            let headers = [
                ("Host", HOST),
                ("Request-Id", id.as_str()),
                ("Model", "m"),
                ("Token-Usage", "450,60"),
                ("Prefix-Hash", &prefix),
                ("Deadline-Ms", "5000"),
            ];
            let answer = wire::call(
                frontend,
                "POST",
                "/chat/1",
                &headers,
                b"text",
                Duration::from_secs(6),
            );
            let index = match answer {
                Ok(answer) if answer.status == 200 => 0,
                Ok(answer) if answer.status == 503 => 1,
                _ => 2,
            };
            counts[index].fetch_add(1, Ordering::SeqCst);
        });
        sleep(interval);
    }
}

/// Jobs with items that are listed neither as completed nor as dead, and their number.
fn list_open(jobs: &[Job], daemons: &[Daemon]) -> Vec<(Job, usize)> {
    let open = jobs.iter().enumerate().map(|(index, job)| {
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
        (job.clone(), job.items.len() - listed.unwrap_or(0))
    });
    open.filter(|(_, open)| *open > 0).collect()
}
