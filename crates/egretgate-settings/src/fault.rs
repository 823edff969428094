//! Invalid settings.

use std::fmt;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Faults>;

/// A fault of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Flag or variable that is invalid, as the operator wrote it.
    pub setting: String,
    /// Description of the fault; contains no secret.
    pub message: String,
}

/// All faults found when reading the settings; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Fault {
    /// Returns a fault of the named setting.
    pub fn new(setting: impl Into<String>, message: impl Into<String>) -> Self {
        Self { setting: setting.into(), message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.setting, self.message)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
