//! At most one run for a call that may not be repeated: intents and outcomes in the log.
