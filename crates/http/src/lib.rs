//! HTTP client and server utilities on top of hyper.
//!
//! - [`client`]: a client with a connection pool; its errors indicate whether the request may have
//!   been sent.
//! - [`server`]: serves a tower service with graceful shutdown and an optional connection limit.
//! - [`upload`]: a stream on which an answer that ends while its request is still being written is not whole.
//! - [`lines`]: reads a body line by line, and encodes and decodes server-sent events.
//!
//! The crate does not depend on the format of the messages.

pub mod client;
pub mod lines;
pub mod server;
pub mod upload;

pub use client::{HttpClient, HttpError, HttpReply, is_http_status};
pub use server::{HttpBody, HttpRequest, HttpResponse, full_body, json_response, stream_body};
pub use upload::UploadStream;
