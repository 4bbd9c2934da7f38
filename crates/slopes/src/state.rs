//! Memory and replay time of the state, by keys, job items, hosts and configuration records.

use crate::ALLOCATOR;
use crate::fit::{SlopeTable, as_float};
use fulmarswitch_decide::config::ConfigTable;
use fulmarswitch_decide::hosts::HostTable;
use fulmarswitch_decide::shard::ShardState;
use fulmarswitch_decide::shard::jobs::{chunk_digest, job_digest};
use fulmarswitch_records::record::{
    HostJoin, ItemOutcomes, JobChunk, JobSeal, KeyOutcome, ShardClaim,
};
use fulmarswitch_records::{
    ConfigChange, Epoch, HostIdentity, ItemOutcome, JobHeader, LogRecord, Offset, OnlineRequest,
    RecordBody, RecordId, RecordPlace, ShardIndex,
};
use stats_alloc::Region;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

/// Numbers of keys or job items.
const ITEM_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 400_000];
/// Numbers of hosts.
const HOST_COUNTS: [usize; 4] = [10, 100, 1_000, 2_300];
/// Numbers of configuration records.
const CONFIG_RECORD_COUNTS: [usize; 4] = [100, 1_000, 10_000, 20_000];
/// Job items per record of inputs.
const ITEMS_PER_CHUNK: usize = 256;
/// Item outcomes per record of outcomes.
const ITEMS_PER_OUTCOME_RECORD: usize = 16;

/// Measures the memory and the replay time of the state.
pub fn measure(table: &mut SlopeTable) {
    let completed = |count| key_records(count, true);
    table.add(
        "memory a key with outcome",
        "bytes",
        &ITEM_COUNTS,
        |count| replayed_bytes(&completed(count)),
    );
    table.add(
        "replay a key with outcome",
        "microseconds",
        &ITEM_COUNTS,
        |count| replay_micros(&completed(count)),
    );
    table.add("memory an open job item", "bytes", &ITEM_COUNTS, |count| {
        replayed_bytes(&job_records(count, false))
    });
    table.add(
        "memory a completed job item",
        "bytes",
        &ITEM_COUNTS,
        |count| replayed_bytes(&job_records(count, true)),
    );
    table.add(
        "replay a completed job item",
        "microseconds",
        &ITEM_COUNTS,
        |count| replay_micros(&job_records(count, true)),
    );
    table.add("memory a host", "bytes", &HOST_COUNTS, |count| {
        allocated_bytes(|| {
            let mut hosts = HostTable::new();
            (0..count).for_each(|at| {
                hosts.apply(record_place(at), 0, &record(at, join(at)));
            });
            hosts
        })
    });
    table.add(
        "memory a workspace record",
        "bytes",
        &CONFIG_RECORD_COUNTS,
        |count| allocated_bytes(|| replay_config(count, workspace)),
    );
    table.add(
        "memory an endpoint record",
        "bytes",
        &CONFIG_RECORD_COUNTS,
        |count| allocated_bytes(|| replay_config(count, endpoint)),
    );
    table.add(
        "replay a configuration record",
        "microseconds",
        &CONFIG_RECORD_COUNTS,
        |count| shortest_micros(|| replay_config(count, endpoint)),
    );
    table.add(
        "copy of the configuration for a change",
        "microseconds",
        &CONFIG_RECORD_COUNTS,
        |count| {
            let config = replay_config(count, endpoint);
            shortest_micros(|| config.clone())
        },
    );
}

fn replayed_bytes(records: &[LogRecord]) -> f64 {
    allocated_bytes(|| replay(records))
}

fn replay_micros(records: &[LogRecord]) -> f64 {
    shortest_micros(|| replay(records))
}

/// Returns the heap memory, in bytes, that the result of `build` occupies.
fn allocated_bytes<T>(build: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let result = black_box(build());
    let change = region.change();
    drop(result);
    as_float(
        change
            .bytes_allocated
            .saturating_sub(change.bytes_deallocated),
    )
}

/// Returns the shortest time of three calls of `build`, in microseconds; dropping the result is not timed.
fn shortest_micros<T>(build: impl Fn() -> T) -> f64 {
    let run = || {
        let started = Instant::now();
        let result = black_box(build());
        let elapsed_us = started.elapsed().as_secs_f64() * 1e6;
        drop(result);
        elapsed_us
    };
    (0..3).map(|_| run()).fold(f64::INFINITY, f64::min)
}

fn replay(records: &[LogRecord]) -> ShardState {
    let mut state = ShardState::new(ShardIndex(0));
    for (at, record) in records.iter().enumerate() {
        state.apply(record_place(at), 0, record);
    }
    state
}

