//! The daemon's settings, read from TOML and validated together.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host, unique in the fleet.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators, as `ip:port`.
    pub caller_address: Arc<str>,
    /// Address for messages of other hosts, as `ip:port`.
    pub message_address: Arc<str>,
    /// Address for streams of other hosts, as `ip:port`.
    pub stream_address: Arc<str>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Numbers of shards and groups. Must be the same on all hosts, and must not change while the log keeps
    /// records.
    #[serde(default)]
    pub layout: LayoutSettings,
    /// Timeouts, intervals and limits.
    #[serde(default)]
    pub tuning: TuningSettings,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log, as `ip:port`.
    pub log_address: Arc<str>,
    /// Address of the list of hosts, as `ip:port`.
    pub list_address: Arc<str>,
    /// Address of the weight store, as `ip:port`.
    pub store_address: Arc<str>,
}

/// Partitioning of keys and jobs into shards, and of shards into groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LayoutSettings {
    /// Number of shards.
    pub shards: u16,
    /// Number of groups; each has one log stream and one appender.
    pub groups: u16,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            shards: 64,
            groups: 4,
        }
    }
}

/// Timeouts, intervals and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TuningSettings {
    /// Time for which an appender collects records before it commits them, in milliseconds.
    pub linger_ms: u64,
    /// Time between heartbeats to each neighbour, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without an answer after which a neighbour is suspected to be down, in milliseconds.
    pub suspect_ms: u64,
    /// Number of neighbours that a host sends heartbeats to.
    pub neighbours: usize,
    /// Time for which a result stays readable after its outcome, in milliseconds.
    pub result_ttl_ms: u64,
    /// Lease of an item at a gate, in milliseconds.
    pub item_lease_ms: u64,
    /// Bytes of records that may be queued for the log per stream; also the limit for outcomes that are not in
    /// the log yet, and for copies of other hosts' outcomes.
    pub pending_bytes: usize,
    /// Time for which callers may cache the addresses of hosts, in milliseconds.
    pub address_ttl_ms: u64,
    /// Time for which a leaving host waits for work in progress, in milliseconds.
    pub drain_ms: u64,
    /// Limit of open connections of callers and operators; further ones are refused.
    pub max_connections: usize,
    /// Limit of calls that wait for the start of their response; further ones are refused.
    pub max_calls: usize,
    /// Worker threads of the daemon's runtime.
    pub worker_threads: usize,
}

impl Default for TuningSettings {
    fn default() -> Self {
        Self {
            linger_ms: 25,
            heartbeat_ms: 400,
            suspect_ms: 1_400,
            neighbours: 3,
            result_ttl_ms: 6 * 3_600_000,
            item_lease_ms: 120_000,
            pending_bytes: 32 << 20,
            address_ttl_ms: 5_000,
            drain_ms: 60_000,
            max_connections: 4_096,
            max_calls: 2_048,
            worker_threads: 2,
        }
    }
}

impl TuningSettings {
    /// Time for which an appender collects records before it commits them.
    #[must_use]
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    /// Time between heartbeats to each neighbour.
    #[must_use]
    pub fn heartbeat_period(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Time without an answer after which a neighbour is suspected to be down.
    #[must_use]
    pub fn suspect_timeout(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }
}

/// Reasons why settings are rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{} cannot be read ({source}); check the path given with --settings", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has missing or unknown settings.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Parse error with its line.
        source: toml::de::Error,
    },
    /// A value is out of range or contradicts another one.
    #[snafu(display("{setting} = {value}: {remedy}"))]
    BadValue {
        /// Name of the setting.
        setting: &'static str,
        /// The rejected value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

impl HostSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] when the file cannot be read or parsed, or a value is rejected.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = toml::from_str(&text).context(MalformedSnafu { path })?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates the values, also in relation to each other.
    ///
    /// # Errors
    /// [`SettingsError::BadValue`] for the first value that is rejected.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("host", &self.host)?;
        check_name("failure_domain", &self.failure_domain)?;
        check_address("caller_address", &self.caller_address)?;
        check_address("message_address", &self.message_address)?;
        check_address("stream_address", &self.stream_address)?;
        check_address("platform.log_address", &self.platform.log_address)?;
        check_address("platform.list_address", &self.platform.list_address)?;
        check_address("platform.store_address", &self.platform.store_address)?;
        self.layout.check()?;
        self.tuning.check()
    }
}

impl LayoutSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let valid = self.groups > 0 && self.shards >= self.groups;
        let value = format!("{} shards in {} groups", self.shards, self.groups);
        let remedy = "give each group at least one shard";
        ensure!(
            valid,
            BadValueSnafu {
                setting: "layout",
                value,
                remedy
            }
        );
        Ok(())
    }
}

impl TuningSettings {
    fn check(&self) -> Result<(), SettingsError> {
        ensure!(
            self.heartbeat_ms > 0 && self.suspect_ms >= 3 * self.heartbeat_ms,
            BadValueSnafu {
                setting: "tuning.suspect_ms",
                value: self.suspect_ms.to_string(),
                remedy: "allow at least three heartbeats",
            }
        );
        ensure!(
            (1..=1_000).contains(&self.linger_ms),
            BadValueSnafu {
                setting: "tuning.linger_ms",
                value: self.linger_ms.to_string(),
                remedy: "choose 1 to 1000 milliseconds",
            }
        );
        ensure!(
            self.pending_bytes >= 1 << 20,
            BadValueSnafu {
                setting: "tuning.pending_bytes",
                value: self.pending_bytes.to_string(),
                remedy: "allow at least 1048576 bytes",
            }
        );
        ensure!(
            self.max_connections > 0,
            BadValueSnafu {
                setting: "tuning.max_connections",
                value: self.max_connections.to_string(),
                remedy: "allow at least one, and fewer than the process may open files",
            }
        );
        ensure!(
            self.max_calls > 0,
            BadValueSnafu {
                setting: "tuning.max_calls",
                value: self.max_calls.to_string(),
                remedy: "allow at least one",
            }
        );
        ensure!(
            (1..=64).contains(&self.worker_threads),
            BadValueSnafu {
                setting: "tuning.worker_threads",
                value: self.worker_threads.to_string(),
                remedy: "choose 1 to 64; two serve a small host",
            }
        );
        Ok(())
    }
}

fn check_name(setting: &'static str, value: &str) -> Result<(), SettingsError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let valid = !value.is_empty() && value.bytes().all(allowed);
    let remedy = "use letters, digits, dots, dashes and underscores";
    ensure!(
        valid,
        BadValueSnafu {
            setting,
            value,
            remedy
        }
    );
    Ok(())
}

fn check_address(setting: &'static str, value: &str) -> Result<(), SettingsError> {
    let valid = value.parse::<SocketAddr>().is_ok();
    let remedy = "write an IP number and a port, such as 127.0.0.1:7001";
    ensure!(
        valid,
        BadValueSnafu {
            setting,
            value,
            remedy
        }
    );
    Ok(())
}
