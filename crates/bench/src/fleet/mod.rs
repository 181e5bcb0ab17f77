//! A fleet of routers' membership and limits under virtual time.
//!
//! The real state machines run against a store and a network in memory. Every clock, delay and fault follows from
//! one seed, so that a run that fails can be repeated.

mod checker;
mod fault;
mod lifecycle;
mod node;
mod sim;
mod spec;
mod store;

pub use checker::{AdmissionLog, FleetViolations, IdealBucket};
pub use fault::{FaultKind, FleetFault};
pub use node::InjectedBug;
pub use sim::FleetSim;
pub use spec::{FleetArrival, FleetResult, FleetSpec, RequestEnd};
