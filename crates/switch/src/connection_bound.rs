//! Bound on the connections that others open to a host, and which of them is closed when it is reached.

use std::time::Duration;
use tokio::time::Instant;

/// Bytes that are assumed for a connection: the buffers of the HTTP server, and its task.
pub const CONNECTION_BYTES: usize = 24 * 1024;
/// Share of the memory of a process that its callers' connections may use.
const MEMORY_SHARE: usize = 6;
/// Sockets that a host may have open if its settings do not limit them.
const DEFAULT_SOCKETS: usize = 8192;
/// Minimum number of connections of each kind.
const MIN_CONNECTIONS: usize = 4;
/// Time without a byte after which a body that arrives, or a head, counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time without progress after which an answer counts as unread. It is longer than that of a body, as the request has run.
const UNREAD_TIME: Duration = Duration::from_secs(5);

/// Maximum numbers of connections by who opens them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers with requests.
    pub callers: usize,
    /// Connections of other hosts.
    pub hosts: usize,
    /// Connections to each of the ports for look-ups, probes and metrics.
    pub probes: usize,
}

impl ConnectionLimits {
    /// Limits by the memory of the process and the sockets that it may open. Each request of a caller or a host may need a second
    /// socket for its endpoint; what is left is for idle connections to endpoints, for the store and for peers.
    ///
    /// ```
    /// use fulmarswitch_switch::connection_bound::ConnectionLimits;
    /// let limits = ConnectionLimits::of(Some(512_000_000), Some(8000));
    /// assert_eq!((limits.callers, limits.hosts, limits.probes), (2400, 1000, 250));
    /// ```
    #[must_use]
    pub fn of(memory: Option<usize>, sockets: Option<usize>) -> Self {
        let sockets = sockets.unwrap_or(DEFAULT_SOCKETS);
        let by_memory = memory.map_or(usize::MAX, |memory| {
            memory / MEMORY_SHARE / CONNECTION_BYTES
        });
        let callers = (sockets * 3 / 10).min(by_memory);
        Self {
            callers: callers.max(MIN_CONNECTIONS),
            hosts: (sockets / 8).min(by_memory / 2).max(MIN_CONNECTIONS),
            probes: (sockets / 32).min(by_memory / 8).max(MIN_CONNECTIONS),
        }
    }
}

/// What a connection is used for, and since when nothing has moved on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Nothing has arrived.
    Unused(Instant),
    /// Kept after an answer.
    Idle(Instant),
    /// A head or a body arrives.
    Arriving(Instant),
    /// An answer is written.
    Answering(Instant),
    /// A request runs, or the connection is about to be closed.
    Busy,
}

impl ConnectionUse {
    /// Order in which connections are closed, and since when nothing has moved; `None` if the connection is in use at `now`.
    fn surplus_rank(self, now: Instant) -> Option<(u8, Instant)> {
        let (rank, since, min_age) = match self {
            Self::Unused(since) => (0, since, Duration::ZERO),
            Self::Idle(since) => (1, since, Duration::ZERO),
            Self::Arriving(since) => (2, since, STALL_TIME),
            Self::Answering(since) => (3, since, UNREAD_TIME),
            Self::Busy => return None,
        };
        let age = now.saturating_duration_since(since);
        (age >= min_age).then_some((rank, since))
    }

    /// Whether the connection may be closed at `now` if others need its descriptor.
    #[must_use]
    pub fn is_surplus(self, now: Instant) -> bool {
        self.surplus_rank(now).is_some()
    }
}

/// Position of the connection to close so that another one can be accepted: an unused one, then one kept for later requests, then
/// a request that has stalled, and last an answer that is not read; of these the one on which nothing has moved for longest.
/// `None` if all are in use.
///
/// ```
/// use fulmarswitch_switch::connection_bound::{ConnectionUse, pick_surplus};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let uses = [ConnectionUse::Busy, ConnectionUse::Idle(now), ConnectionUse::Unused(now)];
/// assert_eq!(pick_surplus(uses, now), Some(2));
/// assert_eq!(pick_surplus([ConnectionUse::Busy], now), None);
/// ```
#[must_use]
pub fn pick_surplus(uses: impl IntoIterator<Item = ConnectionUse>, now: Instant) -> Option<usize> {
    let ranked = uses
        .into_iter()
        .enumerate()
        .filter_map(|(index, connection)| {
            let (rank, since) = connection.surplus_rank(now)?;
            Some((rank, since, index))
        });
    ranked.min().map(|(_, _, index)| index)
}
