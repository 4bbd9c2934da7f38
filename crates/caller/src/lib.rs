//! The callers' interface: wire types, and a client that finds its way around lost hosts.
//!
//! The calls are HTTP with JSON and server-sent events; docs/API.md lists them with a curl line each.
//!
//! - [`wire`]: bodies of the calls and answers.
//! - [`client`]: asks any host which addresses to use, connects there, and resends under the same key.

pub mod client;
pub mod wire;

pub use client::{CallerClient, CallerError};
