//! Calls to endpoints.

use crate::backend::{CallError, CallOptions, EndpointCall, EndpointNotice, EndpointResponse};
use crate::endpoint::ListedEndpoint;
use crate::node::SwitchNode;
use slog::info;
use tokio::time::Instant;

impl SwitchNode {
    /// Sends a request to an endpoint. Marks the endpoint at once if its response says that it leaves, whatever becomes of
    /// the response.
    pub(crate) async fn call_endpoint(
        &self,
        endpoint: &ListedEndpoint,
        call: &EndpointCall,
        options: CallOptions,
    ) -> Result<EndpointResponse, CallError> {
        let response = self.deps.client.call(endpoint, call, options).await;
        let notice = match &response {
            Ok(response) => Some(response.notice()),
            Err(error) => error.notice(),
        };
        if let Some(notice) = notice {
            self.record_heard();
            self.apply_notice(endpoint, call, notice);
        }
        response
    }

    /// Marks the endpoint of a response that another host passes back, if the response says that it leaves.
    pub(crate) fn apply_passed_notice(&self, call: &EndpointCall, response: &EndpointResponse) {
        let Some(source) = response.source.as_ref().filter(|_| response.leaving) else {
            return;
        };
        let mut state = self.lock();
        let listed = state.endpoints.get(&source.endpoint).cloned();
        let listed = listed.filter(|endpoint| endpoint.started_ms == source.started_ms);
        if let Some(endpoint) = listed
            && state.endpoints.mark_leaving(&endpoint)
        {
            drop(state);
            self.record_leaving(&endpoint, call);
        }
    }

    fn record_leaving(&self, endpoint: &ListedEndpoint, call: &EndpointCall) {
        self.metrics.count_leaving_endpoint();
        info!(self.deps.logger, "endpoint leaving"; "endpoint" => &*endpoint.id,
            "started_ms" => endpoint.started_ms, "request" => &*call.id,
            "cause" => "its response says so");
    }

    fn apply_notice(&self, endpoint: &ListedEndpoint, call: &EndpointCall, notice: EndpointNotice) {
        if notice.limit.is_some() {
            self.metrics.count_limited_response();
        }
        let mut state = self.lock();
        let has_new_limit = state
            .limits
            .record(&endpoint.id, notice.limit, Instant::now());
        let is_newly_leaving = notice.leaving && state.endpoints.mark_leaving(endpoint);
        drop(state);
        if has_new_limit {
            info!(self.deps.logger, "endpoint limit"; "endpoint" => &*endpoint.id,
                "per_s" => notice.limit.map(|limit| limit.to_string()), "request" => &*call.id);
        }
        if is_newly_leaving {
            self.record_leaving(endpoint, call);
        }
    }
}
