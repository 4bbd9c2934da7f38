//! A fleet with two services, one of which loses its only server, while batch jobs come for both.

use crate::daemon::{Daemon, DaemonPlan, Places};
use crate::jobs::{HOST, Job};
use crate::restart_volume::wait_ready;
use crate::server::{Server, ServerPlan, record_runs, whole_text};
use crate::store::Store;
use crate::{Case, CaseResult};
use std::thread::sleep;
use std::time::{Duration, Instant};

const REPORTS: &str = "/reports/";
const AUDITS: &str = "/audits/";
const DAEMONS: u8 = 24;
const REPORT_SERVERS: u8 = 4;
const EVENTS: u64 = 20;
/// Items of a job for the reports, and of one for the audits.
const ITEMS: usize = 10;
const AUDIT_ITEMS: usize = 200;
/// Times at which clients of both services hand in jobs: one for the audits, and two for the reports.
const ROUNDS: usize = 3;
const ROUND_TIME: Duration = Duration::from_secs(6);
/// `stable_window_ms` and `finish_s` of the pages.
const STABLE: Duration = Duration::from_secs(4);
const FINISH: Duration = Duration::from_secs(18);

fn config() -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"batch\",\"timeout_ms\":15000,\
             \"target_latency_ms\":400,\"completion_target_ms\":18000,\"retention_s\":600,\"attempts\":3,\"priority\":2,\
             \"service\":\"{service}\",\"max_count\":2000000,\"resumable\":true}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"reports\",\"health_path\":\"/healthz\",\"max_conns\":290}},\
         {{\"name\":\"audits\",\"health_path\":\"/healthz\",\"max_conns\":290}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-reports", REPORTS, "reports"),
        route("r-audits", AUDITS, "audits")
    )
}

pub fn run(case: &mut Case) -> CaseResult {
    let text = |error: std::io::Error| error.to_string();
    let places = Places::claim();
    let store = Store::default();
    let address = store.serve(places.store()).map_err(text)?;
    store.put("keyed.op", "config", &config());
    let mut servers = Vec::new();
    for number in 1..=REPORT_SERVERS + 1 {
        let service = if number == 1 { "audits" } else { "reports" };
        let plan = ServerPlan {
            id: format!("i-{number:04x}{service}"),
            service: service.into(),
            zone: "hall-a".into(),
            slots: 8,
            queue: 24,
            events: EVENTS,
            event_time: Duration::from_millis(if number == 1 { 2 } else { 15 }),
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
    sleep(Duration::from_secs(6));
    if case.trouble {
        servers[0].crash();
        case.record
            .write(&format!("server {} is lost for good", servers[0].plan.id));
    }
    sleep(Duration::from_millis(3700) + STABLE);
    let (mut reports, mut audits) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let audit = Job::new(AUDITS, 1000 + round, AUDIT_ITEMS, 300, (110, 20));
        submit(case, &audit, AUDITS, &daemons, round)?;
        audits.push(audit);
        for number in [2 * round, 2 * round + 1] {
            let report = Job::new(REPORTS, number, ITEMS, 1500, (350, 237));
            submit(case, &report, REPORTS, &daemons, number + 12)?;
            reports.push(report);
        }
        sleep(ROUND_TIME);
    }
    case.record.write("the last job was handed in");
    let until = Instant::now() + FINISH;
    let mut open = list_open(&reports, &daemons);
    while !open.is_empty() && Instant::now() < until {
        sleep(Duration::from_millis(500));
        open = list_open(&reports, &daemons);
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
        if server.plan.service == "reports" {
            active += server.active();
            slots += server.plan.slots;
        }
        case.record.write(&format!(
            "server {}: {} runs in all, {} at work",
            server.plan.id,
            runs.len(),
            server.active()
        ));
    }
    let lost: Vec<&str> = open
        .iter()
        .filter(|(job, _)| !job.items.iter().any(|item| had.contains(item)))
        .map(|(job, _)| job.id.as_str())
        .collect();
    case.record.write(&format!(
        "jobs for the reports with open items: {:?}; of these, no server had an item in the last 5 s of: {lost:?}; {active} of \
         {slots} places of the reports taken; {finished} items finished in the last 3 s",
        open.iter().map(|(job, open)| (job.id.as_str(), *open)).collect::<Vec<_>>()
    ));
    let audits_open: usize = list_open(&audits, &daemons)
        .iter()
        .map(|(_, open)| open)
        .sum();
    case.record.write(&format!(
        "items for the audits that are open: {audits_open}"
    ));
    record_runs(&mut case.record, &servers);
    for daemon in &mut daemons {
        if daemon.has_ended() {
            return Err(format!("{} has ended", daemon.plan.name));
        }
    }
    if open.is_empty() {
        return Ok(true);
    }
    if finished > 0 || active * 2 >= slots || lost.is_empty() {
        return Err("items are open, but servers were at work lately".to_owned());
    }
    Ok(false)
}

fn submit(
    case: &mut Case,
    job: &Job,
    prefix: &str,
    daemons: &[Daemon],
    first: usize,
) -> Result<(), String> {
    for attempt in 0..5 {
        let daemon = &daemons[(first + attempt) % daemons.len()];
        let status = job.submit(daemon.frontend, prefix).unwrap_or(0);
        case.record.write(&format!(
            "job {} for {prefix} handed in at {}: {status}",
            job.id, daemon.plan.name
        ));
        if status == 202 {
            return Ok(());
        }
        sleep(Duration::from_millis(300));
    }
    Err(format!("job {} was not accepted", job.id))
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
