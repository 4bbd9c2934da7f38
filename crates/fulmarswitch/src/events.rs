//! The event timeline of one process: changes of state with their logical time.

use fulmarswitch_operator::EventReply;
use fulmarswitch_records::LogicalClock;
use slog::{Logger, info};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Events that a process keeps; the oldest are dropped first.
const MAX_EVENTS: usize = 20_000;

/// Emits events as log lines and keeps the newest ones for the timeline.
#[derive(Clone)]
pub struct EventLog {
    host: Arc<str>,
    clock: LogicalClock,
    logger: Logger,
    events: Arc<Mutex<VecDeque<EventReply>>>,
}

impl EventLog {
    /// Creates an empty timeline whose events carry the name `host`.
    #[must_use]
    pub fn new(host: Arc<str>, clock: LogicalClock, logger: Logger) -> Self {
        Self {
            host,
            clock,
            logger,
            events: Arc::default(),
        }
    }

    /// Returns the logical clock of the process.
    #[must_use]
    pub fn clock(&self) -> &LogicalClock {
        &self.clock
    }

    /// Adds an event to the timeline and writes a log line for it.
    pub fn emit(&self, kind: &str, entity: &str, detail: &str) {
        info!(self.logger, "{}", kind; "entity" => entity, "detail" => detail);
        self.trace(kind, entity, detail);
    }

    /// Adds an event to the timeline without a log line; used for the steps of single requests.
    pub fn trace(&self, kind: &str, entity: &str, detail: &str) {
        let event = EventReply {
            stamp: self.clock.tick(),
            at_ms: unix_time_ms(),
            host: Arc::clone(&self.host),
            kind: kind.into(),
            entity: entity.into(),
            detail: detail.into(),
        };
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the kept events, oldest first.
    #[must_use]
    pub fn all(&self) -> Vec<EventReply> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
            .cloned()
            .collect()
    }
}

/// Returns the wall-clock time of this host in milliseconds since the Unix epoch. For display and due dates
/// only, since the clocks of hosts differ.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
