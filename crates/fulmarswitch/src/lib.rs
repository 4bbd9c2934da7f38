//! Online and batch inference on one shared fleet.
//!
//! Every host runs one daemon with five roles. The log is the only thing that lasts and the only thing
//! that orders; each role can be taken over by any host from what the log says.
//!
//! - [`settings`]: the daemon's settings, read from TOML and checked.
//! - [`host`]: puts the roles together and answers other hosts.
//! - [`frontend`]: callers' and operators' connections.
//! - [`shards`]: which shards this host owns, and claims to them.
//! - [`keys`] and [`jobs`]: the owner of idempotency keys and of batch jobs.
//! - [`gates`]: everything that goes to an endpoint.
//! - [`balancer`]: which endpoint a request goes to, and what is learnt of endpoints.
//! - [`hold`]: copies of outcomes that wait for the log, at other hosts.
//! - [`orders`]: orders to engines to load what their services want.
//! - [`commit`]: group commit to the log.
//! - [`retention`]: state written again before the log drops it.
//! - [`silence`]: hosts that have lately given no answer.
//! - [`watcher`]: joins, heartbeats and suspicion.
//! - [`book`]: one stream of the log, replayed and written.
//! - [`fleet`]: the live hosts and the configuration in force, as seen here.
//! - [`events`] and [`metrics`]: the time line and the counters.

pub mod balancer;
pub mod book;
pub mod commit;
pub mod events;
pub mod fleet;
pub mod frontend;
pub mod gates;
pub mod hold;
pub mod host;
pub mod jobs;
pub mod keys;
pub mod metrics;
pub mod orders;
pub mod parts;
pub mod retention;
pub mod settings;
pub mod shards;
pub mod silence;
pub mod watcher;
