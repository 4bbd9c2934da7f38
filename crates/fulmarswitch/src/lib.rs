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
//! - [`backup`]: copies of outcomes that wait for the log, at other hosts.
//! - [`model_loader`]: orders to engines to load what their services want.
//! - [`commit`]: group commit to the log.
//! - [`retention`]: state written again before the log drops it.
//! - [`unresponsive`]: hosts that have lately given no answer.
//! - [`membership`]: joins, heartbeats and suspicion.
//! - [`replica`]: one stream of the log, replayed and written.
//! - [`fleet`]: the live hosts and the configuration in force, as seen here.
//! - [`events`] and [`metrics`]: the time line and the counters.

pub mod backup;
pub mod balancer;
pub mod commit;
pub mod context;
pub mod events;
pub mod fleet;
pub mod frontend;
pub mod gates;
pub mod host;
pub mod jobs;
pub mod keys;
pub mod membership;
pub mod metrics;
pub mod model_loader;
pub mod replica;
pub mod retention;
pub mod settings;
pub mod shards;
pub mod unresponsive;
