//! Which upstreams are live, leaving or suspected.
