//! The engine's HTTP interface.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time;

use super::batch::Sequence;
use super::prompt::{self, chat_prompt, expected_completion, natural_tokens, prompt_tokens};
use super::state::{Command, Order, Shared};
use crate::server::{self, Answer, Body, dropped, empty, number, read, with_type};

/// Header that carries the name of a request.
const REQUEST_ID: &str = "x-request-id";
/// Header that names the version that must run a request.
const VERSION: &str = "x-version";

#[derive(Debug, Deserialize)]
struct Input {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Line>,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Line {
    role: String,
    content: String,
}

/// Which of the two completion calls was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Text,
    Chat,
}

/// What is needed to write an answer.
#[derive(Debug, Clone)]
struct Writer {
    shape: Shape,
    id: String,
    model: String,
    digest: u64,
    prompt: String,
    tokens: usize,
    finish: &'static str,
}

pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => complete(&shared, request, Shape::Text).await,
        (&Method::POST, "/v1/chat/completions") => complete(&shared, request, Shape::Chat).await,
        (&Method::GET, "/v1/load") => {
            let load = shared.state().reported_load(shared.spec.load_lag);
            Ok(server::json(StatusCode::OK, &load))
        }
        (&Method::GET, "/v1/events") => {
            let from = number(request.uri(), "from", 0);
            Ok(server::json(StatusCode::OK, &shared.state().events(from)))
        }
        (&Method::GET, "/v1/versions") => {
            let versions = shared.state().versions.clone();
            Ok(server::json(StatusCode::OK, &json!({ "versions": versions })))
        }
        (&Method::POST, "/v1/orders") => order(&shared, request).await,
        (&Method::POST, path) if path.starts_with("/v1/cancel/") => Ok(cancel(&shared, path)),
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}

fn cancel(shared: &Shared, path: &str) -> Response<Body> {
    let id = path.trim_start_matches("/v1/cancel/").to_owned();
    let known = shared.state().ids.contains_key(&id);
    let _ = shared.commands.send(Command::Cancel(id));
    empty(if known { StatusCode::OK } else { StatusCode::NOT_FOUND })
}

async fn order(shared: &Shared, request: Request<Incoming>) -> Answer {
    let body = read(request).await?;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return Ok(failure(StatusCode::BAD_REQUEST, "malformed order"));
    };
    if order.action == "load" {
        time::sleep(shared.spec.load_time).await;
    }
    Ok(carry_out(shared, order))
}

fn carry_out(shared: &Shared, order: Order) -> Response<Body> {
    let mut state = shared.state();
    let newest = state.orders.iter().map(|order| order.fence).max().unwrap_or_default();
    if shared.spec.fencing && order.fence < newest {
        return failure(StatusCode::CONFLICT, "old fencing number");
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
        _ => return failure(StatusCode::BAD_REQUEST, "unknown action"),
    }
    state.orders.push(order);
    empty(StatusCode::OK)
}

