//! Handles calls for batch jobs: streamed submission, counts, results and cancellation.

use super::Frontend;
use super::online::{check_name, parse_body};
use super::reply::{CallError, unexpected_reply};
use crate::jobs::LOG_FULL_RETRY_MS;
use fulmarswitch_caller::wire::{
    ItemLine, JobCall, JobReply, OutcomeReply, ResultLine, ResultPage,
};
use fulmarswitch_decide::shard::jobs::{chunk_digest, job_digest};
use fulmarswitch_http::lines::read_lines;
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response};
use fulmarswitch_peer::message::{ItemBatch, JobName, JobReport, ResultRange};
use fulmarswitch_peer::{PeerMessage, PeerReply};
use fulmarswitch_records::JobHeader;
use fulmarswitch_records::record::JobSeal;
use futures::StreamExt;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of items in one batch of a submission.
const MAX_BATCH_ITEMS: usize = 256;
/// Size of the inputs of one batch, in bytes, from which no more are added to it.
const MAX_BATCH_BYTES: usize = 128 << 10;
/// Time for which the rest of a refused submission is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of results in a page if the caller does not set `count`.
const DEFAULT_PAGE_RESULTS: u32 = 100;
/// Pause before a batch is sent again while the append queue is full.
const LOG_FULL_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that a batch is sent again while the append queue is full.
const MAX_LOG_FULL_RETRIES: u32 = 50;

impl Frontend {
    pub(super) async fn submit_job(&self, request: HttpRequest) -> Result<HttpResponse, CallError> {
        let mut lines = read_lines(request.into_body());
        let received = self.receive_job(&mut lines).await;
        if received.is_err() {
            // Read the rest: otherwise a caller that is still sending would get a broken connection
            // instead of the refusal. One that sends for longer than the timeout still does.
            let rest = async { while lines.next().await.is_some() {} };
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
        }
        received
    }

    async fn receive_job(
        &self,
        lines: &mut (impl futures::Stream<Item = std::io::Result<String>> + Unpin),
    ) -> Result<HttpResponse, CallError> {
        let first = next_line(lines)
            .await?
            .ok_or_else(|| bad_input("the body is empty"))?;
        let call: JobCall = parse_body(first.as_bytes())?;
        for (field, value) in [("job", &call.job), ("workspace", &call.workspace)] {
            check_name(field, value)?;
        }
        self.check_service(&call.service, &call.workspace)?;
        let header = JobHeader::from(call);
        let name = header.full_name();
        let known = match self
            .call_owner(&name, PeerMessage::BeginJob(header.clone()))
            .await?
        {
            PeerReply::Job(report) => Some(report),
            PeerReply::Received { .. } => None,
            reply => return Err(unexpected_reply(reply, "the job")),
        };
        let seal = self.send_items(header, lines, known.is_some()).await?;
        if let Some(report) = known {
            return check_same_job(&seal, &report);
        }
        match self.call_owner(&name, PeerMessage::SealJob(seal)).await? {
            PeerReply::Job(report) => Ok(json_response(StatusCode::OK, &job_reply(&report))),
            reply => Err(unexpected_reply(reply, "the job")),
        }
    }

    /// Forwards the items in batches and returns the seal. If the job is known already, its items are
    /// only counted and hashed.
    async fn send_items(
        &self,
        header: JobHeader,
        lines: &mut (impl futures::Stream<Item = std::io::Result<String>> + Unpin),
        known: bool,
    ) -> Result<JobSeal, CallError> {
        let job = header.full_name();
        let mut digests = Vec::new();
        let mut first = 0;
        let mut more = true;
        while more {
            let mut inputs: Vec<Arc<str>> = Vec::new();
            let mut bytes = 0;
            while inputs.len() < MAX_BATCH_ITEMS && bytes < MAX_BATCH_BYTES {
                let Some(line) = next_line(lines).await? else {
                    more = false;
                    break;
                };
                let number = first as usize + inputs.len() + 1;
                let item: ItemLine = serde_json::from_str(&line).map_err(|error| {
                    bad_input(&format!("item {number} cannot be read: {error}"))
                })?;
                bytes += item.input.len();
                inputs.push(item.input);
            }
            if inputs.is_empty() {
                break;
            }
            digests.push(chunk_digest(&inputs));
            let count = u32::try_from(inputs.len()).unwrap_or(u32::MAX);
            if !known {
                self.send_batch(ItemBatch {
                    job: Arc::clone(&job),
                    first,
                    inputs,
                })
                .await?;
            }
            first += count;
        }
        Ok(JobSeal {
            header,
            total: first,
            digest: job_digest(digests.into_iter()),
        })
    }

