//! The HTTP server that callers reach.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use egretgate_core::{Error, ErrorKind, Result};
use futures::stream;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::{HeaderMap, HeaderValue, ParseError, ResBody, StatusCode, header};
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::answer::{error_event, write_error};
use crate::call::{Call, Credentials, EntryRequest, Head, Reply, Target};
use crate::completion::CompletionRequest;
use crate::listen::listen;

/// Number of parts of an answer that are buffered for a slow caller.
const REPLY_BUFFER: usize = 64;
const TEAM_HEADER: &str = "x-egret-team";
const TIER_HEADER: &str = "x-egret-tier";
const DEADLINE_HEADER: &str = "x-egret-deadline-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const REQUEST_ID_HEADER: &str = "x-request-id";
const EVENT_STREAM: &str = "text/event-stream";

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Most concurrent connections.
    pub connections: usize,
    /// Timeout for receiving a request's head, and again for receiving its body.
    pub receive_timeout: Duration,
}

/// A bound server for callers.
pub struct CallerServer {
    server: Server<TcpAcceptor>,
    router: Router,
    address: std::net::SocketAddr,
}

impl CallerServer {
    /// Binds `address`. Each request is sent to `entry`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when binding.
    pub fn bind(
        address: std::net::SocketAddr,
        limits: Limits,
        entry: mpsc::Sender<EntryRequest>,
    ) -> io::Result<Self> {
        let acceptor = listen(address)?;
        let address = acceptor.local_addr()?;
        let fuse = FuseConfig::default().with_http1_header_timeout(limits.receive_timeout);
        let server = Server::new(acceptor).fuse_config(fuse).max_connections(limits.connections);
        let router = Router::new()
            .push(Router::with_path("v1/models").get(ModelsHandler { entry: entry.clone() }))
            .push(Router::with_path("{**rest}").goal(CallHandler { entry, limits }));
        Ok(Self { server, router, address })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Returns the handle that stops the server.
    pub fn handle(&self) -> ServerHandle {
        self.server.handle()
    }

    /// Serves until stopped by the handle.
    ///
    /// # Errors
    ///
    /// Any error of the listening socket.
    pub async fn serve(self) -> io::Result<()> {
        self.server.try_serve(self.router).await
    }
}

struct ModelsHandler {
    entry: mpsc::Sender<EntryRequest>,
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

#[async_trait]
impl Handler for ModelsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let (sender, receiver) = oneshot::channel();
        let sent = self.entry.send(EntryRequest::Models(sender)).await;
        match (sent, receiver.await) {
            (Ok(()), Ok(names)) => write_models(names, response),
            _ => write_error(&stopping_error(), response),
        }
    }
}

fn write_models(names: Vec<String>, response: &mut Response) {
    let data =
        names.into_iter().map(|id| Model { id, object: "model", owned_by: "egretgate" }).collect();
    let list = ModelList { object: "list", data };
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let _ = response.write_body(serde_json::to_vec(&list).unwrap_or_default());
}

struct CallHandler {
    entry: mpsc::Sender<EntryRequest>,
    limits: Limits,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(error) = self.run(request, response).await {
            write_error(&error, response);
        }
    }
}

