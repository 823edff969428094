//! Starts and stops the entry's tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use egretgate_caller::{AdminServer, CallerServer, Health, Limits};
use egretgate_core::choice::Policy;
use egretgate_core::{Incarnation, InstanceId};
use egretgate_operator::Server as OperatorServer;
use egretgate_platform::{InstanceClient, LogClient};
use egretgate_settings::Secret;
use egretgate_settings::entry::Settings;
use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use salvo::server::ServerHandle;
use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::entry::fleet::{FLEET_CHANNEL_CAPACITY, Fleet};
use crate::entry::intake::{INTAKE_CHANNEL_CAPACITY, Intake, IntakeMessage};
use crate::entry::journal::{JOURNAL_CHANNEL_CAPACITY, Journal};
use crate::entry::link::Identity;
use crate::entry::operator::{OPERATOR_CHANNEL_CAPACITY, Operator};
use crate::entry::request::Handles;
use crate::entry::state::StateView;
use crate::entry::tally::TALLY_CHANNEL_CAPACITY;
use crate::entry::{instances, tally};

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection of a caller may stay open at shutdown.
const CONNECTION_GRACE: Duration = Duration::from_secs(1);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    operator_address: SocketAddr,
    incarnation: Incarnation,
    health: watch::Sender<Health>,
    view: watch::Receiver<Arc<StateView>>,
    intake: mpsc::Sender<IntakeMessage>,
    caller: ServerHandle,
    admin: ServerHandle,
    stop: CancellationToken,
    grace: Duration,
    log: Logger,
}

/// Options of an entry besides its settings.
#[derive(Debug, Default)]
pub struct Options {
    /// Policy for the choice of upstreams.
    pub policy: Policy,
    /// Renders the metrics page.
    pub metrics: Option<PrometheusHandle>,
}

impl Entry {
    /// Binds the addresses of `settings` and starts the tasks.
    ///
    /// # Errors
    ///
    /// Any error of the operating system when binding.
    pub async fn start(settings: Settings, options: Options, log: Logger) -> eyre::Result<Self> {
        let log = log.new(o!("instance" => settings.instance.clone()));
        let incarnation: Incarnation = rand::random();
        let (view_sender, view) = watch::channel(Arc::new(StateView::default()));
        let (fleet, fleet_messages) = mpsc::channel(FLEET_CHANNEL_CAPACITY);
        let (journal, journal_messages) = mpsc::channel(JOURNAL_CHANNEL_CAPACITY);
        let (tally_sender, tally_messages) = mpsc::channel(TALLY_CHANNEL_CAPACITY);
        let (entry_requests, request_messages) = mpsc::channel(INTAKE_CHANNEL_CAPACITY);
        let (intake, intake_messages) = mpsc::channel(1);
        let (calls, call_messages) = mpsc::channel(OPERATOR_CHANNEL_CAPACITY);
        let stop = CancellationToken::new();

        let caller = CallerServer::bind(settings.caller_address, limits(&settings), entry_requests)
            .wrap_err("binding --caller-address")?;
        let (health, health_watch) = watch::channel(Health::Starting);
        let metrics = options.metrics;
        let render = move || metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
        let admin = AdminServer::bind(settings.admin_address, health_watch, render)
            .wrap_err("binding --admin-address")?;
        let operator = TcpListener::bind(settings.operator_address)
            .await
            .wrap_err("binding --operator-address")?;

        let entry = Self {
            caller_address: caller.address(),
            admin_address: admin.address(),
            operator_address: operator.local_addr()?,
            incarnation,
            health,
            view: view.clone(),
            intake,
            caller: caller.handle(),
            admin: admin.handle(),
            stop: stop.clone(),
            grace: settings.stop_grace,
            log: log.clone(),
        };

        let rng = ChaCha8Rng::seed_from_u64(rand::random());
        let identity = identity(&settings, incarnation);
        let fleet_task =
            Fleet::new(identity, options.policy, rng, log.clone(), fleet.clone(), journal.clone());
        tokio::spawn(fleet_task.run(fleet_messages));
        let client = LogClient::new(settings.log_address, PLATFORM_TIMEOUT);
        let journal_task = Journal::new(
            incarnation,
            client,
            view_sender,
            journal.clone(),
            fleet.clone(),
            log.clone(),
        );
        tokio::spawn(journal_task.run(journal_messages));
        tokio::spawn(tally::run(tally_messages));
        let list = InstanceClient::new(settings.instances_address, PLATFORM_TIMEOUT);
        tokio::spawn(instances::run(list, fleet.clone(), log.clone()));
        let handles = Handles { view, fleet, journal, tally: tally_sender, log };
        let operator_task = Operator::new(
            settings.instance.clone(),
            settings.zone.clone(),
            incarnation,
            handles.clone(),
        );
        tokio::spawn(operator_task.run(call_messages));
        tokio::spawn(Intake::new(incarnation, handles).run(request_messages, intake_messages));
        let token = settings.operator_token.as_ref().map(|token| token.expose().to_owned());
        let server = OperatorServer::new(token, calls);
        tokio::spawn(server.serve(operator, stop.cancelled_owned()));
        tokio::spawn(caller.serve());
        tokio::spawn(admin.serve());
        tokio::spawn(entry.watch_ready());
        info!(entry.log, "serving";
            "callers" => entry.caller_address,
            "operators" => entry.operator_address,
            "admin" => entry.admin_address);
        Ok(entry)
    }

    /// Returns the address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the health and metrics pages.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the random number that identifies this run of the entry.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Waits until the entry is ready to serve.
    pub async fn ready(&self) {
        let _ = self.view.clone().wait_for(|view| view.ready).await;
    }

    /// Shuts down gracefully: refuses new requests and finishes the running ones, within the grace
    /// time of the settings.
    pub async fn stop(self) {
        self.health.send_replace(Health::Stopping);
        let (reply, finished) = oneshot::channel();
        let _ = self.intake.send(IntakeMessage::Stop(reply)).await;
        let complete = matches!(timeout(self.grace, finished).await, Ok(Ok(())));
        self.caller.stop_graceful(CONNECTION_GRACE);
        self.stop.cancel();
        tokio::time::sleep(CONNECTION_GRACE).await;
        self.admin.stop_forceful();
        info!(self.log, "stopped"; "whole" => complete);
    }

    fn watch_ready(&self) -> impl Future<Output = ()> + Send + 'static {
        let health = self.health.clone();
        let mut view = self.view.clone();
        async move {
            if view.wait_for(|view| view.ready).await.is_ok() {
                health.send_if_modified(|health| {
                    let starting = *health == Health::Starting;
                    if starting {
                        *health = Health::Ready;
                    }
                    starting
                });
            }
        }
    }
}

const fn limits(settings: &Settings) -> Limits {
    Limits {
        body_bytes: settings.body_limit,
        connections: settings.connections,
        receive_timeout: settings.caller_timeout,
    }
}

fn identity(settings: &Settings, incarnation: Incarnation) -> Identity {
    let instance: InstanceId = settings.instance.clone();
    Identity {
        token: settings.link_token.as_ref().map(Secret::expose).unwrap_or_default().to_owned(),
        incarnation,
        instance,
        zone: settings.zone.clone(),
    }
}