fn record_place(at: usize) -> RecordPlace {
    RecordPlace {
        offset: Offset(at as u64),
        position: 0,
    }
}

fn writer() -> HostIdentity {
    HostIdentity {
        name: "host-0001".into(),
        incarnation: 1,
    }
}

fn record(at: usize, body: RecordBody) -> LogRecord {
    let id = RecordId {
        writer: writer(),
        sequence: at as u64,
    };
    LogRecord {
        id,
        shard: ShardIndex(0),
        epoch: Epoch(1),
        stamp: 0,
        body,
    }
}

fn key_records(count: usize, completed: bool) -> Vec<LogRecord> {
    let mut records = vec![record(
        0,
        RecordBody::Claim(ShardClaim {
            owner: writer(),
            next_offset: Offset(0),
        }),
    )];
    for at in 0..count {
        let request = request(at);
        let key = request.full_key();
        records.push(record(at, RecordBody::Accept(request)));
        if completed {
            let outcome = ItemOutcome::Done {
                text: "an answer".into(),
            };
            records.push(record(at, RecordBody::Outcome(KeyOutcome { key, outcome })));
        }
    }
    records
}

fn request(at: usize) -> OnlineRequest {
    OnlineRequest {
        // Multiplicative hashing scatters the keys, as keys of many callers arrive in no order.
        key: format!("{:016x}", at.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into(),
        workspace: "workspace-0001".into(),
        service: "diagassist".into(),
        input: "a reading".into(),
        max_tokens: 128,
        deadline_ms: 30_000,
        idempotent: true,
    }
}

fn job_records(count: usize, completed: bool) -> Vec<LogRecord> {
    let header = JobHeader {
        job: "job-0001".into(),
        workspace: "workspace-0001".into(),
        service: "diagassist".into(),
        due_ms: 0,
        max_tokens: 128,
        idempotent: true,
    };
    let job = header.full_name();
    let mut records = vec![record(
        0,
        RecordBody::Claim(ShardClaim {
            owner: writer(),
            next_offset: Offset(0),
        }),
    )];
    let mut digests = Vec::new();
    for first in (0..count).step_by(ITEMS_PER_CHUNK) {
        let inputs: Vec<Arc<str>> = (first..count.min(first + ITEMS_PER_CHUNK))
            .map(|at| format!("item {at}").into())
            .collect();
        digests.push(chunk_digest(&inputs));
        let chunk = JobChunk {
            job: Arc::clone(&job),
            first: to_u32(first),
            inputs,
        };
        records.push(record(first, RecordBody::JobChunk(chunk)));
    }
    let digest = job_digest(digests.into_iter());
    records.push(record(
        count,
        RecordBody::JobSeal(JobSeal {
            header,
            total: to_u32(count),
            digest,
        }),
    ));
    if completed {
        for first in (0..count).step_by(ITEMS_PER_OUTCOME_RECORD) {
            let outcomes = (first..count.min(first + ITEMS_PER_OUTCOME_RECORD))
                .map(|at| {
                    (
                        to_u32(at),
                        ItemOutcome::Done {
                            text: "an answer".into(),
                        },
                    )
                })
                .collect();
            let outcomes = ItemOutcomes {
                job: Arc::clone(&job),
                outcomes,
            };
            records.push(record(first, RecordBody::ItemOutcomes(outcomes)));
        }
    }
    records
}

fn to_u32(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}

fn join(at: usize) -> RecordBody {
    RecordBody::HostJoin(HostJoin {
        host: HostIdentity {
            name: format!("host-{at:04}").into(),
            incarnation: 1,
        },
        failure_domain: format!("domain-{:02}", at % 28).into(),
        caller_address: "192.0.2.1:7001".into(),
        message_address: "192.0.2.1:7002".into(),
        stream_address: "192.0.2.1:7003".into(),
        shards: 64,
        groups: 4,
    })
}

fn workspace(at: usize) -> (String, &'static str) {
    (
        format!("workspace/workspace-{at:05}"),
        r#"{"max_online":64,"batch_weight":2}"#,
    )
}

fn endpoint(at: usize) -> (String, &'static str) {
    let body = r#"{"service":"diagassist","address":"192.0.2.1:8000","failure_domain":"d1"}"#;
    (format!("endpoint/endpoint-{at:05}"), body)
}

fn replay_config(count: usize, build: fn(usize) -> (String, &'static str)) -> ConfigTable {
    let mut config = ConfigTable::new();
    for at in 0..count {
        let (name, body) = build(at);
        let change = ConfigChange {
            name: name.into(),
            base_version: 0,
            schema: 1,
            body: body.into(),
        };
        config.apply(record_place(at), &record(at, RecordBody::Config(change)));
    }
    config
}
