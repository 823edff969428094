//! The entry process of egretgate and the command line of its operators.
//!
//! The package also re-exports the packages that make up the product.
//!
//! ```
//! use egretgate::core::ErrorKind;
//!
//! assert_eq!(ErrorKind::NoUpstream.code(), "no_upstream");
//! ```

pub mod command;
mod entry;
pub mod host;
pub mod process;

pub use egretgate_caller as caller;
pub use egretgate_core as core;
pub use egretgate_link as link;
pub use egretgate_operator as operator;
pub use egretgate_platform as platform;
pub use egretgate_settings as settings;
pub use egretgate_settings::logger;
pub use entry::{Entry, Options};
