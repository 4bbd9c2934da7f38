//! Load of the endpoints as the other hosts report it.

use crate::report::{EndpointKey, LoadReport, RequestCounts};
use crate::wait::RunStarts;
use std::sync::Arc;
use std::time::Duration;

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

/// Latest reports of the other hosts, sorted by host.
#[derive(Clone, Debug, Default)]
pub struct PeerReports(Vec<(Arc<str>, Vec<PeerLoad>)>);

impl PeerReports {
    /// Replaces the loads of a host, and returns its earlier ones.
    pub(crate) fn replace(&mut self, host: &Arc<str>, loads: Vec<PeerLoad>) -> Vec<PeerLoad> {
        match self.0.binary_search_by(|(name, _)| name.cmp(host)) {
            Ok(index) => std::mem::replace(&mut self.0[index].1, loads),
            Err(index) => {
                self.0.insert(index, (host.clone(), loads));
                Vec::new()
            }
        }
    }

    /// Hosts that report items at an endpoint, with their number.
    #[must_use]
    pub fn item_holders(&self, key: EndpointKey) -> Vec<(Arc<str>, u16)> {
        let holders = self
            .0
            .iter()
            .map(|(host, loads)| (host, items_at(loads, key)));
        holders
            .filter(|(_, items)| *items > 0)
            .map(|(host, items)| (host.clone(), items))
            .collect()
    }

    /// Number of items at an endpoint that a host reports.
    #[must_use]
    pub fn items_of(&self, host: &str, key: EndpointKey) -> u16 {
        let found = self.0.binary_search_by(|(name, _)| (**name).cmp(host));
        found.map_or(0, |index| items_at(&self.0[index].1, key))
    }
}

fn items_at(loads: &[PeerLoad], key: EndpointKey) -> u16 {
    let load = loads.iter().find(|load| load.key == key);
    load.map_or(0, |load| load.counts.batch)
}
