//! Starts and stops the forwarding path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use egretgate_core::gateway::cold_start::ColdBound;
use egretgate_core::gateway::follow::PollIntervals;
use egretgate_core::gateway::held_bytes::{DEFAULT_MEMORY_BYTES, HeldBytes};
use egretgate_core::gateway::held_upstreams::HeldUpstreams;
use egretgate_core::gateway::limit_tolerance::LimitTolerance;
use egretgate_core::gateway::retry_limit::RetryLimit;
use egretgate_core::gateway::scheduler::Scheduler;
use egretgate_core::{InstanceId, RegionId, ZoneId};
use futures::FutureExt as _;
use http::StatusCode;
use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller_listener::{CallerListener, Phase};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::dispatcher::DispatcherHandle;
use crate::entry_list::EntryList;
use crate::eras::Eras;
use crate::exchange::ExchangeContext;
use crate::gossip::{Gossip, ReadingChannels};
use crate::held::HeldBudget;
use crate::listeners::{self, Sockets};
use crate::moves::MoveRecorder;
use crate::pages::{Answer, Page, PageListener};
use crate::readiness::Readiness;
use crate::sync;
use crate::sync::{CatalogFollower, HeldOrders, SharedState, UpstreamsFollower};
use crate::tasks::{Need, Tasks};

/// Addresses on which the entry listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For reports of other entries.
    pub peers: SocketAddr,
}

/// Times for stopping the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// Time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Time for which new connections are served after the stop signal: the load balancer checks
    /// every second and stops sending after two failed checks.
    pub linger: Duration,
}

impl Default for StopTimes {
    fn default() -> Self {
        Self { grace: Duration::from_secs(8), linger: Duration::from_millis(2_600) }
    }
}

/// Options of the forwarding path.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region of each zone.
    pub regions: HashMap<ZoneId, RegionId>,
    /// Addresses on which it listens.
    pub addresses: Addresses,
    /// Retry budget of the whole fleet.
    pub retry_limit: RetryLimit,
    /// How far requests of the whole fleet may exceed the rate of a cold upstream.
    pub cold_bound: ColdBound,
    /// Excess over the limits of teams that is tolerated.
    pub limit_tolerance: LimitTolerance,
    /// Times for stopping.
    pub stop_times: StopTimes,
    /// Address and page of the metrics; `None` if they aren't served.
    pub metrics: Option<(SocketAddr, Page)>,
    /// Memory of the instance, in bytes; `None` if it is not known.
    pub memory: Option<usize>,
}

/// The running forwarding path.
#[derive(Debug)]
pub struct Gateway {
    tasks: Tasks,
    phase: watch::Sender<Phase>,
    connections: watch::Sender<()>,
    stop_times: StopTimes,
    log: Logger,
}

