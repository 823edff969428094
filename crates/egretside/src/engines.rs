//! The engines behind the side process: their limits, health and deaths.

use std::time::{Duration, Instant};

use egretgate_core::limit::{Estimate, Headroom, Limit, LimitOptions};
use egretgate_core::queue::Work;
use egretgate_core::{Digest, Ticket, VersionId};
use slotmap::SlotMap;

use crate::feed::Targets;
use crate::upstream::Upstream;

/// Pause between two probes of an engine that doesn't answer.
pub(crate) const PROBE_PAUSE: Duration = Duration::from_millis(200);

slotmap::new_key_type! {
    /// Key of an engine.
    pub(crate) struct EngineKey;
}

/// Whether an engine takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It answers.
    Up,
    /// An answer was cut and a probe is under way.
    Doubted,
    /// It gives no sign of life.
    Down,
}

/// One engine.
#[derive(Debug)]
struct Engine {
    upstream: Upstream,
    limit: Limit,
    health: Health,
    /// The suspect that runs here with no other beside it.
    alone: Option<Ticket>,
    running: Vec<Inflight>,
    /// Requests that ran when the first answer was cut.
    witnesses: Vec<Inflight>,
    /// Those of `witnesses` whose answers were cut.
    cut: Vec<Inflight>,
}

/// A request in flight on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Inflight {
    ticket: Ticket,
    digest: Digest,
}

/// What a probe after a cut answer has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The engine lives, and the cut concerned single requests.
    Alive,
    /// The engine died with these digests in flight. `back` is true if it lives again.
    Died { digests: Vec<Digest>, back: bool },
    /// The engine was known to be dead and still is.
    StillDown,
    /// The engine was known to be dead and lives again.
    Back,
}

/// All engines of a side process.
#[derive(Debug)]
pub(crate) struct Engines {
    engines: SlotMap<EngineKey, Engine>,
}

impl Engines {
    /// Returns the given engines, all taken to be alive.
    pub(crate) fn new(
        upstreams: impl IntoIterator<Item = Upstream>,
        options: LimitOptions,
        now: Instant,
    ) -> Self {
        let mut engines = SlotMap::with_key();
        for upstream in upstreams {
            engines.insert(Engine {
                upstream,
                limit: Limit::new(options, now),
                health: Health::Up,
                alone: None,
                running: Vec::new(),
                witnesses: Vec::new(),
                cut: Vec::new(),
            });
        }
        Self { engines }
    }

