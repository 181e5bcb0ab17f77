//! The rate at which queued work is taken.
//!
//! A refusal before the deadline is only honest when it rests on a measured rate. The meter counts the tokens taken
//! while requests waited; while nothing waits, the rate says nothing about the capacity.

use godwitroad_base::{ClockSpan, ClockTime};

/// The time over which the rate is averaged.
const RATE_WINDOW_MS: u64 = 5_000;

/// The measured time below which no rate is given.
const MIN_MEASURED_MS: f64 = 1_000.0;

#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    busy_ms: f64,
    tokens: f64,
    at: Option<ClockTime>,
}

impl RateMeter {
    /// Advances the meter to `now`; `is_busy` tells whether requests waited since the last call.
    pub(crate) fn advance(&mut self, now: ClockTime, is_busy: bool) {
        let before = self.at.replace(now).unwrap_or(now);
        let passed = now.since(before).as_ms();
        if is_busy && passed > 0 {
            let keep = (-(passed as f64) / RATE_WINDOW_MS as f64).exp();
            self.busy_ms = self.busy_ms * keep + passed as f64;
            self.tokens *= keep;
        }
    }

    /// Counts tokens taken while requests waited.
    pub(crate) fn count(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }

    /// Returns the time in which `tokens` tokens are taken, or `None` while the rate isn't known.
    pub(crate) fn span_of(&self, tokens: u64) -> Option<ClockSpan> {
        if self.busy_ms < MIN_MEASURED_MS || self.tokens <= 0.0 {
            return None;
        }
        Some(ClockSpan::from_ms((tokens as f64 * self.busy_ms / self.tokens) as u64))
    }
}
