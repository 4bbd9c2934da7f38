//! Serves the stand-in for a model engine over HTTP.

use bpaf::Bpaf;
use bytes::Bytes;
use fulmarswitch_endpoint::http::{CompletionCall, CompletionEvent, WireOrder, WireReport};
use fulmarswitch_endpoint::{AnswerPart, EndpointCall, EndpointError, EndpointOrder, OrderAction};
use fulmarswitch_http::lines::write_event;
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response, stream_body};
use fulmarswitch_standins::engine::{EngineFaults, MemoryEngine};
use fulmarswitch_standins::serving::{handle_json, serve_until_stopped};
use futures::StreamExt;
use hyper::{Method, Response, StatusCode};
use std::convert::Infallible;
use std::io;
use std::sync::Arc;

/// A stand-in for a model engine
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct EngineOptions {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback("127.0.0.1:0".into()))]
    listen: String,
    /// Model that is loaded from the start; may be given several times
    #[bpaf(argument("NAME"))]
    model: Vec<String>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = engine_options().run();
    let models: Vec<&str> = options.model.iter().map(String::as_str).collect();
    let engine = MemoryEngine::new(EngineFaults::default(), &models);
    tokio::spawn(Arc::clone(&engine).run());
    let service = tower::service_fn(move |request| {
        let engine = Arc::clone(&engine);
        async move { Ok::<_, Infallible>(handle_request(&engine, request).await) }
    });
    serve_until_stopped(&options.listen, service).await
}

async fn handle_request(engine: &MemoryEngine, request: HttpRequest) -> HttpResponse {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/completions") => {
            handle_json(request, async |call: CompletionCall| complete(engine, call)).await
        }
        (&Method::GET, "/report") => match engine.report() {
            Ok(report) => {
                let (models, held, fencing) = (report.models, report.held, report.fencing);
                json_response(
                    StatusCode::OK,
                    &WireReport {
                        models,
                        held,
                        fencing,
                    },
                )
            }
            Err(error) => error_response(&error),
        },
        (&Method::POST, "/orders") => {
            handle_json(request, async |order: WireOrder| {
                match engine.order(&endpoint_order(order)) {
                    Ok(()) => json_response(StatusCode::OK, &true),
                    Err(error) => error_response(&error),
                }
            })
            .await
        }
        (&Method::POST, "/control") => {
            handle_json(request, async |faults: EngineFaults| {
                engine.set_faults(|current| *current = faults);
                json_response(StatusCode::OK, &true)
            })
            .await
        }
        _ => json_response(StatusCode::NOT_FOUND, &"no such call"),
    }
}

fn complete(engine: &MemoryEngine, call: CompletionCall) -> HttpResponse {
    let call = EndpointCall {
        id: call.id,
        model: call.model,
        input: call.prompt,
        prior: call.prior,
        prior_tokens: call.prior_tokens,
        max_tokens: call.max_tokens,
    };
    match engine.start(&call) {
        Ok(parts) => Response::new(stream_body(parts.map(encode_part))),
        Err(error) => error_response(&error),
    }
}

fn encode_part(part: Result<AnswerPart, EndpointError>) -> io::Result<Bytes> {
    match part {
        Ok(AnswerPart::Text(text)) => Ok(write_event(&CompletionEvent {
            text,
            error: "".into(),
        })),
        Ok(AnswerPart::End) => Ok("data: [DONE]\n\n".into()),
        Err(error) => Err(io::Error::other(error)),
    }
}

fn endpoint_order(order: WireOrder) -> EndpointOrder {
    let model = order.model;
    let action = if order.load {
        OrderAction::Load { model }
    } else {
        OrderAction::Unload { model }
    };
    EndpointOrder {
        fencing: order.fencing,
        action,
    }
}

fn error_response(error: &EndpointError) -> HttpResponse {
    json_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
}
