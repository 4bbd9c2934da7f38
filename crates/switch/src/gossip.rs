//! Heartbeats: each host reports to all others that it is alive, whether it is ready, and its load.
//!
//! Messages about the origins of streams and about crashes of endpoints use the same socket.
//!
//! Heartbeats are UDP datagrams. A lost one is not sent again, since the next replaces it. The log is only needed to
//! find a first peer: each heartbeat to all hosts also carries the descriptor of one other host, in rotation.

use crate::affinity::{HostAffinity, compute_affinity};
use crate::backend::{AppendError, KeyedRecord};
use crate::coordinator::message::CoordinatorMessage;
use crate::crash_exchange::{self, CrashNotice};
use crate::crash_log;
use crate::endpoint::EndpointTable;
use crate::follow::FollowBatch;
use crate::limits::{LimitReport, LimitTable};
use crate::listings::{self, ListingReport, listing_report};
use crate::members::{HostDescriptor, MemberChange, MemberTable};
use crate::node::{SwitchNode, SwitchState};
use crate::origin_exchange::OriginMessage;
use crate::panics::spawn_vital;
use crate::reach::ReachReport;
use crate::report::{EndpointKey, LoadReport};
use crate::schedule::ItemKey;
use crate::trial_exchange::TrialMessage;
use crate::versions;
use crate::workspace::exchange::run_caps;
use crate::workspace::message::CapMessage;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// Minimum time between two heartbeats, including those that are sent early.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between heartbeats to all hosts, used in a fleet of up to 20 other hosts.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Heartbeat interval of a large fleet per other host. It limits the periodic heartbeats that a host sends, and
/// those that it receives, to 200 datagrams per second each.
const HEARTBEAT_INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// Maximum size of a heartbeat, which fits the MTU of common links.
const MAX_HEARTBEAT_BYTES: usize = 1400;
/// Maximum number of claimed items in a heartbeat, limited by its size.
const MAX_CLAIMS: usize = 120;
/// Maximum size of an encoded claim.
const MAX_CLAIM_BYTES: usize = 5;
/// Maximum number of limits of endpoints in a message, limited by its size.
const MAX_LIMITS: usize = 80;
/// Maximum number of failing endpoints in a heartbeat, limited by its size.
const MAX_FAILING: usize = 24;
/// Delay before the descriptor is published again after a failed append.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Version of the heartbeat encoding.
const SCHEMA: u8 = 8;

/// A datagram between hosts.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    Heartbeat(Box<Heartbeat>),
    Origin(OriginMessage),
    Crashes {
        /// Name of the sender.
        host: Arc<str>,
        notices: Vec<CrashNotice>,
    },
    Limits(Vec<LimitReport>),
    Coordinator(CoordinatorMessage),
    Trial(TrialMessage),
    Cap(CapMessage),
}

/// Wire format of a heartbeat. A [`ReachReport`] follows it in the datagram, which hosts of earlier versions do not read.
#[derive(Debug, Serialize, Deserialize)]
struct Heartbeat {
    descriptor: HostDescriptor,
    /// Whether the sender accepts callers and runs batch items, and is not cut off from the endpoints.
    ready: bool,
    /// Whether the sender has access to the log.
    has_log: bool,
    load: LoadReport,
    /// Items that the sender claims.
    claims: Vec<ItemKey>,
    /// Endpoints that the sender avoids because of error responses.
    failing: Vec<EndpointKey>,
    listings: ListingReport,
    /// Descriptor of another host, so that the receiver can send heartbeats to it.
    introduced: Option<HostDescriptor>,
}

