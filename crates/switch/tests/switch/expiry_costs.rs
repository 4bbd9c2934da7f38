//! What the deletion of expired jobs costs a fleet and the log.
//!
//! The hosts run in real time, as their heartbeats do. The log takes one append to a topic at a time, in 4 ms and at 20 MB/s; all
//! reads share 80 MB/s, and those of a host a link of 30 Mbit/s.

use crate::support::{MemoryLog, TestFleet};
use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_switch::backend::{
    AppendError, KeyedLog, KeyedRecord, LogEntry, LogPage, LogPartition, NewestPage, ReadError,
};
use fulmarswitch_switch::ledger::JobLedger;
use fulmarswitch_switch::node::unix_time_ms;
use fulmarswitch_switch::record::{
    AcceptedItem, AcceptedJob, ItemOutcome, JobRecord, RecordNumberGenerator, RecordReader,
    TextLocation, split_frames, text_key,
};
use rstest::rstest;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Items of a job.
const ITEMS: u32 = 10;
/// Size of the output of an item.
const TEXT_BYTES: usize = 600;
/// Pause between two jobs, of which each is settled and expired when it is written.
const JOB_INTERVAL: Duration = Duration::from_millis(171);
/// Bytes a second of the appends to one topic, of all reads together, and of the link of one host.
const APPEND_RATE: f64 = 20e6;
const READ_RATE: f64 = 80e6;
const LINK_RATE: f64 = 3.75e6;

/// A resource that is used by one call at a time.
#[derive(Debug, Default)]
struct SerialResource {
    free_at: Option<Instant>,
}

impl SerialResource {
    /// Returns when a call that takes `duration` may begin and will have ended.
    fn reserve(&mut self, duration: Duration) -> (Instant, Instant) {
        let now = Instant::now();
        let start = self.free_at.map_or(now, |free_at| free_at.max(now));
        self.free_at = Some(start + duration);
        (start, start + duration)
    }
}

/// An append of tombstones.
#[derive(Clone, Copy, Debug)]
struct DeletionAppend {
    at: Instant,
    tombstones: usize,
    waited: Duration,
}

#[derive(Debug, Default)]
struct StoreCosts {
    jobs: SerialResource,
    texts: SerialResource,
    reads: SerialResource,
    deletions: Vec<DeletionAppend>,
}

/// Access of one host to a log that costs time.
struct CostlyLog {
    log: MemoryLog,
    costs: Arc<Mutex<StoreCosts>>,
    link: Mutex<SerialResource>,
    use_by_reads: Arc<Mutex<ReadUse>>,
}

/// What a host has read of the jobs.
#[derive(Clone, Copy, Debug, Default)]
struct ReadUse {
    records: usize,
    bytes: usize,
    last_end: Option<Instant>,
    max_age: Duration,
}

fn size(record: &KeyedRecord) -> usize {
    5 + record.key.len() + record.value.len()
}

fn time_of(bytes: usize, rate: f64) -> Duration {
    let bytes = u32::try_from(bytes).unwrap();
    Duration::from_secs_f64(f64::from(bytes) / rate)
}

#[async_trait]
impl KeyedLog for CostlyLog {
    async fn append(
        &self,
        partition: &LogPartition,
        records: &[KeyedRecord],
    ) -> Result<u64, AppendError> {
        let asked_at = Instant::now();
        let bytes = records.iter().map(size).sum();
        let start = {
            let mut costs = self.costs.lock().unwrap();
            let duration = Duration::from_millis(4) + time_of(bytes, APPEND_RATE);
            let topic = match &*partition.topic {
                "jobs" => Some(&mut costs.jobs),
                "texts" => Some(&mut costs.texts),
                _ => None,
            };
            let start = topic.map_or(asked_at, |topic| topic.reserve(duration).0);
            if records.iter().all(|record| record.value.is_empty()) {
                costs.deletions.push(DeletionAppend {
                    at: asked_at,
                    tombstones: records.len(),
                    waited: start - asked_at,
                });
            }
            start
        };
        sleep_until(start).await;
        self.log.append(partition, records).await
    }

