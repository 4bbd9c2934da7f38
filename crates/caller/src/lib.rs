//! The callers' API: wire types, and a client with failover between hosts.
//!
//! The API is JSON over HTTP, with server-sent events for streamed answers; docs/API.md lists the calls, each
//! with a curl command.
//!
//! - [`wire`]: request and response bodies.
//! - [`client`]: discovers the addresses of hosts, and resends failed requests under the same key.

pub mod client;
pub mod wire;

pub use client::{CallerClient, CallerError};
