//! Tests of the side process's command line.

use std::process::Command;

struct Case {
    args: &'static [&'static str],
    code: i32,
    expected_text: &'static str,
}

#[test]
fn command_line_tells_every_fault() {
    let cases = [
        Case { args: &["--help"], code: 0, expected_text: "Usage: egretside" },
        Case { args: &["serve", "--help"], code: 0, expected_text: "--link-address" },
        Case { args: &["nonsense"], code: 2, expected_text: "Usage: egretside" },
        Case { args: &["check", "--zone", "olinda"], code: 2, expected_text: "--instance" },
        Case { args: &["check", "--engine", "host:80:v1"], code: 2, expected_text: "--engine" },
    ];
    for case in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_egretside"))
            .args(case.args)
            .env_clear()
            .output()
            .expect("the program runs");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(case.code), "{:?}: {text}", case.args);
        assert!(text.contains(case.expected_text), "{:?}: {text}", case.args);
    }
}
