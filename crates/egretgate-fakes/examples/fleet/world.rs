//! The fakes, side processes and entries of the example.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate::Entry;
use egretgate_fakes::engine::{Engine, EngineSpec};
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::log::Log;
use egretgate_fakes::service::Service;
use egretside::Side;

use crate::options::Options;
use crate::start;

/// Availability zones of the engines.
const ZONES: [&str; 3] = ["boa-viagem", "santo-amaro", "olinda"];
/// Number of entries.
const ENTRIES: usize = 2;
/// Tiers, teams, services and routes of the example.
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

/// All fakes, side processes and entries of the example.
pub struct World {
    log: Log,
    instances: Instances,
    /// Engines of different speed.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    sides: Vec<Side>,
    entries: Vec<Entry>,
}

impl World {
    /// Starts all processes and applies the declarations.
    pub async fn start(options: &Options) -> eyre::Result<Self> {
        let log = Log::start().await?;
        let instances = Instances::start().await?;
        let mut engines = Vec::new();
        let mut sides = Vec::new();
        for (zone, factor) in ZONES.iter().zip([1, 2, 4]) {
            let spec = EngineSpec::new()
                .token_time(Duration::from_millis(2) * factor)
                .prefill_time(Duration::from_micros(20) * factor)
                .cache_blocks(512)
                .load_lag(Duration::from_millis(500));
            let engine = Engine::start(spec).await?;
            let name = format!("forecast-{factor}");
            let address = engine.address();
            let side = start::side(&name, zone, "forecast-llm", "engine", address).await?;
            let instance = Instance::new(name, *zone, "forecast-llm", side.link_address());
            instances.set(instance);
            engines.push(engine);
            sides.push(side);
        }
        let service = Service::start().await?;
        let address = service.address();
        let side = start::side("desk-1", ZONES[0], "client-desk", "plain", address).await?;
        instances.set(Instance::new("desk-1", ZONES[0], "client-desk", side.link_address()));
        sides.push(side);
        let mut entries = Vec::new();
        for index in 0..ENTRIES {
            let name = format!("entry-{index}");
            let zone = ZONES[index % ZONES.len()];
            let entry = start::entry(&name, zone, &log, &instances, options.policy).await?;
            entries.push(entry);
        }
        start::declare(&entries, DECLARATIONS).await?;
        Ok(Self { log, instances, engines, service, sides, entries })
    }

    /// Returns the caller address of each entry.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::caller_address).collect()
    }

    /// Returns the number of append requests that took effect at the log.
    pub fn appends(&self) -> u64 {
        self.log.counts().appends
    }

    /// Stops the entries, then the side processes.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for side in self.sides {
            side.stop().await;
        }
        drop(self.instances);
    }
}
