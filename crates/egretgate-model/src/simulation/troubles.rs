//! Beginning and end of troubles, and samples of the slots in use.

use std::time::Duration;

use rand::seq::SliceRandom;

use super::{Event, LIST_LAG, RunResult, Simulation};
use crate::site::{Trouble, TroubleKind as Kind};
use crate::upstream::Upstream;

impl Simulation<'_> {
    pub(super) fn begin_trouble(&mut self, index: usize) {
        let Trouble { seconds, what, .. } = &self.site.troubles[index];
        let affected = match what {
            Kind::Burst { .. } => Vec::new(),
            Kind::Cut { part } => self.pick_affected((0..self.entries.len()).collect(), *part),
            Kind::Crash { service, part }
            | Kind::Slow { service, part, .. }
            | Kind::Fail { service, part, .. } => {
                let all = self.upstreams.iter().enumerate();
                let of_service =
                    all.filter(|(_, up)| self.site.services[up.service].name == *service);
                self.pick_affected(of_service.map(|(index, _)| index).collect(), *part)
            }
        };
        for &index in &affected {
            match what {
                Kind::Burst { .. } => {}
                Kind::Cut { .. } => self.set_cut_off(index, true),
                Kind::Crash { .. } => {
                    for id in self.upstreams[index].crash() {
                        let run = self.request(id).run_number;
                        self.send_result(id, run, RunResult::Crashed);
                    }
                }
                Kind::Slow { factor, .. } => self.upstreams[index].slowness *= factor,
                Kind::Fail { rate, .. } => self.upstreams[index].error_rate = rate.clamp(0.0, 1.0),
            }
        }
        self.events.schedule(self.now + LIST_LAG, Event::ListRefresh);
        let until = self.now + Duration::from_secs_f64(*seconds);
        self.events.schedule(until, Event::TroubleEnd(index, affected));
    }

    pub(super) fn end_trouble(&mut self, index: usize, affected: &[usize]) {
        for &affected in affected {
            match self.site.troubles[index].what {
                Kind::Burst { .. } => {}
                Kind::Cut { .. } => self.set_cut_off(affected, false),
                Kind::Crash { .. } => self.upstreams[affected].down = false,
                Kind::Slow { factor, .. } => self.upstreams[affected].slowness /= factor,
                Kind::Fail { .. } => self.upstreams[affected].error_rate = 0.0,
            }
        }
        self.events.schedule(self.now + LIST_LAG, Event::ListRefresh);
    }

    pub(super) fn set_cut_off(&mut self, entry: usize, cut_off: bool) {
        self.cut_off[entry] = cut_off;
        self.entries[entry].set_directory_up(!cut_off);
    }

    pub(super) fn pick_affected(&mut self, mut all: Vec<usize>, fraction: f64) -> Vec<usize> {
        all.shuffle(&mut self.rng);
        let count = (all.len() as f64 * fraction).round() as usize;
        all.truncate(count);
        all
    }

    pub(super) fn sample_slots(&mut self) {
        let slots = |up: &Upstream| self.site.services[up.service].slots as usize;
        let all: usize = self.upstreams.iter().map(slots).sum();
        let used: usize = self.upstreams.iter().map(Upstream::running).sum();
        let queued: usize = self.upstreams.iter().map(Upstream::waiting).sum();
        self.tally.record_sample(used as f64 / all as f64, queued as f64 / all as f64);
    }
}
