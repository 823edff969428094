//! The fold: every reader of the same records has the same state, which agrees with a simple model.

use std::collections::{BTreeMap, BTreeSet};

use assert_matches::assert_matches;
use bytes::Bytes;
use egretgate_core::fold::{
    Applied, ConfigState, FoldEffect, KeyState, MAX_OPERATOR_ACTIONS, MAX_RECORDED_BYTES, State,
    StateSection, SyncStatus,
};
use egretgate_core::lease::{KEEPER_LEASE, move_lease};
use egretgate_core::record::body::{
    CallGroup, Change, Claim, Clear, Death, Delete, Ending, Intent, Item, Kind, Lift, MoveBegin,
    MoveStep, Outcome, RecordedAnswer, Release, Renew, Tick, TicketId, Verdict, ZoneAction,
    ZoneOrder,
};
use egretgate_core::record::{self, Body, Fault, MAX_OUTCOME_BYTES, MAX_RECORD_BYTES, Record};
use egretgate_core::{Digest, Error, ErrorKind, Incarnation};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const KINDS: [Kind; 4] = [Kind::Tier, Kind::Team, Kind::Service, Kind::Route];

fn spec(kind: Kind, name: &str, reference: &str) -> String {
    match kind {
        Kind::Tier => format!(r#"{{"rank":{},"objective":0.9373}}"#, name.len() - 1),
        Kind::Team => format!(r#"{{"tier":"{reference}"}}"#),
        Kind::Service => format!(r#"{{"kind":"engine","version":"{reference}"}}"#),
        _ => format!(r#"{{"service":"{reference}","model":"{name}"}}"#),
    }
}

fn put(kind: Kind, name: &str, reference: &str, base_revision: u64) -> Item {
    Item { kind: kind as i32, name: name.into(), spec: spec(kind, name, reference), base_revision }
}

fn delete(kind: Kind, name: &str, base_revision: u64) -> Delete {
    Delete { kind: kind as i32, name: name.into(), base_revision }
}

fn change(puts: Vec<Item>, deletes: Vec<Delete>) -> Body {
    Body::Change(Change { operator: "ana".into(), reason: "test".into(), puts, deletes })
}

/// A log with a state folded from it.
#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    state: State,
    sequences: BTreeMap<Incarnation, u64>,
}

impl Log {
    fn push(&mut self, writer: Incarnation, body: Body) -> Applied {
        let sequence = self.sequences.entry(writer).or_default();
        *sequence += 1;
        let record = Record::new(writer, *sequence, body);
        self.push_bytes(prost::Message::encode_to_vec(&record))
    }

    fn push_bytes(&mut self, bytes: Vec<u8>) -> Applied {
        let applied = self.state.apply(self.records.len() as u64, &bytes);
        self.records.push(bytes);
        applied
    }

    /// Returns a log that declares tier `a`, a team, a service at version `v1` and a route.
    fn declared() -> Self {
        let mut log = Self::default();
        let puts = vec![
            put(Kind::Tier, "a", "", 0),
            put(Kind::Team, "shop", "a", 0),
            put(Kind::Service, "llm", "v1", 0),
            put(Kind::Route, "chat", "llm", 0),
        ];
        assert_accepted(&log.push(1, change(puts, vec![])), StateSection::Declarations);
        log
    }

    fn claim(&mut self, writer: Incarnation, name: &str) -> Applied {
        let expected_offset = self.state.config().lease(name).map(|lease| lease.last_offset);
        let name = name.into();
        self.push(
            writer,
            Body::Claim(Claim { name, holder: writer, expected_offset, ttl_ms: 1_000 }),
        )
    }
}

fn assert_accepted(applied: &Applied, section: StateSection) {
    assert_eq!(applied.effect, FoldEffect::Accepted(section));
}

fn refusal(applied: &Applied) -> ErrorKind {
    match &applied.effect {
        FoldEffect::Refused(Error { kind, .. }) => *kind,
        other => panic!("{other:?}"),
    }
}

/// Simple model of the configuration state, which checks all items at each change.
#[derive(Default, Clone)]
struct Model {
    items: BTreeMap<(Kind, String), (String, u64)>,
    revision_floor: u64,
    leases: BTreeMap<String, (Option<Incarnation>, u64)>,
    last: BTreeMap<Incarnation, u64>,
}

impl Model {
    /// Returns whether the record is accepted; `None` if it is a duplicate or unreadable.
    fn apply(&mut self, offset: u64, bytes: &[u8]) -> Option<bool> {
        let record = record::decode(bytes).ok()?;
        let last = self.last.entry(record.writer).or_default();
        if record.sequence <= *last {
            return None;
        }
        *last = record.sequence;
        match record.body? {
            Body::Change(change) => Some(self.change(&change)),
            Body::Claim(claim) => {
                let current = self.leases.get(&claim.name).map(|(_, last)| *last);
                let matches = current == claim.expected_offset;
                Some(self.lease(matches, claim.name, Some(record.writer), offset))
            }
            Body::Renew(renew) => {
                let matches = self.leases.get(&renew.name);
                let matches = matches == Some(&(Some(record.writer), renew.expected_offset));
                Some(self.lease(matches, renew.name, Some(record.writer), offset))
            }
            Body::Release(release) => {
                let matches = self.leases.get(&release.name);
                let matches = matches == Some(&(Some(record.writer), release.expected_offset));
                Some(self.lease(matches, release.name, None, offset))
            }
            _ => None,
        }
    }

    fn lease(&mut self, matches: bool, name: String, holder: Option<Incarnation>, at: u64) -> bool {
        if matches {
            self.leases.insert(name, (holder, at));
        }
        matches
    }

    fn change(&mut self, change: &Change) -> bool {
        let mut after = self.clone();
        let mut named = BTreeSet::new();
        for delete in &change.deletes {
            let key = (delete.kind(), delete.name.clone());
            let before = after.items.remove(&key);
            let revision = before.map_or(0, |(_, revision)| revision);
            if revision == 0 || revision != delete.base_revision || !named.insert(key) {
                return false;
            }
            after.revision_floor = after.revision_floor.max(revision);
        }
        for item in &change.puts {
            let key = (item.kind(), item.name.clone());
            let revision = self.items.get(&key).map_or(0, |(_, revision)| *revision);
            if revision != item.base_revision || !named.insert(key.clone()) {
                return false;
            }
            let next = if revision == 0 { after.revision_floor + 1 } else { revision + 1 };
            after.items.insert(key, (item.spec.clone(), next));
        }
        let attributed = !change.operator.is_empty() && !change.reason.is_empty();
        let valid = attributed && after.references_resolve();
        if valid {
            *self = after;
        }
        valid
    }

    fn references_resolve(&self) -> bool {
        self.items.iter().all(|((kind, _), (spec, _))| {
            let spec: serde_json::Value = serde_json::from_str(spec).unwrap();
            let reference = |field: &str| spec[field].as_str().unwrap().to_owned();
            match kind {
                Kind::Team => self.items.contains_key(&(Kind::Tier, reference("tier"))),
                Kind::Route => self.items.contains_key(&(Kind::Service, reference("service"))),
                _ => true,
            }
        })
    }

    fn assert_agrees(&self, config: &ConfigState) {
        let all = config.declarations();
        let len = all.tiers.len() + all.teams.len() + all.services.len() + all.routes.len();
        assert_eq!(len, self.items.len());
        for ((kind, name), (_, revision)) in &self.items {
            assert_eq!(config.revision(*kind, name), *revision, "{kind:?} {name}");
        }
        for (name, (holder, last)) in &self.leases {
            let lease = config.lease(name).unwrap();
            assert_eq!((lease.holder, lease.last_offset), (*holder, *last), "{name}");
        }
    }
}

/// Draws random records as concurrent writers append them, from views that may be stale.
struct Writers {
    rng: ChaCha8Rng,
    sequences: BTreeMap<Incarnation, u64>,
}

impl Writers {
    fn name(&mut self) -> String {
        "a".repeat(self.rng.random_range(1..4))
    }

    fn record(&mut self, stale: &Model, now: &Model) -> Vec<u8> {
        let view = if self.rng.random_bool(0.2) { stale } else { now };
        let writer = self.rng.random_range(1..5);
        let body = match self.rng.random_range(0..10) {
            0..6 => self.change(view),
            6 | 7 => self.lease(view, writer),
            8 => self.death(),
            _ => Body::CallGroup(CallGroup::default()),
        };
        let sequence = self.sequences.entry(writer).or_default();
        *sequence += self.rng.random_range(1..3);
        prost::Message::encode_to_vec(&Record::new(writer, *sequence, body))
    }

    fn change(&mut self, view: &Model) -> Body {
        let mut change =
            Change { operator: "ana".into(), reason: "test".into(), ..Change::default() };
        if self.rng.random_bool(0.05) {
            change.operator.clear();
        }
        for _ in 0..self.rng.random_range(1..5) {
            let kind = KINDS[self.rng.random_range(0..KINDS.len())];
            let (name, reference) = (self.name(), self.name());
            let current = view.items.get(&(kind, name.clone())).map_or(0, |item| item.1);
            if self.rng.random_bool(0.25) {
                change.deletes.push(delete(kind, &name, current));
            } else {
                change.puts.push(put(kind, &name, &reference, current));
            }
        }
        Body::Change(change)
    }

    fn lease(&mut self, view: &Model, holder: Incarnation) -> Body {
        let name = self.name();
        let expected_offset = view.leases.get(&name).map(|lease| lease.1);
        match (self.rng.random_range(0..3), expected_offset) {
            (0, Some(expected_offset)) => Body::Renew(Renew { name, holder, expected_offset }),
            (1, Some(expected_offset)) => Body::Release(Release { name, holder, expected_offset }),
            _ => Body::Claim(Claim { name, holder, expected_offset, ttl_ms: 1_000 }),
        }
    }

    fn death(&mut self) -> Body {
        let digest = Digest::of(&[&[self.rng.random_range(0..6)]]);
        let digests = vec![Bytes::copy_from_slice(digest.as_bytes())];
        let sequence = self.rng.random_range(1..9);
        match self.rng.random_range(0..3) {
            0 => Body::Clear(Clear { digests }),
            1 => Body::Lift(Lift {
                operator: "ana".into(),
                digest: digests[0].clone(),
                reason: "test".into(),
            }),
            _ => Body::Death(Death { upstream: "u".into(), incarnation: 1, sequence, digests }),
        }
    }
}

#[test]
fn all_readers_and_a_model_agree_on_random_records() {
    let (mut accepted, mut refused, mut duplicates) = (0, 0, 0);
    for seed in 0..150 {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut writers = Writers { rng, sequences: BTreeMap::new() };
        let mut log = Log::default();
        let (mut model, mut stale) = (Model::default(), Model::default());
        let mut side = ConfigState::default();
        for step in 0..400 {
            let bytes = match writers.rng.random_range(0..20) {
                0 | 1 if !log.records.is_empty() => {
                    log.records[writers.rng.random_range(0..log.records.len())].clone()
                }
                2 => vec![writers.rng.random(); writers.rng.random_range(0..40)],
                _ => writers.record(&stale, &model),
            };
            let offset = log.records.len() as u64;
            let expected = model.apply(offset, &bytes);
            let before = *log.state.config().digest();
            let early = log.state.apply(offset + 1, &bytes);
            assert_eq!(early.effect, FoldEffect::Gap { next: offset });
            let applied = log.push_bytes(bytes.clone());
            match expected {
                Some(true) => assert_matches!(applied.effect, FoldEffect::Accepted(_)),
                Some(false) => assert_matches!(applied.effect, FoldEffect::Refused(_)),
                None => {}
            }
            accepted += u32::from(matches!(applied.effect, FoldEffect::Accepted(_)));
            refused += u32::from(matches!(applied.effect, FoldEffect::Refused(_)));
            duplicates += u32::from(applied.effect == FoldEffect::Duplicate);
            model.assert_agrees(log.state.config());
            if record::is_config(&bytes) {
                assert_eq!(side.apply_after(&before, offset, &bytes), applied);
                assert_eq!(
                    side.apply_after(&before, offset, &bytes).effect,
                    FoldEffect::AlreadyApplied
                );
            }
            assert_eq!(side.digest(), log.state.config().digest());
            match writers.rng.random_range(0..40) {
                0 => log.state = State::decode(&log.state.encode()).unwrap(),
                1 => side = ConfigState::decode(&side.encode()).unwrap(),
                2 => stale = model.clone(),
                3 => assert_eq!(side.encode(), log.state.config().encode(), "step {step}"),
                _ => {}
            }
        }
        let mut fresh = State::new();
        for (offset, bytes) in log.records.iter().enumerate() {
            fresh.apply(offset as u64, bytes);
        }
        assert_eq!(fresh.encode(), log.state.encode(), "seed {seed}");
    }
    println!("accepted {accepted}, refused {refused}, duplicates {duplicates}");
    assert!(accepted > 1_000 && refused > 1_000 && duplicates > 1_000);
}

#[test]
fn a_refused_change_changes_only_the_actions() {
    struct Case {
        name: &'static str,
        body: Body,
        kind: ErrorKind,
    }
    let unnamed = |operator: &str, reason: &str| {
        let (operator, reason) = (operator.into(), reason.into());
        let puts = vec![put(Kind::Tier, "aa", "", 0)];
        Body::Change(Change { operator, reason, puts, deletes: vec![] })
    };
    let twice = vec![put(Kind::Tier, "aa", "", 0), put(Kind::Tier, "aa", "", 0)];
    let half = vec![put(Kind::Tier, "aa", "", 0), put(Kind::Team, "b", "absent", 0)];
    let broken =
        Item { kind: Kind::Tier as i32, name: "b".into(), spec: "{".into(), base_revision: 0 };
    let long = "x".repeat(10_000);
    let invalid = ErrorKind::InvalidDeclaration;
    let cases = [
        Case { name: "no operator", body: unnamed(" ", "why"), kind: invalid },
        Case { name: "no reason", body: unnamed("ana", ""), kind: invalid },
        Case { name: "long reason", body: unnamed("ana", &long), kind: ErrorKind::TooLarge },
        Case { name: "named twice", body: change(twice, vec![]), kind: invalid },
        Case { name: "half valid", body: change(half, vec![]), kind: invalid },
        Case { name: "not JSON", body: change(vec![broken], vec![]), kind: invalid },
        Case {
            name: "old revision",
            body: change(vec![put(Kind::Tier, "a", "", 0)], vec![]),
            kind: ErrorKind::Conflict,
        },
        Case {
            name: "rank taken",
            body: change(vec![put(Kind::Tier, "b", "", 0)], vec![]),
            kind: invalid,
        },
        Case {
            name: "tier in use",
            body: change(vec![], vec![delete(Kind::Tier, "a", 1)]),
            kind: invalid,
        },
        Case {
            name: "service in use",
            body: change(vec![], vec![delete(Kind::Service, "llm", 1)]),
            kind: invalid,
        },
        Case {
            name: "delete of an absent item",
            body: change(vec![], vec![delete(Kind::Team, "b", 0)]),
            kind: invalid,
        },
    ];
    for Case { name, body, kind } in cases {
        let mut log = Log::declared();
        let before = log.state.config().declarations().clone();
        let applied = log.push(2, body);
        assert_eq!(refusal(&applied), kind, "{name}");
        let config = log.state.config();
        assert_eq!(*config.declarations(), before, "{name}");
        assert_eq!(config.revision(Kind::Tier, "aa"), 0, "{name}");
        assert_eq!(config.actions().last().unwrap().refusal, Some(kind), "{name}");
    }
}

#[test]
fn a_revision_never_names_two_states_of_an_item() {
    let mut log = Log::declared();
    log.push(1, change(vec![], vec![delete(Kind::Team, "shop", 1)]));
    log.push(1, change(vec![put(Kind::Team, "shop", "a", 0)], vec![]));
    let late = log.push(2, change(vec![put(Kind::Team, "shop", "a", 1)], vec![]));
    assert_eq!(refusal(&late), ErrorKind::Conflict);
}

#[test]
fn numbers_survive_every_encoding() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut log = Log::declared();
    for revision in 1..5_000 {
        let objective: f64 = rng.random();
        let spec = format!(r#"{{"rank":0,"objective":{objective}}}"#);
        let item =
            Item { kind: Kind::Tier as i32, name: "a".into(), spec, base_revision: revision };
        log.push(1, change(vec![item], vec![]));
        let tier = &log.state.config().declarations().tiers["a"];
        assert!(tier.objective.to_bits() == objective.to_bits(), "{objective}");
    }
}

#[test]
fn unreadable_records_never_stop_the_fold() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        fault: Fault,
        chained: bool,
    }
    let tier = change(vec![put(Kind::Tier, "aa", "", 0)], vec![]);
    let newer = Record { schema: 9, ..Record::new(7, 1, tier.clone()) };
    let empty = Record { body: None, ..Record::new(7, 1, tier.clone()) };
    let mixed = Record { class: 2, ..Record::new(7, 1, tier) };
    let bytes = |record: &Record| prost::Message::encode_to_vec(record);
    let large = MAX_RECORD_BYTES + 1;
    let cases = [
        Case {
            name: "newer",
            bytes: bytes(&newer),
            fault: Fault::Newer { schema: 9 },
            chained: true,
        },
        Case { name: "empty", bytes: bytes(&empty), fault: Fault::Corrupt, chained: true },
        Case { name: "mixed", bytes: bytes(&mixed), fault: Fault::Corrupt, chained: false },
        Case { name: "garbage", bytes: vec![255; 30], fault: Fault::Corrupt, chained: false },
        Case { name: "nothing", bytes: vec![], fault: Fault::Corrupt, chained: false },
        Case {
            name: "large",
            bytes: vec![0; large],
            fault: Fault::TooLarge { bytes: large },
            chained: false,
        },
    ];
    for Case { name, bytes, fault, chained } in cases {
        let mut log = Log::declared();
        let before = *log.state.config().digest();
        assert_eq!(log.push_bytes(bytes).effect, FoldEffect::Skipped(fault), "{name}");
        assert_eq!(*log.state.config().digest() != before, chained, "{name}");
        let next = log.push(1, change(vec![put(Kind::Tier, "aa", "", 0)], vec![]));
        assert_accepted(&next, StateSection::Declarations);
    }
}

#[test]
fn a_move_follows_the_newest_claim_and_ends_once() {
    let mut log = Log::declared();
    let begin = |from: &str, to: &str| {
        Body::MoveBegin(MoveBegin {
            operator: "ana".into(),
            reason: "new weights".into(),
            route: "chat".into(),
            from: from.into(),
            to: to.into(),
            steps: vec![10_000, 1_000_000],
            budget_ppm: 10_000,
            end_ms: 1,
            cap: 4,
            begin_ms: 0,
        })
    };
    let step = |fence, step, verdict: Verdict| {
        let (share_ppm, verdict) = (10_000, verdict as i32);
        let evidence = "errors 0 of 9".into();
        Body::MoveStep(MoveStep { route: "chat".into(), fence, step, share_ppm, verdict, evidence })
    };
    assert_eq!(refusal(&log.push(1, begin("v0", "v2"))), ErrorKind::Conflict);
    assert_accepted(&log.push(1, begin("v1", "v2")), StateSection::Moves);
    assert_eq!(refusal(&log.push(1, begin("v1", "v3"))), ErrorKind::Conflict);
    let during_move = log.push(1, change(vec![put(Kind::Service, "llm", "v9", 1)], vec![]));
    assert_eq!(refusal(&during_move), ErrorKind::Conflict);

    let old = log.claim(7, &move_lease("chat")).offset;
    assert_accepted(&log.push(7, step(old, 1, Verdict::Proceed)), StateSection::Moves);
    let new = log.claim(8, &move_lease("chat")).offset;
    assert_eq!(refusal(&log.push(7, step(old, 2, Verdict::Done))), ErrorKind::Fenced);
    assert_eq!(refusal(&log.push(7, step(new, 2, Verdict::Done))), ErrorKind::Fenced);
    assert_eq!(refusal(&log.push(8, step(new, 3, Verdict::Done))), ErrorKind::Conflict);
    assert_eq!(log.state.config().serving_version("chat").unwrap(), "v1");
    assert_accepted(&log.push(8, step(new, 2, Verdict::Done)), StateSection::Moves);
    assert_eq!(refusal(&log.push(8, step(new, 3, Verdict::TakenBack))), ErrorKind::Conflict);

    let config = ConfigState::decode(&log.state.config().encode()).unwrap();
    assert_eq!(config.serving_version("chat").unwrap(), "v2");
    assert_eq!(config.moves()["chat"].verdict, Verdict::Done);
    let action = config
        .actions()
        .find(|action| action.verdict == "done" && action.refusal.is_none())
        .unwrap();
    assert_eq!((action.operator.as_str(), action.detail.as_str()), ("ana", "errors 0 of 9"));
    log.push(1, change(vec![put(Kind::Service, "llm", "v3", 1)], vec![]));
    assert_eq!(log.state.config().serving_version("chat").unwrap(), "v3");
}

#[test]
fn an_older_keeper_does_not_advance_log_time() {
    let mut log = Log::default();
    let tick = |fence, expected_offset| Body::Tick(Tick { fence, expected_offset, elapsed_ms: 10 });
    let old = log.claim(1, KEEPER_LEASE).offset;
    let first = log.push(1, tick(old, None));
    assert_matches!(first.effect, FoldEffect::Keys(_));
    let new = log.claim(2, KEEPER_LEASE).offset;
    let late = log.push(1, tick(old, Some(first.offset)));
    assert_eq!(refusal(&late), ErrorKind::Fenced);
    assert_matches!(log.push(2, tick(new, Some(first.offset))).effect, FoldEffect::Keys(_));
    assert_eq!(log.state.keys().clock().as_millis(), 20);
}

#[test]
fn quarantine_takes_two_deaths_and_ends_by_an_operator() {
    let mut log = Log::default();
    let digest = Digest::of(&[b"poison"]);
    let digests = vec![Bytes::copy_from_slice(digest.as_bytes())];
    let death = |sequence| {
        let (upstream, digests) = ("u".into(), digests.clone());
        Body::Death(Death { upstream, incarnation: 5, sequence, digests })
    };
    log.push(1, death(1));
    log.push(2, death(1));
    assert!(log.state.config().quarantine().is_suspect(&digest), "one death, reported twice");
    log.push(1, death(2));
    log.push(1, Body::Clear(Clear { digests: digests.clone() }));
    assert!(log.state.config().quarantine().is_quarantined(&digest));
    let (operator, reason) = ("ana".into(), "fixed".into());
    log.push(1, Body::Lift(Lift { operator, digest: digests[0].clone(), reason }));
    assert_eq!(log.state.config().quarantine().quarantined().count(), 0);
}

struct ZoneCase {
    name: &'static str,
    action: ZoneAction,
    zone: &'static str,
    base_revision: u64,
    refused: Option<ErrorKind>,
    /// Drained zones afterwards, with their revisions.
    drained: &'static [(&'static str, u64)],
}

