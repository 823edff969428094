//! Starts a small fleet on loopback ports, sends a mixed load, and prints a report.
//!
//! `cargo run --release --example fleet -- --help` lists the options. The exit code is 1 if a
//! guarantee was violated.

#[path = "fleet/load.rs"]
mod load;
#[path = "fleet/options.rs"]
mod options;
#[path = "fleet/report.rs"]
mod report;
#[path = "support/start.rs"]
mod start;
#[path = "fleet/world.rs"]
mod world;

use std::process::ExitCode;

use crate::options::Options;
use crate::report::Report;
use crate::world::World;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let Some(options) = Options::read(std::env::args_os())? else {
        print!("{}", options::HELP);
        return Ok(ExitCode::SUCCESS);
    };
    let world = World::start(&options).await?;
    let results = load::run(&world, &options).await?;
    let report = Report::new(&world, &options, &results);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{report}");
    }
    world.stop().await;
    Ok(if report.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
