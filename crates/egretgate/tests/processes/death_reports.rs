//! Which requests the report of an engine's death names, with an engine and entries that the test
//! plays.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate::core::Digest;
use egretgate_link::message::to_entry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::played_entry::{PlayedEntry, SOON, digest};
use crate::testbed::{Kind, Process, Testbed};

const CULPRIT: &str = "venom";
const INNOCENT: &str = "inspection report";
/// Time for which a last frame must be held back.
const HELD: Duration = Duration::from_millis(300);

/// When the innocent request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ends {
    /// After the culprit's answer was cut, before the engine counts as dead.
    BeforeReport,
    /// After the death was reported.
    AfterReport,
}

/// An engine that does nothing by itself, behind a real side process with two entries.
struct Scene {
    engine: TcpListener,
    _side: Process,
    first: PlayedEntry,
    second: PlayedEntry,
    /// Connection on which the engine runs the culprit.
    culprit: TcpStream,
}

impl Scene {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("loopback");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback");
        let engine = socket.listen(0).expect("loopback");
        let address = engine.local_addr().expect("bound");
        let side = Testbed::unlisted_side("writer-1", Kind::Engine, address, "v1");
        let mut first = PlayedEntry::connect(side.address("link"), 1).await;
        let second = PlayedEntry::connect(side.address("link"), 2).await;
        first.offer(1, CULPRIT).await;
        let culprit = accept_request(&engine, CULPRIT).await;
        Self { engine, _side: side, first, second, culprit }
    }
}

/// Guards against the quarantine of an innocent that is sent again at once and meets a second death.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_answered_is_not_suspected_of_a_death() {
    for ends in [Ends::BeforeReport, Ends::AfterReport] {
        let Scene { engine, _side, mut first, mut second, culprit } = Scene::start().await;
        first.offer(2, INNOCENT).await;
        let mut innocent = accept_request(&engine, INNOCENT).await;
        drop(culprit);
        // The cut has been handled once the probe arrives.
        let (probe, _) = engine.accept().await.expect("probe");
        if ends == Ends::BeforeReport {
            answer(&mut innocent).await;
            assert!(first.gets_end(2, SOON).await, "no end");
        }
        drop((probe, engine));
        let report = first.wait_for_death().await;
        let named = Named::of(&report.digests);
        if ends == Ends::BeforeReport {
            assert_eq!(named, Named { culprit: true, innocent: false }, "{ends:?}");
            continue;
        }
        second.wait_for_death().await;
        answer(&mut innocent).await;
        check_held(&mut first, &mut second, report.sequence).await;
    }
}

/// Guards against the quarantine of an innocent that is offered elsewhere and meets a second death.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_never_sent_is_not_suspected_of_a_death() {
    // A connection is given up after 1 s and a probe after 500 ms.
    let cases = [
        (Ends::BeforeReport, Duration::from_millis(750)),
        (Ends::AfterReport, Duration::from_millis(350)),
    ];
    for (ends, started_before) in cases {
        // On a busy machine the innocent may end too early.
        let mut tries = 0..3;
        while !check_unsent(ends, started_before).await {
            assert!(tries.next().is_some(), "{ends:?}: ended too early");
        }
    }
}

/// Cuts the culprit's answer this long after the innocent's start. Returns false if the innocent
/// ended too early.
async fn check_unsent(ends: Ends, started_before: Duration) -> bool {
    let Scene { engine, _side, mut first, mut second, culprit } = Scene::start().await;
    let _queue = fill_queue(engine.local_addr().expect("bound")).await;
    first.offer(2, INNOCENT).await;
    tokio::time::sleep(started_before).await;
    drop(culprit);
    if ends == Ends::BeforeReport {
        assert!(first.gets_end(2, SOON).await, "no refusal");
    }
    let report = first.wait_for_death().await;
    let named = Named::of(&report.digests);
    if ends == Ends::BeforeReport {
        assert_eq!(named, Named { culprit: true, innocent: false }, "{ends:?}");
    } else if named.innocent {
        second.wait_for_death().await;
        check_held(&mut first, &mut second, report.sequence).await;
    }
    named.innocent == (ends == Ends::AfterReport)
}

/// Guards against a culprit that no report names: the engine refuses a connection and a probe before
/// the culprit's answer is cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_cut_after_the_engine_counts_as_down_is_reported() {
    let Scene { engine, _side, mut first, mut second, culprit } = Scene::start().await;
    drop(engine);
    first.offer(2, INNOCENT).await;
    let is_down =
        |body: &to_entry::Body| matches!(body, to_entry::Body::Load(load) if !load.healthy);
    first.wait_for(SOON, is_down).await.expect("the engine counts as down");
    drop(culprit);
    let report = first.wait_for_death().await;
    assert_eq!(Named::of(&report.digests), Named { culprit: true, innocent: false });
    second.wait_for_death().await;
    first.acknowledge(report.sequence).await;
    assert!(!first.gets_end(1, HELD).await, "the second entry may not know of the death");
    second.acknowledge(report.sequence).await;
    assert!(first.gets_end(1, SOON).await, "no last frame");
}

/// Fails unless the last frame about the innocent waits until both entries know of the death, which
/// names it.
async fn check_held(first: &mut PlayedEntry, second: &mut PlayedEntry, death: u64) {
    first.acknowledge(death).await;
    assert!(!first.gets_end(2, HELD).await, "the second entry may not know of the death");
    second.acknowledge(death).await;
    assert!(first.gets_end(2, SOON).await, "no last frame");
}

/// Which requests a report names.
#[derive(Debug, PartialEq, Eq)]
struct Named {
    culprit: bool,
    innocent: bool,
}

impl Named {
    fn of(digests: &[bytes::Bytes]) -> Self {
        let has =
            |prompt| digests.iter().any(|bytes| Digest::from_slice(bytes) == Some(digest(prompt)));
        Self { culprit: has(CULPRIT), innocent: has(INNOCENT) }
    }
}

/// Accepts a connection and reads a request with this prompt from it.
async fn accept_request(engine: &TcpListener, prompt: &str) -> TcpStream {
    let (mut stream, _) = engine.accept().await.expect("loopback");
    let mut request = Vec::new();
    while !request.ends_with(b"}") {
        let read = stream.read_buf(&mut request).await.expect("connected");
        assert!(read > 0, "the request was cut");
    }
    assert!(String::from_utf8_lossy(&request).contains(prompt), "another request");
    stream
}

/// Writes a whole answer.
async fn answer(stream: &mut TcpStream) {
    let body = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n";
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await.expect("connected");
}

/// Fills the queue of connections that the engine has not accepted, so that no other connection is
/// made.
async fn fill_queue(engine: SocketAddr) -> Vec<TcpStream> {
    let mut queue = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(engine)).await
    {
        queue.push(stream);
    }
    queue
}
