//! Serves the stand-in for a plain service over HTTP.

use bpaf::Bpaf;
use fulmarswitch_endpoint::http::{PlainCall, PlainReply};
use fulmarswitch_endpoint::{EndpointCall, EndpointError};
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response};
use fulmarswitch_standins::plain::{MemoryPlainService, PlainFaults};
use fulmarswitch_standins::serving::{handle_json, serve_until_stopped};
use hyper::{Method, StatusCode};
use std::convert::Infallible;
use std::io;
use std::sync::Arc;

/// A stand-in for a plain service
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct PlainOptions {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".into()))]
    listen: String,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = plain_options().run();
    let plain_service = MemoryPlainService::new(PlainFaults {
        call_ms: 5,
        ..PlainFaults::default()
    });
    let service = tower::service_fn(move |request| {
        let plain_service = Arc::clone(&plain_service);
        async move { Ok::<_, Infallible>(handle_request(&plain_service, request).await) }
    });
    serve_until_stopped(&options.listen, service).await
}

async fn handle_request(service: &MemoryPlainService, request: HttpRequest) -> HttpResponse {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/call") => {
            handle_json(request, async |call: PlainCall| run(service, call).await).await
        }
        (&Method::GET, "/runs") => json_response(StatusCode::OK, &service.runs()),
        (&Method::POST, "/control") => {
            handle_json(request, async |faults: PlainFaults| {
                service.set_faults(|current| *current = faults);
                json_response(StatusCode::OK, &true)
            })
            .await
        }
        _ => json_response(StatusCode::NOT_FOUND, &"no such call"),
    }
}

async fn run(service: &MemoryPlainService, call: PlainCall) -> HttpResponse {
    let call = EndpointCall {
        id: call.id,
        model: "".into(),
        input: call.input,
        prior: "".into(),
        prior_tokens: 0,
        max_tokens: 0,
    };
    match service.call(&call).await {
        Ok(text) => json_response(StatusCode::OK, &PlainReply { text }),
        Err(error @ EndpointError::Refused { .. }) => {
            json_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
        Err(error) => json_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
