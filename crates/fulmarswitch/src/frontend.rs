//! HTTP front end for callers and operators.
//!
//! The front end keeps no state of requests: it finds the owner of a key or job, forwards the call,
//! follows the owner when the shard moves, and returns the whole answer to the caller.

mod config;
mod jobs;
mod limits;
mod online;
mod reply;
mod service;

pub use service::caller_service;

use crate::context::HostContext;
use crate::fleet::FleetState;
use crate::gates::GateManager;
use crate::jobs::JobOwner;
use crate::keys::KeyOwner;
use crate::membership::Membership;
use crate::shards::ShardReplicas;
use fulmarswitch_caller::wire::AddressReply;
use fulmarswitch_decide::hosts::HostPhase;
use fulmarswitch_decide::placement::weight;
use fulmarswitch_http::{HttpRequest, HttpResponse, full_body, json_response};
use fulmarswitch_operator::{HostReply, StatusReply};
use fulmarswitch_peer::{PeerError, PeerMessage, PeerReply};
use hyper::{Method, Response, StatusCode};
use limits::WorkspaceCounts;
use reply::{CallError, error_response};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of addresses returned to a caller.
const MAX_ADDRESSES: usize = 3;
/// Time within which a non-streaming call must reach the owner of its key or job.
const OWNER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that an owner has to answer one message; a paused host does not answer at all.
const OWNER_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the owner is looked up again.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Age of the last answer of the log from which the status reports it as unreachable.
const LOG_FRESHNESS_LIMIT: Duration = Duration::from_secs(1);

/// HTTP front end of one host.
pub struct Frontend {
    context: HostContext,
    fleet: Arc<FleetState>,
    shards: Arc<ShardReplicas>,
    keys: Arc<KeyOwner>,
    jobs: Arc<JobOwner>,
    gates: Arc<GateManager>,
    membership: Arc<Membership>,
    in_progress: AtomicUsize,
    workspace_counts: Arc<WorkspaceCounts>,
    draining: watch::Sender<bool>,
    drain_requested: watch::Sender<bool>,
}

