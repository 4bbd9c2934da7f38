//! Log lines under load and with a reader that does not read.

use fulmarswitch_switch::logging::{MAX_LINES_PER_SECOND, host_logger};
use slog::{info, warn};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader that reads nothing until the test ends.
struct Blocked {
    _reader: Receiver<()>,
    until: Receiver<()>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped at the test's end.
        let _ = self.until.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flood_is_bounded_and_counted() {
    let lines = Lines::default();
    let (logger, guard) = host_logger("h", lines.clone());
    let most = MAX_LINES_PER_SECOND as usize;
    for index in 0..most * 3 {
        info!(logger, "request ended"; "request" => index);
    }
    warn!(logger, "log lost");
    std::thread::sleep(Duration::from_millis(1100));
    info!(logger, "later");
    drop(guard);
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    let count = |part: &str| text.lines().filter(|line| line.contains(part)).count();
    assert!(count("request ended") < most);
    assert_eq!(count("log lost"), 1);
    assert_eq!(count("lines left out"), 1, "{text}");
    assert_eq!(count("\"host\":\"h\""), text.lines().count());
}

#[test]
fn a_reader_that_does_not_read_holds_nobody_up() {
    let (hold, until): (Sender<()>, _) = channel();
    let (_idle, reader) = channel();
    let blocked = Blocked {
        _reader: reader,
        until,
    };
    let (logger, guard) = host_logger("h", blocked);
    let started = Instant::now();
    for index in 0..100_000 {
        warn!(logger, "endpoint avoided"; "endpoint" => index);
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    drop(hold);
    drop(guard);
}
