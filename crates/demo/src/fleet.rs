//! A fleet of stand-ins and daemons on free local ports.

use crate::process::{ChildProcess, ProcessError};
use bytes::Bytes;
use fulmarswitch_caller::client::{CallerClient, CallerError};
use fulmarswitch_http::HttpClient;
use fulmarswitch_operator::{PublishCall, RecordReply, StatusReply};
use fulmarswitch_ports::claim_address;
use hyper::Method;
use serde::Serialize;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a started daemon must answer, and within which all hosts must converge.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the status of a daemon is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to start a daemon, each with new ports: another program may take a port between the search for free
/// ones and the start of the daemon.
const MAX_START_ATTEMPTS: u32 = 3;

/// Errors of starting or controlling a local fleet.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A process could not be started, signalled or awaited.
    #[snafu(context(false), display("{source}"))]
    Process {
        /// Underlying error.
        source: ProcessError,
    },
    /// A host refused a call or did not answer.
    #[snafu(context(false), display("{source}"))]
    Call {
        /// Underlying error.
        source: CallerError,
    },
    /// A file, folder or port could not be created or bound.
    #[snafu(display(
        "{what} failed ({source}); check the free space in the folder for temporary files"
    ))]
    LocalResource {
        /// The operation, as in "writing the settings".
        what: &'static str,
        /// Underlying error.
        source: io::Error,
    },
    /// A daemon did not answer, or did not converge with the other hosts, in time.
    #[snafu(display("host {name} did not become ready in time; see {}", log.display()))]
    NotReady {
        /// Name of the host.
        name: String,
        /// File with its standard error.
        log: PathBuf,
    },
    /// A stand-in did not answer a control call, or refused it.
    #[snafu(display("control call {path} to the stand-in at {address} failed: {cause}"))]
    ControlFailed {
        /// Address of the stand-in.
        address: String,
        /// Path of the call.
        path: String,
        /// Error of the call, or body of the refusal.
        cause: String,
    },
}

/// A stand-in or daemon of the fleet.
#[derive(Debug)]
pub struct FleetMember {
    /// Name of the process.
    pub name: String,
    /// Address on which it serves HTTP.
    pub address: Arc<str>,
    /// Handle of the process.
    pub process: ChildProcess,
}

/// A fleet of separate local processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct LocalFleet {
    folder: PathBuf,
    http: HttpClient,
    /// Stand-in for the platform, with its log, list and store.
    pub platform: FleetMember,
    /// Stand-ins for engines and plain services.
    pub endpoints: Vec<FleetMember>,
    /// Daemons, one per host.
    pub hosts: Vec<FleetMember>,
}

impl LocalFleet {
    /// Starts the platform stand-in; hosts and endpoints are added afterwards.
    ///
    /// # Errors
    /// [`FleetError`] when the folder cannot be created or the platform cannot be started.
    pub fn start() -> Result<Self, FleetError> {
        let folder = create_folder()?;
        let platform = start_standin("standin-platform", "platform", &[], &folder)?;
        Ok(Self {
            folder,
            http: HttpClient::new(),
            platform,
            endpoints: Vec::new(),
            hosts: Vec::new(),
        })
    }

    /// Returns the folder with the settings and logs of all processes.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts an engine with `model` loaded, and returns its address.
    ///
    /// # Errors
    /// [`FleetError::Process`] when it cannot be started.
    pub fn add_engine(&mut self, name: &str, model: &str) -> Result<Arc<str>, FleetError> {
        let arguments = ["--model", model];
        let engine = start_standin("standin-engine", name, &arguments, &self.folder)?;
        let address = Arc::clone(&engine.address);
        self.endpoints.push(engine);
        Ok(address)
    }

    /// Starts a plain service, and returns its address.
    ///
    /// # Errors
    /// [`FleetError::Process`] when it cannot be started.
    pub fn add_plain_service(&mut self, name: &str) -> Result<Arc<str>, FleetError> {
        let plain = start_standin("standin-plain", name, &[], &self.folder)?;
        let address = Arc::clone(&plain.address);
        self.endpoints.push(plain);
        Ok(address)
    }