const ZONE_CASES: [ZoneCase; 9] = [
    ZoneCase {
        name: "drained",
        action: ZoneAction::Drain,
        zone: "olinda",
        base_revision: 0,
        refused: None,
        drained: &[("olinda", 1)],
    },
    ZoneCase {
        name: "the loser of a race",
        action: ZoneAction::Drain,
        zone: "olinda",
        base_revision: 0,
        refused: Some(ErrorKind::Conflict),
        drained: &[("olinda", 1)],
    },
    ZoneCase {
        name: "drained already",
        action: ZoneAction::Drain,
        zone: "olinda",
        base_revision: 1,
        refused: Some(ErrorKind::Conflict),
        drained: &[("olinda", 1)],
    },
    ZoneCase {
        name: "a second zone",
        action: ZoneAction::Drain,
        zone: "boa-viagem",
        base_revision: 0,
        refused: None,
        drained: &[("boa-viagem", 4), ("olinda", 1)],
    },
    ZoneCase {
        name: "restored on another revision",
        action: ZoneAction::Restore,
        zone: "olinda",
        base_revision: 4,
        refused: Some(ErrorKind::Conflict),
        drained: &[("boa-viagem", 4), ("olinda", 1)],
    },
    ZoneCase {
        name: "restored",
        action: ZoneAction::Restore,
        zone: "olinda",
        base_revision: 1,
        refused: None,
        drained: &[("boa-viagem", 4)],
    },
    ZoneCase {
        name: "restored though not drained",
        action: ZoneAction::Restore,
        zone: "olinda",
        base_revision: 0,
        refused: Some(ErrorKind::Conflict),
        drained: &[("boa-viagem", 4)],
    },
    ZoneCase {
        name: "drained again under a new revision",
        action: ZoneAction::Drain,
        zone: "olinda",
        base_revision: 0,
        refused: None,
        drained: &[("boa-viagem", 4), ("olinda", 8)],
    },
    ZoneCase {
        name: "without a name",
        action: ZoneAction::Drain,
        zone: " ",
        base_revision: 0,
        refused: Some(ErrorKind::InvalidDeclaration),
        drained: &[("boa-viagem", 4), ("olinda", 8)],
    },
];

