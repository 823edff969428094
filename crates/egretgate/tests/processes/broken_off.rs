//! Answers that an engine breaks off while the connection ends as usual.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::caller::{Reply, complete};
use crate::testbed::{Kind, Testbed};

/// Starts an engine that answers each completion with these bytes and closes the connection.
async fn engine(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: String) {
    let mut request = Vec::new();
    while !request.ends_with(b"}") && !request.ends_with(b"\r\n\r\n") {
        if !stream.read_buf(&mut request).await.is_ok_and(|read| read > 0) {
            return;
        }
    }
    let answer = if request.starts_with(b"POST /v1/completions") {
        answer
    } else {
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}".to_owned()
    };
    // The side process may have left.
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Returns what a caller gets from an engine whose stream has this framing and body.
async fn receive(framing: &str, body: &str) -> Reply {
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}\r\n{body}");
    let testbed = Testbed::start().await;
    let _side = testbed.side("writer-1", Kind::Engine, engine(answer).await);
    let entry = testbed.entry("entry-1");
    testbed.declare(&entry).await;
    complete(entry.address("callers"), "inspection report", 4).await
}

/// Guards against an engine's stream that was broken off and that its caller takes for a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn an_engines_stream_that_was_broken_off_is_reported_as_cut() {
    struct Case {
        name: &'static str,
        framing: &'static str,
        body: &'static str,
        whole: bool,
    }
    const CLOSE: &str = "";
    const CHUNKED: &str = "transfer-encoding: chunked\r\n";
    let event = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
    let cases = [
        Case {
            name: "whole",
            framing: CLOSE,
            body: "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n",
            whole: true,
        },
        Case { name: "no event", framing: CLOSE, body: "", whole: false },
        Case { name: "no end mark", framing: CLOSE, body: event, whole: false },
        Case {
            name: "inside an event",
            framing: CLOSE,
            body: "data: {\"choices\":[{\"text\":\"a\"}]}\n\nid: 2\n",
            whole: false,
        },
        Case {
            name: "inside an event, with the last chunk",
            framing: CHUNKED,
            body: "6\r\nid: 2\n\r\n0\r\n\r\n",
            whole: false,
        },
        Case {
            name: "between events, without the last chunk",
            framing: CHUNKED,
            body: "22\r\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n\r\n",
            whole: false,
        },
    ];
    let mut failed = Vec::new();
    for Case { name, framing, body, whole } in cases {
        let reply = receive(framing, body).await;
        if matches!(reply, Reply::Whole(_)) != whole {
            failed.push(format!("{name}: {reply:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against an error event that becomes a part of the event that was broken off.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_event_is_no_part_of_another_event() {
    struct Case {
        body: &'static str,
        is_error: bool,
    }
    let cases = [
        Case { body: "data: {\"te", is_error: false },
        Case { body: "data: {}\n", is_error: false },
        Case { body: "data: {}\n\n", is_error: true },
        Case { body: "data: {}\r\n\r\n", is_error: true },
        Case { body: "", is_error: true },
    ];
    let mut failed = Vec::new();
    for Case { body, is_error } in cases {
        let reply = receive("", body).await;
        let expected = if is_error { reply.code() == "answer_cut" } else { reply == Reply::Broken };
        if !expected {
            failed.push(format!("{body:?}: {reply:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
