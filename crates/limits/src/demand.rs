//! A decaying estimate of the demand for tokens.

use godwitroad_base::{ClockSpan, ClockTime};

/// The time constant of the exponential decay.
const DECAY_MS: u64 = 2_000;

/// A decaying estimate of the tokens requested per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandMeter {
    // Decayed sum of the requested tokens, in thousandths of a token.
    amount: u64,
    decayed_at: ClockTime,
}

impl DemandMeter {
    pub(crate) fn new(now: ClockTime) -> DemandMeter {
        DemandMeter { amount: 0, decayed_at: now }
    }

    pub(crate) fn add(&mut self, now: ClockTime, tokens: u64) {
        self.decay(now);
        self.amount = self.amount.saturating_add(tokens.saturating_mul(1_000));
    }

    /// Returns the estimate in tokens per second.
    pub(crate) fn rate(&mut self, now: ClockTime) -> u64 {
        self.decay(now);
        self.amount / DECAY_MS
    }

    // Decaying in whole steps of a hundredth of the time constant keeps the integer arithmetic identical on every
    // machine.
    fn decay(&mut self, now: ClockTime) {
        let step = DECAY_MS / 100;
        let steps = now.since(self.decayed_at).as_ms() / step;
        for _ in 0..steps.min(2_000) {
            self.amount -= self.amount.div_ceil(100);
        }
        self.decayed_at += ClockSpan::from_ms(steps * step);
    }
}
