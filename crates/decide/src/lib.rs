//! The decisions of the system as pure state machines: events and time in, actions out.
//!
//! Nothing here does I/O, reads a clock or spawns a task. The daemon, the randomised runs and the
//! differential tests run the same code.
//!
//! - [`shard`]: replays the records of one shard; says which records are valid, who owns the shard and
//!   what state each key, job and item is in.
//! - [`retention`]: what a shard's owner writes again or forgets before the log drops it.
//! - [`hosts`]: replays joins and leaves; says which hosts are live.
//! - [`config`]: replays configuration; says which change won and what is in force.
//! - [`placement`]: rendezvous hashing of shards, groups and endpoints over hosts.
//! - [`assignment`]: which items of a job are handed out to gates.
//! - [`orders`]: when the holder of a gate orders its endpoint to load a model.
//! - [`offers`]: which job a gate pulls from.
//! - [`online_pool`]: which endpoints online requests keep to, and which are left to batch.
//! - [`gate`]: what one endpoint is given, and when: online before batch.
//! - [`balance`]: which endpoint a request goes to.
//! - [`load`]: the load of an endpoint as seen by one chooser.
//! - [`suspicion`]: which endpoints are suspected and trusted again.
//! - [`retry`]: whether a request that failed is tried again.
//! - [`detector`]: when a silent neighbour is suspected.
//! - [`neighbours`]: which hosts watch which.

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
