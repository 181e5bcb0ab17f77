//! Checks of the tokens that a fleet admitted, independent of the state machines under test.

use std::collections::BTreeMap;

use godwitroad_base::AccountName;
use godwitroad_config::RateConfig;

/// The admissions of one account in the order of simulated time.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLog {
    /// The time in milliseconds and the tokens of each admission.
    pub admitted: Vec<(u64, u64)>,
}

impl AdmissionLog {
    /// Returns the largest number of tokens by which the admissions of any time window exceed burst + rate × length.
    ///
    /// The running sum is the maximum over all windows that end at the current admission, so a single pass covers
    /// every pair of times. Sums are in thousandths of a token to avoid rounding errors.
    pub fn excess(&self, limit: RateConfig) -> u64 {
        let burst = u128::from(limit.burst_tokens) * 1_000;
        let (mut used, mut last_at, mut max_excess) = (0u128, 0u64, 0u128);
        for &(at, tokens) in &self.admitted {
            let refill = u128::from(limit.tokens_per_second) * u128::from(at - last_at);
            used = used.saturating_sub(refill) + u128::from(tokens) * 1_000;
            last_at = at;
            max_excess = max_excess.max(used.saturating_sub(burst));
        }
        max_excess.div_ceil(1_000) as u64
    }

    /// Returns the same value as [`AdmissionLog::excess`], computed over every pair of times.
    pub fn excess_by_pairs(&self, limit: RateConfig) -> u64 {
        let mut max_excess = 0u128;
        for (first, &(start, _)) in self.admitted.iter().enumerate() {
            let mut sum = 0u128;
            for &(end, tokens) in &self.admitted[first..] {
                sum += u128::from(tokens) * 1_000;
                let bound = u128::from(limit.burst_tokens) * 1_000
                    + u128::from(limit.tokens_per_second) * u128::from(end - start);
                max_excess = max_excess.max(sum.saturating_sub(bound));
            }
        }
        max_excess.div_ceil(1_000) as u64
    }
}

/// A single central token bucket without latency or faults.
#[derive(Clone, Debug)]
pub struct IdealBucket {
    limit: RateConfig,
    // In thousandths of a token.
    level: u128,
    at: u64,
}

impl IdealBucket {
    /// Returns a bucket that is full at `at`, in milliseconds.
    pub fn new(limit: RateConfig, at: u64) -> IdealBucket {
        IdealBucket { limit, level: u128::from(limit.burst_tokens) * 1_000, at }
    }

    /// Takes `tokens` at `at`, in milliseconds, and returns whether the bucket held enough of them.
    pub fn admit(&mut self, at: u64, tokens: u64) -> bool {
        let refill = u128::from(self.limit.tokens_per_second) * u128::from(at - self.at);
        self.level = (self.level + refill).min(u128::from(self.limit.burst_tokens) * 1_000);
        self.at = at;
        let required = u128::from(tokens) * 1_000;
        let admitted = self.level >= required;
        if admitted {
            self.level -= required;
        }
        admitted
    }
}

/// The violations of the invariants that a run showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetViolations {
    /// The tokens by which each account exceeded its limits in its worst window.
    pub excess: BTreeMap<AccountName, u64>,
    /// The number of observations of more than one effective holder of a shard in a zone.
    pub simultaneous_holders: u64,
    /// The number of observations of a process, or of a stored roster, whose epoch didn't increase as required.
    pub epoch_regressions: u64,
}

impl FleetViolations {
    /// Returns whether no invariant was violated.
    pub fn is_clean(&self) -> bool {
        *self == FleetViolations::default()
    }
}
