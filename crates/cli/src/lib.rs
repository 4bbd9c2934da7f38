//! The command line `fulmarswitch` of callers and operators.
//!
//! - [`options`]: what can be asked for, with its help.
//! - [`commands`]: one module a group of commands; each prints its answer to standard output.
//! - [`operator`]: a client that talks to one host by its address.
//! - [`error`]: what can go wrong, and the exit code of each.
//!
//! Answers go to standard output, progress and errors to standard error. The crate holds no state and
//! decides nothing: every command is one or a few calls of docs/API.md.

pub mod commands;
pub mod error;
pub mod operator;
pub mod options;
