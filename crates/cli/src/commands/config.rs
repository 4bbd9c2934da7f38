//! The `config` subcommands: publish, read and delete configuration records.

use super::{CommandClients, print_json};
use crate::error::CommandError;
use crate::options::ConfigCommand;
use fulmarswitch_caller::client::CallerError;
use fulmarswitch_operator::{PublishCall, RecordReply};
use hyper::Method;
use serde_json::Value;
use std::io::Read;

/// Runs one `config` subcommand.
///
/// # Errors
/// [`CommandError`], among them a conflict when another operator published a version first.
pub async fn run(clients: &CommandClients, command: ConfigCommand) -> Result<(), CommandError> {
    match command {
        ConfigCommand::Put {
            base,
            schema,
            name,
            body,
        } => {
            let body = read_body(&body)?;
            publish(clients, &name, base, schema, body).await
        }
        ConfigCommand::Get { name } => {
            print_json(&read(clients, &name).await?);
            Ok(())
        }
        ConfigCommand::List => {
            let records: Vec<RecordReply> = clients.caller.get("/v1/config").await?;
            for record in records {
                let RecordReply {
                    name,
                    version,
                    schema,
                    body,
                    ..
                } = record;
                println!("{name} version {version} schema {schema} {body}");
            }
            Ok(())
        }
        ConfigCommand::Delete { base, name } => {
            let base = match base {
                Some(base) => base,
                None => read(clients, &name).await?.version,
            };
            publish(clients, &name, Some(base), 1, Value::Null).await
        }
        ConfigCommand::AppliedVersions { name } => applied_versions(clients, &name).await,
    }
}

async fn publish(
    clients: &CommandClients,
    name: &str,
    base: Option<u64>,
    schema: u16,
    body: Value,
) -> Result<(), CommandError> {
    let path = config_path(name)?;
    let base_version = match base {
        Some(base) => base,
        None => current_version(clients, name).await?,
    };
    let call = PublishCall {
        base_version,
        schema,
        body,
    };
    let published = clients
        .caller
        .send_json::<RecordReply, _>(Method::PUT, &path, &call)
        .await;
    match published {
        Ok(record) => {
            println!("{name} is at version {}", record.version);
            Ok(())
        }
        Err(error) => Err(error.into()),
    }
}

async fn read(clients: &CommandClients, name: &str) -> Result<RecordReply, CommandError> {
    Ok(clients.caller.get(&config_path(name)?).await?)
}

/// Returns the version of the record in force, or 0 if there is none.
async fn current_version(clients: &CommandClients, name: &str) -> Result<u64, CommandError> {
    let records: Vec<RecordReply> = clients.caller.get("/v1/config").await?;
    let record = records.iter().find(|record| &*record.name == name);
    Ok(record.map_or(0, |record| record.version))
}

async fn applied_versions(clients: &CommandClients, name: &str) -> Result<(), CommandError> {
    let path = config_path(name)?;
    for host in clients.fleet.hosts().await? {
        let applied = match clients.fleet.get::<RecordReply>(&host.address, &path).await {
            Ok(record) => format!("version {} schema {}", record.version, record.schema),
            Err(CallerError::Refused { .. }) => "not in force".into(),
            Err(error) => format!("unknown: {error}"),
        };
        println!("{:<16} {applied}", host.name);
    }
    Ok(())
}

fn read_body(text: &str) -> Result<Value, CommandError> {
    let mut text = text.to_owned();
    if text == "-" {
        text.clear();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|source| CommandError::Unreadable {
                path: "-".into(),
                source,
            })?;
    }
    serde_json::from_str(&text).map_err(|error| CommandError::BadInput {
        reason: format!("the body is not JSON ({error}); docs/API.md lists the fields").into(),
    })
}

fn config_path(name: &str) -> Result<String, CommandError> {
    let name_parts = name.split_once('/');
    if name_parts.is_some_and(|(kind, rest)| !kind.is_empty() && !rest.is_empty()) {
        return Ok(format!("/v1/config/{name}"));
    }
    let reason = format!(
        "{name} is not a record name; use service/NAME, endpoint/NAME, workspace/NAME or model/NAME"
    );
    Err(CommandError::BadInput {
        reason: reason.into(),
    })
}
