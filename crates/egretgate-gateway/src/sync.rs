//! The tasks that follow the directory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::Offset;
use egretgate_core::gateway::catalog::{Catalog, TokenLimit};
use egretgate_core::gateway::follow::{Fingerprint, Follower, PollIntervals, Reading};
use egretgate_core::gateway::peer::name_hash;
use egretgate_core::gateway::upstream::{ListedUpstream, Stage};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use crate::desk::{DeskHandle, Message};
use crate::directory::{Directory, DirectoryError};

/// How often upstreams are read: a leaving one may get work for two seconds at most.
pub(crate) const ROSTER_PACE: PollIntervals = PollIntervals {
    period: Duration::from_millis(600),
    takeover_age: Duration::from_millis(850),
    rank_step: Duration::from_millis(80),
    max_age: Duration::from_millis(1_300),
};
/// How often declarations are looked at: they must be in force within two seconds, even if the
/// connection that waits for a change has gone silent.
pub(crate) const CATALOG_PACE: PollIntervals = PollIntervals {
    period: Duration::ZERO,
    takeover_age: Duration::from_millis(1_050),
    rank_step: Duration::from_millis(60),
    max_age: Duration::from_millis(1_400),
};
/// Longest wait for a change by the entry that waits for all.
const CHANGE_WAIT: Duration = Duration::from_millis(700);
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

/// One piece of shared state, as this entry follows it.
pub(crate) struct Following {
    follower: Follower,
    /// What other entries hold.
    heard: watch::Receiver<Option<Reading>>,
    /// What this entry holds, for the others.
    held: watch::Sender<Option<Reading>>,
    /// Number of reachable entries before this one.
    rank: watch::Receiver<usize>,
}

impl Following {
    /// Returns the state before the first reading.
    pub(crate) const fn new(
        pace: PollIntervals,
        heard: watch::Receiver<Option<Reading>>,
        held: watch::Sender<Option<Reading>>,
        rank: watch::Receiver<usize>,
    ) -> Self {
        Self { follower: Follower::new(pace), heard, held, rank }
    }

    fn read(&mut self, mark: Fingerprint, end: Offset) {
        self.follower.record_reading(Reading { fingerprint: mark, end, read_at: Instant::now() });
        self.held.send_replace(self.follower.reading());
    }

    /// Returns once this entry should read.
    async fn due(&mut self) {
        loop {
            let rank = *self.rank.borrow();
            let due = self.follower.due(rank, Instant::now());
            tokio::select! {
                biased;
                () = sleep_until(due.into()) => return,
                // The sender lives as long as the process.
                _ = self.heard.changed() => {
                    if let Some(reading) = *self.heard.borrow_and_update() {
                        self.follower.record_peer_reading(reading);
                    }
                    self.held.send_replace(self.follower.reading());
                }
            }
        }
    }

    /// Returns the end of what this entry holds, if it is the one that reads for all.
    fn leads(&self) -> Option<Offset> {
        let held = self.follower.reading().filter(|_| *self.rank.borrow() == 0);
        held.map(|held| held.end)
    }
}

/// Keeps the newest declarations in force.
pub(crate) async fn catalog<D: Directory>(
    directory: Arc<D>,
    mut following: Following,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    desk: DeskHandle,
    log: Logger,
) {
    let mut backoff = Backoff::new();
    loop {
        following.due().await;
        if let Some(end) = following.leads()
            && !changed(&*directory, end, &log).await
            && let Some(held) = following.follower.reading()
        {
            following.read(held.fingerprint, held.end);
            continue;
        }
        match directory.catalog().await {
            Ok(seen) => {
                backoff.worked("declarations", &log);
                for fault in &seen.skipped {
                    warn!(log, "record passed over"; "fault" => fault);
                }
                let mark = seen.value.as_ref().map_or(0, catalog_mark);
                if let Some(newest) = seen.value {
                    apply(newest, &catalog, &desk, &log);
                }
                following.read(mark, seen.end);
                if mark == 0 {
                    sleep(FIRST_RETRY).await;
                }
            }
            Err(error) => backoff.failed("declarations", &error, &log).await,
        }
    }
}

