//! The switch: its decisions alone, and hosts on a log and endpoints in memory.

mod fleet;
mod jobs;
mod load;
mod logging;
mod online;
mod pure;
mod support;
