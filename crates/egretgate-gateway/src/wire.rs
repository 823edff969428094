//! The encoding of reports between entries: one datagram per report.

use std::collections::HashMap;
use std::time::Duration;

use egretgate_core::Tier;
use egretgate_core::gateway::crash_quarantine::{AgedCrash, Ruling, SuspectReport};
use egretgate_core::gateway::ejection::{Answers, EjectionReport, ProbeReport, RouteAnswers};
use egretgate_core::gateway::peer::{
    AgedCold, AgedLimit, AgedReading, LeavingUpstream, NameHash, PeerReport,
};
use egretgate_core::gateway::refusals::RefusalCounts;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::gateway::reserve::PriorityLoad;
use egretgate_core::gateway::returns::PlannedReturn;
use egretgate_core::gateway::traffic_move::{MoveKey, MoveReport, MoveState};
use egretgate_core::moves::Counts;
use prost::Message;

/// Largest count that is taken from a report, so that sums and successors don't overflow.
const MAX_COUNT: u32 = 1 << 20;
/// The same for the answers since the start of a move.
const MAX_ANSWERS: u64 = 1 << 40;

/// A report.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(map = "fixed64, float", tag = "4")]
    demand: HashMap<u64, f32>,
    #[prost(map = "fixed64, uint32", tag = "5")]
    running: HashMap<u64, u32>,
    #[prost(map = "fixed64, uint64", tag = "6")]
    admitted: HashMap<u64, u64>,
    #[prost(message, optional, tag = "7")]
    catalog: Option<SentReading>,
    #[prost(message, optional, tag = "8")]
    upstreams: Option<SentReading>,
    #[prost(message, repeated, tag = "10")]
    refusals: Vec<PriorityRefusals>,
    #[prost(message, repeated, tag = "11")]
    moves: Vec<SentMove>,
    // Tag 12 held the broken runs of requests.
    #[prost(message, repeated, tag = "25")]
    requests: Vec<SentSuspect>,
    #[prost(map = "fixed64, float", tag = "13")]
    unit_seconds: HashMap<u64, f32>,
    #[prost(string, tag = "14")]
    zone: String,
    #[prost(message, repeated, tag = "15")]
    limits: Vec<SentLimit>,
    #[prost(message, repeated, tag = "16")]
    parts: Vec<SentSuspect>,
    #[prost(message, repeated, tag = "17")]
    leaving: Vec<SentLeaving>,
    #[prost(message, repeated, tag = "18")]
    cold: Vec<SentCold>,
    /// Milliseconds until callers come back, by request.
    #[prost(map = "fixed64, uint32", tag = "19")]
    returns: HashMap<u64, u32>,
    #[prost(message, repeated, tag = "24")]
    loads: Vec<SentLoad>,
    #[prost(message, repeated, tag = "20")]
    answers: Vec<SentAnswers>,
    #[prost(message, repeated, tag = "21")]
    probes: Vec<SentProbe>,
}

/// The sender's recent answers from one upstream to the requests of one route.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentAnswers {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    #[prost(fixed32, tag = "2")]
    route: u32,
    /// Weight of all answers, in hundredths.
    #[prost(uint32, tag = "3")]
    answered: u32,
    /// Weight of the failures, in hundredths.
    #[prost(uint32, tag = "4")]
    failed: u32,
}

impl From<RouteAnswers> for SentAnswers {
    fn from(RouteAnswers { upstream, route, answers }: RouteAnswers) -> Self {
        let hundredths = |weight: f64| (weight * 100.0).round() as u32;
        Self {
            upstream,
            route,
            answered: hundredths(answers.answered),
            failed: hundredths(answers.failed),
        }
    }
}

impl From<SentAnswers> for RouteAnswers {
    fn from(SentAnswers { upstream, route, answered, failed }: SentAnswers) -> Self {
        let weight = |hundredths: u32| f64::from(hundredths) / 100.0;
        let answers = Answers { answered: weight(answered), failed: weight(failed.min(answered)) };
        Self { upstream, route, answers }
    }
}

/// What the sender knows of the probes of an upstream that fails.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentProbe {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    #[prost(uint32, tag = "2")]
    number: u32,
    #[prost(uint32, tag = "3")]
    passed: u32,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

