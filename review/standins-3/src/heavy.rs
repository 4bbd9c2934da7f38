//! Batch jobs with large bodies come at once, more than the daemons have memory for.

use crate::Verdict;
use crate::client::call;
use crate::fleet::{Addresses, Fleet, Record};
use crate::forgotten::{Job, config};
use crate::server::Server;
use crate::store::Store;
use bytes::Bytes;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

const HOSTS: u8 = 3;
const SERVERS: u8 = 12;
/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 120;
const EVENTS: u64 = 137;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const ITEMS: usize = 10;
const BODY: usize = 39_000;
/// `max_count` of the route.
const QUOTA: u64 = 4_600_000;
/// Batch jobs a second as usual, and in a burst.
const USUAL_RATE: f64 = 4.06;
const BURST_FACTOR: f64 = 6.0;
/// Bursts, how long each lasts, and the time from one to the next.
const BURSTS: u32 = 6;
const BURST_TIME: Duration = Duration::from_millis(3000);
const BURST_PERIOD: Duration = Duration::from_millis(5000);
/// Pause of the platform before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Pause between two looks at the memory of the processes.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// `finish_s` of the settings. After it some jobs are read for a while.
const FINISH: Duration = Duration::from_secs(18);
const READ_TIME: Duration = Duration::from_secs(30);
const READ_JOBS: usize = 8;

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let addresses = Addresses::new();
    let (store, store_address) = (Store::default(), addresses.socket(2, 8169));
    tokio::spawn(store.clone().serve(store_address));
    let mut config = config();
    config["routes"][0]["max_count"] = json!(QUOTA);
    store.put("keyed.op", "config", &config.to_string());
    for index in 0..SERVERS {
        let address = addresses.socket(100 + index, 8080);
        let zone = format!("zone-{}", index % HOSTS);
        let server = Server::new(&format!("i-{index}"), address, &zone, EVENT_INTERVAL);
        server.start(store.clone()).await;
    }
    let mut fleet = Fleet::start_with(addresses, HOSTS, store_address, MEMORY_MB);
    if !fleet.wait_ready().await {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(2)).await;
    let hosts: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.frontend())
        .collect();
    let began = Instant::now();
    let traffic_end = began + BURST_PERIOD * BURSTS;
    let (sent, mut watched) = (record.clone(), Instant::now());
    let submitting = tokio::spawn(async move {
        let (mut index, mut accepted, mut next) = (0, Vec::new(), began);
        let mut calls = tokio::task::JoinSet::new();
        while next < traffic_end {
            sleep_until(next).await;
            let into = (next - began).as_millis() % BURST_PERIOD.as_millis();
            let is_burst = has_trouble && into < BURST_TIME.as_millis();
            let rate = USUAL_RATE * if is_burst { BURST_FACTOR } else { 1.0 };
            next += Duration::from_secs_f64(1.0 / rate);
            let (job, hosts, sent) = (
                Job::new(index, ITEMS, EVENTS, BODY),
                hosts.clone(),
                sent.clone(),
            );
            calls.spawn(async move {
                let headers = [
                    ("request-id", &*job.id),
                    ("content-type", "application/json"),
                ];
                for attempt in 0..3 {
                    let host = hosts[(index + attempt) % hosts.len()];
                    let answer = call(
                        host,
                        "POST",
                        "/jobs/a",
                        &headers,
                        job.body(),
                        Duration::from_secs(5),
                    )
                    .await;
                    let status = answer.as_ref().map(|answer| answer.0);
                    sent.line(&format!("POST job {} at {host}: {status:?}", job.id));
                    if status == Ok(202) {
                        return Some(job.id);
                    }
                    sleep(Duration::from_millis(500)).await;
                }
                None
            });
            index += 1;
        }
        while let Some(Ok(id)) = calls.join_next().await {
            accepted.extend(id);
        }
        (index, accepted)
    });
    let count = fleet.daemons.len();
    let mut platform = Platform {
        kills: vec![0; count],
        peaks: vec![0; count],
    };
    while Instant::now() < traffic_end + FINISH {
        platform.check(&mut fleet, record).await;
        sleep(CHECK_PAUSE).await;
        if watched.elapsed() > Duration::from_secs(5) {
            watched = Instant::now();
            record.line(&format!(
                "peaks {:?} bytes, kills {:?}",
                platform.peaks, platform.kills
            ));
        }
    }
    let (sent_jobs, accepted) = submitting.await.unwrap_or_default();
    record.tell(&format!(
        "{} of {sent_jobs} jobs were accepted; peaks {:?} bytes, kills {:?}",
        accepted.len(),
        platform.peaks,
        platform.kills
    ));
    // The jobs are read from the start, again after each failure, while the platform goes on as before.
    let hosts: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.frontend())
        .collect();
    let chosen: Vec<String> = accepted
        .iter()
        .step_by(accepted.len().div_ceil(READ_JOBS).max(1))
        .cloned()
        .collect();
    let until = Instant::now() + READ_TIME;
    let reads: Vec<_> = chosen
        .iter()
        .enumerate()
        .map(|(index, id)| {
            let (id, hosts, record) = (id.clone(), hosts.clone(), record.clone());
            tokio::spawn(async move {
                let mut host = index;
                while Instant::now() < until {
                    let address = hosts[host % hosts.len()];
                    let path = format!("/lots/{id}?after=0");
                    let answer = call(
                        address,
                        "GET",
                        &path,
                        &[],
                        Bytes::new(),
                        Duration::from_millis(1500),
                    )
                    .await;
                    let status = answer.as_ref().map(|answer| answer.0);
                    record.line(&format!("GET {path} at {address}: {status:?}"));
                    if status == Ok(200) {
                        return true;
                    }
                    host += 1;
                    sleep(Duration::from_millis(500)).await;
                }
                false
            })
        })
        .collect();
    while Instant::now() < until {
        platform.check(&mut fleet, record).await;
        sleep(CHECK_PAUSE).await;
    }
    let mut unread = 0;
    for read in reads {
        unread += u32::from(!read.await.unwrap_or_default());
    }
    let crashed = platform.kills.iter().filter(|kills| **kills >= 3).count();
    record.tell(&format!(
        "kills {:?}; {unread} of {} jobs could not be read in {} s",
        platform.kills,
        chosen.len(),
        READ_TIME.as_secs()
    ));
    if accepted.is_empty() {
        Verdict::NotRun
    } else if unread > 0 || crashed >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// What the platform does about the memory of the processes.
struct Platform {
    kills: Vec<u32>,
    peaks: Vec<u64>,
}

impl Platform {
    /// Kills each process that exceeds its memory, and starts it again.
    async fn check(&mut self, fleet: &mut Fleet, record: &Record) {
        for (index, daemon) in fleet.daemons.iter_mut().enumerate() {
            let Some(bytes) = daemon.memory_bytes() else {
                continue;
            };
            self.peaks[index] = self.peaks[index].max(bytes);
            if bytes > MEMORY_MB * 1_000_000 {
                self.kills[index] += 1;
                record.tell(&format!(
                    "{}: {bytes} bytes, over memory_mb: killed, {}",
                    daemon.ip, self.kills[index]
                ));
                daemon.end();
                sleep(RESTART_DELAY).await;
                daemon.start();
            }
        }
    }
}
