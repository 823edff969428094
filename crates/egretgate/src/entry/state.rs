//! What the entry's tasks read of the shared state.

use std::sync::Arc;

use egretgate_core::Digest;
use egretgate_core::directory::Directory;
use egretgate_core::fold::QuarantineView;
use egretgate_core::poison::QuarantineState;

/// The shared state at one offset. A new one is published at each change.
#[derive(Debug, Clone, Default)]
pub(crate) struct StateView {
    /// True once the log's head, or in an outage the peers' highest state, was read.
    pub ready: bool,
    /// True while the log answers.
    pub log_up: bool,
    /// Index over the declarations.
    pub directory: Arc<Directory>,
    /// Digests in quarantine by the log and by deaths reported to this entry.
    pub quarantine: Arc<QuarantineView>,
}

impl StateView {
    /// Returns what is held against a request, by the log or by reports to this entry.
    pub(crate) fn verdict(&self, digest: Digest) -> QuarantineState {
        self.quarantine.verdict(digest)
    }
}
