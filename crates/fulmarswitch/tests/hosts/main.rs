//! Tests of whole hosts in one process, over in-memory fakes, on tokio's paused clock.

mod handover;
mod orders;
mod outage;
mod reroute;
mod retention;
mod support;
