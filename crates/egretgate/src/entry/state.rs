//! The shared state, as published to the entry's tasks.

use std::sync::Arc;

use egretgate_core::Digest;
use egretgate_core::directory::Directory;
use egretgate_core::fold::QuarantineView;
use egretgate_core::poison::QuarantineState;

/// Snapshot of the shared state at one offset. A new one is published at each change.
#[derive(Debug, Clone, Default)]
pub(crate) struct StateView {
    /// True once the log was read up to its head or, if the log is unreachable at start-up, the
    /// state of a side process was adopted.
    pub ready: bool,
    /// True while the log is reachable.
    pub log_up: bool,
    /// Index of the declarations.
    pub directory: Arc<Directory>,
    /// Suspect and quarantined digests, from the log and from deaths reported to this entry.
    pub quarantine: Arc<QuarantineView>,
}

impl StateView {
    /// Returns whether a request is clear, suspect or quarantined.
    pub(crate) fn quarantine_state(&self, digest: Digest) -> QuarantineState {
        self.quarantine.state(digest)
    }
}
