//! The fakes, side processes and entries of the example.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate::core::check;
use egretgate::core::declaration::Declarations;
use egretgate::core::diff::{Change, diff};
use egretgate::operator::{Client, proto};
use egretgate::{Entry, settings};
use egretgate_fakes::engine::{Engine, EngineSpec};
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::log::Log;
use egretgate_fakes::service::Service;
use egretside::Side;

use crate::options::Options;

/// Places of the example.
const PLACES: [&str; 3] = ["boa-viagem", "santo-amaro", "olinda"];
/// Number of entries.
const ENTRIES: usize = 2;
/// Declarations of the example.
const DECLARATIONS: &str = r#"
[tiers.brief]
rank = 0
[tiers.rewrite]
rank = 1
[tiers.caption]
rank = 2
[tiers.archive]
rank = 3

[teams.atelier]
tier = "brief"
tiers = ["brief", "rewrite", "caption", "archive"]
[teams.mills]
tier = "rewrite"
tiers = ["brief", "rewrite", "caption", "archive"]

[services.forecast-llm]
kind = "engine"
version = "v1"
[services.client-desk]
kind = "plain"
version = "v1"

[routes.forecast]
service = "forecast-llm"
model = "forecast"
[routes.credits]
service = "client-desk"
path = "/credits"
once = true
"#;

/// Everything that runs in the example.
pub struct World {
    log: Log,
    instances: Instances,
    /// Engines, unlike in speed.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    sides: Vec<Side>,
    entries: Vec<Entry>,
}

impl World {
    /// Starts everything and declares the routes.
    pub async fn start(options: &Options) -> eyre::Result<Self> {
        let log = Log::start().await?;
        let instances = Instances::start().await?;
        let mut engines = Vec::new();
        let mut sides = Vec::new();
        for (place, factor) in PLACES.iter().zip([1, 2, 4]) {
            let spec = EngineSpec::new()
                .token_time(Duration::from_millis(2) * factor)
                .prefill_time(Duration::from_micros(20) * factor)
                .cache_blocks(512)
                .load_lag(Duration::from_millis(500));
            let engine = Engine::start(spec).await?;
            let name = format!("forecast-{factor}");
            let address = engine.address();
            let side = start_side(&name, place, "forecast-llm", "engine", address).await?;
            let entry = Instance::new(name, *place, "forecast-llm", side.link_address());
            instances.set(entry);
            engines.push(engine);
            sides.push(side);
        }
        let service = Service::start().await?;
        let address = service.address();
        let side = start_side("desk-1", PLACES[0], "client-desk", "plain", address).await?;
        instances.set(Instance::new("desk-1", PLACES[0], "client-desk", side.link_address()));
        sides.push(side);
        let mut entries = Vec::new();
        for index in 0..ENTRIES {
            let entry = start_entry(index, &log, &instances, options).await?;
            entries.push(entry);
        }
        let world = Self { log, instances, engines, service, sides, entries };
        world.declare().await?;
        Ok(world)
    }

    /// Returns where callers reach each entry.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::caller_address).collect()
    }

    /// Returns the number of append requests that the log took.
    pub fn appends(&self) -> u64 {
        self.log.counts().appends
    }

    /// Stops entries, then side processes.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for side in self.sides {
            side.stop().await;
        }
        drop(self.instances);
    }

    async fn declare(&self) -> eyre::Result<()> {
        let declared =
            check::parse(DECLARATIONS).map_err(|faults| eyre::eyre!("declarations: {faults:?}"))?;
        for entry in &self.entries {
            entry.ready().await;
        }
        let puts = diff(&Declarations::default(), &declared).into_iter().filter_map(put).collect();
        let author = proto::Author { operator: "fleet".into(), reason: "the example".into() };
        let request = proto::ApplyRequest { author: Some(author), puts, ..Default::default() };
        let mut client = Client::connect(self.entries[0].operator_address(), None)
            .await
            .map_err(|error| eyre::eyre!("{error:?}"))?;
        let reply = client.apply(request).await.map_err(|error| eyre::eyre!("{error:?}"))?;
        eyre::ensure!(reply.accepted, "declarations were refused: {:?}", reply.refusals);
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(())
    }
}

fn put(change: Change) -> Option<proto::Item> {
    Some(proto::Item::new(change.name, 0, change.after?))
}

async fn start_side(
    name: &str,
    place: &str,
    service: &str,
    kind: &str,
    upstream: SocketAddr,
) -> eyre::Result<Side> {
    let engine = format!("{upstream}:v1");
    let flags = [
        ("--instance", name),
        ("--place", place),
        ("--service", service),
        ("--kind", kind),
        ("--engine", &engine),
        ("--link-address", "127.0.0.1:0"),
        ("--admin-address", "127.0.0.1:0"),
        ("--log-level", "error"),
    ];
    let args = flags.iter().flat_map(|(flag, value)| [(*flag).into(), (*value).into()]);
    match settings::side::read(args, []) {
        Ok(settings::Read::Settings(read)) => {
            let log = egretside::logger(read.log_level);
            Side::start(read, log).await
        }
        Ok(settings::Read::Help(text)) => Err(eyre::eyre!(text)),
        Err(faults) => Err(eyre::eyre!("{faults}")),
    }
}

async fn start_entry(
    index: usize,
    log: &Log,
    instances: &Instances,
    options: &Options,
) -> eyre::Result<Entry> {
    let name = format!("entry-{index}");
    let (log, list) = (log.address().to_string(), instances.address().to_string());
    let flags = [
        ("--instance", name.as_str()),
        ("--place", PLACES[index % PLACES.len()]),
        ("--caller-address", "127.0.0.1:0"),
        ("--admin-address", "127.0.0.1:0"),
        ("--operator-address", "127.0.0.1:0"),
        ("--log-address", &log),
        ("--instances-address", &list),
        ("--log-level", "error"),
    ];
    let args = flags.iter().flat_map(|(flag, value)| [(*flag).into(), (*value).into()]);
    match settings::entry::read(args, []) {
        Ok(settings::Read::Settings(read)) => {
            let log = egretgate::logger(read.log_level);
            let extra = egretgate::Options { policy: options.policy, metrics: None };
            Entry::start(read, extra, log).await
        }
        Ok(settings::Read::Help(text)) => Err(eyre::eyre!(text)),
        Err(faults) => Err(eyre::eyre!("{faults}")),
    }
}
