//! The load that an upstream states in its answers.

/// What an answer of an upstream states about its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that work takes there now, relative to the usual time; finite and above 0. `None` if it
    /// states none.
    pub pace: Option<f64>,
}
