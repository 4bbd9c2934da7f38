//! Origins of streams: which software version of a service began a stream.
//!
//! Endpoints of several software versions may serve side by side, and what two versions write does not fit together. A
//! stream may therefore only go on at the version that began it. A caller takes a broken stream up at any host, often
//! because the host that began it is lost, so each origin is copied to a few other hosts when the first event arrives.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time for which an origin is kept: several times the interval at which that of a running stream is recorded.
pub(crate) const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of origins in a table. It bounds their memory.
const MAX_ORIGINS: usize = 16_384;

/// Hash of the ID of the request that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that this request began.
    #[must_use]
    pub fn of(request: &str) -> Self {
        Self(xxh3_64(request.as_bytes()))
    }

    /// Hash that distributes origins over hosts.
    #[must_use]
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Hash of a service and the software version of its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionKey(u32);

impl VersionKey {
    /// Stands for a version that cannot be told. No endpoint has it.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the key of a version of a service.
    ///
    /// ```
    /// use fulmarswitch_switch::origins::VersionKey;
    /// assert_eq!(VersionKey::of("service", "2"), VersionKey::of("service", "2"));
    /// assert_ne!(VersionKey::of("service", "2"), VersionKey::of("other", "2"));
    /// ```
    #[must_use]
    pub fn of(service: &str, version: &str) -> Self {
        let hash = xxh3_64_with_seed(version.as_bytes(), xxh3_64(service.as_bytes()));
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

impl From<u32> for VersionKey {
    fn from(value: u32) -> Self {
        Self(value)
    }
}

impl From<VersionKey> for u32 {
    fn from(key: VersionKey) -> Self {
        key.0
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Version of the endpoint that sent its first event.
    pub version: VersionKey,
}

/// Origins that this host knows, sorted by stream.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    entries: Vec<(StreamOrigin, Instant)>,
}

impl OriginTable {
    /// Records an origin.
    pub fn record(&mut self, origin: StreamOrigin, now: Instant) {
        if let Ok(index) = self.search(origin.stream) {
            self.entries[index] = (origin, now);
            return;
        }
        if self.entries.len() >= MAX_ORIGINS {
            self.make_room(now);
        }
        let index = self.search(origin.stream).unwrap_or_else(|index| index);
        self.entries.insert(index, (origin, now));
    }

    /// Returns the version that began a stream, if this host knows it.
    ///
    /// ```
    /// use fulmarswitch_switch::origins::{OriginTable, StreamKey, StreamOrigin, VersionKey};
    /// use tokio::time::Instant;
    ///
    /// let (stream, version) = (StreamKey::of("request"), VersionKey::of("service", "2"));
    /// let mut origins = OriginTable::default();
    /// origins.record(StreamOrigin { stream, version }, Instant::now());
    /// assert_eq!(origins.version_of(stream), Some(version));
    /// assert_eq!(origins.version_of(StreamKey::of("other")), None);
    /// ```
    #[must_use]
    pub fn version_of(&self, stream: StreamKey) -> Option<VersionKey> {
        let index = self.search(stream).ok()?;
        Some(self.entries[index].0.version)
    }

    /// Number of origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the origins that are kept no longer.
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|(_, recorded_at)| now.saturating_duration_since(*recorded_at) < RETENTION);
    }

    /// Removes expired origins, and the oldest half if there are none.
    fn make_room(&mut self, now: Instant) {
        self.expire(now);
        if self.entries.len() >= MAX_ORIGINS {
            let mut times: Vec<Instant> = self.entries.iter().map(|(_, time)| *time).collect();
            let (_, median, _) = times.select_nth_unstable(MAX_ORIGINS / 2);
            let median = *median;
            self.entries
                .retain(|(_, recorded_at)| *recorded_at > median);
        }
    }

    fn search(&self, stream: StreamKey) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&stream, |(origin, _)| origin.stream)
    }
}
