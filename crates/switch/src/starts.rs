//! Which start of an endpoint a request has reached.
//!
//! An endpoint may start again under its ID at another software version. A request names the ID alone, so that one which is sent by an old
//! listing reaches the new start. A start lists itself before it accepts requests: a request that was sent before a read of the listings
//! began which has the old start has reached that one.

use crate::endpoint::ListedEndpoint;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a restart is remembered. Longer than requests and runs of items last.
const RETENTION: Duration = Duration::from_mins(2);
/// Maximum number of restarts that are remembered.
const MAX_RESTARTS: usize = 1024;

/// Whether a request has reached the start of an endpoint to which it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCheck {
    /// It has.
    Same,
    /// Another start of the endpoint may have got it.
    Other,
    /// The listings have not been read since.
    Unknown,
}

#[derive(Clone, Debug)]
struct EndpointRestart {
    id: Arc<str>,
    /// Start that is over.
    started_ms: u64,
    /// Begin of the last read of the listings that had it; `None` if there was none.
    last_listed: Option<Instant>,
    noticed_at: Instant,
}

/// Restarts that this host has noticed lately.
#[derive(Clone, Debug, Default)]
pub struct EndpointStarts {
    restarts: Vec<EndpointRestart>,
    /// Begin of the last complete read of the listings.
    read_at: Option<Instant>,
}

impl EndpointStarts {
    /// Records that a complete read of the listings began at `read_at`.
    pub fn record_read(&mut self, read_at: Option<Instant>) {
        self.read_at = read_at;
    }

    /// Records that the listing of a start was replaced by that of another one.
    pub fn record_restart(&mut self, old: &ListedEndpoint, now: Instant) {
        self.restarts
            .retain(|restart| now < restart.noticed_at + RETENTION);
        if self.restarts.len() >= MAX_RESTARTS {
            self.restarts.remove(0);
        }
        self.restarts.push(EndpointRestart {
            id: old.id.clone(),
            started_ms: old.started_ms,
            last_listed: self.read_at,
            noticed_at: now,
        });
    }

    /// Checks a request that was sent to a start of an endpoint at `sent_at`.
    #[must_use]
    pub fn check(&self, endpoint: &ListedEndpoint, sent_at: Instant) -> StartCheck {
        let is_restart = |restart: &&EndpointRestart| {
            restart.id == endpoint.id && restart.started_ms == endpoint.started_ms
        };
        if let Some(restart) = self.restarts.iter().rev().find(is_restart) {
            return match restart.last_listed {
                Some(last_listed) if sent_at < last_listed => StartCheck::Same,
                _ => StartCheck::Other,
            };
        }
        match self.read_at {
            Some(read_at) if sent_at <= read_at => StartCheck::Same,
            _ => StartCheck::Unknown,
        }
    }
}
