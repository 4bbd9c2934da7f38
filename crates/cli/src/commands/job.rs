//! The `job` subcommands: submit, watch, read and cancel batch jobs.

use super::{CommandClients, print_json, unix_time_ms};
use crate::error::CommandError;
use crate::options::{JobCommand, ScopedName, SubmitOptions};
use fulmarswitch_caller::client::{CallerClient, CallerError};
use fulmarswitch_caller::wire::{ItemLine, JobCall, JobReply};
use fulmarswitch_http::lines::MAX_LINE_BYTES;
use futures::{Stream, StreamExt};
use indicatif::{ProgressBar, ProgressStyle};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio_util::codec::{FramedRead, LinesCodec};

/// Interval at which the status of a job is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs one `job` subcommand.
///
/// # Errors
/// [`CommandError`] when the input is invalid, the call is refused or no host answers.
pub async fn run(clients: &CommandClients, command: JobCommand) -> Result<(), CommandError> {
    match command {
        JobCommand::Submit(options) => submit(clients, options).await,
        JobCommand::JobStatus { wait, name } => {
            let reply = if wait {
                wait_until_complete(&clients.caller, &name.workspace, &name.name).await?
            } else {
                clients.caller.job(&name.workspace, &name.name).await?
            };
            print_json(&reply);
            Ok(())
        }
        JobCommand::Results { first, page, name } => results(clients, first, page, &name).await,
        JobCommand::Cancel(name) => {
            let reply = clients.caller.cancel(&name.workspace, &name.name).await?;
            print_json(&reply);
            Ok(())
        }
    }
}

async fn submit(clients: &CommandClients, options: SubmitOptions) -> Result<(), CommandError> {
    let call = JobCall {
        job: options.job.into(),
        workspace: options.workspace.into(),
        service: options.service.into(),
        due_ms: unix_time_ms() + options.due_in * 1_000,
        max_tokens: options.max_tokens,
        idempotent: !options.at_most_once,
    };
    let reader = open(&options.file).await?;
    let progress = ProgressBar::new_spinner().with_message("items sent");
    progress.set_style(spinner_progress_style());
    let sent_counter = progress.clone();
    let items = read_items(reader, options.json_lines).inspect(move |_| sent_counter.inc(1));
    let (error_sender, read_error) = tokio::sync::oneshot::channel();
    let items = report_read_error(items, error_sender);
    let submitted = clients.caller.submit_fallible(&call, items).await;
    progress.finish_and_clear();
    let reply = match submitted {
        Ok(reply) => reply,
        Err(error) => return Err(read_error.await.unwrap_or(error.into())),
    };
    if options.wait {
        print_json(&wait_until_complete(&clients.caller, &call.workspace, &call.job).await?);
    } else {
        print_json(&reply);
    }
    Ok(())
}

async fn open(path: &Path) -> Result<Box<dyn AsyncRead + Send + Unpin>, CommandError> {
    if path == Path::new("-") {
        return Ok(Box::new(tokio::io::stdin()));
    }
    match tokio::fs::File::open(path).await {
        Ok(file) => Ok(Box::new(file)),
        Err(source) => Err(CommandError::Unreadable {
            path: path.into(),
            source,
        }),
    }
}

/// Reads one item per line, skipping blank lines.
fn read_items(
    reader: Box<dyn AsyncRead + Send + Unpin>,
    json_lines: bool,
) -> impl Stream<Item = io::Result<Arc<str>>> + Send + Unpin {
    let mut number = 0;
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    FramedRead::new(reader, codec).filter_map(move |line| {
        number += 1;
        let item = match line {
            Ok(line) if line.trim().is_empty() => None,
            Ok(line) if json_lines => Some(parse_item(&line, number)),
            Ok(line) => Some(Ok(line.into())),
            Err(error) => Some(Err(io::Error::other(format!(
                "line {number} cannot be read ({error}); lines must be UTF-8 and at most 1 MiB long"
            )))),
        };
        std::future::ready(item)
    })
}

fn parse_item(line: &str, number: usize) -> io::Result<Arc<str>> {
    let item: Result<ItemLine, _> = serde_json::from_str(line);
    item.map(|item| item.input).map_err(|error| {
        let remedy = "write {\"input\": TEXT}, or omit --json-lines for plain lines";
        io::Error::other(format!("line {number} is not an item ({error}); {remedy}"))
    })
}

/// Forwards items and sends the first read error to `error_sender`, so that `submit` reports it rather than
/// the aborted upload that it causes.
fn report_read_error(
    items: impl Stream<Item = io::Result<Arc<str>>> + Send + Unpin + 'static,
    error_sender: tokio::sync::oneshot::Sender<CommandError>,
) -> impl Stream<Item = io::Result<Arc<str>>> + Send + 'static {
    let mut error_sender = Some(error_sender);
    items.map(move |item| {
        item.inspect_err(|error| {
            if let Some(error_sender) = error_sender.take() {
                let reason = error.to_string().into();
                // The receiver is dropped if the submission has already ended.
                let _ = error_sender.send(CommandError::BadInput { reason });
            }
        })
    })
}

/// Polls a job until it has no open items, with a progress bar on standard error.
///
/// # Errors
/// [`CallerError`] when the job is unknown or no host answers.
pub async fn wait_until_complete(
    caller: &CallerClient,
    workspace: &str,
    job: &str,
) -> Result<JobReply, CallerError> {
    let progress = ProgressBar::new(0);
    progress.set_style(bar_progress_style());
    loop {
        let reply = caller.job(workspace, job).await?;
        progress.set_length(reply.total.into());
        progress.set_position((reply.total - reply.open).into());
        if reply.open == 0 {
            progress.finish_and_clear();
            return Ok(reply);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn results(
    clients: &CommandClients,
    first: u32,
    page: u32,
    name: &ScopedName,
) -> Result<(), CommandError> {
    let mut next = Some(first);
    while let Some(first) = next {
        let page = clients
            .caller
            .results(&name.workspace, &name.name, first, page.max(1))
            .await?;
        for line in &page.results {
            print_json(line);
        }
        next = page.next;
    }
    Ok(())
}

pub(super) fn bar_progress_style() -> ProgressStyle {
    ProgressStyle::with_template("{wide_bar} {pos}/{len} {elapsed_precise} {msg}")
        .unwrap_or_else(|_| ProgressStyle::default_bar())
}

fn spinner_progress_style() -> ProgressStyle {
    ProgressStyle::with_template("{spinner} {pos} {msg} {elapsed_precise}")
        .unwrap_or_else(|_| ProgressStyle::default_spinner())
}