    /// Returns the versions held, each once.
    pub(crate) fn versions(&self) -> Vec<VersionId> {
        let mut versions: Vec<VersionId> =
            self.engines.values().map(|engine| engine.upstream.version().clone()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns whether any engine answers.
    pub(crate) fn healthy(&self) -> bool {
        self.engines.values().any(|engine| engine.health != Health::Down)
    }

    /// Returns whether a live engine holds the version; an empty one is held by all.
    pub(crate) fn serves(&self, version: &str) -> bool {
        self.engines.values().any(|engine| engine.health != Health::Down && engine.holds(version))
    }

    /// Returns the engines that may start something now, emptiest first.
    pub(crate) fn open(&self) -> Vec<EngineKey> {
        let mut open: Vec<EngineKey> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.health == Health::Up && engine.room().requests > 0)
            .map(|(key, _)| key)
            .collect();
        open.sort_by_key(|key| self.engines[*key].running.len());
        open
    }

    /// Returns what may start on the engine.
    pub(crate) fn room(&self, key: EngineKey) -> Headroom {
        self.engines[key].room()
    }

    /// Returns whether the engine may run the work.
    pub(crate) fn accepts(&self, key: EngineKey, work: &Work) -> bool {
        self.engines[key].holds(&work.version)
    }

    /// Returns whether the engine would keep room for more urgent work beside one more request.
    pub(crate) fn spares_room(&self, key: EngineKey) -> bool {
        self.engines[key].limit.leaves_reserve()
    }

    /// Returns the engine's client.
    pub(crate) fn upstream(&self, key: EngineKey) -> Upstream {
        self.engines[key].upstream.clone()
    }

    /// Returns the load level of the engine: 0 below a third of its limit, 1 below two thirds,
    /// else 2.
    pub(crate) fn level(&self, key: EngineKey) -> u32 {
        let engine = &self.engines[key];
        let share = engine.running.len() as u32 * 3 / engine.limit.requests().max(1);
        share.min(2)
    }

    /// Notes the start of work.
    pub(crate) fn started(&mut self, key: EngineKey, work: &Work) {
        let engine = &mut self.engines[key];
        engine.limit.record_start(work.tokens());
        engine.running.push(Inflight { ticket: work.ticket, digest: work.digest });
        if work.exclusive {
            engine.alone = Some(work.ticket);
        }
    }

    /// Returns the engine's limit, to note measurements.
    pub(crate) fn limit(&mut self, key: EngineKey) -> &mut Limit {
        &mut self.engines[key].limit
    }

    /// Notes the end of a request. Returns true if a probe must show whether the engine died.
    pub(crate) fn ended(&mut self, key: EngineKey, ticket: Ticket, cut: bool) -> bool {
        let engine = &mut self.engines[key];
        let witnesses = engine.running.clone();
        let ended = engine.running.iter().position(|inflight| inflight.ticket == ticket);
        let ended = ended.map(|index| engine.running.swap_remove(index));
        if engine.alone == Some(ticket) {
            engine.alone = None;
        }
        let Some(inflight) = ended.filter(|_| cut) else { return false };
        engine.cut.push(inflight);
        if engine.health != Health::Up {
            return false;
        }
        engine.health = Health::Doubted;
        engine.witnesses = witnesses;
        true
    }

    /// Returns whether a probe of the engine is under way after a cut answer.
    pub(crate) fn is_doubted(&self, key: EngineKey) -> bool {
        self.engines[key].health == Health::Doubted
    }

    /// Notes that no connection to the engine could be made. Returns true if it must be probed.
    pub(crate) fn unreachable(&mut self, key: EngineKey) -> bool {
        let engine = &mut self.engines[key];
        let first = engine.health == Health::Up;
        if first {
            engine.health = Health::Doubted;
        }
        first
    }

    /// Notes the answer to a probe.
    pub(crate) fn probed(&mut self, key: EngineKey, alive: bool, now: Instant) -> Verdict {
        let engine = &mut self.engines[key];
        let known_down = engine.health == Health::Down;
        engine.health = if alive { Health::Up } else { Health::Down };
        if known_down {
            engine.cut.clear();
            if alive {
                engine.limit.restart(now);
            }
            return if alive { Verdict::Back } else { Verdict::StillDown };
        }
        let witnesses = std::mem::take(&mut engine.witnesses);
        let cut = std::mem::take(&mut engine.cut);
        // An engine that restarts quickly answers the probe, but has cut every request it ran.
        let all_cut = witnesses.len() > 1 && witnesses.iter().all(|one| cut.contains(one));
        if alive && !all_cut {
            return Verdict::Alive;
        }
        if alive {
            engine.limit.restart(now);
        }
        let mut digests: Vec<Digest> = witnesses.iter().chain(&cut).map(|one| one.digest).collect();
        digests.sort_unstable();
        digests.dedup();
        Verdict::Died { digests, back: alive }
    }

    /// Returns what is expected of all live engines behind the one queue.
    pub(crate) fn estimate(&self) -> Estimate {
        let live = self.engines.values().filter(|engine| engine.health != Health::Down);
        Estimate::combine(live.map(|engine| engine.limit.estimate())).unwrap_or_default()
    }

    /// Sets the targets of every limit, and its upper bound in requests.
    pub(crate) fn set_targets(&mut self, targets: Targets, requests: u32) {
        for engine in self.engines.values_mut() {
            engine.limit.set_targets(targets.first, targets.between, requests);
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn running(&self) -> u32 {
        self.engines.values().map(|engine| engine.running.len() as u32).sum()
    }

    /// Returns the learned limit in requests over all live engines.
    pub(crate) fn limit_total(&self) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.health != Health::Down)
            .map(|engine| engine.limit.requests())
            .sum()
    }
}

impl Engine {
    fn holds(&self, version: &str) -> bool {
        version.is_empty() || self.upstream.version() == version
    }

    fn room(&self) -> Headroom {
        Headroom { exclusive: self.alone.is_some(), ..self.limit.headroom() }
    }
}
