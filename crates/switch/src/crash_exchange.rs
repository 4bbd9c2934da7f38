//! Reports of crashes and quarantines between hosts.
//!
//! Each host reports the crashes that it saw itself and all quarantines, at once and then at an interval, so that lost
//! datagrams do not matter and a host that starts or was cut off learns them. Times are sent as ages,
//! since the clocks of hosts differ.

use crate::crash_loops::EndpointPlace;
use crate::crashes::{BrokenRequest, CrashId, EndpointCrash};
use crate::gossip::{heartbeat_interval, send_crash_notices};
use crate::node::{SwitchNode, SwitchState, millis};
use crate::prompt::{PartKey, PromptParts};
use crate::quarantine::{Quarantine, QuarantineId, SETTLE_TIME};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Number of heartbeat intervals between two reports without news.
const INTERVALS_PER_REPORT: u32 = 10;
/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which each report says that a part is sound: several reports, as datagrams are lost. A host that has missed them
/// is told all when it is heard again.
const SOUND_REPORT_DURATION: Duration = Duration::from_secs(5);
/// Maximum number of parts in one notice, limited by the size of a datagram.
const MAX_NOTICE_PARTS: usize = 96;
/// Maximum encoded size of the notices in one datagram.
const MAX_NOTICES_BYTES: usize = 1200;
/// Maximum number of datagrams of one report.
const MAX_DATAGRAMS: usize = 16;
/// Maximum age of a time in a notice. Older ones no longer tell anything.
const MAX_AGE: Duration = Duration::from_mins(10);

/// What a host reports of crashes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum CrashNotice {
    /// Requests of the sender broke off with an endpoint.
    Crash {
        id: CrashId,
        seen_before_ms: u32,
        requests: Vec<WireRequest>,
    },
    /// The sender saw that a part is sound.
    Sound { part: PartKey, seen_before_ms: u32 },
    /// Requests with these parts are rejected; if there are none, no longer.
    Quarantine {
        id: QuarantineId,
        term: u8,
        left_ms: u32,
        parts: Vec<PartKey>,
    },
}

impl CrashNotice {
    /// The notice as it is `age_ms` later; `None` if it is too old.
    pub(crate) fn aged(mut self, age_ms: u32) -> Option<Self> {
        match &mut self {
            Self::Crash {
                seen_before_ms,
                requests,
                ..
            } => {
                *seen_before_ms = seen_before_ms.checked_add(age_ms)?;
                for request in requests {
                    request.sent_before_ms = request.sent_before_ms.checked_add(age_ms)?;
                }
            }
            Self::Sound { seen_before_ms, .. } => {
                *seen_before_ms = seen_before_ms.checked_add(age_ms)?;
            }
            Self::Quarantine { left_ms, .. } => {
                *left_ms = left_ms.checked_sub(age_ms)?;
            }
        }
        Some(self)
    }
}

/// A request that broke off.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireRequest {
    parts: PromptParts,
    sent_before_ms: u32,
}

/// Draws the conclusions from crashes, and reports them to the other hosts.
pub(crate) async fn share_crashes(node: Arc<SwitchNode>) {
    let mut last_full = Instant::now();
    loop {
        let (interval, has_news) = {
            let state = node.lock();
            let known = u32::try_from(state.members.all().count()).unwrap_or(u32::MAX);
            let interval = heartbeat_interval(known) * INTERVALS_PER_REPORT;
            (interval, state.crashes.has_news)
        };
        let pause = if has_news { SETTLE_TIME / 3 } else { interval };
        // A report is due whether it was requested or the time has passed.
        let _ = timeout(pause, node.crash_report_requested.notified()).await;
        let now = Instant::now();
        let is_full = now >= last_full + interval;
        if is_full {
            last_full = now;
        }
        let (notices, targets) = {
            let mut state = node.lock();
            state.crashes.records.expire(now);
            state.crashes.loops.expire(now);
            locate_crashes(&mut state);
            state.crashes.quarantine.expire(now);
            node.update_quarantine(&mut state, now);
            let is_due = std::mem::take(&mut state.crashes.must_report) || is_full;
            let sound_since = now.checked_sub(SOUND_REPORT_DURATION);
            let notices = if is_due {
                report(&state, sound_since, now)
            } else {
                Vec::new()
            };
            let entries = state.members.all();
            let targets: Vec<_> = entries.map(|entry| entry.descriptor.peer_address).collect();
            (notices, targets)
        };
        for datagram in split_notices(notices) {
            send_crash_notices(&node, datagram, &targets);
        }
        sleep(MIN_REPORT_INTERVAL).await;
    }
}

/// What this host reports: quarantines first, then its own crashes, the latest first, and the parts that it saw to be sound
/// after `sound_since`, or all of them.
pub(crate) fn report(
    state: &SwitchState,
    sound_since: Option<Instant>,
    now: Instant,
) -> Vec<CrashNotice> {
    let crashes = &state.crashes;
    let quarantines = crashes.quarantine.iter().map(|quarantine| {
        let left = quarantine.term_end.saturating_duration_since(now);
        CrashNotice::Quarantine {
            id: quarantine.id,
            term: quarantine.term,
            left_ms: wire_ms(left),
            parts: quarantine.parts.clone(),
        }
    });
    let mut own: Vec<_> = crashes
        .records
        .iter()
        .filter_map(|crash| crash_notice(crash, now))
        .collect();
    own.reverse();
    let sound = crashes.records.own_sound(sound_since);
    let sound = sound.map(|(part, seen_at)| CrashNotice::Sound {
        part,
        seen_before_ms: wire_ms(now.saturating_duration_since(seen_at)),
    });
    quarantines.chain(own).chain(sound).collect()
}

