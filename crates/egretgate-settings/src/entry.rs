//! Settings of `egretgate serve`, the entry.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use egretgate_core::{InstanceId, ZoneId};

use crate::fault::{Fault, Faults, Result};
use crate::rule;
use crate::table::{Invocation, Setting, Table};
use crate::value::{self, Secret, put};

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for health and metrics.
    pub admin_address: SocketAddr,
    /// Address for operators; loopback unless `operator_token` is set.
    pub operator_address: SocketAddr,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Address of the platform's instance list.
    pub instances_address: SocketAddr,
    /// Address of the platform's weight store, if there is one.
    pub weights_address: Option<SocketAddr>,
    /// Token presented to side processes.
    pub link_token: Option<Secret>,
    /// Token that operators must present.
    pub operator_token: Option<Secret>,
    /// Largest body of a caller's request, in bytes; at least 1.
    pub body_limit: usize,
    /// Most concurrent connections of callers; at least 1.
    pub connections: usize,
    /// Longest time in which a caller's request must arrive completely.
    pub caller_timeout: Duration,
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
            caller_address: rule::NO_ADDRESS,
            admin_address: rule::NO_ADDRESS,
            operator_address: rule::NO_ADDRESS,
            log_address: rule::NO_ADDRESS,
            instances_address: rule::NO_ADDRESS,
            weights_address: None,
            link_token: None,
            operator_token: None,
            body_limit: 0,
            connections: 0,
            caller_timeout: Duration::ZERO,
            stop_grace: Duration::ZERO,
            log_level: slog::Level::Info,
        }
    }

    fn conflicts(&self) -> Vec<Fault> {
        let addresses = [
            ("--caller-address", self.caller_address),
            ("--admin-address", self.admin_address),
            ("--operator-address", self.operator_address),
            ("--log-address", self.log_address),
            ("--instances-address", self.instances_address),
        ];
        let weights = self.weights_address.map(|address| ("--weights-address", address));
        let mut faults = rule::address_conflicts(addresses.into_iter().chain(weights));
        let operator = ("--operator-address", self.operator_address);
        faults.extend(rule::missing_token(
            operator,
            "--operator-token",
            self.operator_token.as_ref(),
        ));
        faults
    }
}

/// Reads the settings of an entry from `args` and `vars`.
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

type Row = Setting<Settings>;

/// The settings of `egretgate serve`.
pub static TABLE: Table<Settings> = Table {
    usage: "egretgate serve [FLAG VALUE]...",
    prefix: "EGRETGATE_",
    other_flags: || vec!["operator", "reason"],
    settings: &[
        Row::new(
            "instance",
            "NAME",
            "Name of this instance, as in the platform's instance list.",
            |settings, text| put(&mut settings.instance, value::name(text)),
            |settings| vec![settings.instance.clone()],
        ),
        Row::new(
            "zone",
            "NAME",
            "Availability zone of this instance.",
            |settings, text| put(&mut settings.zone, value::name(text)),
            |settings| vec![settings.zone.clone()],
        ),
        Row::new(
            "caller-address",
            "IP:PORT",
            "Where callers reach the entry over HTTP.",
            |settings, text| put(&mut settings.caller_address, value::address(text)),
            |settings| vec![settings.caller_address.to_string()],
        )
        .default("127.0.0.1:8080"),
        Row::new(
            "admin-address",
            "IP:PORT",
            "Where /healthz, /readyz and /metrics are read.",
            |settings, text| put(&mut settings.admin_address, value::address(text)),
            |settings| vec![settings.admin_address.to_string()],
        )
        .default("127.0.0.1:8081"),
        Row::new(
            "operator-address",
            "IP:PORT",
            "Where operators' remote procedure calls arrive.",
            |settings, text| put(&mut settings.operator_address, value::address(text)),
            |settings| vec![settings.operator_address.to_string()],
        )
        .default("127.0.0.1:8082"),
        Row::new(
            "log-address",
            "IP:PORT",
            "Where the platform's log listens.",
            |settings, text| put(&mut settings.log_address, value::address(text)),
            |settings| vec![settings.log_address.to_string()],
        ),
        Row::new(
            "instances-address",
            "IP:PORT",
            "Where the platform's instance list listens.",
            |settings, text| put(&mut settings.instances_address, value::address(text)),
            |settings| vec![settings.instances_address.to_string()],
        ),
        Row::new(
            "weights-address",
            "IP:PORT",
            "Where the platform's weight store listens, if there is one.",
            |settings, text| put(&mut settings.weights_address, value::address(text).map(Some)),
            |settings| settings.weights_address.iter().map(SocketAddr::to_string).collect(),
        )
        .optional(),
        Row::new(
            "link-token",
            "TOKEN",
            "Token shown to side processes: at least 16 visible characters.",
            |settings, text| put(&mut settings.link_token, value::secret(text).map(Some)),
            |settings| rule::redacted(settings.link_token.as_ref()),
        )
        .optional()
        .secret(),
        Row::new(
            "operator-token",
            "TOKEN",
            "Token that operators must show: at least 16 visible characters.",
            |settings, text| put(&mut settings.operator_token, value::secret(text).map(Some)),
            |settings| rule::redacted(settings.operator_token.as_ref()),
        )
        .optional()
        .secret(),
        Row::new(
            "caller-body-limit",
            "BYTES",
            "Largest body of a caller's request.",
            |settings, text| put(&mut settings.body_limit, value::count(text)),
            |settings| vec![settings.body_limit.to_string()],
        )
        .default("4194304"),
        Row::new(
            "caller-connections",
            "COUNT",
            "Most connections of callers at one time.",
            |settings, text| put(&mut settings.connections, value::count(text)),
            |settings| vec![settings.connections.to_string()],
        )
        .default("4096"),
        Row::new(
            "caller-timeout",
            "MILLISECONDS",
            "Longest time in which a caller's request must arrive in whole.",
            |settings, text| put(&mut settings.caller_timeout, value::millis(text)),
            |settings| vec![settings.caller_timeout.as_millis().to_string()],
        )
        .default("10000"),
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
