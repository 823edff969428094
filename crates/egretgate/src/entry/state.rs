//! What the entry's tasks read of the shared state.

use std::sync::Arc;

use egretgate_core::Digest;
use egretgate_core::directory::Directory;
use egretgate_core::fold::Quarantine;
use egretgate_core::poison::{Poison, PoisonOptions, Verdict};

/// The shared state at one offset. A new one is published at each change.
#[derive(Debug, Clone)]
pub(crate) struct View {
    /// True once the log's head, or in an outage the peers' highest state, was read.
    pub ready: bool,
    /// True while the log answers.
    pub log_up: bool,
    /// Index over the declarations.
    pub directory: Arc<Directory>,
    /// Digests in quarantine by the log.
    pub quarantine: Arc<Quarantine>,
    /// Deaths reported to this entry, before the log confirms them.
    pub local: Arc<Poison>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            ready: false,
            log_up: false,
            directory: Arc::default(),
            quarantine: Arc::default(),
            local: Arc::new(Poison::new(PoisonOptions::default())),
        }
    }
}

impl View {
    /// Returns what is held against a request, by the log or by reports to this entry.
    pub(crate) fn verdict(&self, digest: Digest) -> Verdict {
        let local = self.local.verdict(digest);
        if self.quarantine.is_quarantined(&digest) || local == Verdict::Quarantined {
            Verdict::Quarantined
        } else if self.quarantine.is_suspect(&digest) || local == Verdict::Suspect {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }
}
