//! A site: the deployment and load that are simulated, read from a file.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure};
use serde::Deserialize;

/// A deployment with its load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name for reports.
    pub name: String,
    /// Length of a run, in seconds.
    pub seconds: f64,
    /// One-way delay of a message between two machines, in milliseconds.
    pub link_ms: f64,
    /// The entries.
    pub entries: Entries,
    /// Services, each with upstreams that differ only in speed.
    pub services: Vec<Service>,
    /// Kinds of requests.
    pub requests: Vec<RequestKind>,
    /// Faults and load changes during the run.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// The entries of a site.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entries {
    /// Number of entries; at least 1.
    pub count: usize,
    /// Interval between two reports of an entry, in milliseconds.
    pub report_ms: f64,
    /// Availability zones with the weights of their callers. Entries and upstreams are assigned to
    /// the zones round-robin.
    pub zones: Vec<Zone>,
}

/// An availability zone.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name.
    pub name: String,
    /// Weight of its callers.
    pub weight: f64,
}

/// A service and its upstreams.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Number of upstreams; at least 1.
    pub count: usize,
    /// Requests that each upstream runs at once; at least 1.
    pub slots: u32,
    /// Most requests that wait at each upstream; further ones are refused.
    pub queue: usize,
    /// Kind of the upstreams.
    pub server: ServerSpec,
}

/// Kind of an upstream.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase", deny_unknown_fields)]
pub enum ServerSpec {
    /// A model engine with continuous batching.
    Engine(EngineSpec),
    /// A plain service: each request occupies a slot for its service time.
    Plain,
}

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Time of a step with one request, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each additional request, in milliseconds.
    pub slot_ms: f64,
    /// Prompt tokens processed in a millisecond.
    pub prefill_per_ms: f64,
    /// Most prompt tokens that one step processes.
    pub chunk: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Tokens in each event of a stream; at least 1.
    pub event_tokens: u32,
    /// Factors of the step time, assigned to the engines round-robin; an engine with a larger
    /// factor is slower.
    pub speeds: Vec<f64>,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name.
    pub name: String,
    /// Service that runs it.
    pub service: String,
    /// Tier; 0 is the most urgent.
    pub tier: u8,
    /// Requests a second over all entries.
    pub per_second: f64,
    /// Answer to a request.
    pub answer: AnswerSpec,
    /// Objective for the time to the answer, or to a stream's first event, in milliseconds.
    pub objective_ms: f64,
    /// Time after which a caller gives up, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Worth of a late answer.
    pub late_worth: f64,
    /// Times that a caller retries after a refusal.
    pub retries: u32,
    /// Most upstreams to which one request is sent; at least 1.
    pub attempts: u32,
}

/// Answer to a request.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase", deny_unknown_fields)]
pub enum AnswerSpec {
    /// A stream of events.
    Stream {
        /// Tokens of the prompt.
        prompt: u32,
        /// Mean number of events.
        events: f64,
        /// Spread of that number: the standard deviation of its logarithm.
        spread: f64,
        /// Most events.
        most: u32,
        /// Spread of the callers' estimates of that number: the standard deviation of their
        /// logarithm.
        estimate: f64,
        /// Longest gap between events that is in time, in milliseconds.
        gap_ms: f64,
    },
    /// A single answer.
    Call {
        /// Mean time in a slot, in milliseconds.
        work_ms: f64,
        /// Spread of that time: the standard deviation of its logarithm.
        spread: f64,
        /// True if the request may be executed more than once.
        safe: bool,
    },
}

/// A fault or load change that lasts for some time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Beginning, in seconds from the start of the run.
    pub at: f64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Kind of the trouble, with its extent.
    pub what: TroubleKind,
}

/// Kind of a trouble.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase", deny_unknown_fields)]
pub enum TroubleKind {
    /// The load is multiplied by a factor.
    Burst {
        /// Factor.
        factor: f64,
    },
    /// A fraction of a service's upstreams is down.
    Crash {
        /// Service.
        service: String,
        /// Fraction of them, in `0.0..=1.0`.
        part: f64,
    },
    /// A fraction of a service's upstreams is slow.
    Slow {
        /// Service.
        service: String,
        /// Fraction of them, in `0.0..=1.0`.
        part: f64,
        /// Factor of their step or service time.
        factor: f64,
    },
    /// A fraction of a service's upstreams fails some requests immediately.
    Fail {
        /// Service.
        service: String,
        /// Fraction of them, in `0.0..=1.0`.
        part: f64,
        /// Fraction of the requests that fail there.
        rate: f64,
    },
    /// A fraction of the entries exchanges no reports with others and can't read the directory.
    Cut {
        /// Fraction of them, in `0.0..=1.0`.
        part: f64,
    },
}

impl Site {
    /// Reads a site from a file.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        Self::parse(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Reads a site from the text of a file.
    pub fn parse(text: &str) -> Result<Self> {
        let site: Self = toml::from_str(text)?;
        site.check()?;
        Ok(site)
    }

    /// Returns the one-way delay of a message.
    pub fn link(&self) -> Duration {
        millis(self.link_ms)
    }

    /// Returns the length of a run.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    fn check(&self) -> Result<()> {
        ensure!(self.seconds > 0.0, "seconds must be over 0");
        ensure!(self.entries.count > 0, "entries.count must be over 0");
        ensure!(self.entries.report_ms > 0.0, "entries.report_ms must be over 0");
        let weights: f64 = self.entries.zones.iter().map(|zone| zone.weight).sum();
        ensure!(weights > 0.0, "entries.zones needs a zone with a weight over 0");
        let names: BTreeSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        ensure!(names.len() == self.services.len(), "two services have one name");
        for service in &self.services {
            service.check()?;
        }
        for kind in &self.requests {
            let RequestKind { name, service, .. } = kind;
            ensure!(names.contains(service.as_str()), "request {name}: no service {service}");
            ensure!(kind.per_second >= 0.0, "request {name}: per_second is below 0");
            ensure!(kind.objective_ms > 0.0, "request {name}: objective_ms must be over 0");
            ensure!(kind.attempts > 0, "request {name}: attempts must be over 0");
        }
        for trouble in &self.troubles {
            let service = match &trouble.what {
                TroubleKind::Crash { service, .. }
                | TroubleKind::Slow { service, .. }
                | TroubleKind::Fail { service, .. } => service,
                TroubleKind::Burst { .. } | TroubleKind::Cut { .. } => continue,
            };
            ensure!(names.contains(service.as_str()), "trouble at {}: no service", trouble.at);
        }
        Ok(())
    }
}

impl Service {
    fn check(&self) -> Result<()> {
        let name = &self.name;
        ensure!(self.count > 0, "service {name}: count must be over 0");
        ensure!(self.slots > 0, "service {name}: slots must be over 0");
        if let ServerSpec::Engine(engine) = &self.server {
            ensure!(engine.event_tokens > 0, "service {name}: event_tokens must be over 0");
            ensure!(engine.prefill_per_ms > 0.0, "service {name}: prefill_per_ms must be over 0");
            ensure!(engine.step_ms > 0.0, "service {name}: step_ms must be over 0");
            ensure!(!engine.speeds.is_empty(), "service {name}: speeds is empty");
            ensure!(engine.chunk > 0, "service {name}: chunk must be over 0");
        }
        Ok(())
    }
}

/// Returns a time given in milliseconds.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