/// Appends this host's descriptor to the log, retrying until the append succeeds.
pub(crate) async fn publish_descriptor(node: Arc<SwitchNode>) {
    let descriptor = &node.settings.descriptor;
    let value = match postcard::to_stdvec(descriptor) {
        Ok(value) => value,
        Err(error) => {
            warn!(node.deps.logger, "host descriptor not encoded"; "cause" => %error);
            return;
        }
    };
    let record = KeyedRecord {
        key: descriptor.name.as_bytes().to_vec().into(),
        value: value.into(),
    };
    loop {
        // The record contains the incarnation, so appending it twice is harmless.
        let partition = &node.settings.topics.hosts;
        match node
            .deps
            .log
            .append(partition, std::slice::from_ref(&record))
            .await
        {
            Ok(offset) => {
                info!(node.deps.logger, "host descriptor published"; "offset" => offset);
                read_host_descriptors(&node).await;
                return;
            }
            Err(error @ (AppendError::Refused { .. } | AppendError::Unknown { .. })) => {
                info!(node.deps.logger, "host descriptor not published; retrying"; "cause" => %error);
                sleep(PUBLISH_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the descriptors of all hosts once. Of hosts that start together, the last one to publish its descriptor finds
/// those of the others, which may have read the log before.
async fn read_host_descriptors(node: &SwitchNode) {
    let partition = &node.settings.topics.hosts;
    match node.deps.log.read_snapshot(partition).await {
        Ok(page) => apply_host_descriptors(node, FollowBatch::Snapshot(&page)),
        // The descriptors are read again at an interval.
        Err(error) => info!(node.deps.logger, "host descriptors not read"; "cause" => %error),
    }
}

/// Adds the hosts whose descriptors were read from the log, and applies the reports of crashes among them.
pub(crate) fn apply_host_descriptors(node: &SwitchNode, batch: FollowBatch<'_>) {
    let now = Instant::now();
    for entry in batch.records() {
        let is_applied =
            crash_log::apply_record(node, entry) || versions::store::apply_record(node, entry);
        if is_applied || entry.record.value.is_empty() {
            continue;
        }
        match postcard::from_bytes::<HostDescriptor>(&entry.record.value) {
            Ok(descriptor) if descriptor.name != node.settings.descriptor.name => {
                node.lock().members.add_host(descriptor, now);
            }
            Ok(_) => {}
            Err(error) => warn!(node.deps.logger, "host descriptor ignored";
                "offset" => entry.offset, "cause" => %error),
        }
    }
    if let FollowBatch::Snapshot(_) = batch {
        node.lock().versions.history.mark_read();
    }
}

/// Sends and receives heartbeats.
pub(crate) async fn exchange_heartbeats(node: Arc<SwitchNode>, socket: UdpSocket) {
    let socket = node.socket.get_or_init(|| socket);
    spawn_vital("messages of hosts", receive_messages(node.clone()));
    spawn_vital("caps of workspaces", run_caps(node.clone()));
    let mut round = 0;
    let mut next = Instant::now();
    loop {
        let neighbours_only = tokio::select! {
            () = sleep_until(next) => false,
            () = node.heartbeat_requested.notified() => false,
            () = node.neighbour_heartbeat_requested.notified() => true,
        };
        if neighbours_only && node.send_load_changes() {
            sleep(MIN_HEARTBEAT_INTERVAL).await;
            continue;
        }
        let interval = send_heartbeat(&node, socket, round, neighbours_only).await;
        if !neighbours_only {
            round += 1;
            next = Instant::now() + interval;
        }
        sleep(MIN_HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a heartbeat to all hosts, or only to neighbours. Returns the interval between heartbeats to all.
async fn send_heartbeat(
    node: &SwitchNode,
    socket: &UdpSocket,
    round: usize,
    neighbours_only: bool,
) -> Duration {
    let now = Instant::now();
    let (heartbeat, reach, limits, targets, interval) = {
        let mut state = node.lock();
        let known = u32::try_from(state.members.all().count()).unwrap_or(u32::MAX);
        let interval = heartbeat_interval(known);
        if !neighbours_only {
            state
                .run_delay
                .record_run(now, now + interval + MIN_HEARTBEAT_INTERVAL);
            state.members.update_timeout(now, interval);
            let timeout = state.members.failure_timeout();
            let interval = interval + MIN_HEARTBEAT_INTERVAL;
            for name in state.load.expire_reports(timeout, interval, now) {
                info!(node.deps.logger, "host lost"; "peer" => &*name);
            }
            update_affinity(node, &mut state, now);
            state.origins.expire(now);
        }
        let neighbours = &state.load.affinity().neighbours;
        let descriptors: Vec<_> = state.members.all().map(|entry| &entry.descriptor).collect();
        let introduced = (!neighbours_only && !descriptors.is_empty())
            .then(|| descriptors[round % descriptors.len()].clone());
        let targets: Vec<_> = descriptors
            .iter()
            .filter(|descriptor| !neighbours_only || neighbours.contains(&descriptor.name))
            .map(|descriptor| descriptor.peer_address)
            .collect();
        let heartbeat = Heartbeat {
            descriptor: node.settings.descriptor.clone(),
            ready: state.routes.is_some() && !state.stopping && !state.reach.is_cut_off(),
            has_log: node.has_log(now),
            load: state.load.own_report(now, node.heard_at()),
            claims: state.own_claims(MAX_CLAIMS, now),
            failing: state.load.failing_endpoints(MAX_FAILING, now),
            listings: listing_report(&state, now),
            introduced,
        };
        let limits = if neighbours_only {
            Vec::new()
        } else {
            state.limits.reports(now)
        };
        let reach = node.reach_report(&state, now);
        (heartbeat, reach, limits, targets, interval)
    };
    if let Some(bytes) = encode_heartbeat(node, heartbeat, reach) {
        send_to_targets(node, socket, &bytes, &targets).await;
    }
    for reports in limits.chunks(MAX_LIMITS) {
        send_message(node, &PeerMessage::Limits(reports.to_vec()), &targets);
    }
    interval
}

/// Encodes a heartbeat with as many of its claims as fit: without a heartbeat, the host would count as lost, and the others would run all its
/// items.
fn encode_heartbeat(
    node: &SwitchNode,
    mut heartbeat: Heartbeat,
    reach: ReachReport,
) -> Option<Vec<u8>> {
    let claims = std::mem::take(&mut heartbeat.claims);
    let size = postcard::to_stdvec(&claims).map_or(0, |bytes| bytes.len());
    let mut message = (PeerMessage::Heartbeat(Box::new(heartbeat)), reach);
    let rest = postcard::to_stdvec(&(SCHEMA, &message)).map_or(0, |bytes| bytes.len());
    let room = MAX_HEARTBEAT_BYTES.saturating_sub(rest);
    let count = if size <= room {
        claims.len()
    } else {
        room / MAX_CLAIM_BYTES
    };
    if let PeerMessage::Heartbeat(heartbeat) = &mut message.0 {
        heartbeat.claims = claims.into_iter().take(count).collect();
    }
    encode(node, &message)
}

fn encode(node: &SwitchNode, message: &impl Serialize) -> Option<Vec<u8>> {
    match postcard::to_stdvec(&(SCHEMA, message)) {
        Ok(bytes) if bytes.len() <= MAX_HEARTBEAT_BYTES => Some(bytes),
        Ok(bytes) => {
            warn!(node.deps.logger, "heartbeat too large"; "bytes" => bytes.len());
            None
        }
        Err(error) => {
            warn!(node.deps.logger, "heartbeat not encoded"; "cause" => %error);
            None
        }
    }
}

/// Sends a message about the origin of a stream, without waiting. A host that is not started sends nothing.
pub(crate) fn send_origin_message(
    node: &SwitchNode,
    message: OriginMessage,
    targets: &[SocketAddr],
) {
    send_message(node, &PeerMessage::Origin(message), targets);
}

/// Sends a message to or as a coordinator, without waiting. A host that is not started sends nothing.
pub(crate) fn send_coordinator_message(
    node: &SwitchNode,
    message: CoordinatorMessage,
    targets: &[SocketAddr],
) {
    send_message(node, &PeerMessage::Coordinator(message), targets);
}

/// Sends a message to or as a coordinator with `rest` after it, which hosts of earlier versions do not read. It goes without the rest if
/// both do not fit into a datagram.
pub(crate) fn send_extended_message(
    node: &SwitchNode,
    message: CoordinatorMessage,
    rest: &impl Serialize,
    targets: &[SocketAddr],
) {
    let message = PeerMessage::Coordinator(message);
    let extended = postcard::to_stdvec(&(SCHEMA, &message, rest)).ok();
    match extended.filter(|bytes| bytes.len() <= MAX_HEARTBEAT_BYTES) {
        Some(bytes) => send_bytes(node, &bytes, targets),
        None => send_message(node, &message, targets),
    }
}

/// Sends a message about a trial, without waiting. A host that is not started sends nothing.
pub(crate) fn send_trial_message(node: &SwitchNode, message: TrialMessage, target: SocketAddr) {
    send_message(node, &PeerMessage::Trial(message), &[target]);
}

/// Sends a message to or as an accountant, without waiting. A host that is not started sends nothing.
pub(crate) fn send_cap_message(node: &SwitchNode, message: CapMessage, target: SocketAddr) {
    send_message(node, &PeerMessage::Cap(message), &[target]);
}

/// Sends notices about crashes, without waiting. A host that is not started sends nothing.
pub(crate) fn send_crash_notices(
    node: &SwitchNode,
    notices: Vec<CrashNotice>,
    targets: &[SocketAddr],
) {
    let host = node.settings.descriptor.name.clone();
    send_message(node, &PeerMessage::Crashes { host, notices }, targets);
}

fn send_message(node: &SwitchNode, message: &PeerMessage, targets: &[SocketAddr]) {
    if let Some(bytes) = encode(node, message) {
        send_bytes(node, &bytes, targets);
    }
}

fn send_bytes(node: &SwitchNode, bytes: &[u8], targets: &[SocketAddr]) {
    let Some(socket) = node.socket.get() else {
        return;
    };
    for target in targets {
        if let Err(error) = socket.try_send_to(bytes, *target) {
            // Origins go to several hosts, and crashes are reported again.
            slog::debug!(node.deps.logger, "message not sent"; "to" => %target, "cause" => %error);
        }
    }
}

async fn send_to_targets(
    node: &SwitchNode,
    socket: &UdpSocket,
    bytes: &[u8],
    targets: &[SocketAddr],
) {
    for target in targets {
        if let Err(error) = socket.send_to(bytes, target).await {
            // The next heartbeat follows within the interval. If all fail, the receivers time this host out.
            slog::debug!(node.deps.logger, "heartbeat not sent"; "to" => %target, "cause" => %error);
        }
    }
}

fn update_affinity(node: &SwitchNode, state: &mut SwitchState, now: Instant) {
    let SwitchState {
        limits,
        members,
        endpoints,
        stopping,
        load,
        ..
    } = &mut *state;
    let own = &node.settings.descriptor;
    load.set_affinity(share_endpoints(
        own, *stopping, members, endpoints, limits, now,
    ));
    update_coordination(node, state, now);
}

/// Updates the share of the host `own` in each limit, and returns its affinity.
pub fn share_endpoints(
    own: &HostDescriptor,
    is_stopping: bool,
    members: &MemberTable,
    endpoints: &EndpointTable,
    limits: &mut LimitTable,
    now: Instant,
) -> HostAffinity {
    let mut hosts = vec![(own.name.clone(), own.domain.clone())];
    let others = members.live(now).filter(|entry| entry.ready);
    hosts.extend(others.map(|entry| {
        (
            entry.descriptor.name.clone(),
            entry.descriptor.domain.clone(),
        )
    }));
    let mut affinity = compute_affinity(&own.name, &hosts, &endpoints.all_serving(now));
    limits.update_shares(hosts.len(), now, |key, count| {
        !is_stopping && members.is_among_assigned(key.hash(), &own.name, count, now)
    });
    if !limits.is_empty() {
        // Nobody else uses what a limit leaves to this host.
        affinity
            .endpoints
            .retain(|id| limits.share(id) != Some(false));
        let serving = endpoints.all_serving(now).into_iter();
        let shared = serving.filter(|endpoint| limits.share(&endpoint.id) == Some(true));
        affinity
            .endpoints
            .extend(shared.map(|endpoint| endpoint.id.clone()));
        affinity.endpoints.sort_unstable();
        affinity.endpoints.dedup();
    }
    affinity
}

fn update_coordination(node: &SwitchNode, state: &mut SwitchState, now: Instant) {
    let endpoints = state.endpoints.all_serving(now);
    let SwitchState {
        coordination,
        members,
        ..
    } = &mut *state;
    if coordination.update(&node.settings.descriptor, members, &endpoints, now) {
        // New coordinators have to know the load of this host.
        state.load.mark_all_changed();
        node.neighbour_heartbeat_requested.notify_one();
    }
}

async fn receive_messages(node: Arc<SwitchNode>) {
    let Some(socket) = node.socket.get() else {
        return;
    };
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let message = &buffer[..length];
                node.contain("handle a message of a host", || {
                    handle_message(&node, message, from);
                });
            }
            Err(error) => {
                // An ICMP error for an earlier datagram is reported here; receiving continues.
                slog::debug!(node.deps.logger, "heartbeat not received"; "cause" => %error);
                sleep(MIN_HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// Decodes and handles a message of another host.
fn handle_message(node: &Arc<SwitchNode>, message: &[u8], from: SocketAddr) {
    match postcard::take_from_bytes(message) {
        Ok(((SCHEMA, PeerMessage::Heartbeat(heartbeat)), rest)) => {
            // A host of an earlier version sends none.
            let reach = postcard::from_bytes(rest).ok();
            handle_heartbeat(node, *heartbeat, reach);
        }
        Ok(((SCHEMA, PeerMessage::Origin(message)), _)) => {
            node.handle_origin_message(message, from);
        }
        Ok(((SCHEMA, PeerMessage::Crashes { host, notices }), _)) => {
            crash_exchange::apply_notices(node, &host, notices);
        }
        Ok(((SCHEMA, PeerMessage::Limits(reports)), _)) => {
            let now = Instant::now();
            let limits = &mut node.lock().limits;
            for report in reports {
                limits.apply(report, now);
            }
        }
        Ok(((SCHEMA, PeerMessage::Coordinator(message)), rest)) => {
            node.handle_coordinator_message(message, rest, from);
        }
        Ok(((SCHEMA, PeerMessage::Trial(message)), _)) => {
            node.handle_trial_message(message, from);
        }
        Ok(((SCHEMA, PeerMessage::Cap(message)), _)) => {
            node.handle_cap_message(message, from);
        }
        Ok(((schema, _), _)) => {
            info!(node.deps.logger, "heartbeat ignored"; "schema" => schema, "from" => %from);
        }
        Err(error) => {
            info!(node.deps.logger, "heartbeat ignored"; "cause" => %error, "from" => %from);
        }
    }
}

fn handle_heartbeat(node: &SwitchNode, heartbeat: Heartbeat, reach: Option<ReachReport>) {
    let now = Instant::now();
    let mut state = node.lock();
    if heartbeat.descriptor.name == node.settings.descriptor.name {
        return;
    }
    if let Some(introduced) = heartbeat.introduced
        && introduced.name != node.settings.descriptor.name
    {
        state.members.add_host(introduced, now);
    }
    let (name, incarnation) = (
        heartbeat.descriptor.name.clone(),
        heartbeat.descriptor.incarnation,
    );
    let peer_address = heartbeat.descriptor.peer_address;
    let change = state
        .members
        .record_heartbeat(heartbeat.descriptor, heartbeat.ready, now);
    if change != MemberChange::Same {
        info!(node.deps.logger, "host heard"; "peer" => &*name, "incarnation" => incarnation,
            "ready" => heartbeat.ready, "change" => ?change);
    }
    if matches!(change, MemberChange::Joined | MemberChange::Restarted) {
        crash_exchange::report_to(node, &state, peer_address);
    }
    state.load.update_report(&name, heartbeat.load, now);
    for key in state.load.update_failing(&name, heartbeat.failing) {
        let mut listed = state.endpoints.all_serving(now).into_iter();
        let endpoint = listed.find(|endpoint| EndpointKey::of(&endpoint.id) == key);
        info!(node.deps.logger, "endpoint avoided"; "peer" => &*name,
            "endpoint" => endpoint.map(|endpoint| endpoint.id.to_string()),
            "cause" => "a host says that it answers with failures");
    }
    listings::apply_report(node, &mut state, &name, &heartbeat.listings, now);
    state.members.set_claims(&name, heartbeat.claims);
    state.members.set_has_log(&name, heartbeat.has_log);
    state.members.set_reach(&name, reach);
    let own = &*node.settings.descriptor.name;
    let must_preempt = !state.coordination.is_active()
        && state.running.iter().any(|running| {
            let endpoint = state.endpoints.get(&running.endpoint);
            endpoint.is_some_and(|endpoint| state.load.batch_preemptions(own, endpoint, now) > 0)
        });
    if must_preempt || change != MemberChange::Same {
        node.schedule_requested.notify_one();
    }
}

/// Interval between heartbeats to all, in a fleet with `hosts` other hosts.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(fulmarswitch_switch::gossip::heartbeat_interval(9), Duration::from_millis(100));
/// assert_eq!(fulmarswitch_switch::gossip::heartbeat_interval(84), Duration::from_millis(420));
/// ```
#[must_use]
pub fn heartbeat_interval(hosts: u32) -> Duration {
    HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_HOST * hosts)
}
