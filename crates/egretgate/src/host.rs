//! `egretgate gateway`: forwards requests on the users' platform.

use std::ffi::OsString;
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, Instant};

use egretgate_adapter::{PlatformHeaders, Settings, SettingsError, Store};
use egretgate_core::gateway::start_retry::StartRetry;
use egretgate_gateway::{Answer, Gateway, Page, PanicLog};
use egretgate_settings::guarded_logger;
use http::StatusCode;
use lexopt::ValueExt as _;
use metrics_exporter_prometheus::PrometheusBuilder;
use slog::{Level, Logger, crit, info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::command::Exit;
use crate::process;

/// Upper bounds of the latency histograms: from a call to a plain service up to the longest
/// deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Text of `egretgate gateway --help`.
const HELP: &str = "Usage: egretgate gateway [--check] [--metrics-port PORT] [--log-level LEVEL]

Forwards callers' requests to upstreams, as configured in the platform's settings file.

  --check
      Checks the settings file, reports its errors and exits.

  --metrics-port PORT
      Port of the metrics page on the instance's address; without it there is none.

  --log-level LEVEL
      Lowest level that is logged: error, warning, info or debug [default: info].

  --help
      Prints this text.

EGRETGATE_NODE_FILE
      Path of the settings file, which the platform writes.
";

/// Time for which a start waits for a settings file that is absent or incomplete; the platform may be
/// replacing it.
const SETTINGS_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a start that waits for an address looks for other settings.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the command line asks for.
enum Action {
    Help,
    Check,
    Serve(Flags),
}

/// Settings given as flags, in addition to the platform's settings file.
struct Flags {
    metrics_port: Option<u16>,
    log_level: Level,
}

/// Why the process ends by itself.
#[derive(Debug)]
enum Failure {
    /// The command line is invalid.
    Usage(lexopt::Error),
    /// The settings are invalid.
    Settings(SettingsError),
    /// The system denies what the process needs.
    System(eyre::Report),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(error) => error.fmt(f),
            Self::Settings(error) => error.fmt(f),
            Self::System(error) => error.fmt(f),
        }
    }
}

impl Failure {
    const fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) => Exit::Usage,
            Self::System(_) => Exit::Refused,
        }
    }

    /// Writes the reason to the log and to standard error, and returns the exit status.
    fn report(&self, log: &Logger) -> ExitCode {
        crit!(log, "process ends"; "error" => %self, "exit_code" => self.exit() as u8);
        print_error(self);
        self.exit().into()
    }
}

impl<E: Into<eyre::Report>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::System(error.into())
    }
}

/// Runs the subcommand until the process ends.
pub fn main(args: Vec<OsString>) -> ExitCode {
    // A single thread, since an instance has a fraction of a core.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let (log, _guard) = guarded_logger(io::stdout(), Level::Info);
            return Failure::from(error).report(&log);
        }
    };
    runtime.block_on(run(args))
}

async fn run(args: Vec<OsString>) -> ExitCode {
    // Before anything else, since by default both signals end the process.
    let signals = Signals::install();
    let action = parse(args);
    let level = match &action {
        Ok(Action::Help) => return print(HELP),
        Ok(Action::Check) => return check(),
        Ok(Action::Serve(flags)) => flags.log_level,
        Err(_) => Level::Info,
    };
    let (log, _guard) = guarded_logger(io::stdout(), level);
    let _panic_log = PanicLog::install(&log);
    match serve(action, signals, &log).await {
        Ok(code) => code,
        Err(failure) => failure.report(&log),
    }
}

fn parse(args: Vec<OsString>) -> Result<Action, lexopt::Error> {
    let mut check = false;
    let mut flags = Flags { metrics_port: None, log_level: Level::Info };
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("check") => check = true,
            lexopt::Arg::Long("metrics-port") => {
                flags.metrics_port = Some(parser.value()?.parse()?);
            }
            lexopt::Arg::Long("log-level") => {
                flags.log_level = parser.value()?.parse_with(|text| {
                    Level::from_str(text).map_err(|()| format!("no such level: {text}"))
                })?;
            }
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Action::Help),
            other => return Err(other.unexpected()),
        }
    }
    Ok(if check { Action::Check } else { Action::Serve(flags) })
}

