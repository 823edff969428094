//! Admission queue of a side process.
//!
//! Work starts strictly by tier, then fairly among teams by tokens, then by deadline. Work that
//! can't finish by its deadline is refused before its prefill. A full queue displaces work of its
//! lowest tier, newest first. The queue only decides: the caller starts the work that
//! [`Queue::next`] returns and immediately reports discarded work as not executed.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use egretgate_core::limit::{Estimate, Headroom};
//! use egretgate_core::queue::{OfferOutcome, Queue, QueueOptions, Work};
//! use egretgate_core::{Digest, Ticket};
//! use rand::SeedableRng;
//!
//! let now = Instant::now();
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let mut queue = Queue::new(QueueOptions::default(), now);
//! let work = Work {
//!     ticket: Ticket::new(1, 1),
//!     team: "mills".to_owned(),
//!     tier: 0,
//!     weight: 1,
//!     deadline: now + Duration::from_secs(30),
//!     prompt_tokens: 120,
//!     output_tokens: 300,
//!     digest: Digest::of(&[b"body"]),
//!     exclusive: false,
//!     version: String::new(),
//! };
//! let offered = queue.offer(work, "payload", now, &Estimate::default(), &mut rng);
//! assert!(matches!(offered, OfferOutcome::Queued { .. }));
//! let headroom = Headroom { requests: 1, tokens: 1000, running: 0, exclusive: false };
//! assert_eq!(queue.next(now, headroom).map(|queued| queued.payload), Some("payload"));
//! ```

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::error::{Error, ErrorKind};
use crate::ids::{Digest, MAX_TIERS, TeamId, Ticket, Tier, VersionId};
use crate::limit::{Estimate, Headroom};
use crate::retry::draw_retry_after;

mod exclusive_turn;
mod tier_queue;

use exclusive_turn::ExclusiveTurn;
use tier_queue::TierQueue;

/// Time from the latest start of work to its expiry. [`Queue::expire`] keeps work whose latest start
/// is now, so the wakeup must be later.
const EXPIRY_DELAY: Duration = Duration::from_millis(1);

new_key_type! {
    /// Key of queued work.
    pub struct WorkKey;
}

/// A request as the queue handles it.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Team that is charged for it.
    pub team: TeamId,
    /// Tier; values of [`MAX_TIERS`] or more count as the lowest tier.
    pub tier: Tier,
    /// Weight of the team among the teams of the tier; 0 counts as 1.
    pub weight: u32,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length, in tokens.
    pub output_tokens: u32,
    /// Digest by which the request is quarantined.
    pub digest: Digest,
    /// True for a suspect of the quarantine, which must run with no other request beside it.
    pub exclusive: bool,
    /// Version that must run it; empty means any version.
    pub version: VersionId,
}

impl Work {
    /// Returns the number of tokens that the team is charged for the work.
    pub const fn tokens(&self) -> u64 {
        self.prompt_tokens as u64 + self.output_tokens as u64
    }

    fn tier_index(&self) -> usize {
        usize::from(self.tier).min(MAX_TIERS - 1)
    }
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueOptions {
    /// Maximum number of queued requests; at least 1.
    pub capacity: usize,
    /// Number of queued tokens from which the queue is full.
    pub token_capacity: u64,
    /// Tokens that a team of weight 1 may start in one round of deficit round robin.
    pub quantum: u32,
    /// Time for which other work of its tier may still start after a suspect first missed its turn;
    /// then starts are held back for the suspect.
    pub suspect_delay: Duration,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self {
            capacity: 256,
            token_capacity: u64::MAX,
            quantum: 2048,
            suspect_delay: Duration::from_millis(250),
        }
    }
}

/// Work with its payload.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedWork<T> {
    /// The work.
    pub work: Work,
    /// Value that the caller stored with it.
    pub payload: T,
    /// Time at which it was offered.
    pub queued_at: Instant,
}

/// Work that left the queue without being executed.
#[derive(Debug, Clone, PartialEq)]
pub struct DiscardedWork<T> {
    /// The work.
    pub queued: QueuedWork<T>,
    /// Reason, with the retry-after time.
    pub error: Error,
}

/// Result of [`Queue::offer`].
#[derive(Debug, Clone, PartialEq)]
pub enum OfferOutcome<T> {
    /// The work is queued.
    Queued {
        /// Work of lower tiers that was displaced, proven not executed.
        displaced: Vec<DiscardedWork<T>>,
    },
    /// The work was neither queued nor executed.
    Refused {
        /// Reason, with the retry-after time.
        error: Error,
        /// Payload of the offer.
        payload: T,
    },
    /// The ticket is already queued; nothing changed.
    Duplicate {
        /// Payload of the offer.
        payload: T,
    },
}

