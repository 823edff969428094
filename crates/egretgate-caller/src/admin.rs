//! The administration address: health, readiness and metrics.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::sync::watch;

use crate::listen::listen;

/// Whether the process can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Has not yet read enough of the shared state.
    Starting,
    /// Serves.
    Ready,
    /// Takes no new requests and finishes the running ones.
    Stopping,
}

/// A bound administration server.
pub struct AdminServer {
    server: Server<TcpAcceptor>,
    router: Router,
    address: SocketAddr,
}

impl AdminServer {
    /// Binds `address`. `metrics` renders the metrics page.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when binding.
    pub fn bind(
        address: SocketAddr,
        health: watch::Receiver<Health>,
        metrics: impl Fn() -> String + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let acceptor = listen(address)?;
        let address = acceptor.local_addr()?;
        let server = Server::new(acceptor);
        let router = Router::new()
            .push(
                Router::with_path("healthz")
                    .get(PageHandler(|| (StatusCode::OK, "ok\n".to_owned()))),
            )
            .push(Router::with_path("readyz").get(PageHandler(move || readiness(*health.borrow()))))
            .push(
                Router::with_path("metrics").get(PageHandler(move || (StatusCode::OK, metrics()))),
            );
        Ok(Self { server, router, address })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle that stops the server.
    pub fn handle(&self) -> ServerHandle {
        self.server.handle()
    }

    /// Serves until stopped by the handle.
    ///
    /// # Errors
    ///
    /// Any error of the listening socket.
    pub async fn serve(self) -> io::Result<()> {
        self.server.try_serve(self.router).await
    }
}

fn readiness(health: Health) -> (StatusCode, String) {
    match health {
        Health::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting\n".to_owned()),
        Health::Ready => (StatusCode::OK, "ready\n".to_owned()),
        Health::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping\n".to_owned()),
    }
}

struct PageHandler<F>(F);

#[async_trait]
impl<F> Handler for PageHandler<F>
where
    F: Fn() -> (StatusCode, String) + Send + Sync + 'static,
{
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let (status, text) = (self.0)();
        response.status_code(status);
        let _ = response.write_body(text);
    }
}