impl CallHandler {
    async fn run(&self, request: &mut Request, response: &mut Response) -> Result<()> {
        let body = self.read_body(request).await?;
        let (reply, mut replies) = mpsc::channel(REPLY_BUFFER);
        let call = build_call(request, body, reply)?;
        self.entry.send(EntryRequest::Call(Box::new(call))).await.map_err(|_| stopping_error())?;
        match replies.recv().await {
            Some(Reply::Head(head)) => {
                write_head(&head, response);
                response.replace_body(body_stream(replies, head.content_type));
                Ok(())
            }
            Some(Reply::Failed(error)) => Err(error),
            Some(Reply::Data(_) | Reply::End) | None => {
                Err(Error::new(ErrorKind::Internal, "the request's task ended without an answer"))
            }
        }
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes> {
        let payload = request.payload_with_max_size(self.limits.body_bytes);
        match tokio::time::timeout(self.limits.receive_timeout, payload).await {
            Ok(Ok(body)) => Ok(body.clone()),
            Ok(Err(ParseError::PayloadTooLarge)) => {
                let detail = format!("the body is over {} bytes", self.limits.body_bytes);
                Err(Error::new(ErrorKind::TooLarge, detail))
            }
            Ok(Err(_)) => Err(Error::new(ErrorKind::BadRequest, "the body was cut")),
            Err(_) => Err(Error::new(ErrorKind::SlowRequest, "the body did not arrive in time")),
        }
    }
}

fn build_call(request: &Request, body: Bytes, reply: mpsc::Sender<Reply>) -> Result<Call> {
    let headers = request.headers();
    let path = request.uri().path();
    let path_and_query = request.uri().path_and_query().map_or(path, |value| value.as_str());
    let mut call = Call {
        credentials: credentials(headers),
        tier: text(headers, TIER_HEADER)?,
        target: Target::Path(path.to_owned()),
        method: request.method().as_str().to_owned(),
        path: path_and_query.to_owned(),
        content_type: text(headers, "content-type")?.unwrap_or_default(),
        body,
        stream: false,
        prompt_tokens: 0,
        max_tokens: None,
        prefix_hash: 0,
        idempotency_key: text(headers, IDEMPOTENCY_KEY_HEADER)?,
        deadline: deadline(headers)?,
        reply,
    };
    if matches!(path, "/v1/completions" | "/v1/chat/completions") {
        let completion = CompletionRequest::parse(&call.body)?;
        call.target = Target::Model(completion.model);
        call.stream = completion.stream;
        call.prompt_tokens = completion.prompt_tokens;
        call.max_tokens = completion.max_tokens;
        call.prefix_hash = completion.prefix_hash;
    }
    Ok(call)
}

fn credentials(headers: &HeaderMap) -> Credentials {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::to_owned);
    let team = headers.get(TEAM_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned);
    Credentials { key, team }
}

fn text(headers: &HeaderMap, name: &'static str) -> Result<Option<String>> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(value) => Ok(Some(value.to_owned())),
        Err(_) => Err(Error::new(ErrorKind::BadRequest, format!("header {name} is not text"))),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else { return Ok(None) };
    match value.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => {
            let detail = format!("header {DEADLINE_HEADER} is not a positive number");
            Err(Error::new(ErrorKind::BadRequest, detail))
        }
    }
}

fn write_head(head: &Head, response: &mut Response) {
    response.status_code(StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&head.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(&head.ticket) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if let Some(Ok(value)) = head.idempotency_key.as_deref().map(HeaderValue::from_str) {
        headers.insert(IDEMPOTENCY_KEY_HEADER, value);
    }
}

/// Streams the rest of an answer. An event stream that is cut between two events ends with an error
/// event; any other cut body ends with a closed connection, so that it doesn't look complete.
fn body_stream(replies: mpsc::Receiver<Reply>, content_type: String) -> ResBody {
    let events = content_type.starts_with(EVENT_STREAM);
    let start = Some((replies, StreamTail::default()));
    let parts = stream::unfold(start, move |state| async move {
        let (mut replies, mut tail) = state?;
        match replies.recv().await {
            Some(Reply::Data(data)) => {
                tail.push(&data);
                Some((Ok(data), Some((replies, tail))))
            }
            Some(Reply::End) => None,
            Some(Reply::Failed(error)) if events && tail.is_between_events() => {
                Some((Ok(error_event(&error)), None))
            }
            Some(Reply::Failed(error)) => Some((Err(io::Error::other(error)), None)),
            Some(Reply::Head(_)) | None => {
                Some((Err(io::Error::other("the answer was cut")), None))
            }
        }
    });
    ResBody::stream(parts)
}

/// The last bytes of an event stream, enough to tell whether its last event is complete.
#[derive(Debug, Default)]
struct StreamTail(Vec<u8>);

impl StreamTail {
    /// Length of the longest end of an event that matters, a line end and a blank line.
    const BYTES: usize = b"\n\r\n".len();

    fn push(&mut self, data: &[u8]) {
        self.0.extend_from_slice(&data[data.len().saturating_sub(Self::BYTES)..]);
        self.0.drain(..self.0.len().saturating_sub(Self::BYTES));
    }

    fn is_between_events(&self) -> bool {
        self.0.is_empty() || self.0.ends_with(b"\n\n") || self.0.ends_with(b"\n\r\n")
    }
}

fn stopping_error() -> Error {
    Error::new(ErrorKind::Stopping, "the entry is shutting down")
}