fn crash_notice(crash: &EndpointCrash, now: Instant) -> Option<CrashNotice> {
    let mut parts = 0;
    let requests = crash.own_requests().take_while(|request| {
        parts += request.parts.len();
        parts <= MAX_NOTICE_PARTS
    });
    let requests: Vec<WireRequest> = requests
        .map(|request| WireRequest {
            parts: request.parts.clone(),
            sent_before_ms: wire_ms(now.saturating_duration_since(request.sent_at)),
        })
        .collect();
    (!requests.is_empty()).then(|| CrashNotice::Crash {
        id: crash.id(),
        seen_before_ms: wire_ms(now.saturating_duration_since(crash.seen_at())),
        requests,
    })
}

/// Distributes notices over datagrams.
fn split_notices(notices: Vec<CrashNotice>) -> Vec<Vec<CrashNotice>> {
    let mut datagrams: Vec<Vec<CrashNotice>> = Vec::new();
    // The first notice begins a datagram.
    let mut bytes = MAX_NOTICES_BYTES;
    for notice in notices {
        let Ok(encoded) = postcard::to_stdvec(&notice) else {
            continue;
        };
        bytes += encoded.len();
        if bytes > MAX_NOTICES_BYTES {
            if datagrams.len() == MAX_DATAGRAMS {
                break;
            }
            bytes = encoded.len();
            datagrams.push(Vec::new());
        }
        if let Some(last) = datagrams.last_mut() {
            last.push(notice);
        }
    }
    datagrams
}

/// Applies the notices of another host.
pub(crate) fn apply_notices(node: &SwitchNode, host: &Arc<str>, notices: Vec<CrashNotice>) {
    let now = Instant::now();
    let mut state = node.lock();
    for notice in notices {
        match notice {
            CrashNotice::Crash {
                id,
                seen_before_ms,
                requests,
            } => {
                let requests = requests.into_iter().filter_map(|request| {
                    Some(BrokenRequest {
                        parts: request.parts,
                        sent_at: before(now, request.sent_before_ms)?,
                    })
                });
                let Some(seen_at) = before(now, seen_before_ms) else {
                    continue;
                };
                // Those who saw what was sound since an earlier crash may be lost.
                if seen_at < node.started {
                    continue;
                }
                let records = &mut state.crashes.records;
                let is_new = records.record(id, Some(host), seen_at, requests.collect(), now);
                state.crashes.has_news |= is_new;
            }
            CrashNotice::Sound {
                part,
                seen_before_ms,
            } => {
                let Some(seen_at) = before(now, seen_before_ms) else {
                    continue;
                };
                state.crashes.records.apply_sound(part, seen_at);
                node.release(&mut state, part, seen_at, now);
            }
            CrashNotice::Quarantine {
                id,
                term,
                left_ms,
                parts,
            } => {
                let reported = Quarantine {
                    id,
                    term,
                    term_end: now + Duration::from_millis(left_ms.into()),
                    parts,
                };
                if state.crashes.quarantine.apply(reported.clone(), now) {
                    node.log_quarantine(&reported, Some(host), now);
                    if reported.parts.is_empty() {
                        node.release_items(&mut state);
                    }
                }
            }
        }
    }
    locate_crashes(&mut state);
    if state.crashes.has_news {
        node.crash_report_requested.notify_one();
    }
}

/// Finds out where the endpoints served that crashed by the reports of other hosts. A listing outlives its endpoint by seconds; one that
/// this host reads later than the others is found by a later call.
fn locate_crashes(state: &mut SwitchState) {
    let SwitchState {
        crashes, endpoints, ..
    } = state;
    for (id, seen_at) in crashes.records.unlocated() {
        if let Some(endpoint) = endpoints.find(|endpoint| CrashId::of(endpoint) == id) {
            let place = EndpointPlace::from(&**endpoint);
            crashes.records.set_place(id, place.clone(), seen_at);
            crashes.loops.record(place, seen_at);
        }
    }
}

/// Reports to a host that was just heard.
pub(crate) fn report_to(node: &SwitchNode, state: &SwitchState, target: SocketAddr) {
    for notices in split_notices(report(state, None, Instant::now())) {
        send_crash_notices(node, notices, &[target]);
    }
}

fn wire_ms(duration: Duration) -> u32 {
    u32::try_from(millis(duration)).unwrap_or(u32::MAX)
}

/// The time `age_ms` before `now`; `None` if that is too long ago.
fn before(now: Instant, age_ms: u32) -> Option<Instant> {
    let age = Duration::from_millis(age_ms.into());
    (age <= MAX_AGE).then(|| now.checked_sub(age)).flatten()
}
