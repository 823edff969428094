//! The tasks that follow the directory's declarations and upstreams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use egretgate_core::Offset;
use egretgate_core::gateway::catalog::{Catalog, TokenLimit};
use egretgate_core::gateway::drained_zones::HeldZones;
use egretgate_core::gateway::era::Era;
use egretgate_core::gateway::follow::{Fingerprint, Follower, PollIntervals, Reading};
use egretgate_core::gateway::held_moves::HeldMoves;
use egretgate_core::gateway::held_upstreams::HeldUpstreams;
use egretgate_core::gateway::peer::name_hash;
use egretgate_core::gateway::upstream::{ListedUpstream, Stage};
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use crate::directory::{Change, Directory, DirectoryError, DirectoryRead, Result, Transfer};
use crate::dispatcher::{DispatcherHandle, Message};
use crate::eras::Eras;
use crate::skipped::SkippedRecords;

/// How often upstreams are read: a draining one may get requests for two seconds at most.
pub(crate) const UPSTREAMS_INTERVALS: PollIntervals = PollIntervals {
    period: Duration::from_millis(600),
    takeover_age: Duration::from_millis(850),
    rank_step: Duration::from_millis(80),
    max_age: Duration::from_millis(1_300),
    min_gap: Duration::from_millis(500),
};
/// How often declarations are read: they must be in force within two seconds, even if the
/// connection that waits for a change has stalled. The leading entry waits for a change before each
/// reading, so its period is zero.
pub(crate) const CATALOG_INTERVALS: PollIntervals = PollIntervals {
    period: Duration::ZERO,
    takeover_age: Duration::from_millis(1_050),
    rank_step: Duration::from_millis(60),
    max_age: Duration::from_millis(1_400),
    min_gap: Duration::ZERO,
};
/// Longest wait for a change by the leading entry.
const CHANGE_WAIT: Duration = Duration::from_millis(700);
/// First delay after a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after failed calls; short compared with the time within which changes must be in
/// force.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Delays between attempts at a call that fails.
pub(crate) struct Backoff {
    next_delay: Duration,
    /// Time of the first failure of the present series, and its number of failures.
    failing: Option<(Instant, u32)>,
}

impl Backoff {
    pub(crate) const fn new() -> Self {
        Self { next_delay: MIN_RETRY_DELAY, failing: None }
    }

    pub(crate) async fn failed(
        &mut self,
        call: &'static str,
        error: &DirectoryError,
        log: &Logger,
    ) {
        metrics::counter!("egretgate_directory_failures_total", "call" => call).increment(1);
        let (_, failures) = self.failing.get_or_insert_with(|| (Instant::now(), 0));
        *failures += 1;
        if *failures == 1 {
            warn!(log, "directory lost"; "call" => call, "error" => %error);
        } else {
            slog::debug!(log, "directory still lost"; "call" => call, "error" => %error,
                "failures" => *failures);
        }
        sleep(self.next_delay).await;
        self.next_delay = (self.next_delay * 2).min(MAX_RETRY_DELAY);
    }

    pub(crate) fn succeeded(&mut self, call: &'static str, log: &Logger) {
        if let Some((since, failures)) = self.failing.take() {
            info!(log, "directory regained"; "call" => call, "failures" => failures,
                "lost_ms" => since.elapsed().as_millis() as u64);
        }
        self.next_delay = MIN_RETRY_DELAY;
    }
}

/// One piece of shared state that this entry follows.
pub(crate) struct SharedState {
    follower: Follower,
    /// Readings of other entries.
    peers: watch::Receiver<Option<Reading>>,
    /// Reading of this entry, for its peers.
    own: watch::Sender<Option<Reading>>,
    /// Rank of this entry.
    rank: watch::Receiver<usize>,
    eras: Arc<Eras>,
    /// The era in force.
    era: watch::Receiver<Option<Era>>,
    /// Time of a reading that is due whatever other entries read.
    reread_at: Option<Instant>,
}

impl SharedState {
    /// Returns the state before the first reading.
    pub(crate) fn new(
        intervals: PollIntervals,
        peers: watch::Receiver<Option<Reading>>,
        own: watch::Sender<Option<Reading>>,
        rank: watch::Receiver<usize>,
        eras: Arc<Eras>,
    ) -> Self {
        let era = eras.subscribe();
        Self { follower: Follower::new(intervals), peers, own, rank, eras, era, reread_at: None }
    }

    /// Returns a reading with its era; an error if it is of an older copy.
    fn check<T>(
        &self,
        call: &'static str,
        read: Result<DirectoryRead<T>>,
    ) -> Result<(DirectoryRead<T>, Option<Era>)> {
        let read = read?;
        let era = self.eras.record_answer(call, read.era)?;
        Ok((read, era))
    }

    fn record_reading(&mut self, fingerprint: Fingerprint, era: Option<Era>, end: Offset) {
        let reading = Reading { fingerprint, era, end, read_at: Instant::now() };
        self.follower.record_reading(reading);
        self.own.send_replace(self.follower.reading());
    }

