//! Scheduling logic of egretgate, as pure functions and state machines.
//!
//! Nothing here opens a socket, reads a clock or draws a random number: time and randomness are
//! arguments, so every decision can be tested without I/O.
//!
//! ```
//! use egretgate_core::{ErrorKind, Execution};
//!
//! let answer = ErrorKind::Overloaded.answer();
//! assert_eq!(answer.status, 429);
//! assert_eq!(answer.execution, Execution::NotRun);
//! ```

pub mod burn;
pub mod check;
pub mod choice;
pub mod copy_check;
pub mod death_news;
pub mod declaration;
pub mod diff;
pub mod directory;
mod error;
pub mod fold;
pub mod gate;
pub mod gateway;
mod ids;
pub mod intent;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod moves;
pub mod poison;
pub mod queue;
pub mod record;
pub mod reply;
pub mod retry;
pub mod running_copies;
pub mod snapshot;

pub use error::{Answer, Error, ErrorKind, Execution, Result};
pub use ids::{
    Digest, FencingNumber, Incarnation, InstanceId, MAX_TIERS, Offset, OperatorId, RegionId,
    Revision, RouteId, ServiceId, TeamId, Ticket, Tier, UpstreamId, VersionId, ZoneId,
};
