//! Operator commands against real servers.

mod fixture;

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

use egretgate::command::Exit;
use egretgate_core::burn::{Count, Row};
use egretgate_core::check::parse;
use fixture::{Behaviour, TOKEN, run, run_with, start};
use tempfile::NamedTempFile;

/// The operators' guide.
const GUIDE: &str = include_str!("../../../../docs/OPERATORS.md");

/// A loopback address without a listener.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../examples/{name}.toml"))
}

fn recife_file() -> String {
    example("recife").to_string_lossy().into_owned()
}

fn file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().expect("temporary file");
    fs::write(file.path(), text).expect("written");
    file
}

fn name(file: &NamedTempFile) -> &str {
    file.path().to_str().expect("name is text")
}

#[tokio::test]
async fn apply_makes_the_file_the_state_in_force() {
    let entry = start(Behaviour::default()).await;
    let output = run(&[entry.address], &["apply", &recife_file()]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.out.contains("+++ teams.textile-mills\n"), "{}", output.out);
    assert!(
        output.out.contains("accepted at offset 0\nin force everywhere: 1 processes"),
        "{output:?}"
    );

    let wanted = fs::read_to_string(example("recife")).expect("example");
    let get = run(&[entry.address], &["get"]).await;
    assert_eq!(parse(&get.out), parse(&wanted), "{}", get.out);

    let again = run(&[entry.address], &["apply", &recife_file()]).await;
    assert_eq!((again.exit, entry.applies.load(Ordering::SeqCst)), (Exit::Done, 1));
    assert!(again.out.starts_with("no change"), "{}", again.out);

    let changed = wanted.replace("deadline_ms = 120000", "deadline_ms = 90000");
    let (changed, copy) = (file(&changed), file(&changed));
    let output = run(&[entry.address], &["apply", name(&changed), "--wait"]).await;
    let diff = "--- tiers.captions\n+++ tiers.captions\n";
    assert!(output.out.starts_with(diff), "{}", output.out);
    assert!(output.out.contains("-deadline_ms = 120000\n+deadline_ms = 90000\n"), "{}", output.out);
    let copy = run(&[entry.address], &["apply", name(&copy)]).await;
    assert!(copy.out.starts_with("no change"), "{}", copy.out);
}

