//! Online callers that check every answer.

use crate::tally::DemoTally;
use fulmarswitch_caller::client::{CallerClient, CallerError, TimedAnswer};
use fulmarswitch_caller::wire::{OutcomeReply, RanReply, RequestCall};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::plain::plain_answer;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Workspace of the demo.
pub const WORKSPACE: &str = "workshop";
/// Service with model engines.
pub const ENGINE_SERVICE: &str = "diagassist";
/// Service with plain calls.
pub const PLAIN_SERVICE: &str = "records";
/// Tokens of each online answer.
const TOKENS: u32 = 24;
/// Time that a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 20_000;
/// Time after which an answer counts as late.
const LATE_LIMIT: Duration = Duration::from_secs(2);
/// Pause before a call that was refused as not run is sent again.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Load of online requests.
#[derive(Clone, Copy, Debug)]
pub struct OnlineLoad {
    /// Time between two requests.
    pub gap: Duration,
    /// Time for which requests are sent.
    pub duration: Duration,
}

/// One request with the answer that it must get.
#[derive(Clone, Debug)]
pub struct CheckedCall {
    /// The request.
    pub call: RequestCall,
    /// The right answer.
    pub expected: Arc<str>,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub enum CheckedEnd {
    /// The right answer, after this time.
    Right {
        /// Time from the first submission.
        whole: Duration,
    },
    /// A call that runs at most once ended without an answer.
    MayHaveRun,
    /// Anything else.
    Wrong {
        /// What came instead.
        reason: String,
    },
}

/// Makes the `number`th request: mostly to engines, some plain calls, each kind idempotent and not.
#[must_use]
pub fn make_call(number: u64) -> CheckedCall {
    let plain = number % 4 == 3;
    let idempotent = number % 8 < 5;
    let input: Arc<str> = format!("fault reading {number}").into();
    let service = if plain { PLAIN_SERVICE } else { ENGINE_SERVICE };
    let expected = if plain {
        plain_answer(&input)
    } else {
        whole_answer(&input, TOKENS)
    };
    let call = RequestCall {
        key: format!("request-{number}").into(),
        workspace: WORKSPACE.into(),
        service: service.into(),
        input,
        max_tokens: TOKENS,
        deadline_ms: DEADLINE_MS,
        idempotent,
    };
    CheckedCall {
        call,
        expected: expected.into(),
    }
}

/// Sends requests at a fixed rate, whether or not earlier ones are answered, and checks the answers.
pub async fn drive_online(
    client: CallerClient,
    load: OnlineLoad,
) -> Vec<(CheckedCall, CheckedEnd)> {
    let mut requests = JoinSet::new();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < load.duration {
        let checked = make_call(number);
        let client = client.clone();
        requests.spawn(async move {
            let end = send_checked(&client, &checked).await;
            (checked, end)
        });
        number += 1;
        tokio::time::sleep(load.gap).await;
    }
    requests.join_all().await
}

/// Sends one request until it has an outcome, and checks it.
pub async fn send_checked(client: &CallerClient, checked: &CheckedCall) -> CheckedEnd {
    let started = Instant::now();
    let deadline = started + Duration::from_millis(checked.call.deadline_ms);
    loop {
        let error = match client.request(&checked.call).await {
            Ok(answer) => return judge(checked, &answer, started.elapsed()),
            Err(error) => error,
        };
        // A refusal as not run says that the same call may be sent again.
        let again = matches!(
            &error,
            CallerError::Refused { reply } if reply.ran == RanReply::NotRun && reply.retry_after_ms > 0
        );
        if !again || Instant::now() >= deadline {
            let reason = error.to_string();
            return CheckedEnd::Wrong { reason };
        }
        tokio::time::sleep(REFUSED_PAUSE).await;
    }
}

fn judge(checked: &CheckedCall, answer: &TimedAnswer, whole: Duration) -> CheckedEnd {
    match &answer.outcome {
        OutcomeReply::Done { text } if *text == checked.expected => {
            // Text may come with the outcome alone, but what was streamed must fit.
            if answer.streamed.is_empty() || answer.streamed == **text {
                CheckedEnd::Right { whole }
            } else {
                let reason = format!("streamed {:?}, outcome {text:?}", answer.streamed);
                CheckedEnd::Wrong { reason }
            }
        }
        OutcomeReply::MayHaveRun if !checked.call.idempotent => CheckedEnd::MayHaveRun,
        other => CheckedEnd::Wrong {
            reason: format!("{other:?}"),
        },
    }
}

/// Counts the ends, reading each result again by its key, and prints what is wrong.
pub async fn count_online(
    client: &CallerClient,
    ends: &[(CheckedCall, CheckedEnd)],
    tally: &mut DemoTally,
) {
    for (checked, end) in ends {
        tally.online += 1;
        match end {
            CheckedEnd::Right { whole } if *whole > LATE_LIMIT => {
                println!("{} took {} ms", checked.call.key, whole.as_millis());
                tally.late += 1;
            }
            CheckedEnd::Right { .. } => {}
            CheckedEnd::MayHaveRun => {
                println!("{} may have run", checked.call.key);
                tally.may_have_run += 1;
            }
            CheckedEnd::Wrong { reason } => {
                println!("{}: {reason}", checked.call.key);
                tally.lost += 1;
                continue;
            }
        }
        match client.result(WORKSPACE, &checked.call.key).await {
            Ok(OutcomeReply::Done { text }) if text == checked.expected => {
                tally.online_answered += 1;
            }
            Ok(OutcomeReply::MayHaveRun) if matches!(end, CheckedEnd::MayHaveRun) => {
                tally.online_answered += 1;
            }
            other => {
                println!("{}: read again by key: {other:?}", checked.call.key);
                tally.lost += 1;
            }
        }
    }
}

/// Counts the calls that ran twice and must not.
pub fn count_doubled(
    ends: &[(CheckedCall, CheckedEnd)],
    runs: &[(Arc<str>, u32)],
    tally: &mut DemoTally,
) {
    for (input, count) in runs.iter().filter(|(_, count)| *count > 1) {
        let once = |checked: &CheckedCall| !checked.call.idempotent && checked.call.input == *input;
        if ends.iter().any(|(checked, _)| once(checked)) {
            println!("{input:?} ran {count} times");
            tally.doubled += 1;
        }
    }
}
