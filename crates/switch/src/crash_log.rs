//! Copies of the reports of crashes in the log, for hosts that no other host can tell of them: those that start after
//! all others were lost, and those that are cut off from the others. Hosts that hear each other do not need them.
//!
//! A host keeps one record, which it replaces. It is responsible for the quarantines that rendezvous hashing assigns to it,
//! and writes all that it reports while it does not hear most of the others. Each quarantine is assigned to two hosts, since one
//! that others hear may hear none itself. What a record says expires as in a datagram.

use crate::backend::{KeyedRecord, LogEntry};
use crate::crash_exchange::{CrashNotice, apply_notices, report};
use crate::node::{SwitchNode, SwitchState, unix_time_ms};
use crate::quarantine::{Quarantine, QuarantineId};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Beginning of the keys of these records. The name of the host follows.
const KEY_PREFIX: &str = "crashes/";
/// Interval at which a host checks whether its record must be replaced. It bounds the calls to the log.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Number of hosts that store a quarantine.
const COPIES: usize = 2;
/// Maximum number of notices in a record.
const MAX_NOTICES: usize = 64;

/// Value of a record.
#[derive(Debug, Serialize, Deserialize)]
struct StoredReport {
    /// Time of the report in milliseconds since the Unix epoch.
    written_ms: u64,
    notices: Vec<CrashNotice>,
}

/// What a record has of a quarantine: its ID, its term and the number of its parts.
pub(crate) type StoredQuarantine = (QuarantineId, u8, usize);

/// What the record of this host is to hold.
struct WantedReport {
    quarantines: Vec<StoredQuarantine>,
    notices: Vec<CrashNotice>,
}

/// Replaces the record of this host whenever that is needed.
pub(crate) async fn store_reports(node: Arc<SwitchNode>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(wanted) = wanted_report(&node) else {
            continue;
        };
        let Some(record) = encode(&node, wanted.notices) else {
            continue;
        };
        let partition = &node.settings.topics.hosts;
        match node.deps.log.append(partition, &[record]).await {
            Ok(offset) => {
                info!(node.deps.logger, "crashes stored"; "offset" => offset,
                    "quarantines" => wanted.quarantines.len());
                node.lock().crashes.stored = wanted.quarantines;
            }
            // The next check repeats it. A record that was appended nevertheless is replaced.
            Err(error) => info!(node.deps.logger, "crashes not stored"; "cause" => %error),
        }
    }
}

/// What the record of this host is to hold; `None` if it holds that.
fn wanted_report(node: &SwitchNode) -> Option<WantedReport> {
    let now = Instant::now();
    let mut state = node.lock();
    let is_isolated = !state.members.hears_most(now);
    let has_news = std::mem::take(&mut state.crashes.has_unstored_crash);
    let quarantines = responsible_for(node, &state, is_isolated, now);
    if quarantines == state.crashes.stored && !(is_isolated && has_news) {
        return None;
    }
    let is_kept = |notice: &CrashNotice| match notice {
        CrashNotice::Quarantine { id, parts, .. } => {
            !parts.is_empty() && quarantines.iter().any(|stored| stored.0 == *id)
        }
        _ => is_isolated,
    };
    let mut notices = report(&state, None, now);
    notices.retain(is_kept);
    notices.truncate(MAX_NOTICES);
    Some(WantedReport {
        quarantines,
        notices,
    })
}

/// The quarantines in force that this host stores: those assigned to it, those in its record, and all while it is isolated.
fn responsible_for(
    node: &SwitchNode,
    state: &SwitchState,
    is_isolated: bool,
    now: Instant,
) -> Vec<StoredQuarantine> {
    let own = &*node.settings.descriptor.name;
    let crashes = &state.crashes;
    let is_own = |quarantine: &&Quarantine| {
        let is_stored = crashes
            .stored
            .iter()
            .any(|stored| stored.0 == quarantine.id);
        let hash = quarantine.id.hash();
        let members = &state.members;
        is_isolated || is_stored || members.is_among_assigned(hash, own, COPIES, now)
    };
    let quarantines = crashes.quarantine.iter();
    let in_force = quarantines.filter(|quarantine| !quarantine.parts.is_empty());
    let own = in_force.filter(is_own);
    own.map(stored_form).collect()
}

fn stored_form(quarantine: &Quarantine) -> StoredQuarantine {
    (quarantine.id, quarantine.term, quarantine.parts.len())
}

/// Encodes the record of this host. A report without notices removes it.
fn encode(node: &SwitchNode, notices: Vec<CrashNotice>) -> Option<KeyedRecord> {
    let key = format!("{KEY_PREFIX}{}", node.settings.descriptor.name);
    let value = if notices.is_empty() {
        Vec::new()
    } else {
        let written_ms = unix_time_ms();
        match postcard::to_stdvec(&StoredReport {
            written_ms,
            notices,
        }) {
            Ok(value) => value,
            Err(error) => {
                warn!(node.deps.logger, "crashes not encoded"; "cause" => %error);
                return None;
            }
        }
    };
    Some(KeyedRecord {
        key: key.into_bytes().into(),
        value: value.into(),
    })
}

/// Applies a record of the hosts' partition if it is a report. Returns whether it is one.
pub(crate) fn apply_record(node: &SwitchNode, entry: &LogEntry) -> bool {
    let key = String::from_utf8_lossy(&entry.record.key);
    let Some(host) = key.strip_prefix(KEY_PREFIX) else {
        return false;
    };
    if entry.record.value.is_empty() {
        return true;
    }
    match postcard::from_bytes::<StoredReport>(&entry.record.value) {
        Ok(stored) => {
            let age_ms = unix_time_ms().saturating_sub(stored.written_ms);
            let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
            let notices: Vec<_> = stored
                .notices
                .into_iter()
                .filter_map(|notice| notice.aged(age_ms))
                .collect();
            if host == &*node.settings.descriptor.name {
                let mut state = node.lock();
                state.crashes.stored = notices.iter().filter_map(stored_notice).collect();
            }
            apply_notices(node, &host.into(), notices);
        }
        Err(error) => warn!(node.deps.logger, "stored crashes ignored";
            "offset" => entry.offset, "cause" => %error),
    }
    true
}

fn stored_notice(notice: &CrashNotice) -> Option<StoredQuarantine> {
    match notice {
        CrashNotice::Quarantine {
            id, term, parts, ..
        } => Some((*id, *term, parts.len())),
        _ => None,
    }
}
