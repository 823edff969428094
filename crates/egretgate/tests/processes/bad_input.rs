//! Invalid input gets a typed error and doesn't disturb other requests of the process.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_fakes::engine::{Engine, EngineSpec, expected_completion};
use egretgate_http::{Call, Client};
use http::{HeaderName, Method};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::complete;
use crate::testbed::{Kind, Testbed};

/// Default limit of a request's body, in bytes.
const BODY_LIMIT_BYTES: usize = 4 << 20;
/// Time by which an incomplete request must be answered or its connection closed: the default
/// timeout and a margin.
const INCOMPLETE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

struct Case {
    name: &'static str,
    team: &'static str,
    tier: &'static str,
    path: &'static str,
    body: fn() -> Vec<u8>,
    status: u16,
    code: &'static str,
}

const VALID: Case = Case {
    name: "good",
    team: "guild",
    tier: "door",
    path: "/v1/completions",
    body: || br#"{"model":"reports","prompt":"a quote","max_tokens":4}"#.to_vec(),
    status: 200,
    code: "",
};

fn cases() -> [Case; 9] {
    [
        Case { name: "team", team: "nobody", status: 401, code: "unknown_team", ..VALID },
        Case { name: "tier", tier: "attic", status: 400, code: "unknown_tier", ..VALID },
        Case { name: "route", path: "/nowhere", status: 404, code: "unknown_route", ..VALID },
        Case {
            name: "model",
            body: || br#"{"model":"other","prompt":"a"}"#.to_vec(),
            status: 404,
            code: "unknown_model",
            ..VALID
        },
        Case {
            name: "not JSON",
            body: || br#"{"model":"reports","prompt":"#.to_vec(),
            status: 400,
            code: "bad_request",
            ..VALID
        },
        Case {
            name: "wrong type",
            body: || br#"{"model":7,"prompt":"a"}"#.to_vec(),
            status: 400,
            code: "bad_request",
            ..VALID
        },
        Case {
            name: "no prompt",
            body: || br#"{"model":"reports"}"#.to_vec(),
            status: 400,
            code: "bad_request",
            ..VALID
        },
        Case {
            name: "too large",
            body: || vec![b' '; BODY_LIMIT_BYTES + 1],
            status: 413,
            code: "too_large",
            ..VALID
        },
        VALID,
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors_and_disturb_nothing() {
    let testbed = Testbed::start().await;
    let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
    let side = testbed.side("writer-1", Kind::Engine, engine.address());
    let entry = testbed.entry("entry-1");
    testbed.declare(&entry).await;
    let address = entry.address("callers");
    let stream = tokio::spawn(async move { complete(address, "a long report", 400).await });
    let incomplete = tokio::spawn(send_incomplete(address));
    let frame = tokio::spawn(send_oversized_frame(side.address("link")));

    for case in cases() {
        let call = Call::new(Method::POST, case.path)
            .body("application/json", (case.body)())
            .header(HeaderName::from_static("x-egret-team"), case.team)
            .header(HeaderName::from_static("x-egret-tier"), case.tier);
        let answer = Client::new(address).send(call).await.expect("answered");
        assert_eq!(answer.status, case.status, "{}", case.name);
        let body = answer.collect(MAX_ANSWER_BYTES).await.expect("whole");
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(body["error"]["code"].as_str().unwrap_or_default(), case.code, "{body}");
        if case.status != 200 {
            assert_eq!(body["error"]["ran"], "no", "{body}");
        }
    }

    incomplete.await.expect("an incomplete request ends");
    frame.await.expect("an oversized frame ends its connection");
    let reply = stream.await.expect("runs");
    assert_eq!(reply.text(), Some(expected_completion("a long report", 400)));
    assert_eq!(engine.counts().executions, 2, "only good requests reach the engine");
}

/// Sends the head and the start of the body, then waits for the answer and the end of the
/// connection.
async fn send_incomplete(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).await.expect("listening");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(INCOMPLETE_TIMEOUT, read).await;
    assert!(ended.is_ok(), "an incomplete request keeps its connection open: {answer:?}");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.contains("408") && answer.contains("slow_request"), "{answer}");
}

/// Sends the length of a frame over the limit; the side process must close the connection.
async fn send_oversized_frame(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).await.expect("listening");
    stream.write_all(&u32::MAX.to_be_bytes()).await.expect("written");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(INCOMPLETE_TIMEOUT, read).await.expect("closed in time");
    assert!(ended.is_err() || answer.is_empty(), "a connection without a hello gets no answer");
}
