//! Why open items of jobs do not run at a host.

use crate::schedule::ItemName;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Whether an open item runs at this host, or why it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus {
    /// It runs here.
    Running,
    /// It has ended here, or its output was discarded, and the log does not say so yet.
    Unrecorded,
    /// It has not been looked at since it became this host's.
    Due,
    /// This host stops.
    Stopping,
    /// This host is cut off from the endpoints.
    CutOff,
    /// This host is handing its items over, as it was cut off.
    HandingOver,
    /// This host has not read a configuration.
    NoConfiguration,
    /// This host does not know yet which other hosts are live.
    HostsUnknown,
    /// This host has not read the log lately, and others have.
    LogUnread,
    /// Another host claims it.
    Claimed,
    /// It is assigned to another host.
    Assigned,
    /// This host has no share in the limits of its endpoints, and gives it to one that has.
    Released,
    /// The configuration has no route for its job.
    RouteMissing,
    /// It waits after a run that failed or broke off.
    BackingOff,
    /// Endpoints crash under parts of its prompt.
    Quarantined,
    /// The endpoints of the software version that wrote its output have no free slot, and others have.
    VersionFull,
    /// No endpoint has a free slot.
    NoSlot,
    /// Slots are free, but other items of this host have taken its part of them in this pass.
    QuotaUsed,
    /// A coordinator has not granted an endpoint.
    NotGranted,
}

impl ItemStatus {
    /// All statuses, in the order of their declaration.
    pub const ALL: [Self; 19] = [
        Self::Running,
        Self::Unrecorded,
        Self::Due,
        Self::Stopping,
        Self::CutOff,
        Self::HandingOver,
        Self::NoConfiguration,
        Self::HostsUnknown,
        Self::LogUnread,
        Self::Claimed,
        Self::Assigned,
        Self::Released,
        Self::RouteMissing,
        Self::BackingOff,
        Self::Quarantined,
        Self::VersionFull,
        Self::NoSlot,
        Self::QuotaUsed,
        Self::NotGranted,
    ];

    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Unrecorded => "outcome not recorded",
            Self::Due => "due",
            Self::Stopping => "host stops",
            Self::CutOff => "host cut off",
            Self::HandingOver => "host hands over",
            Self::NoConfiguration => "no configuration",
            Self::HostsUnknown => "live hosts unknown",
            Self::LogUnread => "log not read",
            Self::Claimed => "claimed by another host",
            Self::Assigned => "assigned to another host",
            Self::Released => "no share in limits",
            Self::RouteMissing => "route missing",
            Self::BackingOff => "backing off",
            Self::Quarantined => "quarantined",
            Self::VersionFull => "version full",
            Self::NoSlot => "no free slot",
            Self::QuotaUsed => "start quota used",
            Self::NotGranted => "not granted",
        }
    }
}

impl fmt::Display for ItemStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Number of open items by status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusCounts([usize; ItemStatus::ALL.len()]);

impl StatusCounts {
    /// Counts items of a status.
    pub fn add(&mut self, status: ItemStatus, count: usize) {
        self.0[status as usize] += count;
    }

    /// All statuses with their numbers of items.
    pub fn iter(&self) -> impl Iterator<Item = (ItemStatus, usize)> {
        ItemStatus::ALL.into_iter().zip(self.0)
    }
}

/// Lists the statuses that items have.
///
/// ```
/// use fulmarswitch_switch::item_status::{ItemStatus, StatusCounts};
/// let mut counts = StatusCounts::default();
/// counts.add(ItemStatus::NoSlot, 3);
/// counts.add(ItemStatus::Claimed, 1);
/// assert_eq!(counts.to_string(), "claimed by another host: 1, no free slot: 3");
/// ```
impl fmt::Display for StatusCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = self.iter().filter(|(_, count)| *count > 0);
        for (index, (status, count)) in used.enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{status}: {count}")?;
        }
        Ok(())
    }
}

/// An item that this host is to run, and that does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Name of the item.
    pub name: ItemName,
    /// Why it did not start in the last scheduling pass.
    pub status: ItemStatus,
    /// Since when it waits.
    pub since: Instant,
}

/// What the last scheduling pass found of the open items.
#[derive(Clone, Debug, Default)]
pub struct ItemWaits {
    /// Items that this host is to run, sorted by name.
    waiting: Vec<WaitingItem>,
    counts: StatusCounts,
}

impl ItemWaits {
    /// Records a pass. An item that waited before keeps the start of its wait.
    ///
    /// ```
    /// use fulmarswitch_switch::item_status::{ItemStatus, ItemWaits, StatusCounts};
    /// use fulmarswitch_switch::schedule::ItemName;
    /// use std::time::Duration;
    /// let name = ItemName { job: "j".into(), item: 0 };
    /// let start = tokio::time::Instant::now();
    /// let mut waits = ItemWaits::default();
    /// for pass in 0..3 {
    ///     let waiting = vec![(name.clone(), ItemStatus::NoSlot)];
    ///     let now = start + Duration::from_secs(pass);
    ///     waits.record_pass(waiting, StatusCounts::default(), now);
    ///     assert_eq!(waits.longest(now), Duration::from_secs(pass));
    /// }
    /// ```
    pub fn record_pass(
        &mut self,
        mut waiting: Vec<(ItemName, ItemStatus)>,
        mut counts: StatusCounts,
        now: Instant,
    ) {
        waiting.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        let waiting = waiting.into_iter().map(|(name, status)| {
            counts.add(status, 1);
            let since = self.get(&name).map_or(now, |known| known.since);
            WaitingItem {
                name,
                status,
                since,
            }
        });
        self.waiting = waiting.collect();
        self.counts = counts;
    }

    /// Records a pass in which no item could start for one reason.
    pub fn record_blocked(&mut self, status: ItemStatus, counts: StatusCounts) {
        for item in &mut self.waiting {
            item.status = status;
        }
        self.counts = counts;
    }

    /// Keeps the items that `is_open` selects.
    pub fn retain(&mut self, is_open: impl Fn(&ItemName) -> bool) {
        self.waiting.retain(|item| is_open(&item.name));
    }

    /// An item that waits here.
    #[must_use]
    pub fn get(&self, name: &ItemName) -> Option<&WaitingItem> {
        let index = self.waiting.binary_search_by(|item| item.name.cmp(name));
        Some(&self.waiting[index.ok()?])
    }

    /// Items that this host is to run, sorted by name.
    #[must_use]
    pub fn waiting(&self) -> &[WaitingItem] {
        &self.waiting
    }

    /// Number of open items by status.
    #[must_use]
    pub fn counts(&self) -> &StatusCounts {
        &self.counts
    }

    /// Longest time for which an item that this host is to run has waited.
    #[must_use]
    pub fn longest(&self, now: Instant) -> Duration {
        let first = self.waiting.iter().map(|item| item.since).min();
        first.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
