//! Randomised fault-injection runs of a whole fleet in one process, on tokio's paused clock.
//!
//! Real hosts run on in-memory implementations of the log, endpoint and peer traits. A seed determines a
//! workload of callers and operators and one to three concurrent faults; the guarantees are checked during
//! the run and once more after all faults have ended. The crate contains no decision logic of the system.
//!
//! - [`control`]: runs, pauses or kills one host.
//! - [`clients`]: a host's log, platform and endpoint clients, which act only while the host runs.
//! - [`network`]: messages and streams between hosts, with delays, losses, duplicates and partitions.
//! - [`http`]: calls to a host's HTTP frontend over an in-memory connection.
//! - [`fleet`]: starts, kills, pauses and drains hosts.
//! - [`history`]: what callers, operators and endpoints observed.
//! - [`callers`] and [`operators`]: the workload.
//! - [`faults`]: the faults and their schedule.
//! - [`guarantees`]: the checks, each with a name.
//! - [`run`]: one run from its seed to its report.
//! - [`mod@reference`]: a model of the service as one sorted map without failures, for the differential test.
//!
//! The seed determines the workload and the faults. The order in which tasks that are ready at the same
//! instant are polled also depends on the runtime, so a seed that failed once may need several runs to
//! fail again.

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
