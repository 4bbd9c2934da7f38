//! Logging that never blocks the host: lines are rate limited and written by a separate thread.

use slog::{Drain, Level, Logger, OwnedKVList, Record, info, o};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines per second; warnings and errors pass beyond it. A host that serves 60 requests per second
/// writes fewer than 300 lines.
pub const MAX_LINES_PER_SECOND: u32 = 400;
/// Capacity of the queue to the writer; lines beyond it are dropped and counted.
const MAX_QUEUED_LINES: usize = 1024;
/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct WindowCount {
    window_start: Instant,
    lines: u32,
    dropped: u32,
}

/// Limits the number of lines per second. Warnings and errors always pass.
#[derive(Debug)]
pub struct RateLimitedDrain<D> {
    inner: D,
    max_lines: u32,
    count: Mutex<WindowCount>,
}

impl<D> RateLimitedDrain<D> {
    /// Passes at most `max_lines` lines per second to `inner`, and warnings and errors beyond that.
    pub fn new(inner: D, max_lines: u32) -> Self {
        let count = WindowCount {
            window_start: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Self {
            inner,
            max_lines,
            count: Mutex::new(count),
        }
    }

    /// Counts a line. Returns whether it passes, and how many lines were dropped in the window that just ended.
    fn admit(&self, level: Level) -> (bool, u32) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if count.window_start.elapsed() >= WINDOW {
            dropped = count.dropped;
            *count = WindowCount {
                window_start: Instant::now(),
                lines: 0,
                dropped: 0,
            };
        }
        let admitted = count.lines < self.max_lines || level.is_at_least(Level::Warning);
        if admitted {
            count.lines += 1;
        } else {
            count.dropped += 1;
        }
        (admitted, dropped)
    }
}

impl<D: Drain> Drain for RateLimitedDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let (admitted, dropped) = self.admit(record.level());
        if dropped > 0 {
            let args = format_args!("lines left out");
            let location = slog::record_static!(Level::Warning, "");
            let pairs = slog::b!("count" => dropped);
            self.inner
                .log(&Record::new(&location, &args, pairs), values)?;
        }
        if admitted {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
}

/// Creates the logger of a host, which writes JSON lines to `output` from its own thread. Dropping the guard flushes
/// queued lines.
pub fn host_logger(
    host: &str,
    output: impl Write + Send + 'static,
) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(output).fuse();
    let (writer, guard) = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let bounded = RateLimitedDrain::new(writer, MAX_LINES_PER_SECOND);
    let drain = bounded.filter_level(Level::Info).fuse();
    let logger = Logger::root(drain, o!("host" => host.to_owned()));
    info!(logger, "logging started"; "lines_per_second" => MAX_LINES_PER_SECOND);
    (logger, guard)
}
