//! Tests of `egretgate explain`, which prints the log lines of a request and why it ended so.

use egretgate::command::{self, Call};

/// Runs `egretgate explain` on a log and returns its output and its error output.
fn explain(id: &str, log: &str) -> (String, String) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), log).unwrap();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = ["explain".into(), id.into(), file.path().into()].to_vec();
    let call = Call { args, vars: Vec::new(), out: &mut out, err: &mut err };
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(command::run(call));
    (String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

#[test]
fn a_request_is_explained_from_its_log_lines() {
    struct Case {
        name: &'static str,
        log: &'static str,
        /// Texts that the output contains, in this order.
        expected: &'static [&'static str],
        /// Text that the error output contains.
        warning: &'static str,
    }
    let cases = [
        Case {
            name: "refused under load",
            log: "level=INFO msg=request unix_ms=5 id=r1 outcome=overloaded waited_ms=0\n",
            expected: &[
                "0 ms  request",
                "waited_ms=0",
                "overloaded: it would have waited too long",
            ],
            warning: "",
        },
        Case {
            name: "lost at one upstream, served by another, with lines of another request between",
            log: "level=INFO msg=attempt unix_ms=5 id=r1 upstream=i-1 outcome=lost\n\
                  level=INFO msg=request unix_ms=6 id=r2 outcome=served\n\
                  level=INFO msg=request unix_ms=9 id=r1 upstream=i-2 outcome=served\n",
            expected: &["attempt", "upstream=i-1", "4 ms  request", "served: "],
            warning: "",
        },
        Case {
            name: "a revoked key",
            log: "level=INFO msg=refused unix_ms=5 catalog=7 outcome=unauthorized id=r1",
            expected: &["catalog=7", "unauthorized: no team holds its key"],
            warning: "",
        },
        Case {
            name: "an incomplete line",
            log: "level=INFO msg=request unix_ms=5 id=r1 outcome=served\nmsg=\"half id=r1",
            expected: &["served: "],
            warning: "1 lines are cut or garbled",
        },
        Case {
            name: "clocks that differ",
            log: "level=INFO msg=request unix_ms=9 id=r1 outcome=served\n\
                  level=INFO msg=attempt unix_ms=5 id=r1 outcome=lost\n",
            expected: &["0 ms  attempt", "4 ms  request", "served: "],
            warning: "1 lines are out of order",
        },
        Case {
            name: "unknown fields and outcomes",
            log: "level=INFO msg=request unix_ms=5 id=r1 outcome=novel colour=blue\n",
            expected: &["colour=blue", "novel: see docs/OPERATIONS.md"],
            warning: "",
        },
        Case {
            name: "no final line",
            log: "level=INFO msg=attempt unix_ms=5 id=r1 outcome=lost\n",
            expected: &["attempt", "no end is logged"],
            warning: "",
        },
        Case {
            name: "no line of the request",
            log: "msg=request id=r2\n",
            expected: &[],
            warning: "no line tells",
        },
    ];
    for case in cases {
        let (out, err) = explain("r1", case.log);
        let mut rest = out.as_str();
        for text in case.expected {
            let position = rest.find(text);
            assert!(position.is_some(), "{}: no {text:?} in {out}", case.name);
            rest = &rest[position.unwrap()..];
        }
        assert!(err.contains(case.warning), "{}: {err}", case.name);
    }
}
