//! Accounts of workspaces: what a host grants when others ask it, or when it is alone.
//!
//! An account is a token bucket that may have several keepers: the accountant, the hosts next in rank, and hosts with another view of the
//! membership. Each keeper tells the others how many tokens it has granted, and takes what others tell from its own level.

use super::bucket::{BucketLimits, CapBounds, TokenBucket};
use super::message::{BucketLevel, CapGrant, CapTerms};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of accounts. It bounds their memory.
const MAX_ACCOUNTS: usize = 16_384;
/// Maximum number of other keepers that an account remembers.
const MAX_KEEPERS: usize = 8;
/// Time after which the other keepers are told of tokens that they do not know of, however few.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a step beyond which this host stood still, and others may have granted in its place.
const PAUSE: Duration = Duration::from_millis(500);
/// Upper bound of the time after which a refused request may return.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// What other keepers have granted.
#[derive(Clone, Debug)]
struct KnownKeeper {
    host: Arc<str>,
    account: u64,
    granted: u32,
}

/// Account of a workspace.
#[derive(Clone, Debug)]
struct CapAccount {
    workspace: Arc<str>,
    terms: CapTerms,
    bucket: TokenBucket,
    /// Part of all known hosts for which this host decides.
    share: f64,
    /// Number of this account at this host.
    number: u64,
    /// Tokens that this host has granted, less those returned. Wraps around.
    granted: u32,
    /// The same as the other keepers were last told.
    told: u32,
    told_at: Instant,
    told_to: Vec<Arc<str>>,
    keepers: Vec<KnownKeeper>,
    /// Time of return that was told last.
    promised_until: Option<Instant>,
    /// When a request was last refused, until the cap is no longer reached.
    refused_at: Option<Instant>,
    used_at: Instant,
}

/// What is asked of an account.
#[derive(Clone, Copy, Debug)]
pub struct TokenNeed<'a> {
    /// Name of the workspace.
    pub workspace: &'a Arc<str>,
    /// Its cap, as the host that asks knows it.
    pub terms: CapTerms,
    /// Number of requests.
    pub count: u16,
    /// Part of all known hosts for which this host decides.
    pub share: f64,
    /// Whether other keepers tell this host what they grant.
    pub is_told: bool,
    /// Random number between 0 and 1.
    pub draw: f64,
}

/// Change of what a host believes of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapChange {
    /// It has reached its cap.
    Reached,
    /// It has not reached its cap for a window.
    Left,
}

/// The accounts of a host.
#[derive(Clone, Debug)]
pub struct AccountTable {
    bounds: CapBounds,
    /// Sorted by workspace.
    accounts: Vec<CapAccount>,
    last_number: u64,
    /// Since when this host would have been told of grants by others.
    known_since: Instant,
    stepped_at: Instant,
}

impl AccountTable {
    /// Creates a table. `first_number` is higher than all numbers of accounts in earlier tables of this host.
    #[must_use]
    pub fn new(bounds: CapBounds, first_number: u64, now: Instant) -> Self {
        Self {
            bounds,
            accounts: Vec::new(),
            last_number: first_number,
            known_since: now,
            stepped_at: now,
        }
    }

    /// Number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Records that this host runs. If it stood still since the last step, its levels count no more than those of an unknown past, and
    /// `true` is returned.
    pub fn step(&mut self, now: Instant) -> bool {
        let stood_still = now.saturating_duration_since(self.stepped_at) > PAUSE;
        self.stepped_at = now;
        if stood_still {
            self.forget_past(now);
        }
        stood_still
    }

    /// Limits all levels to those of an unknown past: other hosts may have granted without telling this one.
    pub fn forget_past(&mut self, now: Instant) {
        self.known_since = now;
        for account in &mut self.accounts {
            let limits = account.limits(&self.bounds);
            account.bucket.lower(limits.begin, &limits, now);
        }
    }