    /// Starts a daemon and waits until it answers. `extra_settings` is TOML that is appended to its settings.
    ///
    /// # Errors
    /// [`FleetError`] of the last attempt when it cannot be started or does not answer.
    pub async fn add_host(
        &mut self,
        name: &str,
        failure_domain: &str,
        extra_settings: &str,
    ) -> Result<(), FleetError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.start_host(name, failure_domain, extra_settings).await {
                Ok(host) => {
                    self.hosts.push(host);
                    return Ok(());
                }
                Err(_) if attempts < MAX_START_ATTEMPTS => {}
                Err(error) => return Err(error),
            }
        }
    }

    async fn start_host(
        &self,
        name: &str,
        failure_domain: &str,
        extra_settings: &str,
    ) -> Result<FleetMember, FleetError> {
        let [callers, messages, streams] = claim_addresses()?;
        let platform = &self.platform.address;
        let settings = format!(
            "host = \"{name}\"\n\
             failure_domain = \"{failure_domain}\"\n\
             caller_address = \"{callers}\"\n\
             message_address = \"{messages}\"\n\
             stream_address = \"{streams}\"\n\
             [platform]\n\
             log_address = \"{platform}\"\n\
             list_address = \"{platform}\"\n\
             store_address = \"{platform}\"\n\
             {extra_settings}\n"
        );
        let path = self.folder.join(format!("{name}.toml"));
        let what = "writing the settings";
        std::fs::write(&path, settings).context(LocalResourceSnafu { what })?;
        let path = path.to_string_lossy();
        let arguments = ["--settings", &path];
        let process = ChildProcess::start("fulmarswitchd", name, &arguments, &self.folder)?;
        let mut host = FleetMember {
            name: name.into(),
            address: callers.to_string().into(),
            process,
        };
        wait_ready(&mut host).await?;
        Ok(host)
    }

    /// Returns a client that is seeded with the addresses of all hosts started so far.
    #[must_use]
    pub fn client(&self) -> CallerClient {
        let seeds = self.hosts.iter().map(|host| Arc::clone(&host.address));
        CallerClient::new(seeds.collect())
    }

    /// Returns a host by its name.
    ///
    /// # Panics
    /// If no host has this name.
    pub fn host(&mut self, name: &str) -> &mut FleetMember {
        let index = self.hosts.iter().position(|host| host.name == name);
        &mut self.hosts[index.expect("the fleet has a host of this name")]
    }

    /// Removes a host from the fleet and returns it; its process keeps running.
    ///
    /// # Panics
    /// If no host has this name.
    pub fn remove_host(&mut self, name: &str) -> FleetMember {
        let index = self.hosts.iter().position(|host| host.name == name);
        self.hosts
            .remove(index.expect("the fleet has a host of this name"))
    }

    /// Publishes version 1 of a configuration record through any host.
    ///
    /// # Errors
    /// [`FleetError::Call`] with the refusal.
    pub async fn publish(&self, name: &str, schema: u16, body: Value) -> Result<(), FleetError> {
        let call = PublishCall {
            base_version: 0,
            schema,
            body,
        };
        let path = format!("/v1/config/{name}");
        let _: RecordReply = self.client().send_json(Method::PUT, &path, &call).await?;
        Ok(())
    }

    /// Publishes a service and its endpoints, which must have been started.
    ///
    /// # Errors
    /// [`FleetError::Call`] with the refusal.
    pub async fn publish_service(
        &self,
        service: &str,
        protocol: &str,
        model: &str,
        endpoints: &[&str],
    ) -> Result<(), FleetError> {
        let body = json!({ "protocol": protocol, "model": model });
        self.publish(&format!("service/{service}"), 1, body).await?;
        for name in endpoints {
            let address = &self.endpoint(name).address;
            let body = json!({
                "service": service,
                "address": address,
                "failure_domain": "local",
            });
            self.publish(&format!("endpoint/{name}"), 1, body).await?;
        }
        Ok(())
    }

    /// Returns an endpoint by its name.
    ///
    /// # Panics
    /// If no endpoint has this name.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> &FleetMember {
        let found = self.endpoints.iter().find(|member| member.name == name);
        found.expect("the fleet has an endpoint of this name")
    }

    /// Waits until every host has applied the newest configuration record and sees all hosts as live.
    ///
    /// # Errors
    /// [`FleetError::NotReady`] with the first host that does not converge in time.
    pub async fn wait_converged(&self) -> Result<(), FleetError> {
        for host in &self.hosts {
            self.wait_host_converged(host).await?;
        }
        Ok(())
    }

    async fn wait_host_converged(&self, host: &FleetMember) -> Result<(), FleetError> {
        let client = CallerClient::pinned(Arc::clone(&host.address));
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let status = client.get_once::<StatusReply>("/v1/status").await;
            let records = client.get_once::<Vec<RecordReply>>("/v1/config").await;
            if let (Ok(status), Ok(records)) = (status, records) {
                let live = |host: &&fulmarswitch_operator::HostReply| &*host.phase == "live";
                let host_end = records.iter().map(|record| record.offset + 1).max();
                let fleet_end = self.config_end_offset().await.unwrap_or(0);
                if status.hosts.iter().filter(live).count() >= self.hosts.len()
                    && host_end.unwrap_or(0) >= fleet_end
                {
                    return Ok(());
                }
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(not_ready(host))
    }

    /// Returns the offset after the newest configuration record, read from any host.
    async fn config_end_offset(&self) -> Result<u64, FleetError> {
        let records: Vec<RecordReply> = self.client().get("/v1/config").await?;
        let end = records.iter().map(|record| record.offset + 1).max();
        Ok(end.unwrap_or(0))
    }

    /// Sends a control call to a stand-in. The body sets, for example, the faults that it simulates.
    ///
    /// # Errors
    /// [`FleetError::ControlFailed`] when the stand-in refuses it or does not answer.
    pub async fn control<T: Serialize + Sync>(
        &self,
        address: &str,
        body: &T,
    ) -> Result<(), FleetError> {
        let control_failed = |cause: String| FleetError::ControlFailed {
            address: address.into(),
            path: "/control".into(),
            cause,
        };
        let url = format!("http://{address}/control");
        let reply = self.http.post_json(&url, body).await;
        let reply = reply.map_err(|error| control_failed(error.to_string()))?;
        if reply.status.is_success() {
            Ok(())
        } else {
            Err(control_failed(
                String::from_utf8_lossy(&reply.body).into_owned(),
            ))
        }
    }

    /// Returns how often each input ran on a plain service.
    ///
    /// # Errors
    /// [`FleetError::ControlFailed`] when the stand-in does not answer.
    pub async fn plain_runs(&self, address: &str) -> Result<Vec<(Arc<str>, u32)>, FleetError> {
        let control_failed = |cause: String| FleetError::ControlFailed {
            address: address.into(),
            path: "/runs".into(),
            cause,
        };
        let url = format!("http://{address}/runs");
        let reply = self.http.call(Method::GET, &url, Bytes::new()).await;
        reply
            .and_then(|reply| reply.json())
            .map_err(|error| control_failed(error.to_string()))
    }

    /// Deletes the folder with the settings and logs of all processes.
    pub fn remove_folder(&self) {
        // Best effort: a remaining folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_standin(
    program: &str,
    name: &str,
    arguments: &[&str],
    folder: &Path,
) -> Result<FleetMember, FleetError> {
    let mut process = ChildProcess::start(program, name, arguments, folder)?;
    let address = process.read_address()?.into();
    Ok(FleetMember {
        name: name.into(),
        address,
        process,
    })
}

async fn wait_ready(host: &mut FleetMember) -> Result<(), FleetError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let client = CallerClient::pinned(Arc::clone(&host.address));
    while Instant::now() < deadline && host.process.exit_status().is_none() {
        if client.get_once::<StatusReply>("/v1/status").await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(not_ready(host))
}

fn not_ready(host: &FleetMember) -> FleetError {
    FleetError::NotReady {
        name: host.name.clone(),
        log: host.process.log().into(),
    }
}

fn create_folder() -> Result<PathBuf, FleetError> {
    /// Number of fleets started by this process.
    static STARTED: AtomicU32 = AtomicU32::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let name = format!("fulmarswitch-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let what = "creating a folder";
    std::fs::create_dir_all(&folder).context(LocalResourceSnafu { what })?;
    Ok(folder)
}

/// Claims ports that no other process is given.
fn claim_addresses<const COUNT: usize>() -> Result<[SocketAddr; COUNT], FleetError> {
    let what = "claiming a port";
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); COUNT];
    for address in &mut addresses {
        *address = claim_address().context(LocalResourceSnafu { what })?;
    }
    Ok(addresses)
}
