//! Resolution of requests to a team, tier, route and version.

use egretgate_core::ErrorKind;
use egretgate_core::check;
use egretgate_core::directory::{CallerClaims, Directory, RouteSelector};

const DECLARATIONS: &str = r#"
[tiers.door]
rank = 0
[tiers.desk]
rank = 1

[teams.guild]
tier = "door"
tiers = ["door", "desk"]
[teams.mills]
tier = "desk"
keys = ["__KEY__"]

[services.writers]
kind = "engine"
version = "v1"
[services.ledger]
kind = "plain"
version = "v1"

[routes.reports]
service = "writers"
model = "reports"
[routes.tags]
service = "ledger"
path = "/tags/"
once = true
[routes.bookings]
service = "ledger"
path = "/tags/bookings/"
"#;

struct Case {
    name: &'static str,
    claimed: CallerClaims<'static>,
    address: RouteSelector<'static>,
    expected: Result<Expected, ErrorKind>,
}

#[derive(Debug, PartialEq, Eq)]
struct Expected {
    team: &'static str,
    tier: u8,
    route: &'static str,
}

fn hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

fn directory() -> Directory {
    let text = DECLARATIONS.replace("__KEY__", &hash("mill key"));
    Directory::new(check::parse(&text).expect("valid"), [("reports".into(), "v2".into())].into())
}

#[test]
fn callers_are_resolved_or_refused_by_kind() {
    let key: &'static str = hash("mill key").leak();
    let other: &'static str = hash("other key").leak();
    let guild = CallerClaims { team: Some("guild"), ..CallerClaims::default() };
    let reports = RouteSelector::Model("reports");
    let found = |team, tier, route| Ok(Expected { team, tier, route });
    let cases = [
        Case {
            name: "team by name",
            claimed: guild,
            address: reports,
            expected: found("guild", 0, "reports"),
        },
        Case {
            name: "tier by name",
            claimed: CallerClaims { tier: Some("desk"), ..guild },
            address: reports,
            expected: found("guild", 1, "reports"),
        },
        Case {
            name: "team by key",
            claimed: CallerClaims { key: Some(key), ..CallerClaims::default() },
            address: reports,
            expected: found("mills", 1, "reports"),
        },
        Case {
            name: "the key goes before the name",
            claimed: CallerClaims { key: Some(key), ..guild },
            address: reports,
            expected: found("mills", 1, "reports"),
        },
        Case {
            name: "longest prefix",
            claimed: guild,
            address: RouteSelector::Path("/tags/bookings/7"),
            expected: found("guild", 0, "bookings"),
        },
        Case {
            name: "shorter prefix",
            claimed: guild,
            address: RouteSelector::Path("/tags/7"),
            expected: found("guild", 0, "tags"),
        },
        Case {
            name: "unknown key",
            claimed: CallerClaims { key: Some(other), ..guild },
            address: reports,
            expected: Err(ErrorKind::UnknownTeam),
        },
        Case {
            name: "a team with keys can't be named without one",
            claimed: CallerClaims { team: Some("mills"), ..CallerClaims::default() },
            address: reports,
            expected: Err(ErrorKind::UnknownTeam),
        },
        Case {
            name: "nobody",
            claimed: CallerClaims::default(),
            address: reports,
            expected: Err(ErrorKind::UnknownTeam),
        },
        Case {
            name: "a tier that is not the team's",
            claimed: CallerClaims { key: Some(key), tier: Some("door"), ..CallerClaims::default() },
            address: reports,
            expected: Err(ErrorKind::UnknownTier),
        },
        Case {
            name: "unknown model",
            claimed: guild,
            address: RouteSelector::Model("other"),
            expected: Err(ErrorKind::UnknownModel),
        },
        Case {
            name: "unknown path",
            claimed: guild,
            address: RouteSelector::Path("/other"),
            expected: Err(ErrorKind::UnknownRoute),
        },
    ];
    let directory = directory();
    for case in cases {
        let plan = directory.resolve(case.claimed, case.address);
        match (plan, case.expected) {
            (Ok(plan), Ok(expected)) => {
                let found = (plan.team.as_str(), plan.tier, plan.route.as_str());
                assert_eq!(found, (expected.team, expected.tier, expected.route), "{}", case.name);
            }
            (Err(error), Err(kind)) => assert_eq!(error.kind, kind, "{}", case.name),
            (plan, expected) => panic!("{}: {plan:?}, expected {expected:?}", case.name),
        }
    }
}

#[test]
fn a_version_that_a_move_brought_into_service_goes_before_the_declared_one() {
    let directory = directory();
    let guild = CallerClaims { team: Some("guild"), ..CallerClaims::default() };
    let moved = directory.resolve(guild, RouteSelector::Model("reports")).expect("resolved");
    let declared = directory.resolve(guild, RouteSelector::Path("/tags/1")).expect("resolved");
    assert_eq!((moved.version.as_str(), declared.version.as_str()), ("v2", "v1"));
    assert!(declared.once && !moved.once);
}
