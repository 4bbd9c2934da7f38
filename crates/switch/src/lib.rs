//! A request switch whose durable state is kept in an external log.
//!
//! Every host runs the same [`node::SwitchNode`]. It forwards online requests to endpoints chosen by load, and runs
//! the items of batch jobs in the capacity that online requests leave. Jobs and their results are records in a log;
//! each host replays the log into the same [`ledger::JobLedger`], so a job needs neither owner nor lock.
//! Hosts report their load to each other in UDP heartbeats.
//!
//! The traits in [`backend`] are the interfaces to external systems: adapters for a concrete log or endpoint protocol
//! implement them. The modules [`route`], [`endpoint`], [`departures`], [`leaving`], [`starts`], [`load`], [`coordinator`], [`wait`], [`affinity`],
//! [`ledger`], [`frame_set`], [`schedule`], [`members`], [`origins`], [`versions::history`], [`crashes`], [`crash_loops`], [`quarantine`], [`workspace`], [`trial`], [`version_holds`], [`idle_items`], [`item_status`], [`stop`], [`reach`], [`byte_budget`], [`connection_bound`] and [`events`] do no I/O: they take inputs and the current time and return decisions.

pub mod affinity;
mod answer_progress;
pub mod backend;
pub mod batch;
pub mod byte_budget;
mod calls;
mod configuration;
pub mod connection_bound;
pub mod coordinator;
mod crash_exchange;
mod crash_log;
pub mod crash_loops;
mod crash_watch;
pub mod crashes;
pub mod departures;
pub mod endpoint;
pub mod events;
mod expiry;
pub mod explain;
mod follow;
pub mod frame_set;
pub mod gossip;
pub mod health;
pub mod idle_items;
pub mod in_flight;
pub mod item_status;
mod job_snapshot;
pub mod jobs;
pub mod leaving;
pub mod ledger;
pub mod limits;
mod listings;
pub mod load;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod node;
pub mod online;
mod origin_exchange;
pub mod origins;
pub mod overload;
pub mod panics;
pub mod peer_load;
pub mod progress;
pub mod prompt;
pub mod quarantine;
pub mod reach;
mod reach_watch;
pub mod record;
pub mod report;
pub mod route;
pub mod schedule;
pub mod speed;
pub mod starts;
pub mod stop;
pub mod trial;
mod trial_exchange;
pub mod version_holds;
pub mod versions;
pub mod wait;
pub mod workspace;
