//! Calls over a real connection: authentication, authors, typed errors, streams and shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use egretgate_core::{Error, ErrorKind, Execution};
use egretgate_operator::proto::move_request::Action;
use egretgate_operator::{Call, Client, ClientError, Page, Server, proto};
use futures::TryStreamExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

const TOKEN: &str = "0123456789abcdef-token";
/// Number of records that the test server returns.
const RECORD_COUNT: u64 = 1_000;

struct Entry {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    served: JoinHandle<()>,
}

/// Starts a server that passes calls to `answer`.
async fn start(token: Option<&str>, answer: fn(Call)) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("address");
    let (calls, mut receiver) = mpsc::channel(8);
    let (stop, stopped) = oneshot::channel::<()>();
    let server = Server::new(token.map(str::to_owned), calls);
    let served = tokio::spawn(async move {
        let stop = async { drop(stopped.await) };
        server.serve(listener, stop).await.expect("served");
    });
    tokio::spawn(async move {
        while let Some(call) = receiver.recv().await {
            answer(call);
        }
    });
    Entry { address, stop, served }
}

fn record(offset: u64) -> proto::Record {
    proto::Record { offset, ..proto::Record::default() }
}

/// Answers Get with an error, drops Burn and answers every other call with success.
fn answer(call: Call) {
    match call {
        Call::Apply(request, reply) => {
            let accepted = !request.dry_run;
            drop(reply.send(Ok(proto::ApplyReply { accepted, ..Default::default() })));
        }
        Call::Get(_, reply) => {
            let error = Error::new(ErrorKind::LogOutage, "the log: 10% of reads answer")
                .with_retry_after(Duration::from_millis(1_500))
                .with_execution(Execution::Unknown);
            drop(reply.send(Err(error)));
        }
        Call::Records(Page { from, limit }, reply) => {
            let end = RECORD_COUNT.min(from.saturating_add(limit as u64));
            drop(reply.send(Ok((from..end).map(record).collect())));
        }
        Call::Move(_, reply) => drop(reply.send(Ok(proto::MoveReply::default()))),
        Call::Quarantine(_, reply) => drop(reply.send(Ok(proto::QuarantineReply::default()))),
        Call::Zone(_, reply) => drop(reply.send(Ok(proto::ZoneReply::default()))),
        Call::Burn(_, reply) => drop(reply),
        Call::Status(_, reply) => drop(reply.send(Ok(proto::StatusReply::default()))),
    }
}

fn refusal_kind<T: std::fmt::Debug>(result: Result<T, ClientError>) -> ErrorKind {
    assert_matches!(result, Err(ClientError::Refused(error)) => error.kind)
}

struct TokenCase {
    name: &'static str,
    required: Option<&'static str>,
    presented: Option<&'static str>,
    accepted: bool,
}

const TOKEN_CASES: [TokenCase; 7] = [
    TokenCase { name: "right", required: Some(TOKEN), presented: Some(TOKEN), accepted: true },
    TokenCase { name: "none", required: Some(TOKEN), presented: None, accepted: false },
    TokenCase { name: "empty", required: Some(TOKEN), presented: Some(""), accepted: false },
    TokenCase {
        name: "prefix",
        required: Some(TOKEN),
        presented: Some("0123456789abcdef"),
        accepted: false,
    },
    TokenCase {
        name: "longer",
        required: Some(TOKEN),
        presented: Some("0123456789abcdef-token-x"),
        accepted: false,
    },
    TokenCase {
        name: "last byte differs",
        required: Some(TOKEN),
        presented: Some("0123456789abcdef-tokeN"),
        accepted: false,
    },
    TokenCase { name: "not required", required: None, presented: None, accepted: true },
];

#[tokio::test]
async fn token_is_required_on_every_call() {
    for case in TOKEN_CASES {
        let entry = start(case.required, answer).await;
        let mut client = Client::connect(entry.address, case.presented).await.expect("connection");
        let status = client.status().await;
        assert_eq!(status.is_ok(), case.accepted, "{}", case.name);
        if case.accepted {
            continue;
        }
        assert_eq!(refusal_kind(status), ErrorKind::Unauthenticated, "{}", case.name);
        let author = Some(proto::Author { operator: "ana".into(), reason: "test".into() });
        let apply = proto::ApplyRequest { author: author.clone(), ..Default::default() };
        let show = Action::Show(proto::MoveShow::default());
        let refused = [
            refusal_kind(client.apply(apply).await),
            refusal_kind(client.get(proto::GetRequest::default()).await),
            refusal_kind(client.moves(author, show).await),
            refusal_kind(client.quarantine(proto::QuarantineRequest::default()).await),
            refusal_kind(client.burn().await),
            refusal_kind(client.records(0, 0).await.map(drop)),
        ];
        assert_eq!(refused, [ErrorKind::Unauthenticated; 6], "{}", case.name);
    }
}

struct AuthorCase {
    name: &'static str,
    operator: &'static str,
    reason: &'static str,
}