impl Frontend {
    /// Creates a front end without calls in progress.
    #[must_use]
    pub fn new(
        context: &HostContext,
        fleet: &Arc<FleetState>,
        shards: &Arc<ShardReplicas>,
        keys: &Arc<KeyOwner>,
        jobs: &Arc<JobOwner>,
        gates: &Arc<GateManager>,
        membership: &Arc<Membership>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            shards: Arc::clone(shards),
            keys: Arc::clone(keys),
            jobs: Arc::clone(jobs),
            gates: Arc::clone(gates),
            membership: Arc::clone(membership),
            in_progress: AtomicUsize::new(0),
            workspace_counts: Arc::default(),
            draining: watch::Sender::new(false),
            drain_requested: watch::Sender::new(false),
        })
    }

    /// Returns the number of calls in progress, of all kinds.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Reports the host as leaving in its status. Calls that still arrive are served.
    pub fn start_draining(&self) {
        self.draining.send_replace(true);
    }

    /// Returns once an operator has asked this host to drain.
    pub async fn wait_drain_requested(&self) {
        // The sender lives as long as the front end, so the wait cannot fail.
        let _ = self
            .drain_requested
            .subscribe()
            .wait_for(|drain_requested| *drain_requested)
            .await;
    }

    /// Answers one HTTP call.
    pub async fn answer(self: Arc<Self>, request: HttpRequest) -> HttpResponse {
        let guard = ProgressGuard::new(&self);
        let path = request.uri().path().trim_matches('/').to_owned();
        let segments: Vec<&str> = path.split('/').collect();
        let answered = match (request.method(), &segments[..]) {
            (&Method::GET, ["v1", "addresses"]) => Ok(self.addresses()),
            (&Method::POST, ["v1", "requests"]) => self.submit(request, guard).await,
            (&Method::GET, ["v1", "requests", workspace, key]) => {
                self.read_key(workspace, key).await
            }
            (&Method::POST, ["v1", "jobs"]) => self.submit_job(request).await,
            (&Method::GET, ["v1", "jobs", workspace, job]) => self.read_job(workspace, job).await,
            (&Method::DELETE, ["v1", "jobs", workspace, job]) => {
                self.cancel_job(workspace, job).await
            }
            (&Method::GET, ["v1", "jobs", workspace, job, "results"]) => {
                self.read_results(workspace, job, &request).await
            }
            (&Method::PUT, ["v1", "config", kind, name]) => self.publish(kind, name, request).await,
            (&Method::GET, ["v1", "config"]) => Ok(self.list_config()),
            (&Method::GET, ["v1", "config", kind, name]) => self.read_config(kind, name),
            (&Method::GET, ["v1", "status"]) => Ok(self.status()),
            (&Method::POST, ["v1", "drain"]) => {
                self.drain_requested.send_replace(true);
                Ok(json_response(StatusCode::ACCEPTED, &true))
            }
            (&Method::GET, ["v1", "events"]) => {
                Ok(json_response(StatusCode::OK, &self.context.events.all()))
            }
            (&Method::GET, ["metrics"]) => {
                Ok(Response::new(full_body(self.context.metrics.render())))
            }
            _ => Err(CallError::NoSuchCall),
        };
        answered.unwrap_or_else(|error| error_response(&error))
    }

    /// Sends a message to the owner of a key or job, and follows the owner when the shard moves.
    async fn call_owner(&self, name: &str, message: PeerMessage) -> Result<PeerReply, CallError> {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        let shard = self.fleet.view().shard_of(name);
        let mut may_have_acted = false;
        while Instant::now() < deadline {
            if let Some(target) = self.shards.owner_target(shard) {
                let reply = if target.host == self.context.identity {
                    Ok(self.handle_locally(message.clone()).await)
                } else {
                    self.context.metrics.peer_messages.inc();
                    let call = self.context.link.call(&target, message.clone());
                    tokio::time::timeout(OWNER_CALL_TIMEOUT, call)
                        .await
                        .unwrap_or_else(|_| {
                            let (host, cause) = (target.host.clone(), "timeout".into());
                            Err(PeerError::NoReply { host, cause })
                        })
                };
                match reply {
                    Ok(PeerReply::NotOwner) | Err(PeerError::NotReached { .. }) => {}
                    // Every message that is sent here is idempotent, so it may be repeated.
                    Ok(PeerReply::Unknown) | Err(PeerError::NoReply { .. }) => {
                        may_have_acted = true;
                    }
                    // An earlier copy of the message may still take effect.
                    Ok(PeerReply::Refused { .. }) if may_have_acted => {
                        return Err(CallError::Unknown);
                    }
                    Ok(reply) => return Ok(reply),
                }
            }
            tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
        }
        Err(if may_have_acted {
            CallError::Unknown
        } else {
            CallError::NoOwner
        })
    }

    async fn handle_locally(&self, message: PeerMessage) -> PeerReply {
        match message {
            PeerMessage::ReadKey(name) => self.keys.read_key(&name).await,
            PeerMessage::BeginJob(header) => self.jobs.begin_submission(header).await,
            PeerMessage::PutItems(batch) => self.jobs.put_items(batch).await,
            PeerMessage::SealJob(seal) => self.jobs.seal_submission(seal).await,
            PeerMessage::CancelJob(name) => self.jobs.cancel(&name).await,
            PeerMessage::ReadJob(name) => self.jobs.read_job(&name),
            PeerMessage::ReadResults(range) => self.jobs.read_results(&range).await,
            _ => PeerReply::Unsupported,
        }
    }

    /// Returns a few addresses, those in this failure domain first. The order among equals is random
    /// and spreads callers over hosts.
    fn addresses(&self) -> HttpResponse {
        let view = self.fleet.view();
        let salt = rand::random::<u64>().to_string();
        let mut hosts: Vec<_> = view.hosts.live().map(|entry| &entry.join).collect();
        let is_local = |domain: &str| *domain == *self.context.settings.failure_domain;
        hosts.sort_by_key(|join| {
            (
                !is_local(&join.failure_domain),
                weight(&join.host.name, &salt),
            )
        });
        // Keep one address in another failure domain, in case this one is lost.
        if let Some(remote) = hosts
            .iter()
            .position(|join| !is_local(&join.failure_domain))
            && remote >= MAX_ADDRESSES
        {
            hosts.swap(remote, MAX_ADDRESSES - 1);
        }
        let addresses = hosts
            .iter()
            .take(MAX_ADDRESSES)
            .map(|join| Arc::clone(&join.caller_address))
            .collect();
        let ttl_ms = self.context.settings.tuning.address_ttl_ms;
        json_response(StatusCode::OK, &AddressReply { addresses, ttl_ms })
    }

    fn status(&self) -> HttpResponse {
        let view = self.fleet.view();
        let hosts = view.hosts.all().map(|entry| HostReply {
            name: Arc::clone(&entry.join.host.name),
            incarnation: entry.join.host.incarnation,
            failure_domain: Arc::clone(&entry.join.failure_domain),
            address: Arc::clone(&entry.join.caller_address),
            phase: phase_name(entry.phase).into(),
            config_read: self
                .membership
                .config_read(&entry.join.host)
                .map(|offset| offset.0),
        });
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let status = StatusReply {
            host: self.context.identity.clone(),
            leaving: *self.draining.borrow(),
            config_read: self.fleet.config.status().borrow().next.0,
            log_reached: self.fleet.config.is_fresh(LOG_FRESHNESS_LIMIT),
            owned_shards: count(self.shards.owned().len()),
            gates: count(self.gates.counts().0),
            hosts: hosts.collect(),
        };
        json_response(StatusCode::OK, &status)
    }
}

/// Counts a call as in progress until it is dropped.
struct ProgressGuard {
    frontend: Arc<Frontend>,
}

impl ProgressGuard {
    fn new(frontend: &Arc<Frontend>) -> Self {
        frontend.in_progress.fetch_add(1, Ordering::Relaxed);
        frontend.context.metrics.online_in_progress.inc();
        Self {
            frontend: Arc::clone(frontend),
        }
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.frontend.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.frontend.context.metrics.online_in_progress.dec();
    }
}

fn phase_name(phase: HostPhase) -> &'static str {
    match phase {
        HostPhase::Live => "live",
        HostPhase::Leaving => "leaving",
        HostPhase::Down => "down",
    }
}
