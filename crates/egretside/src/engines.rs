//! The engines behind the side process: their limits, health and deaths.

use std::time::{Duration, Instant};

use egretgate_core::limit::{Estimate, Headroom, Limit, LimitOptions};
use egretgate_core::queue::Work;
use egretgate_core::{Digest, Ticket, VersionId};
use slotmap::SlotMap;

use crate::replica::Targets;
use crate::run::Finish;
use crate::target_client::{Probe, TargetClient};

/// Interval between two probes of an engine that doesn't answer.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(200);

slotmap::new_key_type! {
    /// Key of an engine.
    pub(crate) struct EngineKey;
}

/// Health of an engine. Only engines that are up are given requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It answers.
    Up,
    /// An answer was cut, or no connection could be made; a probe is under way.
    Probing,
    /// It takes connections and answers no probe.
    Silent,
    /// It takes no connection.
    Down,
}

/// One engine.
#[derive(Debug)]
struct Engine {
    client: TargetClient,
    limit: Limit,
    health: Health,
    /// The suspect that runs here exclusively.
    exclusive: Option<Ticket>,
    running: Vec<InFlight>,
    /// Requests that were running when the first answer was cut.
    crash_candidates: Vec<InFlight>,
    /// Requests whose answers were cut since then.
    cut_requests: Vec<InFlight>,
    /// Requests that were answered in whole or proven not sent since then, so that they are no
    /// cause of a crash.
    harmless_requests: Vec<InFlight>,
    /// Digests that were reported with the death after which it is down.
    reported_digests: Vec<Digest>,
}

/// A request in flight on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct InFlight {
    ticket: Ticket,
    digest: Digest,
}

/// Result of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The engine answers; only single requests failed.
    Alive,
    /// The engine died with these digests in flight. `recovered` is true if it answers again
    /// already.
    Died { digests: Vec<Digest>, recovered: bool },
    /// The engine hangs from now on, so that no request is known to have crashed it.
    Hangs,
    /// The engine was down or hung and still does.
    StillDown,
    /// The engine was down or hung and answers again.
    Recovered,
}

/// All engines of a side process.
#[derive(Debug)]
pub(crate) struct Engines {
    engines: SlotMap<EngineKey, Engine>,
}

impl Engines {
    /// Returns the given engines, each assumed to be up.
    pub(crate) fn new(
        clients: impl IntoIterator<Item = TargetClient>,
        options: LimitOptions,
        now: Instant,
    ) -> Self {
        let mut engines = SlotMap::with_key();
        for client in clients {
            engines.insert(Engine {
                client,
                limit: Limit::new(options, now),
                health: Health::Up,
                exclusive: None,
                running: Vec::new(),
                crash_candidates: Vec::new(),
                cut_requests: Vec::new(),
                harmless_requests: Vec::new(),
                reported_digests: Vec::new(),
            });
        }
        Self { engines }
    }

