//! Callers: online requests with resends, and jobs that are resubmitted, cancelled and read.

use crate::control::HostMode;
use crate::fleet::{
    CHAT_SERVICE, LEDGER_SERVICE, STOP_CUTS_NOTHING, TrialFleet, TrialHost, WORKSPACE,
};
use crate::history::{AttemptResult, ObservedJob, ObservedRequest, is_final};
use crate::http::HttpError;
use fulmarswitch_caller::wire::{
    AnswerEvent, ErrorReply, ItemLine, JobCall, JobReply, OutcomeReply, RanReply, RequestCall,
    ResultPage,
};
use fulmarswitch_http::full_body;
use fulmarswitch_records::{OnlineRequest, SortedIndex};
use futures::StreamExt;
use hyper::{Method, StatusCode};
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a caller resends one request.
const RESEND_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after a request's deadline for which a caller still waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(5);
/// Time for which a caller waits for a response that is not streamed.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between submissions of one request or job.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Default deadline of a request.
const REQUEST_DEADLINE_MS: u64 = 6_000;
/// Maximum number of results on one page.
const PAGE_ITEMS: u32 = 40;

/// One caller with its own random number generator.
pub struct TrialCaller {
    fleet: Arc<TrialFleet>,
    rng: SmallRng,
    number: usize,
}

impl TrialCaller {
    /// Creates a caller; `number` makes its keys and job ids unique.
    #[must_use]
    pub fn new(fleet: Arc<TrialFleet>, rng: SmallRng, number: usize) -> Self {
        Self { fleet, rng, number }
    }

    /// Submits online requests, one after the other, until `end`.
    pub async fn run_online(mut self, end: Instant) {
        let mut count = 0;
        while Instant::now() < end {
            let pause = self.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let request = self.draw_request(count);
            count += 1;
            self.submit_until_done(&request).await;
        }
    }

