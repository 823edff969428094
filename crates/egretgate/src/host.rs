//! `egretgate gateway`: the forwarding path on the users' platform.

use std::ffi::OsString;
use std::process::ExitCode;

use egretgate_adapter::{Headers, Settings, Store};
use egretgate_gateway::Gateway;
use slog::{Level, Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::command::Exit;

/// Text of `egretgate gateway --help`.
const HELP: &str = "Usage: egretgate gateway [--check]

Forwards callers' requests to upstreams, as the platform's settings file says.

  --check
      Reads the settings file, reports its faults and ends.

  --help
      Prints this text.

EGRETGATE_NODE_FILE
      Path of the settings file, which the platform writes.
";

/// Runs the subcommand.
pub async fn run(args: Vec<OsString>) -> eyre::Result<ExitCode> {
    let mut check = false;
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("check") => check = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            other => {
                eprintln!("{}\n{HELP}", other.unexpected());
                return Ok(Exit::Usage.into());
            }
        }
    }
    let settings = match Settings::read() {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(Exit::Usage.into());
        }
    };
    if check {
        println!("settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    serve(settings).await?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let log = egretgate_settings::logger_to(std::io::stdout(), Level::Info);
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let store = Store::new(settings.store());
    let gateway = Gateway::start(settings.options(), Headers, store, log.clone()).await?;
    tokio::spawn(reload(hangup, settings, log));
    terminate.recv().await;
    gateway.stop().await;
    Ok(())
}

/// Reads the settings anew at each signal. What they change needs a restart, which is logged.
async fn reload(mut hangup: Signal, settings: Settings, log: Logger) {
    while hangup.recv().await.is_some() {
        match Settings::read() {
            Ok(read) => info!(log, "settings reloaded"; "changed" => read != settings),
            Err(fault) => warn!(log, "settings not reloaded"; "error" => %fault),
        }
    }
}
