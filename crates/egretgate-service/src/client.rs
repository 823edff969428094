//! Client of one plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use egretgate_http::{Answer, Client, Error, Result};
use http::Method;
use http::header::HeaderName;

/// Header with the id of a request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the idempotency key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Content type of the body; empty if there is none.
    pub content_type: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body, forwarded unchanged.
    pub body: Bytes,
}

impl Call {
    /// Returns a call with a JSON body and no key.
    pub fn new(
        id: impl Into<String>,
        method: impl Into<String>,
        path: impl Into<String>,
        body: impl Into<Bytes>,
    ) -> Self {
        Self {
            id: id.into(),
            method: method.into(),
            path: path.into(),
            content_type: "application/json".to_owned(),
            key: None,
            body: body.into(),
        }
    }

    /// Sets the content type of the body.
    #[must_use]
    pub fn content_type(mut self, content_type: impl Into<String>) -> Self {
        self.content_type = content_type.into();
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }
}

impl TryFrom<Call> for egretgate_http::Call {
    type Error = Error;

    fn try_from(call: Call) -> Result<Self> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| Error::NotSent("invalid method".to_owned()))?;
        let mut request = Self::new(method, call.path).header(REQUEST_ID, &call.id);
        if let Some(key) = &call.key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        if call.content_type.is_empty() && call.body.is_empty() {
            return Ok(request);
        }
        Ok(request.body(&call.content_type, call.body))
    }
}

/// A client of one plain service. Clones share its connections.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    http: Client,
}

impl ServiceClient {
    /// Returns a client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: Client::new(address) }
    }

    /// Returns the service's address.
    pub const fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sends a call and returns once the head of the answer has arrived.
    ///
    /// The call is written at most once. [`Error::NotSent`] proves that no byte of it was written.
    /// Dropping the future or the answer cancels the call, which may have been executed.
    pub async fn call(&self, call: Call) -> Result<Answer> {
        self.http.send(call.try_into()?).await
    }

    /// Returns true if the service answers a `GET` of `path` within `timeout`, with any status.
    pub async fn alive(&self, path: &str, timeout: Duration) -> bool {
        self.http.fetch(egretgate_http::Call::get(path), timeout).await.is_ok()
    }
}
