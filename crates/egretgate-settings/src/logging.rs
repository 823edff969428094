//! Logging: one line of key=value pairs for each event, on standard error.

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Returns a logger that drops events below `level`.
pub fn logger(level: Level) -> Logger {
    let drain = slog_logfmt::Logfmt::new(std::io::stderr()).build().fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}
