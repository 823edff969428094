//! Framed messages between entries and side processes.
//!
//! An entry connects to a side process, sends [`message::Hello`] and then offers requests. Every
//! frame is a length-prefixed prost message of at most [`MAX_FRAME_BYTES`].
//!
//! ```
//! use egretgate_link::message::{ToSide, Withdraw, to_side};
//!
//! let frame = ToSide::from(to_side::Body::Withdraw(Withdraw { ticket: None }));
//! assert!(frame.body.is_some());
//! ```

mod codec;
pub mod message;

pub use codec::{Codec, Error, MAX_FRAME_BYTES, Result};
