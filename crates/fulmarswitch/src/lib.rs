//! Online and batch inference on one shared fleet.
//!
//! Every host runs one daemon. The platform's log is the only durable state and the only source of order:
//! any host can take over a role of another by replaying the log.
//!
//! - [`settings`]: the daemon's settings, read from TOML and validated.
//! - [`context`]: the platform clients, settings and identity that all roles share.
//! - [`host`]: starts and stops the roles and dispatches messages of other hosts.
//! - [`frontend`]: the HTTP interface for callers and operators.
//! - [`shards`]: shard ownership and the claims that establish it.
//! - [`keys`] and [`jobs`]: the owner of idempotency keys and of batch jobs.
//! - [`gates`]: admission of requests and items to endpoints; all calls to an endpoint go through its gate.
//! - [`balancer`]: selects the endpoint of each request and tracks the load and health of endpoints.
//! - [`backup`]: copies, on other hosts, of outcomes that are not in the log yet.
//! - [`model_loader`]: orders that make engines load the models of their services.
//! - [`commit`]: group commit to the log.
//! - [`retention`]: copies state forward before the log's retention drops it.
//! - [`unresponsive`]: hosts that recently failed to answer.
//! - [`membership`]: joins, heartbeats and failure suspicions.
//! - [`replica`]: a local replica of one log stream, and appends to the stream.
//! - [`fleet`]: this host's view of the live hosts and the configuration in force.
//! - [`events`] and [`metrics`]: the event timeline and the counters.

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