    /// Returns once this entry should read.
    async fn wait_until_due(&mut self) {
        loop {
            if let Some(era) = *self.era.borrow_and_update() {
                self.follower.record_era(era);
            }
            let rank = *self.rank.borrow();
            let due = self.follower.due(rank, Instant::now());
            let due = self.reread_at.map_or(due, |reread_at| due.min(reread_at));
            tokio::select! {
                biased;
                () = sleep_until(due.into()) => return,
                // The senders live as long as the process.
                _ = self.era.changed() => {}
                _ = self.peers.changed() => {
                    if let Some(reading) = *self.peers.borrow_and_update() {
                        self.follower.record_peer_reading(reading);
                    }
                    self.own.send_replace(self.follower.reading());
                }
            }
        }
    }

    /// Sets the end of a hold, at which the state is read again.
    fn reread_at(&mut self, until: Option<Instant>) {
        self.reread_at = until.filter(|until| *until > Instant::now());
    }

    /// Returns this entry's reading, if it leads and may wait for a change after that reading.
    fn leader_reading(&self) -> Option<Reading> {
        let must_read = self.follower.is_behind()
            || self.reread_at.is_some_and(|reread_at| reread_at <= Instant::now());
        self.follower.reading().filter(|_| *self.rank.borrow() == 0 && !must_read)
    }
}

/// The task that keeps the newest declarations in force.
pub(crate) struct CatalogFollower<D> {
    pub(crate) directory: Arc<D>,
    pub(crate) state: SharedState,
    pub(crate) catalog: watch::Sender<Option<Arc<Catalog>>>,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) held: HeldOrders,
    pub(crate) log: Logger,
}

impl<D: Directory> CatalogFollower<D> {
    /// Follows the declarations until the process ends.
    pub(crate) async fn run(&mut self) {
        let Self { directory, state, catalog, dispatcher, held, log } = self;
        let mut backoff = Backoff::new();
        let mut skipped = SkippedRecords::default();
        // Waits in a row that found their position gone.
        let mut gone: u32 = 0;
        loop {
            state.wait_until_due().await;
            if let Some(own) = state.leader_reading() {
                match wait_for_change(&**directory, state, own, log).await {
                    Change::None => {
                        gone = 0;
                        state.record_reading(own.fingerprint, own.era, own.end);
                        continue;
                    }
                    Change::Newer => gone = 0,
                    Change::PositionGone => {
                        warn!(log, "position gone"; "call" => "declarations", "end" => own.end,
                        "era" => own.era, "times_before" => gone);
                        // The next reading should give a position that the directory has.
                        if gone > 0 {
                            let delay = MIN_RETRY_DELAY * 2_u32.saturating_pow(gone.min(8));
                            sleep(delay.min(MAX_RETRY_DELAY)).await;
                        }
                        gone = gone.saturating_add(1);
                    }
                }
            }
            let read = directory.catalog().await;
            match state.check("declarations", read) {
                Ok((read, era)) => {
                    backoff.succeeded("declarations", log);
                    if std::mem::replace(&mut held.era, era) != era {
                        held.begin_era(Instant::now());
                    }
                    skipped.record(read.skipped, log);
                    let fingerprint = read.value.as_ref().map_or(0, catalog_fingerprint);
                    if let Some(newest) = read.value {
                        apply(newest, held, &read.transfer, catalog, dispatcher, log);
                    }
                    state.record_reading(fingerprint, era, read.end);
                    state.reread_at(held.until());
                    if fingerprint == 0 {
                        sleep(MIN_RETRY_DELAY).await;
                    }
                }
                Err(error) => backoff.failed("declarations", &error, log).await,
            }
        }
    }
}

/// What operators order beside the declarations, across the beginnings of eras.
#[derive(Debug, Default)]
pub(crate) struct HeldOrders {
    /// Era of the last reading.
    era: Option<Era>,
    moves: HeldMoves,
    zones: HeldZones,
}

impl HeldOrders {
    /// Begins an era.
    fn begin_era(&mut self, now: Instant) {
        self.moves.begin_era(now);
        self.zones.begin_era(now);
    }

    /// Returns the next end of a hold, at which the orders must be read again.
    fn until(&self) -> Option<Instant> {
        self.moves.until().into_iter().chain(self.zones.until()).min()
    }

    /// Returns declarations that were read with the orders in force from then on.
    fn apply(&mut self, read: Catalog, now: Instant) -> Catalog {
        let moves = self.moves.apply(read.moves().to_vec(), now);
        let zones = self.zones.apply(read.drained_zones().to_vec(), now);
        read.with_moves(moves).with_drained_zones(zones)
    }
}

/// Returns a number that identifies the declarations with their moves and drained zones, which have
/// no version of their own; 0 stands for no declarations.
fn catalog_fingerprint(catalog: &Catalog) -> Fingerprint {
    let moves = catalog
        .moves()
        .iter()
        .map(|spec| format!("{} {} {:?}", spec.service, spec.target, spec.within));
    let zones = catalog.drained_zones().iter().map(|zone| format!("drained {zone}"));
    moves.chain(zones).fold(catalog.version, |fingerprint, order| fingerprint ^ name_hash(&order))
}

