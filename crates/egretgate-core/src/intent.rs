//! At-most-once execution of calls that may not be repeated, through intents and outcomes in the
//! log.
//!
//! An intent reserves an idempotency key. A process dispatches a call only after it has read its
//! own intent back from the log as the first for that key, and only before the key's window and
//! the call's deadline end. Every process rejects a later intent for the same key: that request
//! waits for the first call or gets its recorded outcome. Intents and outcomes are appended in
//! groups, with one append in flight at a time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::error::ErrorKind;
use crate::fold::{Applied, FoldEffect, KeyChange, KeyEvent, KeyState, KeyTable, ReservedKey};
use crate::ids::{Digest, Incarnation, Ticket};
use crate::record::body::{
    self, Ending, Intent, NotRun, Outcome, RecordedAnswer, TicketId, Unknown,
};
use crate::record::outbox::{Append, Outbox};
use crate::record::{Body, Class, MAX_RECORD_BYTES};

/// Time between two groups appended by one entry.
pub const GROUP_INTERVAL: Duration = Duration::from_millis(100);
/// Groups that all entries together may append per second.
pub const MAX_GROUPS_PER_SECOND: u32 = 380;
/// A call is not dispatched in the last `1 / WINDOW_MARGIN_DIVISOR` of its key's window: the window
/// is measured in log time, by the clock of another process.
pub const WINDOW_MARGIN_DIVISOR: u32 = 10;

/// Largest group, in bytes; what does not fit waits for the next one.
const MAX_GROUP_BYTES: usize = MAX_RECORD_BYTES / 2;
/// Bytes of an encoded intent, rounded up.
const INTENT_BYTES: usize = 96;
/// Bytes of an encoded outcome without its body and content type, rounded up.
const OUTCOME_BYTES: usize = 128;
/// Largest number of processes remembered as gone; see [`KeyedCalls::mark_gone`].
const MAX_GONE_WRITERS: usize = 4_096;

/// Returns the time between two groups of one entry when `entries` entries share
/// [`MAX_GROUPS_PER_SECOND`].
pub fn group_interval(entries: u32) -> Duration {
    let shared = Duration::from_secs(1) * entries / MAX_GROUPS_PER_SECOND;
    shared.max(GROUP_INTERVAL)
}

/// A call that may not be repeated.
#[derive(Debug, Clone, Copy)]
pub struct KeyedCall {
    /// Identifier of this request.
    pub ticket: Ticket,
    /// Digest of team, route and idempotency key.
    pub key: Digest,
    /// Digest of the request's body.
    pub body_digest: Digest,
    /// Time for which the key is kept.
    pub window: Duration,
    /// Latest time at which the caller gets its final answer.
    pub deadline: Instant,
}

/// An action that the entry must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append a group to the log; if the answer is lost, call [`KeyedCalls::mark_answer_lost`].
    Append(Append),
    /// Choose an upstream, then call [`KeyedCalls::try_dispatch`] right before the offer is
    /// written.
    Dispatch(Ticket),
    /// Keep the request waiting for the answer of the call that holds its key.
    Join(Ticket),
    /// Send the request its final answer.
    Answer(Ticket, Reply),
}

/// Final answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The call ran once; this is its recorded answer.
    Recorded(RecordedAnswer),
    /// The key was used with another body; this request was not run.
    KeyReused,
    /// A call with this key was dispatched and its outcome is unknown; it is not repeated.
    Unknown,
    /// This request was not run and will not be.
    NotRun(ErrorKind),
}

