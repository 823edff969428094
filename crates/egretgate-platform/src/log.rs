//! The append-only log.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use egretgate_core::Offset;
use egretgate_http::{Call, Client};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result, decode};

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the log.
    pub offset: Offset,
    /// Contents.
    pub data: Bytes,
}

/// Records and bounds of the log that a read returned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the oldest record in the log. If it is greater than the offset that was read from,
    /// the records between have expired.
    pub oldest_offset: Offset,
    /// Offset of the next record to be appended.
    pub end_offset: Offset,
    /// Records in order of offset.
    pub records: Vec<LogRecord>,
}

#[derive(Serialize)]
struct Append {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct Appended {
    first: Offset,
}

#[derive(Deserialize)]
struct BatchBody {
    oldest: Offset,
    head: Offset,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: Offset,
    data: String,
}

/// A client of the log. Clones share its connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    http: Client,
    timeout: Duration,
}

impl LogClient {
    /// Returns a client of the log at `address` whose calls have this timeout.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: Client::new(address), timeout }
    }

    /// Appends records at consecutive offsets, in order, and returns the offset of the first.
    ///
    /// All records go in one request, which is written at most once: after [`Error::Unknown`] the
    /// records may or may not be in the log.
    pub async fn append(&self, records: &[Bytes]) -> Result<Offset> {
        let records = records.iter().map(|record| BASE64_STANDARD.encode(record)).collect();
        let body = encode(&Append { records })?;
        let answer = self.http.fetch(Call::post("/v1/log", body), self.timeout).await?;
        decode::<Appended>(&answer).map(|appended| appended.first)
    }

    /// Reads up to `limit` records from offset `from` on. If there is none, waits for one up to
    /// `wait` and then returns an empty batch.
    pub async fn read(&self, from: Offset, limit: usize, wait: Duration) -> Result<Batch> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/log?from={from}&limit={limit}&wait_ms={wait_ms}");
        let answer = self.http.fetch_growing(Call::get(path), self.timeout + wait).await?;
        decode::<BatchBody>(&answer)?.try_into()
    }
}

impl TryFrom<BatchBody> for Batch {
    type Error = Error;

    fn try_from(body: BatchBody) -> Result<Self> {
        let records = body.records.into_iter().map(LogRecord::try_from).collect::<Result<_>>()?;
        Ok(Self { oldest_offset: body.oldest, end_offset: body.head, records })
    }
}

impl TryFrom<RecordBody> for LogRecord {
    type Error = Error;

    fn try_from(body: RecordBody) -> Result<Self> {
        let data = BASE64_STANDARD
            .decode(body.data)
            .map_err(|error| Error::Unknown(format!("record {}: {error}", body.offset)))?;
        Ok(Self { offset: body.offset, data: data.into() })
    }
}

/// Encodes a request's body. A value that can't be encoded is not sent, so the call had no effect.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| Error::Refused(error.to_string()))
}
