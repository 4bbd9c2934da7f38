//! Real processes, seen from the caller's and the operator's side.

mod calls;
mod failures;
mod jobs;
mod limits;
mod records;
mod support;
