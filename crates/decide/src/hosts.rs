//! Membership of hosts, replayed from the `hosts` stream.
//!
//! A host is live from its join until it leaves or two neighbours report it silent within a few
//! seconds of each other by the clock of the log. One report is enough when at most two hosts are
//! live. A host that was wrongly declared down joins again, and a join with a higher incarnation
//! replaces the earlier incarnation of the host. The order of the stream decides, so all hosts
//! arrive at the same list and differ only in how far they have read.

use fulmarswitch_records::record::{GateClaim, HostJoin, HostSuspicion};
use fulmarswitch_records::{HostIdentity, LogRecord, Offset, RecordBody, RecordPlace, SortedIndex};
use std::sync::Arc;

/// Number of neighbours that must report a host silent before it is declared down.
const SUSPICION_QUORUM: usize = 2;
/// Lifetime of a report of silence by the clock of the log, in milliseconds. A neighbour that still
/// receives no answers repeats its report before it expires.
pub const REPORT_TTL_MS: u64 = 3_000;

/// Phase of a host's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    /// The host accepts new work.
    Live,
    /// The host is draining: it finishes work in progress and accepts no new work.
    Leaving,
    /// The host is declared down.
    Down,
}

/// State of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Newest join of the host.
    pub join: HostJoin,
    /// Current phase.
    pub phase: HostPhase,
    /// Reports that the host is silent, including expired ones until the next report arrives.
    pub reports: Vec<SuspicionReport>,
}

/// Report of a neighbour that a host is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionReport {
    /// Name of the neighbour that reports.
    pub reporter: Arc<str>,
    /// Time of the report by the clock of the log, in milliseconds.
    pub at_ms: u64,
}

/// Holder of the newest claim on the gate of an endpoint; only this host orders the endpoint to
/// load models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateClaimHolder {
    /// Host that made the newest claim.
    pub host: HostIdentity,
    /// Fencing token of the holder: the offset of its claim.
    pub fencing: Offset,
}

/// All hosts and gate claims, replayed from the stream.
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

    /// Applies the record at `place`, written at `at_ms` by the clock of the log, and returns
    /// whether the table changed.
    pub fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> bool {
        let changed = match &record.body {
            RecordBody::HostJoin(join) => self.join(join),
            RecordBody::HostLeave(host) => self.set_phase(host, HostPhase::Leaving),
            RecordBody::HostSuspected(suspicion) => self.suspect(suspicion, at_ms),
            RecordBody::GateClaim(claim) => self.claim_gate(place, claim),
            _ => false,
        };
        self.version += u64::from(changed);
        changed
    }

    /// Returns a version number that grows with every change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the live hosts, sorted by name.
    pub fn live(&self) -> impl Iterator<Item = &HostEntry> {
        self.all().filter(|entry| entry.phase == HostPhase::Live)
    }

    /// Returns all hosts that ever joined, each with its newest incarnation, including hosts that are
    /// down.
    pub fn all(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.iter().map(|(_, entry)| entry)
    }

    /// Returns the state of a host; `None` if it never joined.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.get(name)
    }

    /// Returns the holder of the newest gate claim on `endpoint`; `None` if there is no claim.
    #[must_use]
    pub fn gate_claim_holder(&self, endpoint: &str) -> Option<&GateClaimHolder> {
        self.gate_claims.get(endpoint)
    }

    /// Returns whether this incarnation of the host may still answer: it is the newest one and is
    /// not declared down.
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