impl From<ProbeReport> for SentProbe {
    fn from(ProbeReport { upstream, number, passed, age }: ProbeReport) -> Self {
        Self { upstream, number, passed, age_ms: age.as_millis() as u64 }
    }
}

impl From<SentProbe> for ProbeReport {
    fn from(SentProbe { upstream, number, passed, age_ms }: SentProbe) -> Self {
        let (number, passed) = (number.min(MAX_COUNT), passed.min(MAX_COUNT));
        Self { upstream, number, passed, age: Duration::from_millis(age_ms) }
    }
}

/// What the sender knows of a request or a prompt part under which upstreams have crashed.
#[derive(Clone, PartialEq, Message)]
struct SentSuspect {
    #[prost(fixed64, tag = "1")]
    suspect: u64,
    #[prost(uint32, tag = "2")]
    ruling: u32,
    #[prost(uint32, tag = "3")]
    trials: u32,
    /// Age of the ruling.
    #[prost(uint64, tag = "4")]
    ruled_ms: u64,
    #[prost(message, repeated, tag = "5")]
    crashes: Vec<SentCrash>,
    /// Age of the last sound run.
    #[prost(uint64, optional, tag = "6")]
    sound_ms: Option<u64>,
    /// Time since the sender's last refusal.
    #[prost(uint64, optional, tag = "7")]
    claim_ms: Option<u64>,
    /// Age of the last trial.
    #[prost(uint64, optional, tag = "8")]
    trial_ms: Option<u64>,
    /// Trials under which an upstream crashed.
    #[prost(uint32, tag = "9")]
    failed: u32,
}

/// A crash of an upstream.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentCrash {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// True if a run with the suspect had hardly begun to write.
    #[prost(bool, tag = "3")]
    early: bool,
}

impl From<SuspectReport> for SentSuspect {
    fn from(report: SuspectReport) -> Self {
        let SuspectReport { suspect, ruling, trial_age, crashes, sound_age, claim_age } = report;
        let (ruling, ruling_age) = ruling;
        let crashes = crashes.into_iter().map(|crash| SentCrash {
            upstream: crash.upstream,
            age_ms: crash.age.as_millis() as u64,
            early: crash.is_early,
        });
        Self {
            suspect,
            ruling: ruling.number,
            trials: ruling.trials,
            failed: ruling.failed,
            ruled_ms: ruling_age.as_millis() as u64,
            crashes: crashes.collect(),
            sound_ms: sound_age.map(|age| age.as_millis() as u64),
            claim_ms: claim_age.map(|age| age.as_millis() as u64),
            trial_ms: trial_age.map(|age| age.as_millis() as u64),
        }
    }
}

impl From<SentSuspect> for SuspectReport {
    fn from(sent: SentSuspect) -> Self {
        let crashes = sent.crashes.into_iter().map(|crash| AgedCrash {
            upstream: crash.upstream,
            age: Duration::from_millis(crash.age_ms),
            is_early: crash.early,
        });
        let ruling = Ruling {
            number: sent.ruling.min(MAX_COUNT),
            trials: sent.trials.min(MAX_COUNT),
            failed: sent.failed.min(MAX_COUNT),
        };
        Self {
            suspect: sent.suspect,
            ruling: (ruling, Duration::from_millis(sent.ruled_ms)),
            crashes: crashes.collect(),
            sound_age: sent.sound_ms.map(Duration::from_millis),
            claim_age: sent.claim_ms.map(Duration::from_millis),
            trial_age: sent.trial_ms.map(Duration::from_millis),
        }
    }
}

/// An upstream that leaves.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentLeaving {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    /// Start of its incarnation, in Unix milliseconds.
    #[prost(uint64, optional, tag = "2")]
    started_ms: Option<u64>,
}

impl From<LeavingUpstream> for SentLeaving {
    fn from(LeavingUpstream { upstream, started_ms }: LeavingUpstream) -> Self {
        Self { upstream, started_ms }
    }
}

impl From<SentLeaving> for LeavingUpstream {
    fn from(SentLeaving { upstream, started_ms }: SentLeaving) -> Self {
        Self { upstream, started_ms }
    }
}

