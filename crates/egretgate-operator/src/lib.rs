//! The operator API: schema, gRPC server and client.
//!
//! The schema is `proto/operator.proto`; [`proto`] is generated from it and committed. The
//! [`Server`] turns each call into a [`Call`], a message to the task that owns the state, and
//! waits for its reply. The [`Client`] is used by the command line.
//!
//! ```
//! use egretgate_operator::{Server, proto};
//! use tokio::sync::mpsc;
//!
//! let (calls, _receiver) = mpsc::channel(16);
//! let _server = Server::new(Some("a-token-of-operators".to_owned()), calls);
//! let author = proto::Author { operator: "ana".to_owned(), reason: "season start".to_owned() };
//! assert!(egretgate_operator::check_author(Some(&author)).is_ok());
//! ```

mod auth;
mod author;
mod call;
mod client;
mod convert;
mod server;
mod status;

/// Messages and services generated from the schema.
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
pub mod proto {
    include!("generated/egretgate.operator.v1.rs");
}

pub use author::{MAX_OPERATOR_BYTES, MAX_REASON_BYTES, check_author};
pub use call::{Call, Page, Reply};
pub use client::{Client, Error as ClientError, Result as ClientResult};
pub use server::{MAX_MESSAGE_BYTES, Server};
