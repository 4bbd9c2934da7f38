//! The subcommands on hosts: `status`, `drain` and `addresses`.

use super::{CommandClients, print_json};
use crate::error::CommandError;
use fulmarswitch_caller::wire::AddressReply;
use fulmarswitch_operator::StatusReply;
use std::sync::Arc;

/// Prints all hosts known to the first host that answers, each with the status that it reports itself.
///
/// # Errors
/// [`CommandError`] when no host answers.
pub async fn status(clients: &CommandClients, json: bool) -> Result<(), CommandError> {
    let observed = clients.fleet.status().await?;
    let mut reported: Vec<Option<StatusReply>> = Vec::new();
    for host in &observed.hosts {
        // A host listed as down is shown without a status, even if something answers at its address.
        let response = clients.fleet.get(&host.address, "/v1/status").await;
        reported.push(response.ok().filter(|_| &*host.phase != "down"));
    }
    if json {
        let reported: Vec<StatusReply> = reported.into_iter().flatten().collect();
        print_json(&serde_json::json!({ "seen": observed, "hosts": reported }));
        return Ok(());
    }
    println!(
        "{:<16} {:<14} {:<22} {:<8} {:>6} {:>6} {:>7} log",
        "host", "domain", "address", "phase", "shards", "gates", "config"
    );
    for (host, reported) in observed.hosts.iter().zip(&reported) {
        let name = format!("{}/{}", host.name, host.incarnation);
        let (shards, gates, config, log) = match reported {
            Some(reported) => (
                reported.owned_shards.to_string(),
                reported.gates.to_string(),
                reported.config_read.to_string(),
                if reported.log_reached {
                    "reached"
                } else {
                    "out of reach"
                },
            ),
            None => ("-".into(), "-".into(), "-".into(), "no answer"),
        };
        println!(
            "{name:<16} {:<14} {:<22} {:<8} {shards:>6} {gates:>6} {config:>7} {log}",
            host.failure_domain, host.address, host.phase
        );
    }
    Ok(())
}

/// Starts draining a host.
///
/// # Errors
/// [`CommandError`] when the host is unknown, down or does not answer.
pub async fn drain(clients: &CommandClients, name: &str) -> Result<(), CommandError> {
    let hosts = clients.fleet.hosts().await?;
    let Some(host) = hosts.iter().find(|host| &*host.name == name) else {
        let reason = format!("host {name} is not up; `fulmarswitch status` lists the hosts");
        return Err(CommandError::BadInput {
            reason: reason.into(),
        });
    };
    let _: bool = clients
        .fleet
        .post(&host.address, "/v1/drain", &serde_json::json!({}))
        .await?;
    println!("{name} is draining; it stops once nothing is in progress on it");
    Ok(())
}

/// Prints the host addresses that callers are told to use.
///
/// # Errors
/// [`CommandError`] when no host answers.
pub async fn addresses(clients: &CommandClients) -> Result<(), CommandError> {
    let reply: AddressReply = clients.caller.get("/v1/addresses").await?;
    let addresses: Vec<&str> = reply.addresses.iter().map(Arc::as_ref).collect();
    println!("{}", addresses.join("\n"));
    eprintln!("valid for {} ms", reply.ttl_ms);
    Ok(())
}
