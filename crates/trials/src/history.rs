//! What callers, operators and endpoints observed during a run.

use fulmarswitch::context::lock;
use fulmarswitch_caller::wire::{OutcomeReply, RanReply};
use fulmarswitch_records::{HostIdentity, OnlineRequest, SortedIndex};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The start of one call to an endpoint.
#[derive(Clone, Debug)]
pub struct CallStart {
    /// Time since the start of the run.
    pub started_at: Duration,
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// Input of the call.
    pub input: Arc<str>,
    /// The host that made the call.
    pub host: HostIdentity,
}

/// Result of one submission of a request, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The submission ended with an outcome.
    Done {
        /// Outcome that the caller received.
        outcome: OutcomeReply,
        /// Whether the outcome is recorded in the log.
        recorded: bool,
        /// Concatenation of the streamed text.
        streamed: String,
    },
    /// The submission ended with an error reply.
    Refused {
        /// What the error says about whether the request ran.
        ran: RanReply,
    },
    /// The response was lost or incomplete.
    Lost,
    /// The host accepted no connection.
    NotReached,
}

/// One online request and what its caller and its readers observed.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// Request as submitted.
    pub request: OnlineRequest,
    /// Result of each submission, in order.
    pub attempts: Vec<AttemptResult>,
    /// Outcomes that later reads returned.
    pub reads: Vec<OutcomeReply>,
}

impl ObservedRequest {
    /// Returns the final outcomes that were reported as recorded in the log.
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

/// Returns whether no other outcome may follow this one.
#[must_use]
pub fn is_final(outcome: &OutcomeReply) -> bool {
    !matches!(outcome, OutcomeReply::Open | OutcomeReply::NotRun { .. })
}

/// One batch job and what its caller and its readers observed.
#[derive(Clone, Debug)]
pub struct ObservedJob {
    /// Job id, as in a path.
    pub name: Arc<str>,
    /// Inputs of the items.
    pub inputs: Vec<Arc<str>>,
    /// Maximum number of tokens to generate for an item.
    pub max_tokens: u32,
    /// False if an item must run at most once.
    pub idempotent: bool,
    /// Whether the submission was acknowledged.
    pub accepted: bool,
    /// Whether the caller asked to cancel the job, acknowledged or not.
    pub cancel_requested: bool,
    /// Time since the start of the run at which the cancellation was first acknowledged; `None` if it was
    /// not.
    pub cancelled_at: Option<Duration>,
    /// Last result that a read returned, by item index.
    pub reads: SortedIndex<u32, OutcomeReply>,
}

/// One accepted configuration change.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Name of the record.
    pub name: Arc<str>,
    /// Version of the record after the change.
    pub version: u64,
    /// Body of the record.
    pub body: serde_json::Value,
    /// Time since the start of the run at which the change was acknowledged.
    pub acknowledged_at: Duration,
}

/// One acknowledgement to a caller.
#[derive(Clone, Debug)]
pub struct ObservedAck {
    /// Name of the host that the caller was connected to.
    pub host: Arc<str>,
    /// Workspace and key, or workspace and job, separated by a slash.
    pub name: Arc<str>,
}

/// Period in which an endpoint is marked as leaving.
#[derive(Clone, Debug)]
pub struct LeavingPeriod {
    /// Address of the endpoint.
    pub address: Arc<str>,
    /// Time since the start of the run at which the change was acknowledged.
    pub from: Duration,
    /// Time since the start of the run at which the withdrawal of the mark was first requested;
    /// `None` if it was not.
    pub until: Option<Duration>,
}

/// Period in which a fault may keep a host from reading changes in time.
#[derive(Clone, Debug)]
pub struct LagPeriod {
    /// Name of the host; `*` for all hosts.
    pub host: Arc<str>,
    /// Start of the period, since the start of the run.
    pub from: Duration,
    /// End of the period, since the start of the run.
    pub until: Duration,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Affected entity and what was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.detail)
    }
}

/// All observations of a run.
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
    /// Periods in which endpoints were marked as leaving.
    pub leaving: Vec<LeavingPeriod>,
    /// Periods in which hosts may have lagged.
    pub lag_periods: Vec<LagPeriod>,
    /// Violations found so far.
    pub violations: Vec<Violation>,
}

/// The observations of a run, shared by all its tasks.
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
    /// Creates an empty history; the time of the run counts from here.
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

    /// Records that a caller received an acknowledgement.
    pub fn record_ack(&self, host: &Arc<str>, name: &str) {
        self.acknowledged.send_replace(Some(ObservedAck {
            host: Arc::clone(host),
            name: name.into(),
        }));
    }

    /// Waits for the next acknowledgement.
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

    /// Locks the observations. The lock must not be held across an await.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.observations)
    }

    /// Records the start of a call to an endpoint.
    pub fn record_start(&self, start: CallStart) {
        self.observations().starts.push(start.clone());
        self.started_calls.send_replace(Some(start));
    }

    /// Waits for the start of the next call to an endpoint.
    pub async fn next_start(&self) -> Option<CallStart> {
        let mut started = self.started_calls.subscribe();
        started.changed().await.ok()?;
        let start = started.borrow();
        start.clone()
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, guarantee: &'static str, detail: String) {
        self.observations()
            .violations
            .push(Violation { guarantee, detail });
    }

    /// Returns whether the host may have lagged at some moment between `from` and `until`.
    #[must_use]
    pub fn may_lag(&self, host: &str, from: Duration, until: Duration) -> bool {
        let covers = |period: &LagPeriod| {
            (*period.host == *host || &*period.host == "*")
                && period.from <= until
                && from <= period.until
        };
        self.observations().lag_periods.iter().any(covers)
    }

    /// Records that the host may lag from now on for `time`; `*` stands for all hosts.
    pub fn record_lag(&self, host: &Arc<str>, time: Duration) {
        let from = self.now();
        self.observations().lag_periods.push(LagPeriod {
            host: Arc::clone(host),
            from,
            until: from + time,
        });
    }
}
