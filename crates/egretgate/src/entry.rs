//! The entry process: callers' requests in, offers to side processes out.

mod evidence;
mod fleet;
mod instances;
mod intake;
mod journal;
mod link;
mod operator;
mod request;
mod serve;
mod state;
mod tally;
mod traffic;

pub use serve::{Entry, Options};
