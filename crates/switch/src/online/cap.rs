//! The cap of the workspace of a request: counted once, before the request is routed.

use super::{OnlineExchange, OnlineReply};
use crate::workspace::asks::CapDecision;

impl OnlineExchange {
    /// Takes a token of the workspace, if it has a cap, or refuses the request.
    pub(super) async fn check_cap(&mut self) -> Result<(), OnlineReply> {
        let Some(workspace) = &self.request.workspace else {
            return Ok(());
        };
        let Some(decision) = self.node.await_cap(workspace).await else {
            return Ok(());
        };
        let is_granted = decision == CapDecision::Granted;
        let counts = &mut self.node.lock().caps.counts;
        counts.record(&workspace.name, is_granted);
        match decision {
            CapDecision::Granted => {
                self.token = Some(workspace.clone());
                Ok(())
            }
            CapDecision::Over { wait } => Err(OnlineReply::OverCap { retry_after: wait }),
        }
    }

    /// Returns the token of a request that has not run and will not run.
    pub(super) fn return_unused_token(&mut self, outcome: &'static str) {
        let has_not_run = self.sends == 0 || outcome == "rejected";
        if let Some(workspace) = self.token.take_if(|_| has_not_run) {
            self.node.return_token(&workspace);
        }
    }
}
