//! HTTP servers for callers (OpenAI-compatible completions and plain calls) and for administration
//! pages.
//!
//! The server turns each HTTP request into a [`Call`] and sends it to the entry's tasks; the answer
//! is returned as [`Reply`] messages. No scheduling decisions are made here.
//!
//! ```
//! use egretgate_caller::CompletionRequest;
//!
//! let body = br#"{"model":"forecast","prompt":"a season brief","max_tokens":64}"#;
//! let prompt = CompletionRequest::parse(body).expect("valid body");
//! assert_eq!(prompt.model, "forecast");
//! assert_eq!(prompt.max_tokens, Some(64));
//! ```

mod admin;
mod answer;
mod call;
mod completion;
mod listen;
mod server;

pub use admin::{AdminServer, Health};
pub use answer::{error_body, error_event};
pub use call::{Call, Credentials, EntryRequest, Head, Reply, Target};
pub use completion::CompletionRequest;
pub use server::{CallerServer, Limits};