#[test]
fn zones_are_drained_and_restored_by_revision() {
    let mut log = Log::default();
    for (index, case) in ZONE_CASES.iter().enumerate() {
        let order = ZoneOrder {
            operator: "ana".into(),
            reason: case.name.into(),
            zone: case.zone.into(),
            action: case.action.into(),
            base_revision: case.base_revision,
            at_ms: 7,
        };
        let applied = log.push(1 + index as u64 % 2, Body::ZoneOrder(order));
        match case.refused {
            None => assert_accepted(&applied, StateSection::Zones),
            Some(kind) => assert_eq!(refusal(&applied), kind, "{}", case.name),
        }
        let config = log.state.config();
        let copy = ConfigState::decode(&config.encode()).unwrap();
        for config in [config, &copy] {
            let drained = config.drained_zones().iter();
            let drained: Vec<_> = drained.map(|(zone, it)| (zone.as_str(), it.revision)).collect();
            assert_eq!(drained, case.drained, "{}", case.name);
        }
        let action = config.actions().last().expect("recorded");
        assert_eq!((action.operator.as_str(), action.refusal), ("ana", case.refused));
    }
}

#[test]
fn a_side_process_detects_missing_records() {
    let mut log = Log::declared();
    let mut side = ConfigState::decode(&log.state.config().encode()).unwrap();
    log.push(1, Body::CallGroup(CallGroup::default()));
    let skipped = *log.state.config().digest();
    log.push(1, change(vec![put(Kind::Tier, "aa", "", 0)], vec![]));
    let prev = *log.state.config().digest();
    log.push(1, change(vec![put(Kind::Tier, "aaa", "", 0)], vec![]));
    let (next, digest) = (log.state.config().next_offset(), *log.state.config().digest());

    assert_eq!(side.compare(next, digest.as_bytes()), SyncStatus::Behind { from: 1 });
    let gap = side.apply_after(&prev, 3, &log.records[3]);
    assert_eq!(gap.effect, FoldEffect::Gap { next: 1 });
    side.apply_after(&skipped, 2, &log.records[2]);
    assert_eq!(side.compare(1, &[]), SyncStatus::Ahead);
    side.apply_after(&prev, 3, &log.records[3]);
    assert_eq!(side.compare(next, digest.as_bytes()), SyncStatus::Same);
    assert_eq!(side.compare(next, prev.as_bytes()), SyncStatus::Diverged);
}

