//! Small helpers over hyper, for servers and clients of this project.
//!
//! - [`client`]: one pooled client; its errors say whether a byte may have gone out.
//! - [`server`]: accepts connections for a tower service until it is told to stop, then lets the requests
//!   in progress finish.
//! - [`lines`]: reads a body line by line, and writes and reads server-sent events.
//!
//! The crate knows nothing of the messages themselves.

pub mod client;
pub mod lines;
pub mod server;

pub use client::{HttpClient, HttpError, HttpReply};
pub use server::{HttpBody, HttpRequest, HttpResponse, full_body, json_response, stream_body};
