//! Waits between attempts to connect.
//!
//! After an outage all routers would reconnect at once; jitter over the whole interval spreads them out.

use godwitroad_base::{ClockSpan, SeededRandom};

/// The waits before successive reconnects: doubling from a floor to a ceiling, with jitter.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    floor: ClockSpan,
    ceiling: ClockSpan,
    current: ClockSpan,
    random: SeededRandom,
}

impl RetryBackoff {
    /// Returns a back-off whose waits lie between `floor` and `ceiling`.
    pub fn new(floor: ClockSpan, ceiling: ClockSpan, seed: u64) -> RetryBackoff {
        RetryBackoff { floor, ceiling, current: floor, random: SeededRandom::new(seed) }
    }

    /// Returns the next wait.
    pub fn next_wait(&mut self) -> ClockSpan {
        let spread = self.current.as_ms();
        let wait = self.floor.as_ms() + self.random.below(spread + 1);
        self.current = ClockSpan::from_ms((2 * self.current.as_ms()).min(self.ceiling.as_ms()));
        ClockSpan::from_ms(wait.min(self.ceiling.as_ms()))
    }

    /// Starts again from the floor, after a link worked.
    pub fn reset(&mut self) {
        self.current = self.floor;
    }
}