    async fn read(
        &self,
        partition: &LogPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, ReadError> {
        let started = Instant::now();
        let page = self.log.read(partition, from, wait).await?;
        let bytes = page.records.iter().map(|entry| size(&entry.record)).sum();
        let end = {
            let mut costs = self.costs.lock().unwrap();
            let (_, sent) = costs.reads.reserve(time_of(bytes, READ_RATE));
            let mut link = self.link.lock().unwrap();
            link.reserve(time_of(bytes, LINK_RATE)).1.max(sent)
        };
        sleep_until(end).await;
        if &*partition.topic == "jobs" {
            let mut sum = self.use_by_reads.lock().unwrap();
            sum.records += page.records.len();
            sum.bytes += bytes;
            if let Some(last) = sum.last_end.replace(started) {
                sum.max_age = sum.max_age.max(Instant::now() - last);
            }
        }
        Ok(page)
    }

    async fn read_newest_page(
        &self,
        partition: &LogPartition,
        after: Option<&Bytes>,
    ) -> Result<NewestPage, ReadError> {
        self.log.read_newest_page(partition, after).await
    }

    async fn read_snapshot(&self, partition: &LogPartition) -> Result<LogPage, ReadError> {
        self.log.read_snapshot(partition).await
    }

    async fn fetch(
        &self,
        partition: &LogPartition,
        offset: u64,
        count: u32,
        key: &str,
    ) -> Result<Vec<LogEntry>, ReadError> {
        self.log.fetch(partition, offset, count, key).await
    }
}

/// The frames of a job that expired: its acceptance, the outcomes of its items, and their texts.
fn expired_job(
    name: &str,
    body_bytes: usize,
    numbers: &mut RecordNumberGenerator,
) -> (Vec<KeyedRecord>, Vec<KeyedRecord>) {
    let item = |index: u32| AcceptedItem {
        id: format!("{name}-{index}").into(),
        path: "/jobs/run".into(),
        headers: vec![("model".into(), "m".into())],
        body: vec![b'x'; body_bytes].into(),
        tokens: 350,
    };
    let job: Arc<str> = name.into();
    let accepted = JobRecord::Accepted(AcceptedJob {
        job: job.clone(),
        host: "host".into(),
        path_prefix: "/jobs/".into(),
        accepted_by: "h0".into(),
        accepted_ms: unix_time_ms() - 131_000,
        items: (0..ITEMS).map(item).collect(),
        workspace: None,
    });
    let mut records = accepted.encode(numbers.next_number()).unwrap();
    let mut texts = Vec::new();
    for item in 0..ITEMS {
        let number = numbers.next_number();
        texts.extend(split_frames(&text_key(number), &[b'x'; TEXT_BYTES]));
        let outcome = ItemOutcome::Completed(TextLocation {
            offset: 0,
            number,
            frames: 1,
            bytes: u32::try_from(TEXT_BYTES).unwrap(),
        });
        let job = job.clone();
        let settled = JobRecord::Settled { job, item, outcome };
        records.extend(settled.encode(numbers.next_number()).unwrap());
    }
    (records, texts)
}

/// Costs of the deletion of jobs.
#[derive(Debug)]
struct DeletionCosts {
    jobs: usize,
    left: usize,
    deletions: Vec<DeletionAppend>,
    reads: Vec<ReadUse>,
    live_bytes: usize,
}

/// Runs hosts while jobs expire at the rate of 5.84 a second.
async fn run(hosts: usize, body_bytes: usize, duration: Duration) -> DeletionCosts {
    let fleet = TestFleet::new(2);
    let costs = Arc::new(Mutex::new(StoreCosts::default()));
    let mut nodes = Vec::new();
    let mut uses = Vec::new();
    for index in 0..hosts {
        let use_by_reads = Arc::new(Mutex::new(ReadUse::default()));
        uses.push(use_by_reads.clone());
        let log = CostlyLog {
            log: fleet.log.other_access(),
            costs: costs.clone(),
            link: Mutex::default(),
            use_by_reads,
        };
        let log = Arc::new(log);
        nodes.push(fleet.spawn_with_log(&format!("h{index}"), log).await);
    }
    sleep(Duration::from_secs(2)).await;
    let mut numbers = RecordNumberGenerator::new("writer", 1);
    let started = Instant::now();
    let mut jobs = 0;
    let mut live_bytes = 0;
    while started.elapsed() < duration {
        let (records, texts) = expired_job(&format!("job-{jobs}"), body_bytes, &mut numbers);
        live_bytes = records.iter().map(size).sum();
        let topic = |topic: &str| LogPartition {
            topic: topic.into(),
            partition: 0,
        };
        fleet.log.append(&topic("texts"), &texts).await.unwrap();
        fleet.log.append(&topic("jobs"), &records).await.unwrap();
        jobs += 1;
        sleep_until(started + JOB_INTERVAL * u32::try_from(jobs).unwrap()).await;
    }
    // The last jobs expire, and what the first attempts leave is taken over.
    sleep(Duration::from_secs(25)).await;
    let left = fleet.log.live_keys("jobs");
    let deletions = costs.lock().unwrap().deletions.clone();
    let reads = uses.iter().map(|sum| *sum.lock().unwrap()).collect();
    DeletionCosts {
        jobs,
        left,
        deletions,
        reads,
        live_bytes,
    }
}

/// Largest number of appends that begin within `span`.
fn busiest(deletions: &[DeletionAppend], span: Duration) -> usize {
    let within = |first: &DeletionAppend| {
        let others = deletions.iter();
        others
            .filter(|other| other.at >= first.at && other.at < first.at + span)
            .count()
    };
    deletions.iter().map(within).max().unwrap_or(0)
}

fn print(name: &str, costs: &DeletionCosts) {
    let tombstones: usize = costs.deletions.iter().map(|append| append.tombstones).sum();
    let waited = costs.deletions.iter().map(|append| append.waited).max();
    let middle = costs.reads[costs.reads.len() / 2];
    let max_age = costs.reads.iter().map(|sum| sum.max_age).max();
    println!(
        "{name}: {} jobs of {} bytes in the topic of jobs; {} appends of {tombstones} tombstones, at most {} within 0.1 s and {} \
         within 1 s, waiting up to {waited:?}; a host reads {} records, {} bytes; oldest ledger {max_age:?}; {} records left",
        costs.jobs,
        costs.live_bytes,
        costs.deletions.len(),
        busiest(&costs.deletions, Duration::from_millis(100)),
        busiest(&costs.deletions, Duration::from_secs(1)),
        middle.records,
        middle.bytes,
        costs.left
    );
}

/// Measures the deletion of expired jobs for docs/CAPACITY.md, with 70 hosts if `EXPIRY_COSTS` is
/// set.
#[rstest]
#[case::bodies_of_1500_bytes(1_500)]
#[case::bodies_of_15000_bytes(15_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn deletion(#[case] body_bytes: usize) {
    let is_full = std::env::var_os("EXPIRY_COSTS").is_some();
    let (hosts, duration, min_jobs) = if is_full { (70, 40, 200) } else { (5, 3, 0) };
    let costs = run(hosts, body_bytes, Duration::from_secs(duration)).await;
    print(
        &format!("{hosts} hosts, bodies of {body_bytes} bytes"),
        &costs,
    );
    assert!(costs.jobs > min_jobs);
}

