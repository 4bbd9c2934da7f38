//! The `timeline` subcommand: merges the events of all hosts in causal order.

use super::{CommandClients, print_json};
use crate::error::CommandError;
use fulmarswitch_operator::EventReply;

/// Prints the events of all hosts, optionally only those whose entity contains `entity`. Hosts that do not
/// answer are named on standard error and left out.
///
/// # Errors
/// [`CommandError`] when the list of hosts cannot be read.
pub async fn print(
    clients: &CommandClients,
    entity: Option<&str>,
    json: bool,
) -> Result<(), CommandError> {
    let mut event_lists = Vec::new();
    for host in clients.fleet.hosts().await? {
        let response = clients
            .fleet
            .get::<Vec<EventReply>>(&host.address, "/v1/events");
        match response.await {
            Ok(events) => event_lists.push(events),
            Err(error) => eprintln!("events of host {} are missing: {error}", host.name),
        }
    }
    for event in merge_events(event_lists, entity) {
        if json {
            print_json(&event);
        } else {
            println!("{}", format_event(&event));
        }
    }
    Ok(())
}

/// Merges the events of several hosts so that each cause precedes its effects.
///
/// Stamps are logical timestamps: the stamp of a cause is lower than that of its effect, also across hosts.
/// Sorting by stamp therefore suffices, and wall-clock times are not compared.
///
/// ```
/// use fulmarswitch_cli::commands::timeline::merge_events;
/// assert!(merge_events(vec![vec![], vec![]], None).is_empty());
/// ```
#[must_use]
pub fn merge_events(event_lists: Vec<Vec<EventReply>>, entity: Option<&str>) -> Vec<EventReply> {
    let is_wanted = |event: &EventReply| entity.is_none_or(|text| event.entity.contains(text));
    let mut events: Vec<EventReply> = event_lists
        .into_iter()
        .flatten()
        .filter(is_wanted)
        .collect();
    events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    events
}

fn format_event(event: &EventReply) -> String {
    let seconds = event.at_ms / 1_000 % 86_400;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    let millis = event.at_ms % 1_000;
    format!(
        "{:>10} {hour:02}:{minute:02}:{second:02}.{millis:03} {:<12} {:<16} {:<32} {}",
        event.stamp, event.host, event.kind, event.entity, event.detail
    )
}
