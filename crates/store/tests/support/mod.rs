//! Concurrent store clients under virtual time, and the linearizability check of their history.

pub(crate) mod history;
pub(crate) mod register;
