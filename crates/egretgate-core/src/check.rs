//! Validation of declarations.
//!
//! ```
//! use egretgate_core::check;
//!
//! let faults = check::parse("[teams.mills]\ntier = \"urgent\"\n").unwrap_err();
//! assert_eq!(faults[0].in_file("x.toml"), "x.toml:2: teams.mills.tier: no tier `urgent` is declared");
//! ```

mod file;
mod rules;

use std::fmt;

pub use file::parse;
pub use rules::{faults, item_faults, name_fault};

/// Result of reading a declaration file.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// Maximum size of a declaration file, in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Maximum length of a name or model, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a path prefix, in bytes.
pub const MAX_PATH_BYTES: usize = 256;
/// Maximum number of teams.
pub const MAX_TEAMS: usize = 16_384;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of routes.
pub const MAX_ROUTES: usize = 4_096;
/// Maximum number of keys of a team.
pub const MAX_TEAM_KEYS: usize = 16;
/// Maximum queue length and concurrency of a service, in requests.
pub const MAX_REQUESTS: u32 = 65_536;
/// Maximum weight of a team.
pub const MAX_WEIGHT: u32 = 10_000;
/// Maximum of each time that a tier declares, in milliseconds.
pub const MAX_TIER_TIME_MS: u64 = 86_400_000;
/// Maximum time for which idempotency keys are kept, in seconds.
pub const MAX_KEY_WINDOW_S: u64 = 30 * 86_400;

/// A fault in a declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section, item and field at fault, as far as they are known.
    pub path: Vec<String>,
    /// Line in the file, from 1; `None` if the declaration is not from a file.
    pub line: Option<usize>,
    /// Description for the operator.
    pub message: String,
}

impl Fault {
    pub(crate) fn new(path: &[&str], message: impl Into<String>) -> Self {
        let path = path.iter().map(|&part| part.to_owned()).collect();
        Self { path, line: None, message: message.into() }
    }

    /// Returns the path joined by dots, such as `teams.mills.tier`, or `file` if it is empty.
    pub fn field(&self) -> String {
        if self.path.is_empty() {
            return "file".to_owned();
        }
        self.path.join(".")
    }

    /// Returns the fault as one line with the file name, the line number and the field.
    pub fn in_file(&self, file: &str) -> String {
        match self.line {
            Some(line) => format!("{file}:{line}: {self}"),
            None => format!("{file}: {self}"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field(), self.message)
    }
}
