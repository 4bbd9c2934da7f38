//! Benchmarks the scheduling decisions of the system against simulated engines.
//!
//! The runs use the code of `fulmarswitch-decide` that the daemon uses (the admission gate of an endpoint, the
//! selection of an endpoint by load, failure suspicion and retry budget, and the selection of a batch offer),
//! with `MemoryEngine` of `fulmarswitch-standins` as the engine. They run on Tokio's paused clock, so time is
//! virtual and a run with the same seed gives the same result. The daemon, its network and the log are not
//! part of the simulation, so the results do not include their costs.
//!
//! - [`policy`]: the compared gate policies, behind one trait.
//! - [`baseline`] and [`previous`]: the gates that the current one is compared with.
//! - [`entry`]: endpoint selection on an entry host.
//! - [`scenario`]: offered load and injected faults of one run.
//! - [`simulation`]: engines, gates, and the tasks of online requests and batch items.
//! - [`stats`]: counters and histograms of one run.
//! - [`experiments`]: the set of runs and the targets they are checked against.
//! - [`results`]: result files and the plot.
//! - [`cost`]: processor time of the decisions.

pub mod baseline;
pub mod cost;
pub mod entry;
pub mod experiments;
pub mod policy;
pub mod previous;
pub mod results;
pub mod scenario;
pub mod simulation;
pub mod stats;
