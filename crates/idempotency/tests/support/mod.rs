//! A fixture of claim tables over a store without faults, and the sequential reference table.

pub(crate) mod fixture;
pub(crate) mod reference;