/// Waits for a change of the declarations after a reading. A new era counts as one: in it the
/// position stands for other records.
async fn wait_for_change<D: Directory>(
    directory: &D,
    state: &mut SharedState,
    own: Reading,
    log: &Logger,
) -> Change {
    let waited = tokio::select! {
        waited = directory.wait_for_change(own.end, CHANGE_WAIT) => waited,
        _ = state.era.changed() => return Change::Newer,
    };
    let checked = waited
        .and_then(|waited| Ok((waited.change, state.eras.record_answer("change", waited.era)?)));
    match checked {
        Ok((Change::None, era)) if era != own.era => Change::Newer,
        Ok((change, _)) => change,
        Err(error) => {
            slog::debug!(log, "wait for changes failed"; "error" => %error);
            Change::Newer
        }
    }
}

fn apply(
    newest: Catalog,
    held: &mut HeldOrders,
    transfer: &Transfer,
    catalog: &watch::Sender<Option<Arc<Catalog>>>,
    dispatcher: &DispatcherHandle,
    log: &Logger,
) {
    let current = catalog.borrow().clone();
    let old = current.as_ref().map(|catalog| catalog.version);
    // Older declarations never replace newer ones within one incarnation. Orders have no version of
    // their own, so they may change while the version of the declarations stays the same. Those for
    // zones hold with any declarations.
    let newest = match &current {
        Some(current) if current.version > newest.version => {
            slog::debug!(log, "older declarations not applied"; "version" => newest.version,
                "in_force" => old);
            let zones = held.zones.apply(newest.drained_zones().to_vec(), Instant::now());
            Catalog::clone(current).with_drained_zones(zones)
        }
        _ => held.apply(newest, Instant::now()),
    };
    let same = current.as_ref().is_some_and(|current| {
        current.moves() == newest.moves() && current.drained_zones() == newest.drained_zones()
    });
    if old == Some(newest.version) && same {
        return;
    }
    info!(log, "declarations in force"; "version" => newest.version, "before" => old,
        "routes" => newest.routes().len(), "teams" => newest.teams().len(),
        "held_moves" => held.moves.unconfirmed_count(),
        "drained_zones" => newest.drained_zones().join(","),
        "held_zones" => held.zones.unconfirmed_count(),
        "read_bytes" => transfer.bytes, "waited_ms" => transfer.waited.as_millis() as u64,
        "read_ms" => transfer.took.as_millis() as u64);
    metrics::gauge!("egretgate_catalog_version").set(newest.version as f64);
    log_limits(current.as_deref(), &newest, log);
    let newest = Arc::new(newest);
    dispatcher.send(Message::Catalog(Arc::clone(&newest)));
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

/// The task that keeps the list of upstreams up to date.
pub(crate) struct UpstreamsFollower<D> {
    pub(crate) directory: Arc<D>,
    pub(crate) state: SharedState,
    pub(crate) dispatcher: DispatcherHandle,
    /// Whether the upstreams have been read.
    pub(crate) known: watch::Sender<bool>,
    pub(crate) held: HeldUpstreams,
    /// Era of the last reading.
    pub(crate) last_era: Option<Era>,
    pub(crate) log: Logger,
}

impl<D: Directory> UpstreamsFollower<D> {
    /// Follows the upstreams until the process ends.
    pub(crate) async fn run(&mut self) {
        let Self { directory, state, dispatcher, known, held, last_era, log } = self;
        let mut backoff = Backoff::new();
        let mut count = None;
        let mut skipped = SkippedRecords::default();
        loop {
            state.wait_until_due().await;
            let read = directory.upstreams().await;
            match state.check("upstreams", read) {
                Ok((read, era)) => {
                    backoff.succeeded("upstreams", log);
                    dispatcher.send(Message::DirectoryUp(true));
                    skipped.record(read.skipped, log);
                    let now = Instant::now();
                    if std::mem::replace(last_era, era) != era {
                        held.begin_era(now);
                    }
                    state.record_reading(upstreams_fingerprint(&read.value), era, read.end);
                    let listed = held.apply(read.value, now);
                    let counts = (listed.len(), held.unconfirmed_count());
                    if count.replace(counts) != Some(counts) {
                        info!(log, "upstreams listed"; "count" => counts.0, "held" => counts.1,
                        "era" => era, "end" => read.end);
                    }
                    state.reread_at(held.until());
                    dispatcher.send(Message::Upstreams(listed));
                    known.send_replace(true);
                }
                Err(error) => {
                    dispatcher.send(Message::DirectoryUp(false));
                    backoff.failed("upstreams", &error, log).await;
                }
            }
        }
    }
}

/// Returns a number that identifies the upstreams with their stages, and with whether they are cold,
/// in any order.
fn upstreams_fingerprint(upstreams: &[ListedUpstream]) -> Fingerprint {
    upstreams.iter().fold(0, |fingerprint, listed| {
        let stage = matches!(listed.stage, Stage::Draining);
        let cold = !listed.cold_for.is_zero();
        let identity =
            format!("{} {} {:?} {stage} {cold}", listed.id, listed.address, listed.started_ms);
        fingerprint ^ name_hash(&identity)
    })
}
