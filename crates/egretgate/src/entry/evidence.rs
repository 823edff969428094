//! Measurements of versions, collected from side processes.

use std::collections::BTreeMap;

use egretgate_core::moves::{Cell, Counts, Evidence};
use egretgate_core::{Incarnation, UpstreamId};
use egretgate_link::message::Sample;

/// The latest cumulative measurements of every side process.
#[derive(Debug, Clone, Default)]
pub(crate) struct SampleBook {
    /// Last life heard of each upstream.
    lives: BTreeMap<UpstreamId, Incarnation>,
    evidence: Evidence,
}

impl SampleBook {
    /// Takes in the counters of one heartbeat.
    pub(crate) fn take(&mut self, upstream: &str, life: Incarnation, samples: &[Sample]) {
        if samples.is_empty() {
            return;
        }
        self.lives.insert(upstream.to_owned(), life);
        for sample in samples {
            let cell = Cell::new(&sample.route, &sample.version, sample.level);
            self.evidence.merge(life, cell, counts_of(sample));
        }
    }

    /// Returns the measurements by process.
    pub(crate) const fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

const fn counts_of(sample: &Sample) -> Counts {
    Counts {
        total: sample.total,
        errors: sample.errors,
        slow_first: sample.slow_first,
        slow_between: sample.slow_between,
    }
}
