//! In-memory stand-in for the platform's log.

use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_platform::{LogEntry, LogError, LogPage, LogService};
use fulmarswitch_records::{Offset, SortedIndex};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time on the log's clock when the log is created, in milliseconds since the Unix epoch.
const START_TIME_MS: u64 = 1_700_000_000_000;
/// Retry delay returned with a refusal.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Limits and injected faults, which can be changed while the log runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Whether every call is refused.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next appends that take effect but whose acknowledgement is lost; each one decrements it.
    pub lose_acks: u32,
    /// Maximum number of appends per second over all streams; further appends are refused.
    pub appends_per_second: u32,
    /// Time for which an entry is retained, in milliseconds.
    pub retention_ms: u64,
}

impl Default for LogFaults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 2,
            lose_acks: 0,
            appends_per_second: 400,
            retention_ms: 24 * 3_600_000,
        }
    }
}

/// Counters of the log, for measurements.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes of the appends that took effect.
    pub bytes: u64,
    /// Appends refused because of the rate limit.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct StreamState {
    oldest_offset: u64,
    entries: VecDeque<LogEntry>,
}

#[derive(Debug)]
struct LogState {
    streams: SortedIndex<String, StreamState>,
    faults: LogFaults,
    counts: LogCounts,
    window_start: Instant,
    window_appends: u32,
}

/// An append-only log in memory, with any number of streams.
#[derive(Debug)]
pub struct MemoryLog {
    start: Instant,
    state: Mutex<LogState>,
    entry_appended: Notify,
}

impl Default for MemoryLog {
    fn default() -> Self {
        Self::new(LogFaults::default())
    }
}

impl MemoryLog {
    /// Creates a log without streams; the first access to a stream creates it.
    ///
    /// ```
    /// use fulmarswitch_standins::log::{LogFaults, MemoryLog};
    /// let log = MemoryLog::new(LogFaults::default());
    /// assert_eq!(log.counts().appends, 0);
    /// ```
    #[must_use]
    pub fn new(faults: LogFaults) -> Self {
        let start = Instant::now();
        let state = LogState {
            streams: SortedIndex::new(),
            faults,
            counts: LogCounts::default(),
            window_start: start,
            window_appends: 0,
        };
        Self {
            start,
            state: Mutex::new(state),
            entry_appended: Notify::new(),
        }
    }

    /// Changes limits and faults. A read that waits for entries applies the change the next time it wakes up.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the counters since the log was created.
    #[must_use]
    pub fn counts(&self) -> LogCounts {
        self.lock().counts
    }

    fn now_ms(&self) -> u64 {
        START_TIME_MS + u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn apply_faults(&self) -> Result<(), LogError> {
        let (down, slow_ms) = {
            let state = self.lock();
            (state.faults.down, state.faults.slow_ms)
        };
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        if down {
            Err(LogError::Refused {
                retry_after: RETRY_AFTER,
            })
        } else {
            Ok(())
        }
    }

    fn append_entry(&self, stream: &str, data: Bytes) -> Result<(Offset, bool), LogError> {
        let at_ms = self.now_ms();
        let mut guard = self.lock();
        let state = &mut *guard;
        if !state.try_count_append() {
            state.counts.refused += 1;
            return Err(LogError::Refused {
                retry_after: RETRY_AFTER,
            });
        }
        state.counts.appends += 1;
        state.counts.bytes += data.len() as u64;
        let ack_lost = state.faults.lose_acks > 0;
        state.faults.lose_acks -= u32::from(ack_lost);
        let retention_ms = state.faults.retention_ms;
        let stream_state = state.stream_mut(stream);
        stream_state.expire(at_ms.saturating_sub(retention_ms));
        let offset = stream_state.next_offset();
        stream_state.entries.push_back(LogEntry {
            offset,
            at_ms,
            data,
        });
        Ok((offset, ack_lost))
    }

    fn read_page(&self, stream: &str, from: Offset, max: usize) -> LogPage {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let retention_ms = state.faults.retention_ms;
        let stream_state = state.stream_mut(stream);
        stream_state.expire(now_ms.saturating_sub(retention_ms));
        let skip = usize::try_from(from.0.saturating_sub(stream_state.oldest_offset))
            .unwrap_or(usize::MAX);
        LogPage {
            oldest: Offset(stream_state.oldest_offset),
            head: stream_state.next_offset(),
            now_ms,
            retention: Duration::from_millis(retention_ms),
            entries: stream_state
                .entries
                .iter()
                .skip(skip)
                .take(max)
                .cloned()
                .collect(),
        }
    }
}

impl LogState {
    /// Counts an append towards the rate limit and returns whether it is within the limit.
    fn try_count_append(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.window_appends = 0;
        }
        let allowed = self.window_appends < self.faults.appends_per_second;
        self.window_appends += u32::from(allowed);
        allowed
    }

    fn stream_mut(&mut self, name: &str) -> &mut StreamState {
        if !self.streams.contains(name) {
            self.streams.insert(name.to_owned(), StreamState::default());
        }
        self.streams
            .get_mut(name)
            .expect("the stream was inserted above")
    }
}

impl StreamState {
    fn next_offset(&self) -> Offset {
        Offset(self.oldest_offset + self.entries.len() as u64)
    }

    fn expire(&mut self, before_ms: u64) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.at_ms < before_ms)
        {
            self.entries.pop_front();
            self.oldest_offset += 1;
        }
    }
}

#[async_trait]
impl LogService for MemoryLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        self.apply_faults().await?;
        let (offset, ack_lost) = self.append_entry(stream, data)?;
        self.entry_appended.notify_waiters();
        if ack_lost {
            return Err(LogError::Unknown {
                cause: "the acknowledgement was lost".into(),
            });
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        self.apply_faults().await?;
        let deadline = Instant::now() + wait;
        loop {
            let mut notified = std::pin::pin!(self.entry_appended.notified());
            notified.as_mut().enable();
            let page = self.read_page(stream, from, max);
            if !page.entries.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            if self.lock().faults.down {
                return Err(LogError::Refused {
                    retry_after: RETRY_AFTER,
                });
            }
            // On a timeout the next iteration is past the deadline and returns the empty page.
            let _ = tokio::time::timeout_at(deadline, notified).await;
        }
    }
}
