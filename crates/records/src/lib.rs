//! Domain types and the records that the system keeps on the platform's log.
//!
//! The crate says what a request, a job, a configuration record and a log record are, and how each is
//! written to bytes and read back. It makes no decisions and does no I/O.
//!
//! - [`clock`]: the logical clock that orders events over all processes.
//! - [`ids`]: small index newtypes and identities.
//! - [`request`]: what callers submit and what they get back.
//! - [`record`]: the domain form of a log record.
//! - [`wire`]: the encoded form, with schema versions; unknown newer versions are kept as they are.
//! - [`config`]: configuration records that operators publish.
//! - [`index`]: a sorted vector with binary search, used as the map of the whole project.

pub mod clock;
pub mod config;
pub mod ids;
pub mod index;
pub mod record;
pub mod request;
pub mod wire;

pub use clock::LogicalClock;
pub use config::{ConfigBody, ConfigChange};
pub use ids::{Epoch, GroupIndex, HostIdentity, Offset, RecordId, RecordPlace, ShardIndex};
pub use index::SortedIndex;
pub use record::{LogRecord, RecordBody};
pub use request::{ItemOutcome, JobHeader, OnlineRequest};
pub use wire::{CodecError, decode_frame, encode_frame};
