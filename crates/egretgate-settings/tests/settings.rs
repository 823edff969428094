//! Settings: flags and variables correspond to each other, and all faults are reported together.

use std::ffi::OsString;
use std::fmt::Debug;

use assert_matches::assert_matches;
use egretgate_settings::{Faults, Invocation, Result, Table, client, entry, side};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TOKEN: &str = "0123456789abcdef-token";

const ENTRY: &[&str] = &[
    "--instance",
    "entry-1",
    "--zone",
    "boa-viagem",
    "--log-address",
    "127.0.0.1:7001",
    "--instances-address",
    "127.0.0.1:7002",
];

const SIDE: &[&str] = &[
    "--instance",
    "engine-1",
    "--zone",
    "olinda",
    "--service",
    "forecast-llm",
    "--engine",
    "127.0.0.1:9000:v1",
];

fn words(words: &[&str]) -> Vec<OsString> {
    words.iter().map(OsString::from).collect()
}

fn vars(pairs: &[(&str, &str)]) -> Vec<(OsString, OsString)> {
    pairs.iter().map(|&(name, text)| (name.into(), text.into())).collect()
}

fn read_entry(extra: &[&str], pairs: &[(&str, &str)]) -> Result<Invocation<entry::Settings>> {
    entry::read(words(&[ENTRY, extra].concat()), vars(pairs))
}

fn read_side(extra: &[&str], pairs: &[(&str, &str)]) -> Result<Invocation<side::Settings>> {
    side::read(words(&[SIDE, extra].concat()), vars(pairs))
}

fn settings<T: Debug>(read: Result<Invocation<T>>) -> T {
    assert_matches!(read, Ok(Invocation::Settings(settings)) => settings)
}

fn lines<T: Debug>(read: Result<Invocation<T>>) -> Vec<String> {
    assert_matches!(read, Err(Faults(faults)) => faults.iter().map(ToString::to_string).collect())
}

struct Case {
    name: &'static str,
    flags: &'static [&'static str],
    vars: &'static [(&'static str, &'static str)],
    /// Setting and part of the message of the only fault.
    setting: &'static str,
    message: &'static str,
}

const CASES: [Case; 18] = [
    Case {
        name: "unknown flag",
        flags: &["--colour", "red"],
        vars: &[],
        setting: "--colour",
        message: "no such flag",
    },
    Case {
        name: "unknown flag with its value joined",
        flags: &["--colour=red"],
        vars: &[],
        setting: "--colour",
        message: "no such flag",
    },
    Case {
        name: "unknown short flag",
        flags: &["-x"],
        vars: &[],
        setting: "-x",
        message: "no such flag",
    },
    Case {
        name: "unknown variable",
        flags: &[],
        vars: &[("EGRETGATE_PLAEC", "olinda")],
        setting: "EGRETGATE_PLAEC",
        message: "no such variable",
    },
    Case {
        name: "value without a flag",
        flags: &["olinda"],
        vars: &[],
        setting: "arguments",
        message: "without a flag",
    },
    Case {
        name: "missing value",
        flags: &["--log-level"],
        vars: &[],
        setting: "--log-level",
        message: "a value is missing",
    },
    Case {
        name: "repeated flag",
        flags: &["--zone", "olinda"],
        vars: &[],
        setting: "--zone",
        message: "more than once",
    },
    Case {
        name: "host name",
        flags: &["--caller-address", "localhost:8080"],
        vars: &[],
        setting: "--caller-address",
        message: "host names are not resolved",
    },
    Case {
        name: "host name in a variable",
        flags: &[],
        vars: &[("EGRETGATE_ADMIN_ADDRESS", "localhost:8081")],
        setting: "EGRETGATE_ADMIN_ADDRESS",
        message: "host names are not resolved",
    },
    Case {
        name: "zero limit",
        flags: &["--caller-connections", "0"],
        vars: &[],
        setting: "--caller-connections",
        message: "0 would allow nothing",
    },
    Case {
        name: "zero time",
        flags: &["--caller-timeout", "0"],
        vars: &[],
        setting: "--caller-timeout",
        message: "0 ms would allow nothing",
    },
    Case {
        name: "negative limit",
        flags: &["--caller-body-limit=-1"],
        vars: &[],
        setting: "--caller-body-limit",
        message: "whole number",
    },
    Case {
        name: "level",
        flags: &["--log-level", "loud"],
        vars: &[],
        setting: "--log-level",
        message: "expected critical",
    },
    Case {
        name: "short token",
        flags: &["--operator-token", "short"],
        vars: &[],
        setting: "--operator-token",
        message: "at least 16",
    },
    Case {
        name: "equal addresses",
        flags: &["--admin-address", "127.0.0.1:8080"],
        vars: &[],
        setting: "--admin-address",
        message: "taken by --caller-address",
    },
    Case {
        name: "address within any",
        flags: &["--caller-address", "0.0.0.0:8081"],
        vars: &[],
        setting: "--admin-address",
        message: "taken by --caller-address",
    },
    Case {
        name: "open operator address without a token",
        flags: &["--operator-address", "10.0.0.1:8082"],
        vars: &[],
        setting: "--operator-address",
        message: "set --operator-token",
    },
    Case {
        name: "operator address open on every interface",
        flags: &["--operator-address", "[::]:9082"],
        vars: &[],
        setting: "--operator-address",
        message: "set --operator-token",
    },
];

