//! Budget of the bytes that callers and other hosts make a host hold.
//!
//! Every head and body that arrives, and every answer that is kept for its reader, has an account. Bytes are reserved as they
//! arrive. Where the budget runs short, the account that makes the least progress for its bytes is ended, and the others are
//! read no further until bytes are free or their patience ends.

use std::time::Duration;
use tokio::time::Instant;

/// Bytes that a host may hold for others if the memory of its process is not limited.
const DEFAULT_BYTES: usize = 64 << 20;
/// Share of the memory of a process that it may hold for others. The rest is for records, connections and the allocator.
const MEMORY_SHARE: usize = 4;
/// Size up to which an account may use a part of the budget that is kept from larger ones, as most requests are small.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Time over which the progress of a body is measured.
const PROGRESS_WINDOW: Duration = Duration::from_secs(1);
/// Minimum fraction of the bytes held that arrives in a window. Bodies that make less progress are ended where bytes run short.
const MIN_PROGRESS: f64 = 0.1;
/// Time for which a body waits for bytes before it is refused.
pub const MAX_WAIT: Duration = Duration::from_secs(2);
/// `Retry-After` of a request that was refused for its bytes: bodies that stall are ended in this time.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time without a refusal after which a shortage is over.
pub const SHORTAGE_END: Duration = Duration::from_secs(5);

/// Bytes that a host may hold for others, by the memory of its process.
///
/// ```
/// use fulmarswitch_switch::byte_budget::budget_bytes;
/// assert_eq!(budget_bytes(Some(120_000_000)), 30_000_000);
/// ```
#[must_use]
pub fn budget_bytes(memory: Option<usize>) -> usize {
    memory.map_or(DEFAULT_BYTES, |memory| memory / MEMORY_SHARE)
}

/// For whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteHolder {
    /// Heads and bodies of callers.
    Caller,
    /// Heads and bodies of requests that other hosts pass on.
    Host,
    /// Answers.
    Answer,
}

/// ID of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountId(u64);

/// Decision on a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// The bytes are not reserved. An account that is named has to be ended.
    Short {
        /// The account that makes the least progress for its bytes, if one makes too little.
        evicted: Option<AccountId>,
    },
}

/// What an account does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AccountState {
    Arriving,
    /// Arriving, but not read, since bytes are short.
    Waiting,
    /// Complete, or about to be ended.
    Settled,
}

#[derive(Clone, Debug)]
struct ByteAccount {
    id: AccountId,
    holder: ByteHolder,
    state: AccountState,
    /// Reserved bytes.
    held: usize,
    window_began: Instant,
    /// Bytes that arrived since.
    window_bytes: usize,
    /// When the last of them arrived.
    arrived_at: Instant,
    /// Bytes that arrived in the window before.
    last_rate: Option<f64>,
}

impl ByteAccount {
    fn begin_window(&mut self, now: Instant) {
        self.last_rate = None;
        self.window_began = now;
        self.window_bytes = 0;
        self.arrived_at = now;
    }

    fn record(&mut self, bytes: usize, now: Instant) {
        if let Some(rate) = self.window_rate(now) {
            self.begin_window(now);
            self.last_rate = Some(rate);
        }
        self.window_bytes += bytes;
        self.arrived_at = now;
    }

    /// Bytes that have arrived in the time of a window, on average since the current one began; `None` if that is shorter ago.
    fn window_rate(&self, now: Instant) -> Option<f64> {
        let elapsed = now.saturating_duration_since(self.window_began);
        #[expect(clippy::cast_precision_loss, reason = "a size in memory")]
        let rate = self.window_bytes as f64 / elapsed.div_duration_f64(PROGRESS_WINDOW);
        (elapsed >= PROGRESS_WINDOW).then_some(rate)
    }

    /// Fraction of the bytes held that arrives in the time of a window; `None` if that cannot be told yet.
    fn progress(&self, now: Instant) -> Option<f64> {
        if self.state != AccountState::Arriving {
            return None;
        }
        if now.saturating_duration_since(self.arrived_at) >= PROGRESS_WINDOW {
            return Some(0.0);
        }
        let rate = self.window_rate(now).or(self.last_rate)?;
        #[expect(clippy::cast_precision_loss, reason = "a size in memory")]
        let held = self.held.max(1) as f64;
        Some(rate / held)
    }
}

/// All accounts, sorted by ID, and the bytes that they hold together.
///
/// ```
/// use fulmarswitch_switch::byte_budget::{ByteBudget, ByteHolder, Reservation};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let mut budget = ByteBudget::new(1 << 20);
/// let account = budget.open(ByteHolder::Caller, now);
/// assert_eq!(budget.reserve(account, 1500, now), Reservation::Granted);
/// budget.close(account);
/// assert_eq!(budget.held(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    held: usize,
    next_id: u64,
    accounts: Vec<ByteAccount>,
}

