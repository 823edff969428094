//! Operator commands: the subcommands of `egretgate` other than `serve` and `gateway`.

mod apply;
mod args;
mod check;
mod connect;
mod explain;
mod failure;
mod get;
mod moves;
mod output;
mod quarantine;
mod records;
mod report;
mod status;
mod zone;

use std::ffi::OsString;
use std::fmt::Write as _;
use std::io::Write;

use args::Spec;
pub use failure::{Exit, Failure, Result};
use output::Output;

/// Input and output of one command.
#[derive(Debug)]
pub struct Call<'a, Out, Err> {
    /// Arguments, without the name of the program.
    pub args: Vec<OsString>,
    /// Environment variables.
    pub vars: Vec<(OsString, OsString)>,
    /// Writer of results.
    pub out: &'a mut Out,
    /// Writer of errors and progress messages.
    pub err: &'a mut Err,
}

/// A subcommand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    Apply,
    Get,
    Records,
    MoveBegin,
    MoveCancel,
    MoveShow,
    QuarantineList,
    QuarantineLift,
    ZoneDrain,
    ZoneRestore,
    ReportBurn,
    CheckSettings,
    CheckFile,
    Status,
    Explain,
}

impl Command {
    /// Every command. `check settings` precedes `check FILE`, which would match any second word.
    const ALL: [Self; 15] = [
        Self::Apply,
        Self::Get,
        Self::Records,
        Self::MoveBegin,
        Self::MoveCancel,
        Self::MoveShow,
        Self::QuarantineList,
        Self::QuarantineLift,
        Self::ZoneDrain,
        Self::ZoneRestore,
        Self::ReportBurn,
        Self::CheckSettings,
        Self::CheckFile,
        Self::Status,
        Self::Explain,
    ];

    const fn spec(self) -> &'static Spec {
        match self {
            Self::Apply => &apply::SPEC,
            Self::Get => &get::SPEC,
            Self::Records => &records::SPEC,
            Self::MoveBegin => &moves::BEGIN,
            Self::MoveCancel => &moves::CANCEL,
            Self::MoveShow => &moves::SHOW,
            Self::QuarantineList => &quarantine::LIST,
            Self::QuarantineLift => &quarantine::LIFT,
            Self::ZoneDrain => &zone::DRAIN,
            Self::ZoneRestore => &zone::RESTORE,
            Self::ReportBurn => &report::SPEC,
            Self::CheckSettings => &check::SETTINGS,
            Self::CheckFile => &check::FILE,
            Self::Status => &status::SPEC,
            Self::Explain => &explain::SPEC,
        }
    }

    /// Returns the first command whose words begin `args`.
    fn find(args: &[OsString]) -> Option<Self> {
        let matches_words = |command: &Self| {
            let words = command.spec().words;
            words.len() <= args.len() && words.iter().zip(args).all(|(word, arg)| arg == *word)
        };
        Self::ALL.into_iter().find(matches_words)
    }
}

/// Runs one command and returns the exit code.
pub async fn run<Out: Write, Err: Write>(call: Call<'_, Out, Err>) -> Exit {
    let mut output = Output::new(call.out, call.err);
    match dispatch(&call.args, call.vars, &mut output).await {
        Ok(()) => Exit::Done,
        Err(failure) => {
            output.failure(&failure);
            failure.exit
        }
    }
}

/// Returns the help text of the program.
pub fn help() -> String {
    let mut out = String::from(
        "Usage: egretgate COMMAND [ARGUMENT]...\n\nCommands:\n  serve\n      Runs the entry.\n  \
         gateway\n      Runs the forwarding path on the users' platform.\n",
    );
    for command in Command::ALL {
        let spec = command.spec();
        let _ = writeln!(out, "  {}\n      {}", spec.usage(), spec.about);
    }
    out.push_str("\nEach command prints its own help with --help.\n\n");
    out.push_str(Exit::HELP);
    out
}

async fn dispatch(
    args: &[OsString],
    vars: Vec<(OsString, OsString)>,
    output: &mut Output<'_>,
) -> Result<()> {
    if args.is_empty() || args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
        return output.text(&help());
    }
    let Some(command) = Command::find(args) else {
        return Err(Failure::usage(unknown_command(args)));
    };
    let spec = command.spec();
    let rest = args[spec.words.len()..].to_vec();
    // Takes the flags of `serve`, which its own specification does not list.
    if command == Command::CheckSettings {
        return check::settings(rest, vars, output);
    }
    let Some(parsed) = spec.parse(rest, vars)? else {
        return output.text(&spec.help());
    };
    match command {
        Command::Apply => apply::run(&parsed, output).await,
        Command::Get => get::run(&parsed, output).await,
        Command::Records => records::run(&parsed, output).await,
        Command::MoveBegin => moves::begin(&parsed, output).await,
        Command::MoveCancel => moves::cancel(&parsed, output).await,
        Command::MoveShow => moves::show(&parsed, output).await,
        Command::QuarantineList => quarantine::list(&parsed, output).await,
        Command::QuarantineLift => quarantine::lift(&parsed, output).await,
        Command::ZoneDrain => zone::drain(&parsed, output).await,
        Command::ZoneRestore => zone::restore(&parsed, output).await,
        Command::ReportBurn => report::run(&parsed, output).await,
        Command::CheckFile => check::file(&parsed, output),
        Command::Status => status::run(&parsed, output).await,
        Command::Explain => explain::run(&parsed, output),
        // Returned above.
        Command::CheckSettings => Ok(()),
    }
}

fn unknown_command(args: &[OsString]) -> String {
    let first = args[0].to_string_lossy();
    let shares_word = |command: &Command| args[0] == command.spec().words[0];
    let candidates: Vec<String> = Command::ALL
        .into_iter()
        .filter(shares_word)
        .map(|command| command.spec().usage())
        .collect();
    if candidates.is_empty() {
        return format!("no command `{first}`; see egretgate --help");
    }
    format!("`{first}` is incomplete; expected\n  {}", candidates.join("\n  "))
}
