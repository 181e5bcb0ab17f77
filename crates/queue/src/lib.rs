//! Fair queueing over client accounts.
