//! Logging under load and with a blocked writer.

use fulmarswitch_switch::logging::{MAX_LINES_PER_SECOND, host_logger};
use slog::{info, warn};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
pub struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl LineBuffer {
    /// All that was written.
    pub fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that blocks until the test ends.
struct BlockedWriter {
    _reader: Receiver<()>,
    release: Receiver<()>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns when the sender is dropped at the end of the test.
        let _ = self.release.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn excess_lines_are_dropped_and_counted() {
    let lines = LineBuffer::default();
    let (logger, guard) = host_logger("h", lines.clone());
    let most = MAX_LINES_PER_SECOND as usize;
    for index in 0..most * 3 {
        info!(logger, "request ended"; "request" => index);
    }
    warn!(logger, "log lost");
    std::thread::sleep(Duration::from_millis(1100));
    info!(logger, "later");
    drop(guard);
    let text = lines.text();
    let count = |part: &str| text.lines().filter(|line| line.contains(part)).count();
    assert!(count("request ended") < most);
    assert_eq!(count("log lost"), 1);
    assert_eq!(count("lines left out"), 1, "{text}");
    assert_eq!(count("\"host\":\"h\""), text.lines().count());
}

#[test]
fn blocked_writer_does_not_block_logging() {
    let (sender, release): (Sender<()>, _) = channel();
    let (_idle, reader) = channel();
    let blocked = BlockedWriter {
        _reader: reader,
        release,
    };
    let (logger, guard) = host_logger("h", blocked);
    let started = Instant::now();
    for index in 0..100_000 {
        warn!(logger, "endpoint avoided"; "endpoint" => index);
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    drop(sender);
    drop(guard);
}
