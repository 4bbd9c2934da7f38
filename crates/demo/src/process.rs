//! One child process, ended with its handle.

use rustix::process::{Pid, Signal, kill_process};
use snafu::Snafu;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between looks at whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Words before the address in a stand-in's first line.
const ADDRESS_PREFIX: &str = "listening on ";

/// Errors of a child process.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The program was not started.
    #[snafu(display(
        "{} was not started ({source}); run `cargo build --workspace` first",
        program.display()
    ))]
    StartFailed {
        /// The program.
        program: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The program ended before it was ready.
    #[snafu(display("{name} ended before it was ready; read {}", log.display()))]
    ExitedEarly {
        /// Name of the process.
        name: String,
        /// What it wrote.
        log: PathBuf,
    },
    /// The program did not end in time.
    #[snafu(display("{name} did not end within {limit:?}; read {}", log.display()))]
    ExitTimeout {
        /// Name of the process.
        name: String,
        /// Time that was allowed.
        limit: Duration,
        /// What it wrote.
        log: PathBuf,
    },
    /// The process could not be signalled.
    #[snafu(display("{name} could not be signalled ({cause}); it has probably ended"))]
    SignalFailed {
        /// Name of the process.
        name: String,
        /// What the system says.
        cause: String,
    },
}

/// A child process; dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    log: PathBuf,
    child: Child,
}

impl ChildProcess {
    /// Starts a program that stands beside this one, with its standard error in a file of `folder`.
    ///
    /// # Errors
    /// [`ProcessError::StartFailed`] when the program cannot be run.
    pub fn start(
        program: &str,
        name: &str,
        arguments: &[&str],
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        let program = program_path(program);
        let log = folder.join(format!("{name}.log"));
        let start_failed = |source| ProcessError::StartFailed {
            program: program.clone(),
            source,
        };
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(start_failed)?;
        let child = Command::new(&program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .map_err(start_failed)?;
        Ok(Self {
            name: name.to_owned(),
            log,
            child,
        })
    }

    /// Reads the address that a stand-in prints once it listens.
    ///
    /// # Errors
    /// [`ProcessError::ExitedEarly`] when it prints none.
    pub fn read_address(&mut self) -> Result<String, ProcessError> {
        let mut line = String::new();
        if let Some(output) = self.child.stdout.take() {
            // An output that cannot be read leaves the line empty, which is reported below.
            let _ = BufReader::new(output).read_line(&mut line);
        }
        let address = line.trim().strip_prefix(ADDRESS_PREFIX);
        address
            .map(str::to_owned)
            .ok_or_else(|| ProcessError::ExitedEarly {
                name: self.name.clone(),
                log: self.log.clone(),
            })
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// [`ProcessError::SignalFailed`] when the process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<(), ProcessError> {
        let signal_failed = |cause: String| ProcessError::SignalFailed {
            name: self.name.clone(),
            cause,
        };
        // A process that was waited for has lost its id, which may by now be another's.
        if let Ok(Some(status)) = self.child.try_wait() {
            return Err(signal_failed(status.to_string()));
        }
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| signal_failed("it has no id".into()))?;
        kill_process(pid, signal).map_err(|error| signal_failed(error.to_string()))
    }

    /// Returns how the process ended, or `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// [`ProcessError::ExitTimeout`] after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(ProcessError::ExitTimeout {
                    name: self.name.clone(),
                    limit,
                    log: self.log.clone(),
                });
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns the file with what the process wrote to its standard error.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // A process that has ended already cannot be killed, and that is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program that was built together with this one.
fn program_path(program: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    // Tests stand one folder deeper than programs.
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(program)
}
