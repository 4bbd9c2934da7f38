//! Errors of the commands, and the exit code of each.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | refused or failed; it did not run, or it ran without success |
//! | 2 | the command line or its input is wrong |
//! | 3 | no host answered |
//! | 4 | it may have run; ask by key or job before anything else |
//! | 5 | another change came first, or the name stands for something else |

use fulmarswitch_caller::client::CallerError;
use fulmarswitch_caller::wire::{ErrorKind, RanReply};
use snafu::Snafu;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

/// Exit code of a command line that cannot be read.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Errors of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// The system refused the call, or no host answered.
    #[snafu(display("{source}{}", retry_hint(source)))]
    Call {
        /// The failure.
        source: CallerError,
    },
    /// The item has an outcome that is not an answer.
    #[snafu(display("{reason}"))]
    Unsuccessful {
        /// What happened and what to do.
        reason: Arc<str>,
    },
    /// The item may have run.
    #[snafu(display(
        "the request may have run and its answer is unknown; do not send it under another key before you have checked its effect"
    ))]
    MayHaveRun,
    /// A file cannot be read.
    #[snafu(display("{} cannot be read ({source}); check the path", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The input does not fit.
    #[snafu(display("{reason}"))]
    BadInput {
        /// What to change.
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

/// Says whether the request ran and when to come back.
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
