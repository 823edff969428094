//! Counts the bytes that the entry holds, and wakes what waits for room.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use egretgate_core::gateway::held_bytes::{AnswerUse, HeldBytes, HolderKey};
use slog::{Logger, info};
use tokio::sync::Notify;

/// Change of the bytes held after which the gauge is set again.
const GAUGE_STEP: usize = 64 << 10;

/// A wait for room, which any release may end.
pub(crate) type RoomWait = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The bytes that the entry holds, shared by its requests.
#[derive(Clone)]
pub(crate) struct HeldBudget(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    freed: Arc<Notify>,
    log: Logger,
}

struct State {
    held: HeldBytes,
    /// True while the budget is nearly used up, as last logged.
    tight: bool,
    /// Bytes held when the gauge was last set.
    shown: usize,
}

impl HeldBudget {
    pub(crate) fn new(held: HeldBytes, log: Logger) -> Self {
        let state = State { held, tight: false, shown: 0 };
        Self(Arc::new(Shared { state: Mutex::new(state), freed: Arc::default(), log }))
    }

    /// Admits a request whose body has `body` bytes, or the first of them; `None` if there is no
    /// room.
    pub(crate) fn admit(&self, body: usize) -> Option<Holder> {
        let key = self.0.state().held.admit(body)?;
        Some(Holder { key, shared: Arc::clone(&self.0) })
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut HeldBytes)) {
        let mut state = self.state();
        change(&mut state.held);
        let (total, budget) = (state.held.total(), state.held.budget());
        if total.abs_diff(state.shown) >= GAUGE_STEP || (total == 0 && state.shown > 0) {
            state.shown = total;
            metrics::gauge!("egretgate_held_bytes").set(total as f64);
        }
        let tight = state.held.is_tight();
        if tight != std::mem::replace(&mut state.tight, tight) {
            info!(self.log, "bytes held"; "tight" => tight, "held" => total, "budget" => budget,
                "requests" => state.held.holders());
        }
    }
}

/// A request for which bytes are held.
pub(crate) struct Holder {
    key: HolderKey,
    shared: Arc<Shared>,
}

impl Holder {
    /// Returns whether more of the answer may be read.
    pub(crate) fn has_room(&self) -> bool {
        self.shared.state().held.has_room(self.key)
    }

    /// Returns whether `bytes` more of the request's body may be read.
    pub(crate) fn admits(&self, bytes: usize) -> bool {
        self.shared.state().held.admits(bytes)
    }

    /// Returns the bytes that are held for the request.
    pub(crate) fn held(&self) -> usize {
        self.shared.state().held.held_by(self.key)
    }

    /// Sets what the answer needs.
    pub(crate) fn set_use(&self, use_: AnswerUse) {
        self.shared.change(|held| held.set_use(self.key, use_));
    }

    /// Returns a wait that begins now and ends once bytes of any request are freed.
    pub(crate) fn freed(&self) -> RoomWait {
        let mut wait = Box::pin(Arc::clone(&self.shared.freed).notified_owned());
        wait.as_mut().enable();
        wait
    }

    /// Waits until more of the answer may be read.
    pub(crate) async fn room(&self) {
        loop {
            let freed = self.freed();
            if self.has_room() {
                return;
            }
            freed.await;
        }
    }

    /// Counts bytes until the lease is dropped.
    pub(crate) fn lease(&self, bytes: usize) -> Lease {
        self.shared.change(|held| held.add(self.key, bytes));
        Lease { key: self.key, shared: Arc::clone(&self.shared), bytes }
    }

    /// Returns bytes that count until the last copy of them is dropped.
    pub(crate) fn hold(&self, bytes: Bytes) -> Bytes {
        let lease = self.lease(bytes.len());
        lease.attach(bytes)
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.shared.change(|held| held.close(self.key));
        self.shared.freed.notify_waiters();
    }
}

/// Bytes that are counted.
pub(crate) struct Lease {
    key: HolderKey,
    shared: Arc<Shared>,
    bytes: usize,
}

impl Lease {
    /// Counts further bytes.
    pub(crate) fn grow(&mut self, bytes: usize) {
        self.shared.change(|held| held.add(self.key, bytes));
        self.bytes += bytes;
    }

    /// Returns bytes that count until the last copy of them is dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldFrame { bytes, _lease: self })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shared.change(|held| held.remove(self.key, self.bytes));
        self.shared.freed.notify_waiters();
    }
}

struct HeldFrame {
    bytes: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for HeldFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
