//! The router daemon: adapters around the facade.
//!
//! One thread owns the decision state and is the only one to call it; everything else here turns sockets into
//! events and actions into socket work. Adapters decide nothing that matters: which request runs where, and when,
//! follows from the state alone. [`app::start`] runs a whole daemon inside any process, on listeners that the
//! process hands over.

pub mod app;
mod core;
pub mod decision;
pub mod intake;
mod operators;
mod outbound;
mod peering;
mod reply;
pub mod settings;
pub mod store;
pub mod target;
mod telemetry;
mod tls;
mod vms;