#[tokio::test]
async fn items_missing_from_the_file_are_deleted() {
    let entry = start(Behaviour::default()).await;
    run(&[entry.address], &["apply", &recife_file()]).await;
    let empty = file("");
    let output = run(&[entry.address], &["apply", name(&empty)]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    let get = run(&[entry.address], &["get"]).await;
    assert_eq!(parse(&get.out), parse(""), "{}", get.out);
}

#[tokio::test]
async fn dry_run_changes_nothing() {
    let entry = start(Behaviour::default()).await;
    let output = run(&[entry.address], &["apply", &recife_file(), "--dry-run"]).await;
    assert_eq!((output.exit, entry.applies.load(Ordering::SeqCst)), (Exit::Done, 0), "{output:?}");
    assert!(output.out.ends_with("dry run: 16 changes would be accepted\n"), "{}", output.out);
}

#[tokio::test]
async fn one_of_two_concurrent_changes_is_refused_as_a_conflict() {
    let entry =
        start(Behaviour { concurrent_delete: Some("archive"), ..Behaviour::default() }).await;
    run(&[entry.address], &["apply", &recife_file()]).await;
    let changed = fs::read_to_string(example("recife")).expect("example");
    let changed = file(&changed.replace("weight = 1", "weight = 3"));
    let output = run(&[entry.address], &["apply", name(&changed)]).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(output.err.contains("conflict"), "{}", output.err);
    assert!(!output.out.contains("accepted"), "{}", output.out);
}

#[tokio::test]
async fn apply_lists_processes_that_lag() {
    let entry = start(Behaviour { lagging: true, ..Behaviour::default() }).await;
    let output = run(&[entry.address], &["apply", &recife_file(), "--wait=1"]).await;
    assert_eq!(output.exit, Exit::Unreachable, "{output:?}");
    assert!(output.out.contains("accepted at offset 0"), "{}", output.out);
    assert!(
        output.err.contains("not in force in\n  side engine-9 in olinda: at offset 0"),
        "{output:?}"
    );
    assert!(!output.err.contains("entry-1"), "{}", output.err);
}

#[tokio::test]
async fn lost_answer_is_reported_as_unknown() {
    let entry = start(Behaviour { lose_answer: true, ..Behaviour::default() }).await;
    let output = run(&[entry.address], &["apply", &recife_file()]).await;
    assert_eq!(output.exit, Exit::Unreachable, "{output:?}");
    assert!(
        output.err.contains("may have been accepted") && output.err.contains("unknown"),
        "{output:?}"
    );
    let again = run(&[entry.address], &["apply", &recife_file()]).await;
    assert!(again.out.starts_with("no change"), "{again:?}");
}

#[tokio::test]
async fn zones_are_drained_shown_and_restored() {
    let entry = start(Behaviour::default()).await;
    let drained = run(&[entry.address], &["zone", "drain", "olinda"]).await;
    assert_eq!(drained.exit, Exit::Done, "{drained:?}");
    assert!(drained.out.starts_with("accepted at offset 0"), "{}", drained.out);
    assert!(drained.err.contains("no upstream is known in zone olinda"), "{}", drained.err);
    let status = run(&[entry.address], &["status"]).await;
    assert!(status.out.contains("drained zone") && status.out.contains("olinda"), "{}", status.out);

    let again = run(&[entry.address], &["zone", "drain", "olinda"]).await;
    assert_eq!(again.exit, Exit::Refused, "{again:?}");
    assert!(again.err.contains("drained already"), "{}", again.err);
    let stale = run(&[entry.address], &["zone", "restore", "olinda", "--revision", "9"]).await;
    assert_eq!(stale.exit, Exit::Refused, "{stale:?}");
    assert!(stale.err.contains("revision 1, the order expects 9"), "{}", stale.err);

    let restored = run(&[entry.address], &["zone", "restore", "olinda"]).await;
    assert_eq!(restored.exit, Exit::Done, "{restored:?}");
    let status = run(&[entry.address], &["status", "--json"]).await;
    assert!(status.out.contains("\"drained_zones\":[]"), "{}", status.out);
}

#[tokio::test]
async fn the_loser_of_two_concurrent_drains_is_refused_as_a_conflict() {
    let behaviour = Behaviour { concurrent_drain: Some("olinda"), ..Behaviour::default() };
    let entry = start(behaviour).await;
    let output = run(&[entry.address], &["zone", "drain", "olinda"]).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(output.err.contains("conflict"), "{}", output.err);
    assert!(!output.out.contains("accepted"), "{}", output.out);
}

/// The target deployment has 7,400 teams, more than one record can hold.
#[tokio::test]
async fn large_declarations_are_applied_in_batches() {
    let entry = start(Behaviour::default()).await;
    let mut text = String::from("[tiers.door]\nrank = 0\n");
    for index in 0..7_400 {
        let _ = write!(text, "[teams.team-{index}]\ntier = \"door\"\nkeys = [\"{index:064x}\"]\n");
    }
    let large = file(&text);
    let output = run(&[entry.address], &["apply", name(&large)]).await;
    assert_eq!(output.exit, Exit::Done, "{}", output.err);
    let parts = entry.applies.load(Ordering::SeqCst);
    assert!(
        parts > 1 && output.err.contains(&format!("part {parts} of {parts} accepted")),
        "{parts}"
    );
    let get = run(&[entry.address], &["get"]).await;
    assert_eq!(parse(&get.out), parse(&text));
}

#[tokio::test]
async fn invalid_file_is_reported_by_line_and_field_and_sends_nothing() {
    let faulty = file("[tiers.door]\nrank = 0\n[teams.rounds]\ntier = \"urgent\"\n");
    for args in [["check", name(&faulty)], ["apply", name(&faulty)]] {
        let output = run(&[CLOSED_ADDRESS.parse().expect("address")], &args).await;
        assert_eq!(output.exit, Exit::Refused, "{output:?}");
        let expected =
            format!("{}:4: teams.rounds.tier: no tier `urgent` is declared\n", name(&faulty));
        assert_eq!((output.err, output.out), (expected, String::new()));
    }
    let output = run_with(&[], &["check", &recife_file()]).await;
    assert_eq!(output.exit, Exit::Done);
    assert!(
        output.out.ends_with("no fault in 4 tiers, 5 teams, 2 services and 5 routes\n"),
        "{output:?}"
    );
    assert_eq!(run_with(&[], &["check", "/absent.toml"]).await.exit, Exit::Refused);
}

#[tokio::test]
async fn next_address_is_tried() {
    let entry = start(Behaviour::default()).await;
    let closed: SocketAddr = CLOSED_ADDRESS.parse().expect("address");
    let output = run(&[closed, entry.address], &["status"]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.err.starts_with("unreachable: 127.0.0.1:1"), "{}", output.err);
    assert!(output.out.contains("entry-1"), "{}", output.out);
    let output = run(&[closed], &["status"]).await;
    assert_eq!(output.exit, Exit::Unreachable, "{output:?}");
}

#[tokio::test]
async fn exported_records_verify_and_tampering_shows() {
    let entry = start(Behaviour::default()).await;
    run(&[entry.address], &["apply", &recife_file()]).await;
    run(&[entry.address], &["apply", name(&file(""))]).await;
    let guild = example("ulaanbaatar");
    run(&[entry.address], &["apply", guild.to_str().expect("text")]).await;
    let export = run(&[entry.address], &["records", "--json"]).await;
    assert_eq!((export.exit, export.out.lines().count()), (Exit::Done, 3), "{export:?}");
    assert!(export.out.contains("\"operator\":\"ana\",\"reason\":\"season start\""));

    let verify = async |text: &str, more: &[&str]| {
        let file = file(text);
        run_with(&[], &[&["records", "--verify", name(&file)], more].concat()).await
    };
    let verified = verify(&export.out, &[]).await;
    assert_eq!(verified.exit, Exit::Done, "{verified:?}");
    assert!(verified.out.contains("3 records verify from the start"), "{}", verified.out);
    let digest = verified.out.trim().rsplit(' ').next().expect("digest").to_owned();
    assert_eq!(verify(&export.out, &["--digest", &digest]).await.exit, Exit::Done);

    let lines: Vec<&str> = export.out.lines().collect();
    let cases = [
        ("reason changed", export.out.replacen("season start", "season end", 1)),
        ("record missing", format!("{}\n{}\n", lines[0], lines[2])),
        ("order changed", format!("{}\n{}\n", lines[1], lines[0])),
        ("no record", "not JSON\n".to_owned()),
        ("empty", String::new()),
    ];
    for (name, text) in cases {
        assert_eq!(verify(&text, &[]).await.exit, Exit::Refused, "{name}");
    }
    let short = format!("{}\n{}\n", lines[0], lines[1]);
    assert_eq!(verify(&short, &["--digest", &digest]).await.exit, Exit::Refused);
    let text = run(&[entry.address], &["records", "--from", "1", "--limit", "1"]).await;
    assert!(text.out.starts_with("1 ") && text.out.lines().count() == 1, "{}", text.out);
}

#[tokio::test]
async fn expired_records_are_reported() {
    let entry = start(Behaviour { oldest_offset: 1, ..Behaviour::default() }).await;
    run(&[entry.address], &["apply", &recife_file()]).await;
    run(&[entry.address], &["apply", name(&file(""))]).await;
    let export = run(&[entry.address], &["records", "--json"]).await;
    assert_eq!(export.err, "records before offset 1 are no longer held\n");
    let copy = file(&export.out);
    let verified = run_with(&[], &["records", "--verify", name(&copy)]).await;
    assert!(verified.out.contains("1 records verify from a later record"), "{verified:?}");
}

#[tokio::test]
async fn status_reports_a_process_with_another_digest() {
    let entry = start(Behaviour { differing_digest: true, ..Behaviour::default() }).await;
    for args in [&["status"][..], &["status", "--json"]] {
        let output = run(&[entry.address], args).await;
        assert_eq!(output.exit, Exit::Refused, "{output:?}");
        assert_eq!(output.err, "other state at the same offset: engine-8\n");
        assert!(
            output.out.contains("differs") && output.out.contains("in force"),
            "{}",
            output.out
        );
    }
}

fn behaviour(incarnation: u64, good: u64, bad: u64) -> Behaviour {
    let counts = [Count { good, bad }; 4];
    let row = Row { tier: "door".into(), team: "rounds".into(), objective: 0.99, counts };
    Behaviour { rows: vec![row], incarnation, ..Behaviour::default() }
}

#[tokio::test]
async fn burn_is_summed_over_entries() {
    let first = start(behaviour(1, 60, 10)).await;
    let second = start(behaviour(2, 20, 10)).await;
    let json = ["report", "burn", "--json"];
    let twice = [first.address, second.address, first.address];
    let output = run(&twice, &json).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.out.contains("\"good\":80,\"bad\":20"), "{}", output.out);
    assert!(output.out.contains("\"alert\":\"fast\""), "{}", output.out);

    let closed: SocketAddr = CLOSED_ADDRESS.parse().expect("address");
    let partial = run(&[first.address, closed], &json).await;
    assert_eq!(partial.exit, Exit::Unreachable);
    assert!(partial.out.contains("\"good\":60") && partial.err.contains("partial"), "{partial:?}");

    let table = run(&[first.address], &["report", "burn", "--teams"]).await;
    assert!(table.out.contains("burn 5m") && table.out.contains("rounds"), "{}", table.out);
}

