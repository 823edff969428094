//! What entries send each other: one datagram for each report.

use std::collections::HashMap;
use std::time::Duration;

use egretgate_core::Tier;
use egretgate_core::gateway::lane::Rank;
use egretgate_core::gateway::peer::{NameHash, PeerReport, Report};
use egretgate_core::gateway::strain::Strain;
use prost::Message;

/// A report as it is sent.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(map = "fixed64, float", tag = "4")]
    demand: HashMap<u64, f32>,
    #[prost(map = "fixed64, uint32", tag = "5")]
    running: HashMap<u64, u32>,
    #[prost(map = "fixed64, uint64", tag = "6")]
    admitted: HashMap<u64, u64>,
    #[prost(message, optional, tag = "7")]
    catalog: Option<Held>,
    #[prost(message, optional, tag = "8")]
    roster: Option<Held>,
    #[prost(message, repeated, tag = "10")]
    strains: Vec<RankStrain>,
}

/// What came and what was refused of one rank.
#[derive(Clone, Copy, PartialEq, Message)]
struct RankStrain {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    tier: u32,
    #[prost(uint32, tag = "3")]
    route: u32,
    #[prost(float, tag = "4")]
    arrived: f32,
    #[prost(float, tag = "5")]
    refused: f32,
}

impl From<((NameHash, Rank), Strain)> for RankStrain {
    fn from(((service, rank), strain): ((NameHash, Rank), Strain)) -> Self {
        Self {
            service,
            tier: rank.tier.into(),
            route: rank.route.into(),
            arrived: strain.arrived as f32,
            refused: strain.refused as f32,
        }
    }
}

impl From<RankStrain> for ((NameHash, Rank), Strain) {
    fn from(sent: RankStrain) -> Self {
        let tier = |value| Tier::try_from(value).unwrap_or(Tier::MAX);
        let rank = Rank { tier: tier(sent.tier), route: tier(sent.route) };
        let strain = Strain { arrived: count(sent.arrived), refused: count(sent.refused) };
        ((sent.service, rank), strain)
    }
}

/// What the sender holds of a piece of shared state.
#[derive(Clone, Copy, PartialEq, Message)]
struct Held {
    #[prost(fixed64, tag = "1")]
    mark: u64,
    #[prost(uint64, tag = "2")]
    end: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

impl From<Report> for Held {
    fn from(report: Report) -> Self {
        Self { mark: report.mark, end: report.end, age_ms: report.age.as_millis() as u64 }
    }
}

impl From<Held> for Report {
    fn from(held: Held) -> Self {
        Self { mark: held.mark, end: held.end, age: Duration::from_millis(held.age_ms) }
    }
}

/// Returns the report as a datagram.
pub fn encode(report: &PeerReport) -> Vec<u8> {
    let demand = report.demand.iter().map(|(service, demand)| (*service, *demand as f32));
    Datagram {
        name: report.name.clone(),
        incarnation: report.incarnation,
        sequence: report.sequence,
        demand: demand.collect(),
        running: report.running.clone(),
        admitted: report.admitted.clone(),
        catalog: report.catalog.map(Held::from),
        roster: report.roster.map(Held::from),
        strains: report.strains.iter().map(|(of, strain)| (*of, *strain).into()).collect(),
    }
    .encode_to_vec()
}

/// Returns the report in a datagram; `None` if it holds none.
pub fn decode(bytes: &[u8]) -> Option<PeerReport> {
    let datagram = Datagram::decode(bytes).ok()?;
    let demand = datagram.demand.into_iter().map(|(service, demand)| (service, count(demand)));
    Some(PeerReport {
        name: datagram.name,
        incarnation: datagram.incarnation,
        sequence: datagram.sequence,
        demand: demand.collect(),
        running: datagram.running,
        strains: datagram.strains.into_iter().map(Into::into).collect(),
        admitted: datagram.admitted,
        catalog: datagram.catalog.map(Report::from),
        roster: datagram.roster.map(Report::from),
    })
}

/// Returns a count as it was sent, or 0 for what no entry sends.
fn count(value: f32) -> f64 {
    if value.is_finite() { f64::from(value.max(0.0)) } else { 0.0 }
}