async fn complete(shared: &Shared, request: Request<Incoming>, shape: Shape) -> Answer {
    let id = header(request.headers(), REQUEST_ID);
    let wanted = header(request.headers(), VERSION);
    let body = read(request).await?;
    let Ok(input) = serde_json::from_slice::<Input>(&body) else {
        return Ok(failure(StatusCode::BAD_REQUEST, "malformed request"));
    };
    let Some(version) = shared.state().choose_version(&wanted) else {
        return Ok(failure(StatusCode::NOT_FOUND, "version not held"));
    };
    let writer = Writer::new(&input, shape, &id);
    let fate = shared.state().execute(&id, &version, &body, writer.tokens);
    if fate.error {
        return Ok(failure(StatusCode::INTERNAL_SERVER_ERROR, "version failed"));
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    let sequence = Sequence {
        id,
        version,
        blocks: prompt::blocks(&writer.prompt),
        prefill_left: prompt_tokens(&writer.prompt).max(1),
        prefilled: 0,
        tokens: writer.tokens,
        produced: 0,
        cut_at: fate.cut_at,
        slow: fate.slow,
        progress: 0.0,
        poison: fate.poison,
        sender,
    };
    let _ = shared.commands.send(Command::Admit(sequence));
    if input.stream { Ok(writer.stream(receiver)) } else { writer.whole(receiver).await }
}

impl Writer {
    fn new(input: &Input, shape: Shape, id: &str) -> Self {
        let prompt = match shape {
            Shape::Text => input.prompt.clone(),
            Shape::Chat => {
                let messages = input.messages.iter();
                chat_prompt(messages.map(|line| (line.role.as_str(), line.content.as_str())))
            }
        };
        let limit = input.max_tokens.or(input.max_completion_tokens);
        let tokens = limit.unwrap_or_else(|| natural_tokens(&prompt)).max(1);
        let finish = if limit.is_some() { "length" } else { "stop" };
        let digest = prompt::digest(&prompt);
        let model = input.model.clone();
        Self { shape, id: format!("cmpl-{id}"), model, digest, prompt, tokens, finish }
    }

    /// Answers with one event for each token.
    fn stream(self, receiver: mpsc::UnboundedReceiver<usize>) -> Response<Body> {
        let events = indexes(receiver, self.tokens).map(move |index| {
            let index = index?;
            let mut event = format!("data: {}\n\n", self.event(index));
            if index + 1 == self.tokens {
                event.push_str("data: [DONE]\n\n");
            }
            Ok(Frame::data(Bytes::from(event)))
        });
        with_type(StatusCode::OK, "text/event-stream", StreamBody::new(events).boxed_unsync())
    }

    /// Answers once every token is there.
    async fn whole(self, receiver: mpsc::UnboundedReceiver<usize>) -> Answer {
        let mut indexes = std::pin::pin!(indexes(receiver, self.tokens));
        while let Some(index) = indexes.next().await {
            index.map_err(|_| dropped())?;
        }
        Ok(server::json(StatusCode::OK, &self.answer()))
    }

    fn event(&self, index: usize) -> Value {
        let text = prompt::token(self.digest, index);
        let last = index + 1 == self.tokens;
        let finish = last.then_some(self.finish);
        let (object, mut choice) = match self.shape {
            Shape::Text => ("text_completion", json!({ "text": text })),
            Shape::Chat if index == 0 => (
                "chat.completion.chunk",
                json!({ "delta": { "role": "assistant", "content": text } }),
            ),
            Shape::Chat => ("chat.completion.chunk", json!({ "delta": { "content": text } })),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish);
        let mut event = self.envelope(object, choice);
        if last {
            event["usage"] = self.usage();
        }
        event
    }

    fn answer(&self) -> Value {
        let text = expected_completion(&self.prompt, self.tokens);
        let (object, mut choice) = match self.shape {
            Shape::Text => ("text_completion", json!({ "text": text })),
            Shape::Chat => {
                ("chat.completion", json!({ "message": { "role": "assistant", "content": text } }))
            }
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(self.finish);
        let mut answer = self.envelope(object, choice);
        answer["usage"] = self.usage();
        answer
    }

    fn envelope(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn usage(&self) -> Value {
        let prompt = prompt_tokens(&self.prompt);
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.tokens,
            "total_tokens": prompt + self.tokens,
        })
    }
}

/// Returns the indexes of the tokens as they come, and an error if they end early.
fn indexes(
    receiver: mpsc::UnboundedReceiver<usize>,
    tokens: usize,
) -> impl Stream<Item = io::Result<usize>> + Send {
    stream::unfold((receiver, 0), move |(mut receiver, next)| async move {
        if next >= tokens {
            return None;
        }
        match receiver.recv().await {
            Some(index) => Some((Ok(index), (receiver, index + 1))),
            None => {
                // Lets the connection write the tokens before the cut.
                tokio::task::yield_now().await;
                Some((Err(dropped()), (receiver, tokens)))
            }
        }
    })
}

fn failure(status: StatusCode, message: &str) -> Response<Body> {
    let error = json!({ "error": { "message": message, "type": "engine_error" } });
    server::json(status, &error)
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
