//! The real clock behind `ClockTime`.

use godwitroad_base::{ClockSpan, ClockTime};
use rustix::time::{ClockId, clock_gettime};

/// The boot-time clock of the machine, counted from the start of the process.
///
/// Unlike the monotonic clock it counts the time for which the VM was suspended. A router that is resumed must see
/// that its term and its prepaid tokens have ended meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: ClockTime,
}

impl NodeClock {
    /// Returns a clock that starts now.
    pub fn start() -> NodeClock {
        NodeClock { start: boot_time() }
    }

    /// Returns the current time.
    pub fn now(&self) -> ClockTime {
        ClockTime::ZERO + boot_time().since(self.start)
    }
}

fn boot_time() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    // The clock starts at zero, so that neither part is negative.
    let seconds = ClockSpan::from_secs(time.tv_sec.unsigned_abs());
    ClockTime::from_ms(time.tv_nsec.unsigned_abs() / 1_000_000) + seconds
}
