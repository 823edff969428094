//! Logging: one line of key=value pairs for each event.

use std::cell::Cell;
use std::io::{self, Write};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use slog::{Drain, FnValue, Level, LevelFilter, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{Async, AsyncGuard};
use slog_logfmt::Logfmt;

/// Time for which the end of a process waits until its last lines are written.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Returns a logger to standard error that drops events below `level`.
pub fn logger(level: Level) -> Logger {
    logger_to(io::stderr(), level)
}

/// Returns a logger to `writer` that drops events below `level`. A separate thread writes the
/// lines; dropping the last logger writes those that are pending.
pub fn logger_to(writer: impl Write + Send + 'static, level: Level) -> Logger {
    root(Async::new(Lines::new(writer)).build(), level)
}

/// As [`logger_to`]; dropping the guard writes the lines that are pending, for as long as the
/// process may wait for that at its end. Later ones are dropped.
pub fn guarded_logger(writer: impl Write + Send + 'static, level: Level) -> (Logger, LogGuard) {
    let (drain, guard) = Async::new(Lines::new(writer)).build_with_guard();
    (root(drain, level), LogGuard(Some(guard)))
}

/// Writes pending lines when it is dropped.
pub struct LogGuard(Option<AsyncGuard>);

impl std::fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LogGuard")
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (done, written) = mpsc::channel::<Never>();
        // A writer that blocks keeps the thread, not the process.
        let flush = move || {
            drop(guard);
            drop(done);
        };
        drop(thread::Builder::new().spawn(flush));
        // An error says that the time is over, or that the thread has ended.
        let _ = written.recv_timeout(FLUSH_TIME);
    }
}

fn root(drain: Async, level: Level) -> Logger {
    let time = FnValue(|_| unix_ms());
    // A logger whose thread has ended drops its lines.
    Logger::root(LevelFilter::new(drain.ignore_res(), level).fuse(), o!("unix_ms" => time))
}

/// Writes lines and survives a writer that fails, such as a pipe whose reader has left.
struct Lines<W: Write> {
    format: Logfmt<WholeLines<W>>,
    /// Lines that were lost since the last one was written.
    lost: Cell<u64>,
}

impl<W: Write> Lines<W> {
    fn new(writer: W) -> Self {
        let lines = WholeLines { line: Vec::new(), writer };
        let format = Logfmt::new(lines).no_prefix().print_level(true).print_msg(true).build();
        Self { format, lost: Cell::new(0) }
    }
}

impl<W: Write> Drain for Lines<W> {
    type Ok = ();
    type Err = Never;

    fn log(&self, event: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.format.log(event, values).is_err() {
            metrics::counter!("egretgate_log_lines_lost_total").increment(1);
            self.lost.set(self.lost.get() + 1);
            return Ok(());
        }
        let lost = self.lost.take();
        if lost > 0 {
            let count = b!("count" => lost);
            let text = format_args!("log lines lost");
            if self.format.log(&record!(Level::Warning, "", &text, count), values).is_err() {
                self.lost.set(lost);
            }
        }
        Ok(())
    }
}

/// Passes on whole lines, so that a failed write leaves no piece of a line in a buffer.
struct WholeLines<W> {
    line: Vec<u8>,
    writer: W,
}

impl<W: Write> Write for WholeLines<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let written = self.writer.write_all(&self.line);
        self.line.clear();
        written.and_then(|()| self.writer.flush())
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
