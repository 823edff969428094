//! The side process: the only sender to the engines of one upstream instance.
//!
//! It accepts connections from entries, queues the offered requests, starts them within learned
//! limits, streams the answers back, and keeps a replica of the shared configuration.
//!
//! ```no_run
//! use egretside::Side;
//! use egretgate_settings::{Invocation, side};
//!
//! # async fn example() -> eyre::Result<()> {
//! let read = side::read(std::env::args_os().skip(1), std::env::vars_os())?;
//! if let Invocation::Settings(settings) = read {
//!     let side = Side::start(settings, egretside::logger(slog::Level::Info)).await?;
//!     side.stop().await;
//! }
//! # Ok(())
//! # }
//! ```

mod answer_sender;
mod conn;
mod dispatcher;
mod engines;
mod entries;
mod finished_tickets;
mod replica;
mod run;
mod samples;
mod serve;
mod target_client;

pub use egretgate_settings::logger;
pub use serve::Side;