impl Gateway {
    /// Starts serving. The tasks run until the process ends.
    pub async fn start<D: Directory>(
        options: Options,
        dialect: impl Dialect,
        directory: D,
        log: Logger,
    ) -> std::io::Result<Self> {
        let Options {
            name,
            zone,
            regions,
            addresses,
            retry_limit,
            limit_tolerance,
            cold_bound,
            stop_times,
            metrics,
            memory,
        } = options;
        let started = Instant::now();
        let sockets = Sockets::bind(&addresses, &log).await?;
        let incarnation = rand::rng().random();
        let scheduler = Scheduler::new(&name, &zone, incarnation)
            .with_retry_limit(retry_limit)
            .with_limit_tolerance(limit_tolerance)
            .with_cold_bound(cold_bound)
            .with_regions(regions);
        let tasks = Tasks::new(log.clone());
        let dispatcher = DispatcherHandle::start(scheduler, tasks.clone(), log.clone());
        let directory = Arc::new(directory);
        let eras = Arc::new(Eras::new(log.clone()));
        let (catalog_sender, catalog) = watch::channel(None);
        let (upstreams_sender, upstreams) = watch::channel(false);
        let (entries_sender, entries) = watch::channel(Vec::new());
        let (phase_sender, phase) = watch::channel(Phase::Serving);
        let (ready_sender, ready) = watch::channel(false);
        let connections = watch::Sender::new(());

        let (rank_sender, rank) = watch::channel(0);
        let (must_renew_sender, must_renew) = watch::channel(false);
        let (catalog_channels, catalog_state) =
            follow_channels(sync::CATALOG_INTERVALS, rank.clone(), &eras);
        let (upstreams_channels, upstreams_state) =
            follow_channels(sync::UPSTREAMS_INTERVALS, rank, &eras);

        let catalog_follower = CatalogFollower {
            directory: Arc::clone(&directory),
            state: catalog_state,
            catalog: catalog_sender,
            dispatcher: dispatcher.clone(),
            held: HeldOrders::default(),
            log: log.clone(),
        };
        tasks.supervise("declarations", Need::Helpful, catalog_follower, |task| task.run().boxed());
        let moves = MoveRecorder {
            directory: Arc::clone(&directory),
            catalog: catalog.clone(),
            dispatcher: dispatcher.clone(),
            eras: Arc::clone(&eras),
            log: log.clone(),
        };
        tasks.supervise("moves", Need::Helpful, moves, |task| task.run().boxed());
        let upstreams_follower = UpstreamsFollower {
            directory: Arc::clone(&directory),
            state: upstreams_state,
            dispatcher: dispatcher.clone(),
            known: upstreams_sender,
            held: HeldUpstreams::default(),
            last_era: None,
            log: log.clone(),
        };
        tasks.supervise("upstreams", Need::Helpful, upstreams_follower, |task| task.run().boxed());
        let entry_list = EntryList {
            directory,
            name: name.clone(),
            address: addresses.peers,
            entries: entries_sender,
            must_renew,
            dispatcher: dispatcher.clone(),
            eras: Arc::clone(&eras),
            log: log.clone(),
        };
        tasks.supervise("entries", Need::Helpful, entry_list, |task| task.follow().boxed());
        let gossip = Gossip {
            socket: sockets.peers,
            zone: zone.clone(),
            entries,
            dispatcher: dispatcher.clone(),
            catalog: catalog_channels,
            upstreams: upstreams_channels,
            eras,
            rank: rank_sender,
            must_renew: must_renew_sender,
            log: log.clone(),
        };
        tasks.supervise("reports", Need::Helpful, gossip, |task| task.run().boxed());
        let ready_page = Page::new(move || Answer {
            status: if *ready.borrow() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
            text: String::new(),
        });
        let ready_listener = PageListener {
            listener: sockets.ready,
            page: ready_page,
            tasks: tasks.clone(),
            log: log.clone(),
        };
        tasks.supervise("readiness page", Need::Helpful, ready_listener, |task| task.run().boxed());
        if let Some((address, page)) = metrics {
            tasks.spawn("metrics", serve_metrics(address, page, tasks.clone(), log.clone()));
        }
        let readiness = Readiness {
            catalog: catalog.clone(),
            upstreams,
            phase: phase.clone(),
            started,
            tasks: tasks.clone(),
            ready: ready_sender,
            log: log.clone(),
        };
        tasks.supervise("readiness", Need::Vital, readiness, |task| task.run().boxed());
        let held = HeldBytes::of_memory(memory.unwrap_or(DEFAULT_MEMORY_BYTES));
        let context = ExchangeContext {
            dialect: Box::new(dialect),
            dispatcher,
            held: HeldBudget::new(held, log.clone()),
            log: log.clone(),
        };
        let listener = Arc::new(CallerListener {
            context: Arc::new(context),
            catalog,
            phase,
            numbers: AtomicU64::new(0),
            connections: connections.clone(),
            tasks: tasks.clone(),
        });
        tasks.supervise(
            "listener",
            Need::Vital,
            (listener, Some(sockets.callers)),
            |(listener, socket)| listener.run(socket).boxed(),
        );
        info!(log, "started"; "instance" => name, "zone" => zone, "front" => %addresses.callers,
            "incarnation" => incarnation, "took_ms" => started.elapsed().as_millis() as u64);
        Ok(Self { tasks, phase: phase_sender, connections, stop_times, log })
    }

    /// Returns the name of a task once one has failed without which the entry can't go on. It no
    /// longer reports that it is ready; stop it and end the process.
    pub async fn failed(&self) -> &'static str {
        self.tasks.failed().await
    }

    /// Stops: reports that it isn't ready, serves while callers still connect, then closes idle
    /// connections and waits for the others until the grace time has passed.
    pub async fn stop(self) {
        let started = Instant::now();
        info!(self.log, "stopping"; "connections" => self.connections.receiver_count());
        self.phase.send_replace(Phase::Draining);
        sleep(self.stop_times.linger).await;
        self.phase.send_replace(Phase::Closing);
        let time_left = self.stop_times.grace.saturating_sub(started.elapsed());
        let drained = timeout(time_left, self.connections.closed()).await.is_ok();
        info!(self.log, "stopped"; "drained" => drained,
            "connections" => self.connections.receiver_count(),
            "took_ms" => started.elapsed().as_millis() as u64);
    }
}

/// Returns the channels between the gossip task and a task that follows shared state.
fn follow_channels(
    intervals: PollIntervals,
    rank: watch::Receiver<usize>,
    eras: &Arc<Eras>,
) -> (ReadingChannels, SharedState) {
    let (own_sender, own) = watch::channel(None);
    let (peers_sender, peers) = watch::channel(None);
    let channels = ReadingChannels { own, peers: peers_sender };
    (channels, SharedState::new(intervals, peers, own_sender, rank, Arc::clone(eras)))
}

/// Serves the metrics page. Callers are served even if metrics can't be.
async fn serve_metrics(address: SocketAddr, page: Page, tasks: Tasks, log: Logger) {
    match listeners::listen_metrics(address, &log).await {
        Ok(listener) => {
            let listener = PageListener { listener, page, tasks: tasks.clone(), log };
            tasks.supervise("metrics page", Need::Helpful, listener, |task| task.run().boxed());
        }
        Err(error) => warn!(log, "no metrics"; "error" => %error),
    }
}
