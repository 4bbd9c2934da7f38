//! Tests of the switch: its decision logic, and hosts on an in-memory log and in-memory endpoints.

mod body_ends;
mod coordinator;
mod crash_model;
mod crashing_fleet;
mod crashing_parts;
mod deadly_requests;
mod departures;
mod fleet;
mod job_routes;
mod jobs;
mod leaving;
mod ledger_entries;
mod limits;
mod load;
mod logging;
mod online;
mod overload;
mod partitions;
mod planned_stop;
mod pure;
mod quarantine;
mod quarantine_trials;
mod shutdown;
mod support;
mod version_history;
mod versions;