/// What an upstream stated about its limit.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentLimit {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    /// Requests per second; absent if the limit has ended.
    #[prost(double, optional, tag = "2")]
    limit: Option<f64>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

impl From<(NameHash, AgedLimit)> for SentLimit {
    fn from((upstream, AgedLimit { limit, age }): (NameHash, AgedLimit)) -> Self {
        Self { upstream, limit, age_ms: age.as_millis() as u64 }
    }
}

impl From<SentLimit> for (NameHash, AgedLimit) {
    fn from(sent: SentLimit) -> Self {
        // A value that no entry sends must not end a limit.
        let limit = sent.limit.map(|limit| if limit.is_finite() { limit.max(0.0) } else { 0.0 });
        (sent.upstream, AgedLimit { limit, age: Duration::from_millis(sent.age_ms) })
    }
}

/// What the sender found out of an upstream that may be cold.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentCold {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(uint64, tag = "3")]
    left_ms: u64,
    /// Age of the last lost connection.
    #[prost(uint64, optional, tag = "4")]
    loss_ms: Option<u64>,
    /// True if a request has succeeded since the loss.
    #[prost(bool, tag = "5")]
    back: bool,
}

impl From<(NameHash, AgedCold)> for SentCold {
    fn from((upstream, cold): (NameHash, AgedCold)) -> Self {
        Self {
            upstream,
            age_ms: cold.age.as_millis() as u64,
            left_ms: cold.time_left.as_millis() as u64,
            loss_ms: cold.loss_age.map(|age| age.as_millis() as u64),
            back: cold.is_back,
        }
    }
}

impl From<SentCold> for (NameHash, AgedCold) {
    fn from(sent: SentCold) -> Self {
        let cold = AgedCold {
            age: Duration::from_millis(sent.age_ms),
            time_left: Duration::from_millis(sent.left_ms),
            loss_age: sent.loss_ms.map(Duration::from_millis),
            is_back: sent.back,
        };
        (sent.upstream, cold)
    }
}

/// The sender's counts and decisions for one move.
#[derive(Clone, PartialEq, Message)]
struct SentMove {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    target: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(bool, tag = "4")]
    promoted: bool,
    #[prost(bool, tag = "5")]
    done: bool,
    #[prost(bool, tag = "6")]
    taken_back: bool,
    #[prost(message, repeated, tag = "7")]
    counts: Vec<RouteCounts>,
}

/// How the requests of a route ended at one version.
#[derive(Clone, Copy, PartialEq, Message)]
struct RouteCounts {
    #[prost(fixed64, tag = "1")]
    route: u64,
    #[prost(bool, tag = "2")]
    new: bool,
    #[prost(uint64, tag = "3")]
    total: u64,
    #[prost(uint64, tag = "4")]
    errors: u64,
    #[prost(uint64, tag = "5")]
    slow_first_token: u64,
    #[prost(uint64, tag = "6")]
    slow_inter_token: u64,
}

impl From<(MoveKey, MoveReport)> for SentMove {
    fn from(((service, target), report): (MoveKey, MoveReport)) -> Self {
        let counts = report.counts.into_iter().map(|(route, new, counts)| {
            let Counts { total, errors, slow_first_token, slow_inter_token } = counts;
            RouteCounts { route, new, total, errors, slow_first_token, slow_inter_token }
        });
        Self {
            service,
            target,
            age_ms: report.age.as_millis() as u64,
            promoted: report.promoted,
            done: report.ended == Some(MoveState::Done),
            taken_back: report.ended == Some(MoveState::TakenBack),
            counts: counts.collect(),
        }
    }
}

impl From<SentMove> for (MoveKey, MoveReport) {
    fn from(sent: SentMove) -> Self {
        let counts = sent.counts.into_iter().map(|sent| {
            let RouteCounts { route, new, total, errors, slow_first_token, slow_inter_token } =
                sent;
            let count = |count: u64| count.min(MAX_ANSWERS);
            let counts = Counts {
                total: count(total),
                errors: count(errors),
                slow_first_token: count(slow_first_token),
                slow_inter_token: count(slow_inter_token),
            };
            (route, new, counts)
        });
        let ended = match (sent.done, sent.taken_back) {
            (true, _) => Some(MoveState::Done),
            (_, true) => Some(MoveState::TakenBack),
            _ => None,
        };
        let age = Duration::from_millis(sent.age_ms);
        let report = MoveReport { age, promoted: sent.promoted, ended, counts: counts.collect() };
        ((sent.service, sent.target), report)
    }
}

