//! A client for operators that calls individual hosts of the fleet by address.

use fulmarswitch_caller::client::{CallerClient, CallerError};
use fulmarswitch_operator::{HostReply, StatusReply};
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Discovers the hosts of the fleet and calls each at its own address.
pub struct FleetClient {
    seeds: Vec<Arc<str>>,
}

impl FleetClient {
    /// Creates a client that discovers the hosts through the first of `seeds` that answers.
    ///
    /// ```
    /// let client = fulmarswitch_cli::operator::FleetClient::new(vec!["127.0.0.1:7001".into()]);
    /// ```
    #[must_use]
    pub fn new(seeds: Vec<Arc<str>>) -> Self {
        Self { seeds }
    }

    /// Reads the status from the first seed that answers.
    ///
    /// # Errors
    /// [`CallerError`] of the last seed tried when none answers.
    pub async fn status(&self) -> Result<StatusReply, CallerError> {
        let mut last = CallerError::NoAnswer {
            cause: "no address was given".into(),
        };
        for seed in &self.seeds {
            match self.get(seed, "/v1/status").await {
                Ok(status) => return Ok(status),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Returns all hosts whose phase is not `down`.
    ///
    /// # Errors
    /// [`CallerError`] when no host answers.
    pub async fn hosts(&self) -> Result<Vec<HostReply>, CallerError> {
        let status = self.status().await?;
        let up = status
            .hosts
            .into_iter()
            .filter(|host| &*host.phase != "down");
        Ok(up.collect())
    }

    /// Sends a GET request to one host, without retries.
    ///
    /// # Errors
    /// [`CallerError`] when the host refuses the call or does not answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: &Arc<str>,
        path: &str,
    ) -> Result<T, CallerError> {
        CallerClient::pinned(Arc::clone(address))
            .get_once(path)
            .await
    }

    /// Sends a POST request with a JSON body to one host.
    ///
    /// # Errors
    /// [`CallerError`] when the host refuses the call or does not answer.
    pub async fn post<T: DeserializeOwned, B: Serialize + Sync>(
        &self,
        address: &Arc<str>,
        path: &str,
        body: &B,
    ) -> Result<T, CallerError> {
        CallerClient::pinned(Arc::clone(address))
            .send_json(Method::POST, path, body)
            .await
    }
}
