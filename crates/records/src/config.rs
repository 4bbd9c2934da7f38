//! Configuration records that operators publish.
//!
//! A configuration record has a name (`kind/name`), a version that counts its accepted changes, a schema
//! version and a body. Schema 2 of services added `prefix_affinity`. Readers accept both schemas; a body of
//! schema 1 has the default for the new field.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// Latest schema version of configuration bodies that this program supports.
pub const NEWEST_SCHEMA: u16 = 2;

/// A change of a configuration record, as requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Name of the record: `service/NAME`, `endpoint/NAME`, `workspace/NAME` or `model/NAME`.
    pub name: Arc<str>,
    /// Version that the change is based on; zero for a new record. The change is rejected if the record has
    /// another version.
    pub base_version: u64,
    /// Schema version of the body.
    pub schema: u16,
    /// Body as JSON; empty if the change deletes the record.
    pub body: Arc<str>,
}

/// Parsed body of a configuration record.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigBody {
    /// A service that callers can send requests to.
    Service(ServiceConfig),
    /// An endpoint of a service.
    Endpoint(EndpointConfig),
    /// A workspace and its limits.
    Workspace(WorkspaceConfig),
    /// A model and its adapters.
    Model(ModelConfig),
    /// The unparsed body of a record of a newer schema or an unknown kind, and the empty body of a deletion.
    Opaque(Arc<str>),
}

/// Protocol of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointProtocol {
    /// A model engine that streams tokens.
    Engine,
    /// A plain service that returns one answer per call.
    Plain,
}

/// Body of `service/NAME`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Protocol of its endpoints.
    pub protocol: EndpointProtocol,
    /// Model that its endpoints must have loaded; empty for a plain service.
    #[serde(default)]
    pub model: Arc<str>,
    /// Adapter that its endpoints must have loaded; empty for none.
    #[serde(default)]
    pub adapter: Arc<str>,
    /// Target for the time to the first token, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u64,
    /// Number of failed attempts after which an item fails for good.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
    /// Whether requests with the same prefix prefer the same endpoint. Requires schema 2.
    #[serde(default = "default_true")]
    pub prefix_affinity: bool,
}

fn default_first_token_ms() -> u64 {
    520
}

fn default_between_tokens_ms() -> u64 {
    26
}

fn default_attempts() -> u32 {
    5
}

fn default_true() -> bool {
    true
}

fn default_concurrent() -> u32 {
    256
}

/// Body of `endpoint/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointConfig {
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address as `ip:port`.
    pub address: Arc<str>,
    /// Failure domain of the endpoint.
    pub failure_domain: Arc<str>,
    /// Whether the endpoint is draining and gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Maximum number of concurrent requests at the endpoint.
    #[serde(default = "default_concurrent")]
    pub max_concurrent: u32,
}

/// Body of `workspace/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// Maximum number of concurrent online requests of the workspace on each host.
    #[serde(default = "default_concurrent")]
    pub max_online: u32,
    /// Weight of the workspace when batch capacity is shared between workspaces.
    #[serde(default = "default_weight")]
    pub batch_weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Body of `model/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Version of the model weights.
    pub version: Arc<str>,
    /// Names of the adapters that can be loaded with the model.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Size of the weights in bytes, used to estimate how long loading them from the weight store takes.
    #[serde(default)]
    pub bytes: u64,
}

/// Reasons why a change is rejected before it is published.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigError {
    /// The body is not valid JSON for the kind of record.
    #[snafu(display("the body of {name} does not fit ({cause}); see docs/API.md for its fields"))]
    BadBody {
        /// Name of the configuration record.
        name: Arc<str>,
        /// Message of the parser.
        cause: String,
    },
    /// The name does not start with a known kind, or has no part after the kind.
    #[snafu(display(
        "{name} is not a record name; use service/NAME, endpoint/NAME, workspace/NAME or model/NAME"
    ))]
    BadName {
        /// Name of the configuration record.
        name: Arc<str>,
    },
    /// The schema version is not supported by this program.
    #[snafu(display(
        "schema {schema} of {name} is not known here; publish through a host of a newer version, or write schema 1 to {NEWEST_SCHEMA}"
    ))]
    BadSchema {
        /// Name of the configuration record.
        name: Arc<str>,
        /// Schema version of the change.
        schema: u16,
    },
}

impl ConfigChange {
    /// Parses the body of a change that is about to be published.
    ///
    /// # Errors
    /// [`ConfigError`] if the name, the schema or a field of the body is not valid.
    ///
    /// ```
    /// use fulmarswitch_records::ConfigChange;
    /// let change = ConfigChange {
    ///     name: "workspace/giusi".into(),
    ///     base_version: 0,
    ///     schema: 1,
    ///     body: r#"{"max_online": 8}"#.into(),
    /// };
    /// assert!(change.parse_strict().is_ok());
    /// ```
    pub fn parse_strict(&self) -> Result<ConfigBody, ConfigError> {
        if self.schema == 0 || self.schema > NEWEST_SCHEMA {
            return BadSchemaSnafu {
                name: self.name.clone(),
                schema: self.schema,
            }
            .fail();
        }
        let body = self.parse_known()?;
        if self.schema < 2 && self.body.contains("\"prefix_affinity\"") {
            let cause = "prefix_affinity needs schema 2";
            return BadBodySnafu {
                name: self.name.clone(),
                cause,
            }
            .fail();
        }
        Ok(body)
    }

    /// Parses the body of a record from the log. One that cannot be parsed becomes [`ConfigBody::Opaque`].
    #[must_use]
    pub fn parse_lenient(&self) -> ConfigBody {
        if self.schema > NEWEST_SCHEMA {
            return ConfigBody::Opaque(self.body.clone());
        }
        self.parse_known()
            .unwrap_or_else(|_| ConfigBody::Opaque(self.body.clone()))
    }

    /// Returns whether the change deletes the record.
    #[must_use]
    pub fn is_deletion(&self) -> bool {
        self.body.is_empty()
    }

    fn parse_known(&self) -> Result<ConfigBody, ConfigError> {
        let name = self.name.clone();
        let (kind, suffix) = self.name.split_once('/').unwrap_or(("", ""));
        if suffix.is_empty() {
            return BadNameSnafu { name }.fail();
        }
        if self.is_deletion() {
            return Ok(ConfigBody::Opaque("".into()));
        }
        let body = match kind {
            "service" => serde_json::from_str(&self.body).map(ConfigBody::Service),
            "endpoint" => serde_json::from_str(&self.body).map(ConfigBody::Endpoint),
            "workspace" => serde_json::from_str(&self.body).map(ConfigBody::Workspace),
            "model" => serde_json::from_str(&self.body).map(ConfigBody::Model),
            _ => return BadNameSnafu { name }.fail(),
        };
        body.map_err(|error| ConfigError::BadBody {
            name,
            cause: error.to_string(),
        })
    }
}
