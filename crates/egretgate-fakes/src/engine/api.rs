//! The engine's HTTP interface.

use std::sync::Arc;

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::batch::Sequence;
use super::prompt::{self, prompt_tokens};
use super::state::{Command, Order, Shared};
use super::writer::{AnswerWriter, CompletionKind, CompletionRequest};
use crate::server::{self, Answer, Body, empty, query_number, read_body, wait_until};

/// Header with the id of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the version that must run a request.
const VERSION_HEADER: &str = "x-version";

pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => {
            complete(&shared, request, CompletionKind::Text).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            complete(&shared, request, CompletionKind::Chat).await
        }
        (&Method::GET, "/v1/load") => {
            let load = shared.state().reports.reported_load(shared.spec.load_lag);
            Ok(server::json(StatusCode::OK, &load))
        }
        (&Method::GET, "/v1/events") => {
            let from = query_number(request.uri(), "from", 0);
            Ok(server::json(StatusCode::OK, &shared.state().reports.events(from)))
        }
        (&Method::GET, "/v1/versions") => {
            let versions = shared.state().versions.clone();
            Ok(server::json(StatusCode::OK, &json!({ "versions": versions })))
        }
        (&Method::POST, "/v1/orders") => handle_order(&shared, request).await,
        (&Method::POST, path) if path.starts_with("/v1/cancel/") => Ok(cancel(&shared, path)),
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}

fn cancel(shared: &Shared, path: &str) -> Response<Body> {
    let id = path.trim_start_matches("/v1/cancel/").to_owned();
    let known = shared.state().id_counts.contains_key(&id);
    let _ = shared.commands.send(Command::Cancel(id));
    empty(if known { StatusCode::OK } else { StatusCode::NOT_FOUND })
}

async fn handle_order(shared: &Shared, request: Request<Incoming>) -> Answer {
    let body = read_body(request).await?;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return Ok(error_answer(StatusCode::BAD_REQUEST, "malformed order"));
    };
    if order.action == "load" {
        wait_until(Instant::now() + shared.spec.load_time).await;
    }
    Ok(apply_order(shared, order))
}

fn apply_order(shared: &Shared, order: Order) -> Response<Body> {
    let mut state = shared.state();
    let newest = state.orders.iter().map(|order| order.fence).max().unwrap_or_default();
    if shared.spec.fencing && order.fence < newest {
        return error_answer(StatusCode::CONFLICT, "outdated fencing number");
    }
    match order.action.as_str() {
        "load" if !state.versions.contains(&order.version) => {
            state.versions.push(order.version.clone());
        }
        "load" => {}
        "unload" => {
            state.versions.retain(|version| *version != order.version);
            let _ = shared.commands.send(Command::Unload(order.version.clone()));
        }
        _ => return error_answer(StatusCode::BAD_REQUEST, "unknown action"),
    }
    state.orders.push(order);
    empty(StatusCode::OK)
}

async fn complete(shared: &Shared, request: Request<Incoming>, kind: CompletionKind) -> Answer {
    let id = header(request.headers(), REQUEST_ID_HEADER);
    let wanted = header(request.headers(), VERSION_HEADER);
    let body = read_body(request).await?;
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return Ok(error_answer(StatusCode::BAD_REQUEST, "malformed request"));
    };
    let Some(version) = shared.state().choose_version(&wanted) else {
        return Ok(error_answer(StatusCode::NOT_FOUND, "version not loaded"));
    };
    let writer = AnswerWriter::new(&completion, kind, &id);
    let injected = shared.state().execute(&id, &version, &body, writer.tokens);
    if injected.error {
        return Ok(error_answer(StatusCode::INTERNAL_SERVER_ERROR, "version failed"));
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    let sequence = Sequence {
        id,
        version,
        blocks: prompt::blocks(&writer.prompt),
        prefill_left: prompt_tokens(&writer.prompt).max(1),
        prefilled: 0,
        answer_tokens: writer.tokens,
        generated: 0,
        cut_after: injected.cut_after,
        steps_per_token: injected.steps_per_token,
        steps_done: 0.0,
        poison: injected.poison,
        sender,
    };
    let _ = shared.commands.send(Command::Admit(sequence));
    if completion.stream { Ok(writer.stream(receiver)) } else { writer.buffered(receiver).await }
}

fn error_answer(status: StatusCode, message: &str) -> Response<Body> {
    let error = json!({ "error": { "message": message, "type": "engine_error" } });
    server::json(status, &error)
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
