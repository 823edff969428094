//! Costs of the fold.

fn main() {}
