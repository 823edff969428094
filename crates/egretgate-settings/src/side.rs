//! Settings of `egretside serve`, the side process.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use egretgate_core::declaration::ServiceKind;
use egretgate_core::{InstanceId, ServiceId, ZoneId};

use crate::fault::{Fault, Faults, Result};
use crate::rule;
use crate::table::{Invocation, Setting, Table};
use crate::value::{self, Engine, Secret, put};

/// Settings of a side process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the upstream instance.
    pub instance: InstanceId,
    /// Availability zone of the upstream instance.
    pub zone: ZoneId,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Kind of the processes behind the side process.
    pub kind: ServiceKind,
    /// Engines or plain services behind it; at least one, each address once.
    pub engines: Vec<Engine>,
    /// Address for entries; loopback unless `link_token` is set.
    pub link_address: SocketAddr,
    /// Address for health and metrics.
    pub admin_address: SocketAddr,
    /// Token that entries must present.
    pub link_token: Option<Secret>,
    /// Longest time that a graceful shutdown waits for running requests.
    pub stop_grace: Duration,
    /// Lowest level of events that are logged.
    pub log_level: slog::Level,
}

impl Settings {
    /// Returns placeholders, which the values that are read replace.
    fn blank() -> Self {
        Self {
            instance: InstanceId::new(),
            zone: ZoneId::new(),
            service: ServiceId::new(),
            kind: ServiceKind::Engine,
            engines: Vec::new(),
            link_address: rule::NO_ADDRESS,
            admin_address: rule::NO_ADDRESS,
            link_token: None,
            stop_grace: Duration::ZERO,
            log_level: slog::Level::Info,
        }
    }

    fn conflicts(&self) -> Vec<Fault> {
        let own = [("--link-address", self.link_address), ("--admin-address", self.admin_address)];
        let engines = self.engines.iter().map(|engine| ("--engine", engine.address));
        let mut faults = rule::address_conflicts(own.into_iter().chain(engines));
        let link = ("--link-address", self.link_address);
        faults.extend(rule::missing_token(link, "--link-token", self.link_token.as_ref()));
        faults
    }
}

/// Reads the settings of a side process from `args` and `vars`.
///
/// # Errors
///
/// Returns all faults, including conflicts between settings.
pub fn read(
    args: impl IntoIterator<Item = OsString>,
    vars: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<Invocation<Settings>> {
    let read = TABLE.read(Settings::blank(), args, vars)?;
    let Invocation::Settings(settings) = &read else { return Ok(read) };
    match settings.conflicts() {
        faults if faults.is_empty() => Ok(read),
        faults => Err(Faults(faults)),
    }
}

fn kind(text: &str) -> value::Result<ServiceKind> {
    match text {
        "engine" => Ok(ServiceKind::Engine),
        "plain" => Ok(ServiceKind::Plain),
        _ => Err("expected engine or plain".to_owned()),
    }
}

fn kind_name(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Engine => "engine",
        ServiceKind::Plain => "plain",
    }
}

type Row = Setting<Settings>;

/// The settings of `egretside serve`.
pub static TABLE: Table<Settings> = Table {
    usage: "egretside serve [FLAG VALUE]...",
    prefix: "EGRETSIDE_",
    other_flags: Vec::new,
    settings: &[
        Row::new(
            "instance",
            "NAME",
            "Name of the upstream instance, as in the platform's instance list.",
            |settings, text| put(&mut settings.instance, value::name(text)),
            |settings| vec![settings.instance.clone()],
        ),
        Row::new(
            "zone",
            "NAME",
            "Availability zone of the upstream instance.",
            |settings, text| put(&mut settings.zone, value::name(text)),
            |settings| vec![settings.zone.clone()],
        ),
        Row::new(
            "service",
            "NAME",
            "Declared service that the upstream serves.",
            |settings, text| put(&mut settings.service, value::name(text)),
            |settings| vec![settings.service.clone()],
        ),
        Row::new(
            "kind",
            "KIND",
            "What stands behind the side process: engine or plain.",
            |settings, text| put(&mut settings.kind, kind(text)),
            |settings| vec![kind_name(settings.kind).to_owned()],
        )
        .default("engine"),
        Row::new(
            "engine",
            "IP:PORT:VERSION",
            "Engine or plain service behind the side process, with the version it runs.",
            |settings, text| {
                settings.engines.push(text.parse()?);
                Ok(())
            },
            |settings| settings.engines.iter().map(Engine::to_string).collect(),
        )
        .repeatable(),
        Row::new(
            "link-address",
            "IP:PORT",
            "Where entries reach the side process.",
            |settings, text| put(&mut settings.link_address, value::address(text)),
            |settings| vec![settings.link_address.to_string()],
        )
        .default("127.0.0.1:8090"),
        Row::new(
            "admin-address",
            "IP:PORT",
            "Where /healthz, /readyz and /metrics are read.",
            |settings, text| put(&mut settings.admin_address, value::address(text)),
            |settings| vec![settings.admin_address.to_string()],
        )
        .default("127.0.0.1:8091"),
        Row::new(
            "link-token",
            "TOKEN",
            "Token that entries must show: at least 16 visible characters.",
            |settings, text| put(&mut settings.link_token, value::secret(text).map(Some)),
            |settings| rule::redacted(settings.link_token.as_ref()),
        )
        .optional()
        .secret(),
        Row::new(
            "stop-grace",
            "MILLISECONDS",
            "Longest time that a graceful shutdown waits for running requests.",
            |settings, text| put(&mut settings.stop_grace, value::millis(text)),
            |settings| vec![settings.stop_grace.as_millis().to_string()],
        )
        .default("120000"),
        Row::new(
            "log-level",
            "LEVEL",
            "Lowest level of logged events: critical, error, warning, info, debug or trace.",
            |settings, text| put(&mut settings.log_level, value::level(text)),
            |settings| vec![settings.log_level.as_str().to_ascii_lowercase()],
        )
        .default("info"),
    ],
};
