//! Fuzz test of answer assembly with late, reordered and duplicate chunks, disconnects and flow
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
struct Transfer {
    answer: Vec<Bytes>,
    /// Frames in transit.
    network: Vec<Frame>,
    /// Index of the next chunk to send; the end follows the last one.
    next_frame: u64,
    credit: Credit,
    receive_window: ReceiveWindow,
    assembly: Assembly,
    received: Vec<Bytes>,
    /// Chunks that the caller has taken.
    consumed: usize,
    rng: ChaCha8Rng,
}

impl Transfer {
    fn new(chunks: usize, window: u32, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let answer = (0..chunks).map(|_| Bytes::from(rng.random::<[u8; 3]>().to_vec())).collect();
        let receive_window = ReceiveWindow::new(window);
        Self {
            answer,
            network: Vec::new(),
            next_frame: 0,
            credit: Credit::new(receive_window.window()),
            receive_window,
            assembly: Assembly::new(window),
            received: Vec::new(),
            consumed: 0,
            rng,
        }
    }

    fn send(&mut self) {
        let count = self.answer.len() as u64;
        if self.next_frame > count || (self.next_frame < count && !self.credit.take()) {
            return;
        }
        let frame =
            if self.next_frame == count { Frame::End } else { Frame::Chunk(self.next_frame) };
        self.next_frame += 1;
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
            Frame::End => {
                self.assembly.accept_end(self.answer.len() as u64, None).expect("the true end");
            }
            Frame::Chunk(index) => {
                let data = self.answer[index as usize].clone();
                self.received
                    .extend(self.assembly.accept_chunk(index, data).expect("within the window"));
            }
        }
        assert!(
            self.assembly.waiting() < self.receive_window.window() as usize,
            "more early chunks than the window allows"
        );
    }

    fn consume(&mut self) {
        if self.consumed < self.received.len() {
            self.consumed += 1;
            self.receive_window.consume(1).into_iter().for_each(|chunks| self.credit.add(chunks));
        }
        let buffered = self.received.len() - self.consumed + self.assembly.waiting();
        assert!(
            buffered <= self.receive_window.window() as usize,
            "more chunks are buffered than the window allows"
        );
    }

    fn check(&self) {
        assert_eq!(self.received, self.answer[..self.received.len()], "not a prefix of the answer");
        let complete = *self.assembly.state() == AssemblyState::Complete;
        assert!(!complete || self.received == self.answer, "complete without every byte");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(2000)
    })]

    #[test]
    fn an_answer_is_complete_or_an_error(
        chunks in 0..40usize, window in 1..9u32, seed in any::<u64>(), steps in 0..400usize,
    ) {
        let mut transfer = Transfer::new(chunks, window, seed);
        for _ in 0..steps {
            match transfer.rng.random_range(0..3) {
                0 => transfer.send(),
                1 => transfer.deliver(),
                _ => transfer.consume(),
            }
            transfer.check();
        }
        let complete = transfer.received == transfer.answer
            && *transfer.assembly.state() == AssemblyState::Complete;
        match transfer.assembly.disconnect() {
            Ok(()) => prop_assert!(complete),
            Err(error) => prop_assert!(!complete && error.kind == ErrorKind::AnswerCut),
        }
        prop_assert_eq!(
            transfer.assembly.accept_chunk(transfer.received.len() as u64, Bytes::new()),
            Ok(vec![])
        );
    }

    #[test]
    fn without_a_disconnect_every_answer_is_complete(
        chunks in 0..40usize, window in 1..9u32, seed in any::<u64>(),
    ) {
        let mut transfer = Transfer::new(chunks, window, seed);
        for _ in 0..800 {
            transfer.send();
            transfer.deliver();
            transfer.consume();
            transfer.check();
        }
        prop_assert_eq!(transfer.assembly.state(), &AssemblyState::Complete);
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
fn a_sender_that_breaks_the_protocol_gets_an_error() {
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
            Chunk(index) => assembly.accept_chunk(index, Bytes::new()).map(drop),
            End(chunks) => assembly.accept_end(chunks, None),
            Fail => assembly.accept_end(1, Some(Error::new(ErrorKind::UpstreamError, "no memory"))),
        });
        let error = results.find_map(Result::err).expect(case.name);
        assert!(results.next().is_none(), "{}: rejected too early", case.name);
        assert_eq!(error.kind, case.kind, "{}", case.name);
        assert_matches!(assembly.state(), AssemblyState::Failed(kept) if *kept == error);
        assert_eq!(assembly.disconnect(), Ok(()), "{}: the state must stay final", case.name);
    }
}
