//! Randomised runs of a whole fleet in one process, on tokio's paused clock.
//!
//! Real hosts run over small fakes at the traits of the log, the endpoints and the peers. A seed draws a
//! workload of callers and operators and one to three faults at a time; the promises are checked while
//! the run lasts and once more after all faults have ended. The crate holds no decision of the system.
//!
//! - [`control`]: runs, freezes or kills one host.
//! - [`clients`]: a host's log, list and endpoints behind its switch.
//! - [`network`]: messages and streams between hosts, with delays, losses, repeats and partitions.
//! - [`http`]: calls to a host's HTTP entry over an in-memory connection.
//! - [`fleet`]: starts, kills, freezes and drains hosts.
//! - [`history`]: what callers, operators and endpoints saw.
//! - [`callers`] and [`operators`]: the workload.
//! - [`faults`]: the faults and their schedule.
//! - [`guarantees`]: the checks, each with a name.
//! - [`run`]: one run from its seed to its report.
//! - [`mod@reference`]: the same service as one sorted map without failures, for the differential test.
//!
//! The seed fixes the workload and the faults. The order in which the runtime polls tasks that are ready
//! at the same instant also depends on the runtime, so a seed that fails once may need some runs to fail
//! again.

pub mod callers;
pub mod clients;
pub mod control;
pub mod faults;
pub mod fleet;
pub mod guarantees;
pub mod history;
pub mod http;
pub mod network;
pub mod operators;
pub mod reference;
pub mod run;
