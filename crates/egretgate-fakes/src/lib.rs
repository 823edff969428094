//! Small fakes of the systems around egretgate, on loopback ports, with counters and fault switches.
//!
//! Each fake is started, reached by HTTP at its address, and stops when its handle is dropped.
//!
//! ```
//! use egretgate_fakes::engine::{Engine, EngineSpec};
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let engine = Engine::start(EngineSpec::new().knee(16)).await?;
//! println!("engine at {}", engine.address());
//! assert_eq!(engine.counts().deaths, 0);
//! # Ok(())
//! # }
//! ```

pub mod engine;
pub mod instances;
pub mod log;
pub mod relay;
mod server;
pub mod service;
pub mod weights;

/// Result of starting a fake.
pub type Result<T> = std::io::Result<T>;
