//! Costs of the fold for two numbers of teams, today's and the target, and computed append rates
//! of group commit.
//!
//! `cargo bench -p egretgate-core --bench fold`

use std::hint::black_box;

use bytes::Bytes;
use divan::{AllocProfiler, Bencher};
use egretgate_core::Digest;
use egretgate_core::fold::{ConfigState, State};
use egretgate_core::intent::{MAX_GROUPS_PER_SECOND, group_interval};
use egretgate_core::record::body::{
    CallGroup, Change, Ending, Intent, Item, Kind, Outcome, RecordedAnswer, TicketId,
};
use egretgate_core::record::{Body, Record};
use egretgate_core::snapshot::split_state;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

/// Numbers of teams: today and the target.
const TEAMS: [u32; 2] = [10, 7_400];
/// Teams in one change while the state is built.
const TEAMS_PER_CHANGE: u32 = 1_000;
/// Calls in one group.
const GROUP_CALLS: u64 = 50;
/// Keys in the table while groups are applied.
const TABLE_KEYS: u64 = 100_000;
const WRITER: u64 = 1;

fn item(kind: Kind, name: &str, spec: String, base_revision: u64) -> Item {
    Item { kind: kind as i32, name: name.into(), spec, base_revision }
}

fn team(index: u32, revision: u64) -> Item {
    let key = blake3::hash(&index.to_le_bytes()).to_hex();
    let spec = format!(r#"{{"tier":"tier0","keys":["{key}"],"weight":{}}}"#, 1 + revision % 9);
    item(Kind::Team, &format!("team-{index:05}"), spec, revision)
}

fn change(sequence: u64, puts: Vec<Item>) -> Vec<u8> {
    let (operator, reason) = ("operator".into(), "weights for the season".into());
    let body = Body::Change(Change { operator, reason, puts, deletes: Vec::new() });
    Record::new(WRITER, sequence, body).to_bytes().expect("within the limits")
}

/// Returns a state with `teams` teams.
fn state_with_teams(teams: u32) -> State {
    let mut state = State::new();
    let tier =
        |rank: u32| item(Kind::Tier, &format!("tier{rank}"), format!(r#"{{"rank":{rank}}}"#), 0);
    state.apply(0, &change(1, (0..4).map(tier).collect()));
    let mut index = 0;
    while index < teams {
        let end = teams.min(index + TEAMS_PER_CHANGE);
        let puts = (index..end).map(|index| team(index, 0)).collect();
        let offset = state.next_offset();
        state.apply(offset, &change(offset + 1, puts));
        index = end;
    }
    assert_eq!(state.config().declarations().teams.len(), teams as usize);
    state
}

fn key(index: u64) -> Bytes {
    Bytes::copy_from_slice(Digest::of(&[&index.to_le_bytes()]).as_bytes())
}

/// Returns a group with intents for the keys from `first` on, and outcomes of the previous group.
fn group(sequence: u64, first: u64) -> Vec<u8> {
    let ticket = |index| Some(TicketId { entry: WRITER, sequence: index });
    let done = RecordedAnswer::new(200, "application/json", Bytes::from_static(&[b'x'; 256]));
    let outcome = |index| Outcome {
        key: key(index),
        ticket: ticket(index),
        ending: Some(Ending::Answered(done.clone())),
    };
    let intent = |index| Intent {
        key: key(index),
        body_digest: key(index),
        ticket: ticket(index),
        window_s: 86_400,
    };
    let outcomes = (first.saturating_sub(GROUP_CALLS)..first).map(outcome).collect();
    let intents = (first..first + GROUP_CALLS).map(intent).collect();
    let body = Body::CallGroup(CallGroup { outcomes, intents });
    Record::new(WRITER, sequence, body).to_bytes().expect("within the limits")
}

fn state_with_keys() -> State {
    let mut state = State::new();
    for first in (0..TABLE_KEYS).step_by(GROUP_CALLS as usize) {
        let offset = state.next_offset();
        state.apply(offset, &group(offset + 1, first));
    }
    state
}

/// A change of one team, as each entry and side process applies it.
#[divan::bench(args = TEAMS)]
fn apply_change(bencher: Bencher<'_, '_>, teams: u32) {
    let mut state = state_with_teams(teams);
    let mut sequence = state.next_offset();
    let mut revision = 0;
    bencher
        .with_inputs(|| {
            sequence += 1;
            revision += 1;
            change(sequence, vec![team(0, revision)])
        })
        .bench_local_values(|bytes| {
            let offset = state.next_offset();
            state.apply(offset, &bytes)
        });
    assert!(state.config().actions().all(|action| action.refusal.is_none()));
}

/// A group of 50 intents and 50 outcomes, with 100,000 keys in the table.
#[divan::bench]
fn apply_group(bencher: Bencher<'_, '_>) {
    let mut state = state_with_keys();
    let mut first = TABLE_KEYS;
    let mut sequence = state.next_offset();
    bencher
        .with_inputs(|| {
            sequence += 1;
            first += GROUP_CALLS;
            group(sequence, first - GROUP_CALLS)
        })
        .bench_local_values(|bytes| {
            let offset = state.next_offset();
            state.apply(offset, &bytes)
        });
}

/// "max alloc" is the heap that an entry needs for 100,000 keys with answers of 256 bytes.
#[divan::bench]
fn decode_keys(bencher: Bencher<'_, '_>) {
    let bytes = state_with_keys().encode();
    bencher.bench_local(|| State::decode(black_box(&bytes)).expect("encoded above"));
}

#[divan::bench(args = TEAMS)]
fn encode_shared(bencher: Bencher<'_, '_>, teams: u32) {
    let state = state_with_teams(teams);
    bencher.bench_local(|| state.config().encode());
}

/// "max alloc" is the heap that a process needs for the configuration state.
#[divan::bench(args = TEAMS)]
fn decode_shared(bencher: Bencher<'_, '_>, teams: u32) {
    let bytes = state_with_teams(teams).config().encode();
    bencher.bench_local(|| ConfigState::decode(black_box(&bytes)).expect("encoded above"));
}

#[divan::bench(args = TEAMS)]
fn split_snapshot(bencher: Bencher<'_, '_>, teams: u32) {
    let state = state_with_teams(teams);
    bencher.bench_local(|| split_state(&state, 1));
}

/// The copy of the declarations that an entry makes for its readers after a change.
#[divan::bench(args = TEAMS)]
fn clone_declarations(bencher: Bencher<'_, '_>, teams: u32) {
    let state = state_with_teams(teams);
    bencher.bench_local(|| state.config().declarations().clone());
}

fn print_sizes() {
    for teams in TEAMS {
        let state = state_with_teams(teams);
        let chunks = split_state(&state, 1).expect("within the limits").len();
        let bytes = state.config().encode().len();
        let one = change(1, vec![team(0, 0)]).len();
        println!("{teams} teams: state {bytes} bytes, {chunks} chunks; one change {one} bytes");
    }
    println!("100 intents and outcomes: {} bytes", group(1, GROUP_CALLS).len());
}

fn print_appends() {
    for (name, entries) in [("today, Recife", 3), ("today, Ulaanbaatar", 4), ("target", 38)] {
        let interval = group_interval(entries);
        let appends = f64::from(entries) / interval.as_secs_f64();
        println!("{name}: {entries} entries every {interval:?}: at most {appends:.0} appends/s");
    }
    for entries in [95, 630] {
        let interval = group_interval(entries);
        println!("{entries} committers share {MAX_GROUPS_PER_SECOND} appends/s at {interval:?}");
    }
}

fn main() {
    print_sizes();
    print_appends();
    divan::main();
}
