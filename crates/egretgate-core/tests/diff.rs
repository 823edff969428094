//! Applying the diff of two states leads from one to the other.

use egretgate_core::check::faults;
use egretgate_core::declaration::{
    Declarations, Fencing, Outage, RouteSpec, ServiceKind, ServiceSpec, TeamSpec, TierSpec,
};
use egretgate_core::diff::{Section, apply, diff};
use proptest::collection::btree_map;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn name() -> impl Strategy<Value = String> {
    "[a-f]"
}

fn tier() -> impl Strategy<Value = TierSpec> {
    (0..8_u8, 1..100_u64).prop_map(|(rank, deadline_ms)| TierSpec {
        rank,
        objective: 0.5,
        first_token_ms: 1,
        between_tokens_ms: 1,
        deadline_ms,
    })
}

fn team() -> impl Strategy<Value = TeamSpec> {
    (name(), 1..3_u32).prop_map(|(tier, weight)| TeamSpec {
        tier,
        tiers: Vec::new(),
        keys: Vec::new(),
        weight,
        in_flight: 0,
    })
}

fn service() -> impl Strategy<Value = ServiceSpec> {
    (name(), any::<bool>()).prop_map(|(version, plain)| ServiceSpec {
        kind: if plain { ServiceKind::Plain } else { ServiceKind::Engine },
        version,
        fencing: Fencing::Ignored,
        queue: 1,
        concurrency: 1,
    })
}

fn route() -> impl Strategy<Value = RouteSpec> {
    (name(), name()).prop_map(|(service, model)| RouteSpec {
        service,
        model: Some(model),
        path: None,
        once: false,
        outage: Outage::Refuse,
        window_s: 1,
    })
}

fn declarations() -> impl Strategy<Value = Declarations> {
    let sections = (
        btree_map(name(), tier(), 0..5),
        btree_map(name(), team(), 0..5),
        btree_map(name(), service(), 0..5),
        btree_map(name(), route(), 0..5),
    );
    sections.prop_map(|(tiers, teams, services, routes)| Declarations {
        tiers,
        teams,
        services,
        routes,
    })
}

/// Declarations in which every name refers to a declared item.
fn valid() -> impl Strategy<Value = Declarations> {
    declarations().prop_map(|mut declared| {
        declared.teams.retain(|_, team| declared.tiers.contains_key(&team.tier));
        declared.routes.retain(|_, route| declared.services.contains_key(&route.service));
        declared
    })
}

/// Number of names that refer to an item that is not declared.
fn dangling(declared: &Declarations) -> usize {
    let missing =
        |message: &str| message.starts_with("no tier") || message.starts_with("no service");
    faults(declared).iter().filter(|fault| missing(&fault.message)).count()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn applied_diff_gives_the_target(from in declarations(), to in declarations()) {
        let changes = diff(&from, &to);
        let mut state = from.clone();
        apply(&mut state, &changes);
        prop_assert_eq!(&state, &to);
        prop_assert!(diff(&state, &to).is_empty());
    }

    /// The diff contains only necessary changes: each item at most once, and only if it differs.
    #[test]
    fn diff_names_each_item_once(from in declarations(), to in declarations()) {
        let changes = diff(&from, &to);
        let mut paths: Vec<_> = changes.iter().map(egretgate_core::diff::Change::path).collect();
        paths.sort();
        paths.dedup();
        prop_assert_eq!(paths.len(), changes.len());
        prop_assert!(changes.iter().all(|change| change.before != change.after));
    }

    /// In no step between two valid states does an item refer to a missing one.
    #[test]
    fn no_step_leaves_a_dangling_reference(from in valid(), to in valid()) {
        prop_assert_eq!(dangling(&from) + dangling(&to), 0);
        let mut state = from.clone();
        for change in diff(&from, &to) {
            apply(&mut state, std::slice::from_ref(&change));
            prop_assert_eq!(dangling(&state), 0);
        }
    }
}

#[test]
fn sections_have_names_that_are_read_back() {
    for section in Section::ALL {
        assert_eq!(Section::from_name(section.as_str()), Some(section));
    }
}
