//! Keeps the requests that all routers send to a target within the rate that the target names in its answers, and sends
//! none to a target that wants none for a time.
//!
//! A target has one bucket for all routers: it fills at the named rate, and every request takes one out. Each router keeps
//! its own estimate of the bucket, from its own requests and from what its peers report. A rate may be far below one
//! request per router and second, so that routers which all see a request left would exceed it together. They therefore take
//! turns: each request moves the turn on to the next router, and the later a router's turn is, the fuller the bucket must
//! be before it sends. The right of a router that has no requests then falls to the next one.
//!
//! A router that can't reach all others uses only the part of the rate that belongs to those it reaches.
//!
//! The crate is deterministic and does no I/O: its caller passes in the time and exchanges reports between routers.

mod brittle;
mod bucket;
mod deferral;
mod queue;
mod rate;
mod rejection;
mod report;
mod table;

pub use brittle::{BrittleChange, BrittleTable, RoomPosition};
pub use bucket::FleetPosition;
pub use deferral::{DeferralNotice, DeferralTable, EndedDeferral, MAX_DEFERRAL};
pub use queue::ReturnQueue;
pub use rate::{LimitNotice, RequestRate};
pub use rejection::{
    BrittleNotice, BrittleReport, BrittleStatement, RejectionBound, RoomStatement,
};
pub use report::{LimitReport, LimitStatement};
pub use table::{LimitChange, ThrottleTable};
