//! A running estimate of the tokens that are wanted per second.

use godwitroad_base::{ClockSpan, ClockTime};

/// The time over which the estimate forgets.
const DECAY_MS: u64 = 2_000;

/// A running estimate of tokens per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandMeter {
    // Tokens in thousandths, decayed over the memory.
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

    /// Returns the tokens per second.
    pub(crate) fn rate(&mut self, now: ClockTime) -> u64 {
        self.decay(now);
        self.amount / DECAY_MS
    }

    // Whole steps of a hundredth of the memory keep the arithmetic exact and equal on every machine.
    fn decay(&mut self, now: ClockTime) {
        let step = DECAY_MS / 100;
        let steps = now.since(self.decayed_at).as_ms() / step;
        for _ in 0..steps.min(2_000) {
            self.amount -= self.amount.div_ceil(100);
        }
        self.decayed_at += ClockSpan::from_ms(steps * step);
    }
}
