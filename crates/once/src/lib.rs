//! Idempotency claims for requests that run at most once.
