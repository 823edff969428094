//! Faults of declarations: each is found, and reported with its line and field.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use egretgate_core::check::{Fault, MAX_FILE_BYTES, faults, item_faults, parse};
use egretgate_core::declaration::{
    Declarations, Fencing, Outage, RouteSpec, ServiceKind, ServiceSpec, TeamSpec, TierSpec,
};
use egretgate_core::diff::{Section, diff};
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A valid file; each case changes one part of it.
const BASE: &str = "\
[tiers.door]
rank = 0
[services.writers]
kind = \"engine\"
version = \"v1\"
[services.ledger]
kind = \"plain\"
version = \"v1\"
[teams.rounds]
tier = \"door\"
[routes.reports]
service = \"writers\"
model = \"reports\"
[routes.tags]
service = \"ledger\"
path = \"/tags/\"
once = true
";

struct Case {
    name: &'static str,
    /// Text of [`BASE`] to replace.
    from: &'static str,
    to: &'static str,
    line: usize,
    field: &'static str,
    /// Part of the message.
    message: &'static str,
}

const CASES: [Case; 25] = [
    Case {
        name: "missing tier",
        from: "tier = \"door\"",
        to: "tier = \"urgent\"",
        line: 10,
        field: "teams.rounds.tier",
        message: "no tier `urgent`",
    },
    Case {
        name: "unknown field",
        from: "rank = 0",
        to: "rank = 0\nrnak = 1",
        line: 3,
        field: "tiers.door.rnak",
        message: "unknown field `rnak`",
    },
    Case {
        name: "wrong type",
        from: "rank = 0",
        to: "rank = \"first\"",
        line: 2,
        field: "tiers.door.rank",
        message: "invalid type: string",
    },
    Case {
        name: "number out of its type",
        from: "rank = 0",
        to: "rank = 256",
        line: 2,
        field: "tiers.door.rank",
        message: "256",
    },
    Case {
        name: "missing field",
        from: "service = \"writers\"\n",
        to: "",
        line: 11,
        field: "routes.reports",
        message: "missing field `service`",
    },
    Case {
        name: "unknown section",
        from: "[tiers.door]",
        to: "[regions.north]\n[tiers.door]",
        line: 1,
        field: "regions",
        message: "unknown section",
    },
    Case {
        name: "section of another type",
        from: "[tiers.door]\nrank = 0",
        to: "tiers = 3",
        line: 1,
        field: "tiers",
        message: "expected tables",
    },
    Case {
        name: "malformed file",
        from: "rank = 0",
        to: "rank = ",
        line: 2,
        field: "file",
        message: "",
    },
    Case {
        name: "item declared twice",
        from: "[teams.rounds]",
        to: "[tiers.door]\n[teams.rounds]",
        line: 9,
        field: "file",
        message: "duplicate key",
    },
    Case {
        name: "duplicate rank",
        from: "rank = 0",
        to: "rank = 0\n[tiers.early]\nrank = 0",
        line: 4,
        field: "tiers.early.rank",
        message: "taken by tier `door`",
    },
    Case {
        name: "rank too high",
        from: "rank = 0",
        to: "rank = 8",
        line: 2,
        field: "tiers.door.rank",
        message: "not below 8",
    },
    Case {
        name: "objective of one",
        from: "rank = 0",
        to: "rank = 0\nobjective = 1.0",
        line: 3,
        field: "tiers.door.objective",
        message: "between 0 and 1",
    },
    Case {
        name: "objective that is not a number",
        from: "rank = 0",
        to: "rank = 0\nobjective = nan",
        line: 3,
        field: "tiers.door.objective",
        message: "between 0 and 1",
    },
    Case {
        name: "no time",
        from: "rank = 0",
        to: "rank = 0\ndeadline_ms = 0",
        line: 3,
        field: "tiers.door.deadline_ms",
        message: "0 is not in 1..=",
    },
    Case {
        name: "tier named twice in a team's list",
        from: "tier = \"door\"",
        to: "tier = \"door\"\ntiers = [\"door\", \"door\"]",
        line: 11,
        field: "teams.rounds.tiers",
        message: "named twice",
    },
    Case {
        name: "key that is not a hash",
        from: "tier = \"door\"",
        to: "tier = \"door\"\nkeys = [\"secret\"]",
        line: 11,
        field: "teams.rounds.keys",
        message: "BLAKE3",
    },
    Case {
        name: "key of two teams",
        from: "tier = \"door\"",
        to: "tier = \"door\"\nkeys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]\n\
             [teams.second]\ntier = \"door\"\nkeys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]",
        line: 14,
        field: "teams.second.keys",
        message: "also a key of team `rounds`",
    },
    Case {
        name: "name with a space",
        from: "[teams.rounds]",
        to: "[teams.\"two rounds\"]",
        line: 9,
        field: "teams.two rounds",
        message: "a name holds only",
    },
    Case {
        name: "missing service",
        from: "service = \"ledger\"",
        to: "service = \"legder\"",
        line: 15,
        field: "routes.tags.service",
        message: "no service `legder`",
    },
    Case {
        name: "model and path",
        from: "path = \"/tags/\"",
        to: "path = \"/tags/\"\nmodel = \"tags\"",
        line: 16,
        field: "routes.tags.path",
        message: "not both",
    },
    Case {
        name: "neither model nor path",
        from: "model = \"reports\"\n",
        to: "",
        line: 11,
        field: "routes.reports.model",
        message: "needs a model or a path",
    },
    Case {
        name: "once on engines",
        from: "model = \"reports\"",
        to: "model = \"reports\"\nonce = true",
        line: 14,
        field: "routes.reports.once",
        message: "only a route to a plain service",
    },
    Case {
        name: "model used twice",
        from: "[routes.tags]",
        to: "[routes.second]\nservice = \"writers\"\nmodel = \"reports\"\n[routes.tags]",
        line: 16,
        field: "routes.second.model",
        message: "already selects route `reports`",
    },
    Case {
        name: "path used twice",
        from: "once = true",
        to: "once = true\n[routes.zones]\nservice = \"ledger\"\npath = \"/tags/\"",
        line: 20,
        field: "routes.zones.path",
        message: "already selects route `tags`",
    },
    Case {
        name: "path that leads upwards",
        from: "path = \"/tags/\"",
        to: "path = \"/tags/../\"",
        line: 16,
        field: "routes.tags.path",
        message: "'..' segment",
    },
];

