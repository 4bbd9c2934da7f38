//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines with the time since the start. Clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = self.started.elapsed().as_secs_f64();
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{seconds:8.3} s  {}", text.as_ref());
    }
}
