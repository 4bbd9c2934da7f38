//! The decisions of the system as pure state machines: events and the time go in, actions come out.
//!
//! This crate does no I/O, reads no clock and spawns no tasks. The daemon, the randomised runs and
//! the differential tests all run the same code.
//!
//! - [`shard`]: replays the records of one shard and derives which records are valid, which host
//!   owns the shard, and the state of each key, job and item.
//! - [`retention`]: plans what the owner of a shard copies or forgets before the log drops the
//!   original records.
//! - [`hosts`]: replays joins and leaves and derives which hosts are live.
//! - [`config`]: replays configuration changes and derives which are in force.
//! - [`placement`]: assigns shards, groups and endpoints to hosts by rendezvous hashing.
//! - [`assignment`]: tracks which items of a job are assigned to gates.
//! - [`orders`]: decides when the host that holds a gate orders the endpoint to load a model.
//! - [`offers`]: chooses the job that a gate pulls items from.
//! - [`online_pool`]: selects the endpoints that serve online requests; the others are left to
//!   batch work.
//! - [`gate`]: admission control and scheduling at one endpoint, with online requests before batch.
//! - [`balance`]: chooses the endpoint for a request.
//! - [`load`]: estimates the load of an endpoint at one load balancer.
//! - [`suspicion`]: tracks which endpoints are suspected of being lost or slow.
//! - [`retry`]: decides whether a failed request is retried, within a retry budget.
//! - [`detector`]: failure detectors for hosts, driven by heartbeats.
//! - [`neighbours`]: chooses which hosts watch which.

pub mod assignment;
pub mod balance;
pub mod config;
pub mod detector;
pub mod gate;
pub mod hosts;
pub mod load;
pub mod neighbours;
pub mod offers;
pub mod online_pool;
pub mod orders;
pub mod placement;
pub mod retention;
pub mod retry;
pub mod shard;
pub mod suspicion;
