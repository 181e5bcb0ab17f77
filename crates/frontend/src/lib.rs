//! What both HTTP front ends share.
//!
//! The daemon of the project's own interface and the forwarding proxy take requests from callers in the same way:
//! they read the same clock and refuse the same ambiguous framing.

mod clock;
pub mod framing;

pub use clock::NodeClock;
