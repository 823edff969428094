//! A caller that sends requests to entries.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_http::{Call, Client};
use http::HeaderName;
use serde_json::Value;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reply that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A whole answer, with its body.
    Whole(String),
    /// An error in the format of the API.
    Error {
        /// Code of the error kind.
        code: String,
        /// Whether the request was run, according to the reply.
        ran: String,
        /// Whether the reply names a time to retry.
        retry_after: bool,
    },
    /// The connection broke.
    Broken,
}

impl Reply {
    /// Returns the text of a streamed completion, if it is whole.
    pub fn text(&self) -> Option<String> {
        let Self::Whole(body) = self else { return None };
        let mut text = String::new();
        for line in body.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            let Ok(event) = serde_json::from_str::<Value>(data) else { continue };
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
        Some(text)
    }

    /// Returns the code of the error; empty if there is none.
    pub fn code(&self) -> &str {
        if let Self::Error { code, .. } = self { code } else { "" }
    }

    /// Returns whether the reply names a time to retry.
    pub const fn has_retry_after(&self) -> bool {
        matches!(self, Self::Error { retry_after: true, .. })
    }

    /// Returns whether the reply says that the request was not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Error { ran, .. } if ran == "no")
    }
}

/// Requests a streamed completion.
pub async fn complete(entry: SocketAddr, prompt: &str, tokens: usize) -> Reply {
    send(entry, Call::post("/v1/completions", body(prompt, tokens))).await
}

/// Returns the body of a streamed completion's request.
pub fn body(prompt: &str, tokens: usize) -> String {
    let body = serde_json::json!({
        "model": "reports", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    body.to_string()
}

/// Makes a keyed call, which runs at most once.
pub async fn tag(entry: SocketAddr, key: &str) -> Reply {
    tag_with_deadline(entry, key, key, CALL_TIMEOUT).await
}

/// Makes a keyed call with a deadline.
pub async fn tag_with_deadline(
    entry: SocketAddr,
    key: &str,
    tag: &str,
    deadline: Duration,
) -> Reply {
    let call = Call::post("/tags/book", format!("{{\"tag\":\"{tag}\"}}"))
        .header(HeaderName::from_static("idempotency-key"), key)
        .header(HeaderName::from_static("x-egret-deadline-ms"), &deadline.as_millis().to_string());
    send(entry, call).await
}

async fn send(entry: SocketAddr, call: Call) -> Reply {
    let call = call.header(HeaderName::from_static("x-egret-team"), "guild");
    match tokio::time::timeout(CALL_TIMEOUT, read_reply(entry, call)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => print_broken(entry, &error.to_string()),
        Err(_) => print_broken(entry, "no answer in time"),
    }
}

/// Prints why the connection broke; the output is shown if the test fails.
fn print_broken(entry: SocketAddr, reason: &str) -> Reply {
    println!("connection to {entry} broke: {reason}");
    Reply::Broken
}

async fn read_reply(entry: SocketAddr, call: Call) -> egretgate_http::Result<Reply> {
    let answer = Client::new(entry).send(call).await?;
    let status = answer.status;
    let retry_after = answer.retry_after().is_some();
    let body = answer.collect(MAX_BODY_BYTES).await?;
    let body = String::from_utf8_lossy(&body).into_owned();
    let error = if status == 200 { error_event(&body) } else { serde_json::from_str(&body).ok() };
    let reply = match error {
        Some(error) => Reply::Error {
            code: error["error"]["code"].as_str().unwrap_or_default().to_owned(),
            ran: error["error"]["ran"].as_str().unwrap_or_default().to_owned(),
            retry_after,
        },
        None => Reply::Whole(body),
    };
    Ok(reply)
}

/// Returns the error event that ends a cut stream.
fn error_event(body: &str) -> Option<Value> {
    let last = body.lines().rev().find_map(|line| line.strip_prefix("data: "))?;
    let event: Value = serde_json::from_str(last).ok()?;
    event.get("error").is_some().then_some(event)
}
