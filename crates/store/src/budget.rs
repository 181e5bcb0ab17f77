//! Token buckets that limit the calls to the store.
//!
//! The platform meters every call, and the service accepts a few hundred writes per second from the whole fleet. Each
//! class of calls has its own bucket, so that a fault in one component of a node can't use up the calls that claims and
//! the configuration need.

use godwitroad_base::ClockTime;

use crate::operation::CallClass;

/// Settings of the call budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// The calls per second for each [`CallClass`]: claims, configuration and all others.
    pub rates: [u64; 3],
    /// The largest burst of calls for each [`CallClass`]: claims, configuration and all others.
    pub bursts: [u64; 3],
}

impl Default for BudgetSettings {
    fn default() -> BudgetSettings {
        BudgetSettings { rates: [200, 50, 50], bursts: [100, 100, 50] }
    }
}

// Levels are in thousandths of a call, so that the refill of each millisecond is a whole number.
#[derive(Clone, Debug)]
pub(crate) struct CallBudget {
    settings: BudgetSettings,
    levels: [u64; 3],
    refilled_at: ClockTime,
}

impl CallBudget {
    pub(crate) fn new(settings: BudgetSettings) -> CallBudget {
        let levels = settings.bursts.map(|burst| burst * 1_000);
        CallBudget { settings, levels, refilled_at: ClockTime::ZERO }
    }

    /// Takes a call from the bucket of `class`, and returns whether one was available.
    pub(crate) fn try_take(&mut self, now: ClockTime, class: CallClass) -> bool {
        let elapsed_ms = now.since(self.refilled_at).as_ms();
        for (index, level) in self.levels.iter_mut().enumerate() {
            let refill = self.settings.rates[index].saturating_mul(elapsed_ms);
            *level = (*level + refill).min(self.settings.bursts[index] * 1_000);
        }
        self.refilled_at = self.refilled_at.max(now);
        let level = &mut self.levels[class as usize];
        let has_call = *level >= 1_000;
        if has_call {
            *level -= 1_000;
        }
        has_call
    }
}
