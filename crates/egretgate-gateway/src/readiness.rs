//! The task that decides whether the entry reports that it is ready.

use std::sync::Arc;
use std::time::Instant;

use egretgate_core::gateway::catalog::Catalog;
use slog::{Logger, info};
use tokio::sync::watch;

use crate::caller_listener::Phase;
use crate::tasks::Tasks;

/// The task.
pub(crate) struct Readiness {
    pub(crate) catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Whether the upstreams have been read.
    pub(crate) upstreams: watch::Receiver<bool>,
    pub(crate) phase: watch::Receiver<Phase>,
    /// Time at which the entry started.
    pub(crate) started: Instant,
    pub(crate) tasks: Tasks,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) log: Logger,
}

impl Readiness {
    /// Reports that the entry is ready once declarations and upstreams are known, until it stops or
    /// fails.
    pub(crate) async fn run(&mut self) {
        let Self { catalog, upstreams, phase, started, tasks, ready, log } = self;
        let known = async {
            // The senders live as long as the process.
            let _ = catalog.wait_for(Option::is_some).await;
            let _ = upstreams.wait_for(|known| *known).await;
        };
        let mut ended = std::pin::pin!(async {
            tokio::select! {
                _ = phase.wait_for(|phase| *phase > Phase::Serving) => {}
                _ = tasks.failed() => {}
            }
        });
        tokio::select! {
            biased;
            () = &mut ended => {}
            () = known => {
                ready.send_replace(true);
                info!(log, "ready"; "after_ms" => started.elapsed().as_millis() as u64);
                ended.await;
            }
        }
        if ready.send_replace(false) {
            info!(log, "not ready");
        }
    }
}
