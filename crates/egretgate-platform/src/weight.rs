//! The weight store.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_http::{Call, Client};
use serde::{Deserialize, Serialize};

use crate::error::{Result, decode};
use crate::log::encode;

/// Status of a reservation that exceeds the store's rate.
const TOO_MANY_REQUESTS_STATUS: u16 = 429;
/// Time to wait if the store's answer gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of an attempt to reserve a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The load may begin.
    Granted,
    /// The store's rate is exhausted; try again after this time.
    Wait(Duration),
}

#[derive(Serialize)]
struct Reserve<'a> {
    version: &'a str,
}

#[derive(Deserialize)]
struct Granted {}

/// A client of the weight store.
#[derive(Debug, Clone)]
pub struct WeightClient {
    http: Client,
    timeout: Duration,
}

impl WeightClient {
    /// Returns a client of the store at `address` whose calls have this timeout.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: Client::new(address), timeout }
    }

    /// Requests permission for one load of a version's weights.
    pub async fn reserve(&self, version: &str) -> Result<Reservation> {
        let body = encode(&Reserve { version })?;
        let call = Call::post("/v1/weights/reserve", body);
        let answer = self.http.fetch(call, self.timeout).await?;
        if answer.status == TOO_MANY_REQUESTS_STATUS {
            return Ok(Reservation::Wait(answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)));
        }
        decode::<Granted>(&answer).map(|_| Reservation::Granted)
    }
}
