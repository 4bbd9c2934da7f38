//! Slots that a coordinator has granted and that are not in the load of their hosts yet.
//!
//! A host reports its load a moment after it has sent a request. Until then the grant stands for the request, so that two asks in a row are
//! not granted the same slot.

use crate::load::RequestClass;
use crate::report::EndpointKey;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a grant no longer counts, as its host was lost or its report was: a few times that of a report.
const GRANT_EXPIRY: Duration = Duration::from_millis(250);
/// Maximum number of grants. It bounds their memory.
const MAX_GRANTS: usize = 4096;

/// A grant that is not in the load of its host yet.
#[derive(Clone, Debug)]
pub struct SlotGrant {
    /// Name of the host.
    pub host: Arc<str>,
    /// Number of the ask at the host.
    pub number: u32,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Class of the request.
    pub class: RequestClass,
    /// When it was granted.
    pub granted_at: Instant,
}

/// The grants of a coordinator that are not in the load of their hosts yet, oldest first.
#[derive(Clone, Debug, Default)]
pub struct SlotGrants(Vec<SlotGrant>);

impl SlotGrants {
    /// Adds a grant. Returns whether there is room for it.
    pub fn add(&mut self, grant: SlotGrant) -> bool {
        let has_room = self.0.len() < MAX_GRANTS;
        if has_room {
            self.0.push(grant);
        }
        has_room
    }

    /// The grant that answered an ask, if it still stands; datagrams may arrive twice.
    #[must_use]
    pub fn find(&self, host: &str, number: u32) -> Option<&SlotGrant> {
        let mut grants = self.0.iter();
        grants.find(|grant| &*grant.host == host && grant.number == number)
    }

    /// Removes the grants that are part of the load of `host`, which holds its asks up to `resolved`. Returns them.
    pub fn resolve(&mut self, host: &str, resolved: u32) -> Vec<SlotGrant> {
        self.take(|grant| &*grant.host == host && !is_later(grant.number, resolved))
    }

    /// Removes the grants of which nothing was heard for long, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<SlotGrant> {
        self.take(|grant| now.saturating_duration_since(grant.granted_at) >= GRANT_EXPIRY)
    }

    fn take(&mut self, mut is_taken: impl FnMut(&SlotGrant) -> bool) -> Vec<SlotGrant> {
        self.0.extract_if(.., |grant| is_taken(grant)).collect()
    }
}

/// Whether the ask `number` was made after `other`. Numbers wrap around.
#[must_use]
pub fn is_later(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
