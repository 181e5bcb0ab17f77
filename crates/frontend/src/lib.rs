//! Code shared by the two HTTP front ends: the daemon and the forwarding proxy.
//!
//! Both use the same clock, read `Retry-After` alike and refuse requests with the same kinds of ambiguous framing.

mod clock;
pub mod framing;
mod retry_after;

pub use clock::NodeClock;
pub use retry_after::retry_after;
