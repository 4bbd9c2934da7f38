//! Real processes, seen from the caller's and the operator's side.

mod calls;
mod failures;
mod jobs;
mod records;
mod support;
