//! A client that finds its way around lost hosts.

use crate::wire::{
    AddressReply, AnswerEvent, ErrorReply, JobCall, JobReply, OutcomeReply, RequestCall, ResultPage,
};
use bytes::Bytes;
use fulmarswitch_http::client::{encode_json, read_reply};
use fulmarswitch_http::lines::read_events;
use fulmarswitch_http::{HttpBody, HttpClient, HttpError, HttpReply, full_body, stream_body};
use futures::{Stream, StreamExt};
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Pause between attempts after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Silence after which an answer is asked for again, at another host; the key makes that harmless.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time beyond the deadline for which the last event of an answer is waited for.
const LAST_EVENT_GRACE: Duration = Duration::from_secs(4);
/// Time for which a client keeps to the one address it was given.
const PINNED_TTL: Duration = Duration::from_hours(24);
/// Time allowed for a call that does not stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Errors of a caller's call.
#[derive(Clone, Debug, Snafu)]
pub enum CallerError {
    /// The system refused the call or reports an error.
    #[snafu(display("{}", reply.error))]
    Refused {
        /// What the system says.
        reply: ErrorReply,
    },
    /// No host answered in time.
    #[snafu(display("no host answered ({cause}); check the addresses given with --host"))]
    NoAnswer {
        /// The last failure.
        cause: Arc<str>,
    },
}

/// A whole answer, with when its parts came.
#[derive(Clone, Debug)]
pub struct TimedAnswer {
    /// The outcome.
    pub outcome: OutcomeReply,
    /// Whether the outcome stands on the log.
    pub recorded: bool,
    /// Text put together from the parts, to be compared with the outcome.
    pub streamed: String,
    /// When each part came, counted from the start of the call.
    pub parts: Vec<Duration>,
}

/// Client of the system.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: HttpClient,
    seeds: Arc<[Arc<str>]>,
    known: Arc<Mutex<KnownAddresses>>,
}

#[derive(Debug)]
struct KnownAddresses {
    addresses: Vec<Arc<str>>,
    until: Instant,
    next: usize,
}

impl CallerClient {
    /// Creates a client that asks any of `seeds`, each `ip:port`, which addresses to use.
    #[must_use]
    pub fn new(seeds: Vec<Arc<str>>) -> Self {
        let known = KnownAddresses {
            addresses: Vec::new(),
            until: Instant::now(),
            next: 0,
        };
        let known = Arc::new(Mutex::new(known));
        Self {
            http: HttpClient::new(),
            seeds: seeds.into(),
            known,
        }
    }

    /// Creates a client that talks to one host only and asks nobody which addresses to use.
    ///
    /// ```
    /// let client = fulmarswitch_caller::client::CallerClient::pinned("127.0.0.1:7001".into());
    /// ```
    #[must_use]
    pub fn pinned(address: Arc<str>) -> Self {
        let client = Self::new(vec![Arc::clone(&address)]);
        client.note(AddressReply {
            addresses: vec![address],
            ttl_ms: u64::try_from(PINNED_TTL.as_millis()).unwrap_or(u64::MAX),
        });
        client
    }

