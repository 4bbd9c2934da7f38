//! Requests of this host that wait for tokens, and the asks that it has sent for them.
//!
//! Requests of one workspace share an ask: those that arrive while one is open are in the next. A token belongs to the workspace, not to
//! a request, so whichever waits gets it. One that nobody uses is kept a moment for the next request, and returned.

use super::Workspace;
use super::message::{CapAnswer, CapGrant, CapTerms, MAX_COUNT};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time after which an accountant that has not answered is taken for silent. Several round trips within a region, and the time for which a
/// host with a small share of a processor may wait for it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time for which a silent accountant is not asked.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Time from an ask within which its tokens may be used.
const GRANT_TIME: Duration = Duration::from_secs(1);
/// Time for which a late answer is waited for, to return its tokens.
const LATE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of asks of a workspace whose answers are late.
const MAX_LATE: usize = 16;
/// Time for which a token that nobody uses is kept.
const HOLD_TIME: Duration = Duration::from_millis(100);
/// Time after the last request of a workspace for which its accountant is remembered.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Decision on a request of a workspace with a cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapDecision {
    /// It may run.
    Granted,
    /// The workspace has reached its cap.
    Over {
        /// Time after which the request may return.
        wait: Duration,
    },
}

/// An ask without an answer.
#[derive(Clone, Debug)]
struct OpenAsk {
    number: u32,
    count: u16,
    host: Arc<str>,
    sent_at: Instant,
}

/// Requests of a workspace, and what was asked for them.
#[derive(Debug)]
struct WorkspaceAsks {
    workspace: Arc<str>,
    terms: CapTerms,
    waiting: VecDeque<oneshot::Sender<CapDecision>>,
    open: Option<OpenAsk>,
    /// Asks that were given up, oldest first.
    late: VecDeque<OpenAsk>,
    /// Hosts that have not answered for those who wait.
    tried: Vec<Arc<str>>,
    /// Tokens that nobody uses, and since when.
    held: u16,
    held_since: Instant,
    /// Host that has decided last.
    accountant: Option<Arc<str>>,
    used_at: Instant,
}

/// What became of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerEffect {
    /// Tokens that came too late and go back to the host that has granted them.
    pub void: u16,
    /// Whether another host than before has decided.
    pub is_new_accountant: bool,
}

/// Requests of a host that wait for tokens.
#[derive(Debug, Default)]
pub struct CapAsks {
    last: u32,
    /// Sorted by workspace.
    entries: Vec<WorkspaceAsks>,
    /// Hosts that did not answer, and until when they are not asked.
    silent: Vec<(Arc<str>, Instant)>,
}

