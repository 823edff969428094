//! Checks whether an upstream is up after it broke an answer.
//!
//! A request that crashes its upstreams and an upstream that loses answers look alike to the run that
//! broke. After a crash nothing accepts connections until the upstream has restarted.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate_core::gateway::admission::{BrokenRun, UpstreamKey};
use slog::{Logger, info};
use tokio::time::sleep;

use crate::connect::Connection;
use crate::dispatcher::{DispatcherHandle, Message};

/// Time for which a new connection must stay open: a process that ends may still accept some.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// A check of the upstream of a run that broke.
#[derive(Debug)]
pub(crate) struct UpstreamCheck {
    pub(crate) key: UpstreamKey,
    pub(crate) address: SocketAddr,
    pub(crate) run: BrokenRun,
}

impl UpstreamCheck {
    /// Opens a connection, which the dispatcher gets for another request if the upstream is up.
    pub(crate) async fn finish(self, dispatcher: DispatcherHandle, log: Logger) {
        let Self { key, address, run } = self;
        let begun = Instant::now();
        let opened = Connection::open(address).await;
        if opened.is_ok() {
            sleep(SETTLE_TIME).await;
        }
        let result = match opened {
            Ok(connection) if connection.is_open() => Ok(connection),
            Ok(_) => Err("closed at once".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        info!(log, "upstream checked after a broken answer";
            "upstream" => &run.upstream,
            "digest" => run.digest.map(|digest| format!("{:016x}", digest.prefix())),
            "is_up" => result.is_ok(),
            "error" => result.as_ref().err(),
            "broke_ms" => run.at.elapsed().as_millis() as u64,
            "took_ms" => begun.elapsed().as_millis() as u64);
        dispatcher.send(match result {
            Ok(connection) => Message::UpstreamUp(run, key, connection),
            Err(_) => Message::Crashed(run),
        });
    }
}