    /// Returns the versions that the engines run, each once.
    pub(crate) fn versions(&self) -> Vec<VersionId> {
        let mut versions: Vec<VersionId> =
            self.engines.values().map(|engine| engine.client.version().clone()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns whether at least one engine is not down.
    pub(crate) fn healthy(&self) -> bool {
        self.engines.values().any(|engine| !engine.is_down())
    }

    /// Returns whether an engine that is not down runs the version. An empty version matches every
    /// engine.
    pub(crate) fn serves(&self, version: &str) -> bool {
        self.engines.values().any(|engine| !engine.is_down() && engine.serves(version))
    }

    /// Returns the engines that can start a request now, least loaded first.
    pub(crate) fn available(&self) -> Vec<EngineKey> {
        let mut keys: Vec<EngineKey> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.health == Health::Up && engine.headroom().requests > 0)
            .map(|(key, _)| key)
            .collect();
        keys.sort_by_key(|key| self.engines[*key].running.len());
        keys
    }

    /// Returns the capacity still usable on the engine.
    pub(crate) fn headroom(&self, key: EngineKey) -> Headroom {
        self.engines[key].headroom()
    }

    /// Returns whether the engine may run the work.
    pub(crate) fn accepts(&self, key: EngineKey, work: &Work) -> bool {
        self.engines[key].serves(&work.version)
    }

    /// Returns whether the engine can start another request without using the capacity reserved
    /// for more urgent work.
    pub(crate) fn keeps_reservation(&self, key: EngineKey) -> bool {
        self.engines[key].limit.keeps_reservation()
    }

    /// Returns the client of the engine.
    pub(crate) fn client(&self, key: EngineKey) -> TargetClient {
        self.engines[key].client.clone()
    }

    /// Returns the load level of the engine: 0 below a third of its limit, 1 below two thirds,
    /// else 2.
    pub(crate) fn level(&self, key: EngineKey) -> u32 {
        let engine = &self.engines[key];
        let level = engine.running.len() as u32 * 3 / engine.limit.requests().max(1);
        level.min(2)
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, key: EngineKey, work: &Work, now: Instant) {
        let engine = &mut self.engines[key];
        engine.limit.record_start(work.tokens(), now);
        engine.running.push(InFlight { ticket: work.ticket, digest: work.digest });
        if work.exclusive {
            engine.exclusive = Some(work.ticket);
        }
    }

    /// Returns the engine's limit, on which measurements are recorded.
    pub(crate) fn limit(&mut self, key: EngineKey) -> &mut Limit {
        &mut self.engines[key].limit
    }

    /// Records the end of a request. Returns true if a probe must show whether the engine died.
    pub(crate) fn record_end(&mut self, key: EngineKey, ticket: Ticket, finish: Finish) -> bool {
        let engine = &mut self.engines[key];
        let candidates = engine.running.clone();
        let ended = engine.running.iter().position(|request| request.ticket == ticket);
        let ended = ended.map(|index| engine.running.swap_remove(index));
        if engine.exclusive == Some(ticket) {
            engine.exclusive = None;
        }
        let Some(request) = ended else { return false };
        match finish {
            Finish::Cut => engine.cut_requests.push(request),
            Finish::Whole | Finish::NotSent => {
                if matches!(engine.health, Health::Probing | Health::Silent) {
                    engine.harmless_requests.push(request);
                }
                return false;
            }
            Finish::Failed | Finish::Cancelled => return false,
        }
        if engine.health != Health::Up {
            return false;
        }
        engine.health = Health::Probing;
        engine.crash_candidates = candidates;
        true
    }

    /// Returns true if the digest was not reported with the death of an engine that is down, so
    /// that it must be reported now that its answer was cut.
    pub(crate) fn record_late_cut(&mut self, key: EngineKey, digest: Digest) -> bool {
        let engine = &mut self.engines[key];
        let is_late = engine.health == Health::Down && !engine.reported_digests.contains(&digest);
        if is_late {
            engine.reported_digests.push(digest);
        }
        is_late
    }

    /// Returns whether a probe of the engine is under way.
    pub(crate) fn is_probing(&self, key: EngineKey) -> bool {
        self.engines[key].health == Health::Probing
    }

    /// Records that no connection to the engine could be made. Returns true if it must be probed.
    pub(crate) fn mark_unreachable(&mut self, key: EngineKey) -> bool {
        let engine = &mut self.engines[key];
        let was_up = engine.health == Health::Up;
        if was_up {
            engine.health = Health::Probing;
        }
        was_up
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(
        &mut self,
        key: EngineKey,
        probe: Probe,
        now: Instant,
    ) -> ProbeOutcome {
        let engine = &mut self.engines[key];
        let before = engine.health;
        engine.health = match probe {
            Probe::Answered => Health::Up,
            // A crashed engine that hangs while it starts is still down.
            Probe::Silent if before == Health::Down => Health::Down,
            Probe::Silent => Health::Silent,
            Probe::Unreachable => Health::Down,
        };
        let alive = probe == Probe::Answered;
        match (before, engine.health) {
            (Health::Silent | Health::Down, Health::Up) => {
                engine.forget_candidates();
                engine.limit.restart(now);
                return ProbeOutcome::Recovered;
            }
            (Health::Down, _) => {
                engine.cut_requests.clear();
                return ProbeOutcome::StillDown;
            }
            // The candidates are kept: a later probe may show that it has crashed.
            (Health::Silent, Health::Silent) => return ProbeOutcome::StillDown,
            (_, Health::Silent) => return ProbeOutcome::Hangs,
            _ => {}
        }
        let candidates = std::mem::take(&mut engine.crash_candidates);
        let cut = std::mem::take(&mut engine.cut_requests);
        let harmless = std::mem::take(&mut engine.harmless_requests);
        // A quickly restarted engine answers the probe, but every request that it ran was cut.
        let all_cut =
            candidates.len() > 1 && candidates.iter().all(|request| cut.contains(request));
        if alive && !all_cut {
            return ProbeOutcome::Alive;
        }
        if alive {
            engine.limit.restart(now);
        }
        let suspects = candidates.iter().filter(|request| !harmless.contains(request));
        let mut digests: Vec<Digest> = suspects.chain(&cut).map(|request| request.digest).collect();
        digests.sort_unstable();
        digests.dedup();
        engine.reported_digests.clone_from(&digests);
        ProbeOutcome::Died { digests, recovered: alive }
    }

    /// Returns the joint estimate of all engines that are not down; they share one queue.
    pub(crate) fn estimate(&self, now: Instant) -> Estimate {
        let engines = self.engines.values().filter(|engine| !engine.is_down());
        Estimate::combine(engines.map(|engine| engine.limit.estimate(now))).unwrap_or_default()
    }

    /// Sets the latency targets and the maximum number of requests of every limit.
    pub(crate) fn set_targets(&mut self, targets: Targets, requests: u32) {
        for engine in self.engines.values_mut() {
            engine.limit.set_targets(targets.first_token, targets.inter_token, requests);
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn running(&self) -> u32 {
        self.engines.values().map(|engine| engine.running.len() as u32).sum()
    }

    /// Returns the sum of the learned limits, in requests, of all engines that are not down.
    pub(crate) fn limit_total(&self) -> u32 {
        self.engines
            .values()
            .filter(|engine| !engine.is_down())
            .map(|engine| engine.limit.requests())
            .sum()
    }
}

impl Engine {
    /// Returns true if it answered no probe.
    const fn is_down(&self) -> bool {
        matches!(self.health, Health::Silent | Health::Down)
    }

    fn forget_candidates(&mut self) {
        self.crash_candidates.clear();
        self.cut_requests.clear();
        self.harmless_requests.clear();
    }

    fn serves(&self, version: &str) -> bool {
        version.is_empty() || self.client.version() == version
    }

    fn headroom(&self) -> Headroom {
        Headroom { exclusive: self.exclusive.is_some(), ..self.limit.headroom() }
    }
}