#[test]
fn each_fault_is_named() {
    for case in CASES {
        let found = lines(read_entry(case.flags, case.vars));
        assert_eq!(found.len(), 1, "{}: {found:?}", case.name);
        let start = format!("{}: ", case.setting);
        let fits = found[0].starts_with(&start) && found[0].contains(case.message);
        assert!(fits, "{}: {found:?}", case.name);
    }
}

#[test]
fn side_process_refuses_conflicts() {
    let open = lines(read_side(&["--link-address", "10.0.0.1:8090"], &[]));
    assert!(open[0].contains("set --link-token"), "{open:?}");
    let engine = lines(read_side(&["--engine", "127.0.0.1:9000:v2"], &[]));
    assert!(engine[0].contains("taken by --engine"), "{engine:?}");
    let kind = lines(read_side(&["--kind", "database"], &[]));
    assert_eq!(kind, ["--kind: expected engine or plain"]);
    let bare = lines(read_side(&["--engine", "127.0.0.1:9001"], &[]));
    assert_eq!(bare.len(), 1, "{bare:?}");
    let token =
        settings(read_side(&["--link-address", "10.0.0.1:8090", "--link-token", TOKEN], &[]));
    assert_eq!(token.link_token.expect("set").expose(), TOKEN);
}

#[test]
fn all_faults_are_reported_together() {
    let flags = words(&["--colour", "red", "--caller-timeout", "0", "--log-address", "log:1"]);
    let found = lines(entry::read(flags, vars(&[("EGRETGATE_HUE", "1")])));
    let starts = [
        "--colour:",
        "EGRETGATE_HUE:",
        "--instance: required",
        "--zone: required",
        "--log-address:",
        "--instances-address: required",
        "--caller-timeout:",
    ];
    assert_eq!(found.len(), starts.len(), "{found:?}");
    assert!(found.iter().zip(starts).all(|(line, start)| line.starts_with(start)), "{found:?}");
}

#[test]
fn flags_take_precedence_over_variables() {
    let pairs = [("EGRETGATE_ZONE", "olinda"), ("EGRETGATE_CALLER_TIMEOUT", "7")];
    let found = settings(read_entry(&[], &pairs));
    assert_eq!((found.zone.as_str(), found.caller_timeout.as_millis()), ("boa-viagem", 7));
}

#[test]
fn engines_are_a_list_in_flags_and_variables() {
    let flags = settings(read_side(&["--engine", "[::1]:9001:v2"], &[]));
    let shown: Vec<String> = flags.engines.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["127.0.0.1:9000:v1", "[::1]:9001:v2"]);
    let pair = ("EGRETSIDE_ENGINE", "127.0.0.1:9000:v1, [::1]:9001:v2");
    let found = settings(side::read(words(&SIDE[..6]), vars(&[pair])));
    assert_eq!(found.engines, flags.engines);
}

