//! A simulation, in virtual time, of the membership and the rate limits of a fleet of routers.
//!
//! The state machines of the product run against an in-memory store and network. Every clock, delay and fault is
//! derived from one seed, so a failed run can be reproduced.

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
