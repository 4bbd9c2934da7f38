//! Beats: each host tells all others that it lives, whether it takes callers, and its load.
//!
//! Beats are datagrams; one that is lost is made good by the next. The log is only needed to find the first
//! other host: beats carry the cards of hosts in turn.

use crate::affinity::compute_affinity;
use crate::backend::{AppendError, KeyedRecord};
use crate::follow::FollowBatch;
use crate::load::{EndpointKey, LoadReport};
use crate::members::{HostDescriptor, MemberChange};
use crate::node::{SwitchNode, SwitchState};
use crate::schedule::ItemKey;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// Least time between two beats.
const BEAT_LEAST: Duration = Duration::from_millis(20);
/// Time between beats of a small fleet.
const BEAT_PERIOD: Duration = Duration::from_millis(100);
/// Time between beats for each host of a large fleet, which bounds the datagrams that a host sends and
/// receives to 200 a second each.
const BEAT_PERIOD_PER_HOST: Duration = Duration::from_millis(5);
/// Most bytes of a beat: what fits a datagram on common links.
const BEAT_BYTES: usize = 1400;
/// Most items that a beat names as begun, by the bytes that a beat may have.
const MOST_CLAIMS: usize = 120;
/// Most endpoints that a beat names as failing, by the bytes that a beat may have.
const MOST_FAILING: usize = 24;
/// Pause before the card is written again after a refusal.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);
/// Version of the beats' encoding.
const SCHEMA: u8 = 4;

/// One beat.
#[derive(Debug, Serialize, Deserialize)]
struct HostBeat {
    descriptor: HostDescriptor,
    ready: bool,
    has_log: bool,
    load: LoadReport,
    claims: Vec<ItemKey>,
    /// Endpoints that the sender leaves out for what they answered.
    failing: Vec<EndpointKey>,
    also: Option<HostDescriptor>,
}

/// Writes this host's card to the log, once the log takes it.
pub(crate) async fn announce(node: Arc<SwitchNode>) {
    let descriptor = &node.settings.descriptor;
    let value = match postcard::to_stdvec(descriptor) {
        Ok(value) => value,
        Err(error) => {
            warn!(node.parts.logger, "card not written"; "cause" => %error);
            return;
        }
    };
    let record = KeyedRecord {
        key: descriptor.name.as_bytes().to_vec().into(),
        value: value.into(),
    };
    loop {
        // The record names its run, so that writing it twice does no harm.
        let topic = &node.settings.topics.hosts;
        match node
            .parts
            .log
            .append(topic, std::slice::from_ref(&record))
            .await
        {
            Ok(offset) => {
                info!(node.parts.logger, "card written"; "offset" => offset);
                return;
            }
            Err(error @ (AppendError::Refused { .. } | AppendError::Unknown { .. })) => {
                info!(node.parts.logger, "card not written yet"; "cause" => %error);
                sleep(ANNOUNCE_RETRY).await;
            }
        }
    }
}

/// Takes hosts' cards from the log.
pub(crate) fn take_hosts(node: &SwitchNode, batch: FollowBatch<'_>) {
    let now = Instant::now();
    for entry in batch.records() {
        if entry.record.value.is_empty() {
            continue;
        }
        match postcard::from_bytes::<HostDescriptor>(&entry.record.value) {
            Ok(descriptor) if descriptor.name != node.settings.descriptor.name => {
                node.lock().members.add_known(descriptor, now);
            }
            Ok(_) => {}
            Err(error) => warn!(node.parts.logger, "card left out";
                "offset" => entry.offset, "cause" => %error),
        }
    }
}

/// Sends and receives beats.
pub(crate) async fn exchange_beats(node: Arc<SwitchNode>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(receive_beats(node.clone(), socket.clone()));
    let mut turn = 0;
    let mut next = Instant::now();
    loop {
        let near = tokio::select! {
            () = sleep_until(next) => false,
            () = node.beat_now.notified() => false,
            () = node.near_now.notified() => true,
        };
        let period = send_beat(&node, &socket, turn, near).await;
        if !near {
            turn += 1;
            next = Instant::now() + period;
        }
        sleep(BEAT_LEAST).await;
    }
}

