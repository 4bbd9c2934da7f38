//! Requests in flight at endpoints, counted in the load that hosts report to each other.

use crate::endpoint::ListedEndpoint;
use crate::load::RequestClass;
use crate::node::{SwitchNode, SwitchState};
use std::sync::Arc;
use tokio::time::Instant;

/// Counts one request as in flight at an endpoint until dropped.
pub(crate) struct InFlightGuard {
    node: Arc<SwitchNode>,
    endpoint: Arc<str>,
    class: RequestClass,
    run_started: Option<Instant>,
}

impl InFlightGuard {
    /// Counts a request at `endpoint` in `state`, the state of `node`.
    pub(crate) fn begin(
        node: &Arc<SwitchNode>,
        state: &mut SwitchState,
        endpoint: &ListedEndpoint,
        class: RequestClass,
    ) -> Self {
        state.load.begin(&endpoint.id, class);
        node.neighbour_heartbeat_requested.notify_one();
        if class == RequestClass::Online && state.load.total(&endpoint.id).total() > endpoint.slots
        {
            // Batch items must be preempted, so the hosts that run them are notified immediately.
            node.heartbeat_requested.notify_one();
            node.schedule_requested.notify_one();
        }
        Self {
            node: node.clone(),
            endpoint: endpoint.id.clone(),
            class,
            run_started: None,
        }
    }

    /// Records that the endpoint has begun to respond, so the request holds a slot.
    pub(crate) fn begin_run(&mut self) {
        let now = Instant::now();
        if self.run_started.replace(now).is_none() {
            self.node.lock().load.begin_run(&self.endpoint, now);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let load = &mut self.node.lock().load;
        load.finish(&self.endpoint, self.class);
        if let Some(started) = self.run_started {
            load.finish_run(&self.endpoint, started);
        }
        self.node.neighbour_heartbeat_requested.notify_one();
    }
}
