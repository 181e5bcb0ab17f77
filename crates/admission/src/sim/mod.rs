//! A simulation of callers, routers and model targets in virtual time, for the load tests.
//!
//! Routers see the work of their peers late, as with gossip, and know the targets' speed only roughly. The seed determines
//! the history.

mod engine;
mod fleet;
mod load;
mod work;

pub use fleet::{SimPolicy, simulate};
pub use load::{KindLoad, LoadProfile, LoadReport, ServedCounts};