    async fn send_batch(&self, batch: ItemBatch) -> Result<(), CallError> {
        let mut retries = 0;
        loop {
            match self
                .call_owner(&batch.job, PeerMessage::PutItems(batch.clone()))
                .await?
            {
                PeerReply::Received { .. } => return Ok(()),
                PeerReply::Refused { retry_after_ms, .. }
                    if (1..=LOG_FULL_RETRY_MS).contains(&retry_after_ms)
                        && retries < MAX_LOG_FULL_RETRIES =>
                {
                    retries += 1;
                    tokio::time::sleep(LOG_FULL_RETRY_INTERVAL).await;
                }
                reply => return Err(unexpected_reply(reply, "the job")),
            }
        }
    }

    pub(super) async fn read_job(
        &self,
        workspace: &str,
        job: &str,
    ) -> Result<HttpResponse, CallError> {
        self.job_call(workspace, job, PeerMessage::ReadJob).await
    }

    pub(super) async fn cancel_job(
        &self,
        workspace: &str,
        job: &str,
    ) -> Result<HttpResponse, CallError> {
        self.job_call(workspace, job, PeerMessage::CancelJob).await
    }

    async fn job_call(
        &self,
        workspace: &str,
        job: &str,
        message: impl FnOnce(JobName) -> PeerMessage,
    ) -> Result<HttpResponse, CallError> {
        let job: Arc<str> = format!("{workspace}/{job}").into();
        match self
            .call_owner(
                &job,
                message(JobName {
                    job: Arc::clone(&job),
                }),
            )
            .await?
        {
            PeerReply::Job(report) => Ok(json_response(StatusCode::OK, &job_reply(&report))),
            reply => Err(unexpected_reply(reply, "the job")),
        }
    }

    pub(super) async fn read_results(
        &self,
        workspace: &str,
        job: &str,
        request: &HttpRequest,
    ) -> Result<HttpResponse, CallError> {
        let job: Arc<str> = format!("{workspace}/{job}").into();
        let first = query_number(request, "first")?.unwrap_or(0);
        let count = query_number(request, "count")?.unwrap_or(DEFAULT_PAGE_RESULTS);
        let name = JobName {
            job: Arc::clone(&job),
        };
        let total = match self.call_owner(&job, PeerMessage::ReadJob(name)).await? {
            PeerReply::Job(report) => report.total,
            reply => return Err(unexpected_reply(reply, "the job")),
        };
        let range = ResultRange {
            job: Arc::clone(&job),
            first,
            count,
        };
        match self
            .call_owner(&job, PeerMessage::ReadResults(range))
            .await?
        {
            PeerReply::Results(results) => {
                let end = first.saturating_add(count).min(total);
                let last = results.last().map_or(end, |(item, _)| item + 1);
                let next = if results.is_empty() { end } else { last };
                let results = results
                    .into_iter()
                    .map(|(index, outcome)| ResultLine {
                        index,
                        outcome: OutcomeReply::from(outcome),
                    })
                    .collect();
                let page = ResultPage {
                    results,
                    next: (next < total).then_some(next),
                };
                Ok(json_response(StatusCode::OK, &page))
            }
            reply => Err(unexpected_reply(reply, "the job")),
        }
    }
}

async fn next_line(
    lines: &mut (impl futures::Stream<Item = std::io::Result<String>> + Unpin),
) -> Result<Option<String>, CallError> {
    loop {
        match lines.next().await {
            None => return Ok(None),
            Some(Ok(line)) if line.trim().is_empty() => {}
            Some(Ok(line)) => return Ok(Some(line)),
            Some(Err(error)) => return Err(bad_input(&error.to_string())),
        }
    }
}

fn check_same_job(seal: &JobSeal, report: &JobReport) -> Result<HttpResponse, CallError> {
    if (seal.total, seal.digest) == (report.total, report.digest) {
        return Ok(json_response(StatusCode::OK, &job_reply(report)));
    }
    let reason = "the job id stands for a job with other items; choose a new id";
    Err(CallError::Conflict {
        reason: reason.into(),
    })
}

fn job_reply(report: &JobReport) -> JobReply {
    JobReply {
        job: Arc::clone(&report.header.job),
        workspace: Arc::clone(&report.header.workspace),
        total: report.total,
        open: report.open,
        done: report.done,
        failed: report.failed,
        may_have_run: report.may_have_run,
        cancelled: report.cancelled,
        is_cancelled: report.is_cancelled,
    }
}

fn query_number(request: &HttpRequest, name: &str) -> Result<Option<u32>, CallError> {
    let query = request.uri().query().unwrap_or("");
    let mut values = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let number = value
        .parse()
        .map_err(|_| bad_input(&format!("{name}={value} is not a number")))?;
    Ok(Some(number))
}

fn bad_input(reason: &str) -> CallError {
    CallError::BadInput {
        reason: reason.into(),
    }
}
