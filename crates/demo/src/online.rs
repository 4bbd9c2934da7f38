//! Sends online requests at a fixed rate and checks every answer.

use crate::report::DemoReport;
use fulmarswitch_caller::client::{CallerClient, CallerError, TimedAnswer};
use fulmarswitch_caller::wire::{OutcomeReply, RanReply, RequestCall};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::plain::plain_answer;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Workspace of all requests and jobs.
pub const WORKSPACE: &str = "workshop";
/// Service that runs on model engines.
pub const ENGINE_SERVICE: &str = "diagassist";
/// Service that takes plain calls.
pub const PLAIN_SERVICE: &str = "records";
/// Maximum number of tokens generated per request.
const MAX_TOKENS: u32 = 24;
/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 20_000;
/// Latency above which an answer counts as late.
const LATENCY_LIMIT: Duration = Duration::from_secs(2);
/// Delay before a request that was refused as not run is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Rate and duration of an online load.
#[derive(Clone, Copy, Debug)]
pub struct OnlineLoad {
    /// Interval between consecutive requests.
    pub interval: Duration,
    /// Time during which requests are sent.
    pub duration: Duration,
}

/// A request and its expected answer.
#[derive(Clone, Debug)]
pub struct CheckedCall {
    /// The request.
    pub call: RequestCall,
    /// Answer that the stand-in gives for this input.
    pub expected: Arc<str>,
}

/// Result of checking the answer to a [`CheckedCall`].
#[derive(Clone, Debug)]
pub enum CheckedOutcome {
    /// The expected answer arrived.
    Correct {
        /// Time from the first attempt to the complete answer.
        latency: Duration,
    },
    /// An at-most-once call may have run, and its answer is unknown.
    MayHaveRun,
    /// The request failed, or its answer is not the expected one.
    Incorrect {
        /// The error, or the outcome that arrived instead.
        reason: String,
    },
}

/// Creates request `number`. Every fourth request is a plain call, the others go to the engines. Five of every eight
/// are idempotent; plain calls and engine requests each include both kinds.
#[must_use]
pub fn make_call(number: u64) -> CheckedCall {
    let plain = number % 4 == 3;
    let idempotent = number % 8 < 5;
    let input: Arc<str> = format!("fault reading {number}").into();
    let service = if plain { PLAIN_SERVICE } else { ENGINE_SERVICE };
    let expected = if plain {
        plain_answer(&input)
    } else {
        whole_answer(&input, MAX_TOKENS)
    };
    let call = RequestCall {
        key: format!("request-{number}").into(),
        workspace: WORKSPACE.into(),
        service: service.into(),
        input,
        max_tokens: MAX_TOKENS,
        deadline_ms: DEADLINE_MS,
        idempotent,
    };
    CheckedCall {
        call,
        expected: expected.into(),
    }
}

/// Sends requests at a fixed rate, without waiting for earlier answers (open loop), and checks all answers.
pub async fn send_online_load(
    client: CallerClient,
    load: OnlineLoad,
) -> Vec<(CheckedCall, CheckedOutcome)> {
    let mut requests = JoinSet::new();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < load.duration {
        let checked = make_call(number);
        let client = client.clone();
        requests.spawn(async move {
            let outcome = send_and_check(&client, &checked).await;
            (checked, outcome)
        });
        number += 1;
        tokio::time::sleep(load.interval).await;
    }
    requests.join_all().await
}

/// Sends a request, retrying while it is refused as not run and the deadline has not passed, and checks the answer.
pub async fn send_and_check(client: &CallerClient, checked: &CheckedCall) -> CheckedOutcome {
    let started = Instant::now();
    let deadline = started + Duration::from_millis(checked.call.deadline_ms);
    loop {
        let error = match client.request(&checked.call).await {
            Ok(answer) => return check_answer(checked, &answer, started.elapsed()),
            Err(error) => error,
        };
        // A request refused as not run, with a retry delay, can be resent with the same key.
        let retryable = matches!(
            &error,
            CallerError::Refused { reply } if reply.ran == RanReply::NotRun && reply.retry_after_ms > 0
        );
        if !retryable || Instant::now() >= deadline {
            let reason = error.to_string();
            return CheckedOutcome::Incorrect { reason };
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn check_answer(checked: &CheckedCall, answer: &TimedAnswer, latency: Duration) -> CheckedOutcome {
    match &answer.outcome {
        OutcomeReply::Done { text } if *text == checked.expected => {
            // The text may arrive with the outcome only; if it was streamed, both must agree.
            if answer.streamed.is_empty() || answer.streamed == **text {
                CheckedOutcome::Correct { latency }
            } else {
                let reason = format!("streamed {:?}, outcome {text:?}", answer.streamed);
                CheckedOutcome::Incorrect { reason }
            }
        }
        OutcomeReply::MayHaveRun if !checked.call.idempotent => CheckedOutcome::MayHaveRun,
        other => CheckedOutcome::Incorrect {
            reason: format!("{other:?}"),
        },
    }
}

/// Adds the outcomes to `report`, reads each result once more by its key, and prints late, unknown and incorrect
/// ones.
pub async fn count_online(
    client: &CallerClient,
    outcomes: &[(CheckedCall, CheckedOutcome)],
    report: &mut DemoReport,
) {
    for (checked, outcome) in outcomes {
        report.online += 1;
        match outcome {
            CheckedOutcome::Correct { latency } if *latency > LATENCY_LIMIT => {
                println!("{} took {} ms", checked.call.key, latency.as_millis());
                report.late += 1;
            }
            CheckedOutcome::Correct { .. } => {}
            CheckedOutcome::MayHaveRun => {
                println!("{} may have run", checked.call.key);
                report.may_have_run += 1;
            }
            CheckedOutcome::Incorrect { reason } => {
                println!("{}: {reason}", checked.call.key);
                report.lost += 1;
                continue;
            }
        }
        match client.result(WORKSPACE, &checked.call.key).await {
            Ok(OutcomeReply::Done { text }) if text == checked.expected => {
                report.online_answered += 1;
            }
            Ok(OutcomeReply::MayHaveRun) if matches!(outcome, CheckedOutcome::MayHaveRun) => {
                report.online_answered += 1;
            }
            other => {
                println!(
                    "{}: reading the result by key gave {other:?}",
                    checked.call.key
                );
                report.lost += 1;
            }
        }
    }
}

/// Counts the at-most-once calls that ran more than once, given how often the plain service ran each input.
pub fn count_duplicate_runs(
    outcomes: &[(CheckedCall, CheckedOutcome)],
    runs: &[(Arc<str>, u32)],
    report: &mut DemoReport,
) {
    for (input, count) in runs.iter().filter(|(_, count)| *count > 1) {
        let is_at_most_once =
            |checked: &CheckedCall| !checked.call.idempotent && checked.call.input == *input;
        if outcomes.iter().any(|(checked, _)| is_at_most_once(checked)) {
            println!("{input:?} ran {count} times");
            report.doubled += 1;
        }
    }
}