impl ByteBudget {
    /// A budget of which nothing is used.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            next_id: 0,
            accounts: Vec::new(),
        }
    }

    /// Maximum of bytes that all accounts hold together.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that all accounts hold together.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Opens an account without bytes.
    pub fn open(&mut self, holder: ByteHolder, now: Instant) -> AccountId {
        let id = AccountId(self.next_id);
        self.next_id += 1;
        self.accounts.push(ByteAccount {
            id,
            holder,
            state: AccountState::Arriving,
            held: 0,
            window_began: now,
            window_bytes: 0,
            arrived_at: now,
            last_rate: None,
        });
        id
    }

    /// Closes an account and frees its bytes.
    pub fn close(&mut self, id: AccountId) {
        if let Ok(index) = self.find(id) {
            let account = self.accounts.remove(index);
            self.held -= account.held;
        }
    }

    /// Reserves bytes for an account. An account that is the only one gets them in any case, so that a single request is served
    /// whatever the budget is.
    pub fn reserve(&mut self, id: AccountId, bytes: usize, now: Instant) -> Reservation {
        let Ok(index) = self.find(id) else {
            return Reservation::Short { evicted: None };
        };
        let account = &self.accounts[index];
        let is_alone = self.held == account.held;
        let limit = self.limit_of(account.holder, account.held + bytes);
        if is_alone || self.held + bytes <= limit {
            self.held += bytes;
            let account = &mut self.accounts[index];
            account.held += bytes;
            if account.state == AccountState::Waiting {
                account.state = AccountState::Arriving;
                account.begin_window(now);
            }
            return Reservation::Granted;
        }
        let account = &mut self.accounts[index];
        if account.state == AccountState::Arriving {
            account.state = AccountState::Waiting;
        }
        let evicted = self.least_progress(now).map(|index| {
            self.accounts[index].state = AccountState::Settled;
            self.accounts[index].id
        });
        Reservation::Short { evicted }
    }

    /// Frees bytes of an account.
    pub fn release(&mut self, id: AccountId, bytes: usize) {
        if let Ok(index) = self.find(id) {
            let account = &mut self.accounts[index];
            let released = bytes.min(account.held);
            account.held -= released;
            self.held -= released;
        }
    }

    /// Records that bytes arrived for an account.
    pub fn record(&mut self, id: AccountId, bytes: usize, now: Instant) {
        if let Ok(index) = self.find(id) {
            self.accounts[index].record(bytes, now);
        }
    }

    /// Records that all bytes of an account have arrived. It is kept until it is closed.
    pub fn settle(&mut self, id: AccountId) {
        if let Ok(index) = self.find(id) {
            self.accounts[index].state = AccountState::Settled;
        }
    }

    /// Parts of the budget are kept from large bodies of callers, from all of them, and from requests of other hosts, so that
    /// what is smaller or further on can go on.
    fn limit_of(&self, holder: ByteHolder, held: usize) -> usize {
        let kept = match holder {
            ByteHolder::Caller if held > SMALL_BYTES => self.limit / 4,
            ByteHolder::Caller => self.limit / 8,
            ByteHolder::Host => self.limit / 16,
            ByteHolder::Answer => 0,
        };
        self.limit - kept
    }

    /// Index of the account that makes the least progress for its bytes, of those that make too little; of equal ones that which
    /// holds most.
    fn least_progress(&self, now: Instant) -> Option<usize> {
        let slow = self
            .accounts
            .iter()
            .enumerate()
            .filter_map(|(index, account)| {
                let progress = account.progress(now)?;
                (account.held > 0 && progress < MIN_PROGRESS).then_some((
                    index,
                    progress,
                    account.held,
                ))
            });
        slow.min_by(|(_, first, first_held), (_, second, second_held)| {
            first.total_cmp(second).then(second_held.cmp(first_held))
        })
        .map(|(index, ..)| index)
    }

    fn find(&self, id: AccountId) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&id, |account| account.id)
    }
}

/// Whether a host refuses requests for their bytes, so that the beginning and the end of that are logged once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteShortage {
    last_refusal: Option<Instant>,
    refusals: u64,
}

impl ByteShortage {
    /// Records a refusal. Returns whether the shortage begins with it.
    pub fn record(&mut self, now: Instant) -> bool {
        self.refusals += 1;
        self.last_refusal.replace(now).is_none()
    }

    /// Number of refusals of a shortage that has ended; `None` if there is none or it goes on.
    pub fn take_ended(&mut self, now: Instant) -> Option<u64> {
        let last = self.last_refusal?;
        if now.saturating_duration_since(last) < SHORTAGE_END {
            return None;
        }
        self.last_refusal = None;
        Some(std::mem::take(&mut self.refusals))
    }
}
