//! Small stand-ins for the outside systems, for tests, the demo and measurements.
//!
//! Each stand-in is a type that works inside one process, with tokio's clock, and implements the trait
//! that the rest of the system sees. The programs in `src/bin` put the same types behind HTTP.
//!
//! - [`log`]: the platform's log, with retention, an append rate, outages and lost acknowledgements.
//! - [`engine`]: a model engine that batches continuously and knows no priorities.
//! - [`plain`]: a plain service that counts how often each input ran.
//! - [`endpoints`]: engines and plain services by address, behind the endpoint trait.
//! - [`serving`]: serving and fault orders of the programs.

pub mod endpoints;
pub mod engine;
pub mod log;
pub mod plain;
pub mod serving;
