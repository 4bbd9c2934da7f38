//! Wire types of the operators' interface: configuration, status and draining.
//!
//! The calls are HTTP with JSON; docs/API.md lists them. The crate holds no logic.

use fulmarswitch_records::{ConfigChange, HostIdentity};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Body of `PUT /v1/config/KIND/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishCall {
    /// Version that the operator saw; zero for a new record.
    #[serde(default)]
    pub base_version: u64,
    /// Schema version of the body.
    pub schema: u16,
    /// The record; null deletes it.
    pub body: serde_json::Value,
}

/// Answer to a published change, and one record as it is read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Name of the record.
    pub name: Arc<str>,
    /// Version in force.
    pub version: u64,
    /// Schema version of the body.
    pub schema: u16,
    /// The record.
    pub body: serde_json::Value,
    /// Offset of the change on the `config` stream.
    pub offset: u64,
}

/// One host as `GET /v1/status` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReply {
    /// Name of the host.
    pub name: Arc<str>,
    /// Start number of its process.
    pub incarnation: u64,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators.
    pub address: Arc<str>,
    /// `live`, `leaving` or `down`.
    pub phase: Arc<str>,
    /// Configuration offset that the host was last heard to have applied; null if not heard from.
    pub config_read: Option<u64>,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The host that answers.
    pub host: HostIdentity,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Next configuration offset that it has not applied.
    pub config_read: u64,
    /// Whether it reached the log within the last second.
    pub log_reached: bool,
    /// Shards that it owns.
    pub owned_shards: u32,
    /// Endpoints whose gate it holds.
    pub gates: u32,
    /// All hosts it knows.
    pub hosts: Vec<HostReply>,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventReply {
    /// Logical time: a cause always has a lower one than its effect.
    pub stamp: u64,
    /// The host's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Host that the event happened on.
    pub host: Arc<str>,
    /// Kind of the event.
    pub kind: Arc<str>,
    /// What it happened to.
    pub entity: Arc<str>,
    /// What happened.
    pub detail: Arc<str>,
}

/// Makes a change for the log from a call.
#[must_use]
pub fn to_config_change(name: &str, call: &PublishCall) -> ConfigChange {
    let body = if call.body.is_null() {
        String::new()
    } else {
        call.body.to_string()
    };
    ConfigChange {
        name: name.into(),
        base_version: call.base_version,
        schema: call.schema,
        body: body.into(),
    }
}
