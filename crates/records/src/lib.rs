//! Domain types, the records in the platform's log, and their encoding.
//!
//! The crate defines requests, jobs, configuration records and log records, and how each is encoded and
//! decoded. It makes no decisions and does no I/O.
//!
//! - [`clock`]: the logical clock that orders events across processes.
//! - [`ids`]: integer newtypes and identities.
//! - [`request`]: online requests, job headers and outcomes.
//! - [`record`]: log records in decoded form.
//! - [`wire`]: the encoding of log records, with schema versions; bodies of unknown kinds or versions are
//!   preserved.
//! - [`config`]: configuration records that operators publish.
//! - [`index`]: an ordered map in sorted blocks, used as the map type in all crates.

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
