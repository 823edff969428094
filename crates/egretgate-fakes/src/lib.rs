//! Fakes of the systems around egretgate, for tests, benches and examples.
//!
//! Each fake listens on a loopback port, counts the requests it receives and can inject faults. It
//! stops when its handle is dropped. All are HTTP servers except the [`relay`], which forwards TCP
//! connections.
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

/// Result of starting a fake; fails if no loopback port can be bound.
pub type Result<T> = std::io::Result<T>;
