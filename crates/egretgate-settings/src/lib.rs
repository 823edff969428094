//! Settings of both binaries, read from flags and environment variables.
//!
//! Each setting is one row of a [`Table`]: its flag, unit, help, default and parser. The variable's
//! name is derived from the flag, so that neither exists without the other. Flags take precedence
//! over variables. All faults are reported together.
//!
//! ```
//! use egretgate_settings::{Invocation, entry};
//!
//! let read = entry::read(["--help".into()], []).unwrap();
//! assert!(matches!(read, Invocation::Help(text) if text.contains("--caller-address")));
//! ```

pub mod client;
pub mod entry;
mod fault;
mod logging;
mod rule;
pub mod side;
mod table;
pub mod value;

pub use fault::{Fault, Faults, Result};
pub use logging::{LogGuard, guarded_logger, logger, logger_to};
pub use table::{Fallback, Invocation, Setting, Table};
pub use value::{Engine, Secret};
