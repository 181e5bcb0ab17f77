//! Clock, names, identifiers and seeded randomness shared by every crate.
//!
//! The decision crates are deterministic state machines: time, identity and randomness are handed to them. This
//! crate holds the small types in which they are handed over, so that no decision crate needs a clock, a host
//! name or an entropy source of its own.

pub mod byte_string;
mod clock;
mod id;
mod name;
mod random;
pub mod rendezvous;

pub use clock::{ClockSpan, ClockTime};
pub use id::{Incarnation, NodeId, ParseError, RequestId};
pub use name::{
    AccountName, KeyName, ModelName, RegionName, RouteName, ServiceName, TargetName, VmName,
    ZoneName,
};
pub use random::SeededRandom;
