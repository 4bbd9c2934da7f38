//! The daemon's settings, read from TOML and checked as one group.

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
    /// Failure domain that the host stands in.
    pub failure_domain: Arc<str>,
    /// Address for callers and operators, as `ip:port`.
    pub caller_address: Arc<str>,
    /// Address for messages of other hosts, as `ip:port`.
    pub message_address: Arc<str>,
    /// Address for streams of other hosts, as `ip:port`.
    pub stream_address: Arc<str>,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// How keys and jobs are split; the same on all hosts, for as long as the log keeps records.
    #[serde(default)]
    pub layout: LayoutSettings,
    /// Times and limits.
    #[serde(default)]
    pub tuning: TuningSettings,
}

/// Where the platform is.
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

/// How keys and jobs are split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LayoutSettings {
    /// Number of shards.
    pub shards: u16,
    /// Number of groups, each with one stream and one appender.
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

/// Times and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TuningSettings {
    /// Time that an appender gathers records before it commits them, in milliseconds.
    pub linger_ms: u64,
    /// Time between heartbeats to each neighbour, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a neighbour is taken to be lost, in milliseconds.
    pub suspect_ms: u64,
    /// Neighbours that a host watches.
    pub neighbours: usize,
    /// Time for which a result stays readable after its outcome, in milliseconds.
    pub result_ttl_ms: u64,
    /// Time for which a gate may keep an item, in milliseconds.
    pub item_lease_ms: u64,
    /// Bytes of records that may wait for the log on one stream.
    pub pending_bytes: usize,
    /// Time for which callers keep the addresses they are given, in milliseconds.
    pub address_ttl_ms: u64,
    /// Time for which a planned stop waits for requests in progress, in milliseconds.
    pub drain_ms: u64,
    /// Connections of callers and operators that are open at once; further ones are refused.
    pub max_connections: usize,
    /// Calls that wait for the start of their answer at once; further ones are refused.
    pub max_calls: usize,
    /// Threads that the daemon's tasks run on.
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
    /// Time that an appender gathers records before it commits them.
    #[must_use]
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    /// Time between heartbeats to each neighbour.
    #[must_use]
    pub fn heartbeat_period(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Silence after which a neighbour is taken to be lost.
    #[must_use]
    pub fn suspect_timeout(&self) -> Duration {
        Duration::from_millis(self.suspect_ms)
    }
}

/// Errors of the settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{} cannot be read ({source}); check the path given with --settings", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not TOML of the right form.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Cause, with the line.
        source: toml::de::Error,
    },
    /// A value does not make sense.
    #[snafu(display("{setting} = {value}: {remedy}"))]
    BadValue {
        /// The setting.
        setting: &'static str,
        /// Its value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

impl HostSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] names the setting and the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = toml::from_str(&text).context(MalformedSnafu { path })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the values together.
    ///
    /// # Errors
    /// [`SettingsError::BadValue`] names the setting and the remedy.
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
        let fits = self.groups > 0 && self.shards >= self.groups;
        let value = format!("{} shards in {} groups", self.shards, self.groups);
        let remedy = "give each group at least one shard";
        ensure!(
            fits,
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
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = !value.is_empty() && value.bytes().all(plain);
    let remedy = "use letters, digits, dots, dashes and underscores";
    ensure!(
        fits,
        BadValueSnafu {
            setting,
            value,
            remedy
        }
    );
    Ok(())
}

fn check_address(setting: &'static str, value: &str) -> Result<(), SettingsError> {
    let fits = value.parse::<SocketAddr>().is_ok();
    let remedy = "write an IP number and a port, such as 127.0.0.1:7001";
    ensure!(
        fits,
        BadValueSnafu {
            setting,
            value,
            remedy
        }
    );
    Ok(())
}
