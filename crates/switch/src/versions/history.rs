//! History of the software versions of services.

use crate::jobs::MAX_CLOCK_SKEW;
use crate::node::millis;
use crate::origins::{RETENTION, VersionKey};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a version that no longer serves is removed from the history. Much longer than streams live.
const REMOVAL_AGE: Duration = Duration::from_mins(10);

/// One version of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Name of the service.
    pub service: Arc<str>,
    /// The version.
    pub version: VersionKey,
    /// When it was first seen, in milliseconds since the Unix epoch; 0 if it was the first one of a new system.
    pub since_ms: u64,
    /// When no endpoint of it was listed any more; `None` while one is.
    pub until_ms: Option<u64>,
}

/// Change that brings the history up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryChange {
    /// This record is new, or replaces the one of its version.
    Set(VersionRecord),
    /// The record of this version is removed.
    Remove {
        /// Name of the service.
        service: Arc<str>,
        /// The version.
        version: VersionKey,
    },
}

/// The history as this host has read it, sorted by service and version.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    records: Vec<VersionRecord>,
    has_read: bool,
}

impl VersionHistory {
    /// Records that all records of the log have been applied.
    pub fn mark_read(&mut self) {
        self.has_read = true;
    }

    /// Whether the history has been read.
    #[must_use]
    pub fn has_read(&self) -> bool {
        self.has_read
    }

    /// Applies a record that was read or written.
    pub fn apply(&mut self, record: VersionRecord) {
        match self.search(&record.service, record.version) {
            Ok(index) => self.records[index] = record,
            Err(index) => self.records.insert(index, record),
        }
    }

    /// Removes the record of a version.
    pub fn remove(&mut self, service: &str, version: VersionKey) {
        if let Ok(index) = self.search(service, version) {
            self.records.remove(index);
        }
    }

    /// The only version of these services that has served for as long as streams live; `None` if there are several, or the history does not
    /// reach back that far.
    ///
    /// ```
    /// use fulmarswitch_switch::origins::VersionKey;
    /// use fulmarswitch_switch::versions::history::{VersionHistory, VersionRecord};
    ///
    /// let version = VersionKey::of("service", "1");
    /// let mut history = VersionHistory::default();
    /// history.apply(VersionRecord { service: "service".into(), version, since_ms: 0, until_ms: None });
    /// assert_eq!(history.sole_version(&["service"], 100_000), None);
    /// history.mark_read();
    /// assert_eq!(history.sole_version(&["service"], 100_000), Some(version));
    /// assert_eq!(history.sole_version(&["other"], 100_000), None);
    /// ```
    #[must_use]
    pub fn sole_version(&self, services: &[&str], now_ms: u64) -> Option<VersionKey> {
        let begins_ms = now_ms.saturating_sub(millis(RETENTION + MAX_CLOCK_SKEW));
        let is_covered = |service: &&str| {
            let mut records = self.of_service(service);
            records.any(|record| record.since_ms <= begins_ms)
        };
        if !self.has_read || !services.iter().all(is_covered) {
            return None;
        }
        let records = services.iter().flat_map(|service| self.of_service(service));
        let recent = records.filter(|record| record.until_ms.is_none_or(|until| until > begins_ms));
        let mut versions = recent.map(|record| record.version);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Changes that bring the history up to date with the `listed` versions, sorted. `is_first_start` tells that no stream is older than
    /// this host, as the whole system starts for the first time.
    #[must_use]
    pub fn due_changes(
        &self,
        listed: &[(Arc<str>, VersionKey)],
        is_first_start: bool,
        now_ms: u64,
    ) -> Vec<HistoryChange> {
        let is_new_system = is_first_start && self.records.is_empty();
        let appeared = listed.iter().filter_map(|(service, version)| {
            let known = self.search(service, *version).ok();
            let known = known.map(|index| &self.records[index]);
            let since_ms = match known {
                Some(record) if record.until_ms.is_none() => return None,
                Some(record) => record.since_ms,
                None if is_new_system => 0,
                None => now_ms,
            };
            Some(HistoryChange::Set(VersionRecord {
                service: service.clone(),
                version: *version,
                since_ms,
                until_ms: None,
            }))
        });
        let unlisted = self.records.iter().filter(|record| {
            let key = (record.service.clone(), record.version);
            listed.binary_search(&key).is_err()
        });
        let left = unlisted.filter_map(|record| match record.until_ms {
            None => Some(HistoryChange::Set(VersionRecord {
                until_ms: Some(now_ms),
                ..record.clone()
            })),
            Some(until) if now_ms.saturating_sub(until) >= millis(REMOVAL_AGE) => {
                Some(HistoryChange::Remove {
                    service: record.service.clone(),
                    version: record.version,
                })
            }
            Some(_) => None,
        });
        appeared.chain(left).collect()
    }

    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a VersionRecord> {
        let records = self.records.iter();
        records.filter(move |record| &*record.service == service)
    }

    fn search(&self, service: &str, version: VersionKey) -> Result<usize, usize> {
        let key = (service, version);
        self.records
            .binary_search_by(|record| (&*record.service, record.version).cmp(&key))
    }
}
