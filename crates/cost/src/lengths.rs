//! The expected length of answers, compared with what their callers declare.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, RouteName};

/// What an answer's length is learned by: its route and client account.
pub(crate) type LengthKey = (RouteName, Option<AccountName>);

/// The mean of actual by declared length for each route and account.
#[derive(Clone, Debug, Default)]
pub(crate) struct LengthTable {
    shares: BTreeMap<LengthKey, LengthShare>,
}

#[derive(Clone, Copy, Debug)]
struct LengthShare {
    mean: f64,
    samples: f64,
}

/// Limit of routes and accounts; further ones count with their declared lengths.
const MAX_KEYS: usize = 1_024;

/// The weight of the declared length, in answers.
const DECLARED_SAMPLES: f64 = 4.0;

/// The lowest weight of an answer in the mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;

impl LengthTable {
    pub(crate) fn record(&mut self, key: LengthKey, declared: u64, actual: u64) {
        if declared == 0 || self.shares.len() >= MAX_KEYS && !self.shares.contains_key(&key) {
            return;
        }
        let share = self.shares.entry(key).or_insert(LengthShare { mean: 1.0, samples: 0.0 });
        share.samples += 1.0;
        let weight = (1.0 / (share.samples + DECLARED_SAMPLES)).max(MIN_SAMPLE_WEIGHT);
        let sample = (actual as f64 / declared as f64).min(1.0);
        share.mean += weight * (sample - share.mean);
    }

    pub(crate) fn expected(&self, key: &LengthKey, declared: u64) -> u64 {
        let mean = self.shares.get(key).map_or(1.0, |share| share.mean);
        (declared as f64 * mean).ceil() as u64
    }
}
