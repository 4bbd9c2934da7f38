//! Endpoints that said in a response that they leave.
//!
//! A mark concerns one start of an endpoint. It holds whatever the listings say, since they may be old or out of reach,
//! and also if the listing expires in an outage of the log and is renewed afterwards.

use crate::endpoint::ListedEndpoint;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a mark is kept after the endpoint's listing has disappeared, in which an expired listing is renewed.
const RETENTION: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct LeavingMark {
    id: Arc<str>,
    started_ms: u64,
    /// Since when this start of the endpoint is not listed; `None` while it is.
    unlisted_since: Option<Instant>,
}

impl LeavingMark {
    fn key(&self) -> (&str, u64) {
        (&self.id, self.started_ms)
    }
}

/// Marks of endpoints that leave, sorted by ID and start.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: Vec<LeavingMark>,
}

impl LeavingMarks {
    /// Marks this start of an endpoint. Returns whether it was not marked before.
    pub fn insert(&mut self, endpoint: &ListedEndpoint) -> bool {
        let Err(index) = self.search(endpoint) else {
            return false;
        };
        let mark = LeavingMark {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
            unlisted_since: None,
        };
        self.marks.insert(index, mark);
        true
    }

    /// Whether this start of an endpoint is marked.
    #[must_use]
    pub fn contains(&self, endpoint: &ListedEndpoint) -> bool {
        !self.marks.is_empty() && self.search(endpoint).is_ok()
    }

    /// Number of marks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no endpoint is marked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Removes the marks of endpoints that have not been listed for a minute. `is_listed` takes the ID and the start of an
    /// endpoint.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(&str, u64) -> bool) {
        self.marks.retain_mut(|mark| {
            if is_listed(&mark.id, mark.started_ms) {
                mark.unlisted_since = None;
                return true;
            }
            let since = *mark.unlisted_since.get_or_insert(now);
            now < since + RETENTION
        });
    }

    fn search(&self, endpoint: &ListedEndpoint) -> Result<usize, usize> {
        let key = (&*endpoint.id, endpoint.started_ms);
        self.marks.binary_search_by(|mark| mark.key().cmp(&key))
    }
}