/// Arrivals and refusals of one priority.
#[derive(Clone, Copy, PartialEq, Message)]
struct PriorityRefusals {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    tier: u32,
    #[prost(uint32, tag = "3")]
    route: u32,
    #[prost(float, tag = "4")]
    arrived: f32,
    #[prost(float, tag = "5")]
    refused: f32,
    #[prost(bool, tag = "6")]
    over_share: bool,
}

impl From<((NameHash, Priority), RefusalCounts)> for PriorityRefusals {
    fn from(((service, priority), counts): ((NameHash, Priority), RefusalCounts)) -> Self {
        Self {
            service,
            tier: priority.tier.into(),
            route: priority.route_tier.into(),
            over_share: priority.over_share,
            arrived: counts.arrived as f32,
            refused: counts.refused as f32,
        }
    }
}

impl From<PriorityRefusals> for ((NameHash, Priority), RefusalCounts) {
    fn from(sent: PriorityRefusals) -> Self {
        let tier = |value| Tier::try_from(value).unwrap_or(Tier::MAX);
        let priority = Priority {
            tier: tier(sent.tier),
            route_tier: tier(sent.route),
            over_share: sent.over_share,
        };
        let counts = RefusalCounts {
            arrived: sanitized_count(sent.arrived),
            refused: sanitized_count(sent.refused),
        };
        ((sent.service, priority), counts)
    }
}

/// Requests of one priority that occupy or want slots.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentLoad {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    tier: u32,
    #[prost(uint32, tag = "3")]
    route: u32,
    #[prost(bool, tag = "4")]
    over_share: bool,
    #[prost(uint32, tag = "5")]
    running: u32,
    #[prost(uint32, tag = "6")]
    waiting: u32,
    #[prost(float, tag = "7")]
    ended: f32,
    #[prost(float, tag = "8")]
    busy: f32,
}

impl From<((NameHash, Priority), PriorityLoad)> for SentLoad {
    fn from(((service, priority), load): ((NameHash, Priority), PriorityLoad)) -> Self {
        Self {
            service,
            tier: priority.tier.into(),
            route: priority.route_tier.into(),
            over_share: priority.over_share,
            running: load.running,
            waiting: load.waiting,
            ended: load.ended as f32,
            busy: load.busy as f32,
        }
    }
}

impl From<SentLoad> for ((NameHash, Priority), PriorityLoad) {
    fn from(sent: SentLoad) -> Self {
        let tier = |value| Tier::try_from(value).unwrap_or(Tier::MAX);
        let priority = Priority {
            tier: tier(sent.tier),
            route_tier: tier(sent.route),
            over_share: sent.over_share,
        };
        let load = PriorityLoad {
            running: sent.running.min(MAX_COUNT),
            waiting: sent.waiting.min(MAX_COUNT),
            ended: sanitized_count(sent.ended),
            busy: sanitized_count(sent.busy),
        };
        ((sent.service, priority), load)
    }
}

/// The sender's reading of a piece of shared state.
#[derive(Clone, Copy, PartialEq, Message)]
struct SentReading {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(uint64, tag = "2")]
    end: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// Absent in reports of earlier builds.
    #[prost(uint64, optional, tag = "4")]
    era: Option<u64>,
}

impl From<AgedReading> for SentReading {
    fn from(reading: AgedReading) -> Self {
        Self {
            fingerprint: reading.fingerprint,
            end: reading.end,
            age_ms: reading.age.as_millis() as u64,
            era: reading.era,
        }
    }
}

impl From<SentReading> for AgedReading {
    fn from(reading: SentReading) -> Self {
        Self {
            fingerprint: reading.fingerprint,
            era: reading.era,
            end: reading.end,
            age: Duration::from_millis(reading.age_ms),
        }
    }
}

