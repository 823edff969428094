//! Assembly of an answer from chunks.
