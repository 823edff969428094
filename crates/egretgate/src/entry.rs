//! The entry process: accepts callers' requests and offers them to side processes.

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
