//! Runs local fleets of separate processes, for the demo and for failure tests.
//!
//! - [`process`]: a child process that is killed when its handle is dropped.
//! - [`fleet`]: stand-ins and daemons on free local ports.
//! - [`online`] and [`batch`]: load generators that check every answer against the deterministic answers of the
//!   stand-ins.
//! - [`report`]: the counters of a run, and the last line that the demo prints.
//!
//! The daemon does not depend on this crate.

pub mod batch;
pub mod fleet;
pub mod online;
pub mod process;
pub mod report;
