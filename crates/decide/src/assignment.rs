//! Which items of a job are handed out to gates.
//!
//! This is the volatile side of a job: an owner that takes over starts with what the one before tells it,
//! or with nothing, and offers every other open item again. What the log says of the items stands in [`crate::shard`].

use crate::shard::jobs::{ItemState, JobEntry};
use fulmarswitch_records::{HostIdentity, SortedIndex};
use std::time::Duration;

/// An item that a gate holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedItem {
    /// The gate's host.
    pub gate: HostIdentity,
    /// When the owner stops waiting for it.
    pub lease_until: Duration,
}

/// Items of one job that are handed out.
#[derive(Clone, Debug, Default)]
pub struct ItemAssignments {
    cursor: u32,
    returned: Vec<u32>,
    assigned: SortedIndex<u32, AssignedItem>,
}

impl ItemAssignments {
    /// Creates the handout of a job of which nothing is handed out.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of items that could be handed out.
    ///
    /// An item that is out may have its outcome already: a note of the owner before may come after the gate's
    /// report, and the report may be of another host's writing. Such items do not count.
    #[must_use]
    pub fn available(&self, job: &JobEntry) -> u32 {
        if job.accepted().is_none() {
            return 0;
        }
        let is_open = |item: u32| {
            let state = job.states().get(item as usize);
            state.is_some_and(|state| !state.is_final())
        };
        let assigned = self
            .assigned
            .iter()
            .filter(|(item, _)| is_open(**item))
            .count();
        let assigned = u32::try_from(assigned).unwrap_or(u32::MAX);
        job.counts().open.saturating_sub(assigned)
    }

    /// Picks up to `count` open items and notes that `gate` holds them.
    pub fn assign(
        &mut self,
        job: &JobEntry,
        gate: &HostIdentity,
        lease_until: Duration,
        count: u32,
    ) -> Vec<u32> {
        let mut items = Vec::new();
        while items.len() < count as usize {
            let Some(item) = self.next_open(job) else {
                break;
            };
            self.assigned.insert(
                item,
                AssignedItem {
                    gate: gate.clone(),
                    lease_until,
                },
            );
            items.push(item);
        }
        items
    }

    /// Notes that `gate` holds an item for the owner before this one.
    pub fn record_assigned(&mut self, item: u32, gate: &HostIdentity, lease_until: Duration) {
        let gate = gate.clone();
        self.assigned
            .insert(item, AssignedItem { gate, lease_until });
    }

    /// Returns the items that are handed out, with the hosts of their gates.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &HostIdentity)> {
        self.assigned
            .iter()
            .map(|(item, assignment)| (*item, &assignment.gate))
    }

    /// Notes that an item has come back, to be handed out again if it is still open.
    pub fn release(&mut self, item: u32) {
        if self.assigned.remove(&item).is_some() {
            self.returned.push(item);
        }
    }

    /// Notes that an announced item is open again, also when it was handed out by the owner before this one.
    pub fn reopen(&mut self, item: u32) {
        self.assigned.remove(&item);
        self.returned.push(item);
    }

    /// Notes that an item needs no more attention.
    pub fn remove(&mut self, item: u32) {
        self.assigned.remove(&item);
    }

    /// Takes back the items whose gate is lost or late, and returns them.
    pub fn reclaim_lost(
        &mut self,
        now: Duration,
        reachable: impl Fn(&HostIdentity) -> bool,
    ) -> Vec<u32> {
        let is_lost = |assignment: &AssignedItem| {
            assignment.lease_until <= now || !reachable(&assignment.gate)
        };
        let lost: Vec<u32> = self
            .assigned
            .iter()
            .filter(|(_, assignment)| is_lost(assignment))
            .map(|(item, _)| *item)
            .collect();
        for item in &lost {
            self.release(*item);
        }
        lost
    }

    /// Tells whether the item is handed out.
    #[must_use]
    pub fn is_assigned(&self, item: u32) -> bool {
        self.assigned.contains(&item)
    }

    fn next_open(&mut self, job: &JobEntry) -> Option<u32> {
        let open = |item: u32| job.states().get(item as usize) == Some(&ItemState::Open);
        while let Some(item) = self.returned.pop() {
            if open(item) && !self.assigned.contains(&item) {
                return Some(item);
            }
        }
        while (self.cursor as usize) < job.states().len() {
            let item = self.cursor;
            self.cursor += 1;
            if open(item) && !self.assigned.contains(&item) {
                return Some(item);
            }
        }
        None
    }
}
