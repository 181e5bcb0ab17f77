//! The life cycle of one request as a typestate.
