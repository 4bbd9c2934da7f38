//! Endpoint listings: applies what is read from the log to the endpoint table of this host.

use crate::backend::LogEntry;
use crate::departures::EndpointDeparture;
use crate::endpoint::ListedEndpoint;
use crate::follow::FollowBatch;
use crate::node::{SwitchNode, SwitchState, millis};
use crate::starts::StartCheck;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// What a host knows of the listings, as sent in its heartbeats.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ListingReport {
    /// Offset before which the sender confirms all removals.
    confirmed_until: u64,
    /// Departures that the sender has read lately.
    departures: Vec<EndpointDeparture>,
}

/// Applies a read of the listings.
pub(crate) fn apply_listings(node: &SwitchNode, batch: FollowBatch<'_>) {
    let now = Instant::now();
    let mut state = node.lock();
    match batch {
        FollowBatch::JobsBegin | FollowBatch::Jobs(_) | FollowBatch::JobsEnd => {}
        FollowBatch::Unavailable => state.endpoints.mark_log_unavailable(),
        FollowBatch::Snapshot(page) => {
            state.endpoints.record_read(page.next, now);
            let entries = page.records.iter();
            let listed = entries.filter_map(|entry| decode_listing(node, entry));
            for id in state.endpoints.replace(listed.collect(), page.next, now) {
                record_removal(node, &mut state, &id, page.next.saturating_sub(1), now);
            }
            for endpoint in state.endpoints.all_serving(now) {
                node.hold_crash_loop(&mut state, &endpoint, now);
            }
        }
        FollowBatch::Tail(page) => {
            state.endpoints.record_read(page.next, now);
            for entry in &page.records {
                apply_listing(node, &mut state, entry, now);
            }
        }
    }
    for id in state.endpoints.expire(now) {
        info!(node.deps.logger, "endpoint gone"; "endpoint" => &*id,
            "cause" => "its listing was removed and not renewed after the outage of the log");
        state.load.remove(&id);
    }
}

impl SwitchNode {
    /// Reads the listings, at most for `limit`. Returns whether a read that began after this call has been applied. The age of the
    /// last read does not tell that nothing has changed since, also because the clock does not count the time in which a host is
    /// suspended.
    pub(crate) async fn read_listings(&self, limit: Duration) -> bool {
        self.read_listings_since(Instant::now(), limit).await
    }

    /// Waits until a read of the listings that began after `since` has been applied, at most for `limit`. Returns whether one has.
    async fn read_listings_since(&self, since: Instant, limit: Duration) -> bool {
        let mut reads = self.listings_read_at.subscribe();
        self.listings_requested.notify_one();
        let fresh = reads.wait_for(|read_at| read_at.is_some_and(|read_at| read_at >= since));
        timeout(limit, fresh)
            .await
            .is_ok_and(|waited| waited.is_ok())
    }

    /// Checks whether a request that was sent at `sent_at` has reached this start of an endpoint, as far as the listings have been
    /// read.
    pub(crate) fn check_start(&self, endpoint: &ListedEndpoint, sent_at: Instant) -> StartCheck {
        let read_at = *self.listings_read_at.borrow();
        if read_at.is_none_or(|read_at| read_at < sent_at) {
            // The state need not be locked for each event of a response.
            return StartCheck::Unknown;
        }
        self.lock().endpoints.check_start(endpoint, sent_at)
    }

    /// Whether a request that was sent at `sent_at` has reached this start of an endpoint, so that the response is of its software
    /// version. While the listings cannot be read, an endpoint at which nothing has failed since the last read counts as the
    /// same.
    pub(crate) async fn confirm_start(
        &self,
        endpoint: &ListedEndpoint,
        sent_at: Instant,
        limit: Duration,
    ) -> bool {
        if self.lock().endpoints.check_start(endpoint, sent_at) == StartCheck::Unknown {
            self.read_listings_since(sent_at, limit).await;
        }
        let read_at = *self.listings_read_at.borrow();
        let state = &mut *self.lock();
        let is_same = match state.endpoints.check_start(endpoint, sent_at) {
            StartCheck::Same => true,
            StartCheck::Other => false,
            StartCheck::Unknown => !state.load.health(&endpoint.id).failed_since(read_at),
        };
        if !is_same {
            info!(self.deps.logger, "endpoint may have started again"; "endpoint" => &*endpoint.id,
                "version" => &*endpoint.version, "started_ms" => endpoint.started_ms);
        }
        is_same
    }
}

