//! The measuring tool.
//!
//! Each experiment runs the product beside its baselines in the same process, from one seed, and prints rows that
//! name the stated target where there is one.

pub mod capacity;
pub mod config;
pub mod fairness;
pub mod fleet;
pub mod idempotency;
pub mod index;
mod limits;
mod overhead;
pub mod plot;
pub mod registry;
pub mod report;
mod restart;
mod rollout;
pub mod routing;
mod streams;
