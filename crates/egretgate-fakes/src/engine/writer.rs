//! Writes the answers to completion requests.

use std::io;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::prompt::{self, chat_prompt, expected_completion, natural_tokens, prompt_tokens};
use crate::server::{self, Answer, Body, dropped_connection, with_type};

/// Body of a completion request.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// The two completion endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    Text,
    Chat,
}

/// Writes the answer to one request.
#[derive(Debug, Clone)]
pub(crate) struct AnswerWriter {
    kind: CompletionKind,
    id: String,
    model: String,
    /// Digest of the prompt, from which the tokens are generated.
    digest: u64,
    pub(crate) prompt: String,
    /// Length of the answer.
    pub(crate) tokens: usize,
    finish_reason: &'static str,
}

impl AnswerWriter {
    pub(crate) fn new(request: &CompletionRequest, kind: CompletionKind, id: &str) -> Self {
        let prompt = match kind {
            CompletionKind::Text => request.prompt.clone(),
            CompletionKind::Chat => {
                let messages = request.messages.iter();
                chat_prompt(
                    messages.map(|message| (message.role.as_str(), message.content.as_str())),
                )
            }
        };
        let limit = request.max_tokens.or(request.max_completion_tokens);
        let tokens = limit.unwrap_or_else(|| natural_tokens(&prompt)).max(1);
        let finish_reason = if limit.is_some() { "length" } else { "stop" };
        let digest = prompt::digest(&prompt);
        let model = request.model.clone();
        Self { kind, id: format!("cmpl-{id}"), model, digest, prompt, tokens, finish_reason }
    }

    /// Returns a stream with one event per token.
    pub(crate) fn stream(self, receiver: mpsc::UnboundedReceiver<usize>) -> Response<Body> {
        let events = token_indexes(receiver, self.tokens).map(move |index| {
            let index = index?;
            let mut event = format!("data: {}\n\n", self.event(index));
            if index + 1 == self.tokens {
                event.push_str("data: [DONE]\n\n");
            }
            Ok(Frame::data(Bytes::from(event)))
        });
        with_type(StatusCode::OK, "text/event-stream", StreamBody::new(events).boxed_unsync())
    }

    /// Returns the complete answer once all tokens have been generated.
    pub(crate) async fn buffered(self, receiver: mpsc::UnboundedReceiver<usize>) -> Answer {
        let mut token_indexes = std::pin::pin!(token_indexes(receiver, self.tokens));
        while let Some(index) = token_indexes.next().await {
            index.map_err(|_| dropped_connection())?;
        }
        Ok(server::json(StatusCode::OK, &self.answer()))
    }

    fn event(&self, index: usize) -> Value {
        let text = prompt::token(self.digest, index);
        let last = index + 1 == self.tokens;
        let finish_reason = last.then_some(self.finish_reason);
        let (object, mut choice) = match self.kind {
            CompletionKind::Text => ("text_completion", json!({ "text": text })),
            CompletionKind::Chat if index == 0 => (
                "chat.completion.chunk",
                json!({ "delta": { "role": "assistant", "content": text } }),
            ),
            CompletionKind::Chat => {
                ("chat.completion.chunk", json!({ "delta": { "content": text } }))
            }
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish_reason);
        let mut event = self.envelope(object, choice);
        if last {
            event["usage"] = self.usage();
        }
        event
    }

    fn answer(&self) -> Value {
        let text = expected_completion(&self.prompt, self.tokens);
        let (object, mut choice) = match self.kind {
            CompletionKind::Text => ("text_completion", json!({ "text": text })),
            CompletionKind::Chat => {
                ("chat.completion", json!({ "message": { "role": "assistant", "content": text } }))
            }
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(self.finish_reason);
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

/// Returns the indexes of the tokens as they are generated, and an error if the sender closes
/// early.
fn token_indexes(
    receiver: mpsc::UnboundedReceiver<usize>,
    tokens: usize,
) -> impl Stream<Item = io::Result<usize>> + Send {
    stream::unfold((receiver, 0), move |(mut receiver, next)| async move {
        if next >= tokens {
            return None;
        }
        if let Some(index) = receiver.recv().await {
            return Some((Ok(index), (receiver, index + 1)));
        }
        // The error closes the connection; yielding first lets it write the tokens received so far.
        tokio::task::yield_now().await;
        Some((Err(dropped_connection()), (receiver, tokens)))
    })
}
