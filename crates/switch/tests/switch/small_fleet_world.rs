//! The endpoints and the log of a fleet without coordinators as plain state.

use fulmarswitch_switch::endpoint::ListedEndpoint;
use fulmarswitch_switch::limits::RateLimit;
use fulmarswitch_switch::load::RequestClass;
use fulmarswitch_switch::origins::VersionKey;
use fulmarswitch_switch::route::ServiceRoute;
use fulmarswitch_switch::schedule::ItemName;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time of a round, in which a run makes one event.
pub const ROUND: Duration = Duration::from_millis(50);

/// Output of an item so far.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    pub version: VersionKey,
    pub events: u64,
}

/// An item as the log has it.
#[derive(Clone, Debug)]
pub struct LoggedItem {
    pub name: ItemName,
    pub route: usize,
    pub due_ms: u64,
    /// Number of events of its whole output.
    pub length: u64,
    pub is_open: bool,
    pub checkpoint: Option<Output>,
}

impl Output {
    pub fn new(service: &str, version: &str, events: u64) -> Self {
        let version = VersionKey::of(service, version);
        Self { version, events }
    }
}

/// An endpoint as it is.
#[derive(Clone, Debug)]
pub struct ModelEndpoint {
    pub listing: ListedEndpoint,
    pub is_up: bool,
    /// Whether the log lists it.
    pub is_listed: bool,
    /// Round until which it answers with errors.
    pub failing_until: u32,
    pub limit: Option<(RateLimit, u32)>,
    /// Round of the last response that named a limit.
    pub limit_named: Option<u32>,
}

impl ModelEndpoint {
    pub fn new(listing: ListedEndpoint) -> Self {
        Self {
            listing,
            is_up: true,
            is_listed: false,
            failing_until: 0,
            limit: None,
            limit_named: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Queued,
    Running,
    Completed,
    Cancelled,
    /// The endpoint is lost.
    Broken,
    /// The endpoint answers with an error.
    Failed,
    /// The endpoint is full.
    NotRun,
}

/// A request or an item at an endpoint.
#[derive(Clone, Debug)]
pub struct ModelRun {
    pub host: usize,
    pub endpoint: usize,
    pub item: Option<usize>,
    pub sent_at: Instant,
    /// When it got its slot, as far as its host knows.
    pub slot_at: Option<Instant>,
    /// Events that the run goes on after.
    pub resumed: u64,
    /// Events before and since the run began.
    pub events: u64,
    pub length: u64,
    pub state: RunState,
}

impl ModelRun {
    pub fn class(&self) -> RequestClass {
        match self.item {
            Some(_) => RequestClass::Batch,
            None => RequestClass::Online,
        }
    }
}

/// What all hosts share: the log, the endpoints and what runs there.
pub struct World {
    pub round: u32,
    pub now: Instant,
    pub items: Vec<LoggedItem>,
    pub routes: Vec<ServiceRoute>,
    pub listings: Vec<(Arc<str>, Option<ListedEndpoint>)>,
    pub endpoints: Vec<ModelEndpoint>,
    pub runs: Vec<ModelRun>,
    /// Rounds in which an item was done.
    pub completed: Vec<u32>,
    /// Items that gave way: round, host and endpoint.
    pub preempted: Vec<(u32, usize, usize)>,
}

impl World {
    pub fn new(
        items: Vec<LoggedItem>,
        routes: Vec<ServiceRoute>,
        endpoints: Vec<ModelEndpoint>,
        now: Instant,
    ) -> Self {
        Self {
            round: 0,
            now,
            items,
            routes,
            listings: Vec::new(),
            endpoints,
            runs: Vec::new(),
            completed: Vec::new(),
            preempted: Vec::new(),
        }
    }

    pub fn used(&self, endpoint: usize) -> u32 {
        let runs = self.runs.iter().filter(|run| run.endpoint == endpoint);
        let used = runs.filter(|run| matches!(run.state, RunState::Running | RunState::Queued));
        u32::try_from(used.count()).unwrap()
    }

    pub fn list(&mut self, endpoint: usize) {
        let listing = self.endpoints[endpoint].listing.clone();
        self.listings.push((listing.id.clone(), Some(listing)));
        self.endpoints[endpoint].is_listed = true;
    }

    pub fn unlist(&mut self, endpoint: usize) {
        if std::mem::take(&mut self.endpoints[endpoint].is_listed) {
            let id = self.endpoints[endpoint].listing.id.clone();
            self.listings.push((id, None));
        }
    }

    pub fn lose(&mut self, endpoint: usize) {
        self.endpoints[endpoint].is_up = false;
        let runs = self.runs.iter_mut().filter(|run| run.endpoint == endpoint);
        for run in runs.filter(|run| matches!(run.state, RunState::Running | RunState::Queued)) {
            run.state = RunState::Broken;
        }
    }

    /// Sends a request to the endpoint that a host knows by this listing.
    pub fn send(
        &mut self,
        host: usize,
        listing: &ListedEndpoint,
        item: Option<usize>,
        events: u64,
        length: u64,
    ) {
        let mut known = self.endpoints.iter();
        let endpoint = known
            .position(|known| known.listing.id == listing.id)
            .unwrap();
        let at = &self.endpoints[endpoint];
        let state = if !at.is_up || at.listing.started_ms != listing.started_ms {
            RunState::Broken
        } else if at.failing_until > self.round {
            RunState::Failed
        } else if self.used(endpoint) >= at.listing.slots + 4 {
            RunState::NotRun
        } else {
            RunState::Queued
        };
        self.runs.push(ModelRun {
            host,
            endpoint,
            item,
            sent_at: self.now,
            slot_at: None,
            resumed: events,
            events,
            length,
            state,
        });
    }

    /// Lets the endpoints work for a round.
    pub fn run_endpoints(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            let mut free = self.endpoints[endpoint].listing.slots;
            for run in self.runs.iter_mut().filter(|run| run.endpoint == endpoint) {
                if run.state == RunState::Running && run.events >= run.length {
                    run.state = RunState::Completed;
                }
                if run.state == RunState::Running {
                    free -= 1;
                    run.events += 1;
                }
            }
            let runs = self.runs.iter_mut().filter(|run| run.endpoint == endpoint);
            for run in runs
                .filter(|run| run.state == RunState::Queued)
                .take(free as usize)
            {
                run.state = RunState::Running;
            }
            if let Some((_, until)) = self.endpoints[endpoint].limit
                && until <= self.round
            {
                self.endpoints[endpoint].limit = None;
            }
        }
    }
}
