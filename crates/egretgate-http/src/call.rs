//! A call before it is sent.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

use crate::error::{Error, Result};

/// A call to one peer.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    /// Description of the last header set to an invalid value; reported when the call is sent.
    invalid: Option<String>,
}

impl Call {
    /// Returns a call without headers or body; `path` starts with a slash and may contain a query.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        let headers = HeaderMap::new();
        Self { method, path: path.into(), headers, body: Bytes::new(), invalid: None }
    }

    /// Returns a `GET` call.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// Returns a `POST` call with a JSON body.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, path).body("application/json", body)
    }

    /// Sets a header. With an invalid value, sending the call fails with [`Error::NotSent`].
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: &str) -> Self {
        match HeaderValue::from_str(value) {
            Ok(value) => {
                self.headers.insert(name, value);
            }
            Err(_) => self.invalid = Some(format!("invalid value of header {name}")),
        }
        self
    }

    /// Sets the body and its content type.
    #[must_use]
    pub fn body(self, content_type: &str, body: impl Into<Bytes>) -> Self {
        let mut call = self.header(CONTENT_TYPE, content_type);
        call.body = body.into();
        call
    }

    /// Returns the call as an HTTP request to `authority`.
    pub(crate) fn into_request(self, authority: &str) -> Result<Request<Full<Bytes>>> {
        if let Some(detail) = self.invalid {
            return Err(Error::NotSent(detail));
        }
        let uri = Uri::builder()
            .scheme("http")
            .authority(authority)
            .path_and_query(self.path)
            .build()
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers;
        Ok(request)
    }
}
