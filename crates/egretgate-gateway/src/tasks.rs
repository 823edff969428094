//! Starts the tasks of an entry under their names, and logs and counts their panics.

use std::any::Any;
use std::cell::RefCell;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use egretgate_core::gateway::panic_limit::PanicLimit;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use slog::{Logger, crit};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest message of a panic in the log, in bytes.
const MAX_MESSAGE_BYTES: usize = 200;

/// First pause before a task that panicked is started again.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// The same for a task without which the entry can't go on.
const MAX_VITAL_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a task that was started again counts as working.
const STEADY_TIME: Duration = Duration::from_secs(5);

tokio::task_local! {
    /// Name of the running task.
    static TASK: &'static str;
}

thread_local! {
    /// Source position of the last panic of a task on this thread.
    static POSITION: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Logs and counts the panics of this process outside of an entry's tasks until it is dropped, and
/// has those of tasks logged with their position.
#[derive(Debug)]
pub struct PanicLog(Arc<Mutex<Option<Logger>>>);

impl PanicLog {
    /// Begins to log panics.
    pub fn install(log: &Logger) -> Self {
        // The hook stays, but a logger that it kept would keep pending lines from being written at
        // the end of the process.
        let log = Arc::new(Mutex::new(Some(log.clone())));
        let hook_log = Arc::clone(&log);
        let previous = panic::take_hook();
        panic::set_hook(Box::new(move |panic| {
            if TASK.try_with(|_| ()).is_ok() {
                POSITION.set(position(panic));
                return;
            }
            let log = hook_log.lock().unwrap_or_else(PoisonError::into_inner).clone();
            // The log never blocks; standard error may, if nobody reads it.
            let Some(log) = log else { return previous(panic) };
            let name = thread::current().name().unwrap_or("unnamed").to_owned();
            record(&log, name, position(panic), panic.payload());
        }));
        Self(log)
    }
}

impl Drop for PanicLog {
    fn drop(&mut self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
    }
}

/// What the end of a task by panics means for its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Need {
    /// The entry goes on with what it knows.
    Helpful,
    /// The entry can't go on.
    Vital,
}

/// Starts the tasks of one entry.
#[derive(Debug, Clone)]
pub(crate) struct Tasks {
    log: Logger,
    /// A task without which the entry can't go on, and that has failed.
    failed: watch::Sender<Option<&'static str>>,
}

impl Tasks {
    pub(crate) fn new(log: Logger) -> Self {
        Self { log, failed: watch::Sender::new(None) }
    }

    /// Reports that a task has failed without which the entry can't go on.
    pub(crate) fn fail(&self, task: &'static str) {
        let is_first = |failed: &mut Option<&'static str>| failed.replace(task).is_none();
        if self.failed.send_if_modified(is_first) {
            crit!(self.log, "entry failed"; "task" => task);
        }
    }

    /// Returns the name of such a task once one has failed.
    pub(crate) async fn failed(&self) -> &'static str {
        let mut failed = self.failed.subscribe();
        match failed.wait_for(Option::is_some).await.map(|failed| *failed) {
            Ok(Some(task)) => task,
            // The sender lives as long as `self`.
            _ => std::future::pending().await,
        }
    }

    /// Starts a task without which the entry can't go on.
    pub(crate) fn spawn_vital(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let tasks = self.clone();
        tokio::spawn(TASK.scope(name, async move {
            if let Err(payload) = AssertUnwindSafe(task).catch_unwind().await {
                record_panic(&tasks.log, name, &*payload);
            }
            tasks.fail(name);
        }));
    }

    /// Starts a task that runs until `run` returns, again after each panic, with growing pauses. What
    /// it needs to go on is kept in `state`.
    pub(crate) fn supervise<T: Send + 'static>(
        &self,
        name: &'static str,
        need: Need,
        mut state: T,
        run: for<'a> fn(&'a mut T) -> BoxFuture<'a, ()>,
    ) {
        let tasks = self.clone();
        let max_pause = if need == Need::Vital { MAX_VITAL_PAUSE } else { MAX_PAUSE };
        tokio::spawn(TASK.scope(name, async move {
            let failing = metrics::gauge!("egretgate_task_failing", "task" => name);
            failing.set(0.0);
            let (mut pause, mut limit) = (MIN_PAUSE, PanicLimit::default());
            loop {
                let mut running = AssertUnwindSafe(run(&mut state)).catch_unwind();
                let mut ended = timeout(STEADY_TIME, &mut running).await;
                if ended.is_err() {
                    failing.set(0.0);
                    (pause, limit) = (MIN_PAUSE, PanicLimit::default());
                    ended = Ok(running.await);
                }
                let Ok(Err(payload)) = ended else { return };
                record_panic(&tasks.log, name, &*payload);
                failing.set(1.0);
                if limit.record_panic(Instant::now()) && need == Need::Vital {
                    tasks.fail(name);
                }
                sleep(pause).await;
                pause = (pause * 2).min(max_pause);
            }
        }));
    }

    /// Starts a task whose panic ends only that task.
    pub(crate) fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let log = self.log.clone();
        tokio::spawn(TASK.scope(name, async move {
            if let Err(payload) = AssertUnwindSafe(task).catch_unwind().await {
                record_panic(&log, name, &*payload);
            }
        }));
    }
}

/// Runs a step of a task; `None` if it panics, which is logged and counted.
pub(crate) fn guard<T>(log: &Logger, task: &'static str, step: impl FnOnce() -> T) -> Option<T> {
    match panic::catch_unwind(AssertUnwindSafe(step)) {
        Ok(value) => Some(value),
        Err(payload) => {
            record_panic(log, task, &*payload);
            None
        }
    }
}

/// Logs and counts a panic that was caught in a task.
fn record_panic(log: &Logger, task: &'static str, payload: &(dyn Any + Send)) {
    let position = POSITION.take();
    let record = AssertUnwindSafe(|| record(log, task.to_owned(), position, payload));
    if panic::catch_unwind(record).is_err() {
        // The log itself has failed, so no line can say so.
        POSITION.take();
    }
}

fn record(log: &Logger, task: String, position: Option<String>, payload: &(dyn Any + Send)) {
    metrics::counter!("egretgate_panics_total", "task" => task.clone()).increment(1);
    crit!(log, "panic"; "task" => task, "at" => position, "message" => message(payload));
}

fn position(panic: &PanicHookInfo<'_>) -> Option<String> {
    panic.location().map(ToString::to_string)
}

/// Returns the message of a panic. A message with values is cut before the first quoted one, which
/// may be data of a request.
fn message(payload: &(dyn Any + Send)) -> String {
    let text = match (payload.downcast_ref::<&'static str>(), payload.downcast_ref::<String>()) {
        (Some(text), _) => text,
        (None, Some(text)) => text.split(['"', '`']).next().unwrap_or_default(),
        (None, None) => "no text",
    };
    text.chars()
        .scan(0, |bytes, char| {
            *bytes += char.len_utf8();
            (*bytes <= MAX_MESSAGE_BYTES && char != '\n').then_some(char)
        })
        .collect()
}
