//! The real clock behind `ClockTime`.

use std::time::Instant;

use godwitroad_base::ClockTime;

/// The monotonic clock of the machine, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Returns a clock that starts now.
    pub fn start() -> NodeClock {
        NodeClock { start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> ClockTime {
        ClockTime::from_ms(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
