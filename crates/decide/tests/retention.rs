//! Copies of state, interleaved with everything else that is written.
//!
//! A log of one shard is made up step by step. Copies are planned at one step and stand on the log at a
//! later one. Whatever the interleaving, the visible results are those of the records without copies, and
//! a reader that starts at any offset that the verifier calls safe sees the same.

use fulmarswitch_decide::retention::copy::{
    RecordsRead, copy_items, copy_key, item_outcome_in, key_outcome_in, split_items,
};
use fulmarswitch_decide::retention::{
    RetentionStep, RetentionWindow, StepLimits, plan_steps, verify_retained,
};
use fulmarswitch_decide::shard::jobs::{ItemState, chunk_digest, job_digest};
use fulmarswitch_decide::shard::verify::verify_shard;
use fulmarswitch_decide::shard::{RecordVerdict, ShardState};
use fulmarswitch_records::record::{
    ForgetName, ItemAttempts, ItemOutcomes, ItemsRunning, JobCancel, JobChunk, JobSeal, KeyOutcome,
    KeyRunning, ShardClaim,
};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, JobHeader, LogRecord, Offset, OnlineRequest, RecordBody,
    RecordId, RecordPlace, ShardIndex,
};
use proptest::prelude::*;
use std::sync::Arc;

/// Milliseconds between two steps on the log's clock.
const STEP_MS: u64 = 1_000;
/// Items of one job, in two chunks.
const JOB_ITEMS: u32 = 6;

#[derive(Clone, Debug)]
enum LogStep {
    Claim,
    Accept {
        key: u8,
        input: u8,
    },
    Announce {
        key: u8,
    },
    Complete {
        key: u8,
        text: u8,
        not_run: bool,
    },
    Submit {
        job: u8,
    },
    CompleteItems {
        job: u8,
        items: Vec<u32>,
        text: u8,
        failed: bool,
    },
    StartItems {
        job: u8,
        items: Vec<u32>,
    },
    CountAttempts {
        job: u8,
        items: Vec<u32>,
    },
    Cancel {
        job: u8,
    },
    /// Plans copies of everything older than some offsets.
    Plan {
        age: u64,
    },
    /// Writes what was planned.
    Write,
    /// Writes a record a second time, under its own epoch.
    Repeat {
        back: usize,
    },
    /// Writes a record under the epoch before.
    Stale {
        key: u8,
        text: u8,
    },
}

fn log_step() -> impl Strategy<Value = LogStep> {
    let items = || prop::collection::vec(0..JOB_ITEMS, 1..4);
    prop_oneof![
        1 => Just(LogStep::Claim),
        3 => (0..4u8, 0..2u8).prop_map(|(key, input)| LogStep::Accept { key, input }),
        1 => (0..4u8).prop_map(|key| LogStep::Announce { key }),
        3 => (0..4u8, any::<u8>(), prop::bool::weighted(0.2))
            .prop_map(|(key, text, not_run)| LogStep::Complete { key, text, not_run }),
        2 => (0..2u8).prop_map(|job| LogStep::Submit { job }),
        4 => (0..2u8, items(), any::<u8>(), any::<bool>())
            .prop_map(|(job, items, text, failed)| LogStep::CompleteItems { job, items, text, failed }),
        2 => (0..2u8, items()).prop_map(|(job, items)| LogStep::StartItems { job, items }),
        2 => (0..2u8, items()).prop_map(|(job, items)| LogStep::CountAttempts { job, items }),
        1 => (0..2u8).prop_map(|job| LogStep::Cancel { job }),
        4 => (0..12u64).prop_map(|age| LogStep::Plan { age }),
        4 => Just(LogStep::Write),
        2 => (0..12usize).prop_map(|back| LogStep::Repeat { back }),
        1 => (0..4u8, any::<u8>()).prop_map(|(key, text)| LogStep::Stale { key, text }),
    ]
}

/// What a caller can see.
#[derive(Debug, Default, PartialEq)]
struct VisibleState {
    keys: Vec<(Arc<str>, bool, u64, Option<ItemOutcome>)>,
    jobs: Vec<(Arc<str>, bool, Vec<VisibleItem>)>,
}

type VisibleItem = (ItemState, u8, Option<ItemOutcome>);

#[derive(Default)]
struct ShardLog {
    entries: Vec<(u64, LogRecord)>,
}

