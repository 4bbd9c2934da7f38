//! Calls to endpoints.

use crate::backend::{CallError, CallOptions, EndpointCall, EndpointResponse};
use crate::endpoint::ListedEndpoint;
use crate::node::SwitchNode;
use slog::info;

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
        let is_leaving = match &response {
            Ok(response) => response.leaving,
            Err(error) => error.says_leaving(),
        };
        if is_leaving && self.lock().endpoints.mark_leaving(endpoint) {
            self.metrics.count_leaving_endpoint();
            info!(self.deps.logger, "endpoint leaving"; "endpoint" => &*endpoint.id,
                "started_ms" => endpoint.started_ms, "request" => &*call.id,
                "cause" => "its response says so");
        }
        response
    }
}
