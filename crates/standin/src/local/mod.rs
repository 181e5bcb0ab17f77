//! A whole fleet in one process: the platform, engines, a plain service and two routers on loopback.
//!
//! It lets a newcomer see the product work with one command, and is the widest check that a change still serves
//! callers.

mod calls;
mod document;
mod fleet;

pub use calls::{CallResult, SampleCall, sample_calls};
pub use document::{SAMPLE_KEY, SAMPLE_MODEL};
pub use fleet::LocalFleet;