/// The calls of one entry that may not be repeated.
///
/// Pass every record that the fold applied to [`KeyedCalls::observe`], in order. After each event,
/// take the [`KeyedCalls::take_effects`] and carry them out in order.
#[derive(Debug)]
pub struct KeyedCalls {
    writer: Incarnation,
    interval: Duration,
    outbox: Outbox,
    /// Keys of intents that no group contains yet.
    intents: VecDeque<Digest>,
    /// Outcomes that no group contains yet.
    outcomes: VecDeque<Outcome>,
    keys: BTreeMap<Digest, KeyRequests>,
    tickets: BTreeMap<Ticket, Digest>,
    /// Processes that are gone for good; at most [`MAX_GONE_WRITERS`].
    gone: BTreeSet<Incarnation>,
    /// The same processes in the order of their reports, to forget the oldest.
    gone_queue: VecDeque<Incarnation>,
    /// Requests by the deadline of their final answer; may include answered ones.
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Time at which the last group was appended.
    last_group: Option<Instant>,
    log_up: bool,
    effects: Vec<Effect>,
}

/// Requests of this entry for one key.
#[derive(Debug)]
struct KeyRequests {
    body_digest: Digest,
    /// This entry's call, if it reserves or holds the key.
    own: Option<OwnCall>,
    /// Requests that wait for the outcome of the call that holds the key, with their deadlines.
    waiters: BTreeMap<Ticket, Instant>,
}

/// A call of this entry that reserves or holds a key.
#[derive(Debug)]
struct OwnCall {
    call: KeyedCall,
    stage: Stage,
    /// Time from which the call may no longer be dispatched; set when its group is first sent.
    dispatch_until: Option<Instant>,
}

/// Progress of an [`OwnCall`].
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// No group contains the intent yet.
    Queued,
    /// The intent was sent and may be in the log.
    Sent,
    /// The intent was read back from the log as the first for its key.
    Reserved,
    /// The call may have reached an upstream; `answered` is true once its caller got an answer.
    Dispatched { answered: bool },
    /// The call ended; its outcome has not been read back from the log.
    Ended(Option<RecordedAnswer>),
}

impl KeyedCalls {
    /// Returns the state of a new process, which has no calls.
    pub const fn new(writer: Incarnation, interval: Duration) -> Self {
        Self {
            writer,
            interval,
            outbox: Outbox::new(writer),
            intents: VecDeque::new(),
            outcomes: VecDeque::new(),
            keys: BTreeMap::new(),
            tickets: BTreeMap::new(),
            gone: BTreeSet::new(),
            gone_queue: VecDeque::new(),
            deadlines: BTreeSet::new(),
            last_group: None,
            log_up: true,
            effects: Vec::new(),
        }
    }

    /// Sets the time between two groups; see [`group_interval`].
    pub const fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Takes the actions that the entry must carry out now, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns true if no request is open and no outcome remains to be appended.
    pub fn is_idle(&self) -> bool {
        self.tickets.is_empty() && self.outcomes.is_empty() && self.outbox.is_idle()
    }

    /// Starts a call: it is answered, waits for another call, or its intent waits for the next
    /// group.
    pub fn begin(&mut self, call: KeyedCall, keys: &KeyTable, now: Instant) {
        if now >= call.deadline {
            return self.answer(call.ticket, Reply::NotRun(ErrorKind::DeadlinePassed));
        }
        if let Some(requests) = self.keys.get(&call.key) {
            if requests.body_digest != call.body_digest {
                return self.answer(call.ticket, Reply::KeyReused);
            }
            match requests.own.as_ref().map(|own| &own.stage) {
                Some(Stage::Ended(answer)) => {
                    let reply = answer.clone().map_or(Reply::Unknown, Reply::Recorded);
                    return self.answer(call.ticket, reply);
                }
                Some(_) => return self.join(call),
                None => {}
            }
        }
        match keys.get(&call.key) {
            Some(key) if self.is_freed(key) => self.reserve(call),
            Some(_) => self.answer_or_join(call, keys),
            None => self.reserve(call),
        }
    }

    /// Returns true if a request of this process holds the key but was given up. The record that
    /// frees the key then reaches the log before any new intent of this process.
    fn is_freed(&self, key: &ReservedKey) -> bool {
        let pending = key.state == KeyState::Pending;
        pending && key.ticket.entry == self.writer && !self.tickets.contains_key(&key.ticket)
    }

