//! A server goes down and up by turns while batch jobs fill the others.

use crate::Verdict;
use crate::client::call;
use crate::fleet::{Addresses, Fleet, Record};
use crate::forgotten::{Job, config};
use crate::server::{Run, Server};
use crate::store::Store;
use bytes::Bytes;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

const HOSTS: u8 = 3;
/// Servers, of which the last one goes down and up.
const SERVERS: u8 = 7;
const EVENTS: u64 = 237;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const JOBS: usize = 6;
const ITEMS: usize = 20;
/// Period in which the server goes down and up, for how long, and when it begins.
const PERIOD: Duration = Duration::from_millis(1200);
const DOWN_TIME: Duration = Duration::from_millis(600);
const FLAP_TIME: Duration = Duration::from_millis(6500);
const FLAP_DELAY: Duration = Duration::from_millis(1000);
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(18);

/// Reads which items of a job are listed.
async fn listed(job: &Job, hosts: &[SocketAddr]) -> Option<BTreeSet<String>> {
    let mut ids = BTreeSet::new();
    for host in hosts {
        let path = format!("/lots/{}?after=0", job.id);
        let answer = call(
            *host,
            "GET",
            &path,
            &[],
            Bytes::new(),
            Duration::from_millis(1500),
        )
        .await;
        let Ok((200, body)) = answer else {
            continue;
        };
        let page: Value = serde_json::from_slice(&body).ok()?;
        for result in page["results"].as_array()? {
            ids.insert(result["id"].as_str()?.to_owned());
        }
        return Some(ids);
    }
    None
}

/// Whether a server had a run of an item that is not listed since `from`.
fn had_unlisted(runs: &[Run], listed: &BTreeSet<String>, from: Instant) -> bool {
    let mut late = runs
        .iter()
        .filter(|run| run.ended.is_none_or(|ended| ended >= from));
    late.any(|run| !listed.contains(&run.request))
}

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let addresses = Addresses::new();
    let (store, store_address) = (Store::default(), addresses.socket(2, 8169));
    tokio::spawn(store.clone().serve(store_address));
    store.put("keyed.op", "config", &config().to_string());
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let address = addresses.socket(100 + index, 8080);
        let zone = format!("zone-{}", index % HOSTS);
        let server = Server::new(&format!("i-{index}"), address, &zone, EVENT_INTERVAL);
        let running = server.clone().start(store.clone()).await;
        servers.push((server, running));
    }
    let fleet = Fleet::start(addresses, HOSTS, store_address);
    if !fleet.wait_ready().await {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(2)).await;
    let hosts: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.frontend())
        .collect();
    let jobs: Vec<Job> = (0..JOBS)
        .map(|index| Job::new(index, ITEMS, EVENTS, 700))
        .collect();
    for (index, job) in jobs.iter().enumerate() {
        let headers = [
            ("request-id", &*job.id),
            ("content-type", "application/json"),
        ];
        let patience = Duration::from_secs(4);
        let answer = call(
            hosts[index % hosts.len()],
            "POST",
            "/jobs/a",
            &headers,
            job.body(),
            patience,
        )
        .await;
        record.line(&format!(
            "POST job {} of {} items: {:?}",
            job.id,
            job.items.len(),
            answer.as_ref().map(|answer| answer.0)
        ));
        if !answer.is_ok_and(|answer| answer.0 == 202) {
            return Verdict::NotRun;
        }
    }
    let accepted = Instant::now();
    record.tell("all jobs were accepted; traffic ends");
    let all_servers: Vec<Server> = servers.iter().map(|(server, _)| server.clone()).collect();
    if has_trouble {
        sleep_until(accepted + FLAP_DELAY).await;
        let (server, mut running) = servers.pop().expect("a server");
        let mut crashes = 0;
        while accepted.elapsed() < FLAP_DELAY + FLAP_TIME {
            running.crash().await;
            crashes += 1;
            record.line(&format!("server down, {crashes}"));
            sleep(DOWN_TIME).await;
            running = server
                .successor(&format!("i-{}-{crashes}", SERVERS - 1))
                .start(store.clone())
                .await;
            record.line("server up");
            sleep(PERIOD - DOWN_TIME).await;
        }
        record.tell(&format!(
            "the server crashed {crashes} times, and is well from now on"
        ));
    }
    let runs = || -> Vec<Run> { all_servers.iter().flat_map(Server::runs).collect() };
    let mut counts = Vec::new();
    let mut is_broken = false;
    // What holds when `finish_s` is over must not hold at any time from then on, for as long as the case looks.
    for second in (2..=60_u64).step_by(2) {
        sleep_until(accepted + Duration::from_secs(second)).await;
        let mut ids = BTreeSet::new();
        let mut is_read = true;
        for job in &jobs {
            match listed(job, &hosts).await {
                Some(found) => ids.extend(found),
                None => is_read = false,
            }
        }
        if !is_read {
            // Nothing is judged by a job that could not be read.
            record.line(&format!(
                "{second} s after the last 202: not all jobs could be read"
            ));
            continue;
        }
        counts.push((Instant::now(), ids.len()));
        let now_runs = runs();
        let active = now_runs.iter().filter(|run| run.ended.is_none()).count();
        record.line(&format!(
            "{second} s after the last 202: {} of {} items listed, {active} runs at servers",
            ids.len(),
            JOBS * ITEMS
        ));
        if ids.len() == JOBS * ITEMS {
            break;
        }
        let now = Instant::now();
        let is_over = accepted + FINISH <= now;
        let calm_since = now.checked_sub(Duration::from_secs(5)).unwrap_or(now);
        let finished_since = now.checked_sub(Duration::from_secs(3)).unwrap_or(now);
        let failed_since = now.checked_sub(Duration::from_secs(20)).unwrap_or(accepted);
        let failed: BTreeSet<&String> = now_runs
            .iter()
            .filter(|run| !run.is_complete && run.ended.is_some_and(|ended| ended >= failed_since))
            .map(|run| &run.request)
            .collect();
        let has_finished = now_runs
            .iter()
            .any(|run| run.is_complete && run.ended.is_some_and(|ended| ended >= finished_since));
        let unlisted = jobs
            .iter()
            .flat_map(|job| &job.items)
            .filter(|id| !ids.contains(*id));
        let owed = unlisted.filter(|id| !failed.contains(id)).count();
        if is_over && owed > 0 && !had_unlisted(&now_runs, &ids, calm_since) && !has_finished {
            is_broken = true;
            record.tell(&format!("{second} s after the last 202, {owed} items that failed nowhere are neither completed nor dead; no server has had an unlisted item for 5 s"));
            break;
        }
    }
    let done = counts.last().map_or(0, |(_, count)| *count);
    record.tell(&format!(
        "{done} of {} items were listed at the end",
        JOBS * ITEMS
    ));
    if is_broken {
        Verdict::Broken
    } else if done == JOBS * ITEMS {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}
