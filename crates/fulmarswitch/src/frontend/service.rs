//! The front end as a tower service with a concurrency limit and a timeout.

use super::Frontend;
use super::reply::{CallError, error_response};
use fulmarswitch_http::{HttpRequest, HttpResponse};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tower::load_shed::error::Overloaded;
use tower::{BoxError, Service, ServiceBuilder, ServiceExt, service_fn};

/// Time within which the response to a call must start. Longer than any deadline, and than the submission
/// of a whole job.
const CALL_TIMEOUT: Duration = Duration::from_mins(15);
/// Retry delay in milliseconds when the concurrency limit is reached.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// Returns the service that answers callers and operators.
///
/// At most `max_calls` calls may wait for the start of their response. Further calls are refused as
/// not run, rather than queued without a bound.
pub fn caller_service(
    frontend: Arc<Frontend>,
    max_calls: usize,
) -> impl Service<HttpRequest, Response = HttpResponse, Error = Infallible, Future: Send> + Clone + Send
{
    let answer = service_fn(move |request| {
        let frontend = Arc::clone(&frontend);
        async move { Ok::<_, Infallible>(frontend.answer(request).await) }
    });
    let bounded = ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(max_calls)
        .timeout(CALL_TIMEOUT)
        .service(answer);
    // Clones share one concurrency limit.
    service_fn(move |request| {
        let answered = bounded.clone().oneshot(request);
        async move { Ok(answered.await.unwrap_or_else(|error| refuse(&error))) }
    })
}

fn refuse(error: &BoxError) -> HttpResponse {
    let refusal = if error.is::<Overloaded>() {
        CallError::Refused {
            reason: "the host has too many calls; use another address or try again later".into(),
            retry_after_ms: OVERLOAD_RETRY_MS,
        }
    } else {
        CallError::Unknown
    };
    error_response(&refusal)
}
