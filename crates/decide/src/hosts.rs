//! The hosts that take part, replayed from the `hosts` stream.
//!
//! A host is live from its join until it leaves or two neighbours report it silent within a few seconds of
//! each other on the log's clock; one is enough where only two hosts are live. A host that was taken to be
//! lost and is not joins again. A join of a higher
//! incarnation replaces the older run. The order on the stream decides, so all hosts come to the same
//! list; how far each has read is the only difference.

use fulmarswitch_records::record::{GateClaim, HostJoin, HostSuspicion};
use fulmarswitch_records::{HostIdentity, LogRecord, Offset, RecordBody, RecordPlace, SortedIndex};
use std::sync::Arc;

/// Neighbours that must report a host silent before it is taken to be lost.
const SUSPICION_QUORUM: usize = 2;
/// Time for which a report of silence counts, on the log's clock, in milliseconds. A neighbour that goes on
/// hearing nothing reports again before that.
pub const REPORT_TTL_MS: u64 = 3_000;

/// Where a host stands between joining and being gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    /// Takes new work.
    Live,
    /// Finishes what is in progress and takes no new work.
    Leaving,
    /// Taken to be lost.
    Down,
}

/// One host as the stream describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The newest join.
    pub join: HostJoin,
    /// Where the host stands.
    pub phase: HostPhase,
    /// Reports that the host is silent, of which the old ones no longer count.
    pub reports: Vec<SuspicionReport>,
}

/// A neighbour's report that a host is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionReport {
    /// Name of the neighbour.
    pub reporter: Arc<str>,
    /// When the report came to stand, on the log's clock.
    pub at_ms: u64,
}

/// Current giver of orders to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateClaimHolder {
    /// The host that claimed last.
    pub host: HostIdentity,
    /// Its fencing number: the offset of the claim.
    pub fencing: Offset,
}

/// Table of hosts, replayed from the stream.
#[derive(Clone, Debug, Default)]
pub struct HostTable {
    hosts: SortedIndex<Arc<str>, HostEntry>,
    gate_claims: SortedIndex<Arc<str>, GateClaimHolder>,
    version: u64,
}

impl HostTable {
    /// Creates an empty table.
    ///
    /// ```
    /// use fulmarswitch_decide::hosts::HostTable;
    /// assert_eq!(HostTable::new().live().count(), 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record that stands at `place` since `at_ms` on the log's clock, and tells whether it
    /// changed the table.
    pub fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> bool {
        let changed = match &record.body {
            RecordBody::HostJoin(join) => self.join(join),
            RecordBody::HostLeave(host) => self.set_phase(host, HostPhase::Leaving),
            RecordBody::HostDown(suspicion) => self.suspect(suspicion, at_ms),
            RecordBody::GateClaim(claim) => self.claim_gate(place, claim),
            _ => false,
        };
        self.version += u64::from(changed);
        changed
    }

    /// Returns a number that grows with every change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the hosts that take new work, in order of their names within each part of the index.
    pub fn live(&self) -> impl Iterator<Item = &HostEntry> {
        self.all().filter(|entry| entry.phase == HostPhase::Live)
    }

    /// Returns every host that has ever joined and not been replaced.
    pub fn all(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.iter().map(|(_, entry)| entry)
    }

    /// Returns the newest entry of a host.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.get(name)
    }

    /// Returns the current giver of orders to `endpoint`.
    #[must_use]
    pub fn gate_claim_holder(&self, endpoint: &str) -> Option<&GateClaimHolder> {
        self.gate_claims.get(endpoint)
    }

    /// Tells whether this run of the host may still answer: it is the newest and not lost.
    #[must_use]
    pub fn is_reachable(&self, host: &HostIdentity) -> bool {
        self.get(&host.name).is_some_and(|entry| {
            entry.join.host.incarnation == host.incarnation && entry.phase != HostPhase::Down
        })
    }

    fn join(&mut self, join: &HostJoin) -> bool {
        if let Some(entry) = self.hosts.get(&join.host.name) {
            let newer_incarnation = join.host.incarnation > entry.join.host.incarnation;
            let rejoins = join.host == entry.join.host && entry.phase == HostPhase::Down;
            if !newer_incarnation && !rejoins {
                return false;
            }
        }
        let entry = HostEntry {
            join: join.clone(),
            phase: HostPhase::Live,
            reports: Vec::new(),
        };
        self.hosts.insert(join.host.name.clone(), entry);
        true
    }

    fn suspect(&mut self, suspicion: &HostSuspicion, at_ms: u64) -> bool {
        let needed = if self.live().count() <= 2 {
            1
        } else {
            SUSPICION_QUORUM
        };
        let Some(entry) = self.hosts.get_mut(&suspicion.host.name) else {
            return false;
        };
        if entry.join.host != suspicion.host {
            return false;
        }
        entry.reports.retain(|report| {
            let is_fresh = at_ms.saturating_sub(report.at_ms) < REPORT_TTL_MS;
            is_fresh && report.reporter != suspicion.reporter
        });
        entry.reports.push(SuspicionReport {
            reporter: suspicion.reporter.clone(),
            at_ms,
        });
        entry.reports.len() >= needed && self.set_phase(&suspicion.host, HostPhase::Down)
    }

    fn set_phase(&mut self, host: &HostIdentity, phase: HostPhase) -> bool {
        let Some(entry) = self.hosts.get_mut(&host.name) else {
            return false;
        };
        let current_incarnation = entry.join.host.incarnation == host.incarnation;
        let advances = entry.phase != HostPhase::Down && entry.phase != phase;
        if current_incarnation && advances {
            entry.phase = phase;
        }
        current_incarnation && advances
    }

    fn claim_gate(&mut self, place: RecordPlace, claim: &GateClaim) -> bool {
        let holder = GateClaimHolder {
            host: claim.host.clone(),
            fencing: place.offset,
        };
        self.gate_claims.insert(claim.endpoint.clone(), holder);
        true
    }
}