#[test]
fn configuration_of_a_peer_serves_until_the_fold_has_read_as_far() {
    let mut log = Log::declared();
    let mut starting = State::new();
    assert!(starting.adopt_config(ConfigState::decode(&log.state.config().encode()).unwrap()));
    assert!(!starting.adopt_config(ConfigState::default()));
    assert_eq!(starting.config().next_offset(), 1);
    log.push(1, change(vec![put(Kind::Tier, "aa", "", 0)], vec![]));
    let mut next = starting.config().next_offset();
    for (offset, bytes) in log.records.iter().enumerate() {
        starting.apply(offset as u64, bytes);
        assert!(starting.config().next_offset() >= next, "the offset decreased");
        next = starting.config().next_offset();
    }
    assert_eq!(starting.encode(), log.state.encode());

    let mut resumed = State::new();
    assert!(resumed.adopt_config(ConfigState::decode(&log.state.config().encode()).unwrap()));
    assert!(resumed.resume_from(State::decode(&Log::declared().state.encode()).unwrap()));
    assert_eq!(
        (resumed.next_offset(), resumed.config().next_offset()),
        (1, 2),
        "the offset decreased"
    );
    assert!(!resumed.resume_from(State::new()));
}

#[test]
fn recorded_answers_are_bounded_and_oldest_dropped() {
    let mut log = Log::default();
    let key = |index: u64| Digest::of(&[&index.to_le_bytes()]);
    let bytes = |index| Bytes::copy_from_slice(key(index).as_bytes());
    let done = RecordedAnswer::new(200, "text/plain", vec![7; MAX_OUTCOME_BYTES].into());
    let max_answers = (MAX_RECORDED_BYTES / MAX_OUTCOME_BYTES) as u64;
    for index in 0..max_answers + 9 {
        let ticket = Some(TicketId { entry: 1, sequence: index });
        let (key, body) = (bytes(index), bytes(index));
        let intents = vec![Intent { key: key.clone(), body_digest: body, ticket, window_s: 1 }];
        log.push(1, Body::CallGroup(CallGroup { outcomes: vec![], intents }));
        let outcomes = vec![Outcome { key, ticket, ending: Some(Ending::Answered(done.clone())) }];
        log.push(1, Body::CallGroup(CallGroup { outcomes, intents: vec![] }));
    }
    let decoded = State::decode(&log.state.encode()).unwrap();
    for index in 0..max_answers + 9 {
        let state = &decoded.keys().get(&key(index)).unwrap().state;
        let KeyState::Answered(done) = state else { panic!("{state:?}") };
        assert_eq!(done.body.is_some(), index >= 9, "{index}");
    }
    assert_eq!(decoded.encode(), log.state.encode());
}

#[test]
fn writers_are_bounded() {
    let mut log = Log::default();
    let mut sizes = Vec::new();
    for writer in 1..=60_000 {
        log.push(writer, Body::CallGroup(CallGroup::default()));
        if writer % 30_000 == 0 {
            sizes.push(log.state.encode().len());
        }
    }
    assert!(sizes[1] < sizes[0] * 11 / 10, "{sizes:?}");
    assert_eq!(log.push_bytes(log.records[59_000].clone()).effect, FoldEffect::Duplicate);
}

#[test]
fn actions_are_bounded_and_newest_last() {
    let mut log = Log::declared();
    for _ in 0..2 * MAX_OPERATOR_ACTIONS {
        log.push(1, change(vec![put(Kind::Tier, "a", "", 0)], vec![]));
    }
    let actions = log.state.config().actions();
    assert_eq!(actions.len(), MAX_OPERATOR_ACTIONS);
    assert_eq!(actions.last().unwrap().offset, 2 * MAX_OPERATOR_ACTIONS as u64);
}