impl ShardLog {
    fn push(&mut self, state: &mut ShardState, epoch: Epoch, body: RecordBody) -> RecordVerdict {
        let at = self.entries.len() as u64;
        let id = RecordId {
            writer: owner(),
            sequence: at,
        };
        let record = LogRecord {
            id,
            shard: ShardIndex(0),
            epoch,
            stamp: 0,
            body,
        };
        self.push_record(state, record)
    }

    fn push_record(&mut self, state: &mut ShardState, record: LogRecord) -> RecordVerdict {
        let at = self.entries.len() as u64;
        let verdict = state.apply(place_of(at), at * STEP_MS, &record);
        self.entries.push((at * STEP_MS, record));
        verdict
    }

    fn replay(&self, from: u64) -> ShardState {
        let mut state = ShardState::starting_at(ShardIndex(0), Offset(from));
        for (at, (at_ms, record)) in (0..)
            .zip(&self.entries)
            .skip(usize::try_from(from).unwrap())
        {
            state.apply(place_of(at), *at_ms, record);
        }
        state
    }

    fn body(&self, place: RecordPlace) -> &RecordBody {
        &self.entries[usize::try_from(place.offset.0).unwrap()]
            .1
            .body
    }

    fn records(&self) -> RecordsRead {
        let mut records = RecordsRead::new();
        for (at, (_, record)) in (0..).zip(&self.entries) {
            records.insert(place_of(at), record.body.clone());
        }
        records
    }

    fn visible(&self, state: &ShardState) -> VisibleState {
        let mut visible = VisibleState::default();
        for (name, entry) in state.keys() {
            // A refusal as not run says the same as an unknown key.
            if entry.outcome.is_some_and(|result| result.not_run) {
                continue;
            }
            let outcome = entry
                .outcome
                .map(|result| key_outcome_in(self.body(result.place)).unwrap().clone());
            visible
                .keys
                .push((name.clone(), entry.running, entry.digest, outcome));
        }
        for (name, job) in state.jobs().filter(|(_, job)| job.accepted().is_some()) {
            let items = (0..).zip(job.states()).map(|(item, state)| {
                let place = job.result_of(item);
                let outcome = match state {
                    ItemState::Open | ItemState::Announced => None,
                    _ => Some(place.map_or(cancel_outcome(*state), |place| {
                        item_outcome_in(self.body(place), item).unwrap().clone()
                    })),
                };
                (*state, job.attempts_of(item), outcome)
            });
            let items = items.collect();
            visible.jobs.push((name.clone(), job.is_cancelled(), items));
        }
        visible.keys.sort_by(|a, b| a.0.cmp(&b.0));
        visible.jobs.sort_by(|a, b| a.0.cmp(&b.0));
        visible
    }
}

fn cancel_outcome(state: ItemState) -> ItemOutcome {
    match state {
        ItemState::MayHaveRun => ItemOutcome::MayHaveRun,
        _ => ItemOutcome::Cancelled,
    }
}

fn place_of(offset: u64) -> RecordPlace {
    RecordPlace {
        offset: Offset(offset),
        position: 0,
    }
}

fn owner() -> HostIdentity {
    HostIdentity {
        name: "a".into(),
        incarnation: 1,
    }
}

fn key_name(key: u8) -> Arc<str> {
    format!("w/k{key}").into()
}

fn job_name(job: u8) -> Arc<str> {
    format!("w/j{job}").into()
}

fn text(text: u8) -> ItemOutcome {
    ItemOutcome::Done {
        text: format!("t{text}").into(),
    }
}

fn accept(key: u8, input: u8) -> RecordBody {
    RecordBody::Accept(OnlineRequest {
        key: format!("k{key}").into(),
        workspace: "w".into(),
        service: "s".into(),
        input: format!("i{input}").into(),
        max_tokens: 1,
        deadline_ms: 1,
        idempotent: false,
    })
}

fn claim(read: u64) -> RecordBody {
    RecordBody::Claim(ShardClaim {
        owner: owner(),
        read: Offset(read),
    })
}

fn submission(job: u8) -> Vec<RecordBody> {
    let half = JOB_ITEMS / 2;
    let inputs = |first: u32| -> Vec<Arc<str>> {
        (first..first + half)
            .map(|item| format!("i{item}").into())
            .collect()
    };
    let digests = [0, half].map(|first| chunk_digest(&inputs(first)));
    let chunk = |first| {
        RecordBody::JobChunk(JobChunk {
            job: job_name(job),
            first,
            inputs: inputs(first),
        })
    };
    let header = JobHeader {
        job: format!("j{job}").into(),
        workspace: "w".into(),
        service: "s".into(),
        due_ms: 1,
        max_tokens: 1,
        idempotent: true,
    };
    let seal = JobSeal {
        header,
        total: JOB_ITEMS,
        digest: job_digest(digests.into_iter()),
    };
    vec![chunk(0), chunk(half), RecordBody::JobSeal(seal)]
}