/// Resident memory of the process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4096
}

/// Time of a snapshot whose pages have at most 500 records or 1 MB and are read one after the other in Base64.
fn snapshot_time(records: &[KeyedRecord], rate: f64) -> (usize, Duration) {
    let (mut pages, mut count, mut bytes) = (1, 0, 0);
    for record in records {
        if count == 500 || bytes + size(record) > 1_000_000 {
            (pages, count, bytes) = (pages + 1, 0, 0);
        }
        count += 1;
        bytes += size(record);
    }
    let bytes: usize = records.iter().map(size).sum();
    let answers = Duration::from_millis(4) * u32::try_from(pages).unwrap();
    (pages, answers + time_of(bytes * 4 / 3, rate))
}

/// Measures a snapshot of the jobs of 135 s: those of the retention, the margin for clocks and half an interval of the searches.
#[rstest]
#[case::bodies_of_1500_bytes(1_500, 584)]
#[case::bodies_of_15000_bytes(15_000, 584)]
#[case::tenth_with_bodies_of_1500_bytes(1_500, 58)]
#[test]
fn snapshot(#[case] body_bytes: usize, #[case] jobs_per_100_s: usize) {
    let mut numbers = RecordNumberGenerator::new("writer", 1);
    let jobs = jobs_per_100_s * 135 / 100;
    let records: Vec<KeyedRecord> = (0..jobs)
        .flat_map(|job| expired_job(&format!("job-{job}"), body_bytes, &mut numbers).0)
        .collect();
    let bytes: usize = records.iter().map(size).sum();
    let (pages, alone) = snapshot_time(&records, LINK_RATE);
    let (_, together) = snapshot_time(&records, READ_RATE / 70.0);
    let before = resident_bytes();
    let started = Instant::now();
    let mut reader = RecordReader::default();
    let mut ledger = JobLedger::default();
    for record in &records {
        let entry = LogEntry {
            offset: 0,
            record: KeyedRecord {
                key: record.key.clone(),
                value: record.value.to_vec().into(),
            },
        };
        if let Some(Ok(record)) = reader.push(&entry) {
            ledger.apply_entry(record, &entry.record.key);
        }
    }
    println!(
        "{jobs} jobs, bodies of {body_bytes} bytes: {} records, {bytes} bytes, {pages} pages; by the rates {alone:?} over a link, \
         {together:?} if 70 hosts read at once; replayed in {:?}, ledger of {} bytes",
        records.len(),
        started.elapsed(),
        resident_bytes().saturating_sub(before)
    );
    assert_eq!(ledger.len(), jobs);
}
