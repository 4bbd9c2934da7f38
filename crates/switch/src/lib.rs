//! Serving where an outside store holds all that lasts.
//!
//! Every host runs the same [`node::SwitchNode`]. It forwards online requests to endpoints that it picks
//! by load, and runs the items of batch jobs in the capacity that online requests leave. Jobs and their
//! results are records on a log; each host replays the log into the same [`ledger::JobLedger`], so that no
//! owner has to be asked and no lock is held. Hosts tell each other their load by datagrams.
//!
//! The traits in [`backend`] are the borders: what speaks to a concrete store or endpoint implements them.
//! The modules [`route`], [`endpoint`], [`load`], [`affinity`], [`ledger`], [`schedule`], [`members`] and [`events`] are
//! pure: input and time in, decisions out.

pub mod affinity;
pub mod backend;
pub mod batch;
pub mod endpoint;
pub mod events;
mod follow;
pub mod gossip;
pub mod health;
pub mod jobs;
pub mod ledger;
pub mod load;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod node;
pub mod online;
pub mod overload;
pub mod progress;
pub mod record;
pub mod route;
pub mod schedule;
