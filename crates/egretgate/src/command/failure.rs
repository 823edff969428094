//! Failures of commands and exit codes.

use std::process::ExitCode;

use egretgate_core::Execution;
use egretgate_operator::ClientError;
use egretgate_settings::Faults;
use eyre::{Report, eyre};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Failure>;

/// Exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The request was refused, or a check found a fault.
    Refused = 1,
    /// The command line or the settings are invalid; nothing was sent to any process.
    Usage = 2,
    /// A process was not reached, its answer was lost, or it has not applied the change.
    Unreachable = 3,
}

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the program.
    pub exit: Exit,
    /// Error with its causes.
    pub report: Report,
}

impl Exit {
    /// Explanation of the exit codes, for help texts.
    pub const HELP: &'static str = "Exit codes:\n  \
        0  success\n  \
        1  refused, or a fault was found\n  \
        2  invalid command line or settings; nothing was sent to any process\n  \
        3  a process was not reached, its answer was lost, or it has not applied the change\n";
}

impl Failure {
    /// Returns a failure with [`Exit::Refused`].
    pub fn refused(message: impl Into<String>) -> Self {
        Self { exit: Exit::Refused, report: Report::msg(message.into()) }
    }

    /// Returns a failure with [`Exit::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self { exit: Exit::Usage, report: Report::msg(message.into()) }
    }

    /// Returns a failure with [`Exit::Unreachable`].
    pub fn unreachable(message: impl Into<String>) -> Self {
        Self { exit: Exit::Unreachable, report: Report::msg(message.into()) }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<Report> for Failure {
    fn from(report: Report) -> Self {
        Self { exit: Exit::Refused, report }
    }
}

impl From<Faults> for Failure {
    fn from(faults: Faults) -> Self {
        Self { exit: Exit::Usage, report: faults.into() }
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Refused(error) if error.execution == Execution::Unknown => Self {
                exit: Exit::Unreachable,
                report: eyre!("outcome unknown ({}): {}", error.kind.code(), error.detail),
            },
            ClientError::Refused(error) => Self {
                exit: Exit::Refused,
                report: eyre!("refused ({}): {}", error.kind.code(), error.detail),
            },
            ClientError::Unreachable(_) | ClientError::Lost(_) => {
                Self { exit: Exit::Unreachable, report: error.into() }
            }
        }
    }
}