/// Records that are no copies.
fn bodies_of(step: &LogStep) -> Vec<RecordBody> {
    match step.clone() {
        LogStep::Accept { key, input } => vec![accept(key, input)],
        LogStep::Announce { key } => vec![RecordBody::Running(KeyRunning { key: key_name(key) })],
        LogStep::Complete {
            key,
            text: number,
            not_run,
        } => {
            let refused = ItemOutcome::NotRun { retry_after_ms: 1 };
            let outcome = if not_run { refused } else { text(number) };
            vec![RecordBody::Outcome(KeyOutcome {
                key: key_name(key),
                outcome,
            })]
        }
        LogStep::Submit { job } => submission(job),
        LogStep::CompleteItems {
            job,
            items,
            text: number,
            failed,
        } => {
            let reason = format!("f{number}").into();
            let outcome = if failed {
                ItemOutcome::Failed { reason }
            } else {
                text(number)
            };
            let outcomes = items
                .into_iter()
                .map(|item| (item, outcome.clone()))
                .collect();
            vec![RecordBody::ItemOutcomes(ItemOutcomes {
                job: job_name(job),
                outcomes,
            })]
        }
        LogStep::StartItems { job, items } => {
            vec![RecordBody::ItemsRunning(ItemsRunning {
                job: job_name(job),
                items,
            })]
        }
        LogStep::CountAttempts { job, items } => {
            vec![RecordBody::ItemAttempts(ItemAttempts {
                job: job_name(job),
                items,
            })]
        }
        LogStep::Cancel { job } => vec![RecordBody::JobCancel(JobCancel { job: job_name(job) })],
        _ => vec![],
    }
}

fn window_at(before: u64, now: u64) -> RetentionWindow {
    RetentionWindow {
        before: Offset(before),
        now_ms: now * STEP_MS,
        ttl_ms: u64::MAX / 2,
        broken_off_ms: u64::MAX / 2,
    }
}

fn copies(log: &ShardLog, state: &ShardState, steps: Vec<RetentionStep>) -> Vec<RecordBody> {
    let records = log.records();
    let as_of = state.applied();
    let mut bodies = Vec::new();
    for step in steps {
        match step {
            RetentionStep::CarryKey { key } => {
                let copy = copy_key(as_of, state.key(&key).unwrap(), &records).unwrap();
                bodies.push(RecordBody::CarriedKey(copy));
            }
            RetentionStep::CarryItems { job, first, count } => {
                let job = state.job(&job).unwrap();
                let copy = copy_items(as_of, job, first, count, &records).unwrap();
                bodies.extend(
                    split_items(copy, 40)
                        .into_iter()
                        .map(RecordBody::CarriedItems),
                );
            }
            RetentionStep::Forget { name, job } => {
                bodies.push(RecordBody::Forget(ForgetName { as_of, name, job }));
            }
        }
    }
    bodies
}

/// How copies are written.
#[derive(Clone, Copy, PartialEq)]
enum CopyMode {
    None,
    Copies,
    /// Copies, and forgetting of results older than this, in milliseconds.
    Forget(u64),
}

/// Writes the steps.
fn write_log(steps: &[LogStep], mode: CopyMode) -> (ShardLog, ShardState) {
    let mut log = ShardLog::default();
    let mut state = ShardState::new(ShardIndex(0));
    let mut planned = Vec::new();
    let mut originals: Vec<usize> = Vec::new();
    log.push(&mut state, Epoch(1), claim(0));
    for step in steps {
        let epoch = state.epoch();
        match step {
            LogStep::Claim => {
                let read = log.entries.len();
                originals.push(read);
                log.push(&mut state, epoch.next(), claim(read as u64));
            }
            LogStep::Stale { key, text: number } => {
                let outcome = text(*number);
                let key = key_name(*key);
                let body = RecordBody::Outcome(KeyOutcome { key, outcome });
                log.push(&mut state, Epoch(epoch.0 - 1), body);
            }
            LogStep::Repeat { back } => {
                let at = originals.len().checked_sub(back + 1);
                if let Some(at) = at {
                    let record = log.entries[originals[at]].1.clone();
                    log.push_record(&mut state, record);
                }
            }
            LogStep::Plan { age } if mode != CopyMode::None && planned.is_empty() => {
                planned = plan(&log, &state, *age, mode);
            }
            LogStep::Write => {
                for body in planned.drain(..) {
                    log.push(&mut state, epoch, body);
                }
            }
            step => {
                let forget = forget_refused(&state, step);
                for body in forget.into_iter().chain(bodies_of(step)) {
                    originals.push(log.entries.len());
                    let body = open_only(&state, body);
                    log.push(&mut state, epoch, body);
                }
            }
        }
        assert_eq!(verify_shard(&state), vec![]);
    }
    (log, state)
}

