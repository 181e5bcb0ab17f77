//! Claim tables that share an ideal store, and the naive sequential table that they must agree with.

pub(crate) mod fixture;
pub(crate) mod naive;