#[test]
fn base_has_no_fault() {
    assert_eq!(parse(BASE).map(|declared| faults(&declared)), Ok(Vec::new()));
}

#[test]
fn each_fault_names_line_and_field() {
    for case in CASES {
        assert!(BASE.contains(case.from), "{}", case.name);
        let found = parse(&BASE.replace(case.from, case.to)).expect_err(case.name);
        let matches = found.iter().any(|fault| {
            fault.line == Some(case.line)
                && fault.field() == case.field
                && fault.message.contains(case.message)
        });
        assert!(matches, "{}: {found:?}", case.name);
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = BASE.replace("rank = 0", "rank = 9").replace("\"/tags/\"", "\"tags\"");
    let fields: Vec<String> =
        parse(&text).expect_err("two faults").iter().map(Fault::field).collect();
    assert_eq!(fields, ["tiers.door.rank", "routes.tags.path"]);
    let text = BASE.replace("rank = 0", "rnak = 0").replace("once = true", "once = 1");
    assert_eq!(parse(&text).expect_err("two items can't be read").len(), 2);
}

#[test]
fn oversized_file_is_refused_by_size() {
    let text = "#".repeat(MAX_FILE_BYTES + 1);
    let found = parse(&text).expect_err("too large");
    assert_eq!(
        found[0].in_file("big.toml"),
        "big.toml:1: file: 4194305 bytes; a file has at most 4194304"
    );
}

#[test]
fn example_declarations_have_no_fault() {
    for name in ["recife", "ulaanbaatar"] {
        let path =
            Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../examples/{name}.toml"));
        let declared = parse(&fs::read_to_string(path).expect(name)).expect(name);
        assert_eq!(declared.teams.len(), 5, "{name}");
        assert_eq!(declared.services.len(), 2, "{name}");
        assert!(declared.routes.values().any(|route| route.once), "{name}");
    }
}

/// The target deployment has 7,400 teams and 4 tiers.
#[test]
fn declarations_of_the_target_fit_in_a_file() {
    let mut text = String::from(BASE);
    for index in 0..7_400 {
        let _ = write!(
            text,
            "[teams.team-{index}]\ntier = \"door\"\nweight = 2\nin_flight = 64\nkeys = [\"{index:064x}\"]\n"
        );
    }
    let declared: Declarations = parse(&text).expect("no fault");
    assert_eq!(declared.teams.len(), 7_401);
}

/// Declarations from few names and values, so that duplicate and missing names are common.
fn declarations() -> impl Strategy<Value = Declarations> {
    let hash = |key: u8| format!("{key:064x}");
    let tier = (0..9_u8, 0..3_u8).prop_map(|(rank, tenths)| TierSpec {
        rank,
        objective: f64::from(tenths) / 2.0,
        first_token_ms: 1,
        between_tokens_ms: 1,
        deadline_ms: u64::from(rank % 7),
    });
    let team = ("[ab]", vec(0..4_u8, 0..3)).prop_map(move |(tier, keys)| TeamSpec {
        tier,
        tiers: Vec::new(),
        keys: keys.into_iter().map(hash).collect(),
        weight: 1,
        in_flight: 0,
    });
    let service = (any::<bool>(), 0..4_u32).prop_map(|(plain, queue)| ServiceSpec {
        kind: if plain { ServiceKind::Plain } else { ServiceKind::Engine },
        version: "v1".to_owned(),
        fencing: Fencing::Ignored,
        queue,
        concurrency: 1,
    });
    let route = ("[ab]", option::of("[ab]"), option::of("/[ab]/"), any::<bool>());
    let route = route.prop_map(|(service, model, path, once)| RouteSpec {
        service,
        model,
        path,
        once,
        outage: Outage::Refuse,
        window_s: 1,
    });
    let sections = (
        btree_map("[ab]", tier, 0..3),
        btree_map("[abc]", team, 0..4),
        btree_map("[ab]", service, 0..3),
        btree_map("[abc]", route, 0..4),
    );
    sections.prop_map(|(tiers, teams, services, routes)| Declarations {
        tiers,
        teams,
        services,
        routes,
    })
}

fn items(declared: &Declarations) -> Vec<(Section, String)> {
    let changes = diff(&Declarations::default(), declared);
    changes.into_iter().map(|change| (change.section, change.name)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// A state has a fault exactly if one of its items has one, so a fold may check only the items
    /// that a change puts.
    #[test]
    fn checks_of_each_item_find_all_faults(declared in declarations()) {
        let all = faults(&declared);
        let per_item: Vec<Fault> = items(&declared)
            .iter()
            .flat_map(|(section, name)| item_faults(&declared, *section, name))
            .collect();
        prop_assert_eq!(all.is_empty(), per_item.is_empty(), "{:?} {:?}", all, per_item);
        for fault in &all {
            let at = |other: &Fault| other.path == fault.path;
            prop_assert!(per_item.iter().any(at), "{} is missing in {:?}", fault, per_item);
        }
    }
}
