//! Load of the endpoints as the other hosts report it.

use crate::report::{EndpointKey, LoadReport, RequestCounts};
use crate::wait::RunStarts;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Load of another host at one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerLoad {
    pub(crate) key: EndpointKey,
    pub(crate) counts: RequestCounts,
    pub(crate) runs: RunStarts,
    pub(crate) overdue: u16,
}

/// Loads of a host in a report that was received at `now`, measured from the origin of start times.
pub(crate) fn peer_loads(report: LoadReport, now: Duration) -> Vec<PeerLoad> {
    let loads = report.into_iter().map(|(key, report)| PeerLoad {
        key,
        counts: report.counts,
        runs: report.ages.starts(now),
        overdue: report.overdue,
    });
    loads.collect()
}

/// Latest report of another host.
#[derive(Clone, Debug)]
struct PeerReport {
    host: Arc<str>,
    loads: Vec<PeerLoad>,
    received_at: Instant,
}

/// Latest reports of the other hosts, sorted by host.
#[derive(Clone, Debug, Default)]
pub struct PeerReports(Vec<PeerReport>);

impl PeerReports {
    /// Replaces the loads of a host by those received at `now`, and returns its earlier ones.
    pub(crate) fn replace(
        &mut self,
        host: &Arc<str>,
        loads: Vec<PeerLoad>,
        now: Instant,
    ) -> Vec<PeerLoad> {
        match self.search(host) {
            Ok(index) => {
                let report = &mut self.0[index];
                report.received_at = now;
                std::mem::replace(&mut report.loads, loads)
            }
            Err(index) => {
                let report = PeerReport {
                    host: host.clone(),
                    loads,
                    received_at: now,
                };
                self.0.insert(index, report);
                Vec::new()
            }
        }
    }

    /// Removes the report of a host, and returns its loads.
    pub(crate) fn remove(&mut self, host: &str) -> Vec<PeerLoad> {
        let index = self.search(host);
        index.map_or_else(|_| Vec::new(), |index| self.0.remove(index).loads)
    }

    /// Hosts whose report was received before `time`.
    pub(crate) fn older_than(&self, time: Instant) -> Vec<Arc<str>> {
        let old = self.0.iter().filter(|report| report.received_at < time);
        old.map(|report| report.host.clone()).collect()
    }

    /// Whether a report was received at `time` or later, or at any time if that is `None`.
    #[must_use]
    pub fn has_any_since(&self, time: Option<Instant>) -> bool {
        let mut reports = self.0.iter();
        reports.any(|report| time.is_none_or(|time| report.received_at >= time))
    }

    /// Hosts that report items at an endpoint, with their number. Reports from before `since` do not count.
    #[must_use]
    pub fn item_holders(&self, key: EndpointKey, since: Option<Instant>) -> Vec<(Arc<str>, u16)> {
        let reports = self.0.iter();
        let recent = reports.filter(|report| since.is_none_or(|since| report.received_at >= since));
        let holders = recent.map(|report| (&report.host, items_at(&report.loads, key)));
        holders
            .filter(|(_, items)| *items > 0)
            .map(|(host, items)| (host.clone(), items))
            .collect()
    }

    /// Number of items at an endpoint that a host reports.
    #[must_use]
    pub fn items_of(&self, host: &str, key: EndpointKey) -> u16 {
        let index = self.search(host);
        index.map_or(0, |index| items_at(&self.0[index].loads, key))
    }

    fn search(&self, host: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|report| (*report.host).cmp(host))
    }
}

fn items_at(loads: &[PeerLoad], key: EndpointKey) -> u16 {
    let load = loads.iter().find(|load| load.key == key);
    load.map_or(0, |load| load.counts.batch)
}
