//! Whole hosts in one process, over fakes, on the paused clock.

mod handover;
mod orders;
mod outage;
mod retention;
mod support;
