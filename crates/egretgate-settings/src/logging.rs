//! Logging: one line of key=value pairs for each event.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, FnValue, Level, LevelFilter, Logger, o};
use slog_logfmt::Logfmt;

/// Returns a logger to standard error that drops events below `level`.
pub fn logger(level: Level) -> Logger {
    logger_to(io::stderr(), level)
}

/// Returns a logger to `writer` that drops events below `level`. A separate thread writes the
/// lines; dropping the last logger writes those that are pending.
pub fn logger_to(writer: impl io::Write + Send + 'static, level: Level) -> Logger {
    let lines = Logfmt::new(writer).no_prefix().print_level(true).print_msg(true).build();
    let drain = slog_async::Async::new(lines.fuse()).build().fuse();
    let time = FnValue(|_| unix_ms());
    Logger::root(LevelFilter::new(drain, level).fuse(), o!("unix_ms" => time))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