    /// Submits a request and collects its answer, resending under the same key until the deadline.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn request(&self, call: &RequestCall) -> Result<TimedAnswer, CallerError> {
        self.request_with(call, |_| {}).await
    }

    /// Like [`Self::request`], and shows each event as it comes.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn request_with(
        &self,
        call: &RequestCall,
        mut show: impl FnMut(&AnswerEvent),
    ) -> Result<TimedAnswer, CallerError> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(call.deadline_ms);
        loop {
            let attempt = self.attempt(call, started, &mut show);
            let error = match tokio::time::timeout_at(deadline + LAST_EVENT_GRACE, attempt).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error @ CallerError::Refused { .. })) => return Err(error),
                Ok(Err(error)) => error,
                Err(_) => no_answer("the deadline passed without an answer"),
            };
            self.forget();
            if Instant::now() + RETRY_PAUSE >= deadline {
                return Err(error);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(
        &self,
        call: &RequestCall,
        started: Instant,
        show: &mut impl FnMut(&AnswerEvent),
    ) -> Result<TimedAnswer, CallerError> {
        let url = format!("http://{}/v1/requests", self.address().await?);
        let body = encode_json(&url, call)?;
        let opening = self.http.open(Method::POST, &url, full_body(body));
        let response = unless_silent(opening).await??;
        if !response.status().is_success() {
            return Err(refusal(&read_reply(&url, response).await?));
        }
        let mut events = read_events(response.into_body());
        let mut streamed = String::new();
        let mut parts = Vec::new();
        while let Some(event) = unless_silent(events.next()).await? {
            let data = event.map_err(|error| no_answer(&error.to_string()))?;
            let event: AnswerEvent =
                serde_json::from_str(&data).map_err(|error| no_answer(&error.to_string()))?;
            show(&event);
            match event {
                AnswerEvent::Text { text } => {
                    streamed.push_str(&text);
                    parts.push(started.elapsed());
                }
                AnswerEvent::Reset => {
                    streamed.clear();
                    parts.clear();
                }
                AnswerEvent::Done { outcome, recorded } => {
                    return Ok(TimedAnswer {
                        outcome,
                        recorded,
                        streamed,
                        parts,
                    });
                }
                AnswerEvent::Error(reply) => return Err(CallerError::Refused { reply }),
            }
        }
        Err(no_answer("the answer ended early"))
    }

    /// Submits a job; `items` are the inputs.
    ///
    /// # Errors
    /// [`CallerError`] with the failure; submitting the same job again is harmless.
    pub async fn submit(
        &self,
        call: &JobCall,
        items: impl Stream<Item = Arc<str>> + Send + 'static,
    ) -> Result<JobReply, CallerError> {
        self.submit_checked(call, items.map(Ok)).await
    }

    /// Submits a job whose items may fail to be read. The first failure breaks the submission off, so that
    /// a job is never accepted with a part of its items.
    ///
    /// # Errors
    /// [`CallerError`] with the failure; submitting the same job again is harmless.
    pub async fn submit_checked(
        &self,
        call: &JobCall,
        items: impl Stream<Item = io::Result<Arc<str>>> + Send + 'static,
    ) -> Result<JobReply, CallerError> {
        let url = format!("http://{}/v1/jobs", self.address().await?);
        let first = encode_json(&url, call)?;
        let lines = items.map(|item| {
            let input = item?;
            Ok::<Bytes, io::Error>(serde_json::json!({ "input": input }).to_string().into())
        });
        let lines = futures::stream::once(std::future::ready(Ok(first))).chain(lines);
        let chunks = lines.map(|line| Ok([&line?[..], b"\n"].concat().into()));
        let response = self
            .http
            .open(Method::POST, &url, stream_body(chunks))
            .await?;
        let reply = read_reply(&url, response).await?;
        parse(&reply)
    }

    /// Reads the counts of a job.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn job(&self, workspace: &str, job: &str) -> Result<JobReply, CallerError> {
        self.get(&format!("/v1/jobs/{workspace}/{job}")).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn cancel(&self, workspace: &str, job: &str) -> Result<JobReply, CallerError> {
        self.send(
            Method::DELETE,
            &format!("/v1/jobs/{workspace}/{job}"),
            full_body(""),
        )
        .await
    }

    /// Reads one page of a job's results.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn results(
        &self,
        workspace: &str,
        job: &str,
        first: u32,
        count: u32,
    ) -> Result<ResultPage, CallerError> {
        let path = format!("/v1/jobs/{workspace}/{job}/results?first={first}&count={count}");
        self.get(&path).await
    }

    /// Reads the outcome of a request.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn result(&self, workspace: &str, key: &str) -> Result<OutcomeReply, CallerError> {
        self.get(&format!("/v1/requests/{workspace}/{key}")).await
    }

    /// Makes a call with a JSON answer, trying other hosts while none answers.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallerError> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            match self.send(Method::GET, path, full_body("")).await {
                Err(error @ CallerError::NoAnswer { .. }) if Instant::now() >= deadline => {
                    return Err(error);
                }
                Err(CallerError::NoAnswer { .. }) => tokio::time::sleep(RETRY_PAUSE).await,
                other => return other,
            }
        }
    }

    /// Reads once, from one host.
    ///
    /// # Errors
    /// [`CallerError`] with the failure.
    pub async fn get_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallerError> {
        self.send(Method::GET, path, full_body("")).await
    }

    /// Makes one call with a JSON body and a JSON answer.
    ///
    /// # Errors
    /// [`CallerError`] with the failure.
    pub async fn send_json<T: DeserializeOwned, B: serde::Serialize + Sync>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, CallerError> {
        let bytes = encode_json(path, body)?;
        self.send(method, path, full_body(bytes)).await
    }

    /// Makes one call with a JSON answer.
    ///
    /// # Errors
    /// [`CallerError`] with the failure.
    pub async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: HttpBody,
    ) -> Result<T, CallerError> {
        let url = format!("http://{}{path}", self.address().await?);
        let exchange = async {
            let response = self.http.open(method, &url, body).await?;
            read_reply(&url, response).await
        };
        let reply = match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => {
                self.forget();
                return Err(error.into());
            }
            Err(_) => {
                self.forget();
                return Err(no_answer("timeout"));
            }
        };
        parse(&reply)
    }

    /// Returns an address to use, asking the seeds when the last answer is old.
    ///
    /// # Errors
    /// [`CallerError`] with the last failure.
    pub async fn address(&self) -> Result<Arc<str>, CallerError> {
        if let Some(address) = self.take_known() {
            return Ok(address);
        }
        let mut last = no_answer("no address was given");
        for seed in self.seeds.iter() {
            let url = format!("http://{seed}/v1/addresses");
            let asking = self.http.call(Method::GET, &url, Bytes::new());
            let reply = match tokio::time::timeout(Duration::from_secs(1), asking).await {
                Ok(Ok(reply)) => reply,
                Ok(Err(error)) => {
                    last = error.into();
                    continue;
                }
                Err(_) => continue,
            };
            let Ok(answer) = parse::<AddressReply>(&reply) else {
                continue;
            };
            self.note(answer);
            if let Some(address) = self.take_known() {
                return Ok(address);
            }
        }
        Err(last)
    }

    fn take_known(&self) -> Option<Arc<str>> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if Instant::now() >= known.until || known.addresses.is_empty() {
            return None;
        }
        known.next += 1;
        Some(known.addresses[known.next % known.addresses.len()].clone())
    }

    fn note(&self, answer: AddressReply) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.addresses = answer.addresses;
        known.until = Instant::now() + Duration::from_millis(answer.ttl_ms);
    }

    fn forget(&self) {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .addresses
            .clear();
    }
}

impl From<HttpError> for CallerError {
    fn from(error: HttpError) -> Self {
        no_answer(&error.to_string())
    }
}

/// Waits for the next sign of life of the host that answers.
async fn unless_silent<T>(next: impl Future<Output = T>) -> Result<T, CallerError> {
    tokio::time::timeout(SILENCE_LIMIT, next)
        .await
        .map_err(|_| no_answer("the host is silent"))
}

fn parse<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, CallerError> {
    if reply.status.is_success() {
        Ok(reply.json()?)
    } else {
        Err(refusal(reply))
    }
}

fn refusal(reply: &HttpReply) -> CallerError {
    match reply.json::<ErrorReply>() {
        Ok(error) => CallerError::Refused { reply: error },
        Err(_) if reply.status == StatusCode::NOT_FOUND => no_answer("the host knows no such call"),
        Err(error) => no_answer(&error.to_string()),
    }
}

fn no_answer(cause: &str) -> CallerError {
    CallerError::NoAnswer {
        cause: cause.into(),
    }
}
