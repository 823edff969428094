//! The tasks that follow the directory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::Offset;
use egretgate_core::gateway::catalog::Catalog;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::desk::{DeskHandle, Message};
use crate::directory::{Directory, DirectoryError};

/// Time between readings of the upstreams: a leaving one may get work for two seconds at most.
const ROSTER_PAUSE: Duration = Duration::from_millis(700);
/// Longest wait for a change of the declarations, which must be in force within two seconds even
/// if the connection that waits has gone silent.
const CHANGE_WAIT: Duration = Duration::from_millis(1_200);
/// First pause after a failed call.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest pause after failed calls, short against the time in which changes must be in force.
const LONGEST_RETRY: Duration = Duration::from_millis(600);
/// Time between readings of the entries once they are known.
const ENTRIES_PAUSE: Duration = Duration::from_secs(5);

/// Pauses between tries of a call that fails.
struct Backoff {
    next: Duration,
    failing: bool,
}

impl Backoff {
    const fn new() -> Self {
        Self { next: FIRST_RETRY, failing: false }
    }

    async fn failed(&mut self, what: &str, error: &DirectoryError, log: &Logger) {
        if !std::mem::replace(&mut self.failing, true) {
            warn!(log, "directory lost"; "call" => what, "error" => %error);
        }
        sleep(self.next).await;
        self.next = (self.next * 2).min(LONGEST_RETRY);
    }

    fn worked(&mut self, what: &str, log: &Logger) {
        if std::mem::replace(&mut self.failing, false) {
            info!(log, "directory regained"; "call" => what);
        }
        self.next = FIRST_RETRY;
    }
}

/// Keeps the newest declarations in force.
pub(crate) async fn catalog<D: Directory>(
    directory: Arc<D>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    desk: DeskHandle,
    log: Logger,
) {
    let mut backoff = Backoff::new();
    loop {
        let end = match directory.catalog().await {
            Ok(seen) => {
                backoff.worked("declarations", &log);
                for fault in &seen.faults {
                    warn!(log, "record passed over"; "fault" => fault);
                }
                if let Some(newest) = seen.value {
                    apply(newest, &catalog, &desk, &log);
                }
                seen.end
            }
            Err(error) => {
                backoff.failed("declarations", &error, &log).await;
                continue;
            }
        };
        wait(&*directory, end, &log).await;
    }
}

/// Returns when the declarations may have changed.
async fn wait<D: Directory>(directory: &D, end: Offset, log: &Logger) {
    if let Err(error) = directory.changed(end, CHANGE_WAIT).await {
        slog::debug!(log, "wait for changes failed"; "error" => %error);
        sleep(FIRST_RETRY).await;
    }
}

fn apply(
    newest: Catalog,
    catalog: &watch::Sender<Option<Arc<Catalog>>>,
    desk: &DeskHandle,
    log: &Logger,
) {
    let old = catalog.borrow().as_ref().map(|catalog| catalog.version);
    // Declarations never go back within one life of the process.
    if old.is_some_and(|old| old >= newest.version) {
        return;
    }
    info!(log, "declarations in force"; "version" => newest.version, "before" => old,
        "routes" => newest.routes().len(), "teams" => newest.teams().len());
    let newest = Arc::new(newest);
    desk.tell(Message::Catalog(Arc::clone(&newest)));
    catalog.send_replace(Some(newest));
}

/// Keeps the list of upstreams up to date.
pub(crate) async fn roster<D: Directory>(
    directory: Arc<D>,
    desk: DeskHandle,
    known: watch::Sender<bool>,
    log: Logger,
) {
    let mut backoff = Backoff::new();
    let mut count = None;
    let mut told: Vec<String> = Vec::new();
    loop {
        match directory.upstreams().await {
            Ok(seen) => {
                backoff.worked("upstreams", &log);
                for fault in seen.faults.iter().filter(|fault| !told.contains(fault)) {
                    warn!(log, "record passed over"; "fault" => fault);
                }
                told = seen.faults;
                if count.replace(seen.value.len()) != Some(seen.value.len()) {
                    info!(log, "upstreams listed"; "count" => seen.value.len(), "end" => seen.end);
                }
                desk.tell(Message::Roster(seen.value));
                known.send_replace(true);
                sleep(ROSTER_PAUSE).await;
            }
            Err(error) => backoff.failed("upstreams", &error, &log).await,
        }
    }
}

/// Lists this entry and keeps the addresses of the others.
pub(crate) async fn entries<D: Directory>(
    directory: Arc<D>,
    name: String,
    address: SocketAddr,
    entries: watch::Sender<Vec<SocketAddr>>,
    desk: DeskHandle,
    log: Logger,
) {
    let mut backoff = Backoff::new();
    let started = Instant::now();
    loop {
        match directory.entries().await {
            Ok(seen) => {
                backoff.worked("entries", &log);
                for fault in &seen.faults {
                    warn!(log, "record passed over"; "fault" => fault);
                }
                let listed = seen.value.contains(&address);
                let others = seen.value.iter().filter(|entry| **entry != address).count();
                desk.tell(Message::Expect(others));
                if *entries.borrow() != seen.value {
                    info!(log, "entries listed"; "count" => seen.value.len());
                }
                entries.send_replace(seen.value);
                if !listed {
                    if let Err(error) = directory.announce(&name, address).await {
                        backoff.failed("announce", &error, &log).await;
                    }
                    continue;
                }
            }
            Err(error) => {
                backoff.failed("entries", &error, &log).await;
                continue;
            }
        }
        // All entries of a new fleet start within a second: the list grows at first.
        let young = started.elapsed() < ENTRIES_PAUSE;
        sleep(if young { ENTRIES_PAUSE / 5 } else { ENTRIES_PAUSE }).await;
    }
}
