//! Authentication of operators by a shared bearer token.

use std::fmt;

use egretgate_core::{Error, ErrorKind};
use subtle::ConstantTimeEq;
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::status;

/// Metadata key that carries the token.
pub(crate) const AUTHORIZATION_KEY: &str = "authorization";
/// Authentication scheme that precedes the token.
pub(crate) const BEARER_PREFIX: &str = "Bearer ";

/// Interceptor that refuses calls without the right token.
#[derive(Clone)]
pub(crate) struct Auth {
    token: Option<String>,
}

impl Auth {
    /// Returns an interceptor that requires `token`; with `None` it accepts every call.
    pub(crate) const fn new(token: Option<String>) -> Self {
        Self { token }
    }

    /// Returns true if `presented` holds the token. The comparison takes constant time for a given
    /// length, so that its duration reveals nothing about the token.
    fn accepts(&self, presented: Option<&[u8]>) -> bool {
        let Some(token) = &self.token else { return true };
        let presented = presented.and_then(|value| value.strip_prefix(BEARER_PREFIX.as_bytes()));
        presented.is_some_and(|presented| presented.ct_eq(token.as_bytes()).into())
    }
}

impl Interceptor for Auth {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let presented = request
            .metadata()
            .get(AUTHORIZATION_KEY)
            .map(tonic::metadata::MetadataValue::as_encoded_bytes);
        if self.accepts(presented) {
            return Ok(request);
        }
        let detail = "the operator token is missing or wrong";
        Err(status::from_error(&Error::new(ErrorKind::Unauthenticated, detail)))
    }
}

impl fmt::Debug for Auth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Auth").field("required", &self.token.is_some()).finish()
    }
}
