//! The implementations of the subcommands; each prints its result to standard output.

pub mod config;
pub mod explain;
pub mod fleet;
pub mod job;
pub mod load;
pub mod online;
pub mod timeline;

use crate::error::CommandError;
use crate::operator::FleetClient;
use crate::options::{Command, CommandOptions};
use fulmarswitch_caller::client::CallerClient;
use serde::Serialize;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Clients shared by all commands.
pub struct CommandClients {
    /// Calls any host; the fleet tells it which addresses to use.
    pub caller: CallerClient,
    /// Calls each host at its own address.
    pub fleet: FleetClient,
}

/// Runs the command that was parsed from the command line.
///
/// # Errors
/// [`CommandError`], which names a remedy and determines the exit code.
pub async fn run(options: CommandOptions) -> Result<(), CommandError> {
    if let Command::Explain { json, id, files } = &options.command {
        return explain::print(id, files, *json);
    }
    let seeds: Vec<Arc<str>> = options
        .host
        .iter()
        .map(|host| host.to_string().into())
        .collect();
    if seeds.is_empty() {
        let reason = "no host address given; write --host IP:PORT before the command, or set \
                      FULMARSWITCH_HOST";
        return Err(CommandError::BadInput {
            reason: reason.into(),
        });
    }
    let clients = CommandClients {
        caller: CallerClient::new(seeds.clone()),
        fleet: FleetClient::new(seeds),
    };
    match options.command {
        Command::Request(options) => online::request(&clients, options).await,
        Command::Call(options) => online::call(&clients, options).await,
        Command::Outcome(name) => online::result(&clients, &name).await,
        Command::Job(command) => job::run(&clients, command).await,
        Command::Config(command) => config::run(&clients, command).await,
        Command::Status { json } => fleet::status(&clients, json).await,
        Command::Drain { name } => fleet::drain(&clients, &name).await,
        Command::Addresses => fleet::addresses(&clients).await,
        Command::Timeline { entity, json } => {
            timeline::print(&clients, entity.as_deref(), json).await
        }
        Command::Load(options) => load::run(&clients, options).await,
        // Unreachable: handled above, because it needs no host.
        Command::Explain { json, id, files } => explain::print(&id, &files, json),
    }
}

/// Prints a value as one line of JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for generated names and due times.
pub(crate) fn unix_time_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
