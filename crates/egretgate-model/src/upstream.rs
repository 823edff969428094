//! A simulated upstream, with the faults that affect it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::{Engine, Job, RequestId, Signal};
use crate::site::{ServerSpec, Service};

/// A request as an upstream receives it.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Number of the request.
    pub id: RequestId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Time in a slot of a plain service.
    pub service_time: Duration,
}

/// Result of a request's arrival at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is queued or runs.
    Accepted,
    /// The queue is full: it is not executed.
    Full,
    /// The upstream is down.
    Down,
}

/// Scheduled end of work at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// A step of the engine ends.
    Step,
    /// A request of the plain service ends.
    Call(RequestId),
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Position of its service in the site.
    pub service: usize,
    /// Name.
    pub name: String,
    /// Position of its availability zone in the site.
    pub zone: usize,
    /// Factor of its step or service time; 1 without faults.
    pub slowness: f64,
    /// Fraction of the requests that fail; 0 without faults.
    pub error_rate: f64,
    /// True if it is down.
    pub down: bool,
    /// Incarnation, which a crash increments. Completions of earlier ones are ignored.
    pub incarnation: u32,
    slots: usize,
    queue_limit: usize,
    server: ServerState,
}

#[derive(Debug)]
enum ServerState {
    Engine { engine: Engine, stepping: bool },
    Plain { queue: VecDeque<Work>, running: Vec<RequestId> },
}

impl Upstream {
    /// Returns the upstream at `index` within its service.
    pub fn new(service: usize, spec: &Service, index: usize, zone: usize) -> Self {
        let slots = spec.slots as usize;
        let server = match &spec.server {
            ServerSpec::Engine(engine) => {
                let time_factor = engine.speeds[index % engine.speeds.len()];
                let engine = Engine::new(engine.clone(), slots, time_factor);
                ServerState::Engine { engine, stepping: false }
            }
            ServerSpec::Plain => ServerState::Plain { queue: VecDeque::new(), running: Vec::new() },
        };
        Self {
            service,
            name: format!("{}-{index}", spec.name),
            zone,
            slowness: 1.0,
            error_rate: 0.0,
            down: false,
            incarnation: 0,
            slots,
            queue_limit: spec.queue,
            server,
        }
    }

    /// Accepts a request, unless the upstream is down or its queue full. Work that begins is added
    /// to `next` with its duration.
    pub fn accept(&mut self, work: Work, next: &mut Vec<(Duration, Completion)>) -> Arrival {
        if self.down {
            return Arrival::Down;
        }
        if self.waiting() >= self.queue_limit {
            return Arrival::Full;
        }
        match &mut self.server {
            ServerState::Engine { engine, .. } => {
                engine.push(Job::new(work.id, work.prompt_tokens, work.output_tokens.max(1)));
            }
            ServerState::Plain { queue, .. } => queue.push_back(work),
        }
        self.start_work(next);
        Arrival::Accepted
    }

    /// Completes work and returns the progress of the requests concerned. Work that begins is added
    /// to `next` with its duration.
    pub fn complete(
        &mut self,
        completion: Completion,
        next: &mut Vec<(Duration, Completion)>,
    ) -> Vec<Signal> {
        let signals = match (&mut self.server, completion) {
            (ServerState::Engine { engine, stepping }, Completion::Step) => {
                *stepping = false;
                engine.end_step()
            }
            (ServerState::Plain { running, .. }, Completion::Call(id)) => {
                let count = running.len();
                running.retain(|other| *other != id);
                if running.len() < count {
                    vec![Signal::Event(id), Signal::Done(id)]
                } else {
                    Vec::new()
                }
            }
            _ => Vec::new(),
        };
        self.start_work(next);
        signals
    }

    /// Removes a request, queued or running. Work that begins is added to `next` with its duration.
    pub fn cancel(&mut self, id: RequestId, next: &mut Vec<(Duration, Completion)>) {
        match &mut self.server {
            ServerState::Engine { engine, .. } => engine.remove(id),
            ServerState::Plain { queue, running } => {
                queue.retain(|work| work.id != id);
                running.retain(|other| *other != id);
            }
        }
        self.start_work(next);
    }

    /// Takes the upstream down and returns the requests that are lost.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.down = true;
        self.incarnation += 1;
        match &mut self.server {
            ServerState::Engine { engine, stepping } => {
                *stepping = false;
                engine.clear()
            }
            ServerState::Plain { queue, running } => {
                let queue = queue.drain(..).map(|work| work.id);
                queue.chain(running.drain(..)).collect()
            }
        }
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        match &self.server {
            ServerState::Engine { engine, .. } => engine.waiting(),
            ServerState::Plain { queue, .. } => queue.len(),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        match &self.server {
            ServerState::Engine { engine, .. } => engine.running(),
            ServerState::Plain { running, .. } => running.len(),
        }
    }

    /// Returns the number of preemptions for lack of memory.
    pub fn preempted(&self) -> u64 {
        match &self.server {
            ServerState::Engine { engine, .. } => engine.preempted(),
            ServerState::Plain { .. } => 0,
        }
    }

    fn start_work(&mut self, next: &mut Vec<(Duration, Completion)>) {
        match &mut self.server {
            ServerState::Engine { stepping: true, .. } => {}
            ServerState::Engine { engine, stepping } => {
                if let Some(time) = engine.begin_step(self.slowness) {
                    *stepping = true;
                    next.push((time, Completion::Step));
                }
            }
            ServerState::Plain { queue, running } => {
                while running.len() < self.slots
                    && let Some(work) = queue.pop_front()
                {
                    running.push(work.id);
                    next.push((
                        work.service_time.mul_f64(self.slowness),
                        Completion::Call(work.id),
                    ));
                }
            }
        }
    }
}
