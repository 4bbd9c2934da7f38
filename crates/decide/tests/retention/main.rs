//! Copies of state, interleaved with all other records.
//!
//! The log of one shard is generated step by step. Copies are planned at one step and written at a
//! later one. For every interleaving, the visible results are those of the same records without
//! copies, and a reader that starts at any offset that the verifier accepts sees the same results.

mod steps;

use fulmarswitch_decide::retention::copy::{
    RecordsByPlace, copy_items, copy_key, item_outcome_in, key_outcome_in, split_items,
};
use fulmarswitch_decide::retention::{
    RetentionStep, RetentionWindow, StepLimits, plan_steps, verify_retained,
};
use fulmarswitch_decide::shard::jobs::ItemState;
use fulmarswitch_decide::shard::verify::verify_shard;
use fulmarswitch_decide::shard::{ApplyResult, ShardState};
use fulmarswitch_records::record::{ForgetName, ItemsReturned, KeyOutcome};
use fulmarswitch_records::{
    Epoch, ItemOutcome, LogRecord, Offset, RecordBody, RecordId, RecordPlace, ShardIndex,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use steps::{JOB_ITEMS, LogStep, answer, bodies_of, claim, key_name, log_step, owner};

/// Time between two records by the clock of the log, in milliseconds.
const STEP_MS: u64 = 1_000;
/// State that callers can observe.
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
    fn push(&mut self, state: &mut ShardState, epoch: Epoch, body: RecordBody) -> ApplyResult {
        let offset = self.entries.len() as u64;
        let id = RecordId {
            writer: owner(),
            sequence: offset,
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

    fn push_record(&mut self, state: &mut ShardState, record: LogRecord) -> ApplyResult {
        let offset = self.entries.len() as u64;
        let result = state.apply(place_of(offset), offset * STEP_MS, &record);
        self.entries.push((offset * STEP_MS, record));
        result
    }

    fn replay(&self, from: u64) -> ShardState {
        let mut state = ShardState::starting_at(ShardIndex(0), Offset(from));
        for (offset, (at_ms, record)) in (0..)
            .zip(&self.entries)
            .skip(usize::try_from(from).unwrap())
        {
            state.apply(place_of(offset), *at_ms, record);
        }
        state
    }

    fn body(&self, place: RecordPlace) -> &RecordBody {
        &self.entries[usize::try_from(place.offset.0).unwrap()]
            .1
            .body
    }

    fn records(&self) -> RecordsByPlace {
        let mut records = RecordsByPlace::new();
        for (offset, (_, record)) in (0..).zip(&self.entries) {
            records.insert(place_of(offset), record.body.clone());
        }
        records
    }

    fn visible(&self, state: &ShardState) -> VisibleState {
        let mut visible = VisibleState::default();
        for (name, entry) in state.keys() {
            // A key whose request was given up without running is equivalent to an unknown key.
            if entry.outcome.is_some_and(|result| result.not_run) {
                continue;
            }
            let outcome = entry
                .outcome
                .map(|result| key_outcome_in(self.body(result.place)).unwrap().clone());
            visible
                .keys
                .push((name.clone(), entry.announced, entry.digest, outcome));
        }
        for (name, job) in state.jobs().filter(|(_, job)| job.seal().is_some()) {
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

fn window_at(before: u64, now: u64) -> RetentionWindow {
    RetentionWindow {
        before: Offset(before),
        now_ms: now * STEP_MS,
        ttl_ms: u64::MAX / 2,
        submission_ttl_ms: u64::MAX / 2,
    }
}

fn copies(log: &ShardLog, state: &ShardState, steps: Vec<RetentionStep>) -> Vec<RecordBody> {
    let records = log.records();
    let as_of = state.applied();
    let mut bodies = Vec::new();
    for step in steps {
        match step {
            RetentionStep::CopyKey { key } => {
                let copy = copy_key(as_of, state.key(&key).unwrap(), &records).unwrap();
                bodies.push(RecordBody::KeyCopy(copy));
            }
            RetentionStep::CopyItems { job, first, count } => {
                let job = state.job(&job).unwrap();
                let copy = copy_items(as_of, job, first, count, &records).unwrap();
                bodies.extend(
                    split_items(copy, 40)
                        .into_iter()
                        .map(RecordBody::ItemRangeCopy),
                );
            }
            RetentionStep::Forget { name, is_job } => {
                bodies.push(RecordBody::Forget(ForgetName {
                    as_of,
                    name,
                    is_job,
                }));
            }
        }
    }
    bodies
}

/// Whether copies and removals are planned.
#[derive(Clone, Copy, PartialEq)]
enum CopyMode {
    None,
    Copies,
    /// Copies, and removal of results that are older than this, in milliseconds.
    Forget(u64),
}

/// Generates the log of the steps and the resulting state.
fn write_log(steps: &[LogStep], mode: CopyMode) -> (ShardLog, ShardState) {
    let mut log = ShardLog::default();
    let mut state = ShardState::new(ShardIndex(0));
    let mut planned = Vec::new();
    // Offsets of the records of each part of a step. Their number depends on the copies, that of the parts does not.
    let mut original_offsets: Vec<Vec<usize>> = Vec::new();
    log.push(&mut state, Epoch(1), claim(0));
    for step in steps {
        let epoch = state.epoch();
        match step {
            LogStep::Claim => {
                let read = log.entries.len();
                original_offsets.push(vec![read]);
                log.push(&mut state, epoch.next(), claim(read as u64));
            }
            LogStep::Stale {
                key,
                answer: number,
            } => {
                let outcome = answer(*number);
                let key = key_name(*key);
                let body = RecordBody::Outcome(KeyOutcome { key, outcome });
                log.push(&mut state, Epoch(epoch.0 - 1), body);
            }
            LogStep::Repeat { back } => {
                let position = original_offsets.len().checked_sub(back + 1);
                for offset in position.map_or(&[][..], |position| &original_offsets[position]) {
                    let record = log.entries[*offset].1.clone();
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
                let forget = forget_not_run(&state, step);
                for body in forget.into_iter().chain(bodies_of(step)) {
                    let mut offsets = Vec::new();
                    for body in fit_to_state(&state, body) {
                        offsets.push(log.entries.len());
                        log.push(&mut state, epoch, body);
                    }
                    original_offsets.push(offsets);
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

/// Forgets a key whose request was given up without running before it is accepted again, as
/// owners do.
fn forget_not_run(state: &ShardState, step: &LogStep) -> Option<RecordBody> {
    let LogStep::Accept { key, .. } = step else {
        return None;
    };
    let name = key_name(*key);
    let not_run = state.key(&name)?.outcome?.not_run;
    let as_of = state.applied();
    let is_job = false;
    not_run.then_some(RecordBody::Forget(ForgetName {
        as_of,
        name,
        is_job,
    }))
}

/// Adapts a record to the state, as owners do: they announce only open items, and return announced items with one record
/// for each announcement, which it names.
fn fit_to_state(state: &ShardState, body: RecordBody) -> Vec<RecordBody> {
    if let RecordBody::ItemsReturned(returned) = body {
        return split_by_announcement(state, &returned);
    }
    let RecordBody::ItemsAnnounced(mut announcement) = body else {
        return vec![body];
    };
    let states = state
        .job(&announcement.job)
        .map(|job| job.states().to_vec());
    let is_open = |item: &u32| {
        let states = states.as_ref();
        states.is_some_and(|states| states.get(*item as usize) == Some(&ItemState::Open))
    };
    announcement.items.retain(is_open);
    announcement.items.dedup();
    vec![RecordBody::ItemsAnnounced(announcement)]
}

/// A copy identifies the announcements of the items that it covers, so that the same items may need more or fewer records
/// after it.
fn split_by_announcement(state: &ShardState, returned: &ItemsReturned) -> Vec<RecordBody> {
    let job = state.job(&returned.job);
    let mut by_place: BTreeMap<RecordPlace, Vec<u32>> = BTreeMap::new();
    for item in &returned.items {
        if let Some(place) = job.and_then(|job| job.announced_at(*item)) {
            by_place.entry(place).or_default().push(*item);
        }
    }
    let bodies = by_place.into_iter().map(|(announced, items)| {
        RecordBody::ItemsReturned(ItemsReturned {
            items,
            announced,
            ..returned.clone()
        })
    });
    bodies.collect()
}

proptest! {
    #[test]
    fn copies_do_not_change_the_visible_state(steps in prop::collection::vec(log_step(), 1..60)) {
        let (plain, plain_state) = write_log(&steps, CopyMode::None);
        let (log, state) = write_log(&steps, CopyMode::Copies);
        let expected = plain.visible(&plain_state);
        prop_assert_eq!(log.visible(&state), expected);
    }

    #[test]
    fn a_late_reader_sees_the_same_state(
        steps in prop::collection::vec(log_step(), 1..60),
        forget in prop::option::of(0..20 * STEP_MS),
    ) {
        let mode = forget.map_or(CopyMode::Copies, CopyMode::Forget);
        let (log, state) = write_log(&steps, mode);
        let end = log.entries.len() as u64;
        let expected = log.visible(&state);
        for from in 1..end {
            if verify_retained(&state, Offset(from)).is_empty()
                && state.replay_start(Offset(from)).is_some()
            {
                let late = log.replay(from);
                prop_assert_eq!(log.visible(&late), log.visible(&state), "from {}", from);
                prop_assert_eq!(verify_shard(&late), vec![]);
            }
        }
        prop_assert_eq!(log.visible(&log.replay(0)), expected);
    }

    #[test]
    fn planned_copies_cover_the_entire_state(steps in prop::collection::vec(log_step(), 1..60)) {
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

/// Guards against a job that expires since keys whose records are newer take all copies of each pass.
#[test]
fn copies_are_planned_in_the_order_in_which_their_records_expire() {
    let mut log = ShardLog::default();
    let mut state = ShardState::new(ShardIndex(0));
    log.push(&mut state, Epoch(1), claim(0));
    for body in bodies_of(&LogStep::Submit { job: 0 }) {
        log.push(&mut state, Epoch(1), body);
    }
    for key in 0..4 {
        for body in bodies_of(&LogStep::Accept { key, input: 0 }) {
            log.push(&mut state, Epoch(1), body);
        }
    }
    let end = log.entries.len() as u64;
    let limits = StepLimits {
        copies: 3,
        forgets: 0,
    };
    let copy_items = |first| RetentionStep::CopyItems {
        job: "w/j0".into(),
        first,
        count: JOB_ITEMS / 2,
    };
    let oldest_key = RetentionStep::CopyKey { key: key_name(0) };
    assert_eq!(
        plan_steps(&state, &window_at(end, end), limits),
        [copy_items(0), copy_items(JOB_ITEMS / 2), oldest_key]
    );
}

/// Guards against a key that a reader does not have although the log still has its records: the claim before them has expired, so that
/// the reader rejects them.
#[test]
fn state_is_copied_before_its_claim_expires() {
    let mut log = ShardLog::default();
    let mut state = ShardState::new(ShardIndex(0));
    log.push(&mut state, Epoch(1), claim(0));
    for body in bodies_of(&LogStep::Accept { key: 0, input: 0 }) {
        log.push(&mut state, Epoch(1), body);
    }
    let end = log.entries.len() as u64;
    log.push(&mut state, Epoch(2), claim(end));
    let limits = StepLimits {
        copies: 3,
        forgets: 0,
    };
    // The claim is old, and the key is not.
    let steps = plan_steps(&state, &window_at(1, end), limits);
    assert_eq!(steps, [RetentionStep::CopyKey { key: key_name(0) }]);
}

/// Result places must be dropped once no item uses them, or repeated copies would let their number
/// grow without bound.
#[test]
fn result_places_are_compacted() {
    let mut log = ShardLog::default();
    let mut state = ShardState::new(ShardIndex(0));
    log.push(&mut state, Epoch(1), claim(0));
    for body in bodies_of(&LogStep::Submit { job: 0 }) {
        log.push(&mut state, Epoch(1), body);
    }
    let complete = LogStep::CompleteItems {
        job: 0,
        items: vec![0, 1, 2],
        answer: 0,
        failed: false,
    };
    for body in bodies_of(&complete) {
        log.push(&mut state, Epoch(1), body);
    }
    for _ in 0..400 {
        let steps = plan(&log, &state, 0, CopyMode::Copies);
        for body in steps {
            log.push(&mut state, Epoch(1), body);
        }
    }
    let job = state.job("w/j0").expect("the job is accepted");
    assert!(
        job.result_place_count() <= 64,
        "{} result places are kept",
        job.result_place_count()
    );
    assert_eq!(log.visible(&log.replay(0)), log.visible(&state));
}
