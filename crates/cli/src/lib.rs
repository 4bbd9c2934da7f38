//! The command-line client `fulmarswitch` for callers and operators.
//!
//! - [`options`]: definitions of the subcommands and flags, with their help texts.
//! - [`commands`]: the implementations, one module per group of subcommands.
//! - [`operator`]: a client that calls individual hosts by address.
//! - [`error`]: the errors of a command and their exit codes.
//!
//! Results go to standard output, progress and errors to standard error. The crate keeps no state and makes
//! no decisions of its own: every command is one or a few calls of the HTTP API in docs/API.md.

pub mod commands;
pub mod error;
pub mod operator;
pub mod options;