    /// Submits one job, cancels it in one of three cases, and reads its results until `end`.
    pub async fn run_job(mut self, end: Instant) {
        let pause = self.rng.random_range(0..3_000);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let job = self.draw_job();
        let name = Arc::clone(&job.name);
        let cancels = self.rng.random_ratio(1, 3);
        self.record_job(&job);
        while !self.submit_job(&job).await {
            if Instant::now() > end {
                return;
            }
            tokio::time::sleep(RESEND_INTERVAL).await;
        }
        if self.rng.random_ratio(1, 3) {
            // Submitting an acknowledged job again must have no effect.
            self.submit_job(&job).await;
        }
        if cancels {
            let pause = self.rng.random_range(0..4_000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            while !self.cancel_job(&name).await && Instant::now() < end {
                tokio::time::sleep(RESEND_INTERVAL).await;
            }
        }
        while Instant::now() < end {
            self.read_results(&name, None).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }

    /// Records a job that is about to be submitted.
    pub fn record_job(&self, job: &ObservedJob) {
        let name = Arc::clone(&job.name);
        self.fleet
            .history
            .observations()
            .jobs
            .insert(name, job.clone());
    }

    /// Submits a request until it has an outcome or the resend timeout has passed; one in five requests is
    /// submitted once more after its outcome.
    pub async fn submit_until_done(&mut self, request: &OnlineRequest) {
        let key = Arc::clone(&request.key);
        let observed = ObservedRequest {
            request: request.clone(),
            attempts: Vec::new(),
            reads: Vec::new(),
        };
        self.fleet
            .history
            .observations()
            .keys
            .insert(Arc::clone(&key), observed);
        let end = Instant::now() + RESEND_TIMEOUT;
        let mut resend_once = self.rng.random_ratio(1, 5);
        while Instant::now() < end {
            let Some(host) = self.pick_host() else {
                tokio::time::sleep(RESEND_INTERVAL).await;
                continue;
            };
            let attempt = self.attempt(&host, request).await;
            self.record_attempt(&key, &attempt);
            if matches!(attempt, AttemptResult::Done { .. }) {
                let name = request.full_key();
                self.fleet.history.record_ack(&host.identity.name, &name);
            }
            if let AttemptResult::Done { .. } = attempt {
                if !resend_once {
                    return;
                }
                resend_once = false;
            }
            tokio::time::sleep(RESEND_INTERVAL).await;
        }
    }

    /// Submits a request once through a host.
    pub async fn attempt(&mut self, host: &TrialHost, request: &OnlineRequest) -> AttemptResult {
        let timeout = Duration::from_millis(request.deadline_ms) + ANSWER_GRACE;
        let submitting = submit_request(host, request);
        let attempt = tokio::time::timeout(timeout, submitting).await;
        let Ok(attempt) = attempt else {
            return AttemptResult::Lost;
        };
        let drains = host.is_draining() && host.control.mode() == HostMode::Running;
        if attempt == AttemptResult::Lost && drains {
            let detail = format!("{} at {} while it drained", request.key, host.identity);
            self.fleet
                .history
                .record_violation(STOP_CUTS_NOTHING, detail);
        }
        attempt
    }

    fn record_attempt(&self, key: &Arc<str>, attempt: &AttemptResult) {
        let history = &self.fleet.history;
        let not_run = matches!(
            attempt,
            AttemptResult::Refused {
                ran: RanReply::NotRun
            } | AttemptResult::Done {
                outcome: OutcomeReply::NotRun { .. },
                ..
            }
        );
        let mut violation = None;
        if let Some(observed) = history.observations().keys.get_mut(key) {
            let earlier_unknown = observed.attempts.iter().any(|attempt| !is_not_run(attempt));
            if not_run && !earlier_unknown && !observed.request.idempotent {
                let runs = self.fleet.plain_run_count(&observed.request.input);
                if runs > 0 {
                    violation = Some(format!("{key} ran {runs} times: {attempt:?}"));
                }
            }
            observed.attempts.push(attempt.clone());
        }
        if let Some(detail) = violation {
            history.record_violation("what is refused as not run did not run", detail);
        }
    }

    /// Submits a job once through a random host and returns whether it was acknowledged.
    pub async fn submit_job(&mut self, job: &ObservedJob) -> bool {
        let Some(host) = self.pick_host() else {
            return false;
        };
        let body = job_body(job);
        let call = host.http.call(Method::POST, "/v1/jobs", full_body(body));
        let Ok(Ok(reply)) = tokio::time::timeout(CALL_TIMEOUT, call).await else {
            return false;
        };
        let accepted = reply.status == StatusCode::OK;
        if accepted
            && let Some(observed) = self.fleet.history.observations().jobs.get_mut(&job.name)
        {
            observed.accepted = true;
        }
        if accepted {
            let name = format!("{WORKSPACE}/{}", job.name);
            self.fleet.history.record_ack(&host.identity.name, &name);
        }
        accepted
    }

    /// Cancels a job through a random host and returns whether the cancellation was acknowledged.
    pub async fn cancel_job(&mut self, name: &Arc<str>) -> bool {
        let Some(host) = self.pick_host() else {
            return false;
        };
        if let Some(observed) = self.fleet.history.observations().jobs.get_mut(name) {
            observed.cancel_requested = true;
        }
        let path = format!("/v1/jobs/{WORKSPACE}/{name}");
        let call = host.http.call(Method::DELETE, &path, full_body(""));
        let Ok(Ok(reply)) = tokio::time::timeout(CALL_TIMEOUT, call).await else {
            return false;
        };
        let Some(report) = reply.read::<JobReply>() else {
            return false;
        };
        let history = &self.fleet.history;
        let now = history.now();
        if report.is_cancelled
            && let Some(observed) = history.observations().jobs.get_mut(name)
        {
            observed.cancelled_at = Some(observed.cancelled_at.unwrap_or(now));
        }
        reply.status == StatusCode::OK
    }

    /// Reads all results of a job through the host, or through random hosts if it is `None`, and compares
    /// them with earlier reads. Returns the number of results, or `None` if a page could not be read.
    pub async fn read_results(
        &mut self,
        name: &Arc<str>,
        host: Option<Arc<TrialHost>>,
    ) -> Option<usize> {
        let mut first = Some(0);
        let mut count = 0;
        while let Some(from) = first {
            let host = host.clone().or_else(|| self.pick_host())?;
            let path =
                format!("/v1/jobs/{WORKSPACE}/{name}/results?first={from}&count={PAGE_ITEMS}");
            let reply = tokio::time::timeout(CALL_TIMEOUT, host.http.get(&path)).await;
            let page: ResultPage = reply.ok()?.ok()?.read()?;
            first = page.next;
            let mut violations = Vec::new();
            if let Some(observed) = self.fleet.history.observations().jobs.get_mut(name) {
                for line in page.results {
                    count += 1;
                    let previous = observed.reads.insert(line.index, line.outcome.clone());
                    if previous.is_some_and(|previous| previous != line.outcome) {
                        violations.push(format!("{name} item {}: {:?}", line.index, line.outcome));
                    }
                }
            }
            for detail in violations {
                self.fleet
                    .history
                    .record_violation("one outcome for all readers", detail);
            }
        }
        Some(count)
    }

    /// Chooses a random host; `None` if it does not run or its address is no longer cached.
    fn pick_host(&mut self) -> Option<Arc<TrialHost>> {
        let at = self.rng.random_range(0..self.fleet.size());
        self.fleet.host(at).filter(|host| host.is_address_cached())
    }

    fn draw_request(&mut self, count: usize) -> OnlineRequest {
        let key = format!("key-{}-{count}", self.number);
        let max_tokens = self.rng.random_range(1..60);
        OnlineRequest {
            deadline_ms: self.rng.random_range(1_500..6_000),
            ..make_request(&key, max_tokens, self.rng.random_ratio(3, 5))
        }
    }

    fn draw_job(&mut self) -> ObservedJob {
        let name = format!("job-{}", self.number);
        let items = self.rng.random_range(1..90);
        let max_tokens = self.rng.random_range(4..80);
        make_job(&name, items, max_tokens, self.rng.random_ratio(3, 5))
    }
}

/// Makes a job whose inputs contain its id.
#[must_use]
pub fn make_job(name: &str, items: usize, max_tokens: u32, idempotent: bool) -> ObservedJob {
    ObservedJob {
        name: name.into(),
        inputs: (0..items)
            .map(|item| format!("item {item} of {name}").into())
            .collect(),
        max_tokens,
        idempotent,
        accepted: false,
        cancel_requested: false,
        cancelled_at: None,
        reads: SortedIndex::new(),
    }
}

/// Makes a request whose input contains its key.
#[must_use]
pub fn make_request(key: &str, max_tokens: u32, idempotent: bool) -> OnlineRequest {
    let service = if idempotent {
        CHAT_SERVICE
    } else {
        LEDGER_SERVICE
    };
    OnlineRequest {
        key: key.into(),
        workspace: WORKSPACE.into(),
        service: service.into(),
        input: format!("input of {key}").into(),
        max_tokens,
        deadline_ms: REQUEST_DEADLINE_MS,
        idempotent,
    }
}

/// Submits a request once through a host and reads its answer to the end.
pub async fn submit_request(host: &TrialHost, request: &OnlineRequest) -> AttemptResult {
    submit_request_with(host, request, || ()).await.1
}

/// Submits a request once and reads its answer to the end; also returns the value of `now` at the first
/// text.
pub async fn submit_request_with<T>(
    host: &TrialHost,
    request: &OnlineRequest,
    now: impl Fn() -> T,
) -> (Option<T>, AttemptResult) {
    let mut first = None;
    let attempt = read_answer(host, request, || {
        first = first.take().or_else(|| Some(now()));
    })
    .await;
    (first, attempt)
}

async fn read_answer(
    host: &TrialHost,
    request: &OnlineRequest,
    mut on_text: impl FnMut(),
) -> AttemptResult {
    let call = RequestCall {
        key: Arc::clone(&request.key),
        workspace: Arc::clone(&request.workspace),
        service: Arc::clone(&request.service),
        input: Arc::clone(&request.input),
        max_tokens: request.max_tokens,
        deadline_ms: request.deadline_ms,
        idempotent: request.idempotent,
    };
    let body = full_body(serde_json::to_vec(&call).unwrap_or_default());
    let opening = host.http.open(Method::POST, "/v1/requests", body);
    let response = match opening.await {
        Ok(response) => response,
        Err(HttpError::Closed) => return AttemptResult::NotReached,
        Err(HttpError::Broken) => return AttemptResult::Lost,
    };
    if response.status() != StatusCode::OK {
        return read_refusal(response).await;
    }
    let mut streamed = String::new();
    let mut events = host.http.events(response.into_body());
    while let Some(Some(line)) = events.next().await {
        match serde_json::from_str(&line) {
            Ok(AnswerEvent::Text { text }) => {
                on_text();
                streamed.push_str(&text);
            }
            Ok(AnswerEvent::Reset) => streamed.clear(),
            Ok(AnswerEvent::Done { outcome, recorded }) => {
                return AttemptResult::Done {
                    outcome,
                    recorded,
                    streamed,
                };
            }
            Ok(AnswerEvent::Error(error)) => return AttemptResult::Refused { ran: error.ran },
            Err(_) => return AttemptResult::Lost,
        }
    }
    AttemptResult::Lost
}

/// Reads the outcome of a key through a host; `None` if the call fails or the key is not known.
pub async fn read_key(host: &TrialHost, key: &str) -> Option<OutcomeReply> {
    let path = format!("/v1/requests/{WORKSPACE}/{key}");
    let reply = tokio::time::timeout(CALL_TIMEOUT, host.http.get(&path)).await;
    reply.ok()?.ok()?.read()
}

/// Reads the progress of a job through a host; `None` if the call fails or the job is not known.
pub async fn read_job(host: &TrialHost, name: &str) -> Option<JobReply> {
    let path = format!("/v1/jobs/{WORKSPACE}/{name}");
    let reply = tokio::time::timeout(CALL_TIMEOUT, host.http.get(&path)).await;
    reply.ok()?.ok()?.read()
}

/// Returns the body of a job submission: the job and then its items, one JSON value per line.
#[must_use]
pub fn job_body(job: &ObservedJob) -> String {
    let service = if job.idempotent {
        CHAT_SERVICE
    } else {
        LEDGER_SERVICE
    };
    let call = JobCall {
        job: Arc::clone(&job.name),
        workspace: WORKSPACE.into(),
        service: service.into(),
        due_ms: 0,
        max_tokens: job.max_tokens,
        idempotent: job.idempotent,
    };
    let mut lines = vec![serde_json::to_string(&call).unwrap_or_default()];
    for input in &job.inputs {
        let line = ItemLine {
            input: Arc::clone(input),
        };
        lines.push(serde_json::to_string(&line).unwrap_or_default());
    }
    lines.join("\n")
}

async fn read_refusal(response: hyper::Response<hyper::body::Incoming>) -> AttemptResult {
    use http_body_util::BodyExt;
    let Ok(body) = response.into_body().collect().await else {
        return AttemptResult::Lost;
    };
    match serde_json::from_slice::<ErrorReply>(&body.to_bytes()) {
        Ok(error) => AttemptResult::Refused { ran: error.ran },
        Err(_) => AttemptResult::Lost,
    }
}

fn is_not_run(attempt: &AttemptResult) -> bool {
    match attempt {
        AttemptResult::Done { outcome, .. } => !is_final(outcome) && *outcome != OutcomeReply::Open,
        AttemptResult::Refused { ran } => *ran == RanReply::NotRun,
        AttemptResult::NotReached => true,
        AttemptResult::Lost => false,
    }
}
