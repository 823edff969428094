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
const BODY_LIMIT: usize = 4 << 20;
/// Time by which an incomplete request must be answered or its connection closed: the default
/// timeout and a margin.
const HALF_SENT: Duration = Duration::from_secs(20);
/// Maximum size of an answer, in bytes.
const MAX_BODY: usize = 1 << 20;

struct Case {
    name: &'static str,
    team: &'static str,
    tier: &'static str,
    path: &'static str,
    body: fn() -> Vec<u8>,
    status: u16,
    code: &'static str,
}

const GOOD: Case = Case {
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
        Case { name: "team", team: "nobody", status: 401, code: "unknown_team", ..GOOD },
        Case { name: "tier", tier: "attic", status: 400, code: "unknown_tier", ..GOOD },
        Case { name: "route", path: "/nowhere", status: 404, code: "unknown_route", ..GOOD },
        Case {
            name: "model",
            body: || br#"{"model":"other","prompt":"a"}"#.to_vec(),
            status: 404,
            code: "unknown_model",
            ..GOOD
        },
        Case {
            name: "not JSON",
            body: || br#"{"model":"reports","prompt":"#.to_vec(),
            status: 400,
            code: "bad_request",
            ..GOOD
        },
        Case {
            name: "wrong type",
            body: || br#"{"model":7,"prompt":"a"}"#.to_vec(),
            status: 400,
            code: "bad_request",
            ..GOOD
        },
        Case {
            name: "no prompt",
            body: || br#"{"model":"reports"}"#.to_vec(),
            status: 400,
            code: "bad_request",
            ..GOOD
        },
        Case {
            name: "too large",
            body: || vec![b' '; BODY_LIMIT + 1],
            status: 413,
            code: "too_large",
            ..GOOD
        },
        GOOD,
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors_and_disturb_nothing() {
    let bed = Testbed::start().await;
    let engine = Engine::start(EngineSpec::new()).await.expect("loopback");
    let side = bed.side("writer-1", Kind::Engine, engine.address());
    let entry = bed.entry("entry-1");
    bed.declare(&entry).await;
    let address = entry.address("callers");
    let stream = tokio::spawn(async move { complete(address, "a long report", 400).await });
    let half = tokio::spawn(half_sent(address));
    let frame = tokio::spawn(oversized_frame(side.address("link")));

    for case in cases() {
        let call = Call::new(Method::POST, case.path)
            .body("application/json", (case.body)())
            .header(HeaderName::from_static("x-egret-team"), case.team)
            .header(HeaderName::from_static("x-egret-tier"), case.tier);
        let answer = Client::new(address).send(call).await.expect("answered");
        assert_eq!(answer.status, case.status, "{}", case.name);
        let body = answer.collect(MAX_BODY).await.expect("whole");
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(body["error"]["code"].as_str().unwrap_or_default(), case.code, "{body}");
        if case.status != 200 {
            assert_eq!(body["error"]["ran"], "no", "{body}");
        }
    }

    half.await.expect("a half-sent request ends");
    frame.await.expect("an oversized frame ends its connection");
    let told = stream.await.expect("runs");
    assert_eq!(told.text(), Some(expected_completion("a long report", 400)));
    assert_eq!(engine.counts().executions, 2, "only good requests reach the engine");
}

/// Sends the head and a part of the body, then waits for the answer and the end of the connection.
async fn half_sent(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).await.expect("listening");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(HALF_SENT, read).await;
    assert!(ended.is_ok(), "a half-sent request holds its connection: {answer:?}");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.contains("408") && answer.contains("slow_request"), "{answer}");
}

/// Sends the length of a frame over the limit; the side process must close the connection.
async fn oversized_frame(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).await.expect("listening");
    stream.write_all(&u32::MAX.to_be_bytes()).await.expect("written");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(HALF_SENT, read).await.expect("closed in time");
    assert!(ended.is_err() || answer.is_empty(), "nothing is said to a stranger");
}
