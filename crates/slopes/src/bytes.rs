//! Bytes in the log, by request and job item.

use crate::fit::{SlopeTable, as_float};
use fulmarswitch_records::record::{ItemOutcomes, JobChunk, KeyOutcome};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, LogRecord, OnlineRequest, RecordBody, RecordId, ShardIndex,
    encode_frame,
};
use std::sync::Arc;

/// Numbers of requests or items in one log entry.
const ENTRY_COUNTS: [usize; 4] = [1, 16, 64, 256];
/// Length of an input, in bytes.
const INPUT_BYTES: usize = 400;
/// Mean length of an answer, in tokens: 19 million tokens per second over 56,000 requests per second.
const ANSWER_TOKENS: usize = 339;
/// Assumed length of a token, in bytes.
const TOKEN_BYTES: usize = 4;

/// Measures the encoded size of log entries.
pub fn measure(table: &mut SlopeTable) {
    table.add(
        "log bytes of an online request's records, no text",
        "bytes",
        &ENTRY_COUNTS,
        |count| frame_bytes((0..count).flat_map(|at| key_bodies(at, 0, 0))),
    );
    table.add(
        "log bytes of an online request's records",
        "bytes",
        &ENTRY_COUNTS,
        |count| {
            frame_bytes(
                (0..count).flat_map(|at| key_bodies(at, INPUT_BYTES, ANSWER_TOKENS * TOKEN_BYTES)),
            )
        },
    );
    table.add(
        "log bytes of a job item's input",
        "bytes",
        &ENTRY_COUNTS,
        |count| {
            let inputs = (0..count).map(|_| text(INPUT_BYTES)).collect();
            frame_bytes([RecordBody::JobChunk(JobChunk {
                job: "w/job-0001".into(),
                first: 0,
                inputs,
            })])
        },
    );
    table.add(
        "log bytes of a job item's outcome, no text",
        "bytes",
        &ENTRY_COUNTS,
        |count| frame_bytes([outcomes(count, 0)]),
    );
    table.add(
        "log bytes of a job item's outcome",
        "bytes",
        &ENTRY_COUNTS,
        |count| frame_bytes([outcomes(count, ANSWER_TOKENS * TOKEN_BYTES)]),
    );
}

fn frame_bytes(bodies: impl IntoIterator<Item = RecordBody>) -> f64 {
    let records: Vec<LogRecord> = (1_000_000..)
        .zip(bodies)
        .map(|(at, body)| log_record(at, body))
        .collect();
    as_float(encode_frame(&records).map_or(0, |frame| frame.len()))
}

fn log_record(sequence: u64, body: RecordBody) -> LogRecord {
    let writer = HostIdentity {
        name: "host-0001".into(),
        incarnation: 12,
    };
    let id = RecordId { writer, sequence };
    LogRecord {
        id,
        shard: ShardIndex(1_000),
        epoch: Epoch(500),
        stamp: 10_000_000,
        body,
    }
}

fn key_bodies(at: usize, input: usize, answer: usize) -> [RecordBody; 2] {
    let request = OnlineRequest {
        key: format!("{at:016x}").into(),
        workspace: "workspace-0001".into(),
        service: "diagassist".into(),
        input: text(input),
        max_tokens: 512,
        deadline_ms: 30_000,
        idempotent: true,
    };
    let key = request.full_key();
    let outcome = ItemOutcome::Done { text: text(answer) };
    [
        RecordBody::Accept(request),
        RecordBody::Outcome(KeyOutcome { key, outcome }),
    ]
}

fn outcomes(count: usize, answer: usize) -> RecordBody {
    let outcome = |at| (at, ItemOutcome::Done { text: text(answer) });
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    RecordBody::ItemOutcomes(ItemOutcomes {
        job: "workspace-0001/job-0001".into(),
        outcomes: (0..count).map(outcome).collect(),
    })
}

fn text(bytes: usize) -> Arc<str> {
    "x".repeat(bytes).into()
}
