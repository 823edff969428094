//! The batch of admitted requests, which advances in steps.

use std::time::Duration;

use tokio::sync::mpsc;

use super::prompt::BLOCK_TOKENS;
use super::spec::EngineSpec;

/// A request in the batch.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) id: String,
    pub(crate) version: String,
    /// Hashes of the prompt's blocks.
    pub(crate) blocks: Vec<u64>,
    /// Prompt tokens still to be processed.
    pub(crate) prefill_left: usize,
    /// Prompt tokens processed for this request.
    pub(crate) prefilled: usize,
    /// Length of the complete answer.
    pub(crate) answer_tokens: usize,
    /// Tokens generated so far.
    pub(crate) generated: usize,
    /// Number of tokens after which the connection is closed; no effect unless below
    /// `answer_tokens`.
    pub(crate) cut_after: usize,
    /// Number of steps per token; above 1 if the version is slowed down by a fault.
    pub(crate) steps_per_token: f64,
    /// Number of steps done for the next token.
    pub(crate) steps_done: f64,
    /// True if the engine crashes once the prefill is complete.
    pub(crate) poison: bool,
    /// Sends the index of each generated token to the handler; dropped early if the answer is cut.
    pub(crate) sender: mpsc::UnboundedSender<usize>,
}

impl Sequence {
    /// Skips the prefill of the first `blocks` blocks, which are cached. At least one prompt token
    /// is always processed.
    pub(crate) fn skip_cached(&mut self, blocks: usize) {
        let cached = (blocks * BLOCK_TOKENS).min(self.prefill_left.saturating_sub(1));
        self.prefill_left -= cached;
    }

    fn advance(&mut self) {
        self.steps_done += 1.0;
        if self.steps_done < self.steps_per_token {
            return;
        }
        self.steps_done -= self.steps_per_token;
        let _ = self.sender.send(self.generated);
        self.generated += 1;
    }

    fn is_complete(&self) -> bool {
        self.generated >= self.answer_tokens
    }

    fn has_ended(&self) -> bool {
        self.is_complete() || self.generated >= self.cut_after
    }
}

/// Result of a step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Prompt tokens processed.
    pub(crate) prefill_tokens: u64,
    /// Tokens generated.
    pub(crate) tokens: u64,
    /// Requests that ended.
    pub(crate) ended: Vec<EndedRequest>,
    /// Blocks of each prompt whose prefill completed.
    pub(crate) prefilled_blocks: Vec<Vec<u64>>,
    /// True if the prefill of a poisonous request completed.
    pub(crate) poisoned: bool,
}

/// A request that left the batch.
#[derive(Debug)]
pub(crate) struct EndedRequest {
    /// Prompt tokens processed for the request.
    pub(crate) prefilled: u64,
    /// True if all tokens of the answer were generated.
    pub(crate) complete: bool,
}

impl From<Sequence> for EndedRequest {
    fn from(sequence: Sequence) -> Self {
        Self { prefilled: sequence.prefilled as u64, complete: sequence.is_complete() }
    }
}

/// Admitted requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    sequences: Vec<Sequence>,
}

impl Batch {
    pub(crate) const fn len(&self) -> usize {
        self.sequences.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.sequences.push(sequence);
    }

    /// Returns the number of requests whose prefill is complete.
    pub(crate) fn running(&self) -> usize {
        self.sequences.iter().filter(|sequence| sequence.prefill_left == 0).count()
    }

    /// Returns the number of prompt tokens that still need prefill.
    pub(crate) fn waiting_tokens(&self) -> usize {
        self.sequences.iter().map(|sequence| sequence.prefill_left).sum()
    }

    /// Removes the requests that match and returns them.
    pub(crate) fn remove(&mut self, matches: impl Fn(&Sequence) -> bool) -> Vec<EndedRequest> {
        let removed = self.sequences.extract_if(.., |sequence| matches(sequence));
        removed.map(EndedRequest::from).collect()
    }

    /// Removes the requests whose callers have disconnected.
    pub(crate) fn remove_abandoned(&mut self) -> Vec<EndedRequest> {
        self.remove(|sequence| sequence.sender.is_closed())
    }

    /// Returns the duration of the next step: the time of a token, longer in proportion if more
    /// requests generate than the knee, plus the prefill time.
    pub(crate) fn step_time(&self, spec: &EngineSpec, step_factor: f64) -> Duration {
        let load = self.running() as f64 / spec.knee.max(1) as f64;
        let prefill = self.waiting_tokens().min(spec.prefill_budget) as u32;
        (spec.token_time.mul_f64(load.max(1.0)) + spec.prefill_time * prefill).mul_f64(step_factor)
    }

    /// Performs one step, which processes at most `budget` prompt tokens.
    pub(crate) fn step(&mut self, budget: usize) -> StepResult {
        let mut result = StepResult::default();
        let mut budget_left = budget;
        for sequence in &mut self.sequences {
            if sequence.prefill_left == 0 {
                let before = sequence.generated;
                sequence.advance();
                result.tokens += (sequence.generated - before) as u64;
                continue;
            }
            let processed = sequence.prefill_left.min(budget_left);
            budget_left -= processed;
            sequence.prefill_left -= processed;
            sequence.prefilled += processed;
            result.prefill_tokens += processed as u64;
            if sequence.prefill_left == 0 {
                result.prefilled_blocks.push(sequence.blocks.clone());
                result.poisoned |= sequence.poison;
            }
        }
        result.ended = self.remove(Sequence::has_ended);
        result
    }
}
