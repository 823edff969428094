//! Measurements of versions, collected from load reports of side processes.

use egretgate_core::Incarnation;
use egretgate_core::moves::{Counts, Evidence, EvidenceKey};
use egretgate_link::message::Sample;

/// The latest cumulative measurements of every incarnation of every side process, while a version
/// move is under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct SampleCollector {
    evidence: Evidence,
}

impl SampleCollector {
    /// Merges the counters of one load report.
    pub(crate) fn merge(&mut self, incarnation: Incarnation, samples: &[Sample]) {
        for sample in samples {
            let key = EvidenceKey::new(&sample.route, &sample.version, sample.level);
            self.evidence.merge(incarnation, key, counts_of(sample));
        }
    }

    /// Returns the collected measurements.
    pub(crate) const fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

const fn counts_of(sample: &Sample) -> Counts {
    Counts {
        total: sample.total,
        errors: sample.errors,
        slow_first_token: sample.slow_first_token,
        slow_inter_token: sample.slow_inter_token,
    }
}