    /// Answers a call whose key another call holds in the log, or lets it wait for that call.
    fn answer_or_join(&mut self, call: KeyedCall, keys: &KeyTable) {
        let Some(key) = keys.get(&call.key) else {
            return self.answer(call.ticket, Reply::NotRun(ErrorKind::Overloaded));
        };
        if key.body_digest != call.body_digest {
            return self.answer(call.ticket, Reply::KeyReused);
        }
        match &key.state {
            KeyState::Answered(answer) => self.answer(call.ticket, Reply::Recorded(answer.clone())),
            KeyState::Unknown => self.answer(call.ticket, Reply::Unknown),
            KeyState::Pending if self.gone.contains(&key.ticket.entry) => {
                self.answer(call.ticket, Reply::Unknown);
            }
            KeyState::Pending => self.join(call),
        }
    }

    fn join(&mut self, call: KeyedCall) {
        let requests = self.requests_mut(&call);
        requests.waiters.insert(call.ticket, call.deadline);
        self.tickets.insert(call.ticket, call.key);
        self.deadlines.insert((call.deadline, call.ticket));
        self.effects.push(Effect::Join(call.ticket));
    }

    fn reserve(&mut self, call: KeyedCall) {
        if !self.log_up {
            return self.answer(call.ticket, Reply::NotRun(ErrorKind::LogOutage));
        }
        let call = KeyedCall { window: Duration::from_secs(call.window.as_secs()), ..call };
        self.requests_mut(&call).own =
            Some(OwnCall { call, stage: Stage::Queued, dispatch_until: None });
        self.tickets.insert(call.ticket, call.key);
        self.deadlines.insert((call.deadline, call.ticket));
        self.intents.push_back(call.key);
    }

    fn requests_mut(&mut self, call: &KeyedCall) -> &mut KeyRequests {
        let empty =
            || KeyRequests { body_digest: call.body_digest, own: None, waiters: BTreeMap::new() };
        self.keys.entry(call.key).or_insert_with(empty)
    }

    fn answer(&mut self, ticket: Ticket, reply: Reply) {
        self.effects.push(Effect::Answer(ticket, reply));
    }

    /// Marks the append with this sequence as unconfirmed: its answer was lost, so the record may
    /// or may not be in the log.
    pub fn mark_answer_lost(&mut self, sequence: u64) {
        self.outbox.mark_answer_lost(sequence);
    }

    /// Returns true if the answer to an append was lost. The caller then requests the log's end
    /// offset, reads the log up to it and calls [`KeyedCalls::retry_append`].
    pub fn has_lost_answer(&self) -> bool {
        self.outbox.has_lost_answer()
    }

    /// Sends again the append whose answer was lost. Call this once the log has been read up to an
    /// end offset that was requested after the loss.
    pub fn retry_append(&mut self) {
        if let Some(append) = self.outbox.retry_append() {
            self.effects.push(Effect::Append(append));
        }
    }

    /// Sets whether the log can be reached. While it can't, calls that are not dispatched yet are
    /// answered as not run at once.
    pub fn set_log_up(&mut self, up: bool) {
        self.log_up = up;
        if up {
            return;
        }
        let waiting = self.own_tickets(|stage| matches!(stage, Stage::Queued | Stage::Sent));
        for ticket in waiting {
            self.give_up(ticket, ErrorKind::LogOutage);
        }
    }

    fn own_tickets(&self, wanted: impl Fn(&Stage) -> bool) -> Vec<Ticket> {
        let own = self.keys.values().filter_map(|requests| requests.own.as_ref());
        own.filter(|own| wanted(&own.stage)).map(|own| own.call.ticket).collect()
    }

    /// Updates the calls after the fold applied a record.
    pub fn observe(&mut self, applied: &Applied, keys: &KeyTable) {
        let calls = applied.id.filter(|id| id.class == Class::Calls);
        let own = calls.is_some_and(|id| self.outbox.confirm(id.writer, id.sequence));
        let FoldEffect::Keys(events) = &applied.effect else {
            return;
        };
        for event in events {
            self.observe_event(*event, own, keys);
        }
    }

