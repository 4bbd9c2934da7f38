//! Jobs whose route is not in the configuration in force.
//!
//! A host may read the acceptance of a job before the configuration under which it was accepted. The route has been
//! removed only if a read of the configuration that began later does not bring it.

use std::sync::Arc;
use tokio::time::Instant;

/// Open jobs without a route at this host, sorted by ID, with the time at which the route was first missed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutelessJobs(Vec<(Arc<str>, Instant)>);

impl RoutelessJobs {
    /// Records that the route of a job is missing. Returns whether it has been removed, which is known if the last
    /// complete read of the configuration began at `config_read_at`, after the route was first missed.
    pub(crate) fn is_removed(
        &mut self,
        job: &Arc<str>,
        config_read_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        match self.0.binary_search_by(|(known, _)| known.cmp(job)) {
            Ok(index) => {
                let missed_at = self.0[index].1;
                config_read_at.is_some_and(|read_at| read_at > missed_at)
            }
            Err(index) => {
                self.0.insert(index, (job.clone(), now));
                false
            }
        }
    }

    /// Keeps the jobs for which `is_routeless` returns true.
    pub(crate) fn retain(&mut self, is_routeless: impl Fn(&Arc<str>) -> bool) {
        self.0.retain(|(job, _)| is_routeless(job));
    }
}
