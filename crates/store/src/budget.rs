//! Budget of calls to the store.
//!
//! Each call is counted by the platform and the service takes a few hundred writes a second from the whole fleet,
//! so that a fault in one part of one node must not use up what claims and the configuration need.

use godwitroad_base::ClockTime;

use crate::operation::CallClass;

/// Settings of the call budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Calls per second for claims, configuration and the rest.
    pub rates: [u64; 3],
    /// Calls that may be sent at once for claims, configuration and the rest.
    pub bursts: [u64; 3],
}

impl Default for BudgetSettings {
    fn default() -> BudgetSettings {
        BudgetSettings { rates: [200, 50, 50], bursts: [100, 100, 50] }
    }
}

// Levels are kept in thousandths of a call, so that a refill of one millisecond is a whole number.
#[derive(Clone, Debug)]
pub(crate) struct CallBudget {
    settings: BudgetSettings,
    levels: [u64; 3],
    filled: ClockTime,
}

impl CallBudget {
    pub(crate) fn new(settings: BudgetSettings) -> CallBudget {
        let levels = settings.bursts.map(|burst| burst * 1_000);
        CallBudget { settings, levels, filled: ClockTime::ZERO }
    }

    /// Takes one call of `class` and returns whether there was one.
    pub(crate) fn take(&mut self, now: ClockTime, class: CallClass) -> bool {
        let passed = now.since(self.filled).as_ms();
        for (index, level) in self.levels.iter_mut().enumerate() {
            let refill = self.settings.rates[index].saturating_mul(passed);
            *level = (*level + refill).min(self.settings.bursts[index] * 1_000);
        }
        self.filled = self.filled.max(now);
        let level = &mut self.levels[class as usize];
        let has_call = *level >= 1_000;
        if has_call {
            *level -= 1_000;
        }
        has_call
    }
}
