//! Fuzz test of answer assembly with late, reordered, duplicate and missing chunks, under flow
//! control.

use assert_matches::assert_matches;
use bytes::Bytes;
use egretgate_core::reply::{Assembly, AssemblyState, Credit, ReceiveWindow};
use egretgate_core::{Error, ErrorKind};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Copy)]
enum Frame {
    Chunk(u64),
    End,
}

/// One answer sent through a network that reorders and duplicates frames.
struct World {
    answer: Vec<Bytes>,
    /// Frames in transit.
    network: Vec<Frame>,
    /// Index of the next chunk to send.
    sent: u64,
    credit: Credit,
    grants: ReceiveWindow,
    assembly: Assembly,
    got: Vec<Bytes>,
    /// Chunks that the caller has taken.
    consumed: usize,
    rng: ChaCha8Rng,
}

impl World {
    fn new(chunks: usize, window: u32, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let answer = (0..chunks).map(|_| Bytes::from(rng.random::<[u8; 3]>().to_vec())).collect();
        let grants = ReceiveWindow::new(window);
        Self {
            answer,
            network: Vec::new(),
            sent: 0,
            credit: Credit::new(grants.window()),
            grants,
            assembly: Assembly::new(window),
            got: Vec::new(),
            consumed: 0,
            rng,
        }
    }

    fn send(&mut self) {
        let count = self.answer.len() as u64;
        if self.sent > count || (self.sent < count && !self.credit.take()) {
            return;
        }
        let frame = if self.sent == count { Frame::End } else { Frame::Chunk(self.sent) };
        self.sent += 1;
        self.network.push(frame);
    }

    /// Delivers one of the frames in transit, and sometimes keeps it there as a duplicate.
    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.network.len());
        let frame = self.network[at];
        if !self.rng.random_bool(0.2) {
            self.network.swap_remove(at);
        }
        match frame {
            Frame::End => self.assembly.end(self.answer.len() as u64, None).expect("a true end"),
            Frame::Chunk(index) => {
                let data = self.answer[index as usize].clone();
                self.got.extend(self.assembly.chunk(index, data).expect("within the window"));
            }
        }
        assert!(self.assembly.waiting() < self.grants.window() as usize, "early chunks pile up");
    }

    fn consume(&mut self) {
        if self.consumed < self.got.len() {
            self.consumed += 1;
            self.grants.consume(1).into_iter().for_each(|chunks| self.credit.add(chunks));
        }
        let buffered = self.got.len() - self.consumed + self.assembly.waiting();
        assert!(buffered <= self.grants.window() as usize, "a slow caller holds more");
    }

    fn check(&self) {
        assert_eq!(self.got, self.answer[..self.got.len()], "not a prefix of the answer");
        let whole = *self.assembly.state() == AssemblyState::Complete;
        assert!(!whole || self.got == self.answer, "whole without every byte");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(2000)
    })]

    #[test]
    fn an_answer_is_whole_or_a_plain_error(
        chunks in 0..40usize, window in 1..9u32, seed in any::<u64>(), cut in 0..400usize,
    ) {
        let mut world = World::new(chunks, window, seed);
        for _ in 0..cut {
            match world.rng.random_range(0..3) {
                0 => world.send(),
                1 => world.deliver(),
                _ => world.consume(),
            }
            world.check();
        }
        let whole = world.got == world.answer && *world.assembly.state() == AssemblyState::Complete;
        match world.assembly.disconnect() {
            Ok(()) => prop_assert!(whole),
            Err(error) => prop_assert!(!whole && error.kind == ErrorKind::AnswerCut),
        }
        prop_assert_eq!(world.assembly.chunk(world.got.len() as u64, Bytes::new()), Ok(vec![]));
    }

    #[test]
    fn without_a_cut_every_answer_is_whole(
        chunks in 0..40usize, window in 1..9u32, seed in any::<u64>(),
    ) {
        let mut world = World::new(chunks, window, seed);
        for _ in 0..800 {
            world.send();
            world.deliver();
            world.consume();
            world.check();
        }
        prop_assert_eq!(world.assembly.state(), &AssemblyState::Complete);
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Chunk(u64),
    End(u64),
    Fail,
}

struct BadCase {
    name: &'static str,
    /// Frames, of which only the last is rejected.
    steps: &'static [Step],
    kind: ErrorKind,
}

#[test]
fn a_false_sender_gets_a_plain_error() {
    use Step::{Chunk, End, Fail};
    let cut = ErrorKind::AnswerCut;
    let cases = [
        BadCase { name: "a chunk over the credit", steps: &[Chunk(4)], kind: cut },
        BadCase { name: "a chunk after the end", steps: &[End(1), Chunk(1)], kind: cut },
        BadCase { name: "an end that counts too few", steps: &[Chunk(2), End(2)], kind: cut },
        BadCase { name: "two ends that differ", steps: &[End(3), End(4)], kind: cut },
        BadCase { name: "an error", steps: &[Chunk(0), Fail], kind: ErrorKind::UpstreamError },
    ];
    for case in cases {
        let mut assembly = Assembly::new(4);
        let mut results = case.steps.iter().map(|step| match *step {
            Chunk(index) => assembly.chunk(index, Bytes::new()).map(drop),
            End(chunks) => assembly.end(chunks, None),
            Fail => assembly.end(1, Some(Error::new(ErrorKind::UpstreamError, "no memory"))),
        });
        let error = results.find_map(Result::err).expect(case.name);
        assert!(results.next().is_none(), "{}: refused too soon", case.name);
        assert_eq!(error.kind, case.kind, "{}", case.name);
        assert_matches!(assembly.state(), AssemblyState::Failed(kept) if *kept == error);
        assert_eq!(assembly.disconnect(), Ok(()), "{}: one final answer", case.name);
    }
}
