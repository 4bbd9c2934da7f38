//! Tests against daemons and stand-ins in separate processes, through the APIs of callers and operators.

mod calls;
mod demo;
mod failures;
mod jobs;
mod limits;
mod records;
mod support;
