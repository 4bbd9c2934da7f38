//! The errors of a command and the exit codes of the process.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | refused or failed: it did not run, or it ran without success |
//! | 2 | invalid command line or input |
//! | 3 | no host answered |
//! | 4 | it may have run; read the outcome by its key or job id before sending anything again |
//! | 5 | conflict: a concurrent change was published first, or the key or id is in use for other content |

use fulmarswitch_caller::client::CallerError;
use fulmarswitch_caller::wire::{ErrorKind, RanReply};
use snafu::Snafu;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

/// Exit code for an invalid command line or input.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Why a command failed; the message names a remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// A host refused the call, or no host answered.
    #[snafu(display("{source}{}", retry_hint(source)))]
    Call {
        /// Error of the client.
        source: CallerError,
    },
    /// The command received a response, but no successful outcome.
    #[snafu(display("{reason}"))]
    Unsuccessful {
        /// What happened and what to do.
        reason: Arc<str>,
    },
    /// The request may have run, and its answer is not known.
    #[snafu(display(
        "the request may have run and its answer is unknown; do not send it under another key before you have checked its effect"
    ))]
    MayHaveRun,
    /// A file cannot be read.
    #[snafu(display("{} cannot be read ({source}); check the path", path.display()))]
    Unreadable {
        /// Path of the file, or `-` or `standard input`.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The options or the input are invalid.
    #[snafu(display("{reason}"))]
    BadInput {
        /// What is invalid and how to correct it.
        reason: Arc<str>,
    },
}

impl CommandError {
    /// Returns the exit code of the process.
    ///
    /// ```
    /// use fulmarswitch_cli::error::CommandError;
    /// assert_eq!(CommandError::MayHaveRun.exit_code(), 4);
    /// ```
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Call {
                source: CallerError::Refused { reply },
            } => match reply.kind {
                ErrorKind::NoSuchCall | ErrorKind::BadInput => USAGE_EXIT_CODE,
                ErrorKind::Conflict => 5,
                ErrorKind::Unknown => 4,
                ErrorKind::NotFound | ErrorKind::Unavailable => 1,
            },
            Self::Call {
                source: CallerError::NoAnswer { .. },
            } => 3,
            Self::Unsuccessful { .. } => 1,
            Self::Unreadable { .. } | Self::BadInput { .. } => USAGE_EXIT_CODE,
            Self::MayHaveRun => 4,
        }
    }
}

impl From<CallerError> for CommandError {
    fn from(source: CallerError) -> Self {
        Self::Call { source }
    }
}

/// Formats whether a refused request ran and after which delay to retry.
fn retry_hint(error: &CallerError) -> String {
    let CallerError::Refused { reply } = error else {
        return String::new();
    };
    let ran = match reply.ran {
        RanReply::NotRun => "it did not run",
        RanReply::MayHaveRun => "it may have run",
        RanReply::Done => "it ran",
    };
    match reply.retry_after_ms {
        0 => format!(" [{ran}]"),
        millis => format!(" [{ran}; try again in {millis} ms]"),
    }
}
