//! What entries send each other: one datagram for each report.

use std::collections::HashMap;

use egretgate_core::gateway::peer::PeerReport;
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
    }
    .encode_to_vec()
}

/// Returns the report in a datagram; `None` if it holds none.
pub fn decode(bytes: &[u8]) -> Option<PeerReport> {
    let datagram = Datagram::decode(bytes).ok()?;
    let usable = |demand: f32| if demand.is_finite() { f64::from(demand.max(0.0)) } else { 0.0 };
    let demand = datagram.demand.into_iter().map(|(service, demand)| (service, usable(demand)));
    Some(PeerReport {
        name: datagram.name,
        incarnation: datagram.incarnation,
        sequence: datagram.sequence,
        demand: demand.collect(),
        running: datagram.running,
        admitted: datagram.admitted,
    })
}
