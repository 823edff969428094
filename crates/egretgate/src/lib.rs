//! The entry process and the command line of operators.

pub mod command;