struct UsageCase {
    args: &'static [&'static str],
    exit: Exit,
    /// Expected part of the error message.
    message: &'static str,
}

const USAGE_CASES: [UsageCase; 17] = [
    UsageCase { args: &["paint"], exit: Exit::Usage, message: "no command `paint`" },
    UsageCase { args: &["move"], exit: Exit::Usage, message: "move begin ROUTE" },
    UsageCase { args: &["apply"], exit: Exit::Usage, message: "FILE: required" },
    UsageCase {
        args: &["apply", "a", "b"],
        exit: Exit::Usage,
        message: "b: one argument too many",
    },
    UsageCase { args: &["get", "--colour"], exit: Exit::Usage, message: "--colour: no such flag" },
    UsageCase { args: &["get", "zones"], exit: Exit::Usage, message: "no kind `zones`" },
    UsageCase { args: &["get", "-v"], exit: Exit::Usage, message: "-v: no such flag" },
    UsageCase { args: &["records", "--from"], exit: Exit::Usage, message: "--from: a value" },
    UsageCase {
        args: &["records", "--from", "x"],
        exit: Exit::Usage,
        message: "expected an offset",
    },
    UsageCase {
        args: &["status", "--json", "--json"],
        exit: Exit::Usage,
        message: "more than once",
    },
    UsageCase {
        args: &["status", "--operator-address", "localhost:1"],
        exit: Exit::Usage,
        message: "host names",
    },
    UsageCase {
        args: &["move", "begin", "r", "--from", "a", "--to", "b"],
        exit: Exit::Usage,
        message: "--within: required",
    },
    UsageCase {
        args: &[
            "move", "begin", "r", "--from", "a", "--to", "b", "--within", "9", "--steps", "5,1",
        ],
        exit: Exit::Usage,
        message: "rising percentages",
    },
    UsageCase {
        args: &["move", "begin", "r", "--from", "a", "--to", "b", "--within", "9"],
        exit: Exit::Refused,
        message: "refused (unknown_route): no such route",
    },
    UsageCase { args: &["quarantine", "lift", "12"], exit: Exit::Usage, message: "32 hexadecimal" },
    UsageCase { args: &["check", "settings"], exit: Exit::Usage, message: "--zone: required" },
    UsageCase { args: &["check", "settings", "--x=1"], exit: Exit::Usage, message: "--x: no such" },
];