    /// `own` is true if the record is the group in flight. A duplicate of an older group that the
    /// fold has forgotten must not dispatch anything.
    fn observe_event(&mut self, event: KeyEvent, own: bool, keys: &KeyTable) {
        match event.change {
            KeyChange::Reserved if own => self.observe_reserved(event),
            KeyChange::Taken if own => self.observe_taken(event, keys),
            KeyChange::TableFull if own => self.give_up(event.ticket, ErrorKind::Overloaded),
            KeyChange::Reserved | KeyChange::Taken | KeyChange::TableFull => {}
            KeyChange::Ended => self.observe_ended(event, keys),
            KeyChange::Freed => self.observe_freed(event),
            KeyChange::Expired => self.observe_expired(event),
        }
    }

    /// Dispatches a call whose key is reserved, or frees the key if the call was given up since.
    fn observe_reserved(&mut self, event: KeyEvent) {
        let own = self.own_mut(event.key, event.ticket);
        if let Some(own) = own.filter(|own| own.stage == Stage::Sent) {
            own.stage = Stage::Reserved;
            self.effects.push(Effect::Dispatch(event.ticket));
        } else {
            self.push_outcome(event.key, event.ticket, Ending::NotRun(NotRun {}));
        }
    }

    fn observe_taken(&mut self, event: KeyEvent, keys: &KeyTable) {
        if self.own_mut(event.key, event.ticket).is_none() {
            return;
        }
        let Some(requests) = self.keys.remove(&event.key) else {
            return;
        };
        let Some(own) = requests.own else {
            return;
        };
        let waiters = requests.waiters.iter();
        let waiting =
            waiters.map(|(&ticket, &deadline)| KeyedCall { ticket, deadline, ..own.call });
        for call in std::iter::once(own.call).chain(waiting) {
            self.tickets.remove(&call.ticket);
            self.answer_or_join(call, keys);
        }
    }

    fn observe_ended(&mut self, event: KeyEvent, keys: &KeyTable) {
        let reply = match keys.get(&event.key).map(|key| &key.state) {
            Some(KeyState::Answered(answer)) => Reply::Recorded(answer.clone()),
            _ => Reply::Unknown,
        };
        self.close(event, reply);
    }

    fn observe_freed(&mut self, event: KeyEvent) {
        self.close(event, Reply::NotRun(ErrorKind::Overloaded));
    }

    fn observe_expired(&mut self, event: KeyEvent) {
        let own = self.own_mut(event.key, event.ticket).map(|own| own.stage.clone());
        match own {
            Some(Stage::Reserved) => self.give_up(event.ticket, ErrorKind::DeadlinePassed),
            Some(Stage::Dispatched { answered: false }) => {
                self.answer(event.ticket, Reply::Unknown);
                self.close(event, Reply::Unknown);
            }
            _ => self.close(event, Reply::Unknown),
        }
    }

    /// Answers the requests that wait for the call of `event` and removes the call.
    fn close(&mut self, event: KeyEvent, reply: Reply) {
        let Some(requests) = self.keys.get_mut(&event.key) else {
            return;
        };
        let ticket = requests.own.as_ref().map(|own| own.call.ticket);
        if ticket.is_some_and(|ticket| ticket != event.ticket) {
            return;
        }
        let waiters = std::mem::take(&mut requests.waiters);
        self.keys.remove(&event.key);
        if let Some(ticket) = ticket {
            self.tickets.remove(&ticket);
        }
        for ticket in waiters.into_keys() {
            self.tickets.remove(&ticket);
            self.answer(ticket, reply.clone());
        }
    }

