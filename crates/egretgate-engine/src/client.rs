//! Client of one engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use egretgate_core::{FencingNumber, VersionId};
use egretgate_http::{Answer, Client, Result};
use http::Method;
use http::header::HeaderName;

use crate::message::{Action, CacheEvents, EngineLoad, Order, OrderOutcome, Versions};

/// Header with the id of a request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the version that must execute a request.
const VERSION: HeaderName = HeaderName::from_static("x-version");
/// Timeout of every call except completions and orders.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an order, which may load a model.
const ORDER_TIMEOUT: Duration = Duration::from_mins(1);

/// A completion request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request, by which the engine can cancel it.
    pub id: String,
    /// HTTP path.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Version that must execute it; if empty, the engine chooses.
    pub version: VersionId,
    /// Body, forwarded unchanged.
    pub body: Bytes,
}

impl Call {
    /// Returns a call with a JSON body.
    pub fn new(id: impl Into<String>, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            id: id.into(),
            path: path.into(),
            content_type: "application/json".to_owned(),
            version: VersionId::new(),
            body: body.into(),
        }
    }

    /// Sets the content type of the body.
    #[must_use]
    pub fn content_type(mut self, content_type: impl Into<String>) -> Self {
        self.content_type = content_type.into();
        self
    }

    /// Sets the version that must execute the call.
    #[must_use]
    pub fn version(mut self, version: impl Into<VersionId>) -> Self {
        self.version = version.into();
        self
    }
}

impl From<Call> for egretgate_http::Call {
    fn from(call: Call) -> Self {
        let request = Self::new(Method::POST, call.path)
            .header(REQUEST_ID, &call.id)
            .body(&call.content_type, call.body);
        if call.version.is_empty() { request } else { request.header(VERSION, &call.version) }
    }
}

/// A client of one engine. Clones share its connections.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: Client,
}

impl EngineClient {
    /// Returns a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: Client::new(address) }
    }

    /// Returns the engine's address.
    pub const fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sends a completion and returns once the head of the answer has arrived.
    ///
    /// The call is written at most once. [`Error::NotSent`] proves that no byte of it was written.
    /// Dropping the future or the answer cancels the call.
    ///
    /// [`Error::NotSent`]: egretgate_http::Error::NotSent
    pub async fn complete(&self, call: Call) -> Result<Answer> {
        self.http.send(call.into()).await
    }

    /// Cancels a call by its id. Returns false if the engine never received it.
    pub async fn cancel(&self, id: &str) -> Result<bool> {
        let call = egretgate_http::Call::new(Method::POST, format!("/v1/cancel/{id}"));
        let answer = self.http.fetch(call, QUERY_TIMEOUT).await?;
        Ok(answer.is_success())
    }

    /// Returns the engine's load report, which lags behind its state.
    pub async fn load(&self) -> Result<EngineLoad> {
        self.get("/v1/load").await
    }

    /// Returns the cache events from sequence number `from` on. They may be late and have gaps.
    pub async fn events(&self, from: u64) -> Result<CacheEvents> {
        self.get(&format!("/v1/events?from={from}")).await
    }

    /// Returns the versions that the engine has loaded.
    pub async fn versions(&self) -> Result<Versions> {
        self.get("/v1/versions").await
    }

    /// Orders the engine to load or unload a version, with the fencing number of the sender's
    /// lease.
    pub async fn order(
        &self,
        fence: FencingNumber,
        action: Action,
        version: &str,
    ) -> Result<OrderOutcome> {
        let order = Order { fence, action, version };
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let call = egretgate_http::Call::post("/v1/orders", body);
        let answer = self.http.fetch(call, ORDER_TIMEOUT).await?;
        Ok(OrderOutcome::from_status(answer.status))
    }

    /// Returns true if the engine answers within `timeout`, with any status.
    pub async fn alive(&self, timeout: Duration) -> bool {
        let call = egretgate_http::Call::get("/v1/versions");
        self.http.fetch(call, timeout).await.is_ok()
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.http.fetch(egretgate_http::Call::get(path), QUERY_TIMEOUT).await?.json()
    }
}
