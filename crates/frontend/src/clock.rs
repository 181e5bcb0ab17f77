//! The system clock that provides `ClockTime`.

use godwitroad_base::{ClockSpan, ClockTime};
use rustix::time::{ClockId, clock_gettime};

/// The boot-time clock of the machine, counted from the start of the process.
///
/// Unlike the monotonic clock, it includes the time during which the VM was suspended. A router that is resumed must
/// see that its term and its prepaid tokens have expired in the meantime.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: ClockTime,
}

impl NodeClock {
    /// Returns a clock whose time zero is the time of this call.
    pub fn start() -> NodeClock {
        NodeClock { start: boot_time() }
    }

    /// Returns the time since [`NodeClock::start`], including time spent suspended.
    pub fn now(&self) -> ClockTime {
        ClockTime::ZERO + boot_time().since(self.start)
    }
}

fn boot_time() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    // The boot-time clock starts at zero, so neither field is negative.
    let seconds = ClockSpan::from_secs(time.tv_sec.unsigned_abs());
    ClockTime::from_ms(time.tv_nsec.unsigned_abs() / 1_000_000) + seconds
}
