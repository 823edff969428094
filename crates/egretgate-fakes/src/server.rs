//! The HTTP server used by the fakes. It can freeze, close its connections, and crash and restart
//! at the same address.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

use crate::Result;

/// Backlog of connections not yet accepted, after a restart.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time between attempts to bind the address of a crashed server again.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
/// Result of handling a request; an error closes the connection without an answer.
pub(crate) type Answer = io::Result<Response<Body>>;
pub(crate) type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// Injects faults into a server. Clones control the same server.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    commands: mpsc::UnboundedSender<FaultCommand>,
    frozen: watch::Sender<bool>,
}

#[derive(Debug)]
enum FaultCommand {
    Cut,
    Crash(Duration),
}

impl Control {
    /// Closes all connections.
    pub(crate) fn cut(&self) {
        let _ = self.commands.send(FaultCommand::Cut);
    }

    /// Closes all connections and refuses new ones for `down`.
    pub(crate) fn crash(&self, down: Duration) {
        let _ = self.commands.send(FaultCommand::Crash(down));
    }

    /// Suspends or resumes the handling of requests; connections stay open.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the server is not frozen.
    pub(crate) async fn thawed(&self) {
        let _ = self.frozen.subscribe().wait_for(|&frozen| !frozen).await;
    }
}

/// A running server, which stops when dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    control: Control,
    task: JoinHandle<()>,
}

/// A server that is bound to its port but does not serve yet, so that its handler can be given its
/// [`Control`].
pub(crate) struct BoundServer {
    address: SocketAddr,
    listener: TcpListener,
    control: Control,
    commands: mpsc::UnboundedReceiver<FaultCommand>,
}

impl BoundServer {
    /// Binds a free loopback port.
    pub(crate) async fn new() -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (sender, commands) = mpsc::unbounded_channel();
        let control = Control { commands: sender, frozen: watch::Sender::new(false) };
        Ok(Self { address, listener, control, commands })
    }

    pub(crate) fn control(&self) -> Control {
        self.control.clone()
    }

    /// Starts serving requests with `handler`.
    pub(crate) fn serve(self, handler: Handler) -> Server {
        let Self { address, listener, control, commands } = self;
        let task = tokio::spawn(run(address, listener, control.clone(), commands, handler));
        Server { address, control, task }
    }
}

impl Server {
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) const fn control(&self) -> &Control {
        &self.control
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    address: SocketAddr,
    mut listener: TcpListener,
    control: Control,
    mut commands: mpsc::UnboundedReceiver<FaultCommand>,
    handler: Handler,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve(stream, control.clone(), Arc::clone(&handler)));
            }
            Some(_) = connections.join_next() => {}
            command = commands.recv() => match command {
                None => return,
                Some(FaultCommand::Cut) => connections.shutdown().await,
                Some(FaultCommand::Crash(down)) => {
                    drop(listener);
                    connections.shutdown().await;
                    listener = listen_after(address, down).await;
                }
            },
        }
    }
}

/// Refuses connections for `down`, then listens again. The port stays bound meanwhile, so that no
/// other socket can take it.
async fn listen_after(address: SocketAddr, down: Duration) -> TcpListener {
    let until = time::Instant::now() + down;
    let reserved = bind(address).ok();
    time::sleep_until(until).await;
    let mut socket = reserved;
    loop {
        if let Some(listener) = socket.take().and_then(|socket| socket.listen(ACCEPT_BACKLOG).ok())
        {
            return listener;
        }
        time::sleep(REBIND_INTERVAL).await;
        socket = bind(address).ok();
    }
}

fn bind(address: SocketAddr) -> Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn serve(stream: TcpStream, control: Control, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let control = control.clone();
        let handler = Arc::clone(&handler);
        async move {
            control.thawed().await;
            handler(request).await
        }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Reads the complete body of a request.
pub(crate) async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    let body = request.into_body().collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes())
}

/// Returns an answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes)).map_err(|never: Infallible| match never {});
    with_type(status, "application/json", body.boxed_unsync())
}

/// Returns an answer with an empty JSON object as its body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    json(status, &serde_json::json!({}))
}

/// Returns an answer with the given content type and body.
pub(crate) fn with_type(
    status: StatusCode,
    content_type: &'static str,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns the integer value of a query parameter, or `default` if it is missing or malformed.
pub(crate) fn query_number(uri: &Uri, name: &str, default: u64) -> u64 {
    let pairs = uri.query().unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(default)
}

/// Waits until `at`. If `at` has passed, only yields to other tasks, because the runtime's timer
/// would wait until its next millisecond.
pub(crate) async fn wait_until(at: time::Instant) {
    if at > time::Instant::now() {
        time::sleep_until(at).await;
    } else {
        tokio::task::yield_now().await;
    }
}

/// Returns the error that closes a connection without an answer.
pub(crate) fn dropped_connection() -> io::Error {
    io::Error::other("connection closed by an injected fault")
}
