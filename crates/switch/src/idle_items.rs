//! Items that a host keeps from the others without running them, as it starts no items.
//!
//! A host that does not follow the job records may not know that an item has ended, so it starts none while others do. Those that it has output of,
//! and those whose outcome it cannot append, are its own for a while, as mostly it follows the records again soon. Later the others run them,
//! from the last checkpoint on. The first outcome in the log counts.

use crate::schedule::ItemName;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an item is kept: the output that its last run left is in a checkpoint by then, if the log accepts any.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Since when a host that starts no items has kept each item.
#[derive(Clone, Debug, Default)]
pub struct IdleItems {
    /// Sorted by name.
    entries: Vec<(ItemName, Instant)>,
}

impl IdleItems {
    /// Records the items that the host keeps at `now` without running them. Others are forgotten.
    pub fn record(&mut self, mut names: Vec<ItemName>, now: Instant) {
        names.sort_unstable();
        names.dedup();
        let since = |name: &ItemName| self.search(name).map_or(now, |index| self.entries[index].1);
        let entries = names.into_iter().map(|name| (since(&name), name));
        self.entries = entries.map(|(since, name)| (name, since)).collect();
    }

    /// Forgets all items, as the host starts items.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Whether an item was kept for so long that it is left to the other hosts.
    ///
    /// ```
    /// use fulmarswitch_switch::idle_items::IdleItems;
    /// use fulmarswitch_switch::schedule::ItemName;
    /// use std::time::Duration;
    /// let mut items = IdleItems::default();
    /// let name = ItemName { job: "j".into(), item: 0 };
    /// let start = tokio::time::Instant::now();
    /// items.record(vec![name.clone()], start);
    /// assert!(!items.is_released(&name, start + Duration::from_secs(1)));
    /// assert!(items.is_released(&name, start + Duration::from_secs(5)));
    /// ```
    #[must_use]
    pub fn is_released(&self, name: &ItemName, now: Instant) -> bool {
        self.search(name)
            .is_ok_and(|index| now >= self.entries[index].1 + MAX_IDLE_TIME)
    }

    fn search(&self, name: &ItemName) -> Result<usize, usize> {
        self.entries.binary_search_by(|(known, _)| known.cmp(name))
    }
}
