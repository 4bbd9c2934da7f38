//! A client ends a batch job while the daemons read the jobs anew, as the store has forgotten its history.

use crate::Verdict;
use crate::client::call;
use crate::fleet::{Addresses, Fleet, Record};
use crate::forgotten::{Job, config};
use crate::server::{Run, Server};
use crate::store::Store;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Daemons and servers, as on the sheet.
const HOSTS: u8 = 12;
const SERVERS: u8 = 12;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Batch jobs before the one that is ended, at the rate of a sheet: their items, and the size of an item's body. The submissions have
/// 522,000 bytes each.
const EARLIER_JOBS: usize = 120;
const EARLIER_ITEMS: usize = 10;
const EARLIER_EVENTS: u64 = 20;
const EARLIER_BODY: usize = 39_000;
const EARLIER_PAUSE: Duration = Duration::from_millis(230);
/// Items of the job that is ended, and of one that is due just before it, and their events.
const ITEMS: usize = 200;
const EVENTS: u64 = 160;
/// `cancel_ms` and `stable_window_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3000);
const STABLE: Duration = Duration::from_millis(3000);

async fn submit(job: &Job, host: SocketAddr, record: &Record) -> bool {
    let headers = [
        ("request-id", &*job.id),
        ("content-type", "application/json"),
    ];
    let body = job.body();
    let bytes = body.len();
    let answer = call(
        host,
        "POST",
        "/jobs/a",
        &headers,
        body,
        Duration::from_secs(4),
    )
    .await;
    let status = answer.as_ref().map(|answer| answer.0);
    record.line(&format!(
        "POST job {} of {} items, {bytes} bytes at {host}: {status:?}",
        job.id,
        job.items.len()
    ));
    status == Ok(202)
}

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let addresses = Addresses::new();
    let (store, store_address) = (Store::default(), addresses.socket(2, 8169));
    tokio::spawn(store.clone().serve(store_address));
    store.put("keyed.op", "config", &config().to_string());
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let address = addresses.socket(100 + index, 8080);
        let zone = format!("zone-{}", index % 4);
        let server = Server::new(&format!("i-{index}"), address, &zone, EVENT_INTERVAL);
        servers.push((server.clone(), server.start(store.clone()).await));
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
    for index in 0..EARLIER_JOBS {
        let job = Job::new(index, EARLIER_ITEMS, EARLIER_EVENTS, EARLIER_BODY);
        if !submit(&job, hosts[index % hosts.len()], record).await {
            return Verdict::NotRun;
        }
        sleep(EARLIER_PAUSE).await;
    }
    record.tell("the earlier jobs were accepted");
    let runs = || -> Vec<Run> {
        servers
            .iter()
            .flat_map(|(server, _)| server.runs())
            .collect()
    };
    let other = Job::new(EARLIER_JOBS, ITEMS, EVENTS, 700);
    let job = Job::new(EARLIER_JOBS + 1, ITEMS, EVENTS, 700);
    let until = Instant::now() + Duration::from_secs(40);
    while runs().iter().filter(|run| run.is_complete).count() < EARLIER_JOBS * EARLIER_ITEMS {
        if Instant::now() > until {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(200)).await;
    }
    sleep(Duration::from_secs(2)).await;
    if !submit(&other, hosts[0], record).await || !submit(&job, hosts[1], record).await {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(2)).await;
    if has_trouble {
        store.compact().await;
        record.tell("the store has forgotten its history");
    }
    let forgotten = Instant::now();
    sleep(Duration::from_millis(700)).await;
    let path = format!("/lots/{}", job.id);
    let answer = call(
        hosts[1],
        "DELETE",
        &path,
        &[],
        Bytes::new(),
        Duration::from_secs(4),
    )
    .await;
    let ended = Instant::now();
    record.tell(&format!(
        "DELETE {path}: {:?}",
        answer.as_ref().map(|answer| answer.0)
    ));
    if !answer.is_ok_and(|answer| answer.0 == 200) {
        return Verdict::NotRun;
    }
    sleep_until(ended + Duration::from_secs(20)).await;
    let late_from = (ended + CANCEL).max(forgotten + STABLE);
    let mut late = 0;
    let mut last = Duration::ZERO;
    for run in runs()
        .iter()
        .filter(|run| job.items.contains(&run.request) && run.began > ended)
    {
        let after = run.began - ended;
        last = last.max(after);
        let is_late = run.began > late_from;
        late += u32::from(is_late);
        record.line(&format!(
            "item {} began to run at {} {} ms after the job's end{}",
            run.request,
            run.server,
            after.as_millis(),
            if is_late { ": too late" } else { "" }
        ));
    }
    record.tell(&format!(
        "{late} items began to run later than {} ms after the confirmed end of their job, the last one {} ms after it",
        (late_from - ended).as_millis(), last.as_millis()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
