//! Index newtypes and identities.

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
    /// Number of a shard of idempotency keys and jobs.
    ShardIndex,
    u16
);
integer_newtype!(
    /// Number of a group of shards, which share one stream of the log.
    GroupIndex,
    u16
);
integer_newtype!(
    /// Ownership epoch of a shard; grows by one with each valid claim.
    Epoch,
    u64
);
integer_newtype!(
    /// Position of an entry in one stream of the log.
    Offset,
    u64
);

impl Epoch {
    /// Returns the epoch that the next valid claim carries.
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

/// One run of the daemon on one host.
///
/// A restarted host has the same name and a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostIdentity {
    /// Name of the host, unique in the fleet.
    pub name: Arc<str>,
    /// Start number of the process on this host.
    pub incarnation: u64,
}

impl fmt::Display for HostIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.incarnation)
    }
}

/// Identity of a record, by which a writer finds its own append again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The run of the daemon that wrote the record.
    pub writer: HostIdentity,
    /// Number of the record within that run.
    pub sequence: u64,
}

/// Place of a record in a stream: the entry's offset and the record's position inside the entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordPlace {
    /// Offset of the entry.
    pub offset: Offset,
    /// Position in the entry.
    pub position: u32,
}

impl fmt::Display for RecordPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.offset, self.position)
    }
}
