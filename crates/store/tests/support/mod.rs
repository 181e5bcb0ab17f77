//! Concurrent store clients under virtual time, and the check of their history against a register.

pub(crate) mod history;
pub(crate) mod register;
