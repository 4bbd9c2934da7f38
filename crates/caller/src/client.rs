//! A client with failover between hosts.

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

/// Delay before an attempt is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time without an event after which a request is resent to another host. The idempotency key makes this
/// safe.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the deadline during which the client still waits for the last event of an answer.
const LAST_EVENT_GRACE: Duration = Duration::from_secs(4);
/// Lifetime of the address of a pinned client.
const PINNED_ADDRESS_TTL: Duration = Duration::from_hours(24);
/// Timeout of an address look-up at one seed.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call without a streamed answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Errors of [`CallerClient`].
#[derive(Clone, Debug, Snafu)]
pub enum CallerError {
    /// A host refused the call or reported an error.
    #[snafu(display("{}", reply.error))]
    Refused {
        /// The error as the host reported it.
        reply: ErrorReply,
    },
    /// No host returned a usable response in time.
    #[snafu(display("no host answered ({cause}); check the addresses given with --host"))]
    NoAnswer {
        /// Cause of the last failure.
        cause: Arc<str>,
    },
}

/// A complete answer, with the arrival times of its parts.
#[derive(Clone, Debug)]
pub struct TimedAnswer {
    /// The final outcome.
    pub outcome: OutcomeReply,
    /// Whether the outcome is in the log.
    pub recorded: bool,
    /// Concatenation of the streamed parts, which should equal the text of the outcome.
    pub streamed: String,
    /// Arrival time of each part, relative to the start of the call.
    pub part_times: Vec<Duration>,
}

/// Client of the callers' API. Clones share connections and cached addresses.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: HttpClient,
    seeds: Arc<[Arc<str>]>,
    cache: Arc<Mutex<AddressCache>>,
}

#[derive(Debug)]
struct AddressCache {
    addresses: Vec<Arc<str>>,
    expires_at: Instant,
    next: usize,
}

impl CallerClient {
    /// Creates a client that gets the addresses to use from any of `seeds`, each `ip:port`.
    #[must_use]
    pub fn new(seeds: Vec<Arc<str>>) -> Self {
        let cache = AddressCache {
            addresses: Vec::new(),
            expires_at: Instant::now(),
            next: 0,
        };
        let cache = Arc::new(Mutex::new(cache));
        Self {
            http: HttpClient::new(),
            seeds: seeds.into(),
            cache,
        }
    }

    /// Creates a client that sends its calls to one host and does not look up addresses first. After a
    /// failed call it looks them up at that host, like any other client.
    ///
    /// ```
    /// let client = fulmarswitch_caller::client::CallerClient::pinned("127.0.0.1:7001".into());
    /// ```
    #[must_use]
    pub fn pinned(address: Arc<str>) -> Self {
        let client = Self::new(vec![Arc::clone(&address)]);
        client.cache_addresses(AddressReply {
            addresses: vec![address],
            ttl_ms: u64::try_from(PINNED_ADDRESS_TTL.as_millis()).unwrap_or(u64::MAX),
        });
        client
    }

    /// Submits a request and collects its answer. A failed attempt is repeated under the same key until the
    /// deadline.
    ///
    /// # Errors
    /// [`CallerError`] of the last attempt.
    pub async fn request(&self, call: &RequestCall) -> Result<TimedAnswer, CallerError> {
        self.request_with(call, |_| {}).await
    }

