//! The instance list.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_core::{InstanceId, ServiceId, ZoneId};
use egretgate_http::{Call, Client};
use serde::Deserialize;

use crate::error::{Result, decode};

/// One instance, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Service of the instance.
    pub service: ServiceId,
    /// Address of its process.
    pub address: SocketAddr,
    /// Whether it may get new requests.
    pub state: InstanceState,
}

/// Whether an instance may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is about to stop and takes no new requests.
    Leaving,
}

#[derive(Deserialize)]
struct List {
    instances: Vec<Instance>,
}

/// A client of the instance list.
#[derive(Debug, Clone)]
pub struct InstanceClient {
    http: Client,
    timeout: Duration,
}

impl InstanceClient {
    /// Returns a client of the list at `address` whose calls have this timeout.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: Client::new(address), timeout }
    }

    /// Returns all listed instances. The list lags behind the instances' states.
    pub async fn list(&self) -> Result<Vec<Instance>> {
        let answer = self.http.fetch_growing(Call::get("/v1/instances"), self.timeout).await?;
        decode::<List>(&answer).map(|list| list.instances)
    }
}
