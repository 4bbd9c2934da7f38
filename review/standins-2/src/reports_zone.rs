//! A fleet with two services, one of which loses its servers in a zone for good.

use crate::daemon::{Daemon, DaemonPlan, Places};
use crate::jobs::{HOST, Job};
use crate::restart_volume::wait_ready;
use crate::server::{Server, ServerPlan, record_runs, whole_text};
use crate::store::Store;
use crate::{Case, CaseResult};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/reports/";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Daemons of each zone.
const DAEMONS: u8 = 8;
/// Servers of the services in each zone.
const CHAT_SERVERS: [u8; 3] = [2, 1, 12];
const REPORT_SERVERS: [u8; 3] = [1, 6, 0];
const EVENTS: u64 = 20;
const JOBS: usize = 8;
const ITEMS: usize = 10;
/// `stable_window_ms` and `finish_s` of the pages.
const STABLE: Duration = Duration::from_secs(4);
const FINISH: Duration = Duration::from_secs(18);

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":15000,\
             \"target_latency_ms\":400,\"completion_target_ms\":18000,\"retention_s\":600,\"attempts\":3,\"priority\":2,\
             \"service\":\"{service}\",\"max_count\":2000000,\"resumable\":true,\"itl_target_ms\":300}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"chat\",\"health_path\":\"/healthz\",\"max_conns\":290}},\
         {{\"name\":\"reports\",\"health_path\":\"/healthz\",\"max_conns\":290}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-chat", "/chat/", "stream", "chat"),
        route("r-reports", PREFIX, "batch", "reports")
    )
}

pub fn run(case: &mut Case) -> CaseResult {
    let text = |error: std::io::Error| error.to_string();
    let places = Places::claim();
    let store = Store::default();
    let address = store.serve(places.store()).map_err(text)?;
    store.put("keyed.op", "config", &config());
    let mut servers = Vec::new();
    for (service, counts) in [("chat", CHAT_SERVERS), ("reports", REPORT_SERVERS)] {
        for (zone, count) in ZONES.iter().zip(counts) {
            for _ in 0..count {
                let number = u8::try_from(servers.len() + 1).unwrap_or(u8::MAX);
                let plan = ServerPlan {
                    id: format!("i-{number:04x}{service}"),
                    service: service.into(),
                    zone: (*zone).into(),
                    slots: 8,
                    queue: 24,
                    events: EVENTS,
                    event_time: Duration::from_millis(20),
                };
                servers.push(Server::start(plan, places.server(number), &store).map_err(text)?);
            }
        }
    }
    let mut daemons = Vec::new();
    for host in 1..=DAEMONS * 3 {
        let plan = DaemonPlan {
            name: format!("edge-{host:02}"),
            host,
            zone: ZONES[usize::from(host - 1) % 3].into(),
            memory_mb: 300,
            store: address,
        };
        let mut daemon = Daemon::prepare(plan, &places, &case.folder).map_err(text)?;
        daemon.start().map_err(text)?;
        daemons.push(daemon);
    }
    wait_ready(&daemons)?;
    sleep(Duration::from_secs(6));
    // One job in calm shows that the service is served in both cases.
    let first = Job::new(PREFIX, 0, ITEMS * 3, 1500, (350, 237));
    submit(case, &first, &daemons, 0)?;
    if !wait_done(std::slice::from_ref(&first), &daemons, FINISH).is_empty() {
        return Err("items in calm are not done".to_owned());
    }
    case.record.write("all items of the job in calm are listed");
    if case.trouble {
        for server in &servers {
            if server.plan.service == "reports" && server.plan.zone == ZONES[0] {
                server.crash();
                case.record.write(&format!(
                    "server {} of {} is lost for good",
                    server.plan.id, server.plan.zone
                ));
            }
        }
    }
    sleep(Duration::from_millis(3700) + STABLE);
    let jobs: Vec<Job> = (1..=JOBS)
        .map(|number| Job::new(PREFIX, number, ITEMS, 1500, (350, 237)))
        .collect();
    for (index, job) in jobs.iter().enumerate() {
        submit(case, job, &daemons, index * 3)?;
        sleep(Duration::from_millis(500));
    }
    let open = wait_done(&jobs, &daemons, FINISH);
    // What the rule asks of the last seconds, for each job with open items.
    let now = Instant::now();
    let since = |time: u64| now.checked_sub(Duration::from_secs(time));
    let (mut finished, mut active, mut slots, mut had) = (0, 0, 0, Vec::new());
    for server in servers
        .iter()
        .filter(|server| server.plan.service == "reports" && !server.is_down())
    {
        let runs = server.runs();
        finished += runs
            .iter()
            .filter(|run| run.is_complete && run.ended > since(3))
            .count();
        had.extend(
            runs.iter()
                .filter(|run| run.ended.is_none_or(|ended| Some(ended) > since(5)))
                .map(|run| run.id.clone()),
        );
        active += server.active();
        slots += server.plan.slots;
        case.record.write(&format!(
            "server {} in {}: {} runs in all, {} at work",
            server.plan.id,
            server.plan.zone,
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
        "jobs with open items: {:?}; of these, no server had an item in the last 5 s of: {lost:?}; \
        {active} of {slots} places taken; {finished} items finished in the last 3 s",
        open.iter()
            .map(|(job, open)| (job.id.as_str(), *open))
            .collect::<Vec<_>>()
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

fn submit(case: &mut Case, job: &Job, daemons: &[Daemon], first: usize) -> Result<(), String> {
    for attempt in 0..5 {
        let daemon = &daemons[(first + attempt) % daemons.len()];
        let status = job.submit(daemon.frontend, PREFIX).unwrap_or(0);
        case.record.write(&format!(
            "job {} handed in at {}: {status}",
            job.id, daemon.plan.name
        ));
        if status == 202 {
            return Ok(());
        }
        sleep(Duration::from_millis(300));
    }
    Err(format!("job {} was not accepted", job.id))
}

/// Waits until all items are listed. Returns the jobs with items that are not after `limit`, and their number.
fn wait_done(jobs: &[Job], daemons: &[Daemon], limit: Duration) -> Vec<(Job, usize)> {
    let until = Instant::now() + limit;
    loop {
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
        let open: Vec<(Job, usize)> = open.filter(|(_, open)| *open > 0).collect();
        if open.is_empty() || Instant::now() > until {
            return open;
        }
        sleep(Duration::from_millis(500));
    }
}