#[tokio::test]
async fn each_command_line_error_is_reported() {
    let entry = start(Behaviour::default()).await;
    for case in USAGE_CASES {
        let output = run(&[entry.address], case.args).await;
        assert_eq!(output.exit, case.exit, "{:?}: {output:?}", case.args);
        assert!(output.err.contains(case.message), "{:?}: {}", case.args, output.err);
        assert!(!output.err.contains(TOKEN));
    }
    let lift = ["quarantine", "lift", "0123456789abcdef0123456789abcdef"];
    assert_eq!(run(&[entry.address], &lift).await.out, "accepted at offset 7\n");
}

#[tokio::test]
async fn change_without_operator_or_reason_is_not_sent() {
    let entry = start(Behaviour::default()).await;
    let address = entry.address.to_string();
    let vars =
        [("EGRETGATE_OPERATOR_ADDRESS", address.as_str()), ("EGRETGATE_OPERATOR_TOKEN", TOKEN)];
    for more in
        [&["--reason", "x"][..], &["--operator", "ana"], &["--operator", " ", "--reason", "x"]]
    {
        let output = run_with(&vars, &[&["apply", recife_file().as_str()], more].concat()).await;
        assert_eq!(
            (output.exit, entry.applies.load(Ordering::SeqCst)),
            (Exit::Usage, 0),
            "{output:?}"
        );
        assert!(output.err.contains("give --operator and --reason"), "{}", output.err);
    }
    let output = run_with(&vars[..1], &["status"]).await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(output.err.contains("refused (unauthenticated)"), "{}", output.err);
}

