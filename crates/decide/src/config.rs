//! The configuration in force, replayed from the `config` stream.
//!
//! A change is accepted if its base version equals the version of the record at the change's offset
//! in the stream. When two operators race from the same version, the first change in the stream is
//! accepted and the other reported as a conflict. Changes are applied in offset order only, so the
//! configuration in force never reverts.

use fulmarswitch_records::config::{EndpointConfig, ModelConfig, ServiceConfig, WorkspaceConfig};
use fulmarswitch_records::record::ConfigCopy;
use fulmarswitch_records::{
    ConfigBody, ConfigChange, LogRecord, Offset, RecordBody, RecordPlace, SortedIndex,
};
use std::sync::Arc;

/// State of one configuration record.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigEntry {
    /// Number of accepted changes so far.
    pub version: u64,
    /// Newest accepted change, as published.
    pub change: ConfigChange,
    /// Parsed body of the change, as far as this version of the program understands it.
    pub body: ConfigBody,
    /// Offset of the newest accepted change, or of a later copy.
    pub offset: Offset,
    /// Offset at or before which a reader must start to have the record: that of its first change
    /// or of its newest copy.
    pub known_from: Offset,
}

/// Result of applying a configuration change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChangeResult {
    /// The change is in force.
    Accepted {
        /// Version of the record after the change.
        version: u64,
    },
    /// The base version is out of date, because another change was accepted first.
    Conflict {
        /// Current version of the record.
        current_version: u64,
    },
}

/// All configuration records, replayed from the stream.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    entries: SortedIndex<Arc<str>, ConfigEntry>,
    applied: Option<Offset>,
}

impl ConfigTable {
    /// Creates an empty table.
    ///
    /// ```
    /// use fulmarswitch_decide::config::ConfigTable;
    /// assert_eq!(ConfigTable::new().version_of("service/x"), 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one record and returns the result if it is a configuration change; `None` for
    /// records of any other kind.
    ///
    /// # Panics
    /// In debug builds, if records are not applied in offset order.
    pub fn apply(&mut self, place: RecordPlace, record: &LogRecord) -> Option<ConfigChangeResult> {
        debug_assert!(
            self.applied.is_none_or(|applied| applied <= place.offset),
            "configuration record at {place} applied after offset {:?}",
            self.applied
        );
        self.applied = Some(place.offset);
        match &record.body {
            RecordBody::Config(change) => Some(self.apply_change(place.offset, change)),
            RecordBody::ConfigCopy(copy) => {
                self.apply_copy(place.offset, copy);
                None
            }
            _ => None,
        }
    }

    /// Returns the version of a record; zero if no change of it has been accepted.
    #[must_use]
    pub fn version_of(&self, name: &str) -> u64 {
        self.entries.get(name).map_or(0, |entry| entry.version)
    }

    /// Returns the offset of the newest applied record; `None` before the first.
    #[must_use]
    pub fn applied(&self) -> Option<Offset> {
        self.applied
    }

    /// Returns a record in force; `None` if it is unknown or deleted.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&ConfigEntry> {
        self.entries
            .get(name)
            .filter(|entry| !entry.change.is_deletion())
    }

    /// Returns all records in force, without deleted ones.
    pub fn all(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries
            .iter()
            .map(|(_, entry)| entry)
            .filter(|entry| !entry.change.is_deletion())
    }

    /// Returns all records including deleted ones, whose versions keep counting.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }

    /// Returns copies of up to `limit` records that a reader starting at `before` would not have.
    #[must_use]
    pub fn plan_copies(&self, before: Offset, limit: usize) -> Vec<ConfigCopy> {
        let expiring = self.entries().filter(|entry| entry.known_from < before);
        let copies = expiring.map(|entry| ConfigCopy {
            version: entry.version,
            change: entry.change.clone(),
        });
        copies.take(limit).collect()
    }

    /// Returns the names of the records that a reader starting at `oldest` would not have.
    #[must_use]
    pub fn names_lost_before(&self, oldest: Offset) -> Vec<Arc<str>> {
        let unknown = self.entries().filter(|entry| entry.known_from < oldest);
        unknown
            .map(|entry| Arc::clone(&entry.change.name))
            .collect()
    }

    /// Returns the configuration of a service; `None` if there is none in force.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        match &self.get(&format!("service/{name}"))?.body {
            ConfigBody::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns the configuration of a workspace; `None` if there is none in force.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&WorkspaceConfig> {
        match &self.get(&format!("workspace/{name}"))?.body {
            ConfigBody::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }

    /// Returns the configuration of a model; `None` if there is none in force.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelConfig> {
        match &self.get(&format!("model/{name}"))?.body {
            ConfigBody::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Returns the configuration of an endpoint; `None` if there is none in force.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&EndpointConfig> {
        match &self.get(&format!("endpoint/{name}"))?.body {
            ConfigBody::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    /// Returns the names and configurations of all endpoints in force.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &EndpointConfig)> {
        self.all().filter_map(|entry| match &entry.body {
            ConfigBody::Endpoint(endpoint) => {
                Some((entry.change.name.strip_prefix("endpoint/")?, endpoint))
            }
            _ => None,
        })
    }

    /// Applies a copy, which replaces changes that have expired but never a newer version.
    fn apply_copy(&mut self, offset: Offset, copy: &ConfigCopy) {
        let current_version = self.version_of(&copy.change.name);
        if copy.version < current_version {
            return;
        }
        let change = copy.change.clone();
        let body = change.parse_lenient();
        let entry = ConfigEntry {
            version: copy.version,
            change,
            body,
            offset,
            known_from: offset,
        };
        self.entries.insert(copy.change.name.clone(), entry);
    }

    fn apply_change(&mut self, offset: Offset, change: &ConfigChange) -> ConfigChangeResult {
        let current_version = self.version_of(&change.name);
        if change.base_version != current_version {
            return ConfigChangeResult::Conflict { current_version };
        }
        let existing = self.entries.get(&change.name);
        let known_from = existing.map_or(offset, |entry| entry.known_from);
        let version = current_version + 1;
        let body = change.parse_lenient();
        let entry = ConfigEntry {
            version,
            change: change.clone(),
            body,
            offset,
            known_from,
        };
        self.entries.insert(change.name.clone(), entry);
        ConfigChangeResult::Accepted { version }
    }
}
