//! Which software versions have served lately, and which of them began a stream, as far as that must outlive all hosts.
//!
//! Hosts keep origins of streams in memory ([`crate::origins`]). After a loss of all hosts nobody has them, and a host that starts then sees
//! the versions that are listed, not those that served before. What it needs is in the log:
//!
//! - the history of the versions of each service ([`history`]), one record for each change. If only one version has served for as long as
//!   streams live, it began them all;
//! - the origins of streams, while several versions serve or did lately (`origin_log`).

pub mod history;
pub(crate) mod origin_log;
pub(crate) mod store;

use crate::node::{SwitchState, unix_time_ms};
use crate::origins::{RETENTION, VersionKey};
use history::VersionHistory;
use std::sync::Arc;
use tokio::time::Instant;

/// What a host knows of versions from the log, and what it has yet to write there.
#[derive(Debug, Default)]
pub(crate) struct VersionState {
    pub(crate) history: VersionHistory,
    /// Origins of streams that this host has to write to the log.
    unstored: origin_log::OriginQueue,
}

impl SwitchState {
    /// The version of all endpoints of these services that can have begun a stream which is taken up now; `None` if there may be several. A
    /// host that has not watched the listings for as long as streams live goes by the history in the log.
    pub(crate) fn sole_version(&self, services: &[&str], now: Instant) -> Option<VersionKey> {
        let seen = self.endpoints.sole_version(services, now)?;
        if self.endpoints.watched_for(now) >= RETENTION {
            return Some(seen);
        }
        let history = &self.versions.history;
        let recorded = history.sole_version(services, unix_time_ms());
        recorded.filter(|version| *version == seen)
    }

    /// Services with the versions of their listed endpoints, sorted.
    fn listed_versions(&self) -> Vec<(Arc<str>, VersionKey)> {
        let mut versions = self.endpoints.versions();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}
