//! Integer newtypes and identities.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

integer_newtype!(
    /// Number of a shard. Idempotency keys and jobs are partitioned into shards.
    ShardIndex,
    u16
);
integer_newtype!(
    /// Number of a group of shards. The shards of a group share one stream of the log.
    GroupIndex,
    u16
);
integer_newtype!(
    /// Ownership epoch of a shard. Each valid claim increments it by one.
    Epoch,
    u64
);
integer_newtype!(
    /// Offset of an entry in one stream of the log.
    Offset,
    u64
);

impl Epoch {
    /// Returns the epoch of the next valid claim.
    ///
    /// ```
    /// use fulmarswitch_records::Epoch;
    /// assert_eq!(Epoch(4).next(), Epoch(5));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Offset {
    /// Returns the offset of the entry after this one.
    ///
    /// ```
    /// use fulmarswitch_records::Offset;
    /// assert_eq!(Offset(9).next(), Offset(10));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identity of one incarnation of a host, that is, of one daemon process.
///
/// A restarted host has the same name and a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostIdentity {
    /// Name of the host, unique among all hosts.
    pub name: Arc<str>,
    /// Incarnation number, higher with each start of the daemon on this host.
    pub incarnation: u64,
}

impl fmt::Display for HostIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.incarnation)
    }
}

/// Identity of a record. A writer uses it to recognize its own appends when it reads the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The host incarnation that wrote the record.
    pub writer: HostIdentity,
    /// Sequence number of the record within that incarnation.
    pub sequence: u64,
}

/// Place of a record in a stream. The order of places is the order of the records in the stream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordPlace {
    /// Offset of the entry that contains the record.
    pub offset: Offset,
    /// Zero-based position of the record within the entry.
    pub position: u32,
}

impl fmt::Display for RecordPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.offset, self.position)
    }
}
