//! Starts and stops the tasks of the side process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use egretgate_caller::{AdminServer, Health};
use egretgate_core::limit::LimitOptions;
use egretgate_core::queue::QueueOptions;
use egretgate_settings::side::Settings;
use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use salvo::server::ServerHandle;
use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::conn;
use crate::dispatcher::{DISPATCHER_CHANNEL_CAPACITY, Dispatcher, DispatcherMessage, Identity};
use crate::engines::Engines;
use crate::target_client::TargetClient;

/// Time for which the dispatcher still runs after the last request has ended, to refuse offers that
/// entries sent before they received the goodbye.
const LATE_OFFER_GRACE: Duration = Duration::from_millis(500);
/// Longest wait at shutdown for entries to close their connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running side process.
#[derive(Debug)]
pub struct Side {
    link_address: SocketAddr,
    admin_address: SocketAddr,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    health: watch::Sender<Health>,
    accept: JoinHandle<()>,
    /// Closes when the last connection does.
    connections: mpsc::Receiver<()>,
    admin: ServerHandle,
    grace: Duration,
    log: Logger,
}

impl Side {
    /// Binds the addresses of `settings` and starts the tasks.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when binding.
    pub async fn start(settings: Settings, log: Logger) -> eyre::Result<Self> {
        Self::start_with(settings, log, None).await
    }

    /// Starts like [`Side::start`], with a metrics page rendered by `metrics`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when binding.
    pub async fn start_with(
        settings: Settings,
        log: Logger,
        metrics: Option<PrometheusHandle>,
    ) -> eyre::Result<Self> {
        let log = log.new(o!("upstream" => settings.instance.clone()));
        let listener =
            TcpListener::bind(settings.link_address).await.wrap_err("binding --link-address")?;
        let (health, watch) = watch::channel(Health::Ready);
        let render = move || metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
        let admin = AdminServer::bind(settings.admin_address, watch, render)
            .wrap_err("binding --admin-address")?;
        let (dispatcher, messages) = mpsc::channel(DISPATCHER_CHANNEL_CAPACITY);
        tokio::spawn(build_dispatcher(&settings, log.clone(), dispatcher.clone()).run(messages));
        let token =
            settings.link_token.as_ref().map(|token| token.expose().to_owned()).unwrap_or_default();
        let (connected, connections) = mpsc::channel(1);
        let side = Self {
            link_address: listener.local_addr()?,
            admin_address: admin.address(),
            accept: tokio::spawn(accept(listener, token, dispatcher.clone(), connected)),
            connections,
            dispatcher,
            health,
            admin: admin.handle(),
            grace: settings.stop_grace,
            log,
        };
        tokio::spawn(admin.serve());
        info!(side.log, "serving"; "link" => side.link_address, "admin" => side.admin_address);
        Ok(side)
    }

    /// Returns the address at which entries connect.
    pub const fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns the address of the health and metrics pages.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Shuts down gracefully: refuses queued requests as not run and finishes running ones, within
    /// the grace time of the settings.
    pub async fn stop(self) {
        self.health.send_replace(Health::Stopping);
        let (reply, finished) = oneshot::channel();
        let _ = self.dispatcher.send(DispatcherMessage::Stop(reply)).await;
        let complete = matches!(timeout(self.grace, finished).await, Ok(Ok(())));
        tokio::time::sleep(LATE_OFFER_GRACE).await;
        self.accept.abort();
        let _ = self.accept.await;
        let _ = self.dispatcher.send(DispatcherMessage::Close).await;
        let mut connections = self.connections;
        let _ = timeout(CLOSE_TIMEOUT, connections.recv()).await;
        info!(self.log, "stopped"; "whole" => complete);
        self.admin.stop_forceful();
    }
}

fn build_dispatcher(
    settings: &Settings,
    log: Logger,
    self_sender: mpsc::Sender<DispatcherMessage>,
) -> Dispatcher {
    let clients = settings.engines.iter().map(|engine| TargetClient::new(settings.kind, engine));
    let engines = Engines::new(clients, LimitOptions::default(), Instant::now());
    let identity = Identity {
        incarnation: rand::random(),
        upstream: settings.instance.clone(),
        zone: settings.zone.clone(),
        service: settings.service.clone(),
    };
    let rng = ChaCha8Rng::seed_from_u64(rand::random());
    Dispatcher::new(identity, engines, QueueOptions::default(), rng, log, self_sender)
}

/// Accepts connections; each keeps a clone of `connected` while it is open.
async fn accept(
    listener: TcpListener,
    token: String,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    connected: mpsc::Sender<()>,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (served, connected) =
                (conn::serve(stream, token.clone(), dispatcher.clone()), connected.clone());
            tokio::spawn(async move {
                served.await;
                drop(connected);
            });
        }
    }
}
