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
    claims: CallerClaims<'static>,
    selector: RouteSelector<'static>,
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
            claims: guild,
            selector: reports,
            expected: found("guild", 0, "reports"),
        },
        Case {
            name: "tier by name",
            claims: CallerClaims { tier: Some("desk"), ..guild },
            selector: reports,
            expected: found("guild", 1, "reports"),
        },
        Case {
            name: "team by key",
            claims: CallerClaims { key: Some(key), ..CallerClaims::default() },
            selector: reports,
            expected: found("mills", 1, "reports"),
        },
        Case {
            name: "the key has precedence over the name",
            claims: CallerClaims { key: Some(key), ..guild },
            selector: reports,
            expected: found("mills", 1, "reports"),
        },
        Case {
            name: "longest prefix",
            claims: guild,
            selector: RouteSelector::Path("/tags/bookings/7"),
            expected: found("guild", 0, "bookings"),
        },
        Case {
            name: "shorter prefix",
            claims: guild,
            selector: RouteSelector::Path("/tags/7"),
            expected: found("guild", 0, "tags"),
        },
        Case {
            name: "unknown key",
            claims: CallerClaims { key: Some(other), ..guild },
            selector: reports,
            expected: Err(ErrorKind::UnknownTeam),
        },
        Case {
            name: "a team with keys can't be named without one",
            claims: CallerClaims { team: Some("mills"), ..CallerClaims::default() },
            selector: reports,
            expected: Err(ErrorKind::UnknownTeam),
        },
        Case {
            name: "no claims",
            claims: CallerClaims::default(),
            selector: reports,
            expected: Err(ErrorKind::UnknownTeam),
        },
        Case {
            name: "a tier that is not the team's",
            claims: CallerClaims { key: Some(key), tier: Some("door"), ..CallerClaims::default() },
            selector: reports,
            expected: Err(ErrorKind::UnknownTier),
        },
        Case {
            name: "unknown model",
            claims: guild,
            selector: RouteSelector::Model("other"),
            expected: Err(ErrorKind::UnknownModel),
        },
        Case {
            name: "unknown path",
            claims: guild,
            selector: RouteSelector::Path("/other"),
            expected: Err(ErrorKind::UnknownRoute),
        },
    ];
    let directory = directory();
    for case in cases {
        let resolved = directory.resolve(case.claims, case.selector);
        match (resolved, case.expected) {
            (Ok(resolved), Ok(expected)) => {
                let found = (resolved.team.as_str(), resolved.tier, resolved.route.as_str());
                assert_eq!(found, (expected.team, expected.tier, expected.route), "{}", case.name);
            }
            (Err(error), Err(kind)) => assert_eq!(error.kind, kind, "{}", case.name),
            (resolved, expected) => panic!("{}: {resolved:?}, expected {expected:?}", case.name),
        }
    }
}

#[test]
fn a_version_brought_into_service_by_a_move_has_precedence_over_the_declared_one() {
    let directory = directory();
    let guild = CallerClaims { team: Some("guild"), ..CallerClaims::default() };
    let moved = directory.resolve(guild, RouteSelector::Model("reports")).expect("resolved");
    let declared = directory.resolve(guild, RouteSelector::Path("/tags/1")).expect("resolved");
    assert_eq!((moved.version.as_str(), declared.version.as_str()), ("v2", "v1"));
    assert!(declared.once && !moved.once);
}
