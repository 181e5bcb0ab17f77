//! Measurement of the rate at which queued requests are served.
//!
//! A request may be refused before its deadline only on the basis of a measured rate. The meter counts the tokens
//! that are served while requests are waiting. The rate at other times doesn't depend on the capacity.

use godwitroad_base::{ClockSpan, ClockTime};

/// The time constant of the exponential average of the rate.
const RATE_WINDOW_MS: u64 = 5_000;

/// The decayed time of measurement below which no rate is reported.
const MIN_MEASURED_MS: f64 = 1_000.0;

#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    busy_ms: f64,
    tokens: f64,
    at: Option<ClockTime>,
}

impl RateMeter {
    /// Advances the meter to `now`; `is_busy` tells whether requests were waiting since the last call.
    pub(crate) fn advance(&mut self, now: ClockTime, is_busy: bool) {
        let previous = self.at.replace(now).unwrap_or(now);
        let passed = now.since(previous).as_ms();
        if is_busy && passed > 0 {
            let decay = (-(passed as f64) / RATE_WINDOW_MS as f64).exp();
            self.busy_ms = self.busy_ms * decay + passed as f64;
            self.tokens *= decay;
        }
    }

    /// Counts tokens of a request taken for service while requests were waiting.
    pub(crate) fn count(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }

    /// Returns the time in which `tokens` tokens are served, or `None` if the rate isn't known.
    pub(crate) fn span_of(&self, tokens: u64) -> Option<ClockSpan> {
        if self.busy_ms < MIN_MEASURED_MS || self.tokens <= 0.0 {
            return None;
        }
        Some(ClockSpan::from_ms((tokens as f64 * self.busy_ms / self.tokens) as u64))
    }
}
