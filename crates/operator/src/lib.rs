//! Wire types of the operators' API: configuration, status and the event time line.
//!
//! The API is JSON over HTTP; docs/API.md lists the calls. The crate has only these types and their
//! conversion.

use fulmarswitch_records::{ConfigChange, HostIdentity};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Body of `PUT /v1/config/KIND/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishCall {
    /// Version that the change is based on; zero for a new record.
    #[serde(default)]
    pub base_version: u64,
    /// Schema version of the body.
    pub schema: u16,
    /// Body of the record; null deletes the record.
    pub body: serde_json::Value,
}

/// Response to `PUT` and `GET` of a configuration record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Name of the record.
    pub name: Arc<str>,
    /// Current version of the record.
    pub version: u64,
    /// Schema version of the body.
    pub schema: u16,
    /// Body of the record.
    pub body: serde_json::Value,
    /// Offset of the latest change in the `config` stream.
    pub offset: u64,
}

/// One host in the response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReply {
    /// Name of the host.
    pub name: Arc<str>,
    /// Incarnation number, higher with each start of the daemon.
    pub incarnation: u64,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators.
    pub address: Arc<str>,
    /// `live`, `leaving` or `down`.
    pub phase: Arc<str>,
    /// Next offset of the `config` stream that the host reads, from its last heartbeat; null without one.
    pub config_read: Option<u64>,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The host that responds.
    pub host: HostIdentity,
    /// Whether this host is leaving.
    pub leaving: bool,
    /// Next offset of the `config` stream that this host reads.
    pub config_read: u64,
    /// Whether this host reached the log within the last second.
    pub log_reached: bool,
    /// Number of shards that this host owns.
    pub owned_shards: u32,
    /// Number of endpoints whose gate is on this host.
    pub gates: u32,
    /// All hosts in this host's view of the fleet, including those that are down.
    pub hosts: Vec<HostReply>,
}

/// One event of the time line, as `GET /v1/events` returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventReply {
    /// Logical time of the event; a cause has a lower one than its effect.
    pub stamp: u64,
    /// Time by the host's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the host that the event happened on.
    pub host: Arc<str>,
    /// Kind of event.
    pub kind: Arc<str>,
    /// What the event is about, such as the name of a host, job or endpoint.
    pub entity: Arc<str>,
    /// Details of the event, as text.
    pub detail: Arc<str>,
}

/// Converts a call into a change for the log. `name` is the name of the record, `KIND/NAME`.
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
