//! Health of the targets, which determines the share of requests that each may receive.
//!
//! A target that fails repeatedly is put on probation and receives no requests. The time of probation doubles with
//! each further probation. After a probation or a restart, the share of the target grows gradually, because an idle
//! target would otherwise attract all traffic at once. A leaving target receives no new requests.

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};
use godwitroad_prefix::TargetId;

/// The settings of the health of targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthSettings {
    /// The number of consecutive failures that put a target on probation.
    pub failures: u32,
    /// The length of the first probation.
    pub probation: ClockSpan,
    /// The maximum length of a probation.
    pub max_probation: ClockSpan,
    /// The time over which the share of a returning target grows to its full share.
    pub return_span: ClockSpan,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            failures: 2,
            probation: ClockSpan::from_ms(500),
            max_probation: ClockSpan::from_secs(30),
            return_span: ClockSpan::from_secs(3),
        }
    }
}

/// The health of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HealthState {
    /// The target receives its full share of requests.
    #[default]
    Healthy,
    /// The target receives no requests.
    Probation {
        /// The end of the probation.
        until: ClockTime,
    },
    /// The target receives a growing share of requests.
    Returning {
        /// The start of the return.
        since: ClockTime,
    },
    /// The target receives no new requests until the configuration says that it no longer leaves.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetRecord {
    state: HealthState,
    failures: u32,
    probations: u32,
}

/// The health of all targets of a router.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    settings: HealthSettings,
    targets: Vec<TargetRecord>,
}

impl TargetHealth {
    /// Returns a state in which every target is healthy.
    pub fn new(settings: HealthSettings) -> TargetHealth {
        TargetHealth { settings, targets: Vec::new() }
    }

    /// Returns the state of `target` at `now`.
    pub fn state(&self, now: ClockTime, target: TargetId) -> HealthState {
        let record = self.targets.get(target.index()).copied().unwrap_or_default();
        match record.state {
            HealthState::Probation { until } if now >= until => self.returning_state(now, until),
            HealthState::Returning { since } => self.returning_state(now, since),
            state => state,
        }
    }

    /// Returns the share of its usual requests that `target` may receive now, between zero and one.
    pub fn share(&self, now: ClockTime, target: TargetId) -> f64 {
        match self.state(now, target) {
            HealthState::Healthy => 1.0,
            HealthState::Probation { .. } | HealthState::Leaving => 0.0,
            HealthState::Returning { since } => {
                let span = self.settings.return_span.as_ms().max(1) as f64;
                // A small share from the start shows whether the target has recovered.
                (now.since(since).as_ms() as f64 / span).clamp(0.05, 1.0)
            }
        }
    }

    /// Decides whether `target` is considered for a request, with the probability of its share.
    pub fn admits(&self, now: ClockTime, target: TargetId, random: &mut SeededRandom) -> bool {
        let share = self.share(now, target);
        share >= 1.0 || share > 0.0 && random.chance(share)
    }

    /// Records a request that `target` answered.
    pub fn record_success(&mut self, now: ClockTime, target: TargetId) {
        let state = self.state(now, target);
        let record = self.entry(target);
        record.failures = 0;
        if state == HealthState::Healthy {
            record.state = state;
            record.probations = 0;
        }
    }

    /// Records a request that failed at `target` and returns whether this starts a probation.
    pub fn record_failure(&mut self, now: ClockTime, target: TargetId) -> bool {
        let state = self.state(now, target);
        let settings = self.settings;
        let record = self.entry(target);
        record.failures += 1;
        let is_returning = matches!(state, HealthState::Returning { .. });
        if state == HealthState::Leaving
            || matches!(state, HealthState::Probation { .. })
            || record.failures < settings.failures && !is_returning
        {
            return false;
        }
        let doubled = settings.probation.as_ms() << record.probations.min(16);
        let span = ClockSpan::from_ms(doubled).min(settings.max_probation);
        record.probations += 1;
        record.failures = 0;
        record.state = HealthState::Probation { until: now + span };
        true
    }

    /// Puts a target on probation for the time it named, at most the longest probation.
    ///
    /// Returns the time unless the target gets no requests until then anyway. This is no failure: the next probation
    /// after failures doesn't get longer.
    pub fn defer(
        &mut self,
        now: ClockTime,
        target: TargetId,
        wait: ClockSpan,
    ) -> Option<ClockSpan> {
        let wait = wait.min(self.settings.max_probation);
        let until = now + wait;
        let is_known = match self.state(now, target) {
            HealthState::Leaving => true,
            HealthState::Probation { until: known } => known >= until,
            HealthState::Healthy | HealthState::Returning { .. } => false,
        };
        if is_known {
            return None;
        }
        self.entry(target).state = HealthState::Probation { until };
        Some(wait)
    }

    /// Starts the gradual return of a target that restarted.
    pub fn restart(&mut self, now: ClockTime, target: TargetId) {
        let record = self.entry(target);
        if record.state != HealthState::Leaving {
            record.state = HealthState::Returning { since: now };
        }
    }

    /// Sets whether `target` is leaving.
    pub fn set_leaving(&mut self, now: ClockTime, target: TargetId, is_leaving: bool) {
        let record = self.entry(target);
        let was_leaving = record.state == HealthState::Leaving;
        if is_leaving {
            record.state = HealthState::Leaving;
        } else if was_leaving {
            record.state = HealthState::Returning { since: now };
        }
    }

    fn returning_state(&self, now: ClockTime, since: ClockTime) -> HealthState {
        if now.since(since) >= self.settings.return_span {
            HealthState::Healthy
        } else {
            HealthState::Returning { since }
        }
    }

    fn entry(&mut self, target: TargetId) -> &mut TargetRecord {
        if self.targets.len() <= target.index() {
            self.targets.resize(target.index() + 1, TargetRecord::default());
        }
        &mut self.targets[target.index()]
    }
}
