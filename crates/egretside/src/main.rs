//! The `egretside` program: the command line of the side process.

use std::process::ExitCode;

use egretgate_settings::{Invocation, guarded_logger, side};
use egretside::Side;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for errors in the command line or the settings.
const USAGE_EXIT_CODE: u8 = 2;
/// Text of `egretside --help`.
const HELP: &str = "Usage: egretside COMMAND [FLAG VALUE]...

Commands:
  serve   Runs the side process.
  check   Checks the settings without running.

See `egretside serve --help` for the settings.
";

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let run = match command.to_str() {
        Some("serve") => true,
        Some("check") => false,
        Some("--help" | "-h" | "help") => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        _ => {
            eprint!("{HELP}");
            return Ok(ExitCode::from(USAGE_EXIT_CODE));
        }
    };
    match side::read(args, std::env::vars_os()) {
        Ok(Invocation::Help(text)) => print!("{text}"),
        Ok(Invocation::Settings(settings)) if run => serve(settings).await?,
        Ok(Invocation::Settings(settings)) => print!("{}", side::TABLE.show(&settings)),
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(USAGE_EXIT_CODE));
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: side::Settings) -> eyre::Result<()> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let (log, _guard) = guarded_logger(std::io::stderr(), settings.log_level);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let side = Side::start_with(settings, log, Some(metrics)).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    side.stop().await;
    Ok(())
}
