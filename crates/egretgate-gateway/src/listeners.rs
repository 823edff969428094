//! Sockets on which the entry listens.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate_core::gateway::start_retry::StartRetry;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

use crate::gateway::Addresses;

/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The sockets without which the entry can't serve.
#[derive(Debug)]
pub(crate) struct Sockets {
    pub(crate) callers: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) peers: UdpSocket,
}

impl Sockets {
    /// Binds all of them once their addresses are free. Until then none is bound: a connection that
    /// nobody accepts would keep its sender waiting.
    pub(crate) async fn bind(addresses: &Addresses, log: &Logger) -> io::Result<Self> {
        let addresses = *addresses;
        let bind_all = move || async move {
            let peers = UdpSocket::bind(addresses.peers).await;
            let peers = peers.map_err(|error| named("peers", addresses.peers, &error))?;
            let ready = listen("ready", addresses.ready).await?;
            let callers = listen("callers", addresses.callers).await?;
            Ok(Self { callers, ready, peers })
        };
        once_free(bind_all, log).await
    }
}

/// Listens for readers of the metrics once the address is free.
pub(crate) async fn listen_metrics(address: SocketAddr, log: &Logger) -> io::Result<TcpListener> {
    once_free(move || listen("metrics", address), log).await
}

async fn listen(purpose: &'static str, address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| named(purpose, address, &error))
}

/// Adds to an error what the address is for.
fn named(purpose: &str, address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{purpose} at {address}: {error}"))
}

/// Binds sockets; waits without limit while another process or a connection has one of their
/// addresses, since a restarted process would find the same.
async fn once_free<S, F: Future<Output = io::Result<S>>>(
    bind: impl Fn() -> F,
    log: &Logger,
) -> io::Result<S> {
    let mut retry = StartRetry::new(Instant::now(), None);
    loop {
        let error = match bind().await {
            Ok(sockets) if retry.is_first() => return Ok(sockets),
            Ok(sockets) => {
                info!(log, "addresses are free";
                    "waited_ms" => retry.waited(Instant::now()).as_millis() as u64);
                return Ok(sockets);
            }
            Err(error) => error,
        };
        if !matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable) {
            return Err(error);
        }
        if retry.is_first() {
            warn!(log, "start waits for an address"; "error" => %error);
        }
        match retry.next_delay(Instant::now()) {
            Some(delay) => sleep(delay).await,
            None => return Err(error),
        }
    }
}

/// Returns the next connection. A series of failures makes one line at its begin and one at its end.
pub(crate) async fn accept(listener: &TcpListener, log: &Logger) -> TcpStream {
    let mut failing: Option<(Instant, u32)> = None;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some((since, failures)) = failing {
                    info!(log, "accepts again"; "failures" => failures,
                        "lost_ms" => since.elapsed().as_millis() as u64);
                }
                return stream;
            }
            Err(error) => {
                if failing.is_none() {
                    warn!(log, "accept failed"; "error" => %error);
                }
                failing.get_or_insert_with(|| (Instant::now(), 0)).1 += 1;
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
