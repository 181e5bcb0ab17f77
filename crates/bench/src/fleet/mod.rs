//! A fleet of routers' membership and limits under virtual time.
//!
//! The real state machines run against a store and a network in memory. Every clock, delay and fault follows from
//! one seed, so that a run that fails can be repeated.

mod fault;
mod judge;
mod node;
mod sim;
mod store;

pub use fault::{FaultKind, FleetFault};
pub use judge::{AdmissionLog, FleetFaults, IdealBucket};
pub use node::WrongVariant;
pub use sim::{FleetArrival, FleetResult, FleetSim, FleetSpec, RequestEnd};