/// Returns the same number for the same declarations with the same orders, which have no version
/// of their own; 0 stands for none.
fn catalog_mark(catalog: &Catalog) -> Fingerprint {
    catalog.moves().iter().fold(catalog.version, |mark, order| {
        mark ^ name_hash(&format!("{} {} {:?}", order.service, order.target, order.within))
    })
}

/// Waits for a change of the declarations; true if there may be one.
async fn changed<D: Directory>(directory: &D, end: Offset, log: &Logger) -> bool {
    match directory.wait_for_change(end, CHANGE_WAIT).await {
        Ok(changed) => changed,
        Err(error) => {
            slog::debug!(log, "wait for changes failed"; "error" => %error);
            true
        }
    }
}

fn apply(
    newest: Catalog,
    catalog: &watch::Sender<Option<Arc<Catalog>>>,
    desk: &DeskHandle,
    log: &Logger,
) {
    let old = catalog.borrow().as_ref().map(|catalog| catalog.version);
    // Declarations never go back within one life of the process. Orders have no version of their
    // own, so they may change beside the same declarations.
    let same = catalog.borrow().as_ref().is_some_and(|held| held.moves() == newest.moves());
    if old.is_some_and(|old| old > newest.version || (old == newest.version && same)) {
        return;
    }
    info!(log, "declarations in force"; "version" => newest.version, "before" => old,
        "routes" => newest.routes().len(), "teams" => newest.teams().len());
    log_limits(catalog.borrow().as_deref(), &newest, log);
    let newest = Arc::new(newest);
    desk.tell(Message::Catalog(Arc::clone(&newest)));
    catalog.send_replace(Some(newest));
}

/// Logs the limits that differ from those in force before.
fn log_limits(before: Option<&Catalog>, newest: &Catalog, log: &Logger) {
    let limit = |catalog: &Catalog, name: &str| {
        catalog.teams().iter().find(|team| team.name == name).and_then(|team| team.limit)
    };
    for team in newest.teams() {
        let old = before.and_then(|before| limit(before, &team.name));
        if before.is_some() && old == team.limit {
            continue;
        }
        let tokens = |limit: Option<TokenLimit>| limit.map(|limit| (limit.rate, limit.burst));
        info!(log, "limit in force"; "team" => &team.name, "version" => newest.version,
            "rate_and_burst" => ?tokens(team.limit), "before" => ?tokens(old));
    }
}

/// Keeps the list of upstreams up to date.
pub(crate) async fn roster<D: Directory>(
    directory: Arc<D>,
    mut following: Following,
    desk: DeskHandle,
    known: watch::Sender<bool>,
    log: Logger,
) {
    let mut backoff = Backoff::new();
    let mut count = None;
    let mut told: Vec<String> = Vec::new();
    loop {
        following.due().await;
        match directory.upstreams().await {
            Ok(seen) => {
                backoff.worked("upstreams", &log);
                desk.tell(Message::InTouch(true));
                for fault in seen.skipped.iter().filter(|fault| !told.contains(fault)) {
                    warn!(log, "record passed over"; "fault" => fault);
                }
                told = seen.skipped;
                if count.replace(seen.value.len()) != Some(seen.value.len()) {
                    info!(log, "upstreams listed"; "count" => seen.value.len(), "end" => seen.end);
                }
                following.read(roster_mark(&seen.value), seen.end);
                desk.tell(Message::Roster(seen.value));
                known.send_replace(true);
            }
            Err(error) => {
                desk.tell(Message::InTouch(false));
                backoff.failed("upstreams", &error, &log).await;
            }
        }
    }
}

/// Returns the same number for the same upstreams in the same stages, in any order.
fn roster_mark(roster: &[ListedUpstream]) -> Fingerprint {
    roster.iter().fold(0, |mark, listed| {
        let stage = matches!(listed.stage, Stage::Draining);
        let life = format!("{} {} {:?} {stage}", listed.id, listed.address, listed.started_ms);
        mark ^ name_hash(&life)
    })
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
                for fault in &seen.skipped {
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
