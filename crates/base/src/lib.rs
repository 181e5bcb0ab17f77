//! Clock types, names, identifiers and seeded random numbers shared by all crates.
//!
//! The crates that make decisions are deterministic state machines: they receive the time, their identity and their
//! random numbers as inputs. This crate defines the types of these inputs, so that none of those crates reads a clock,
//! a host name or an entropy source.

pub mod byte_string;
mod clock;
mod id;
mod name;
mod random;
pub mod rendezvous;
mod revision;

pub use clock::{ClockSpan, ClockTime};
pub use id::{Incarnation, NodeId, ParseError, RequestId};
pub use name::{
    AccountName, BuildName, KeyName, ModelName, RegionName, RouteName, ServiceName, TargetName,
    VmName, ZoneName,
};
pub use random::SeededRandom;
pub use revision::{StoreEra, StoreRevision};
