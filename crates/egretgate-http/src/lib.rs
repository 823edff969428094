//! HTTP client of one address, without retries and with errors that state whether a request may
//! have reached the peer.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use egretgate_http::{Call, Client, Error};
//!
//! # async fn example() {
//! let client = Client::new("127.0.0.1:8000".parse().unwrap());
//! match client.send(Call::get("/v1/load")).await {
//!     Ok(answer) => println!("status {}", answer.status),
//!     Err(Error::NotSent(detail)) => println!("safe to send elsewhere: {detail}"),
//!     Err(Error::MaybeSent(detail)) => println!("it may have been run: {detail}"),
//! }
//! # }
//! ```

mod answer;
mod call;
mod client;
mod connector;
mod end_check;
mod error;

pub use answer::Answer;
pub use call::Call;
pub use client::{
    BufferedAnswer, CONNECT_TIMEOUT, Client, MAX_BODY_BYTES, MIN_BYTES_PER_SECOND, Transfer,
};
pub use end_check::{EndChecked, EndState};
pub use error::{Error, Result};
