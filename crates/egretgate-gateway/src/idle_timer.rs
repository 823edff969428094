//! The timer by which the HTTP library closes idle connections of callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use egretgate_core::gateway::catalog::Catalog;
use hyper::rt::{Sleep, Timer};
use tokio::sync::watch;
use tokio::time::sleep_until;

/// Ends a wait for the next request by the declared limit, also if that grows during the wait.
///
/// A limit that shrinks doesn't shorten the waits of open connections: their callers may not know of
/// it yet.
pub(crate) struct IdleTimer {
    catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Limit that was declared when the connection was opened, by which the HTTP library works out
    /// the end of a wait.
    limit: Duration,
}

impl IdleTimer {
    /// Returns the timer of a connection whose HTTP library waits for `limit`.
    pub(crate) const fn new(
        catalog: watch::Receiver<Option<Arc<Catalog>>>,
        limit: Duration,
    ) -> Self {
        Self { catalog, limit }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let since = deadline.checked_sub(self.limit).unwrap_or_else(Instant::now);
        let catalog = self.catalog.clone();
        let limit = declared_limit(&catalog).unwrap_or_default().max(self.limit);
        let sleep = Box::pin(sleep_until((since + limit).into()));
        Box::pin(IdleWait { catalog, since, limit, sleep })
    }
}

/// A wait for the next request.
struct IdleWait {
    catalog: watch::Receiver<Option<Arc<Catalog>>>,
    since: Instant,
    /// Time from `since` at which `sleep` ends.
    limit: Duration,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Future for IdleWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            match declared_limit(&self.catalog) {
                Some(limit) if limit > self.limit => {
                    self.limit = limit;
                    let end = self.since + limit;
                    self.sleep.as_mut().reset(end.into());
                }
                _ => return Poll::Ready(()),
            }
        }
    }
}

impl Sleep for IdleWait {}

fn declared_limit(catalog: &watch::Receiver<Option<Arc<Catalog>>>) -> Option<Duration> {
    catalog.borrow().as_ref().map(|catalog| catalog.limits.idle_timeout)
}
