//! Troubles begin and end; slots are sampled.

use std::time::Duration;

use rand::seq::SliceRandom;

use super::{Event, LIST_LAG, Told, World};
use crate::site::{Trouble, What};
use crate::upstream::Upstream;

impl World<'_> {
    pub(super) fn begin(&mut self, index: usize) {
        let Trouble { seconds, what, .. } = &self.site.troubles[index];
        let hit = match what {
            What::Burst { .. } => Vec::new(),
            What::Cut { part } => self.pick((0..self.entries.len()).collect(), *part),
            What::Crash { service, part }
            | What::Slow { service, part, .. }
            | What::Fail { service, part, .. } => {
                let all = self.upstreams.iter().enumerate();
                let of = all.filter(|(_, up)| self.site.services[up.service].name == *service);
                self.pick(of.map(|(index, _)| index).collect(), *part)
            }
        };
        for &index in &hit {
            match what {
                What::Burst { .. } => {}
                What::Cut { .. } => self.set_cut(index, true),
                What::Crash { .. } => {
                    for id in self.upstreams[index].crash() {
                        let run = self.request(id).run;
                        self.tell(id, run, Told::Broken);
                    }
                }
                What::Slow { factor, .. } => self.upstreams[index].slowness *= factor,
                What::Fail { rate, .. } => self.upstreams[index].failing = rate.clamp(0.0, 1.0),
            }
        }
        self.agenda.add(self.now + LIST_LAG, Event::List);
        let until = self.now + Duration::from_secs_f64(*seconds);
        self.agenda.add(until, Event::End(index, hit));
    }

    pub(super) fn end(&mut self, index: usize, hit: &[usize]) {
        for &hit in hit {
            match self.site.troubles[index].what {
                What::Burst { .. } => {}
                What::Cut { .. } => self.set_cut(hit, false),
                What::Crash { .. } => self.upstreams[hit].down = false,
                What::Slow { factor, .. } => self.upstreams[hit].slowness /= factor,
                What::Fail { .. } => self.upstreams[hit].failing = 0.0,
            }
        }
        self.agenda.add(self.now + LIST_LAG, Event::List);
    }

    pub(super) fn set_cut(&mut self, entry: usize, cut: bool) {
        self.cut[entry] = cut;
        self.entries[entry].set_in_touch(!cut);
    }

    pub(super) fn pick(&mut self, mut all: Vec<usize>, part: f64) -> Vec<usize> {
        all.shuffle(&mut self.rng);
        let count = (all.len() as f64 * part).round() as usize;
        all.truncate(count);
        all
    }

    pub(super) fn sample(&mut self) {
        let slots = |up: &Upstream| self.site.services[up.service].slots as usize;
        let all: usize = self.upstreams.iter().map(slots).sum();
        let used: usize = self.upstreams.iter().map(Upstream::running).sum();
        let queued: usize = self.upstreams.iter().map(Upstream::waiting).sum();
        self.tally.sample(used as f64 / all as f64, queued as f64 / all as f64);
    }
}
