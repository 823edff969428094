//! Starts side processes and entries on loopback ports, and declares what they serve.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate::core::check;
use egretgate::core::choice::Policy;
use egretgate::core::declaration::Declarations;
use egretgate::core::diff::{Change, diff};
use egretgate::operator::{Client, proto};
use egretgate::{Entry, settings};
use egretgate_fakes::instances::Instances;
use egretgate_fakes::log::Log;
use egretside::Side;

/// Time for declarations to reach every process.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Starts a side process in front of the upstream at `upstream`.
pub async fn side(
    name: &str,
    zone: &str,
    service: &str,
    kind: &str,
    upstream: SocketAddr,
) -> eyre::Result<Side> {
    let engine = format!("{upstream}:v1");
    let flags = [
        ("--instance", name),
        ("--zone", zone),
        ("--service", service),
        ("--kind", kind),
        ("--engine", &engine),
        ("--link-address", "127.0.0.1:0"),
        ("--admin-address", "127.0.0.1:0"),
        ("--log-level", "error"),
    ];
    let args = flags.iter().flat_map(|(flag, value)| [(*flag).into(), (*value).into()]);
    match settings::side::read(args, []) {
        Ok(settings::Invocation::Settings(read)) => {
            let log = egretside::logger(read.log_level);
            Side::start(read, log).await
        }
        Ok(settings::Invocation::Help(text)) => Err(eyre::eyre!(text)),
        Err(faults) => Err(eyre::eyre!("{faults}")),
    }
}

/// Starts an entry that chooses upstreams by `policy`.
pub async fn entry(
    name: &str,
    zone: &str,
    log: &Log,
    instances: &Instances,
    policy: Policy,
) -> eyre::Result<Entry> {
    let (log, list) = (log.address().to_string(), instances.address().to_string());
    let flags = [
        ("--instance", name),
        ("--zone", zone),
        ("--caller-address", "127.0.0.1:0"),
        ("--admin-address", "127.0.0.1:0"),
        ("--operator-address", "127.0.0.1:0"),
        ("--log-address", &log),
        ("--instances-address", &list),
        ("--log-level", "error"),
    ];
    let args = flags.iter().flat_map(|(flag, value)| [(*flag).into(), (*value).into()]);
    match settings::entry::read(args, []) {
        Ok(settings::Invocation::Settings(read)) => {
            let log = egretgate::logger(read.log_level);
            let options = egretgate::Options { policy, metrics: None };
            Entry::start(read, options, log).await
        }
        Ok(settings::Invocation::Help(text)) => Err(eyre::eyre!(text)),
        Err(faults) => Err(eyre::eyre!("{faults}")),
    }
}

/// Applies `declarations` at the first of `entries` once all are ready, and waits
/// `PROPAGATION_TIME`.
pub async fn declare(entries: &[Entry], declarations: &str) -> eyre::Result<()> {
    let request = addition("", declarations)?;
    for entry in entries {
        entry.ready().await;
    }
    let mut client = Client::connect(entries[0].operator_address(), None)
        .await
        .map_err(|error| eyre::eyre!("{error:?}"))?;
    let reply = client.apply(request).await.map_err(|error| eyre::eyre!("{error:?}"))?;
    eyre::ensure!(reply.accepted, "declarations were refused: {:?}", reply.refusals);
    tokio::time::sleep(PROPAGATION_TIME).await;
    Ok(())
}

/// Returns a request that adds the items of `after` that are new or changed since `before`.
pub fn addition(before: &str, after: &str) -> eyre::Result<proto::ApplyRequest> {
    let before = parse(before)?;
    let after = parse(after)?;
    let puts = diff(&before, &after).into_iter().filter_map(to_put).collect();
    let author = proto::Author { operator: "example".into(), reason: "the example".into() };
    Ok(proto::ApplyRequest { author: Some(author), puts, ..Default::default() })
}

fn parse(text: &str) -> eyre::Result<Declarations> {
    if text.is_empty() {
        return Ok(Declarations::default());
    }
    check::parse(text).map_err(|faults| eyre::eyre!("invalid declarations: {faults:?}"))
}

fn to_put(change: Change) -> Option<proto::Item> {
    Some(proto::Item::new(change.name, 0, change.after?))
}