/// Sends a beat to all hosts, or to those near this one. Returns the time between beats to all.
async fn send_beat(node: &SwitchNode, socket: &UdpSocket, turn: usize, near: bool) -> Duration {
    let now = Instant::now();
    let (beat, targets, period) = {
        let mut state = node.lock();
        let known = u32::try_from(state.members.all().count()).unwrap_or(u32::MAX);
        let period = heartbeat_period(known);
        if !near {
            for name in state.members.expire_silent(now, period) {
                info!(node.parts.logger, "host lost"; "peer" => &*name);
                state.load.forget_host(&name);
            }
            choose_homes(node, &mut state, now);
        }
        let neighbours = &state.load.affinity().neighbours;
        let cards: Vec<_> = state.members.all().map(|entry| &entry.descriptor).collect();
        let also = (!near && !cards.is_empty()).then(|| cards[turn % cards.len()].clone());
        let targets: Vec<_> = cards
            .iter()
            .filter(|descriptor| !near || neighbours.contains(&descriptor.name))
            .map(|descriptor| descriptor.peer_address)
            .collect();
        let beat = HostBeat {
            descriptor: node.settings.descriptor.clone(),
            ready: state.routes.is_some() && !state.stopping,
            has_log: node.has_log(now),
            load: state.load.own_report(),
            claims: state.own_claims(MOST_CLAIMS),
            failing: state.load.failing_reports(MOST_FAILING, now),
            also,
        };
        (beat, targets, period)
    };
    send_to_all(node, socket, &beat, &targets).await;
    period
}

async fn send_to_all(
    node: &SwitchNode,
    socket: &UdpSocket,
    beat: &HostBeat,
    targets: &[SocketAddr],
) {
    let bytes = match postcard::to_stdvec(&(SCHEMA, beat)) {
        Ok(bytes) if bytes.len() <= BEAT_BYTES => bytes,
        Ok(bytes) => {
            warn!(node.parts.logger, "beat too large"; "bytes" => bytes.len());
            return;
        }
        Err(error) => {
            warn!(node.parts.logger, "beat not encoded"; "cause" => %error);
            return;
        }
    };
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, target).await {
            // The next beat follows within the period; silence shows at the receiver.
            slog::debug!(node.parts.logger, "beat not sent"; "to" => %target, "cause" => %error);
        }
    }
}

fn choose_homes(node: &SwitchNode, state: &mut SwitchState, now: Instant) {
    let own = &node.settings.descriptor;
    let mut hosts = vec![(own.name.clone(), own.domain.clone())];
    let others = state.members.live(now).filter(|entry| entry.ready);
    hosts.extend(others.map(|entry| {
        (
            entry.descriptor.name.clone(),
            entry.descriptor.domain.clone(),
        )
    }));
    let affinity = compute_affinity(&own.name, &hosts, &state.endpoints.all_serving());
    state.load.set_affinity(affinity);
}

async fn receive_beats(node: Arc<SwitchNode>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; BEAT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                Ok((SCHEMA, beat)) => take_beat(&node, beat),
                Ok((schema, _)) => {
                    info!(node.parts.logger, "beat left out"; "schema" => schema, "from" => %from);
                }
                Err(error) => {
                    info!(node.parts.logger, "beat left out"; "cause" => %error, "from" => %from);
                }
            },
            Err(error) => {
                // A refused datagram of an earlier send shows here; receiving goes on.
                slog::debug!(node.parts.logger, "beat not received"; "cause" => %error);
                sleep(BEAT_LEAST).await;
            }
        }
    }
}

fn take_beat(node: &SwitchNode, beat: HostBeat) {
    let now = Instant::now();
    let mut state = node.lock();
    if beat.descriptor.name == node.settings.descriptor.name {
        return;
    }
    if let Some(also) = beat.also
        && also.name != node.settings.descriptor.name
    {
        state.members.add_known(also, now);
    }
    let (name, incarnation) = (beat.descriptor.name.clone(), beat.descriptor.incarnation);
    let change = state
        .members
        .record_heartbeat(beat.descriptor, beat.ready, now);
    if change != MemberChange::Same {
        info!(node.parts.logger, "host heard"; "peer" => &*name, "incarnation" => incarnation,
            "ready" => beat.ready, "change" => ?change);
    }
    state.load.update_report(&name, beat.load);
    for key in state.load.update_failing(&name, beat.failing) {
        let mut listed = state.endpoints.all_serving().into_iter();
        let endpoint = listed.find(|endpoint| EndpointKey::of(&endpoint.id) == key);
        info!(node.parts.logger, "endpoint avoided"; "peer" => &*name,
            "endpoint" => endpoint.map(|endpoint| endpoint.id.to_string()),
            "cause" => "a host says that it answers with failures");
    }
    state.members.set_claims(&name, beat.claims);
    state.members.set_has_log(&name, beat.has_log);
    let gives_way = state.running.iter().any(|running| {
        let endpoint = state.endpoints.get(&running.endpoint);
        endpoint.is_some_and(|endpoint| state.load.batch_preemptions(endpoint) > 0)
    });
    if gives_way || change != MemberChange::Same {
        node.batch_now.notify_one();
    }
}

/// Time between beats to all in a fleet with `hosts` other hosts.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(fulmarswitch_switch::gossip::heartbeat_period(9), Duration::from_millis(100));
/// assert_eq!(fulmarswitch_switch::gossip::heartbeat_period(84), Duration::from_millis(420));
/// ```
#[must_use]
pub fn heartbeat_period(hosts: u32) -> Duration {
    BEAT_PERIOD.max(BEAT_PERIOD_PER_HOST * hosts)
}