/// Queued work with the keys of its index entries.
#[derive(Debug, Clone)]
struct Item<T> {
    queued: QueuedWork<T>,
    /// Position among all offers; of one tier, the newest is displaced first.
    sequence: u64,
    /// Latest start that still meets the deadline; its key in `Queue::latest_starts`.
    latest_start: Instant,
}

/// Admission queue with payloads of type `T`.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    options: QueueOptions,
    items: SlotMap<WorkKey, Item<T>>,
    /// Key of each ticket in `items`.
    tickets: HashMap<Ticket, WorkKey>,
    /// Queue of each tier; together they contain each key of `items` once.
    tiers: [TierQueue; MAX_TIERS],
    /// Keys of `items` by latest start.
    latest_starts: BTreeSet<(Instant, WorkKey)>,
    /// Estimate from which `latest_starts` was computed.
    estimate: Estimate,
    /// Decides when starts are held back for the most urgent suspect.
    exclusive_turn: ExclusiveTurn,
    sequence: u64,
    /// Time of creation, used in place of latest starts that `Instant` can't represent.
    epoch: Instant,
    /// True once [`Queue::drain`] was called; all later offers are refused.
    closed: bool,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(options: QueueOptions, now: Instant) -> Self {
        Self {
            options: QueueOptions { capacity: options.capacity.max(1), ..options },
            items: SlotMap::with_key(),
            tickets: HashMap::new(),
            tiers: std::array::from_fn(|_| TierQueue::default()),
            latest_starts: BTreeSet::new(),
            estimate: Estimate::default(),
            exclusive_turn: ExclusiveTurn::new(options.suspect_delay),
            sequence: 0,
            epoch: now,
            closed: false,
        }
    }

    /// Offers work.
    ///
    /// It is refused if it can't finish by its deadline after the work that starts before it, or if
    /// the queue is full and has no work of a lower tier. Otherwise it is queued, and a full queue
    /// displaces work of its lowest tier, newest first.
    pub fn offer(
        &mut self,
        work: Work,
        payload: T,
        now: Instant,
        estimate: &Estimate,
        rng: &mut impl Rng,
    ) -> OfferOutcome<T> {
        if self.tickets.contains_key(&work.ticket) {
            return OfferOutcome::Duplicate { payload };
        }
        self.update_estimate(estimate);
        if let Some(error) = self.refusal(&work, now, estimate, rng) {
            return OfferOutcome::Refused { error, payload };
        }
        let mut displaced = Vec::new();
        while self.is_full() {
            let Some(key) = self.newest_below(work.tier_index()) else { break };
            let queued = self.remove(key).queued;
            displaced.push(discard(queued, ErrorKind::Overloaded, now, estimate, rng));
        }
        self.insert(work, payload, now);
        OfferOutcome::Queued { displaced }
    }

    /// Removes and returns the work to start next, if `headroom` allows a start.
    ///
    /// Call [`Queue::expire`] first, so that no work starts that can't meet its deadline.
    pub fn next(&mut self, now: Instant, headroom: Headroom) -> Option<QueuedWork<T>> {
        self.next_matching(now, headroom, |_| true)
    }

    /// Removes and returns the next work that `accept` allows, like [`Queue::next`].
    ///
    /// Callers use it to skip work for a version that no free engine runs.
    pub fn next_matching(
        &mut self,
        now: Instant,
        headroom: Headroom,
        accept: impl Fn(&Work) -> bool,
    ) -> Option<QueuedWork<T>> {
        if headroom.exclusive || headroom.requests == 0 {
            return None;
        }
        let suspect = self.next_suspect(&accept);
        let regular = self.next_regular(&accept);
        if let Some((tier, key)) = suspect {
            if headroom.running == 0 {
                if self.exclusive_turn.goes_first(tier, regular.map(|(tier, _)| tier)) {
                    self.exclusive_turn.record_suspect_start();
                    return Some(self.remove(key).queued);
                }
            } else if regular.is_none_or(|(other, _)| other >= tier) {
                self.exclusive_turn.record_missed(now);
                if self.exclusive_turn.blocks_starts(now) {
                    return None;
                }
            }
        }
        let (_, key) = regular?;
        let tokens = self.items[key].queued.work.tokens();
        if headroom.running > 0 && tokens > headroom.tokens {
            return None;
        }
        self.exclusive_turn.record_regular_start();
        Some(self.start(key))
    }

    /// Discards the work that can no longer finish by its deadline, even if started now.
    pub fn expire(
        &mut self,
        now: Instant,
        estimate: &Estimate,
        rng: &mut impl Rng,
    ) -> Vec<DiscardedWork<T>> {
        self.update_estimate(estimate);
        let mut discarded = Vec::new();
        while let Some(&(latest_start, key)) = self.latest_starts.first() {
            if latest_start >= now {
                break;
            }
            let queued = self.remove(key).queued;
            let kind = if queued.work.deadline <= now {
                ErrorKind::DeadlinePassed
            } else {
                ErrorKind::DeadlineHopeless
            };
            discarded.push(discard(queued, kind, now, estimate, rng));
        }
        discarded
    }

    /// Returns the next time at which [`Queue::expire`] or [`Queue::next`] may return something
    /// without any other event.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let expiry =
            self.latest_starts.first().map(|&(latest_start, _)| latest_start + EXPIRY_DELAY);
        let span_end = self.exclusive_turn.span_end(now);
        expiry.into_iter().chain(span_end).min()
    }

    /// Removes queued work. Returned work was not executed and will not be; `None` does not prove
    /// that the work was executed.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<QueuedWork<T>> {
        let key = self.tickets.get(&ticket).copied()?;
        Some(self.remove(key).queued)
    }

    /// Closes the queue permanently and discards all queued work, most urgent tier first.
    pub fn drain(
        &mut self,
        now: Instant,
        estimate: &Estimate,
        rng: &mut impl Rng,
    ) -> Vec<DiscardedWork<T>> {
        self.closed = true;
        let keys: Vec<_> = self.tiers.iter().flat_map(TierQueue::keys).collect();
        let mut discarded = Vec::with_capacity(keys.len());
        for key in keys {
            let queued = self.remove(key).queued;
            discarded.push(discard(queued, ErrorKind::Stopping, now, estimate, rng));
        }
        discarded
    }

    /// Charges a team for the difference between the estimated and actual length of an answer.
    ///
    /// Does nothing if the team has no queued work in the tier.
    pub fn correct_charge(&mut self, tier: Tier, team: &str, estimated: u32, actual: u32) {
        let index = usize::from(tier).min(MAX_TIERS - 1);
        self.tiers[index].correct_charge(team, i64::from(actual) - i64::from(estimated));
    }

    /// Returns the lowest tier with queued work.
    pub fn lowest_tier(&self) -> Option<Tier> {
        (0..MAX_TIERS).rev().find(|&tier| !self.tiers[tier].is_empty()).map(|tier| tier as Tier)
    }

    /// Returns the tier from which offers are refused now, or `None` if none are.
    pub fn shed_tier(&self) -> Option<Tier> {
        if self.closed { Some(0) } else { self.lowest_tier().filter(|_| self.is_full()) }
    }

    /// Sets the maximum number of queued requests, at least 1. Requests already queued beyond it
    /// stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.options.capacity = capacity.max(1);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns true if nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of tokens of all queued work.
    pub fn tokens(&self) -> u64 {
        self.tiers.iter().map(TierQueue::tokens).sum()
    }

    /// Returns the number of queued tokens that start before new work of `team` in `tier` with
    /// `deadline`.
    pub fn tokens_ahead(&self, tier: Tier, team: &str, weight: u32, deadline: Instant) -> u64 {
        let index = usize::from(tier).min(MAX_TIERS - 1);
        let higher: u64 = self.tiers[..index].iter().map(TierQueue::tokens).sum();
        let own =
            self.tiers[index].tokens_ahead(team, weight, deadline, self.options.quantum, |key| {
                self.items[key].queued.work.tokens()
            });
        higher + own
    }

    /// Returns true if the ticket is queued.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.tickets.contains_key(&ticket)
    }

    fn is_full(&self) -> bool {
        self.items.len() >= self.options.capacity || self.tokens() >= self.options.token_capacity
    }

    fn refusal(
        &self,
        work: &Work,
        now: Instant,
        estimate: &Estimate,
        rng: &mut impl Rng,
    ) -> Option<Error> {
        let ahead = self.tokens_ahead(work.tier, &work.team, work.weight, work.deadline);
        let wait = estimate.wait_time(ahead);
        let kind = if self.closed {
            ErrorKind::Stopping
        } else if work.deadline <= now {
            ErrorKind::DeadlinePassed
        } else if now + wait + estimate.service_time(work.prompt_tokens, work.output_tokens)
            > work.deadline
        {
            ErrorKind::DeadlineHopeless
        } else if self.is_full() && self.newest_below(work.tier_index()).is_none() {
            ErrorKind::Overloaded
        } else {
            return None;
        };
        Some(refusal_error(kind, wait, rng))
    }

    fn insert(&mut self, work: Work, payload: T, now: Instant) {
        let sequence = self.sequence;
        self.sequence += 1;
        let latest_start = latest_start(&work, &self.estimate, self.epoch);
        let tier = work.tier_index();
        let ticket = work.ticket;
        let queued = QueuedWork { work, payload, queued_at: now };
        let key = self.items.insert(Item { queued, sequence, latest_start });
        self.tickets.insert(ticket, key);
        self.latest_starts.insert((latest_start, key));
        self.tiers[tier].insert(key, sequence, &self.items[key].queued.work);
    }

    /// Removes work from the queue and its indexes, without a charge.
    fn remove(&mut self, key: WorkKey) -> Item<T> {
        let item = self.items.remove(key).expect("indexes contain only queued work");
        let work = &item.queued.work;
        self.tickets.remove(&work.ticket);
        self.latest_starts.remove(&(item.latest_start, key));
        self.tiers[work.tier_index()].remove(key, item.sequence, work);
        if self.tiers.iter().all(|tier| !tier.has_suspects()) {
            self.exclusive_turn.clear();
        }
        item
    }

    /// Removes work to start it, and charges its team.
    fn start(&mut self, key: WorkKey) -> QueuedWork<T> {
        let work = &self.items[key].queued.work;
        let tier = work.tier_index();
        self.tiers[tier].charge(work);
        self.remove(key).queued
    }

    fn next_suspect(&self, accept: &impl Fn(&Work) -> bool) -> Option<(usize, WorkKey)> {
        let items = &self.items;
        let allowed = |key: WorkKey| accept(&items[key].queued.work);
        self.tiers
            .iter()
            .enumerate()
            .find_map(|(tier, queue)| queue.first_suspect(&allowed).map(|key| (tier, key)))
    }

    fn next_regular(&mut self, accept: &impl Fn(&Work) -> bool) -> Option<(usize, WorkKey)> {
        let items = &self.items;
        let cost = |key: WorkKey| {
            let work = &items[key].queued.work;
            accept(work).then(|| work.tokens())
        };
        let quantum = self.options.quantum;
        self.tiers
            .iter_mut()
            .enumerate()
            .find_map(|(tier, queue)| queue.select(quantum, &cost).map(|key| (tier, key)))
    }

    /// Returns the newest work of the lowest non-empty tier, if that tier is lower than `tier`.
    fn newest_below(&self, tier: usize) -> Option<WorkKey> {
        self.tiers[tier + 1..].iter().rev().find_map(TierQueue::newest)
    }

    /// Recomputes the latest start of each request if the estimated speed has changed by more than
    /// [`Estimate::SPEED_TOLERANCE`].
    fn update_estimate(&mut self, estimate: &Estimate) {
        if self.estimate.is_near(estimate) {
            return;
        }
        self.estimate = *estimate;
        let epoch = self.epoch;
        let reindex = |(key, item): (WorkKey, &mut Item<T>)| {
            item.latest_start = latest_start(&item.queued.work, estimate, epoch);
            (item.latest_start, key)
        };
        self.latest_starts = self.items.iter_mut().map(reindex).collect();
    }
}

/// Returns the latest start that still meets the deadline, or `epoch` if `Instant` can't represent
/// it.
fn latest_start(work: &Work, estimate: &Estimate, epoch: Instant) -> Instant {
    let service_time = estimate.service_time(work.prompt_tokens, work.output_tokens);
    work.deadline.checked_sub(service_time).unwrap_or(epoch)
}

fn discard<T>(
    queued: QueuedWork<T>,
    kind: ErrorKind,
    now: Instant,
    estimate: &Estimate,
    rng: &mut impl Rng,
) -> DiscardedWork<T> {
    let waited = now.saturating_duration_since(queued.queued_at);
    let error = refusal_error(kind, waited.max(estimate.slot_wait), rng);
    DiscardedWork { queued, error }
}

fn refusal_error(kind: ErrorKind, wait: Duration, rng: &mut impl Rng) -> Error {
    let detail = match kind {
        ErrorKind::Overloaded => "the queue is full and contains no lower tier",
        ErrorKind::DeadlineHopeless => "the answer can't be complete by the deadline",
        ErrorKind::DeadlinePassed => "the deadline has passed",
        _ => "the side process is stopping",
    };
    Error::new(kind, detail).with_retry_after(draw_retry_after(wait, 1.0, rng))
}
