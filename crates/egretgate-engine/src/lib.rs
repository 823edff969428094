//! Client of one model engine: completions, cancellation, load and cache events, orders.
//!
//! ```no_run
//! use egretgate_engine::{Call, EngineClient, TokenMeter};
//! use tokio::time::Instant;
//!
//! # async fn example() -> egretgate_engine::Result<()> {
//! let client = EngineClient::new("127.0.0.1:8000".parse().unwrap());
//! let body = r#"{"prompt":"caption: linen, wide collar","max_tokens":16,"stream":true}"#;
//! let mut answer = client.complete(Call::new("ticket-1", "/v1/completions", body)).await?;
//! let mut meter = TokenMeter::new();
//! while let Some(chunk) = answer.chunk().await {
//!     meter.feed(&chunk?, Instant::now());
//! }
//! println!("{} tokens", meter.tokens());
//! # Ok(())
//! # }
//! ```

mod client;
mod message;
mod meter;

pub use client::{Call, EngineClient};
pub use egretgate_http::{Answer, Error, Result};
pub use message::{Action, CacheEvent, CacheEvents, CacheKind, EngineLoad, OrderOutcome, Versions};
pub use meter::{MeteredChunk, TokenMeter};