    /// Grants tokens to requests in the order in which they are asked for.
    pub fn take(&mut self, need: &TokenNeed<'_>, now: Instant) -> (CapGrant, Option<CapChange>) {
        self.step(now);
        let bounds = self.bounds;
        let since = if need.is_told { self.known_since } else { now };
        let time = now.saturating_duration_since(since);
        let Some(index) = self.open(need.workspace, need.terms, now, |limits| {
            limits.level_after(time)
        }) else {
            return (refuse_all(), None);
        };
        let account = &mut self.accounts[index];
        account.used_at = now;
        account.set_share(need.share, &bounds, now);
        let limits = account.limits(&bounds);
        let granted = account.bucket.take(need.count, &limits, need.draw, now);
        account.granted = account.granted.wrapping_add(granted.into());
        if granted == need.count {
            let grant = CapGrant {
                granted,
                wait_ms: 0,
                spacing_ms: 0,
            };
            return (grant, None);
        }
        let change = account.refused_at.is_none().then_some(CapChange::Reached);
        account.refused_at = Some(now);
        let (wait, spacing) = account.promise(need.count - granted, &limits, now);
        let grant = CapGrant {
            granted,
            wait_ms: whole_millis(wait),
            spacing_ms: whole_millis(spacing),
        };
        (grant, change)
    }

    /// Takes tokens back that were granted and not used.
    pub fn give_back(&mut self, workspace: &str, count: u16, now: Instant) {
        if let Ok(index) = self.search(workspace) {
            let account = &mut self.accounts[index];
            let limits = account.limits(&self.bounds);
            account.bucket.add(count.into(), &limits, now);
            account.granted = account.granted.wrapping_sub(count.into());
        }
    }

    /// Applies what another keeper tells of a bucket. `share` is the part of all known hosts that this host hears.
    pub fn apply_level(&mut self, host: &Arc<str>, told: &BucketLevel, share: f64, now: Instant) {
        let level = f64::from(told.level);
        let Some(index) = self.open(&told.workspace, told.terms, now, |_| level) else {
            return;
        };
        let account = &mut self.accounts[index];
        account.set_share(share, &self.bounds, now);
        let limits = account.limits(&self.bounds);
        account.used_at = now;
        let mut keepers = account.keepers.iter_mut();
        if let Some(known) = keepers.find(|known| known.host == *host)
            && known.account == told.account
        {
            // The count may have gone down, as tokens were returned.
            let change = told.granted.wrapping_sub(known.granted).cast_signed();
            account.bucket.add(-f64::from(change), &limits, now);
            known.granted = told.granted;
            return;
        }
        account.bucket.lower(level, &limits, now);
        account.keepers.retain(|known| known.host != *host);
        if account.keepers.len() >= MAX_KEEPERS {
            account.keepers.remove(0);
        }
        account.keepers.push(KnownKeeper {
            host: host.clone(),
            account: told.account,
            granted: told.granted,
        });
    }

    /// Workspaces for which this host has granted tokens.
    #[must_use]
    pub fn granting(&self) -> Vec<Arc<str>> {
        let accounts = self.accounts.iter();
        let granting = accounts.filter(|account| account.granted != 0 || account.told != 0);
        granting.map(|account| account.workspace.clone()).collect()
    }

    /// Whether other keepers have to know at once how much this host has granted.
    #[must_use]
    pub fn is_urgent(&self, workspace: &str) -> bool {
        self.search(workspace).is_ok_and(|index| {
            let account = &self.accounts[index];
            let limits = account.limits(&self.bounds);
            f64::from(account.untold()) > limits.untold
        })
    }

    /// The level to tell to `targets`, if one of them has to know by now.
    pub fn take_level(
        &mut self,
        workspace: &str,
        targets: &[Arc<str>],
        now: Instant,
    ) -> Option<BucketLevel> {
        let is_urgent = self.is_urgent(workspace);
        let index = self.search(workspace).ok()?;
        let account = &mut self.accounts[index];
        let age = now.saturating_duration_since(account.told_at);
        let has_news = account.granted != account.told && age >= TELL_INTERVAL;
        let has_new_targets = targets.iter().any(|host| !account.told_to.contains(host));
        let limits = account.limits(&self.bounds);
        let is_due = is_urgent || has_news || has_new_targets;
        is_due.then(|| account.tell(targets, &limits, now))
    }