#[tokio::test]
async fn every_command_prints_its_help_and_is_in_the_guide() {
    let help = run_with(&[], &["--help"]).await;
    assert_eq!(help.exit, Exit::Done);
    let commands: Vec<&str> = help
        .out
        .lines()
        .filter(|line| line.starts_with("  ") && !line.starts_with("   "))
        .collect();
    // `serve` and `gateway` are run, and print their help, outside the command module.
    let runs = ["serve", "gateway"];
    let commands = commands.iter().map(|line| line.trim()).filter(|line| !runs.contains(line));
    let mut count = 0;
    for command in commands.filter(|line| !line.starts_with(char::is_numeric)) {
        let words = command.split(' ').filter(|word| word.chars().all(char::is_lowercase));
        let args: Vec<&str> = words.chain(["--help"]).collect();
        let heading = GUIDE.lines().find(|line| {
            let names = args[..args.len() - 1].iter();
            line.starts_with("### `egretgate ") && names.clone().all(|name| line.contains(name))
        });
        assert!(heading.is_some(), "{command} is missing in the guide");
        let output = run_with(&[], &args).await;
        assert_eq!(output.exit, Exit::Done, "{args:?}: {output:?}");
        assert!(output.out.starts_with("Usage: egretgate "), "{}", output.out);
        count += 1;
    }
    assert_eq!(count, 15);
    for run in runs {
        assert!(GUIDE.contains(&format!("### `egretgate {run}`")), "{run} is missing in the guide");
        assert!(help.out.contains(&format!("\n  {run}\n")), "{run} is missing in the help");
    }
}

#[tokio::test]
async fn checked_settings_are_shown_without_secrets() {
    let args = ["check", "settings", "--instance", "entry-1", "--zone", "olinda"];
    let more = ["--log-address", "127.0.0.1:7001", "--instances-address", "127.0.0.1:7002"];
    let vars = [("EGRETGATE_OPERATOR_TOKEN", TOKEN), ("EGRETGATE_OPERATOR", "ana")];
    let output = run_with(&vars, &[&args[..], &more[..]].concat()).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    assert!(output.out.contains("operator-token=(set, not shown)") && !output.out.contains(TOKEN));
    assert!(output.out.contains("caller-address=127.0.0.1:8080\n"), "{}", output.out);
}
