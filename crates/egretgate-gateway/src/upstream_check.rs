//! Checks whether an upstream is up after it broke an answer.
//!
//! A request that crashes its upstreams and an upstream that loses answers look alike to the run that
//! broke. After a crash nothing accepts connections until the upstream has restarted.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{BrokenRun, UpstreamKey};
use slog::{Logger, info};
use tokio::time::sleep;

use crate::connect::{Connection, connect};
use crate::dispatcher::{DispatcherHandle, Message};

/// Time for which a new connection must stay open before another one is tried: a process that ends
/// may still accept some.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Connections after which an upstream that accepts and closes each is up: it is crowded.
const MAX_CONNECTIONS: u32 = 3;

/// What a check found.
enum Finding {
    /// The upstream accepts connections; this one is still open.
    Up(Option<Connection>),
    /// It accepts none, for this reason.
    Down(io::Error),
}

/// A check of the upstream of a run that broke.
#[derive(Debug)]
pub(crate) struct UpstreamCheck {
    pub(crate) key: UpstreamKey,
    pub(crate) address: SocketAddr,
    pub(crate) run: BrokenRun,
}

impl UpstreamCheck {
    /// Checks the upstream and reports what was found, with the open connection for another request.
    pub(crate) async fn finish(self, dispatcher: DispatcherHandle, log: Logger) {
        let Self { key, address, run } = self;
        let begun = Instant::now();
        let finding = check(address).await;
        let (is_up, error) = match &finding {
            Finding::Up(_) => (true, None),
            Finding::Down(error) => (false, Some(error.to_string())),
        };
        info!(log, "upstream checked after a broken answer";
            "upstream" => &run.upstream,
            "digest" => run.digest.map(|digest| format!("{:016x}", digest.prefix())),
            "is_up" => is_up,
            "error" => error,
            "broke_ms" => run.at.elapsed().as_millis() as u64,
            "took_ms" => begun.elapsed().as_millis() as u64);
        dispatcher.send(match finding {
            Finding::Up(connection) => Message::UpstreamUp(run, key, connection),
            Finding::Down(_) => Message::Crashed(run),
        });
    }
}

async fn check(address: SocketAddr) -> Finding {
    for _ in 0..MAX_CONNECTIONS {
        let stream = match connect(address).await {
            Ok(stream) => stream,
            // It was accepted, and closed before this task went on.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                sleep(SETTLE_TIME).await;
                continue;
            }
            Err(error) => return Finding::Down(error),
        };
        let opened = Connection::over(stream).await;
        sleep(SETTLE_TIME).await;
        if let Ok(connection) = opened
            && connection.is_open()
        {
            return Finding::Up(Some(connection));
        }
    }
    Finding::Up(None)
}
