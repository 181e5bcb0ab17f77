//! Checks on what a fleet admitted and held, made from outside the machines under test.

use std::collections::BTreeMap;

use godwitroad_base::AccountName;
use godwitroad_config::RateConfig;

/// The admissions of one account in the order of true time.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLog {
    /// The times in milliseconds and the tokens.
    pub admitted: Vec<(u64, u64)>,
}

impl AdmissionLog {
    /// Returns the most tokens by which any window of time exceeds burst + rate × length.
    ///
    /// The running excess is the maximum over all windows that end at the current admission, so that one pass covers
    /// every pair of times. Sums are in thousandths of a token, so that nothing is rounded.
    pub fn excess(&self, limit: RateConfig) -> u64 {
        let burst = u128::from(limit.burst_tokens) * 1_000;
        let (mut used, mut last, mut most) = (0u128, 0u64, 0u128);
        for &(at, tokens) in &self.admitted {
            let refill = u128::from(limit.tokens_per_second) * u128::from(at - last);
            used = used.saturating_sub(refill) + u128::from(tokens) * 1_000;
            last = at;
            most = most.max(used.saturating_sub(burst));
        }
        most.div_ceil(1_000) as u64
    }

    /// Returns the same as [`AdmissionLog::excess`] by trying every pair of times.
    pub fn excess_by_pairs(&self, limit: RateConfig) -> u64 {
        let mut most = 0u128;
        for (first, &(start, _)) in self.admitted.iter().enumerate() {
            let mut sum = 0u128;
            for &(end, tokens) in &self.admitted[first..] {
                sum += u128::from(tokens) * 1_000;
                let bound = u128::from(limit.burst_tokens) * 1_000
                    + u128::from(limit.tokens_per_second) * u128::from(end - start);
                most = most.max(sum.saturating_sub(bound));
            }
        }
        most.div_ceil(1_000) as u64
    }
}

/// One central bucket without latency or faults.
#[derive(Clone, Debug)]
pub struct IdealBucket {
    limit: RateConfig,
    // Thousandths of a token.
    level: u128,
    at: u64,
}

impl IdealBucket {
    /// Returns a full bucket.
    pub fn new(limit: RateConfig, at: u64) -> IdealBucket {
        IdealBucket { limit, level: u128::from(limit.burst_tokens) * 1_000, at }
    }

    /// Admits or refuses `tokens` at `at`.
    pub fn admit(&mut self, at: u64, tokens: u64) -> bool {
        let refill = u128::from(self.limit.tokens_per_second) * u128::from(at - self.at);
        self.level = (self.level + refill).min(u128::from(self.limit.burst_tokens) * 1_000);
        self.at = at;
        let wanted = u128::from(tokens) * 1_000;
        let admitted = self.level >= wanted;
        if admitted {
            self.level -= wanted;
        }
        admitted
    }
}

/// What a run violated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetViolations {
    /// The tokens of each account beyond its limits in the worst window.
    pub excess: BTreeMap<AccountName, u64>,
    /// The observations of two effective holders of a shard in one zone.
    pub simultaneous_holders: u64,
    /// The observations of a process whose epoch went back.
    pub epoch_regressions: u64,
}

impl FleetViolations {
    /// Returns whether nothing was violated.
    pub fn is_clean(&self) -> bool {
        *self == FleetViolations::default()
    }
}
