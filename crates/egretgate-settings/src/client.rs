//! Settings of the operators' commands.

use std::ffi::OsString;
use std::net::SocketAddr;

use crate::entry;
use crate::fault::Result;
use crate::table::{Invocation, Setting, Table};
use crate::value::{self, Secret, put};

/// Settings shared by the operators' commands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Entries' addresses for operators; at least one.
    pub addresses: Vec<SocketAddr>,
    /// Token presented to entries.
    pub token: Option<Secret>,
    /// Name of the operator.
    pub operator: Option<String>,
    /// Reason for a change.
    pub reason: Option<String>,
}

/// Reads the settings of a command from `args` and `vars`.
///
/// # Errors
///
/// Returns all faults.
pub fn read(
    args: impl IntoIterator<Item = OsString>,
    vars: impl IntoIterator<Item = (OsString, OsString)>,
) -> Result<Invocation<Settings>> {
    TABLE.read(Settings::default(), args, vars)
}

type Row = Setting<Settings>;

/// The settings of the operators' commands.
pub static TABLE: Table<Settings> = Table {
    usage: "egretgate COMMAND [FLAG VALUE]...",
    prefix: "EGRETGATE_",
    other_flags: || entry::TABLE.flags().collect(),
    settings: &[
        Row::new(
            "operator-address",
            "IP:PORT",
            "Where an entry's remote procedure calls arrive.",
            |settings, text| value::address(text).map(|address| settings.addresses.push(address)),
            |settings| settings.addresses.iter().map(SocketAddr::to_string).collect(),
        )
        .default("127.0.0.1:8082")
        .repeatable(),
        Row::new(
            "operator-token",
            "TOKEN",
            "Token of operators. Prefer the variable: flags are visible to other users.",
            |settings, text| put(&mut settings.token, value::secret(text).map(Some)),
            |settings| crate::rule::redacted(settings.token.as_ref()),
        )
        .optional()
        .secret(),
        Row::new(
            "operator",
            "NAME",
            "Name of the operator who asks for a change.",
            |settings, text| put(&mut settings.operator, Ok(Some(text.to_owned()))),
            |settings| settings.operator.iter().cloned().collect(),
        )
        .optional(),
        Row::new(
            "reason",
            "TEXT",
            "Why a change is asked for.",
            |settings, text| put(&mut settings.reason, Ok(Some(text.to_owned()))),
            |settings| settings.reason.iter().cloned().collect(),
        )
        .optional(),
    ],
};
