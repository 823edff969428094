//! One engine or plain service behind the side process.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use egretgate_core::declaration::ServiceKind;
use egretgate_core::{Ticket, VersionId};
use egretgate_engine::EngineClient;
use egretgate_link::message::Offer;
use egretgate_service::ServiceClient;
use egretgate_settings::Engine;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer after which a probe also tries whether the target takes connections.
const CONNECT_AFTER: Duration = Duration::from_millis(250);
/// Timeout of that connection, so that the probe takes no longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Path of a probe of a plain service; an answer with any status counts as success.
const PROBE_PATH: &str = "/healthz";

/// An engine or plain service and the version that it runs. Clones share connections.
#[derive(Debug, Clone)]
pub(crate) struct TargetClient {
    client: Client,
    address: SocketAddr,
    version: VersionId,
}

#[derive(Debug, Clone)]
enum Client {
    Engine(EngineClient),
    Plain(ServiceClient),
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The target answers.
    Answered,
    /// It takes connections and doesn't answer: it hangs, and no request has crashed it.
    Silent,
    /// It takes no connection.
    Unreachable,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte was written.
    NotSent,
    /// The target may have run the request, but the answer is incomplete or missing.
    Cut,
    /// Cancelled by the entry.
    Cancelled,
}

impl TargetClient {
    /// Returns a client of the target at the address of `engine`.
    pub(crate) fn new(kind: ServiceKind, engine: &Engine) -> Self {
        let client = match kind {
            ServiceKind::Engine => Client::Engine(EngineClient::new(engine.address)),
            ServiceKind::Plain => Client::Plain(ServiceClient::new(engine.address)),
        };
        Self { client, address: engine.address, version: engine.version.clone() }
    }

    pub(crate) fn version(&self) -> &VersionId {
        &self.version
    }

    /// Returns true if its streams end with an event that says so.
    pub(crate) const fn marks_end(&self) -> bool {
        matches!(self.client, Client::Engine(_))
    }

    /// Sends a request, at most once, and returns once the head of the answer has arrived.
    pub(crate) async fn call(
        self,
        ticket: Ticket,
        offer: Offer,
    ) -> Result<egretgate_http::Answer, Failure> {
        let id = ticket.to_string();
        let sent = match &self.client {
            Client::Engine(client) => {
                let call = egretgate_engine::Call::new(id, offer.path, offer.body)
                    .content_type(offer.content_type)
                    .version(offer.version);
                client.complete(call).await
            }
            Client::Plain(client) => {
                let mut call =
                    egretgate_service::Call::new(id, offer.method, offer.path, offer.body)
                        .content_type(offer.content_type);
                if !offer.key.is_empty() {
                    call = call.key(offer.key);
                }
                client.call(call).await
            }
        };
        sent.map_err(Failure::from)
    }

    /// Probes the target.
    pub(crate) async fn probe(&self) -> Probe {
        let mut answers = pin!(self.answers());
        let later = async {
            sleep(CONNECT_AFTER).await;
            self.connects().await
        };
        let (answers, connects) = tokio::select! {
            answers = &mut answers => (answers, !answers && self.connects().await),
            connects = later => (answers.await, connects),
        };
        match (answers, connects) {
            (true, _) => Probe::Answered,
            (false, true) => Probe::Silent,
            (false, false) => Probe::Unreachable,
        }
    }

    async fn answers(&self) -> bool {
        match &self.client {
            Client::Engine(client) => client.alive(PROBE_TIMEOUT).await,
            Client::Plain(client) => client.alive(PROBE_PATH, PROBE_TIMEOUT).await,
        }
    }

    async fn connects(&self) -> bool {
        matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await, Ok(Ok(_)))
    }
}

impl From<egretgate_http::Error> for Failure {
    fn from(error: egretgate_http::Error) -> Self {
        if error.may_be_sent() { Self::Cut } else { Self::NotSent }
    }
}
