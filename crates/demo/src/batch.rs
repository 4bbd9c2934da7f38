//! Submits a batch job to the engine service and checks every result.

use crate::online::{ENGINE_SERVICE, WORKSPACE};
use crate::report::DemoReport;
use fulmarswitch_caller::client::{CallerClient, CallerError};
use fulmarswitch_caller::wire::{JobCall, JobReply, OutcomeReply};
use fulmarswitch_standins::engine::whole_answer;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Maximum number of tokens generated per item.
const MAX_TOKENS: u32 = 32;
/// Number of results requested per page.
const PAGE_ITEMS: u32 = 500;
/// Delay before a submission is retried, and interval at which a job is polled.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Creates an idempotent job that is due `due` from now.
#[must_use]
pub fn make_job(job: &str, due: Duration) -> JobCall {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    JobCall {
        job: job.into(),
        workspace: WORKSPACE.into(),
        service: ENGINE_SERVICE.into(),
        due_ms: u64::try_from((now + due).as_millis()).unwrap_or(u64::MAX),
        max_tokens: MAX_TOKENS,
        idempotent: true,
    }
}

/// Returns the input of item `index` of a job.
#[must_use]
pub fn item_input(job: &str, index: u32) -> Arc<str> {
    format!("motor log {job} {index}").into()
}

/// Submits the job and retries on any error until `limit` has passed. Submissions are idempotent, so retries are
/// safe.
///
/// # Errors
/// [`CallerError`] of the last attempt when the job was not accepted within `limit`.
pub async fn submit(
    client: &CallerClient,
    call: &JobCall,
    items: u32,
    limit: Duration,
) -> Result<JobReply, CallerError> {
    let deadline = Instant::now() + limit;
    loop {
        let job = Arc::clone(&call.job);
        let inputs = (0..items).map(move |index| item_input(&job, index));
        match client.submit(call, futures::stream::iter(inputs)).await {
            Ok(reply) => return Ok(reply),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Polls the job until no item is open. Returns `None` if items are still open after `limit`.
pub async fn wait_until_complete(
    client: &CallerClient,
    call: &JobCall,
    limit: Duration,
) -> Option<JobReply> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if let Ok(reply) = client.job(&call.workspace, &call.job).await
            && reply.open == 0
        {
            return Some(reply);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    None
}

/// Reads all results, checks each against the expected answer, and adds them to `report`. Prints incorrect ones.
///
/// # Errors
/// [`CallerError`] when a page cannot be read.
pub async fn count_batch(
    client: &CallerClient,
    call: &JobCall,
    items: u32,
    report: &mut DemoReport,
) -> Result<(), CallerError> {
    let mut counts = vec![0_u32; items as usize];
    let mut correct = vec![false; items as usize];
    let mut next = Some(0);
    while let Some(first) = next {
        let page = client
            .results(&call.workspace, &call.job, first, PAGE_ITEMS)
            .await?;
        for line in page.results {
            let index = line.index as usize;
            counts[index] += 1;
            let expected = whole_answer(&item_input(&call.job, line.index), call.max_tokens);
            correct[index] =
                matches!(&line.outcome, OutcomeReply::Done { text } if **text == *expected);
            if !correct[index] {
                println!("item {index}: {:?}", line.outcome);
            }
        }
        next = page.next;
    }
    let count = |condition: bool| u64::from(condition);
    for (results, correct) in counts.into_iter().zip(correct) {
        report.batch += 1;
        report.batch_answered += count(correct && results == 1);
        report.lost += count(results == 0 || !correct);
        report.doubled += count(results > 1);
    }
    Ok(())
}