    /// Brings the calls up to date after the fold resumed from a snapshot and skipped records.
    ///
    /// If a call's intent was among the skipped records, the key table decides whether the call is
    /// dispatched, waits or is answered. Otherwise it keeps waiting for its append, which is
    /// retried.
    pub fn resync(&mut self, keys: &KeyTable) {
        for digest in self.keys.keys().copied().collect::<Vec<_>>() {
            let Some(requests) = self.keys.get(&digest) else {
                continue;
            };
            let own = requests.own.as_ref().map(|own| (own.call.ticket, own.stage.clone()));
            match own {
                Some((ticket, Stage::Sent)) => self.resync_sent(digest, ticket, keys),
                Some((ticket, Stage::Ended(_))) => self.resync_ended(digest, ticket, keys),
                Some(_) => {}
                None => self.resync_waiters(digest, keys),
            }
        }
    }

    fn resync_sent(&mut self, key: Digest, ticket: Ticket, keys: &KeyTable) {
        let Some(holder) = keys.get(&key).map(|reserved| reserved.ticket) else {
            return;
        };
        if holder == ticket {
            self.observe_reserved(KeyEvent { key, ticket, change: KeyChange::Reserved });
        } else {
            self.observe_taken(KeyEvent { key, ticket, change: KeyChange::Taken }, keys);
        }
    }

    fn resync_ended(&mut self, key: Digest, ticket: Ticket, keys: &KeyTable) {
        let pending = keys.get(&key).is_some_and(|reserved| reserved.state == KeyState::Pending);
        if !pending {
            self.observe_ended(KeyEvent { key, ticket, change: KeyChange::Ended }, keys);
        }
    }

    /// Answers requests that wait for another process's call if that call ended or its key is no
    /// longer kept.
    fn resync_waiters(&mut self, key: Digest, keys: &KeyTable) {
        let Some(reserved) = keys.get(&key) else {
            let event = KeyEvent { key, ticket: Ticket::default(), change: KeyChange::Expired };
            return self.close(event, Reply::Unknown);
        };
        if reserved.state != KeyState::Pending {
            let event = KeyEvent { key, ticket: reserved.ticket, change: KeyChange::Ended };
            self.observe_ended(event, keys);
        }
    }

    fn own_mut(&mut self, key: Digest, ticket: Ticket) -> Option<&mut OwnCall> {
        let own = self.keys.get_mut(&key)?.own.as_mut()?;
        (own.call.ticket == ticket).then_some(own)
    }

    /// Returns true if the call may be written to an upstream at `now`, and marks it as dispatched.
    /// Call this right before each write, including one to another upstream after the previous
    /// upstream proved that it did not run the call.
    ///
    /// If it returns false for a call that was never dispatched, the call is given up and answered.
    /// A call that was dispatched before needs [`KeyedCalls::mark_not_run`].
    pub fn try_dispatch(&mut self, ticket: Ticket, now: Instant) -> bool {
        let Some(&key) = self.tickets.get(&ticket) else {
            return false;
        };
        let Some(own) = self.own_mut(key, ticket) else {
            return false;
        };
        let timely = now < own.call.deadline && own.dispatch_until.is_some_and(|until| now < until);
        match own.stage {
            Stage::Reserved if timely => {
                own.stage = Stage::Dispatched { answered: false };
                true
            }
            Stage::Dispatched { .. } => timely,
            Stage::Reserved => {
                self.give_up(ticket, ErrorKind::DeadlinePassed);
                false
            }
            _ => false,
        }
    }

    /// Records the answer to a dispatched call, or that its outcome is unknown (`None`).
    pub fn mark_ended(&mut self, ticket: Ticket, answer: Option<RecordedAnswer>) {
        let Some(&key) = self.tickets.get(&ticket) else {
            return;
        };
        let Some(own) = self.own_mut(key, ticket) else {
            return;
        };
        if !matches!(own.stage, Stage::Dispatched { .. }) {
            return;
        }
        own.stage = Stage::Ended(answer.clone());
        let reply = answer.clone().map_or(Reply::Unknown, Reply::Recorded);
        let ending = answer.map_or(Ending::Unknown(Unknown {}), Ending::Answered);
        self.push_outcome(key, ticket, ending);
        let waiters = self.keys.get_mut(&key).map(|requests| std::mem::take(&mut requests.waiters));
        for ticket in waiters.unwrap_or_default().into_keys() {
            self.tickets.remove(&ticket);
            self.answer(ticket, reply.clone());
        }
    }

