//! Queued work of one tier, shared fairly among teams.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

use super::{Work, WorkKey};
use crate::ids::TeamId;

new_key_type! {
    struct TeamKey;
}

/// Maximum tokens that a team may owe or be owed after [`TierQueue::correct_charge`].
const MAX_DEBT_TOKENS: i64 = 1 << 20;

/// Queued work of one team in a tier.
#[derive(Debug, Clone)]
struct TeamQueue {
    name: TeamId,
    /// Work by deadline, then by sequence number. Never empty.
    work: BTreeMap<(Instant, u64), WorkKey>,
    /// Tokens of `work`.
    tokens: u64,
    /// Weight of the team; at least 1.
    weight: u32,
    /// Tokens that the team may start now; negative if it owes some.
    deficit: i64,
    /// True if this turn has already added its grant to the deficit.
    granted: bool,
}

impl TeamQueue {
    fn new(name: TeamId) -> Self {
        Self { name, work: BTreeMap::new(), tokens: 0, weight: 1, deficit: 0, granted: false }
    }

    const fn round_grant(&self, quantum: u32) -> i64 {
        self.weight as i64 * quantum as i64
    }

    /// Returns the work with the earliest deadline for which `cost` returns a value, and its cost.
    fn head(&self, cost: &impl Fn(WorkKey) -> Option<u64>) -> Option<(WorkKey, i64)> {
        self.work.values().find_map(|&key| cost(key).map(|cost| (key, cost as i64)))
    }
}

/// Queued work of one tier.
///
/// Teams take turns by deficit round robin (Shreedhar and Varghese, "Efficient Fair Queueing Using
/// Deficit Round Robin", SIGCOMM '95), counted in tokens, with a quantum in proportion to the
/// team's weight.
#[derive(Debug, Clone, Default)]
pub(super) struct TierQueue {
    /// All work of the tier by sequence number.
    by_age: BTreeMap<u64, WorkKey>,
    teams: SlotMap<TeamKey, TeamQueue>,
    /// Key of each team in `teams`, by name.
    team_keys: HashMap<TeamId, TeamKey>,
    /// Keys of `teams` in the order of their turns.
    turns: VecDeque<TeamKey>,
    /// Suspects by deadline, then by sequence number; these are in no team's queue.
    suspects: BTreeMap<(Instant, u64), WorkKey>,
    /// Tokens of the work in `by_age`.
    tokens: u64,
    /// Sum of the weights of `teams`.
    total_weight: u64,
}