    /// Drops the accounts whose buckets are full after a window without a request. Returns the workspaces that do not reach their cap any
    /// more.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        let bounds = self.bounds;
        let mut left = Vec::new();
        for account in &mut self.accounts {
            let refused_at = account.refused_at;
            if refused_at.is_some_and(|at| now.saturating_duration_since(at) > bounds.window) {
                account.refused_at = None;
                left.push(account.workspace.clone());
            }
        }
        self.accounts.retain_mut(|account| {
            let limits = account.limits(&bounds);
            let silence = now.saturating_duration_since(account.used_at);
            silence <= bounds.window || account.bucket.fill(&limits, now) < limits.depth
        });
        left
    }

    /// Finds or opens an account and brings its terms up to date. A new one has the level that `begin` gives. `None` if there are too many.
    fn open(
        &mut self,
        workspace: &Arc<str>,
        terms: CapTerms,
        now: Instant,
        begin: impl Fn(&BucketLimits) -> f64,
    ) -> Option<usize> {
        let index = match self.search(workspace) {
            Ok(index) => index,
            Err(_) if self.accounts.len() >= MAX_ACCOUNTS => return None,
            Err(index) => {
                let limits = BucketLimits::new(terms.cap(), &self.bounds, 1.0);
                self.last_number += 1;
                let account = CapAccount {
                    workspace: workspace.clone(),
                    terms,
                    bucket: TokenBucket::new(begin(&limits).min(limits.depth), now),
                    share: 1.0,
                    number: self.last_number,
                    granted: 0,
                    told: 0,
                    told_at: now,
                    told_to: Vec::new(),
                    keepers: Vec::new(),
                    promised_until: None,
                    refused_at: None,
                    used_at: now,
                };
                self.accounts.insert(index, account);
                index
            }
        };
        let account = &mut self.accounts[index];
        if account.terms.version < terms.version {
            account.terms = terms;
        }
        Some(index)
    }

    fn search(&self, workspace: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| (*account.workspace).cmp(workspace))
    }
}

impl CapAccount {
    fn limits(&self, bounds: &CapBounds) -> BucketLimits {
        BucketLimits::new(self.terms.cap(), bounds, self.share)
    }

    /// Fills the bucket for the part of the hosts so far, and goes on with that of `share`.
    fn set_share(&mut self, share: f64, bounds: &CapBounds, now: Instant) {
        let limits = self.limits(bounds);
        self.bucket.fill(&limits, now);
        self.share = share;
    }

    /// Times of return of `count` requests that are refused, after all those told before: that of the first, and the time between two.
    fn promise(&mut self, count: u16, limits: &BucketLimits, now: Instant) -> (Duration, Duration) {
        let latest = now + MAX_WAIT;
        let spacing = Duration::try_from_secs_f64(1.0 / limits.per_second);
        let spacing = spacing.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let wait = self.bucket.wait(limits, now).unwrap_or(MAX_WAIT);
        let after_others = self.promised_until.map(|until| until + spacing);
        let first = (now + wait.min(MAX_WAIT)).max(after_others.unwrap_or(now));
        let first = first.min(latest);
        let last = first + spacing * u32::from(count.saturating_sub(1));
        self.promised_until = Some(last.min(latest));
        (first.saturating_duration_since(now), spacing)
    }

    /// Tokens that the other keepers do not know of.
    fn untold(&self) -> u32 {
        let change = self.granted.wrapping_sub(self.told).cast_signed();
        change.max(0).cast_unsigned()
    }

    fn tell(&mut self, targets: &[Arc<str>], limits: &BucketLimits, now: Instant) -> BucketLevel {
        self.told = self.granted;
        self.told_at = now;
        self.told_to = targets.to_vec();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the level needs no more digits"
        )]
        let level = self.bucket.fill(limits, now) as f32;
        BucketLevel {
            workspace: self.workspace.clone(),
            terms: self.terms,
            level,
            account: self.number,
            granted: self.granted,
        }
    }
}

fn refuse_all() -> CapGrant {
    CapGrant {
        granted: 0,
        wait_ms: whole_millis(MAX_WAIT),
        spacing_ms: 0,
    }
}

/// Converts a time to whole milliseconds, rounded up.
fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
