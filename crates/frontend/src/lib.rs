//! Code shared by the two HTTP front ends: the daemon and the forwarding proxy.
//!
//! Both use the same clock and refuse requests with the same kinds of ambiguous framing.

mod clock;
pub mod framing;

pub use clock::NodeClock;
