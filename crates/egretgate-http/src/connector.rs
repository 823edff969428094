//! Opens the connections of a client.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use crate::end_check::{EndChecked, EndState};

type Error = <HttpConnector as Service<Uri>>::Error;
type Result<T> = std::result::Result<T, Error>;

/// Opens connections whose ends are checked.
#[derive(Debug, Clone)]
pub(crate) struct Connector(HttpConnector);

impl Connector {
    /// Returns a connector.
    pub(crate) fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<EndChecked>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(EndChecked::new(stream, EndState::default())))
        })
    }
}
