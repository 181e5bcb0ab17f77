//! Circuit breaker for long outages of the store.
//!
//! Without a breaker, every node would retry every call throughout an outage, and all of them would hit the service at
//! the moment it recovers. An open breaker sends only single probes, at intervals with jitter.

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

/// Settings of the circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// The number of consecutive failed calls that opens the breaker.
    pub failures: u32,
    /// The mean time from the opening of the breaker to the first probe; it doubles with each failed probe.
    pub probe_interval: ClockSpan,
    /// The upper limit of the mean time between probes.
    pub max_probe_interval: ClockSpan,
}

impl Default for BreakerSettings {
    fn default() -> BreakerSettings {
        BreakerSettings {
            failures: 5,
            probe_interval: ClockSpan::from_ms(500),
            max_probe_interval: ClockSpan::from_secs(5),
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakerState {
    Closed { failures: u32 },
    Open { probe_at: ClockTime, interval: ClockSpan, is_probing: bool },
}

#[derive(Clone, Debug)]
pub(crate) struct CircuitBreaker {
    settings: BreakerSettings,
    state: BreakerState,
}

impl CircuitBreaker {
    pub(crate) fn new(settings: BreakerSettings) -> CircuitBreaker {
        CircuitBreaker { settings, state: BreakerState::Closed { failures: 0 } }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }

    /// Records an answer of the service and returns whether it closed the breaker.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_open = self.is_open();
        self.state = BreakerState::Closed { failures: 0 };
        was_open
    }

    /// Records a failed call and returns whether it opened the breaker.
    pub(crate) fn record_failure(&mut self, now: ClockTime, random: &mut SeededRandom) -> bool {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 >= self.settings.failures => {
                let interval = self.settings.probe_interval;
                let probe_at = now + with_jitter(interval, random);
                self.state = BreakerState::Open { probe_at, interval, is_probing: false };
                true
            }
            BreakerState::Closed { failures } => {
                self.state = BreakerState::Closed { failures: failures + 1 };
                false
            }
            BreakerState::Open { .. } => false,
        }
    }

    /// Records a failed probe.
    pub(crate) fn record_probe_failure(&mut self, now: ClockTime, random: &mut SeededRandom) {
        if let BreakerState::Open { interval, .. } = self.state {
            let interval =
                ClockSpan::from_ms(interval.as_ms() * 2).min(self.settings.max_probe_interval);
            let probe_at = now + with_jitter(interval, random);
            self.state = BreakerState::Open { probe_at, interval, is_probing: false };
        }
    }

    /// Returns whether a probe must be sent now; if so, no other probe is due until this one ends.
    pub(crate) fn begin_probe(&mut self, now: ClockTime) -> bool {
        match &mut self.state {
            BreakerState::Open { probe_at, is_probing, .. } if !*is_probing && *probe_at <= now => {
                *is_probing = true;
                true
            }
            _ => false,
        }
    }
}

/// Returns a random span between 0.5 and 1.5 times `interval`.
pub(crate) fn with_jitter(interval: ClockSpan, random: &mut SeededRandom) -> ClockSpan {
    ClockSpan::from_ms(interval.as_ms() / 2 + random.below(interval.as_ms() + 1))
}
