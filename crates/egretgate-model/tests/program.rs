//! Command line of the experiment tool.

use std::path::Path;
use std::process::{Command, Output};

const SITE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/sites/small.toml");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_egretmodel")).args(args).output().expect("it starts")
}

#[test]
fn faults_are_reported() {
    struct Case {
        args: &'static [&'static str],
        message: &'static str,
    }
    const CASES: [Case; 8] = [
        Case { args: &[], message: "no site is named" },
        Case { args: &["none.toml"], message: "none.toml" },
        Case { args: &[SITE, "--policy", "best"], message: "no policy best" },
        Case { args: &[SITE, "--seeds", "3"], message: "not FROM..TO" },
        Case { args: &[SITE, "--seeds", "3..3"], message: "holds none" },
        Case { args: &[SITE, "--load", "-1"], message: "not above 0" },
        Case { args: &[SITE, "--jobs", "0"], message: "from 1 to" },
        Case { args: &[SITE, "--format", "xml"], message: "not table, csv or json" },
    ];
    for Case { args, message } in CASES {
        let output = run(args);
        assert!(!output.status.success(), "{args:?}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains(message), "{args:?}: {error}");
    }
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).starts_with("Usage: egretmodel"));
}

#[test]
fn report_formats_hold_the_same() {
    let common =
        [SITE, "--policy", "egretgate", "--policy", "random", "--seeds", "0..3", "--quiet"];
    let with = |format| run(&[&common[..], &["--format", format]].concat());
    let table = String::from_utf8(with("table").stdout).unwrap();
    assert!(table.contains("| egretgate") && table.contains("| random"), "{table}");
    let document: serde_json::Value = serde_json::from_slice(&with("json").stdout).unwrap();
    let csv = String::from_utf8(with("csv").stdout).unwrap();
    let lines: Vec<&str> = csv.lines().collect();
    assert_eq!(lines.len(), 1 + 2 * 3 * 3, "a header, and one line per policy, seed and kind");
    let first: Vec<&str> = lines[1].split(',').collect();
    let kind = &document["policies"][0]["runs"][0]["kinds"][0];
    assert_eq!(first[0], "egretgate");
    assert_eq!(first[4], kind["asked"].to_string());
    assert!(document["policies"][1]["difference"]["value"]["margin"].as_f64().unwrap() > 0.0);
}

#[test]
fn plots_are_drawn() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().to_str().unwrap();
    let loads = ["--load", "0.5", "--load", "1.5", "--seeds", "0..2", "--quiet"];
    let output = run(&[&[SITE, "--plots", path], &loads[..]].concat());
    assert!(output.status.success(), "{output:?}");
    for name in ["egretgate-in-time-0.5.svg", "egretgate-first-event-1.5.svg", "value-by-load.svg"]
    {
        let svg = std::fs::read_to_string(Path::new(path).join(name)).unwrap();
        assert!(svg.starts_with("<svg") && svg.contains("polyline"), "{name}");
    }
}
