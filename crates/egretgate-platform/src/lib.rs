//! Client of the platform: its log, its instance list and its weight store.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use bytes::Bytes;
//! use egretgate_platform::LogClient;
//!
//! # async fn example() -> egretgate_platform::Result<()> {
//! let log = LogClient::new("127.0.0.1:7000".parse().unwrap(), Duration::from_secs(2));
//! let first = log.append(&[Bytes::from_static(b"record")]).await?;
//! let batch = log.read(first, 100, Duration::from_secs(1)).await?;
//! println!("{} records up to offset {}", batch.records.len(), batch.end_offset);
//! # Ok(())
//! # }
//! ```

mod error;
mod instance;
mod log;
mod weight;

pub use error::{Error, Result};
pub use instance::{Instance, InstanceClient, InstanceState};
pub use log::{Batch, LogClient, LogRecord};
pub use weight::{Reservation, WeightClient};
