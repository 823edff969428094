//! The forwarding path of the entry: callers' requests go to upstreams byte for byte.
//!
//! What to do with a request is decided by [`egretgate_core::gateway`]; this crate owns the
//! sockets. The names and formats of headers come from a [`Dialect`], declarations and upstreams
//! from a [`Directory`].
//!
//! ```
//! use egretgate_gateway::StopTimes;
//!
//! let stop_times = StopTimes::default();
//! assert!(stop_times.grace > stop_times.linger);
//! ```

mod answer;
mod attempt;
mod caller_listener;
mod connect;
mod dialect;
mod directory;
mod dispatcher;
mod entry_list;
mod eras;
mod events;
mod exchange;
mod framing;
mod gateway;
mod gossip;
mod head_limit;
mod headers;
mod held;
mod idle_timer;
mod listeners;
mod moves;
mod pages;
mod plan;
mod read_ahead;
mod readiness;
mod relay;
mod skipped;
mod sync;
mod tasks;
mod upstream_check;
mod wire;

pub use dialect::{AnswerHead, Dialect, ForwardHead, RequestHead};
pub use directory::{
    Appended, Change, Directory, DirectoryError, DirectoryRead, Result, Transfer, Waited,
};
pub use events::EventSplitter;
pub use gateway::{Addresses, Gateway, Options, StopTimes};
pub use pages::{Answer, Page};
pub use tasks::PanicLog;
pub use wire::{decode, encode};