/// Returns the report as a datagram.
pub fn encode(report: &PeerReport) -> Vec<u8> {
    let demand = report.demand.iter().map(|(service, demand)| (*service, *demand as f32));
    Datagram {
        name: report.name.clone(),
        zone: report.zone.clone(),
        incarnation: report.incarnation,
        sequence: report.sequence,
        demand: demand.collect(),
        running: report.running.clone(),
        admitted: report.admitted.clone(),
        catalog: report.catalog.map(SentReading::from),
        upstreams: report.upstreams.map(SentReading::from),
        unit_seconds: report
            .unit_seconds
            .iter()
            .map(|(upstream, seconds)| (*upstream, *seconds as f32))
            .collect(),
        limits: report.limits.iter().map(|(key, limit)| (*key, *limit).into()).collect(),
        cold: report.cold.iter().map(|(key, cold)| (*key, *cold).into()).collect(),
        leaving: report.leaving.iter().copied().map(SentLeaving::from).collect(),
        returns: report
            .returns
            .iter()
            .map(|planned| (planned.id, planned.due_in.as_millis() as u32))
            .collect(),
        requests: report.requests.iter().cloned().map(SentSuspect::from).collect(),
        parts: report.parts.iter().cloned().map(SentSuspect::from).collect(),
        answers: report.ejection.answers.iter().copied().map(SentAnswers::from).collect(),
        probes: report.ejection.probes.iter().copied().map(SentProbe::from).collect(),
        moves: report.moves.iter().map(|(key, sent)| (*key, sent.clone()).into()).collect(),
        loads: report.loads.iter().map(|(key, load)| (*key, *load).into()).collect(),
        refusals: report.refusals.iter().map(|(key, counts)| (*key, *counts).into()).collect(),
    }
    .encode_to_vec()
}

/// Returns the report in a datagram; `None` if the datagram is no report.
pub fn decode(bytes: &[u8]) -> Option<PeerReport> {
    let datagram = Datagram::decode(bytes).ok()?;
    let demand =
        datagram.demand.into_iter().map(|(service, demand)| (service, sanitized_count(demand)));
    let returns = datagram
        .returns
        .into_iter()
        .map(|(id, due_in)| PlannedReturn { id, due_in: Duration::from_millis(due_in.into()) });
    let running = datagram.running.into_iter();
    let running = running.map(|(upstream, count)| (upstream, count.min(MAX_COUNT)));
    // A value that no entry sends would make an upstream look infinitely fast or slow.
    let unit_seconds = datagram.unit_seconds.into_iter().filter_map(|(upstream, seconds)| {
        (seconds.is_finite() && seconds > 0.0).then_some((upstream, f64::from(seconds)))
    });
    Some(PeerReport {
        name: datagram.name,
        zone: datagram.zone,
        incarnation: datagram.incarnation,
        sequence: datagram.sequence,
        demand: demand.collect(),
        running: running.collect(),
        unit_seconds: unit_seconds.collect(),
        limits: datagram.limits.into_iter().map(Into::into).collect(),
        cold: datagram.cold.into_iter().map(Into::into).collect(),
        leaving: datagram.leaving.into_iter().map(LeavingUpstream::from).collect(),
        requests: datagram.requests.into_iter().map(SuspectReport::from).collect(),
        returns: returns.collect(),
        parts: datagram.parts.into_iter().map(SuspectReport::from).collect(),
        ejection: EjectionReport {
            answers: datagram.answers.into_iter().map(RouteAnswers::from).collect(),
            probes: datagram.probes.into_iter().map(ProbeReport::from).collect(),
        },
        moves: datagram.moves.into_iter().map(Into::into).collect(),
        loads: datagram.loads.into_iter().map(Into::into).collect(),
        refusals: datagram.refusals.into_iter().map(Into::into).collect(),
        admitted: datagram.admitted,
        catalog: datagram.catalog.map(AgedReading::from),
        upstreams: datagram.upstreams.map(AgedReading::from),
    })
}

/// Returns a count, or 0 for a value that no entry sends.
fn sanitized_count(value: f32) -> f64 {
    if value.is_finite() { f64::from(value.max(0.0)) } else { 0.0 }
}
