//! Client of the operator API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use egretgate_core::Offset;
use futures::{Stream, TryStreamExt};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};

use crate::proto;
use crate::proto::move_request::Action;
use crate::proto::operator_client::OperatorClient;
use crate::server::MAX_MESSAGE_BYTES;
use crate::{auth, status};

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call other than a stream; longer than the server's, so that the server's timeout is
/// reported instead of a lost answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(35);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection to the entry could be made; nothing was sent.
    Unreachable(String),
    /// The entry refused the call.
    Refused(egretgate_core::Error),
    /// The connection failed during the call; a change may or may not have been accepted.
    Lost(String),
}

/// Connection to the operator API of one entry.
#[derive(Debug, Clone)]
pub struct Client {
    inner: OperatorClient<InterceptedService<Channel, ShowToken>>,
}

/// Interceptor that adds the token to each call.
#[derive(Clone)]
struct ShowToken(Option<MetadataValue<Ascii>>);

impl Client {
    /// Connects to the entry at `address`; each call then carries `token`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if no connection is made within a few seconds or the token
    /// contains characters that metadata does not allow.
    pub async fn connect(address: SocketAddr, token: Option<&str>) -> Result<Self> {
        let unreachable = |detail: String| Error::Unreachable(format!("{address}: {detail}"));
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| unreachable(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .connect()
            .await
            .map_err(|error| unreachable(root_cause(&error)))?;
        let token =
            token.map(|token| format!("{}{token}", auth::BEARER_PREFIX).parse()).transpose();
        let mut token: Option<MetadataValue<Ascii>> = token.map_err(|_| {
            unreachable("the token contains characters that are not allowed".to_owned())
        })?;
        if let Some(token) = &mut token {
            token.set_sensitive(true);
        }
        let inner = OperatorClient::with_interceptor(channel, ShowToken(token))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Ok(Self { inner })
    }

    /// Creates, replaces and deletes declared items.
    pub async fn apply(&mut self, request: proto::ApplyRequest) -> Result<proto::ApplyReply> {
        let reply = self.inner.apply(with_timeout(request)).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }

    /// Returns the declared items of one kind, or of all kinds.
    pub async fn get(&mut self, request: proto::GetRequest) -> Result<proto::GetReply> {
        let reply = self.inner.get(with_timeout(request)).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }

    /// Returns up to `limit` records starting at offset `from`; all if `limit` is 0.
    pub async fn records(
        &mut self,
        from: Offset,
        limit: u64,
    ) -> Result<impl Stream<Item = Result<proto::Record>> + use<>> {
        let request = proto::RecordsRequest { from, limit };
        let stream: Streaming<proto::Record> = self.inner.records(request).await?.into_inner();
        Ok(stream.map_err(Error::from))
    }

    /// Begins, cancels or shows version moves.
    pub async fn moves(
        &mut self,
        author: Option<proto::Author>,
        action: Action,
    ) -> Result<proto::MoveReply> {
        let request = proto::MoveRequest { author, action: Some(action) };
        let reply = self.inner.r#move(with_timeout(request)).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }

    /// Lists quarantined requests or lifts a quarantine.
    pub async fn quarantine(
        &mut self,
        request: proto::QuarantineRequest,
    ) -> Result<proto::QuarantineReply> {
        let reply = self.inner.quarantine(with_timeout(request)).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }

    /// Drains or restores a zone.
    pub async fn zone(&mut self, request: proto::ZoneRequest) -> Result<proto::ZoneReply> {
        let reply = self.inner.zone(with_timeout(request)).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }

    /// Returns the counts of good and bad requests of the entry.
    pub async fn burn(&mut self) -> Result<proto::BurnReply> {
        let reply = self.inner.burn(with_timeout(proto::BurnRequest {})).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }

    /// Returns the log position of each process, and the drained zones.
    pub async fn status(&mut self) -> Result<proto::StatusReply> {
        let reply = self.inner.status(with_timeout(proto::StatusRequest {})).await;
        reply.map(tonic::Response::into_inner).map_err(Error::from)
    }
}

impl tonic::service::Interceptor for ShowToken {
    fn call(&mut self, mut request: Request<()>) -> std::result::Result<Request<()>, Status> {
        if let Some(token) = &self.0 {
            request.metadata_mut().insert(auth::AUTHORIZATION_KEY, token.clone());
        }
        Ok(request)
    }
}

impl fmt::Debug for ShowToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShowToken").field("set", &self.0.is_some()).finish()
    }
}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        match status::to_error(&status) {
            Some(error) => Self::Refused(error),
            None => Self::Lost(format!("{}: {}", status.code(), status.message())),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(detail) => write!(f, "unreachable: {detail}"),
            Self::Refused(error) => write!(f, "refused: {error}"),
            Self::Lost(detail) => write!(f, "the answer was lost: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

fn with_timeout<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    request.set_timeout(CALL_TIMEOUT);
    request
}

/// Returns the innermost cause, which holds the operating system's error.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
