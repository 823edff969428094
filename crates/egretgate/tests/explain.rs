//! `egretgate explain`: from a request's id to its cause, by the logs alone.

use egretgate::command::{self, Call};

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
fn a_request_is_told_from_its_lines() {
    struct Case {
        name: &'static str,
        log: &'static str,
        /// Parts of what is printed, in order.
        told: &'static [&'static str],
        /// Part of the faults.
        fault: &'static str,
    }
    let cases = [
        Case {
            name: "refused under load",
            log: "level=INFO msg=request unix_ms=5 id=r1 outcome=overloaded waited_ms=0\n",
            told: &["0 ms  request", "waited_ms=0", "overloaded: it would have waited too long"],
            fault: "",
        },
        Case {
            name: "lost at one upstream, served by another; other requests between",
            log: "level=INFO msg=attempt unix_ms=5 id=r1 upstream=i-1 outcome=lost\n\
                  level=INFO msg=request unix_ms=6 id=r2 outcome=served\n\
                  level=INFO msg=request unix_ms=9 id=r1 upstream=i-2 outcome=served\n",
            told: &["attempt", "upstream=i-1", "4 ms  request", "served: "],
            fault: "",
        },
        Case {
            name: "a key that was taken away",
            log: "level=INFO msg=refused unix_ms=5 catalog=7 outcome=unauthorized id=r1",
            told: &["catalog=7", "unauthorized: no team holds its key"],
            fault: "",
        },
        Case {
            name: "a cut line",
            log: "level=INFO msg=request unix_ms=5 id=r1 outcome=served\nmsg=\"half id=r1",
            told: &["served: "],
            fault: "1 lines are cut or garbled",
        },
        Case {
            name: "clocks apart",
            log: "level=INFO msg=request unix_ms=9 id=r1 outcome=served\n\
                  level=INFO msg=attempt unix_ms=5 id=r1 outcome=lost\n",
            told: &["0 ms  attempt", "4 ms  request", "served: "],
            fault: "1 lines are out of order",
        },
        Case {
            name: "unknown fields and outcomes",
            log: "level=INFO msg=request unix_ms=5 id=r1 outcome=novel colour=blue\n",
            told: &["colour=blue", "novel: see docs/OPERATIONS.md"],
            fault: "",
        },
        Case {
            name: "no end",
            log: "level=INFO msg=attempt unix_ms=5 id=r1 outcome=lost\n",
            told: &["attempt", "no end is logged"],
            fault: "",
        },
        Case { name: "nothing", log: "msg=request id=r2\n", told: &[], fault: "no line tells" },
    ];
    for case in cases {
        let (out, err) = explain("r1", case.log);
        let mut rest = out.as_str();
        for part in case.told {
            let at = rest.find(part);
            assert!(at.is_some(), "{}: no {part:?} in {out}", case.name);
            rest = &rest[at.unwrap()..];
        }
        assert!(err.contains(case.fault), "{}: {err}", case.name);
    }
}
