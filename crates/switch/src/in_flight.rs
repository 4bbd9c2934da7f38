//! Counts of requests in flight: at this host, for its shutdown, and at endpoints, for the load that hosts report to each
//! other.

use crate::endpoint::ListedEndpoint;
use crate::load::RequestClass;
use crate::node::{SwitchNode, SwitchState};
use std::sync::Arc;
use tokio::time::Instant;

/// Counts an online request as in flight, so that a stopping host can wait for it.
pub(crate) struct InFlightRequest(Arc<SwitchNode>);

impl InFlightRequest {
    pub(crate) fn begin(node: &Arc<SwitchNode>) -> Self {
        node.lock().online_in_flight += 1;
        Self(node.clone())
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.lock().online_in_flight -= 1;
    }
}

/// A request of a caller that has begun to arrive, until its whole answer is written. A stopping host waits for it.
pub struct OpenRequest(Arc<SwitchNode>);

impl SwitchNode {
    /// Counts a request of a caller as open until the returned guard is dropped.
    #[must_use]
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.lock().open_requests += 1;
        OpenRequest(self.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.lock().open_requests -= 1;
    }
}

/// Counts one request as in flight at an endpoint until dropped.
pub(crate) struct InFlightGuard {
    node: Arc<SwitchNode>,
    endpoint: Arc<str>,
    class: RequestClass,
    sent: Instant,
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
        let now = Instant::now();
        state.load.begin(&endpoint.id, class);
        if class == RequestClass::Online {
            state.load.begin_wait(&endpoint.id, now);
        }
        node.neighbour_heartbeat_requested.notify_one();
        if class == RequestClass::Online && state.load.total(&endpoint.id).total() > endpoint.slots
        {
            // Batch items must be preempted, so the hosts that run them are notified immediately, unless a coordinator does it.
            if !state.coordination.is_active() {
                node.heartbeat_requested.notify_one();
            }
            node.schedule_requested.notify_one();
        }
        Self {
            node: node.clone(),
            endpoint: endpoint.id.clone(),
            class,
            sent: now,
            run_started: None,
        }
    }

    /// Records that the endpoint has begun to respond, so the request holds a slot. Returns when it began.
    pub(crate) fn begin_run(&mut self) -> Instant {
        if let Some(started) = self.run_started {
            return started;
        }
        let now = Instant::now();
        self.run_started = Some(now);
        let state = &mut *self.node.lock();
        state.load.finish_wait(&self.endpoint, self.sent);
        state.load.begin_run(&self.endpoint, now);
        if state.coordination.is_active() {
            self.node.neighbour_heartbeat_requested.notify_one();
        }
        now
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let load = &mut self.node.lock().load;
        load.finish(&self.endpoint, self.class);
        match self.run_started {
            Some(started) => load.finish_run(&self.endpoint, started),
            None => load.finish_wait(&self.endpoint, self.sent),
        }
        self.node.neighbour_heartbeat_requested.notify_one();
    }
}