    /// Like [`Self::request`], and calls `on_event` for each event as it arrives.
    ///
    /// # Errors
    /// [`CallerError`] of the last attempt.
    pub async fn request_with(
        &self,
        call: &RequestCall,
        mut on_event: impl FnMut(&AnswerEvent),
    ) -> Result<TimedAnswer, CallerError> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(call.deadline_ms);
        loop {
            let attempt = self.attempt(call, started, &mut on_event);
            let error = match tokio::time::timeout_at(deadline + LAST_EVENT_GRACE, attempt).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error @ CallerError::Refused { .. })) => return Err(error),
                Ok(Err(error)) => error,
                Err(_) => no_answer("the deadline passed without an answer"),
            };
            self.clear_cached_addresses();
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(error);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(
        &self,
        call: &RequestCall,
        started: Instant,
        on_event: &mut impl FnMut(&AnswerEvent),
    ) -> Result<TimedAnswer, CallerError> {
        let url = format!("http://{}/v1/requests", self.address().await?);
        let body = encode_json(&url, call)?;
        let opening = self.http.open(Method::POST, &url, full_body(body));
        let response = with_silence_timeout(opening).await??;
        if !response.status().is_success() {
            return Err(error_from_reply(&read_reply(&url, response).await?));
        }
        let mut events = read_events(response.into_body());
        let mut streamed = String::new();
        let mut part_times = Vec::new();
        while let Some(event) = with_silence_timeout(events.next()).await? {
            let data = event.map_err(|error| no_answer(&error.to_string()))?;
            let event: AnswerEvent =
                serde_json::from_str(&data).map_err(|error| no_answer(&error.to_string()))?;
            on_event(&event);
            match event {
                AnswerEvent::Text { text } => {
                    streamed.push_str(&text);
                    part_times.push(started.elapsed());
                }
                AnswerEvent::Reset => {
                    streamed.clear();
                    part_times.clear();
                }
                AnswerEvent::Done { outcome, recorded } => {
                    return Ok(TimedAnswer {
                        outcome,
                        recorded,
                        streamed,
                        part_times,
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
    /// [`CallerError`]; it is safe to submit the same job again.
    pub async fn submit(
        &self,
        call: &JobCall,
        items: impl Stream<Item = Arc<str>> + Send + 'static,
    ) -> Result<JobReply, CallerError> {
        self.submit_fallible(call, items.map(Ok)).await
    }

    /// Submits a job whose inputs may fail to be read. The first error aborts the submission, so that a job
    /// is never accepted with only a part of its items.
    ///
    /// # Errors
    /// [`CallerError`]; it is safe to submit the same job again.
    pub async fn submit_fallible(
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
        parse_reply(&reply)
    }

    /// Reads the item counts of a job.
    ///
    /// # Errors
    /// [`CallerError`] of the last attempt.
    pub async fn job(&self, workspace: &str, job: &str) -> Result<JobReply, CallerError> {
        self.get(&format!("/v1/jobs/{workspace}/{job}")).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// [`CallerError`] if the call fails.
    pub async fn cancel(&self, workspace: &str, job: &str) -> Result<JobReply, CallerError> {
        self.send(
            Method::DELETE,
            &format!("/v1/jobs/{workspace}/{job}"),
            full_body(""),
        )
        .await
    }

    /// Reads one page of a job's results: at most `count` items, from index `first` on.
    ///
    /// # Errors
    /// [`CallerError`] of the last attempt.
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

    /// Reads the outcome of a request by its key.
    ///
    /// # Errors
    /// [`CallerError`] of the last attempt.
    pub async fn result(&self, workspace: &str, key: &str) -> Result<OutcomeReply, CallerError> {
        self.get(&format!("/v1/requests/{workspace}/{key}")).await
    }

    /// Reads a JSON response with `GET`, trying other hosts until one answers or the call times out.
    ///
    /// # Errors
    /// [`CallerError`] of the last attempt.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallerError> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            match self.send(Method::GET, path, full_body("")).await {
                Err(error @ CallerError::NoAnswer { .. }) if Instant::now() >= deadline => {
                    return Err(error);
                }
                Err(CallerError::NoAnswer { .. }) => tokio::time::sleep(RETRY_DELAY).await,
                other => return other,
            }
        }
    }

    /// Reads a JSON response with `GET` from one host, without retries.
    ///
    /// # Errors
    /// [`CallerError`] if the call fails.
    pub async fn get_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallerError> {
        self.send(Method::GET, path, full_body("")).await
    }

    /// Makes one call with a JSON body and a JSON response, without retries.
    ///
    /// # Errors
    /// [`CallerError`] if the call fails.
    pub async fn send_json<T: DeserializeOwned, B: serde::Serialize + Sync>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, CallerError> {
        let bytes = encode_json(path, body)?;
        self.send(method, path, full_body(bytes)).await
    }

    /// Makes one call with a JSON response, without retries.
    ///
    /// # Errors
    /// [`CallerError`] if the call fails.
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
                self.clear_cached_addresses();
                return Err(error.into());
            }
            Err(_) => {
                self.clear_cached_addresses();
                return Err(no_answer("timeout"));
            }
        };
        parse_reply(&reply)
    }

    /// Returns the next address to use, round-robin. Queries the seeds if no unexpired addresses are cached.
    ///
    /// # Errors
    /// [`CallerError`] of the last query.
    pub async fn address(&self) -> Result<Arc<str>, CallerError> {
        if let Some(address) = self.next_cached_address() {
            return Ok(address);
        }
        let mut last_error = no_answer("no seed returned an address");
        for seed in self.seeds.iter() {
            let url = format!("http://{seed}/v1/addresses");
            let lookup = self.http.call(Method::GET, &url, Bytes::new());
            let reply = match tokio::time::timeout(LOOKUP_TIMEOUT, lookup).await {
                Ok(Ok(reply)) => reply,
                Ok(Err(error)) => {
                    last_error = error.into();
                    continue;
                }
                Err(_) => continue,
            };
            let Ok(answer) = parse_reply::<AddressReply>(&reply) else {
                continue;
            };
            self.cache_addresses(answer);
            if let Some(address) = self.next_cached_address() {
                return Ok(address);
            }
        }
        Err(last_error)
    }

    fn next_cached_address(&self) -> Option<Arc<str>> {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        if Instant::now() >= cache.expires_at || cache.addresses.is_empty() {
            return None;
        }
        cache.next += 1;
        Some(cache.addresses[cache.next % cache.addresses.len()].clone())
    }

    fn cache_addresses(&self, answer: AddressReply) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.addresses = answer.addresses;
        cache.expires_at = Instant::now() + Duration::from_millis(answer.ttl_ms);
    }

    fn clear_cached_addresses(&self) {
        self.cache
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

/// Fails if the host sends nothing for [`SILENCE_TIMEOUT`].
async fn with_silence_timeout<T>(next: impl Future<Output = T>) -> Result<T, CallerError> {
    tokio::time::timeout(SILENCE_TIMEOUT, next)
        .await
        .map_err(|_| no_answer(&format!("no data from the host for {SILENCE_TIMEOUT:?}")))
}

fn parse_reply<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, CallerError> {
    if reply.status.is_success() {
        Ok(reply.json()?)
    } else {
        Err(error_from_reply(reply))
    }
}

fn error_from_reply(reply: &HttpReply) -> CallerError {
    match reply.json::<ErrorReply>() {
        Ok(error) => CallerError::Refused { reply: error },
        Err(_) if reply.status == StatusCode::NOT_FOUND => no_answer("the host has no such call"),
        Err(error) => no_answer(&error.to_string()),
    }
}

fn no_answer(cause: &str) -> CallerError {
    CallerError::NoAnswer {
        cause: cause.into(),
    }
}
