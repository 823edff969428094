//! Declared items and burn rows round-trip through protobuf messages.

use std::fs;
use std::path::Path;

use assert_matches::assert_matches;
use egretgate_core::ErrorKind;
use egretgate_core::burn::{Count, Row, WINDOWS};
use egretgate_core::check::parse;
use egretgate_core::declaration::Declarations;
use egretgate_core::diff::{Item, diff};
use egretgate_operator::proto;
use egretgate_operator::proto::item::Spec;

#[test]
fn items_of_both_examples_round_trip() {
    for name in ["recife", "ulaanbaatar"] {
        let path =
            Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../examples/{name}.toml"));
        let mut declared = parse(&fs::read_to_string(path).expect(name)).expect(name);
        // Values other than the defaults, so that a field dropped by the conversion is noticed.
        for route in declared.routes.values_mut().filter(|route| route.once) {
            route.outage = egretgate_core::declaration::Outage::Memory;
        }
        for service in declared.services.values_mut() {
            service.fencing = egretgate_core::declaration::Fencing::Checked;
        }
        let changes = diff(&Declarations::default(), &declared);
        assert_eq!(changes.len(), 16, "{name}");
        for item in changes.into_iter().filter_map(|change| change.after) {
            let message = proto::Item::new("name", 3, item.clone());
            assert_eq!(message.to_item(), Ok(item));
        }
    }
}

struct Case {
    name: &'static str,
    spec: Option<Spec>,
}

#[test]
fn values_outside_the_schema_are_refused() {
    let tier = proto::Tier { rank: 256, ..Default::default() };
    let service = proto::Service { upstreams: 1, fencing: 9, ..Default::default() };
    let route = proto::Route { outage: 9, ..Default::default() };
    let cases = [
        Case { name: "rank", spec: Some(Spec::Tier(tier)) },
        Case { name: "no kind", spec: Some(Spec::Service(proto::Service::default())) },
        Case { name: "fencing", spec: Some(Spec::Service(service)) },
        Case { name: "outage", spec: Some(Spec::Route(route)) },
        Case { name: "nothing", spec: None },
    ];
    for case in cases {
        let item = proto::Item { name: "x".into(), revision: 0, spec: case.spec };
        let error = assert_matches!(item.to_item(), Err(error) => error);
        assert_eq!(error.kind, ErrorKind::InvalidDeclaration, "{}", case.name);
    }
    let refused = Item::try_from(Spec::Service(proto::Service::default()));
    assert!(refused.is_err());
}

#[test]
fn burn_rows_round_trip_and_other_windows_are_refused() {
    let counts = std::array::from_fn(|index| Count { good: index as u64, bad: 9 });
    let row = Row { tier: "door".into(), team: "rounds".into(), objective: 0.99, counts };
    let message = proto::BurnRow::from(row.clone());
    assert_eq!(message.counts.len(), WINDOWS.len());
    assert_eq!(Row::try_from(message.clone()), Ok(row));
    let mut other = message;
    other.counts.pop();
    assert!(Row::try_from(other).is_err());
}
