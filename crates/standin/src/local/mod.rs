//! A complete fleet in one process: the platform, engines, a plain service and two routers on loopback.
//!
//! It shows the routers at work with a single command, and its sample calls are the broadest end-to-end test.

mod calls;
mod document;
mod fleet;

pub use calls::{CallResult, SampleCall, sample_calls};
pub use document::{SAMPLE_KEY, SAMPLE_MODEL};
pub use fleet::LocalFleet;
