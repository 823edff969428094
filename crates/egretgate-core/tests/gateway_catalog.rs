//! Routing by host and longest prefix, and keys of teams.

use egretgate_core::gateway::catalog::{Catalog, KeyFault, Route, RouteKind, Team, TokenLimit};
use egretgate_core::gateway::regions::Regions;

fn team(name: &str) -> Team {
    Team { name: name.to_owned(), tier: None, limit: None, default_cost: 1, regions: Regions::ANY }
}

fn catalog() -> Catalog {
    let route = |name, host, prefix| Route::new(name, host, prefix, RouteKind::Safe).to("s", 1);
    let mut open = route("open", "a.example", "/open/");
    open.anonymous = true;
    Catalog::new(1)
        .with_routes(vec![
            route("root", "a.example", "/"),
            route("notes", "a.example", "/notes/"),
            route("deep", "a.example", "/notes/deep/"),
            route("other", "b.example", "/notes/"),
            open,
        ])
        .with_team(team("atelier"), vec!["k1".to_owned(), "k2".to_owned()])
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let cases = [
        Case { host: "a.example", path: "/notes/deep/3", route: Some("deep") },
        Case { host: "a.example", path: "/notes/deeper", route: Some("notes") },
        Case { host: "a.example", path: "/notes", route: Some("root") },
        Case { host: "A.Example:8080", path: "/notes/1", route: Some("notes") },
        Case { host: "b.example", path: "/notes/1", route: Some("other") },
        Case { host: "b.example", path: "/", route: None },
        Case { host: "c.example", path: "/notes/1", route: None },
    ];
    let catalog = catalog();
    for case in cases {
        let found = catalog.route(case.host, case.path).map(|route| route.name.as_str());
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

#[test]
fn keys_identify_teams() {
    struct Case {
        path: &'static str,
        key: Option<&'static str>,
        team: Result<Option<&'static str>, KeyFault>,
    }
    let cases = [
        Case { path: "/notes/", key: Some("k2"), team: Ok(Some("atelier")) },
        Case { path: "/notes/", key: Some("k3"), team: Err(KeyFault::Unknown) },
        Case { path: "/notes/", key: None, team: Err(KeyFault::Missing) },
        Case { path: "/open/", key: None, team: Ok(None) },
        Case { path: "/open/", key: Some("k1"), team: Ok(Some("atelier")) },
        Case { path: "/open/", key: Some("k3"), team: Ok(None) },
    ];
    let catalog = catalog();
    for case in cases {
        let route = catalog.route("a.example", case.path).unwrap();
        let team = catalog.team(route, case.key).map(|team| team.map(|team| team.name.as_str()));
        assert_eq!(team, case.team, "{} {:?}", case.path, case.key);
    }
}

#[test]
fn services_share_a_route_by_weight() {
    struct Case {
        point: f64,
        service: &'static str,
    }
    let route = Route::new("r", "h", "/", RouteKind::Safe).to("most", 90).to("few", 10);
    let cases = [
        Case { point: 0.0, service: "most" },
        Case { point: 0.899, service: "most" },
        Case { point: 0.901, service: "few" },
        Case { point: 0.999, service: "few" },
    ];
    for case in cases {
        assert_eq!(route.service(case.point).unwrap(), case.service, "{}", case.point);
    }
    assert_eq!(Route::new("r", "h", "/", RouteKind::Safe).service(0.5), None);
}

#[test]
fn a_limit_is_part_of_a_team() {
    let limit = TokenLimit { rate: 10.0, burst: 20.0 };
    let limited = Team { limit: Some(limit), ..team("mill") };
    let catalog = catalog().with_team(limited, vec!["k9".to_owned()]);
    assert_eq!(catalog.teams().last().unwrap().limit, Some(limit));
}