impl TierQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = WorkKey> {
        self.by_age.values().copied()
    }

    pub(super) fn newest(&self) -> Option<WorkKey> {
        self.by_age.last_key_value().map(|(_, &key)| key)
    }

    pub(super) fn first_suspect(&self, accept: &impl Fn(WorkKey) -> bool) -> Option<WorkKey> {
        self.suspects.values().copied().find(|&key| accept(key))
    }

    pub(super) fn insert(&mut self, key: WorkKey, sequence: u64, work: &Work) {
        self.by_age.insert(sequence, key);
        self.tokens += work.tokens();
        if work.exclusive {
            self.suspects.insert((work.deadline, sequence), key);
            return;
        }
        let team = self.add_team(&work.team);
        let queue = &mut self.teams[team];
        self.total_weight -= u64::from(queue.weight);
        queue.weight = work.weight.max(1);
        self.total_weight += u64::from(queue.weight);
        queue.tokens += work.tokens();
        queue.work.insert((work.deadline, sequence), key);
    }

    pub(super) fn remove(&mut self, key: WorkKey, sequence: u64, work: &Work) {
        let removed = self.by_age.remove(&sequence);
        debug_assert_eq!(removed, Some(key));
        self.tokens -= work.tokens();
        if work.exclusive {
            self.suspects.remove(&(work.deadline, sequence));
            return;
        }
        let team = self.team_keys[&work.team];
        let queue = &mut self.teams[team];
        queue.tokens -= work.tokens();
        queue.work.remove(&(work.deadline, sequence));
        if queue.work.is_empty() {
            self.remove_team(team);
        }
    }

    /// Returns the next work by deficit round robin, among the work for which `cost` returns a
    /// value.
    ///
    /// The team's turn lasts until its deficit is used up, so a second call before
    /// [`TierQueue::charge`] selects the same team.
    pub(super) fn select(
        &mut self,
        quantum: u32,
        cost: &impl Fn(WorkKey) -> Option<u64>,
    ) -> Option<WorkKey> {
        loop {
            for _ in 0..self.turns.len() {
                let queue = &mut self.teams[self.turns[0]];
                if let Some((key, cost)) = queue.head(cost) {
                    if !queue.granted {
                        queue.granted = true;
                        queue.deficit += queue.round_grant(quantum);
                    }
                    if queue.deficit >= cost {
                        return Some(key);
                    }
                    queue.granted = false;
                }
                self.turns.rotate_left(1);
            }
            self.skip_rounds(quantum, cost)?;
        }
    }

    /// Adds the grants of all rounds in which no team could start anything, in one step; `None` if
    /// `cost` returns a value for no work.
    fn skip_rounds(&mut self, quantum: u32, cost: &impl Fn(WorkKey) -> Option<u64>) -> Option<()> {
        let quantum = quantum.max(1);
        let rounds_needed = |queue: &TeamQueue| {
            let (_, cost) = queue.head(cost)?;
            let missing_tokens = (cost - queue.deficit).max(1) as u64;
            Some(missing_tokens.div_ceil(queue.round_grant(quantum) as u64))
        };
        let skipped = self.teams.values().filter_map(rounds_needed).min()? - 1;
        for queue in self.teams.values_mut() {
            if queue.head(cost).is_some() {
                queue.deficit += queue.round_grant(quantum) * skipped as i64;
            }
        }
        Some(())
    }

    /// Charges a team for work that is started.
    pub(super) fn charge(&mut self, work: &Work) {
        let team = self.team_keys[&work.team];
        self.teams[team].deficit -= work.tokens() as i64;
    }

    /// Charges a team with queued work for `tokens` more than was estimated.
    pub(super) fn correct_charge(&mut self, team: &str, tokens: i64) {
        if let Some(&team) = self.team_keys.get(team) {
            let deficit = &mut self.teams[team].deficit;
            *deficit = (*deficit - tokens).clamp(-MAX_DEBT_TOKENS, MAX_DEBT_TOKENS.max(*deficit));
        }
    }

    /// Returns the number of tokens of this tier that start before new work of `team` with
    /// `deadline`.
    ///
    /// While a team of weight `v` starts `b` tokens, another team of weight `w` starts at most
    /// `b·w / v` tokens plus `w` quanta.
    pub(super) fn tokens_ahead(
        &self,
        team: &str,
        weight: u32,
        deadline: Instant,
        quantum: u32,
        cost: impl Fn(WorkKey) -> u64,
    ) -> u64 {
        let queue = self.team_keys.get(team).map(|&key| &self.teams[key]);
        let own = queue.map_or(0, |queue| {
            let later = queue.work.range((deadline, u64::MAX)..);
            queue.tokens - later.map(|(_, &key)| cost(key)).sum::<u64>()
        });
        let weight = u64::from(weight.max(1));
        let other_weight = self.total_weight - queue.map_or(0, |queue| u64::from(queue.weight));
        let per_weight = own.div_ceil(weight) + u64::from(quantum);
        own + other_weight.saturating_mul(per_weight).min(self.tokens - own)
    }

    fn add_team(&mut self, name: &TeamId) -> TeamKey {
        if let Some(&team) = self.team_keys.get(name) {
            return team;
        }
        let team = self.teams.insert(TeamQueue::new(name.clone()));
        self.total_weight += 1;
        self.team_keys.insert(name.clone(), team);
        self.turns.push_back(team);
        team
    }

    /// Removes a team without work, and its deficit with it.
    fn remove_team(&mut self, team: TeamKey) {
        let queue = self.teams.remove(team).expect("turns contain only known teams");
        self.total_weight -= u64::from(queue.weight);
        self.team_keys.remove(&queue.name);
        if self.turns.front() == Some(&team) {
            self.turns.pop_front();
        } else {
            self.turns.retain(|&other| other != team);
        }
    }
}