impl CapAsks {
    /// Adds a request. `None` if a token is there that nobody uses, otherwise what receives the decision.
    pub fn begin(
        &mut self,
        workspace: &Workspace,
        terms: CapTerms,
        now: Instant,
    ) -> Option<oneshot::Receiver<CapDecision>> {
        let index = match self.search(&workspace.name) {
            Ok(index) => index,
            Err(index) => {
                let entry = WorkspaceAsks::new(workspace.name.clone(), terms, now);
                self.entries.insert(index, entry);
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.used_at = now;
        if entry.terms.version < terms.version {
            entry.terms = terms;
        }
        if entry.held > 0 {
            entry.held -= 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        entry.waiting.push_back(sender);
        Some(receiver)
    }

    /// Number of requests for which an ask is due, with the cap of the workspace.
    pub fn due(&mut self, workspace: &str) -> Option<(u16, CapTerms)> {
        let entry = self.get(workspace)?;
        // Of callers that have left, nobody waits.
        entry.waiting.retain(|sender| !sender.is_closed());
        let count = entry.waiting.len().min(MAX_COUNT.into());
        let is_due = entry.open.is_none() && count > 0;
        is_due.then(|| (u16::try_from(count).unwrap_or(MAX_COUNT), entry.terms))
    }

    /// Records that an ask is sent to a host, and returns its number.
    pub fn open(&mut self, workspace: &str, count: u16, host: Arc<str>, now: Instant) -> u32 {
        self.last = self.last.wrapping_add(1);
        let number = self.last;
        if let Some(entry) = self.get(workspace) {
            entry.open = Some(OpenAsk {
                number,
                count,
                host,
                sent_at: now,
            });
        }
        number
    }

    /// When the open ask of a workspace is given up.
    #[must_use]
    pub fn due_at(&self, workspace: &str) -> Option<Instant> {
        let index = self.search(workspace).ok()?;
        let open = self.entries[index].open.as_ref()?;
        Some(open.sent_at + ANSWER_TIMEOUT)
    }

    /// Gives up the open ask of a workspace if its answer is overdue, and returns the host that is silent.
    pub fn give_up(&mut self, workspace: &str, now: Instant) -> Option<Arc<str>> {
        let entry = self.get(workspace)?;
        let open = entry
            .open
            .take_if(|open| now >= open.sent_at + ANSWER_TIMEOUT)?;
        let host = open.host.clone();
        entry.tried.push(host.clone());
        if entry.late.len() >= MAX_LATE {
            entry.late.pop_front();
        }
        entry.late.push_back(open);
        self.silent
            .retain(|(name, until)| now < *until && *name != host);
        self.silent.push((host.clone(), now + SILENCE_TIME));
        Some(host)
    }

    /// Whether a host is passed over for a workspace: it did not answer a short time ago.
    #[must_use]
    pub fn is_passed_over(&self, workspace: &str, host: &str, now: Instant) -> bool {
        let mut silent = self.silent.iter();
        silent.any(|(name, until)| **name == *host && now < *until)
            || self.search(workspace).is_ok_and(|index| {
                let mut tried = self.entries[index].tried.iter();
                tried.any(|name| **name == *host)
            })
    }

    /// Applies the answer to an ask.
    pub fn record_answer(&mut self, answer: &CapAnswer, now: Instant) -> AnswerEffect {
        let Some(entry) = self.get(&answer.workspace) else {
            return AnswerEffect::default();
        };
        if let Some(open) = entry.open.take_if(|open| open.number == answer.number) {
            let is_new = entry.settle(&open.host, open.count, answer.grant, now);
            let host = open.host;
            self.silent.retain(|(name, _)| *name != host);
            return AnswerEffect {
                void: 0,
                is_new_accountant: is_new,
            };
        }
        let mut late = entry.late.iter();
        let Some(index) = late.position(|ask| ask.number == answer.number) else {
            return AnswerEffect::default();
        };
        let granted = answer.grant.granted;
        let sent_at = entry.late.remove(index).map_or(now, |ask| ask.sent_at);
        if now.saturating_duration_since(sent_at) > GRANT_TIME {
            return AnswerEffect {
                void: granted,
                is_new_accountant: false,
            };
        }
        entry.grant(granted, now);
        AnswerEffect::default()
    }

    /// Applies the decision of this host on `count` requests. Returns whether another one has decided before.
    pub fn settle(
        &mut self,
        workspace: &str,
        own: &Arc<str>,
        count: u16,
        grant: CapGrant,
        now: Instant,
    ) -> bool {
        let entry = self.get(workspace);
        entry.is_some_and(|entry| entry.settle(own, count, grant, now))
    }

    /// Takes back the token of a request that has not run and will not run.
    pub fn give_back(&mut self, workspace: &str, now: Instant) {
        if let Some(entry) = self.get(workspace) {
            entry.grant(1, now);
        }
    }

    /// Tokens that nobody has used in time, with the host that has decided last on the workspace. Forgets workspaces without requests.
    pub fn take_unused(&mut self, now: Instant) -> Vec<(Arc<str>, u16, Arc<str>)> {
        let mut unused = Vec::new();
        for entry in &mut self.entries {
            let age = now.saturating_duration_since(entry.held_since);
            if entry.held > 0
                && age >= HOLD_TIME
                && let Some(accountant) = &entry.accountant
            {
                unused.push((entry.workspace.clone(), entry.held, accountant.clone()));
                entry.held = 0;
            }
            let is_late = |ask: &OpenAsk| now.saturating_duration_since(ask.sent_at) < LATE_TIME;
            entry.late.retain(is_late);
        }
        self.entries.retain(|entry| {
            let is_idle = entry.waiting.is_empty() && entry.held == 0;
            !is_idle || now.saturating_duration_since(entry.used_at) < IDLE_TIME
        });
        self.silent.retain(|(_, until)| now < *until);
        unused
    }

    fn get(&mut self, workspace: &str) -> Option<&mut WorkspaceAsks> {
        let index = self.search(workspace).ok()?;
        Some(&mut self.entries[index])
    }

    fn search(&self, workspace: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.workspace).cmp(workspace))
    }
}

impl WorkspaceAsks {
    fn new(workspace: Arc<str>, terms: CapTerms, now: Instant) -> Self {
        Self {
            workspace,
            terms,
            waiting: VecDeque::new(),
            open: None,
            late: VecDeque::new(),
            tried: Vec::new(),
            held: 0,
            held_since: now,
            accountant: None,
            used_at: now,
        }
    }

    /// Gives tokens to the requests that wait, in the order of their arrival, and keeps the rest.
    fn grant(&mut self, count: u16, now: Instant) {
        for _ in 0..count {
            let is_used = self.answer_next(CapDecision::Granted);
            if !is_used {
                self.held = self.held.saturating_add(1);
                self.held_since = now;
            }
        }
    }

    /// Answers the first request that waits. Returns whether there was one.
    fn answer_next(&mut self, decision: CapDecision) -> bool {
        while let Some(sender) = self.waiting.pop_front() {
            if sender.send(decision).is_ok() {
                return true;
            }
        }
        false
    }

    /// Applies a decision on the first `count` requests. Returns whether another host has decided before.
    fn settle(&mut self, host: &Arc<str>, count: u16, grant: CapGrant, now: Instant) -> bool {
        self.grant(grant.granted, now);
        for index in 0..u32::from(count.saturating_sub(grant.granted)) {
            let wait = grant
                .wait_ms
                .saturating_add(grant.spacing_ms.saturating_mul(index));
            let wait = Duration::from_millis(wait.into());
            self.answer_next(CapDecision::Over { wait });
        }
        self.tried.clear();
        let is_new = self.accountant.as_ref().is_some_and(|known| known != host);
        self.accountant = Some(host.clone());
        is_new
    }
}