const AUTHOR_CASES: [AuthorCase; 4] = [
    AuthorCase { name: "no operator", operator: "", reason: "season start" },
    AuthorCase { name: "blank operator", operator: "  ", reason: "season start" },
    AuthorCase { name: "no reason", operator: "ana", reason: "" },
    AuthorCase { name: "line break", operator: "ana\noperator=bob", reason: "season start" },
];

#[tokio::test]
async fn change_without_operator_or_reason_is_refused() {
    let entry = start(None, answer).await;
    let mut client = Client::connect(entry.address, None).await.expect("connection");
    let authors = AUTHOR_CASES.iter().map(|case| {
        let author = proto::Author { operator: case.operator.into(), reason: case.reason.into() };
        (case.name, Some(author))
    });
    for (name, author) in authors.chain([("no author", None)]) {
        let apply = proto::ApplyRequest { author: author.clone(), ..Default::default() };
        let lift = vec![0; 16];
        let begin = Action::Begin(proto::MoveBegin::default());
        let cancel = Action::Cancel(proto::MoveCancel::default());
        let refused = [
            refusal_kind(client.apply(apply).await),
            refusal_kind(client.moves(author.clone(), begin).await),
            refusal_kind(client.moves(author.clone(), cancel).await),
            refusal_kind(client.quarantine(proto::QuarantineRequest { author, lift }).await),
        ];
        assert_eq!(refused, [ErrorKind::BadRequest; 4], "{name}");
    }
    let dry = proto::ApplyRequest { dry_run: true, ..Default::default() };
    assert_matches!(client.apply(dry).await, Ok(reply) if !reply.accepted);
}

#[tokio::test]
async fn errors_keep_kind_execution_and_retry_after() {
    let entry = start(None, answer).await;
    let mut client = Client::connect(entry.address, None).await.expect("connection");
    let error = assert_matches!(
        client.get(proto::GetRequest::default()).await,
        Err(ClientError::Refused(error)) => error
    );
    let sent = Error::new(ErrorKind::LogOutage, "the log: 10% of reads answer")
        .with_retry_after(Duration::from_millis(1_500))
        .with_execution(Execution::Unknown);
    assert_eq!(error, sent);
    // A call that the entry dropped is reported with an unknown outcome.
    let dropped = assert_matches!(client.burn().await, Err(ClientError::Refused(error)) => error);
    assert_eq!((dropped.kind, dropped.execution), (ErrorKind::Internal, Execution::Unknown));
}

#[tokio::test]
async fn every_error_kind_round_trips() {
    fn refuse_with_kind(call: Call) {
        let Call::Records(page, reply) = call else { return };
        let kind = ErrorKind::ALL[page.from as usize];
        drop(reply.send(Err(Error::new(kind, "detail"))));
    }
    let entry = start(None, refuse_with_kind).await;
    let mut client = Client::connect(entry.address, None).await.expect("connection");
    for (index, expected) in ErrorKind::ALL.into_iter().enumerate() {
        let stream = client.records(index as u64, 1).await.expect("stream");
        let records: Result<Vec<_>, _> = stream.try_collect().await;
        let error = assert_matches!(records, Err(ClientError::Refused(error)) => error);
        assert_eq!(error, Error::new(expected, "detail"));
    }
}

struct StreamCase {
    from: u64,
    limit: u64,
    expected: std::ops::Range<u64>,
}

const STREAM_CASES: [StreamCase; 5] = [
    StreamCase { from: 0, limit: 0, expected: 0..RECORD_COUNT },
    StreamCase { from: 10, limit: 3, expected: 10..13 },
    StreamCase { from: 100, limit: 512, expected: 100..612 },
    StreamCase { from: RECORD_COUNT - 1, limit: 0, expected: RECORD_COUNT - 1..RECORD_COUNT },
    StreamCase { from: RECORD_COUNT + 5, limit: 0, expected: 0..0 },
];

#[tokio::test]
async fn records_arrive_complete_and_in_order() {
    let entry = start(None, answer).await;
    let mut client = Client::connect(entry.address, None).await.expect("connection");
    for case in STREAM_CASES {
        let stream = client.records(case.from, case.limit).await.expect("stream");
        let found: Vec<_> = stream.map_ok(|record| record.offset).try_collect().await.expect("all");
        assert_eq!(found, case.expected.collect::<Vec<_>>());
    }
}

#[tokio::test]
async fn stopped_server_is_unreachable() {
    let entry = start(None, answer).await;
    let mut client = Client::connect(entry.address, None).await.expect("connection");
    assert!(client.status().await.is_ok());
    entry.stop.send(()).expect("server runs");
    entry.served.await.expect("graceful end");
    assert_matches!(client.status().await, Err(ClientError::Lost(_)));
    assert_matches!(Client::connect(entry.address, None).await, Err(ClientError::Unreachable(_)));
}

/// Measuring the duration would be unreliable, so this test checks that the source uses `ct_eq`.
#[test]
fn token_is_compared_in_constant_time() {
    let source = include_str!("../src/auth.rs");
    assert_eq!(source.matches(".ct_eq(").count(), 1);
    assert!(!source.contains("=="));
}
