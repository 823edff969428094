//! Completions against the fake engine: whole answers, and errors that state whether the call may
//! have been sent.

use std::time::Duration;

use assert_matches::assert_matches;
use egretgate_engine::{Answer, Call, EngineClient, Error, TokenMeter};
use egretgate_fakes::engine::{Engine, EngineSpec, chat_prompt, expected_completion};
use serde_json::{Value, json};
use tokio::time::{self, Instant};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Timeout of a call that should end long before.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

struct Completion {
    name: &'static str,
    path: &'static str,
    stream: bool,
    tokens: usize,
}

const COMPLETIONS: [Completion; 5] = [
    Completion { name: "text", path: "/v1/completions", stream: false, tokens: 7 },
    Completion { name: "text stream", path: "/v1/completions", stream: true, tokens: 7 },
    Completion { name: "one token", path: "/v1/completions", stream: true, tokens: 1 },
    Completion { name: "chat", path: "/v1/chat/completions", stream: false, tokens: 40 },
    Completion { name: "chat stream", path: "/v1/chat/completions", stream: true, tokens: 40 },
];

/// Returns a fast engine and its client.
async fn start() -> (Engine, EngineClient) {
    let spec = EngineSpec::new().token_time(Duration::from_micros(100)).knee(64);
    let engine = Engine::start(spec).await.unwrap();
    let client = EngineClient::new(engine.address());
    (engine, client)
}

fn stream_call(id: &str, prompt: &str, tokens: usize) -> Call {
    let body = json!({ "prompt": prompt, "max_tokens": tokens, "stream": true });
    Call::new(id, "/v1/completions", body.to_string())
}

/// Reads a stream to its end and returns its text and meter.
async fn read_stream(answer: &mut Answer) -> (String, TokenMeter) {
    let mut meter = TokenMeter::new();
    let mut bytes = Vec::new();
    while let Some(chunk) = answer.chunk().await {
        let chunk = chunk.unwrap();
        meter.feed(&chunk, Instant::now());
        bytes.extend_from_slice(&chunk);
    }
    let text = String::from_utf8(bytes).unwrap();
    let events = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let texts = events.filter(|event| *event != "[DONE]").map(|event| {
        let event: Value = serde_json::from_str(event).unwrap();
        let choice = &event["choices"][0];
        choice["text"].as_str().or(choice["delta"]["content"].as_str()).unwrap().to_owned()
    });
    (texts.collect(), meter)
}

#[tokio::test]
async fn answers_are_whole_and_exact() {
    let (engine, client) = start().await;
    for Completion { name, path, stream, tokens } in COMPLETIONS {
        let content = "a runway caption for linen";
        let chat = path.contains("chat");
        let prompt = if chat { chat_prompt([("user", content)]) } else { content.to_owned() };
        let body = json!({
            "model": "forecast-llm",
            "prompt": content,
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": tokens,
            "stream": stream,
        });
        let call = Call::new(name.replace(' ', "-"), path, body.to_string());
        let mut answer = client.complete(call).await.unwrap();
        assert_eq!(answer.status, 200, "{name}");
        let text = if stream {
            assert_eq!(answer.content_type, "text/event-stream", "{name}");
            let (text, meter) = read_stream(&mut answer).await;
            assert_eq!(meter.tokens() as usize, tokens, "{name}");
            assert!(meter.is_done(), "{name}");
            text
        } else {
            let body = answer.collect(MAX_ANSWER_BYTES).await.unwrap();
            let body: Value = serde_json::from_slice(&body).unwrap();
            assert_eq!(body["usage"]["completion_tokens"], tokens, "{name}");
            let choice = &body["choices"][0];
            let text = choice["text"].as_str().or(choice["message"]["content"].as_str());
            text.unwrap().to_owned()
        };
        assert_eq!(text, expected_completion(&prompt, tokens), "{name}");
        assert_eq!(engine.executions(&name.replace(' ', "-")), 1, "{name}");
    }
    assert_eq!(engine.counts().finished, COMPLETIONS.len() as u64);
    assert_eq!(engine.counts().wasted, 0);
}

#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let (engine, client) = start().await;
    engine.crash(Duration::from_mins(1));
    // Waits until the engine refuses connections; until then a call could reach a connection that
    // is being closed.
    while tokio::net::TcpStream::connect(engine.address()).await.is_ok() {}
    let error = client.complete(stream_call("a", "p", 3)).await.unwrap_err();
    assert_matches!(error, Error::NotSent(_));
    assert_eq!(engine.executions("a"), 0);
}

#[tokio::test]
async fn a_cut_after_the_request_is_sent() {
    let (engine, client) = start().await;
    engine.freeze(true);
    let calling = tokio::spawn({
        let client = client.clone();
        async move { client.complete(stream_call("a", "p", 3)).await.map(|_| ()) }
    });
    time::sleep(Duration::from_millis(50)).await;
    engine.cut();
    let called =
        time::timeout(CALL_TIMEOUT, calling).await.expect("the call outlived its connection");
    assert_matches!(called.unwrap(), Err(Error::MaybeSent(_)));
}

#[tokio::test]
async fn a_cut_stream_ends_in_an_error() {
    let (engine, client) = start().await;
    engine.cut_streams(1, 2);
    let mut answer = client.complete(stream_call("a", "p", 9)).await.unwrap();
    let mut meter = TokenMeter::new();
    let error = loop {
        match answer.chunk().await {
            Some(Ok(chunk)) => meter.feed(&chunk, Instant::now()),
            Some(Err(error)) => break error,
            None => panic!("a cut stream looks complete"),
        };
    };
    assert_matches!(error, Error::MaybeSent(_));
    assert_eq!(meter.tokens(), 2);
    assert!(!meter.is_done());
    assert_eq!(engine.counts().unfinished, 1);
    assert_eq!(engine.counts().wasted, 1);
}
