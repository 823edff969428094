//! Wiring of the side process's tasks.

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
use crate::desk::{DESK_DEPTH, Desk, DeskMessage, Identity};
use crate::engines::Engines;
use crate::upstream::Upstream;

/// Time between the goodbye and the closing of connections, so that entries read it.
const LINGER: Duration = Duration::from_millis(100);

/// A running side process.
#[derive(Debug)]
pub struct Side {
    link_address: SocketAddr,
    admin_address: SocketAddr,
    desk: mpsc::Sender<DeskMessage>,
    health: watch::Sender<Health>,
    accept: JoinHandle<()>,
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
        let (desk, messages) = mpsc::channel(DESK_DEPTH);
        tokio::spawn(build_desk(&settings, log.clone(), desk.clone()).run(messages));
        let token =
            settings.link_token.as_ref().map(|token| token.expose().to_owned()).unwrap_or_default();
        let side = Self {
            link_address: listener.local_addr()?,
            admin_address: admin.address(),
            accept: tokio::spawn(accept(listener, token, desk.clone())),
            desk,
            health,
            admin: admin.handle(),
            grace: settings.stop_grace,
            log,
        };
        tokio::spawn(admin.serve());
        info!(side.log, "serving"; "link" => side.link_address, "admin" => side.admin_address);
        Ok(side)
    }

    /// Returns where entries reach the side process.
    pub const fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns where health and metrics are read.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops without cutting a request: refuses what waits as not run and finishes what runs,
    /// within the grace time of the settings.
    pub async fn stop(self) {
        self.health.send_replace(Health::Stopping);
        let (reply, finished) = oneshot::channel();
        let _ = self.desk.send(DeskMessage::Stop(reply)).await;
        let whole = matches!(timeout(self.grace, finished).await, Ok(Ok(())));
        tokio::time::sleep(LINGER).await;
        info!(self.log, "stopped"; "whole" => whole);
        self.accept.abort();
        self.admin.stop_forceful();
    }
}

fn build_desk(settings: &Settings, log: Logger, own: mpsc::Sender<DeskMessage>) -> Desk {
    let upstreams = settings.engines.iter().map(|engine| Upstream::new(settings.kind, engine));
    let engines = Engines::new(upstreams, LimitOptions::default(), Instant::now());
    let identity = Identity {
        incarnation: rand::random(),
        upstream: settings.instance.clone(),
        place: settings.place.clone(),
        service: settings.service.clone(),
    };
    let rng = ChaCha8Rng::seed_from_u64(rand::random());
    Desk::new(identity, engines, QueueOptions::default(), rng, log, own)
}

async fn accept(listener: TcpListener, token: String, desk: mpsc::Sender<DeskMessage>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(conn::serve(stream, token.clone(), desk.clone()));
        }
    }
}
