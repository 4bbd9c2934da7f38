//! Makes copies of keys and items from the records that hold them.
//!
//! The caller reads the records at the places returned here and makes the copy from the state as it
//! is then; `as_of` is the place of the newest record in that state. If the state has come to refer
//! to another place in the meantime, no copy is made and the step is planned again.

use crate::shard::KeyEntry;
use crate::shard::jobs::{ChunkEntry, ItemState, JobEntry};
use fulmarswitch_records::record::{ItemCopy, ItemRangeCopy, KeyCopy};
use fulmarswitch_records::{ItemOutcome, OnlineRequest, RecordBody, RecordPlace, SortedIndex};
use std::sync::Arc;

/// Size of an item without its texts, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 16;

/// Records that were read from the log, by place.
pub type RecordsByPlace = SortedIndex<RecordPlace, RecordBody>;

/// Returns the places of the records that a copy of the key needs.
#[must_use]
pub fn key_places(entry: &KeyEntry) -> Vec<RecordPlace> {
    let outcome = entry.outcome.map(|result| result.place);
    std::iter::once(entry.request_place)
        .chain(outcome)
        .collect()
}

/// Makes a copy of a key; `None` if a record is missing.
#[must_use]
pub fn copy_key(as_of: RecordPlace, entry: &KeyEntry, records: &RecordsByPlace) -> Option<KeyCopy> {
    let request = request_in(records.get(&entry.request_place)?)?.clone();
    let outcome = match &entry.outcome {
        Some(result) => Some(key_outcome_in(records.get(&result.place)?)?.clone()),
        None => None,
    };
    Some(KeyCopy {
        as_of,
        request,
        announced: entry.announced,
        outcome,
        completed_ms: entry.outcome.map_or(0, |result| result.completed_ms),
    })
}

/// Returns the places of the records that a copy of a range of items needs, sorted and without
/// duplicates.
#[must_use]
pub fn items_places(job: &JobEntry, first: u32, count: u32) -> Vec<RecordPlace> {
    let mut places: Vec<RecordPlace> = (first..first.saturating_add(count))
        .filter_map(|item| source_place(job, item))
        .collect();
    places.sort_unstable();
    places.dedup();
    places
}

/// Makes a copy of a range of items; `None` if a record is missing or the job does not have these
/// items.
#[must_use]
pub fn copy_items(
    as_of: RecordPlace,
    job: &JobEntry,
    first: u32,
    count: u32,
    records: &RecordsByPlace,
) -> Option<ItemRangeCopy> {
    let seal = job.seal()?;
    let mut items = Vec::with_capacity(count as usize);
    for item in first..first.checked_add(count)? {
        items.push(copy_item(job, item, records)?);
    }
    Some(ItemRangeCopy {
        as_of,
        seal: (**seal).clone(),
        cancelled: job.is_cancelled(),
        completed_ms: job.completed_ms(),
        first,
        items,
    })
}

/// Splits a copy into parts of at most `limit` bytes each, or one item if it is larger.
#[must_use]
pub fn split_items(copy: ItemRangeCopy, limit: usize) -> Vec<ItemRangeCopy> {
    let mut parts = Vec::new();
    let mut first = copy.first;
    let mut part: Vec<ItemCopy> = Vec::new();
    let mut bytes = 0;
    let part_of = |first, items| ItemRangeCopy {
        seal: copy.seal.clone(),
        first,
        items,
        ..copy
    };
    for item in copy.items {
        let size = item_bytes(&item);
        if !part.is_empty() && bytes + size > limit {
            let count = u32::try_from(part.len()).unwrap_or(u32::MAX);
            parts.push(part_of(first, std::mem::take(&mut part)));
            first += count;
            bytes = 0;
        }
        bytes += size;
        part.push(item);
    }
    parts.push(part_of(first, part));
    parts
}

/// Returns the outcome of an item from a record; `None` if the record does not hold it.
#[must_use]
pub fn item_outcome_in(body: &RecordBody, item: u32) -> Option<&ItemOutcome> {
    match body {
        RecordBody::ItemOutcomes(outcomes) => outcomes
            .outcomes
            .iter()
            .find(|(index, _)| *index == item)
            .map(|(_, outcome)| outcome),
        RecordBody::ItemRangeCopy(copy) => {
            let index = item.checked_sub(copy.first)?;
            copy.items.get(index as usize)?.outcome.as_ref()
        }
        _ => None,
    }
}

/// Returns the input of an item from a record; `None` if the record does not hold it.
#[must_use]
pub fn item_input_in(body: &RecordBody, item: u32) -> Option<&Arc<str>> {
    match body {
        RecordBody::JobChunk(chunk) => chunk.inputs.get(item.checked_sub(chunk.first)? as usize),
        RecordBody::ItemRangeCopy(copy) => {
            let index = item.checked_sub(copy.first)?;
            copy.items.get(index as usize).map(|item| &item.input)
        }
        _ => None,
    }
}

/// Returns the outcome of a key from a record; `None` if the record does not hold one.
#[must_use]
pub fn key_outcome_in(body: &RecordBody) -> Option<&ItemOutcome> {
    match body {
        RecordBody::Outcome(outcome) => Some(&outcome.outcome),
        RecordBody::KeyCopy(copy) => copy.outcome.as_ref(),
        _ => None,
    }
}

/// Returns the request from a record; `None` if the record does not hold one.
#[must_use]
pub fn request_in(body: &RecordBody) -> Option<&OnlineRequest> {
    match body {
        RecordBody::Accept(request) => Some(request),
        RecordBody::KeyCopy(copy) => Some(&copy.request),
        _ => None,
    }
}

/// Returns the place of the record that a copy of an item needs: its result, or else its input.
fn source_place(job: &JobEntry, item: u32) -> Option<RecordPlace> {
    let state = job.states().get(item as usize)?;
    if state.is_final() {
        job.result_of(item)
    } else {
        job.chunk_of(item).map(|chunk: &ChunkEntry| chunk.place)
    }
}

fn copy_item(job: &JobEntry, item: u32, records: &RecordsByPlace) -> Option<ItemCopy> {
    let state = *job.states().get(item as usize)?;
    let mut copy = ItemCopy {
        input: "".into(),
        announced: state == ItemState::Announced,
        attempts: job.attempts_of(item),
        outcome: None,
    };
    match (state, source_place(job, item)) {
        (ItemState::Open | ItemState::Announced, Some(place)) => {
            copy.input = item_input_in(records.get(&place)?, item)?.clone();
        }
        (ItemState::Open | ItemState::Announced, None) => return None,
        (_, Some(place)) => {
            copy.outcome = Some(item_outcome_in(records.get(&place)?, item)?.clone());
        }
        // A cancellation completes items without naming them.
        (ItemState::MayHaveRun, None) => copy.outcome = Some(ItemOutcome::MayHaveRun),
        (_, None) => copy.outcome = Some(ItemOutcome::Cancelled),
    }
    Some(copy)
}

fn item_bytes(item: &ItemCopy) -> usize {
    let outcome = match &item.outcome {
        Some(ItemOutcome::Done { text }) => text.len(),
        Some(ItemOutcome::Failed { reason }) => reason.len(),
        _ => 0,
    };
    ITEM_OVERHEAD_BYTES + item.input.len() + outcome
}
