//! Serves the stand-ins for the log, the host list and the weight store of the platform at one address.

use bpaf::Bpaf;
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response};
use fulmarswitch_platform::http::{AppendReply, ReadReply, StoreReply, WireEntry, WireHost};
use fulmarswitch_platform::{LogError, LogService};
use fulmarswitch_records::Offset;
use fulmarswitch_standins::log::{LogFaults, MemoryLog};
use fulmarswitch_standins::serving::{handle_json, query_number, read_body, serve_until_stopped};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Method, StatusCode};
use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Read throughput that the weight store reports, in bytes per second.
const STORE_BYTES_PER_SECOND: u64 = 2_000_000_000;

/// A stand-in for the platform
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct PlatformOptions {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".into()))]
    listen: String,
}

struct PlatformState {
    log: MemoryLog,
    hosts: Mutex<Vec<WireHost>>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = platform_options().run();
    let hosts = Mutex::new(Vec::new());
    let state = Arc::new(PlatformState {
        log: MemoryLog::default(),
        hosts,
    });
    let service = tower::service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(state.handle_request(request).await) }
    });
    serve_until_stopped(&options.listen, service).await
}

impl PlatformState {
    async fn handle_request(&self, request: HttpRequest) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let stream = path.strip_prefix("/streams/");
        match (request.method(), &*path) {
            (&Method::POST, "/control") => self.set_log_faults(request).await,
            (&Method::GET, "/counts") => json_response(StatusCode::OK, &self.log.counts()),
            (&Method::GET, "/hosts") => {
                let hosts = self
                    .hosts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                json_response(StatusCode::OK, &hosts)
            }
            (&Method::POST, "/hosts") => {
                handle_json(request, async |hosts: Vec<WireHost>| {
                    *self.hosts.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
                    json_response(StatusCode::OK, &true)
                })
                .await
            }
            (&Method::GET, "/rate") => json_response(
                StatusCode::OK,
                &StoreReply {
                    bytes_per_second: STORE_BYTES_PER_SECOND,
                },
            ),
            (&Method::POST, _) if let Some(stream) = stream => self.append(stream, request).await,
            (&Method::GET, _) if let Some(stream) = stream => self.read(stream, &request).await,
            _ => json_response(StatusCode::NOT_FOUND, &"no such call"),
        }
    }

    async fn set_log_faults(&self, request: HttpRequest) -> HttpResponse {
        handle_json(request, async |faults: LogFaults| {
            self.log.set_faults(|current| *current = faults);
            json_response(StatusCode::OK, &true)
        })
        .await
    }

    async fn append(&self, stream: &str, request: HttpRequest) -> HttpResponse {
        match self.log.append(stream, read_body(request).await).await {
            Ok(offset) => json_response(StatusCode::OK, &AppendReply { offset: offset.0 }),
            Err(error) => error_response(&error),
        }
    }

    async fn read(&self, stream: &str, request: &HttpRequest) -> HttpResponse {
        let from = Offset(query_number(request, "from").unwrap_or(0));
        let max = usize::try_from(query_number(request, "max").unwrap_or(1)).unwrap_or(1);
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0));
        match self.log.read(stream, from, max, wait).await {
            Err(error) => error_response(&error),
            Ok(page) => json_response(
                StatusCode::OK,
                &ReadReply {
                    oldest: page.oldest.0,
                    head: page.head.0,
                    now_ms: page.now_ms,
                    retention_ms: u64::try_from(page.retention.as_millis()).unwrap_or(u64::MAX),
                    entries: page.entries.iter().map(WireEntry::from).collect(),
                },
            ),
        }
    }
}

fn error_response(error: &LogError) -> HttpResponse {
    let status = match error {
        LogError::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
        LogError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = json_response(status, &error.to_string());
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("0"));
    response
}