/// Checks that flags and variables correspond to each other, and that the help text lists both with
/// their units.
fn check_names<T>(table: &Table<T>) {
    let help = table.help();
    let mut names: Vec<String> = Vec::new();
    for setting in table.settings {
        let name = setting.variable(table.prefix);
        let flag = name.strip_prefix(table.prefix).expect("prefix").to_ascii_lowercase();
        assert_eq!(flag.replace('_', "-"), setting.flag);
        assert!(help.contains(&format!("--{} {}\n", setting.flag, setting.unit)), "{name}");
        assert!(help.contains(&format!("[variable: {name}]")), "{name}");
        assert!(!setting.unit.is_empty() && setting.help.ends_with('.'), "{name}");
        names.push(name);
    }
    names.sort();
    names.dedup();
    assert_eq!(names.len(), table.settings.len());
}

#[test]
fn every_flag_has_a_variable() {
    check_names(&entry::TABLE);
    check_names(&side::TABLE);
    check_names(&client::TABLE);
}

#[test]
fn secrets_are_never_shown() {
    let flags = ["--operator-token", TOKEN, "--link-token", TOKEN];
    let found = settings(read_entry(&flags, &[]));
    let shown = format!("{found:?}\n{}", entry::TABLE.show(&found));
    assert!(!shown.contains(TOKEN) && shown.contains("operator-token=(set, not shown)"), "{shown}");
    let spaced = format!("{TOKEN} {TOKEN}");
    let faults = lines(read_entry(&["--operator-token", &spaced], &[]));
    assert!(!faults.concat().contains(TOKEN), "{faults:?}");
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(11);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn address() -> impl Strategy<Value = String> {
    let v6 = any::<u16>().prop_map(|part| format!("[::{part:x}]"));
    let host = prop_oneof![Just("127.0.0.1".to_owned()), Just("10.1.2.3".to_owned()), v6];
    (host, 1..u16::MAX).prop_map(|(host, port)| format!("{host}:{port}"))
}

/// Generates a valid text for a flag of the entry.
fn text(flag: &'static str) -> BoxedStrategy<String> {
    match flag {
        "instance" | "zone" => "[a-z0-9._-]{1,20}".boxed(),
        "link-token" | "operator-token" => "[!-~]{16,40}".boxed(),
        "log-level" => {
            prop_oneof!["critical", "error", "warning", "info", "debug", "trace"].boxed()
        }
        _ if flag.ends_with("-address") => address().boxed(),
        _ => (1..1_000_000_u32).prop_map(|number| number.to_string()).boxed(),
    }
}

fn entry_texts() -> impl Strategy<Value = Vec<String>> {
    entry::TABLE.flags().map(text).collect::<Vec<_>>()
}

proptest! {
    #![proptest_config(config())]

    /// Flags and variables give the same settings, and the shown values parse to the same settings.
    #[test]
    fn settings_round_trip(texts in entry_texts()) {
        let flags = entry::TABLE.settings.iter().zip(&texts);
        let args = flags.clone().map(|(setting, text)| format!("--{}={text}", setting.flag).into());
        let pairs = flags.clone().map(|(setting, text)| {
            (setting.variable("EGRETGATE_").into(), text.into())
        });
        let by_flag = entry::read(args, []);
        let by_var = entry::read([], pairs);
        prop_assert_eq!(&by_flag.is_ok(), &by_var.is_ok());
        let Ok(Invocation::Settings(found)) = by_flag else {
            // Two equal addresses conflict, whether given by flags or by variables.
            return Ok(());
        };
        prop_assert_eq!(&by_var, &Ok(Invocation::Settings(found.clone())));
        for (setting, text) in flags.filter(|(setting, _)| !setting.secret) {
            let shown = (setting.show)(&found).join(",");
            let mut again = found.clone();
            prop_assert_eq!((setting.set)(&mut again, &shown), Ok(()));
            prop_assert!(again == found, "{}: {} shown as {}", setting.flag, text, shown);
        }
    }
}
