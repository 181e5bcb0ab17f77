//! The budget for retries.
//!
//! When targets fail under load, unlimited retries multiply the load. Retries are therefore bounded by a share of
//! the requests themselves, with a small reserve so that a quiet router can retry at all.

/// The settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// The retries earned per request.
    pub share: f64,
    /// The most retries that can be saved up.
    pub reserve: f64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { share: 0.1, reserve: 10.0 }
    }
}

/// The retries that a router may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    available: f64,
    refused: u64,
}

impl RetryBudget {
    /// Returns a budget with its reserve full.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, available: settings.reserve, refused: 0 }
    }

    /// Counts a request, which earns a share of a retry.
    pub fn record_request(&mut self) {
        self.available = (self.available + self.settings.share).min(self.settings.reserve);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self) -> bool {
        // Ten shares of 0.1 add up to slightly less than one.
        if self.available < 1.0 - 1e-9 {
            self.refused += 1;
            return false;
        }
        self.available = (self.available - 1.0).max(0.0);
        true
    }

    /// Returns the number of retries that the budget refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
