//! One engine or plain service behind the side process.

use std::time::Duration;

use egretgate_core::declaration::ServiceKind;
use egretgate_core::{Ticket, VersionId};
use egretgate_engine::EngineClient;
use egretgate_link::message::Offer;
use egretgate_service::ServiceClient;
use egretgate_settings::Engine;

/// Time allowed for a sign of life.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Path asked of a plain service for a sign of life; any status is one.
const PROBE_PATH: &str = "/healthz";

/// An engine or plain service, with the version that it runs. Clones share connections.
#[derive(Debug, Clone)]
pub(crate) struct TargetClient {
    client: Client,
    version: VersionId,
}

#[derive(Debug, Clone)]
enum Client {
    Engine(EngineClient),
    Plain(ServiceClient),
}

/// Why a call gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte was written.
    NotSent,
    /// The upstream may have run it, and broke off.
    Cut,
    /// Cancelled on the entry's request.
    Cancelled,
}

impl TargetClient {
    /// Returns the upstream at the address of `engine`.
    pub(crate) fn new(kind: ServiceKind, engine: &Engine) -> Self {
        let client = match kind {
            ServiceKind::Engine => Client::Engine(EngineClient::new(engine.address)),
            ServiceKind::Plain => Client::Plain(ServiceClient::new(engine.address)),
        };
        Self { client, version: engine.version.clone() }
    }

    pub(crate) fn version(&self) -> &VersionId {
        &self.version
    }

    /// Sends a request, at most once, and returns when the head of the answer is there.
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

    /// Returns whether the upstream gives a sign of life.
    pub(crate) async fn is_alive(&self) -> bool {
        match &self.client {
            Client::Engine(client) => client.alive(PROBE_TIMEOUT).await,
            Client::Plain(client) => client.alive(PROBE_PATH, PROBE_TIMEOUT).await,
        }
    }
}

impl From<egretgate_http::Error> for Failure {
    fn from(error: egretgate_http::Error) -> Self {
        if error.may_be_sent() { Self::Cut } else { Self::NotSent }
    }
}
