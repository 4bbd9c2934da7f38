//! Tracks which items of a job are assigned to gates.
//!
//! This state is volatile. An owner that takes over a shard starts with the assignments that the
//! previous owner reports, or with none, and offers every other open item again. The durable state
//! of the items is in [`crate::shard`].

use crate::shard::jobs::{ItemState, JobEntry};
use fulmarswitch_records::{HostIdentity, SortedIndex};
use std::time::Duration;

/// Assignment of an item to a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedItem {
    /// Host of the gate.
    pub gate: HostIdentity,
    /// End of the lease, after which the owner reclaims the item.
    pub lease_until: Duration,
}

/// Assignments of the items of one job.
#[derive(Clone, Debug, Default)]
pub struct ItemAssignments {
    /// Index of the first item that this owner has not yet considered in order.
    cursor: u32,
    /// Items to assign again if they are still open.
    returned: Vec<u32>,
    assigned: SortedIndex<u32, AssignedItem>,
}

impl ItemAssignments {
    /// Creates the state of a job without assigned items.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of open items that are not assigned.
    ///
    /// An assigned item may already have its outcome, because the handover message of the previous
    /// owner can arrive after the report of the gate, which another host may have recorded. Such
    /// items do not count as assigned.
    #[must_use]
    pub fn available(&self, job: &JobEntry) -> u32 {
        if job.seal().is_none() {
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

    /// Assigns up to `count` open items to `gate` and returns them.
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

    /// Records an assignment that the previous owner made.
    pub fn record_assigned(&mut self, item: u32, gate: &HostIdentity, lease_until: Duration) {
        let gate = gate.clone();
        self.assigned
            .insert(item, AssignedItem { gate, lease_until });
    }

    /// Returns the assigned items with the hosts of their gates.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &HostIdentity)> {
        self.assigned
            .iter()
            .map(|(item, assignment)| (*item, &assignment.gate))
    }

    /// Ends the assignment of an item, which is assigned again if it is still open.
    pub fn release(&mut self, item: u32) {
        if self.assigned.remove(&item).is_some() {
            self.returned.push(item);
        }
    }

    /// Makes an item assignable again after a record has reopened it. The item need not be assigned
    /// here, because the previous owner may have assigned it.
    pub fn reopen(&mut self, item: u32) {
        self.assigned.remove(&item);
        self.returned.push(item);
    }

    /// Ends the assignment of an item that has its outcome.
    pub fn remove(&mut self, item: u32) {
        self.assigned.remove(&item);
    }

    /// Ends the assignments whose lease has expired or whose gate is not reachable, and returns the
    /// items.
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

    /// Returns whether an item is assigned.
    #[must_use]
    pub fn is_assigned(&self, item: u32) -> bool {
        self.assigned.contains(&item)
    }

    fn next_open(&mut self, job: &JobEntry) -> Option<u32> {
        let is_open = |item: u32| job.states().get(item as usize) == Some(&ItemState::Open);
        while let Some(item) = self.returned.pop() {
            if is_open(item) && !self.assigned.contains(&item) {
                return Some(item);
            }
        }
        while (self.cursor as usize) < job.states().len() {
            let item = self.cursor;
            self.cursor += 1;
            if is_open(item) && !self.assigned.contains(&item) {
                return Some(item);
            }
        }
        None
    }
}
