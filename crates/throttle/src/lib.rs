//! Keeps the requests that all routers send to a target within the rate that the target names in its answers.
//!
//! The crate is deterministic and does no I/O: its caller passes in the time and exchanges reports between routers.

mod rate;
mod table;

pub use rate::{LimitNotice, RequestRate};
pub use table::{LimitChange, ThrottleTable};
