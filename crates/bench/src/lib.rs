//! Benchmarks and simulations of the router.
//!
//! Each experiment runs the product and its baselines in the same process, derives all random numbers from one seed,
//! and returns rows of measured values. A row with a stated bound also shows whether the value meets it.

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
