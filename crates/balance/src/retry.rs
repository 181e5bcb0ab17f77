//! Budget for retries.
//!
//! When targets fail under load, unlimited retries multiply the load. The number of retries is therefore limited to a
//! share of the number of requests. A small reserve lets a router with few requests retry as well.
//!
//! A part of the retries may follow trials: requests that are offered to a target that has rejected others.

/// The settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// The number of retries that each request adds to the budget.
    pub share: f64,
    /// The maximum number of retries in the budget, which is also its initial level.
    pub reserve: f64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { share: 0.1, reserve: 10.0 }
    }
}

/// The part of the retries that may follow rejected trials.
const TRIAL_FRACTION: f64 = 0.5;

/// Limit of trials whose result isn't known yet.
const MAX_TRIALS: f64 = 4.0;

/// The number of retries that a router may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    available: f64,
    trials: f64,
    refused: u64,
}

impl RetryBudget {
    /// Returns a budget with its reserve full.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, available: settings.reserve, trials: 1.0, refused: 0 }
    }

    /// Records a request, which adds a share of a retry to the budget.
    pub fn record_request(&mut self) {
        self.available = (self.available + self.settings.share).min(self.settings.reserve);
        self.trials = (self.trials + self.settings.share * TRIAL_FRACTION).min(MAX_TRIALS);
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn take(&mut self) -> bool {
        if !self.has(1.0) {
            self.refused += 1;
            return false;
        }
        self.available = (self.available - 1.0).max(0.0);
        true
    }

    /// Takes one retry for a request that has not failed and returns whether one was available. The last retry is kept
    /// for a request that fails.
    pub fn take_spare(&mut self) -> bool {
        self.has(2.0) && self.take()
    }

    /// Returns whether a trial may be made: its rejection would be followed by a retry.
    pub fn allows_trial(&self) -> bool {
        self.has(1.0) && self.trials >= 1.0 - 1e-9
    }

    /// Takes a trial from the budget.
    pub fn take_trial(&mut self) {
        self.trials = (self.trials - 1.0).max(0.0);
    }

    /// Returns a trial that was accepted, as no retry follows it.
    pub fn return_trial(&mut self) {
        self.trials = (self.trials + 1.0).min(MAX_TRIALS);
    }

    // In floating point, ten shares of 0.1 add up to slightly less than one.
    fn has(&self, retries: f64) -> bool {
        self.available >= retries - 1e-9
    }

    /// Returns the number of retries that the budget refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
