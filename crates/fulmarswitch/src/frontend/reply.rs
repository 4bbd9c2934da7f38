//! Errors of calls, and the HTTP responses for them.

use fulmarswitch_caller::wire::{ErrorKind, ErrorReply, RanReply};
use fulmarswitch_http::{HttpResponse, json_response};
use fulmarswitch_peer::PeerReply;
use fulmarswitch_peer::message::{Refusal, RunState};
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use snafu::Snafu;
use std::sync::Arc;

/// Retry delay in milliseconds for errors that carry none of their own.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// Error of a call by a caller or operator.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(super) enum CallError {
    /// Method and path match no call.
    #[snafu(display("there is no such call; see docs/API.md"))]
    NoSuchCall,
    /// The path or body is invalid.
    #[snafu(display("{reason}"))]
    BadInput {
        /// What is wrong with the input.
        reason: Arc<str>,
    },
    /// There is no request, job or record of the name.
    #[snafu(display("{what} is not known here; check the workspace and the name"))]
    NotFound {
        /// What was looked up, such as "the job".
        what: &'static str,
    },
    /// The name is in use for something else, or the base version is outdated.
    #[snafu(display("{reason}"))]
    Conflict {
        /// The conflict and its remedy.
        reason: Arc<str>,
    },
    /// The call was refused and had no effect.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why the call was refused.
        reason: Arc<str>,
        /// Retry delay in milliseconds; zero if a retry cannot succeed.
        retry_after_ms: u64,
    },
    /// The owner of the shard was not reached in time.
    #[snafu(display("the owner of the key or job was not reached; try again"))]
    NoOwner,
    /// The call may or may not have taken effect.
    #[snafu(display("whether the call took effect is not known; repeat it, which is harmless"))]
    Unknown,
    /// The owner refused an online request.
    #[snafu(display("{}", refusal.reason))]
    Online {
        /// The owner's refusal.
        refusal: Refusal,
    },
}

impl CallError {
    fn kind(&self) -> ErrorKind {
        match self {
            Self::NoSuchCall => ErrorKind::NoSuchCall,
            Self::NotFound { .. } => ErrorKind::NotFound,
            Self::BadInput { .. }
            | Self::Refused {
                retry_after_ms: 0, ..
            } => ErrorKind::BadInput,
            Self::Conflict { .. } => ErrorKind::Conflict,
            Self::Online { refusal } if refusal.ran == RunState::MayHaveRun => ErrorKind::Unknown,
            Self::Online { refusal } if refusal.retry_after_ms == 0 => ErrorKind::Conflict,
            Self::Unknown => ErrorKind::Unknown,
            Self::Refused { .. } | Self::NoOwner | Self::Online { .. } => ErrorKind::Unavailable,
        }
    }

    fn status(&self) -> StatusCode {
        match self.kind() {
            ErrorKind::NoSuchCall | ErrorKind::NotFound => StatusCode::NOT_FOUND,
            ErrorKind::BadInput => StatusCode::BAD_REQUEST,
            ErrorKind::Conflict => StatusCode::CONFLICT,
            ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after_ms(&self) -> u64 {
        match self {
            Self::Refused { retry_after_ms, .. } => *retry_after_ms,
            Self::Online { refusal } => refusal.retry_after_ms,
            Self::NoOwner | Self::Unknown => DEFAULT_RETRY_MS,
            _ => 0,
        }
    }

    fn ran(&self) -> RanReply {
        match self {
            Self::Online { refusal } => refusal.ran.into_reply(),
            Self::Unknown => RanReply::MayHaveRun,
            _ => RanReply::NotRun,
        }
    }

    pub(super) fn reply(&self) -> ErrorReply {
        ErrorReply {
            kind: self.kind(),
            error: self.to_string().into(),
            ran: self.ran(),
            retry_after_ms: self.retry_after_ms(),
        }
    }
}

/// Conversion into the type of the callers' API.
pub(super) trait IntoRanReply {
    /// Converts the state for a reply to a caller.
    fn into_reply(self) -> RanReply;
}

impl IntoRanReply for RunState {
    fn into_reply(self) -> RanReply {
        match self {
            Self::NotRun => RanReply::NotRun,
            Self::MayHaveRun => RanReply::MayHaveRun,
            Self::Done => RanReply::Done,
        }
    }
}

/// Returns the HTTP response for an error, with a `Retry-After` header if a retry makes sense.
pub(super) fn error_response(error: &CallError) -> HttpResponse {
    let mut response = json_response(error.status(), &error.reply());
    let retry_after_ms = error.retry_after_ms();
    if retry_after_ms > 0 {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Returns the error for a reply of an owner that is not the expected one.
pub(super) fn unexpected_reply(reply: PeerReply, what: &'static str) -> CallError {
    match reply {
        PeerReply::NotFound => CallError::NotFound { what },
        PeerReply::Conflict { reason } => CallError::Conflict { reason },
        PeerReply::Refused {
            reason,
            retry_after_ms,
        } => CallError::Refused {
            reason,
            retry_after_ms,
        },
        PeerReply::Unsupported => CallError::Refused {
            reason: "the owner runs an older version; try again after the upgrade".into(),
            retry_after_ms: DEFAULT_RETRY_MS,
        },
        _ => CallError::Unknown,
    }
}