/// Returns what this host knows of the listings, for its heartbeat.
pub(crate) fn listing_report(state: &SwitchState, now: Instant) -> ListingReport {
    let confirmed_until = state.endpoints.confirmable_until(now);
    ListingReport {
        confirmed_until,
        departures: state.departures.report(confirmed_until, now),
    }
}

/// Applies what another host knows of the listings.
pub(crate) fn apply_report(
    node: &SwitchNode,
    state: &mut SwitchState,
    host: &str,
    report: &ListingReport,
    now: Instant,
) {
    let confirmed = state
        .endpoints
        .confirm_removals(report.confirmed_until, now);
    let departed = state.endpoints.apply_departures(&report.departures, now);
    let causes = [
        (
            confirmed,
            "a host without an outage of the log confirms its removal",
        ),
        (
            departed,
            "a host that has read the listings further reports that it left",
        ),
    ];
    for (ids, cause) in causes {
        for id in ids {
            info!(node.deps.logger, "endpoint gone"; "endpoint" => &*id, "peer" => host,
                "cause" => cause);
            state.load.remove(&id);
        }
    }
}

fn apply_listing(node: &SwitchNode, state: &mut SwitchState, entry: &LogEntry, now: Instant) {
    if entry.record.value.is_empty() {
        let id = String::from_utf8_lossy(&entry.record.key);
        if state.endpoints.remove(&id, entry.offset, now) {
            record_removal(node, state, &id, entry.offset, now);
        }
        return;
    }
    let Some(endpoint) = decode_listing(node, entry) else {
        return;
    };
    let (id, version, draining) = (
        endpoint.id.clone(),
        endpoint.version.clone(),
        endpoint.draining,
    );
    let known = state.endpoints.get(&id);
    let restarted =
        known.is_some_and(|old| old.started_ms != endpoint.started_ms && endpoint.started_ms != 0);
    let is_new_start = known.is_none() || restarted;
    if state.endpoints.set(endpoint) {
        if restarted {
            // Failures of the previous process do not count against the new one.
            state.load.health(&id).record_success(now);
        }
        if is_new_start && let Some(listed) = state.endpoints.get(&id).cloned() {
            node.hold_crash_loop(state, &listed, now);
        }
        if draining {
            let departure = EndpointDeparture::new(&id, entry.offset);
            state.departures.record(departure, true, now);
        }
        info!(node.deps.logger, "endpoint listed"; "endpoint" => &*id,
            "version" => &*version, "draining" => draining, "restarted" => restarted,
            "offset" => entry.offset);
    }
}

/// Records that the listing of an endpoint was removed, and logs for how long the endpoint remains in use.
fn record_removal(node: &SwitchNode, state: &mut SwitchState, id: &str, offset: u64, now: Instant) {
    let due_at = state.endpoints.removal_due(id);
    if due_at.is_none() {
        let departure = EndpointDeparture::new(id, offset);
        state.departures.record(departure, false, now);
    }
    info!(node.deps.logger, "endpoint unlisted"; "endpoint" => id, "offset" => offset,
        "held_back_ms" => due_at.map(|due_at| millis(due_at.saturating_duration_since(now))));
}

fn decode_listing(node: &SwitchNode, entry: &LogEntry) -> Option<ListedEndpoint> {
    let record = &entry.record;
    let decoder = &node.deps.decoder;
    let listing = node.contain("decode a listing", || {
        decoder.endpoint(&record.key, &record.value)
    });
    match listing? {
        Ok(endpoint) => Some(endpoint),
        Err(cause) => {
            warn!(node.deps.logger, "listing left out";
                "key" => &*String::from_utf8_lossy(&record.key),
                "offset" => entry.offset, "cause" => %cause);
            None
        }
    }
}
