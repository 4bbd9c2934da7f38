//! What callers, operators and endpoints saw during a run.

use fulmarswitch::context::lock;
use fulmarswitch_caller::wire::{OutcomeReply, RanReply};
use fulmarswitch_records::{HostIdentity, OnlineRequest, SortedIndex};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// One call as it went out to an endpoint.
#[derive(Clone, Debug)]
pub struct CallStart {
    /// When, counted from the start of the run.
    pub started_at: Duration,
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// The input.
    pub input: Arc<str>,
    /// The host that made the call.
    pub host: HostIdentity,
}

/// How one submission of a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With an outcome.
    Done {
        /// The outcome.
        outcome: OutcomeReply,
        /// Whether it stands on the log.
        recorded: bool,
        /// Text put together from the parts.
        streamed: String,
    },
    /// With an error.
    Refused {
        /// Whether the request ran.
        ran: RanReply,
    },
    /// Without an answer.
    Lost,
    /// The host took no connection.
    NotReached,
}

/// One online request and all that its caller heard of it.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// The request.
    pub request: OnlineRequest,
    /// How each submission ended.
    pub attempts: Vec<AttemptResult>,
    /// Outcomes that readers were given later.
    pub reads: Vec<OutcomeReply>,
}

impl ObservedRequest {
    /// Returns the outcomes that were given as standing on the log and are final.
    pub fn recorded(&self) -> impl Iterator<Item = &OutcomeReply> {
        let given = self.attempts.iter().filter_map(|attempt| match attempt {
            AttemptResult::Done {
                outcome,
                recorded: true,
                ..
            } => Some(outcome),
            _ => None,
        });
        given.chain(&self.reads).filter(|outcome| is_final(outcome))
    }
}

/// Tells whether an outcome can never be followed by another one.
#[must_use]
pub fn is_final(outcome: &OutcomeReply) -> bool {
    !matches!(outcome, OutcomeReply::Open | OutcomeReply::NotRun { .. })
}

/// One batch job and all that its caller heard of it.
#[derive(Clone, Debug)]
pub struct ObservedJob {
    /// Workspace and job, as in a path.
    pub name: Arc<str>,
    /// Inputs of the items.
    pub inputs: Vec<Arc<str>>,
    /// Most tokens to generate for an item.
    pub max_tokens: u32,
    /// False when an item may be run at most once.
    pub idempotent: bool,
    /// Whether the submission was acknowledged.
    pub accepted: bool,
    /// Whether the caller asked to cancel it, acknowledged or not.
    pub cancel_requested: bool,
    /// When cancelling was first acknowledged, counted from the start of the run.
    pub cancelled_at: Option<Duration>,
    /// Results that readers were given, by item.
    pub reads: SortedIndex<u32, OutcomeReply>,
}

/// One accepted change of configuration.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Name of the record.
    pub name: Arc<str>,
    /// Its version after the change.
    pub version: u64,
    /// Its body.
    pub body: serde_json::Value,
    /// When it was acknowledged, counted from the start of the run.
    pub acknowledged_at: Duration,
}

/// One acknowledgement to a caller.
#[derive(Clone, Debug)]
pub struct ObservedAck {
    /// The host that the caller was connected to.
    pub host: Arc<str>,
    /// Workspace and key, or workspace and job.
    pub name: Arc<str>,
}

/// One change of whether an endpoint is leaving.
#[derive(Clone, Debug)]
pub struct LeavingPeriod {
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// When the change was acknowledged.
    pub from: Duration,
    /// When the endpoint was asked to come back; none if it never was.
    pub until: Option<Duration>,
}

/// A time during which a host could not hear of changes.
#[derive(Clone, Debug)]
pub struct LagPeriod {
    /// The host; `*` for all of them.
    pub host: Arc<str>,
    /// Its beginning.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
}

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the promise.
    pub guarantee: &'static str,
    /// The entity and what was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.detail)
    }
}

/// All notes of a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Calls to endpoints, in order of time.
    pub starts: Vec<CallStart>,
    /// Online requests by key.
    pub keys: SortedIndex<Arc<str>, ObservedRequest>,
    /// Jobs by name.
    pub jobs: SortedIndex<Arc<str>, ObservedJob>,
    /// Accepted changes of configuration.
    pub changes: Vec<AcceptedChange>,
    /// Endpoints that were told to leave.
    pub leaving: Vec<LeavingPeriod>,
    /// Times during which hosts could not hear.
    pub lag_periods: Vec<LagPeriod>,
    /// Promises found broken so far.
    pub violations: Vec<Violation>,
}

/// The notes of a run, shared by all its tasks.
#[derive(Debug)]
pub struct TrialHistory {
    started: Instant,
    observations: Mutex<Observations>,
    acknowledged: watch::Sender<Option<ObservedAck>>,
    started_calls: watch::Sender<Option<CallStart>>,
}

impl Default for TrialHistory {
    fn default() -> Self {
        Self::new()
    }
}

impl TrialHistory {
    /// Creates an empty ledger, from whose creation time counts.
    ///
    /// ```
    /// use fulmarswitch_trials::history::TrialHistory;
    /// assert!(TrialHistory::new().observations().violations.is_empty());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            observations: Mutex::default(),
            acknowledged: watch::Sender::new(None),
            started_calls: watch::Sender::new(None),
        }
    }

    /// Notes that a caller was given an acknowledgement.
    pub fn record_ack(&self, host: &Arc<str>, name: &str) {
        self.acknowledged.send_replace(Some(ObservedAck {
            host: Arc::clone(host),
            name: name.into(),
        }));
    }

    /// Returns the next acknowledgement.
    pub async fn next_ack(&self) -> Option<ObservedAck> {
        let mut acknowledged = self.acknowledged.subscribe();
        acknowledged.changed().await.ok()?;
        let ack = acknowledged.borrow();
        ack.clone()
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the notes. The lock is never held over an await.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.observations)
    }

    /// Notes a call to an endpoint.
    pub fn record_start(&self, start: CallStart) {
        self.observations().starts.push(start.clone());
        self.started_calls.send_replace(Some(start));
    }

    /// Returns the next call to an endpoint.
    pub async fn next_start(&self) -> Option<CallStart> {
        let mut started = self.started_calls.subscribe();
        started.changed().await.ok()?;
        let start = started.borrow();
        start.clone()
    }

    /// Notes a promise that did not hold.
    pub fn record_violation(&self, guarantee: &'static str, detail: String) {
        self.observations()
            .violations
            .push(Violation { guarantee, detail });
    }

    /// Tells whether a host could not hear at some moment from `from` to `until`.
    #[must_use]
    pub fn may_lag(&self, host: &str, from: Duration, until: Duration) -> bool {
        let covers = |period: &LagPeriod| {
            (*period.host == *host || &*period.host == "*")
                && period.from <= until
                && from <= period.until
        };
        self.observations().lag_periods.iter().any(covers)
    }

    /// Notes that a host cannot hear for a time.
    pub fn record_lag(&self, host: &Arc<str>, time: Duration) {
        let from = self.now();
        self.observations().lag_periods.push(LagPeriod {
            host: Arc::clone(host),
            from,
            until: from + time,
        });
    }
}
