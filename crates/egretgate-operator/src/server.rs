//! Server of the operator API.

use std::pin::Pin;
use std::time::Duration;

use egretgate_core::{Error, ErrorKind, Execution, Result};
use futures::{Stream, TryStreamExt, stream};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tonic::service::interceptor::InterceptedService;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::auth::Auth;
use crate::author::check_author;
use crate::call::{Call, Page, Reply};
use crate::proto;
use crate::proto::move_request::Action;
use crate::proto::operator_server::{Operator, OperatorServer};
use crate::status;

/// Maximum size of a message in either direction, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Maximum records per page: at most 8 MiB with the largest records.
const MAX_PAGE_RECORDS: usize = 32;
/// Timeout of a call; for a stream, of each page.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum concurrent calls per connection.
const MAX_CONNECTION_CALLS: usize = 32;
/// Interval of HTTP/2 keepalive pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Serves the operator API by passing each call to the task that owns the state.
#[derive(Debug)]
pub struct Server {
    auth: Auth,
    calls: mpsc::Sender<Call>,
}

impl Server {
    /// Returns a server that sends calls to `calls`. It requires `token`, or no token if `None`.
    pub const fn new(token: Option<String>, calls: mpsc::Sender<Call>) -> Self {
        Self { auth: Auth::new(token), calls }
    }

    /// Serves connections until `stop` completes, then finishes the calls in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(
        self,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
    ) -> std::result::Result<(), tonic::transport::Error> {
        let service = OperatorServer::new(Handler { calls: self.calls })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        tonic::transport::Server::builder()
            .concurrency_limit_per_connection(MAX_CONNECTION_CALLS)
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .add_service(InterceptedService::new(service, self.auth))
            .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop)
            .await
    }
}

/// Implements the generated service: turns each call into a [`Call`].
#[derive(Debug)]
struct Handler {
    calls: mpsc::Sender<Call>,
}

impl Handler {
    async fn answer<T>(
        &self,
        call: impl FnOnce(Reply<T>) -> Call,
    ) -> std::result::Result<Response<T>, Status> {
        let reply = send_call(&self.calls, call).await;
        reply.map(Response::new).map_err(|error| status::from_error(&error))
    }
}

#[tonic::async_trait]
impl Operator for Handler {
    type RecordsStream =
        Pin<Box<dyn Stream<Item = std::result::Result<proto::Record, Status>> + Send>>;

    async fn apply(
        &self,
        request: Request<proto::ApplyRequest>,
    ) -> std::result::Result<Response<proto::ApplyReply>, Status> {
        let request = request.into_inner();
        if !request.dry_run {
            require_author(request.author.as_ref())?;
        }
        self.answer(|reply| Call::Apply(request, reply)).await
    }

    async fn get(
        &self,
        request: Request<proto::GetRequest>,
    ) -> std::result::Result<Response<proto::GetReply>, Status> {
        self.answer(|reply| Call::Get(request.into_inner(), reply)).await
    }

    async fn records(
        &self,
        request: Request<proto::RecordsRequest>,
    ) -> std::result::Result<Response<Self::RecordsStream>, Status> {
        let records = records(self.calls.clone(), request.into_inner());
        Ok(Response::new(Box::pin(records.map_err(|error| status::from_error(&error)))))
    }

    async fn r#move(
        &self,
        request: Request<proto::MoveRequest>,
    ) -> std::result::Result<Response<proto::MoveReply>, Status> {
        let request = request.into_inner();
        match &request.action {
            Some(Action::Begin(_) | Action::Cancel(_)) => require_author(request.author.as_ref())?,
            Some(Action::Show(_)) => {}
            None => return Err(status::from_error(&bad_request("no action is requested"))),
        }
        self.answer(|reply| Call::Move(request, reply)).await
    }

    async fn quarantine(
        &self,
        request: Request<proto::QuarantineRequest>,
    ) -> std::result::Result<Response<proto::QuarantineReply>, Status> {
        let request = request.into_inner();
        if !request.lift.is_empty() {
            require_author(request.author.as_ref())?;
        }
        self.answer(|reply| Call::Quarantine(request, reply)).await
    }

    async fn zone(
        &self,
        request: Request<proto::ZoneRequest>,
    ) -> std::result::Result<Response<proto::ZoneReply>, Status> {
        let request = request.into_inner();
        require_author(request.author.as_ref())?;
        if request.action() == proto::zone_request::Action::Unspecified {
            return Err(status::from_error(&bad_request("no action is requested")));
        }
        self.answer(|reply| Call::Zone(request, reply)).await
    }

    async fn burn(
        &self,
        request: Request<proto::BurnRequest>,
    ) -> std::result::Result<Response<proto::BurnReply>, Status> {
        self.answer(|reply| Call::Burn(request.into_inner(), reply)).await
    }

    async fn status(
        &self,
        request: Request<proto::StatusRequest>,
    ) -> std::result::Result<Response<proto::StatusReply>, Status> {
        self.answer(|reply| Call::Status(request.into_inner(), reply)).await
    }
}

/// Sends a call to the task that owns the state and waits for its reply.
async fn send_call<T>(
    calls: &mpsc::Sender<Call>,
    call: impl FnOnce(Reply<T>) -> Call,
) -> Result<T> {
    let (reply, answer) = oneshot::channel();
    let exchange = async {
        let stopping = || Error::new(ErrorKind::Stopping, "the entry is shutting down");
        calls.send(call(reply)).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| unanswered("the entry dropped the call"))?
    };
    let timed_out = || unanswered("the entry did not answer in time");
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.map_err(|_| timed_out())?
}

/// Streams the requested records. A page is requested only after the previous one was consumed.
fn records(
    calls: mpsc::Sender<Call>,
    request: proto::RecordsRequest,
) -> impl Stream<Item = Result<proto::Record>> {
    let remaining = if request.limit == 0 { u64::MAX } else { request.limit };
    let pages = stream::try_unfold((request.from, remaining), move |(from, remaining)| {
        let calls = calls.clone();
        async move {
            let limit = usize::try_from(remaining).unwrap_or(usize::MAX).min(MAX_PAGE_RECORDS);
            if limit == 0 {
                return Ok(None);
            }
            let page = Page { from, limit };
            let records = send_call(&calls, |reply| Call::Records(page, reply)).await?;
            let Some(last) = records.last() else { return Ok(None) };
            let next = last.offset + 1;
            let is_last = records.len() < limit;
            let remaining = if is_last { 0 } else { remaining - records.len() as u64 };
            Ok(Some((stream::iter(records.into_iter().map(Ok)), (next, remaining))))
        }
    });
    pages.try_flatten()
}

fn require_author(author: Option<&proto::Author>) -> std::result::Result<(), Status> {
    check_author(author).map_err(|error| status::from_error(&error))
}

fn bad_request(detail: &str) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}

/// Returns the error for a call whose outcome is unknown.
fn unanswered(detail: &str) -> Error {
    Error::new(ErrorKind::Internal, detail).with_execution(Execution::Unknown)
}
