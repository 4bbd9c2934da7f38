//! A child process that is killed when its handle is dropped.

use rustix::process::{Pid, Signal, kill_process};
use snafu::Snafu;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which a process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Text before the address in the first line that a stand-in prints.
const ADDRESS_PREFIX: &str = "listening on ";

/// Errors of starting, signalling or awaiting a child process.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The program could not be started.
    #[snafu(display(
        "{} could not be started ({source}); run `cargo build --workspace` first",
        program.display()
    ))]
    StartFailed {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process closed its output or exited before it printed its address.
    #[snafu(display("{name} exited before it was ready; see {}", log.display()))]
    ExitedEarly {
        /// Name of the process.
        name: String,
        /// File with its standard error.
        log: PathBuf,
    },
    /// The process did not exit in time.
    #[snafu(display("{name} did not exit within {limit:?}; see {}", log.display()))]
    ExitTimeout {
        /// Name of the process.
        name: String,
        /// Time that was waited.
        limit: Duration,
        /// File with its standard error.
        log: PathBuf,
    },
    /// The signal could not be sent.
    #[snafu(display("{name} could not be signalled ({cause}); it has probably exited"))]
    SignalFailed {
        /// Name of the process.
        name: String,
        /// Exit status of the process, or error of the operating system.
        cause: String,
    },
}

/// A child process; dropping it kills the process and reaps it.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    log: PathBuf,
    child: Child,
}

impl ChildProcess {
    /// Starts a program from the build folder of the current executable, and appends its standard error to the file
    /// `NAME.log` in `folder`.
    ///
    /// The process gets a process group of its own, so that signals to the group of this process do not reach it: the
    /// kernel sends SIGHUP to an orphaned group that has a stopped member.
    ///
    /// # Errors
    /// [`ProcessError::StartFailed`] when the log file or the program cannot be opened.
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
            .process_group(0)
            .spawn()
            .map_err(start_failed)?;
        Ok(Self {
            name: name.to_owned(),
            log,
            child,
        })
    }

    /// Waits for the line with the address that a stand-in prints once it listens.
    ///
    /// # Errors
    /// [`ProcessError::ExitedEarly`] when the first line contains no address.
    pub fn read_address(&mut self) -> Result<String, ProcessError> {
        let mut line = String::new();
        if let Some(output) = self.child.stdout.take() {
            // On a read error the line stays empty, which is reported below.
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

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// [`ProcessError::SignalFailed`] when the process has exited.
    pub fn signal(&mut self, signal: Signal) -> Result<(), ProcessError> {
        let signal_failed = |cause: String| ProcessError::SignalFailed {
            name: self.name.clone(),
            cause,
        };
        // The id of a reaped process may already belong to another process.
        if let Ok(Some(status)) = self.child.try_wait() {
            return Err(signal_failed(status.to_string()));
        }
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| signal_failed("it has no id".into()))?;
        kill_process(pid, signal).map_err(|error| signal_failed(error.to_string()))
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has exited.
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

    /// Returns the path of the file that receives standard error.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Killing fails if the process has already exited, which is fine here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program in the build folder of the current executable.
fn program_path(program: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    // Test executables are in the subfolder `deps`.
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(program)
}