    /// Gives up a call that is proven not to have run: it was never dispatched, or the side process
    /// refused or withdrew it. The key becomes free, and requests that wait for the call are
    /// answered too.
    pub fn mark_not_run(&mut self, ticket: Ticket, kind: ErrorKind) {
        self.give_up(ticket, kind);
    }

    /// Handles a request whose caller disconnected; a call that is not dispatched yet is given up.
    pub fn abandon(&mut self, ticket: Ticket) {
        let Some(&key) = self.tickets.get(&ticket) else {
            return;
        };
        match self.own_mut(key, ticket).map(|own| own.stage.clone()) {
            Some(Stage::Queued | Stage::Sent | Stage::Reserved) => {
                self.give_up(ticket, ErrorKind::CallerGone);
            }
            Some(Stage::Dispatched { .. } | Stage::Ended(_)) => {}
            None => self.remove_waiter(key, ticket),
        }
    }

    /// Removes a request that waits for another request's call.
    fn remove_waiter(&mut self, key: Digest, ticket: Ticket) {
        self.tickets.remove(&ticket);
        let Some(requests) = self.keys.get_mut(&key) else {
            return;
        };
        requests.waiters.remove(&ticket);
        if requests.own.is_none() && requests.waiters.is_empty() {
            self.keys.remove(&key);
        }
    }

    /// Removes an own call, then answers it and the requests that wait for it as not run.
    fn give_up(&mut self, ticket: Ticket, kind: ErrorKind) {
        let Some(&key) = self.tickets.get(&ticket) else {
            return;
        };
        if self.own_mut(key, ticket).is_none() {
            return;
        }
        let Some(requests) = self.keys.remove(&key) else {
            return;
        };
        let Some(own) = requests.own else {
            return;
        };
        match own.stage {
            Stage::Queued | Stage::Sent => {}
            Stage::Reserved | Stage::Dispatched { .. } => {
                self.push_outcome(key, ticket, Ending::NotRun(NotRun {}));
            }
            Stage::Ended(_) => return,
        }
        self.tickets.remove(&ticket);
        if own.stage != (Stage::Dispatched { answered: true }) {
            self.answer(ticket, Reply::NotRun(kind));
        }
        for ticket in requests.waiters.into_keys() {
            self.tickets.remove(&ticket);
            self.answer(ticket, Reply::NotRun(kind));
        }
    }

    /// Marks a process as gone for good: its calls without a recorded outcome count as unknown.
    pub fn mark_gone(&mut self, writer: Incarnation, keys: &KeyTable) {
        if writer == self.writer || !self.gone.insert(writer) {
            return;
        }
        self.gone_queue.push_back(writer);
        if self.gone_queue.len() > MAX_GONE_WRITERS
            && let Some(oldest) = self.gone_queue.pop_front()
        {
            self.gone.remove(&oldest);
        }
        let joined =
            self.keys.iter().filter(|(_, requests)| requests.own.is_none()).map(|(key, _)| *key);
        let orphaned = joined.filter_map(|digest| {
            let key = keys.get(&digest)?;
            let pending = key.state == KeyState::Pending && key.ticket.entry == writer;
            let change = KeyChange::Expired;
            pending.then_some(KeyEvent { key: digest, ticket: key.ticket, change })
        });
        for event in orphaned.collect::<Vec<_>>() {
            self.close(event, Reply::Unknown);
        }
    }

    /// Answers requests whose deadline has passed and appends a group if one is due.
    pub fn run_timers(&mut self, now: Instant) {
        self.expire(now);
        self.send_group(now);
    }

