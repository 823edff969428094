//! An upstream with its troubles.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::{Engine, Job, RequestId, Signal};
use crate::site::{Server, Service};

/// A request as an upstream gets it.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Number.
    pub id: RequestId,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Time in a slot of a plain service.
    pub time: Duration,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It waits or runs.
    Taken,
    /// The queue is full: it is not run.
    Full,
    /// Nothing answers.
    Down,
}

/// Something to be carried out later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
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
    /// Factor of its time; 1 without trouble.
    pub slowness: f64,
    /// Part of the requests that fail.
    pub failing: f64,
    /// True if it is down.
    pub down: bool,
    /// Life; what was begun in an earlier one has no effect.
    pub life: u32,
    slots: usize,
    longest: usize,
    server: Running,
}

#[derive(Debug)]
enum Running {
    Engine { engine: Engine, stepping: bool },
    Plain { queue: VecDeque<Work>, running: Vec<RequestId> },
}

impl Upstream {
    /// Returns the upstream at `index` within its service.
    pub fn new(service: usize, spec: &Service, index: usize, zone: usize) -> Self {
        let slots = spec.slots as usize;
        let server = match &spec.server {
            Server::Engine(engine) => {
                let speed = engine.speeds[index % engine.speeds.len()];
                let engine = Engine::new(engine.clone(), slots, speed);
                Running::Engine { engine, stepping: false }
            }
            Server::Plain => Running::Plain { queue: VecDeque::new(), running: Vec::new() },
        };
        Self {
            service,
            name: format!("{}-{index}", spec.name),
            zone,
            slowness: 1.0,
            failing: 0.0,
            down: false,
            life: 0,
            slots,
            longest: spec.queue,
            server,
        }
    }

    /// Takes a request. Whatever begins goes to `next` with its time.
    pub fn arrive(&mut self, work: Work, next: &mut Vec<(Duration, Next)>) -> Arrival {
        if self.down {
            return Arrival::Down;
        }
        if self.waiting() >= self.longest {
            return Arrival::Full;
        }
        match &mut self.server {
            Running::Engine { engine, .. } => {
                engine.push(Job::new(work.id, work.prompt, work.output.max(1)));
            }
            Running::Plain { queue, .. } => queue.push_back(work),
        }
        self.begin(next);
        Arrival::Taken
    }

    /// Carries out what was due, and returns what it tells.
    pub fn carry_out(&mut self, due: Next, next: &mut Vec<(Duration, Next)>) -> Vec<Signal> {
        let signals = match (&mut self.server, due) {
            (Running::Engine { engine, stepping }, Next::Step) => {
                *stepping = false;
                engine.end()
            }
            (Running::Plain { running, .. }, Next::Call(id)) => {
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
        self.begin(next);
        signals
    }

    /// Stops work on a request.
    pub fn cancel(&mut self, id: RequestId, next: &mut Vec<(Duration, Next)>) {
        match &mut self.server {
            Running::Engine { engine, .. } => engine.remove(id),
            Running::Plain { queue, running } => {
                queue.retain(|work| work.id != id);
                running.retain(|other| *other != id);
            }
        }
        self.begin(next);
    }

    /// Goes down and returns the requests that break.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.down = true;
        self.life += 1;
        match &mut self.server {
            Running::Engine { engine, stepping } => {
                *stepping = false;
                engine.clear()
            }
            Running::Plain { queue, running } => {
                let queue = queue.drain(..).map(|work| work.id);
                queue.chain(running.drain(..)).collect()
            }
        }
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> usize {
        match &self.server {
            Running::Engine { engine, .. } => engine.waiting(),
            Running::Plain { queue, .. } => queue.len(),
        }
    }

    /// Returns the requests that run.
    pub fn running(&self) -> usize {
        match &self.server {
            Running::Engine { engine, .. } => engine.running(),
            Running::Plain { running, .. } => running.len(),
        }
    }

    /// Returns how often a request gave way for want of memory.
    pub fn preempted(&self) -> u64 {
        match &self.server {
            Running::Engine { engine, .. } => engine.preempted(),
            Running::Plain { .. } => 0,
        }
    }

    fn begin(&mut self, next: &mut Vec<(Duration, Next)>) {
        match &mut self.server {
            Running::Engine { stepping: true, .. } => {}
            Running::Engine { engine, stepping } => {
                if let Some(time) = engine.begin(self.slowness) {
                    *stepping = true;
                    next.push((time, Next::Step));
                }
            }
            Running::Plain { queue, running } => {
                while running.len() < self.slots
                    && let Some(work) = queue.pop_front()
                {
                    running.push(work.id);
                    next.push((work.time.mul_f64(self.slowness), Next::Call(work.id)));
                }
            }
        }
    }
}
