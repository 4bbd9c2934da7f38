//! Measures the decisions of the system against stand-in engines.
//!
//! The runs use the code of `fulmarswitch-decide` that the daemon runs (the gate of an endpoint, the choice
//! of an endpoint with load, trust and retries, the choice of an offer), and `MemoryEngine` of `fulmarswitch-standins`. They run on the
//! paused clock of the runtime, so time is virtual and a seed repeats exactly. They do not run the daemon,
//! its network or the log, and so say nothing of these.
//!
//! - [`policy`]: the policies that are compared, behind one trait.
//! - [`baseline`] and [`previous`]: the policies besides the one in use.
//! - [`entry`]: how an entry host chooses endpoints.
//! - [`scenario`]: load and faults of one run.
//! - [`simulation`]: engines, gates and the tasks of callers and batch items.
//! - [`stats`]: what is counted.
//! - [`experiments`]: the runs and the targets.
//! - [`results`]: files and plot.
//! - [`cost`]: processor time and memory of the decisions.

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
