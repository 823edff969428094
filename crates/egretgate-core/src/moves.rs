//! Version moves: shares, evidence and verdicts.
