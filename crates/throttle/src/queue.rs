//! When callers whose requests were refused should return.

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

/// The times at which callers were told to return, so that they don't all come back for the same request that is left.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnQueue {
    last: ClockTime,
}

/// The longest time that a caller is told to wait; few callers have more time left.
const MAX_WAIT: ClockSpan = ClockSpan::from_ms(4_000);

impl ReturnQueue {
    /// Returns whether a caller was told to return at `now` or later.
    pub fn is_waiting(&self, now: ClockTime) -> bool {
        self.last >= now
    }

    /// Returns how long the next refused caller should wait, if the first one can be served after `first` and `per_second`
    /// more per second from then on. When more callers wait than can be served in time, their returns are spread randomly.
    pub fn next_wait(
        &mut self,
        now: ClockTime,
        first: ClockSpan,
        per_second: f64,
        random: &mut SeededRandom,
    ) -> ClockSpan {
        let pause = ClockSpan::from_ms((1_000.0 / per_second.max(0.001)) as u64);
        let wait = (self.last + pause).since(now).max(first);
        if wait > MAX_WAIT {
            let half = MAX_WAIT.as_ms() / 2;
            return ClockSpan::from_ms(half + random.below(half));
        }
        self.last = now + wait;
        wait
    }
}