    /// Returns the time at which [`KeyedCalls::run_timers`] is next needed.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        let group =
            self.is_group_due().then(|| self.last_group.map_or(now, |last| last + self.interval));
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        group.into_iter().chain(deadline).min()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            self.deadlines.pop_first();
            self.expire_one(ticket);
        }
    }

    fn expire_one(&mut self, ticket: Ticket) {
        let Some(&key) = self.tickets.get(&ticket) else {
            return;
        };
        let Some(own) = self.own_mut(key, ticket) else {
            self.remove_waiter(key, ticket);
            return self.answer(ticket, Reply::Unknown);
        };
        match &mut own.stage {
            Stage::Queued | Stage::Sent | Stage::Reserved => {
                self.give_up(ticket, ErrorKind::DeadlinePassed);
            }
            Stage::Dispatched { answered } if !*answered => {
                *answered = true;
                self.answer(ticket, Reply::Unknown);
            }
            Stage::Dispatched { .. } | Stage::Ended(_) => {}
        }
    }

    fn send_group(&mut self, now: Instant) {
        let too_early = self.last_group.is_some_and(|last| now < last + self.interval);
        if too_early || !self.is_group_due() {
            return;
        }
        let group = self.take_group(now);
        if group.intents.is_empty() && group.outcomes.is_empty() {
            return;
        }
        self.last_group = Some(now);
        // `MAX_GROUP_BYTES` keeps a group below the size limit of a record.
        if self.outbox.push(Body::CallGroup(group)).is_ok()
            && let Some(append) = self.outbox.pop()
        {
            self.effects.push(Effect::Append(append));
        }
    }

    fn is_group_due(&self) -> bool {
        let waiting = !self.intents.is_empty() || !self.outcomes.is_empty();
        waiting && self.outbox.is_idle()
    }

    /// Takes the next group. Outcomes come first, so that an intent of the same group can reserve a
    /// key that one of them frees.
    fn take_group(&mut self, now: Instant) -> body::CallGroup {
        let mut group = body::CallGroup::default();
        let mut bytes = 0;
        while bytes < MAX_GROUP_BYTES
            && let Some(outcome) = self.outcomes.pop_front()
        {
            bytes += OUTCOME_BYTES + outcome.answer_bytes();
            group.outcomes.push(outcome);
        }
        while bytes < MAX_GROUP_BYTES
            && let Some(key) = self.intents.pop_front()
        {
            bytes += INTENT_BYTES;
            group.intents.extend(self.make_intent(key, now));
        }
        group
    }

    fn make_intent(&mut self, key: Digest, now: Instant) -> Option<Intent> {
        let own = self.keys.get_mut(&key)?.own.as_mut()?;
        if own.stage != Stage::Queued {
            return None;
        }
        let call = own.call;
        own.stage = Stage::Sent;
        own.dispatch_until =
            Some(now + call.window * (WINDOW_MARGIN_DIVISOR - 1) / WINDOW_MARGIN_DIVISOR);
        Some(Intent {
            key: Bytes::copy_from_slice(key.as_bytes()),
            body_digest: Bytes::copy_from_slice(call.body_digest.as_bytes()),
            ticket: Some(TicketId::from(call.ticket)),
            window_s: call.window.as_secs(),
        })
    }

    fn push_outcome(&mut self, key: Digest, ticket: Ticket, ending: Ending) {
        self.outcomes.push_back(Outcome {
            key: Bytes::copy_from_slice(key.as_bytes()),
            ticket: Some(TicketId::from(ticket)),
            ending: Some(ending),
        });
    }
}

impl Outcome {
    /// Returns the length of the recorded answer, in bytes.
    fn answer_bytes(&self) -> usize {
        match &self.ending {
            Some(Ending::Answered(answer)) => {
                answer.content_type.len() + answer.body.as_ref().map_or(0, Bytes::len)
            }
            _ => 0,
        }
    }
}
