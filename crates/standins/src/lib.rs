//! Stand-ins for the external systems, for tests, the demo and measurements.
//!
//! The stand-ins keep their state in memory, implement the traits through which the rest of the system uses
//! these systems, and take the time from tokio's clock, so that a test can run them in its own process with
//! paused time. The programs in `src/bin` serve the same types over HTTP.
//!
//! - [`log`]: the platform's log, with retention, a limit on the append rate, outages and lost
//!   acknowledgements.
//! - [`engine`]: a model engine with continuous batching and without priorities.
//! - [`plain`]: a plain service that counts how often each input ran.
//! - [`endpoints`]: the endpoint client for engines and plain services in the same process.
//! - [`serving`]: HTTP serving of the stand-in programs.

pub mod endpoints;
pub mod engine;
pub mod log;
pub mod plain;
pub mod serving;
