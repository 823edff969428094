//! Client of one plain service.
//!
//! ```no_run
//! use egretgate_service::{Call, ServiceClient};
//!
//! # async fn example() -> egretgate_service::Result<()> {
//! let client = ServiceClient::new("127.0.0.1:8100".parse().unwrap());
//! let call = Call::new("ticket-2", "POST", "/tags/book", r#"{"site":"school 14"}"#);
//! let answer = client.call(call.key("booking-77")).await?;
//! println!("status {}", answer.status);
//! # Ok(())
//! # }
//! ```

mod client;

pub use client::{Call, ServiceClient};
pub use egretgate_http::{Answer, Error, Result};