fn plan(log: &ShardLog, state: &ShardState, age: u64, mode: CopyMode) -> Vec<RecordBody> {
    let now = log.entries.len() as u64;
    let mut window = window_at(now.saturating_sub(age), now);
    let mut limits = StepLimits {
        copies: 5,
        forgets: 0,
    };
    if let CopyMode::Forget(ttl_ms) = mode {
        window.ttl_ms = ttl_ms;
        limits.forgets = 5;
    }
    copies(log, state, plan_steps(state, &window, limits))
}

/// Forgets a key that was refused as not run before it is accepted anew, as owners do.
fn forget_refused(state: &ShardState, step: &LogStep) -> Option<RecordBody> {
    let LogStep::Accept { key, .. } = step else {
        return None;
    };
    let name = key_name(*key);
    let refused = state.key(&name)?.outcome?.not_run;
    let as_of = state.applied();
    let job = false;
    refused.then_some(RecordBody::Forget(ForgetName { as_of, name, job }))
}

/// Announces only items that are open, as owners do.
fn open_only(state: &ShardState, body: RecordBody) -> RecordBody {
    let RecordBody::ItemsRunning(mut running) = body else {
        return body;
    };
    let states = state.job(&running.job).map(|job| job.states().to_vec());
    let open = |item: &u32| {
        let states = states.as_ref();
        states.is_some_and(|states| states.get(*item as usize) == Some(&ItemState::Open))
    };
    running.items.retain(open);
    running.items.dedup();
    RecordBody::ItemsRunning(running)
}

proptest! {
    #[test]
    fn copies_change_nothing_that_is_visible(steps in prop::collection::vec(log_step(), 1..60)) {
        let (plain, plain_state) = write_log(&steps, CopyMode::None);
        let (log, state) = write_log(&steps, CopyMode::Copies);
        let expected = plain.visible(&plain_state);
        prop_assert_eq!(log.visible(&state), expected);
    }

    #[test]
    fn a_reader_that_starts_late_sees_the_same(
        steps in prop::collection::vec(log_step(), 1..60),
        forget in prop::option::of(0..20 * STEP_MS),
    ) {
        let mode = forget.map_or(CopyMode::Copies, CopyMode::Forget);
        let (log, state) = write_log(&steps, mode);
        let end = log.entries.len() as u64;
        let expected = log.visible(&state);
        for from in 1..end {
            if verify_retained(&state, Offset(from)).is_empty()
                && state.start_of(Offset(from)).is_some()
            {
                let late = log.replay(from);
                prop_assert_eq!(log.visible(&late), log.visible(&state), "from {}", from);
                prop_assert_eq!(verify_shard(&late), vec![]);
            }
        }
        prop_assert_eq!(log.visible(&log.replay(0)), expected);
    }

    #[test]
    fn planned_copies_make_the_whole_state_safe(steps in prop::collection::vec(log_step(), 1..60)) {
        let (mut log, mut state) = write_log(&steps, CopyMode::Copies);
        let epoch = state.epoch().next();
        let from = log.entries.len() as u64;
        log.push(&mut state, epoch, claim(from));
        let limits = StepLimits { copies: 3, forgets: 3 };
        for _ in 0..100 {
            let window = window_at(from, log.entries.len() as u64);
            let steps = plan_steps(&state, &window, limits);
            if steps.is_empty() {
                break;
            }
            for body in copies(&log, &state, steps) {
                log.push(&mut state, epoch, body);
            }
        }
        prop_assert_eq!(verify_retained(&state, Offset(from)), vec![]);
        prop_assert_eq!(log.visible(&log.replay(from)), log.visible(&state));
    }
}
