//! Exponential backoff between attempts to connect.
//!
//! Without jitter, all routers would reconnect at the same time after an outage. Jitter over the full interval spreads
//! the attempts out.

use godwitroad_base::{ClockSpan, SeededRandom};

/// The waits before successive attempts to reconnect, which double from a minimum to a maximum and have random jitter.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    min_wait: ClockSpan,
    max_wait: ClockSpan,
    current: ClockSpan,
    random: SeededRandom,
}

impl RetryBackoff {
    /// Creates a backoff whose waits are between `min_wait` and `max_wait`; `seed` determines the jitter.
    pub fn new(min_wait: ClockSpan, max_wait: ClockSpan, seed: u64) -> RetryBackoff {
        RetryBackoff { min_wait, max_wait, current: min_wait, random: SeededRandom::new(seed) }
    }

    /// Returns the wait before the next attempt.
    pub fn next_wait(&mut self) -> ClockSpan {
        let spread = self.current.as_ms();
        let wait = self.min_wait.as_ms() + self.random.below(spread + 1);
        self.current = ClockSpan::from_ms((2 * self.current.as_ms()).min(self.max_wait.as_ms()));
        ClockSpan::from_ms(wait.min(self.max_wait.as_ms()))
    }

    /// Returns to the minimum wait, after a successful connection.
    pub fn reset(&mut self) {
        self.current = self.min_wait;
    }
}
