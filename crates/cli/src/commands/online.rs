//! The subcommands for single requests: `request`, `call` and `result`.

use super::{CommandClients, print_json, unix_time_ms};
use crate::error::CommandError;
use crate::options::{CallOptions, RequestOptions, ScopedName};
use fulmarswitch_caller::wire::{AnswerEvent, OutcomeReply, RequestCall};
use std::io::Write;
use std::sync::Arc;

/// Sends a request to a model and prints the answer as it streams in.
///
/// # Errors
/// [`CommandError`] when the request is refused, fails or may have run without a known answer.
pub async fn request(
    clients: &CommandClients,
    options: RequestOptions,
) -> Result<(), CommandError> {
    let call = RequestCall {
        key: key_or_generated(options.key),
        workspace: options.workspace.into(),
        service: options.service.into(),
        input: options.input.into(),
        max_tokens: options.max_tokens,
        deadline_ms: options.deadline_ms,
        idempotent: !options.at_most_once,
    };
    stream_answer(clients, &call).await
}

/// Calls a plain service and prints its answer.
///
/// # Errors
/// [`CommandError`] when the request is refused, fails or may have run without a known answer.
pub async fn call(clients: &CommandClients, options: CallOptions) -> Result<(), CommandError> {
    let call = RequestCall {
        key: key_or_generated(options.key),
        workspace: options.workspace.into(),
        service: options.service.into(),
        input: options.input.into(),
        max_tokens: 1,
        deadline_ms: options.deadline_ms,
        idempotent: options.idempotent,
    };
    stream_answer(clients, &call).await
}

/// Prints the outcome of an earlier request as JSON.
///
/// # Errors
/// [`CommandError`] when the key is unknown or no host answers.
pub async fn result(clients: &CommandClients, name: &ScopedName) -> Result<(), CommandError> {
    let outcome = clients.caller.result(&name.workspace, &name.name).await?;
    print_json(&outcome);
    Ok(())
}

async fn stream_answer(clients: &CommandClients, call: &RequestCall) -> Result<(), CommandError> {
    let mut printer = StreamPrinter::default();
    let answered = clients
        .caller
        .request_with(call, |event| printer.print_event(event))
        .await;
    if printer.printed > 0 {
        println!();
    }
    let answer = answered.inspect_err(|_| eprintln!("key {}", call.key))?;
    match answer.outcome {
        OutcomeReply::Done { text } => {
            if printer.printed == 0 {
                println!("{text}");
            }
            if !answer.recorded {
                eprintln!("the answer waits for the log; read it again by its key later");
            }
            Ok(())
        }
        OutcomeReply::MayHaveRun => Err(CommandError::MayHaveRun),
        OutcomeReply::Failed { reason } => Err(CommandError::Unsuccessful { reason }),
        OutcomeReply::NotRun { retry_after_ms } => Err(CommandError::Unsuccessful {
            reason: format!("the request did not run; try again in {retry_after_ms} ms").into(),
        }),
        OutcomeReply::Cancelled | OutcomeReply::Open => Err(CommandError::Unsuccessful {
            reason: "the request has no answer; ask for it again by its key".into(),
        }),
    }
}

/// Prints a streamed answer. When the stream restarts from the beginning, the part already printed is skipped.
#[derive(Default)]
struct StreamPrinter {
    /// Bytes received since the stream last started.
    received: usize,
    /// Bytes printed.
    printed: usize,
}

impl StreamPrinter {
    fn print_event(&mut self, event: &AnswerEvent) {
        match event {
            AnswerEvent::Text { text } => {
                let skip = self.printed.saturating_sub(self.received).min(text.len());
                self.received += text.len();
                // A restarted stream repeats the same text, so only its part beyond the printed prefix is new.
                if let Some(rest) = text.get(skip..) {
                    print!("{rest}");
                    // A failed flush is ignored, so that a closed terminal does not abort the request.
                    let _ = std::io::stdout().flush();
                    self.printed += rest.len();
                }
            }
            AnswerEvent::Reset => self.received = 0,
            AnswerEvent::Done { .. } | AnswerEvent::Error(_) => {}
        }
    }
}

fn key_or_generated(key: Option<String>) -> Arc<str> {
    key.unwrap_or_else(|| format!("cli-{}-{:08x}", unix_time_ms(), rand::random::<u32>()))
        .into()
}
