//! `explain ID`: prints the log lines of one request at the gateway and what its outcome means.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use eyre::WrapErr;

use super::args::{Parsed, Spec};
use super::failure::{Failure, Result};
use super::output::Output;

/// `explain ID [FILE]`.
pub(super) static SPEC: Spec = Spec {
    words: &["explain"],
    operands: &["ID", "[FILE]"],
    about: "Prints the gateway's log lines about a request, from a file or from standard input.",
    flags: &[],
    remote: false,
};

/// Fields left out of the printed key=value pairs.
const UNPRINTED_FIELDS: [&str; 4] = ["level", "msg", "unix_ms", "id"];

/// Explanation of an outcome, and where to look next.
struct Meaning {
    outcome: &'static str,
    text: &'static str,
}

const MEANINGS: [Meaning; 14] = [
    Meaning { outcome: "served", text: "the caller received the upstream's complete answer" },
    Meaning {
        outcome: "failed_upstream",
        text: "the upstream answered with an error; look at that upstream",
    },
    Meaning {
        outcome: "answer_lost",
        text: "an upstream may have run it and its answer was cut off or invalid; \
               look at the `attempt` lines and at that upstream",
    },
    Meaning {
        outcome: "cut",
        text: "the stream broke off and could not be resumed at another upstream",
    },
    Meaning {
        outcome: "timed_out",
        text: "the upstream did not answer within the route's timeout",
    },
    Meaning {
        outcome: "timed_out_waiting",
        text: "no upstream had a free slot within the route's timeout; it has not run",
    },
    Meaning {
        outcome: "overloaded",
        text: "it would have waited too long for an upstream; it has not run. \
               Compare egretgate_waiting and the number of upstreams listed",
    },
    Meaning {
        outcome: "no_upstream",
        text: "no upstream accepted it; it has not run. Look at the `attempt` lines and at \
               `upstreams listed`",
    },
    Meaning {
        outcome: "over_limit",
        text: "its team is over its token limit; it has not run. Look at the team's declaration",
    },
    Meaning {
        outcome: "unauthorized",
        text: "no team holds its key in the declarations named; it has not run. Look at \
               `declarations in force` for when that version was loaded",
    },
    Meaning {
        outcome: "no_route",
        text: "no route matches its host and path in the declarations named; it has not run",
    },
    Meaning {
        outcome: "not_ready",
        text: "the entry had not read its declarations; it has not run. Look at `directory lost`",
    },
    Meaning { outcome: "caller_left", text: "the caller closed its connection before the end" },
    Meaning { outcome: "poison", text: "running the same request has broken several upstreams" },
];

/// A log line about the request.
struct LogLine {
    /// Time of the line by the clock of the process that wrote it, in milliseconds since the Unix
    /// epoch; 0 if the line has none.
    time_ms: u64,
    event: String,
    fields: BTreeMap<String, String>,
}

/// Log lines of one request.
#[derive(Default)]
struct RequestTrace {
    lines: Vec<LogLine>,
    /// Number of lines that contain the request's id and can't be parsed.
    unreadable: usize,
    /// Number of lines with an earlier time than the line before.
    out_of_order: usize,
}

/// Prints a request's log lines and the meaning of its outcome.
pub(super) fn run(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let id = parsed.operand(0).unwrap_or_default();
    let trace = match parsed.operand(1) {
        None | Some("-") => read_trace(stdin().lock(), id)?,
        Some(name) => {
            let file = File::open(name).wrap_err_with(|| format!("{name}: can't be read"))?;
            read_trace(BufReader::new(file), id)?
        }
    };
    if trace.unreadable > 0 {
        output.progress(format_args!("{} lines are cut or garbled", trace.unreadable));
    }
    if trace.out_of_order > 0 {
        output.progress(format_args!(
            "{} lines are out of order: clocks differ or logs were joined",
            trace.out_of_order
        ));
    }
    if trace.lines.is_empty() {
        return Err(Failure::refused(format!("no line tells of request {id}")));
    }
    print_trace(&trace, output)
}

fn read_trace(lines: impl BufRead, id: &str) -> Result<RequestTrace> {
    let mut trace = RequestTrace::default();
    for line in lines.split(b'\n') {
        let line = line.wrap_err("the log can't be read")?;
        let text = String::from_utf8_lossy(&line);
        if !text.contains(id) {
            continue;
        }
        match parse_line(&text) {
            Some(line) if line.fields.get("id").is_some_and(|found| found == id) => {
                let previous_ms = trace.lines.last().map_or(0, |previous| previous.time_ms);
                trace.out_of_order += usize::from(line.time_ms < previous_ms);
                trace.lines.push(line);
            }
            Some(_) => {}
            None => trace.unreadable += 1,
        }
    }
    trace.lines.sort_by_key(|line| line.time_ms);
    Ok(trace)
}

/// Parses a line of key=value pairs; `None` if a quoted value is not closed or `msg` is missing.
fn parse_line(text: &str) -> Option<LogLine> {
    let pairs = shlex::split(text)?;
    let fields: BTreeMap<String, String> = pairs
        .iter()
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    let event = fields.get("msg")?.clone();
    let time_ms = fields.get("unix_ms").and_then(|time_ms| time_ms.parse().ok()).unwrap_or(0);
    Some(LogLine { time_ms, event, fields })
}

fn print_trace(trace: &RequestTrace, output: &mut Output<'_>) -> Result<()> {
    let start_ms = trace.lines.first().map_or(0, |line| line.time_ms);
    for line in &trace.lines {
        let fields =
            line.fields.iter().filter(|(key, _)| !UNPRINTED_FIELDS.contains(&key.as_str()));
        let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
        output.line(format_args!(
            "{:>6} ms  {}  {}",
            line.time_ms - start_ms,
            line.event,
            fields.join(" ")
        ))?;
    }
    let last = trace.lines.iter().rev().find(|line| line.event != "attempt");
    let outcome = last.and_then(|line| line.fields.get("outcome")).map(String::as_str);
    match outcome {
        None => output.line("no end is logged: the process ended first, or the log is incomplete"),
        Some(outcome) => {
            let meaning = MEANINGS.iter().find(|meaning| meaning.outcome == outcome);
            let text = meaning.map_or("see docs/OPERATIONS.md", |meaning| meaning.text);
            output.line(format_args!("{outcome}: {text}"))
        }
    }
}
