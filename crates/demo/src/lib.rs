//! Local fleets of separate processes, for the demo and for tests of failures.
//!
//! - [`process`]: one child process, ended with its handle.
//! - [`fleet`]: stand-ins and daemons on free ports of this machine.
//! - [`online`] and [`batch`]: callers that check every answer against what the stand-ins must say.
//! - [`report`]: what the callers saw, and the line that the demo ends with.
//!
//! Nothing here is part of a daemon.

pub mod batch;
pub mod fleet;
pub mod online;
pub mod process;
pub mod report;