/// Checks the settings file as it is.
fn check() -> ExitCode {
    match Settings::read() {
        Ok(_) => print("settings are valid\n"),
        Err(error) => {
            print_error(&error);
            Exit::Usage.into()
        }
    }
}

fn print(text: &str) -> ExitCode {
    // The reader may have left.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn print_error(error: &impl fmt::Display) {
    // Nothing is left that could report an error of standard error.
    let _ = writeln!(io::stderr(), "{error}");
}

/// Signals of the platform.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, hangup: signal(SignalKind::hangup())? })
    }
}

/// Serves until the platform stops the process.
async fn serve(
    action: Result<Action, lexopt::Error>,
    signals: io::Result<Signals>,
    log: &Logger,
) -> Result<ExitCode, Failure> {
    let Action::Serve(flags) = action.map_err(Failure::Usage)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let Signals { mut terminate, hangup } = signals?;
    let started = tokio::select! {
        biased;
        _ = terminate.recv() => None,
        started = start(&flags, log) => Some(started?),
    };
    let Some((gateway, settings)) = started else {
        info!(log, "stopped before the start");
        return Ok(ExitCode::SUCCESS);
    };
    tokio::spawn(reload(hangup, settings, log.clone()));
    let code = process::end(&gateway, &mut terminate, log).await;
    gateway.stop().await;
    Ok(code)
}

async fn start(flags: &Flags, log: &Logger) -> Result<(Gateway, Settings), Failure> {
    let mut settings = read_settings(log).await.map_err(Failure::Settings)?;
    let metrics = flags.metrics_port.map(|port| Ok::<_, Failure>((port, metrics_page()?)));
    let metrics = metrics.transpose()?;
    process::observe(log, settings.options().memory);
    loop {
        let store = Store::new(settings.store_address());
        let mut options = settings.options();
        options.metrics =
            metrics.clone().map(|(port, page)| (SocketAddr::new(settings.ip(), port), page));
        tokio::select! {
            biased;
            gateway = Gateway::start(options, PlatformHeaders, store, log.clone()) => {
                return Ok((gateway?, settings));
            }
            changed = changed_settings(&settings) => settings = changed,
        }
        info!(log, "settings changed while the start waits");
    }
}

/// Returns other settings than these once the file holds them.
async fn changed_settings(current: &Settings) -> Settings {
    loop {
        sleep(SETTINGS_CHECK_INTERVAL).await;
        // A file that can't be read may be being replaced.
        if let Ok(read) = Settings::read()
            && read != *current
        {
            return read;
        }
    }
}

/// Reads the settings file, again and again while it may be incomplete.
async fn read_settings(log: &Logger) -> Result<Settings, SettingsError> {
    let mut retry = StartRetry::new(Instant::now(), Some(SETTINGS_WAIT));
    loop {
        let error = match Settings::read() {
            Ok(settings) => return Ok(settings),
            Err(error @ SettingsError::NoPath) => return Err(error),
            Err(error) => error,
        };
        if retry.is_first() {
            warn!(log, "start waits for settings"; "error" => %error);
        }
        match retry.next_delay(Instant::now()) {
            Some(delay) => sleep(delay).await,
            None => return Err(error),
        }
    }
}

/// Installs the metrics recorder and returns the page that shows its metrics.
fn metrics_page() -> eyre::Result<Page> {
    let handle =
        PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_SECONDS)?.install_recorder()?;
    tokio::spawn(process::keep_up(handle.clone(), process::USE_INTERVAL));
    Ok(Page::new(move || {
        handle.run_upkeep();
        Answer { status: StatusCode::OK, text: handle.render() }
    }))
}

/// Reads the settings file again at each signal and logs whether it changed. Changes take effect
/// after a restart.
async fn reload(mut hangup: Signal, settings: Settings, log: Logger) {
    while hangup.recv().await.is_some() {
        match Settings::read() {
            Ok(read) => info!(log, "settings reloaded"; "changed" => read != settings),
            Err(fault) => warn!(log, "settings not reloaded"; "error" => %fault),
        }
    }
}
