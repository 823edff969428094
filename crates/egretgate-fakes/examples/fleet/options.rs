//! Command-line options.

use std::ffi::OsString;

use egretgate::core::choice::Policy;
use eyre::WrapErr;
use lexopt::{Arg, ValueExt};

/// Output of `--help`.
pub const HELP: &str = "\
Starts a small fleet on loopback ports, sends a mixed load and prints a table.

  --requests COUNT  requests to send [default: 2000]
  --rate NUMBER     requests per second [default: 150]
  --seed NUMBER     seed of the load [default: 1]
  --policy NAME     random, least-in-flight, two-choices, prequal or affinity [default: affinity]
  --json            print JSON instead of a table
  --help            print this text
";

/// Options of one run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests to send.
    pub requests: usize,
    /// Requests per second.
    pub rate: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Policy by which upstreams are chosen.
    pub policy: Policy,
    /// Whether to print the report as JSON.
    pub json: bool,
}

impl Options {
    /// Parses the command line; returns `None` if help was requested.
    pub fn read(args: impl IntoIterator<Item = OsString>) -> eyre::Result<Option<Self>> {
        let mut options =
            Self { requests: 2000, rate: 150.0, seed: 1, policy: Policy::default(), json: false };
        let mut parser = lexopt::Parser::from_iter(args);
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("requests") => options.requests = parser.value()?.parse()?,
                Arg::Long("rate") => options.rate = parser.value()?.parse()?,
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("policy") => options.policy = find_policy(&parser.value()?.string()?)?,
                Arg::Long("json") => options.json = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => return Err(other.unexpected()).wrap_err("see --help"),
            }
        }
        eyre::ensure!(options.rate > 0.0, "--rate must be over 0");
        Ok(Some(options))
    }
}

fn find_policy(name: &str) -> eyre::Result<Policy> {
    Policy::ALL
        .into_iter()
        .find(|policy| policy.as_str() == name)
        .ok_or_else(|| eyre::eyre!("no policy is named {name}"))
}
