//! Records: limits before the append, the export and its verification, and the outbox.

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use bytes::Bytes;
use egretgate_core::ErrorKind;
use egretgate_core::fold::State;
use egretgate_core::record::body::{
    CallGroup, Change, Claim, Ending, Item, MoveBegin, Outcome, RecordedAnswer, Renew,
};
use egretgate_core::record::chain::{self, ChainFault, ExportedRecord};
use egretgate_core::record::outbox::Outbox;
use egretgate_core::record::{Body, MAX_OUTCOME_BYTES, MAX_RECORD_BYTES, Record, decode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn change(reason: &str, spec: String) -> Body {
    let item = Item { kind: 1, name: "a".into(), spec, base_revision: 0 };
    let (operator, reason) = ("ana".into(), reason.into());
    Body::Change(Change { operator, reason, puts: vec![item], deletes: vec![] })
}

fn tier() -> Body {
    change("test", r#"{"rank":0}"#.into())
}

#[test]
fn limits_hold_before_the_append() {
    struct Case {
        name: &'static str,
        body: Body,
        refused: Option<ErrorKind>,
    }
    let begin = |steps: &[u32]| {
        let (operator, reason, route) = ("ana".into(), "test".into(), "chat".into());
        let (from, to, steps) = ("v1".into(), "v2".into(), steps.to_vec());
        let begin = MoveBegin { operator, reason, route, from, to, steps, ..Default::default() };
        Body::MoveBegin(begin)
    };
    let claim = |name: &str| Body::Claim(Claim { name: name.into(), ..Claim::default() });
    let outcome = |bytes: usize| {
        let body = Some(Bytes::from(vec![0; bytes]));
        let ending = Some(Ending::Answered(RecordedAnswer { body, ..RecordedAnswer::default() }));
        let outcomes = vec![Outcome { ending, ..Outcome::default() }];
        Body::CallGroup(CallGroup { outcomes, intents: vec![] })
    };
    let (invalid, large) = (Some(ErrorKind::InvalidDeclaration), Some(ErrorKind::TooLarge));
    let cases = [
        Case { name: "valid", body: tier(), refused: None },
        Case { name: "no reason", body: change(" ", String::new()), refused: invalid },
        Case {
            name: "long reason",
            body: change(&"x".repeat(5_000), String::new()),
            refused: large,
        },
        Case {
            name: "oversized declaration",
            body: change("test", "x".repeat(MAX_RECORD_BYTES)),
            refused: large,
        },
        Case { name: "lease without a name", body: claim(""), refused: invalid },
        Case { name: "long name", body: claim(&"x".repeat(300)), refused: large },
        Case { name: "no steps", body: begin(&[]), refused: invalid },
        Case { name: "repeated step", body: begin(&[5, 5]), refused: None },
        Case { name: "falling steps", body: begin(&[2, 1]), refused: invalid },
        Case { name: "over the full share", body: begin(&[1_000_001]), refused: invalid },
        Case { name: "rising steps", body: begin(&[1, 1_000_000]), refused: None },
        Case { name: "answer", body: outcome(MAX_OUTCOME_BYTES), refused: None },
        Case { name: "long answer", body: outcome(MAX_OUTCOME_BYTES + 1), refused: large },
    ];
    for Case { name, body, refused } in cases {
        let result = Record::new(1, 1, body).to_bytes();
        assert_eq!(result.err().map(|error| error.kind), refused, "{name}");
    }
}

#[test]
fn a_long_answer_is_recorded_by_digest() {
    let long = RecordedAnswer::new(200, "text/plain", vec![7; MAX_OUTCOME_BYTES + 1].into());
    assert_eq!(long.body, None);
    assert_eq!(long.digest.len(), 16);
}

fn exported() -> Vec<ExportedRecord> {
    let renew = Body::Renew(Renew { name: "keeper".into(), holder: 1, expected_offset: 0 });
    let bodies = [tier(), Body::CallGroup(CallGroup::default()), renew, tier(), tier()];
    let records = bodies
        .into_iter()
        .zip(1..)
        .map(|(body, sequence)| Record::new(1, sequence, body).to_bytes().unwrap());
    let records = records.collect::<Vec<_>>();
    let mut state = State::new();
    for (offset, bytes) in records.iter().enumerate() {
        state.apply(offset as u64, bytes);
    }
    let numbered = records.iter().enumerate();
    let records = chain::export(
        chain::START_DIGEST,
        numbered.map(|(at, bytes)| (at as u64, bytes.as_slice())),
    );
    let end = chain::verify(chain::START_DIGEST, &records, Some(*state.config().digest()));
    assert_eq!(end, Ok(*state.config().digest()));
    records
}

#[test]
fn verification_detects_each_tampering() {
    struct Case {
        name: &'static str,
        tamper: fn(&mut Vec<ExportedRecord>),
        offset: u64,
        fault: ChainFault,
    }
    let cases = [
        Case {
            name: "changed bytes",
            tamper: |records| records[1].data = records[2].data.clone(),
            offset: 2,
            fault: ChainFault::Changed,
        },
        Case {
            name: "changed operator",
            tamper: |records| records[0].operator = "bo".into(),
            offset: 0,
            fault: ChainFault::Changed,
        },
        Case {
            name: "changed reason",
            tamper: |records| records[3].reason = "other".into(),
            offset: 4,
            fault: ChainFault::Changed,
        },
        Case {
            name: "changed offset",
            tamper: |records| records[3].offset = 5,
            offset: 5,
            fault: ChainFault::Changed,
        },
        Case {
            name: "missing first",
            tamper: |records| drop(records.remove(0)),
            offset: 2,
            fault: ChainFault::Missing,
        },
        Case {
            name: "missing middle",
            tamper: |records| drop(records.remove(2)),
            offset: 4,
            fault: ChainFault::Missing,
        },
        Case {
            name: "missing last",
            tamper: |records| drop(records.pop()),
            offset: 3,
            fault: ChainFault::Short,
        },
        Case {
            name: "reordered",
            tamper: |records| records.swap(1, 2),
            offset: 3,
            fault: ChainFault::Missing,
        },
    ];
    let whole = exported();
    let end = blake3::Hash::from_hex(&whole[3].digest).unwrap();
    for Case { name, tamper, offset, fault } in cases {
        let mut records = whole.clone();
        tamper(&mut records);
        let error = chain::verify(chain::START_DIGEST, &records, Some(end)).unwrap_err();
        assert_eq!((error.offset, error.fault), (offset, fault), "{name}");
    }
    let json = serde_json::to_string(&whole).unwrap();
    assert_eq!(serde_json::from_str::<Vec<ExportedRecord>>(&json).unwrap(), whole);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_skipped(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut state = State::new();
        let applied = state.apply(0, &bytes);
        prop_assert_eq!(state.next_offset(), 1);
        prop_assert_eq!(applied.id.is_some(), decode(&bytes).is_ok());
    }

    /// Each append reaches the log or not, its answer may be lost, and copies may reach the log at
    /// any later time.
    #[test]
    fn records_count_once_and_in_order(outcomes in prop::collection::vec(0..6u8, 1..80)) {
        let mut outbox = Outbox::new(1);
        let (mut log, mut late) = (Vec::new(), Vec::new());
        let mut next = None;
        for outcome in outcomes {
            if outbox.is_idle() {
                let claim = Claim { name: "a".into(), holder: 1, ..Claim::default() };
                outbox.push(Body::Claim(claim)).unwrap();
                next = outbox.pop();
            }
            if let Some(append) = next.take() {
                if outcome < 4 {
                    log.push(append.data.clone());
                }
                if outcome > 2 {
                    outbox.mark_answer_lost(append.sequence);
                    late.push(append);
                }
            }
            if outcome == 5 && let Some(append) = late.pop() {
                log.push(append.data);
            }
            let mut landed = log.iter().filter_map(|bytes| decode(bytes).ok());
            let found = landed.find(|record| Some(record.sequence) == outbox.in_flight());
            match found {
                Some(record) => prop_assert!(outbox.confirm(1, record.sequence)),
                None => next = outbox.retry_append(),
            }
        }
        let mut state = State::new();
        let sequences = log.iter().enumerate().filter_map(|(offset, bytes)| {
            let applied = state.apply(offset as u64, bytes);
            let counted = applied.effect != egretgate_core::fold::FoldEffect::Duplicate;
            applied.id.filter(|_| counted).map(|id| id.sequence)
        });
        let counted = sequences.collect::<Vec<_>>();
        prop_assert!(counted.is_sorted());
        prop_assert_eq!(counted.len(), counted.iter().collect::<BTreeSet<_>>().len());
        let sent = outbox.in_flight().map_or(counted.len() as u64, |sequence| sequence - 1);
        prop_assert!(counted.len() as u64 >= sent, "a record is missing");
    }
}

#[test]
fn only_a_record_that_was_never_sent_is_cancelled() {
    let mut outbox = Outbox::new(1);
    outbox.push(tier()).unwrap();
    let waiting = outbox.push(tier()).unwrap();
    let sent = outbox.pop().unwrap().sequence;
    assert_eq!(outbox.pop(), None, "two appends in flight");
    assert!(!outbox.cancel(sent) && outbox.cancel(waiting));
    assert!(!outbox.confirm(2, sent) && outbox.confirm(1, sent));
    assert_matches!(outbox.pop(), None);
}
