//! A deterministic model of the systems that entries serve, and experiments on it.
//!
//! The model runs the decisions of `egretgate-core` against engines, plain services and callers in
//! simulated time. Runs of the same site and seed give every policy the same callers, so that
//! policies can be compared in pairs.
//!
//! ```
//! use egretgate_model::{Policy, Site, simulate};
//!
//! let site = Site::parse(include_str!("../sites/small.toml")).unwrap();
//! let results = simulate(&site, Policy::Egretgate, 1);
//! assert!(results.served > 0.9);
//! ```

pub mod engine;
pub mod experiment;
pub mod plot;
pub mod report;
pub mod site;

mod client;
mod entry;
mod event_queue;
mod policy;
mod simulation;
mod tally;
mod upstream;

pub use policy::Policy;
pub use simulation::simulate;
pub use site::Site;
pub use tally::{KindResult, Results, SecondResult};
