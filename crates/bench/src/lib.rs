//! The measuring tool.
//!
//! Each experiment runs the product beside its baselines in the same process, from one seed, and prints rows that
//! name the stated target where there is one.

pub mod fairness;
pub mod index;
pub mod plot;
pub mod registry;
pub mod report;
pub mod routing;
