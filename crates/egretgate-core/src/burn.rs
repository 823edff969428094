//! Service-level burn: good and bad requests against objectives.
