//! Jobs whose bodies together exceed half of the memory of a machine, and a stop and start of one machine after the other.

use crate::daemon::{Daemon, DaemonPlan, Places};
use crate::jobs::{HOST, Job, Page};
use crate::server::{Server, ServerPlan, record_runs, whole_text};
use crate::store::Store;
use crate::{Case, CaseResult};
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const PREFIX: &str = "/decks/";
/// Smallest machine of the deployment in the pages.
const MEMORY_MB: u32 = 120;
const DAEMONS: u8 = 3;
const SERVERS: u8 = 4;
const JOBS: usize = 172;
const ITEMS: usize = 20;
/// Bytes of the body of an item; a whole submission stays under 530,000.
const ITEM_BYTES: usize = 19_000;
/// Time between two submissions: the usual 4 a second.
const INTERVAL: Duration = Duration::from_millis(246);
const EVENTS: u64 = 3;
/// `grace_s` of the pages, and the pause between two stops.
const GRACE: Duration = Duration::from_secs(8);
const GAP: Duration = Duration::from_secs(2);
/// `recover_s` and `finish_s` of the pages.
const RECOVER: Duration = Duration::from_secs(15);
const FINISH: Duration = Duration::from_secs(18);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-decks\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\"type\":\"batch\",\
         \"timeout_ms\":15000,\"target_latency_ms\":600,\"completion_target_ms\":18000,\"retention_s\":600,\"attempts\":3,\
         \"priority\":2,\"service\":\"kart\",\"max_count\":4600000,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"kart\",\"health_path\":\"/healthz\",\"max_conns\":410}}],\
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
            service: "kart".into(),
            zone: "anadolu-a".into(),
            slots: 8,
            queue: 24,
            events: EVENTS,
            event_time: Duration::from_millis(10),
        };
        servers.push(Server::start(plan, places.server(number), &store).map_err(text)?);
    }
    let mut daemons = Vec::new();
    for host in 1..=DAEMONS {
        let plan = DaemonPlan {
            name: format!("edge-{host}"),
            host,
            zone: "anadolu-a".into(),
            memory_mb: MEMORY_MB,
            store: address,
        };
        let mut daemon = Daemon::prepare(plan, &places, &case.folder).map_err(text)?;
        daemon.start().map_err(text)?;
        daemons.push(daemon);
    }
    wait_ready(&daemons)?;
    sleep(Duration::from_secs(2));
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let begun = Instant::now();
        let job = Job::new(PREFIX, number, ITEMS, ITEM_BYTES, (350, 137));
        let mut statuses = Vec::new();
        for attempt in 0..3 {
            let daemon = &daemons[(number + attempt) % daemons.len()];
            let status = job.submit(daemon.frontend, PREFIX).unwrap_or(0);
            statuses.push(status);
            if status == 202 {
                break;
            }
        }
        case.record.write(&format!(
            "job {} of {} bytes handed in: {statuses:?}",
            job.id,
            job.bytes()
        ));
        if statuses.last() == Some(&202) {
            jobs.push(job);
        }
        sleep(INTERVAL.saturating_sub(begun.elapsed()));
    }
    if jobs.len() < JOBS * 9 / 10 {
        return Err(format!("only {} jobs were accepted", jobs.len()));
    }
    // All that was accepted is done and can be read, at each daemon.
    for (index, job) in jobs.iter().enumerate() {
        let until = Instant::now() + Duration::from_secs(20);
        let daemon = &daemons[index % daemons.len()];
        while !job
            .read_all(daemon.frontend)
            .is_ok_and(|page| is_whole(job, &page))
        {
            if Instant::now() > until {
                return Err(format!("job {} was not done before the disruption", job.id));
            }
            sleep(Duration::from_millis(100));
        }
    }
    for daemon in &daemons {
        case.record.write(&format!(
            "{}: peak of memory {:?} MB",
            daemon.plan.name,
            daemon.peak_mb()
        ));
    }
    let bytes = store.newest_bytes("keyed.jobs");
    case.record.write(&format!(
        "{} jobs accepted, all done and read; the job records have {bytes} bytes, the store {} in all",
        jobs.len(),
        store.total_bytes()
    ));
    if case.trouble {
        for index in 0..daemons.len() {
            daemons[index].signal("TERM");
            let ended = daemons[index].wait_end(GRACE);
            case.record.write(&format!(
                "{} got SIGTERM; it ended by itself: {ended}",
                daemons[index].plan.name
            ));
            daemons[index].start().map_err(text)?;
            wait_ready(&daemons[index..=index])?;
            case.record.write(&format!(
                "{} was started again and is ready",
                daemons[index].plan.name
            ));
            sleep(GAP);
        }
    }
    // Recovery, and the time that batch jobs have after the end of traffic.
    sleep(RECOVER + FINISH);
    let late = Job::new(PREFIX, JOBS + 1, 1, 100, (350, 137));
    case.record.write(&format!(
        "a small new job at each daemon: {:?}",
        daemons
            .iter()
            .map(|daemon| late.submit(daemon.frontend, PREFIX).unwrap_or(0))
            .collect::<Vec<_>>()
    ));
    let sample: Vec<&Job> = jobs.iter().step_by(jobs.len() / 12).collect();
    let frontends: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.frontend).collect();
    let answers: Vec<(bool, Vec<String>)> = thread::scope(|scope| {
        let readers: Vec<_> = sample
            .iter()
            .map(|job| scope.spawn(|| read_again(job, &frontends)))
            .collect();
        readers
            .into_iter()
            .filter_map(|reader| reader.join().ok())
            .collect()
    });
    let lost = answers.iter().filter(|(is_found, _)| !is_found).count();
    for (job, (_, answers)) in sample.iter().zip(&answers) {
        case.record
            .write(&format!("job {} read again: {answers:?}", job.id));
    }
    for daemon in &mut daemons {
        let ended = daemon.has_ended();
        case.record.write(&format!("{}: ended by itself: {ended}, peak of memory {:?} MB; last of its log about the jobs: {:?}",
            daemon.plan.name, daemon.peak_mb(), daemon.log_lines("keyed.jobs").last()));
    }
    case.record.write(&format!(
        "{lost} of {} jobs that had been accepted and read can't be read",
        sample.len()
    ));
    record_runs(&mut case.record, &servers);
    Ok(lost == 0)
}

/// Reads a job from the start, again after each failure, at another daemon. Returns whether all of it was read.
fn read_again(job: &Job, frontends: &[SocketAddr]) -> (bool, Vec<String>) {
    let mut answers = Vec::new();
    for attempt in 0..6 {
        match job.read_all(frontends[attempt % frontends.len()]) {
            Ok(page) if is_whole(job, &page) => {
                answers.push("whole".to_owned());
                return (true, answers);
            }
            Ok(page) => answers.push(format!("{} of {} results", page.results.len(), page.total)),
            Err(cause) => answers.push(cause),
        }
        sleep(Duration::from_millis(500));
    }
    (false, answers)
}

fn is_whole(job: &Job, page: &Page) -> bool {
    page.total == job.items.len()
        && page.results.len() == job.items.len()
        && page.results.iter().all(|(id, state, output)| {
            state == "completed" && job.items.contains(id) && *output == whole_text(id, EVENTS)
        })
}

pub fn wait_ready(daemons: &[Daemon]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > until {
            return Err("a daemon is not ready".to_owned());
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}
